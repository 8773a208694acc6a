#ifndef MP_MULBERRYCTL_CMD_DOC_H
#define MP_MULBERRYCTL_CMD_DOC_H

#include "doc/doc.h"
#include "mulberryctl/ctl.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Read a whole file; false once complained. */
bool doc_file_read(struct ctl *c, const char *file, struct buf *out);

/* Print all faults of a document; --json: as a list of objects. */
void doc_print_problems(
    struct ctl *c, const char *file, const struct settings_problems *problems);

/* Check a document offline; NULL once its faults are printed. */
struct doc *doc_file_check(
    struct ctl *c, const char *file, const struct buf *text);

/* "/v1/documents/TEAM" and a tail; to be freed as a buffer. */
void doc_path(struct buf *out, const char *team, const char *tail);

/* The document of a past revision; a new reference, or NULL and *code. */
json_t *doc_get_past(
    struct ctl *c, const char *team, double revision, int *code);

/* JSON text as documents are written. */
char *doc_dump(const json_t *json, size_t indent);

#ifdef __cplusplus
}
#endif

#endif
