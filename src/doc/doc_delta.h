/*
 * Delta encoding of document changes, so that the log does not carry whole
 * documents. A change is encoded as the difference to the revision that it
 * replaces. The proposer has that revision, and the instance that applies the
 * change reconstructs the text from its own document table; the result is the
 * same on every instance.
 */

#ifndef MP_DOC_DOC_DELTA_H
#define MP_DOC_DOC_DELTA_H

#include "doc/doc.h"
#include "wire/command.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Replaces the body of a change by pieces if the table has the base revision
 * and the pieces are at most half as large. Otherwise the change keeps its
 * body.
 *
 * put: team, base_revision and body are set. The pieces refer to the body,
 *     which must remain valid until doc_delta_free().
 */
void doc_delta_encode(const struct doc_table *table, Wire__DocPut *put);

/* Frees the pieces that doc_delta_encode() allocated. */
void doc_delta_free(Wire__DocPut *put);

/* A text that is borrowed; not NUL-terminated. */
struct doc_text {
	const char *data;
	size_t len;
};

/*
 * Returns the text of a change, from its body or from its pieces.
 *
 * out: empty; receives the text that the pieces give.
 * Returns a text in out or in put. Its data is NULL if the table no longer has
 * the base revision, or if the hash of the text differs from that of the
 * encoded text.
 */
struct doc_text doc_delta_decode(
    const struct doc_table *table, const Wire__DocPut *put, struct buf *out);

#ifdef __cplusplus
}
#endif

#endif
