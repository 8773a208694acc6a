#ifndef MP_JOURNAL_JOURNAL_H
#define MP_JOURNAL_JOURNAL_H

#include <stdbool.h>
#include <stdint.h>

#include "mulberrypath/error.h"
#include "mulberrypath/node.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The event journal: a file that records the input of a reducer (struct node),
 * that is its boot, then each event with its time and a hash of its effects. A
 * new reducer that is given the recorded input must produce the same effects.
 *
 * The file contains request bodies, tokens and keys of client accounts. It is
 * encrypted, and its key is in the file FILE.key; both are created readable to
 * their owner only.
 */
struct journal_writer;

/*
 * Creates a journal; replaces the content of an existing file.
 *
 * out: freed by journal_close().
 * settings_text: the JSON text of boot->settings; the secret key of the bus is
 * replaced before it is written.
 * Errors: MP_ERR_IO, MP_ERR_INVALID (settings_text is not a JSON object).
 */
int journal_create(struct journal_writer **out, const char *file,
    const struct node_boot *boot, struct node_bytes settings_text,
    struct mp_error *err);

/*
 * Appends a step. Buffered steps are flushed to the file about once per second,
 * measured by the times of the steps.
 *
 * now_us, ev: as passed to node_step().
 * fx: the effects of this step only.
 * Errors: MP_ERR_IO; the journal then ends before this step and all later calls
 * fail.
 */
int journal_write_step(struct journal_writer *w, uint64_t now_us,
    const struct node_event *ev, const struct node_effects *fx,
    struct mp_error *err);

/*
 * Flushes and closes the journal and frees the writer.
 *
 * Errors: MP_ERR_IO.
 */
int journal_close(struct journal_writer *w, struct mp_error *err);

/* Returns a hash of the effects in their order; 0 if there are none. */
uint64_t journal_hash_effects(const struct node_effects *fx);

struct journal_reader;

/* One recorded call of node_step(). */
struct journal_step {
	uint64_t now_us;
	struct node_event event; /* valid until the next step is read */
	uint64_t effects_hash; /* as by journal_hash_effects() */
};

/*
 * Opens a journal and reads its boot.
 *
 * out: freed by journal_reader_destroy().
 * Errors: MP_ERR_IO, MP_ERR_CORRUPT (not a journal, or damaged),
 * MP_ERR_UNAVAILABLE (truncated within the boot), MP_ERR_INVALID (another
 * version, or settings that this program does not accept).
 */
int journal_open(
    struct journal_reader **out, const char *file, struct mp_error *err);
void journal_reader_destroy(struct journal_reader *r);

/* Returns the recorded boot, owned by the reader. */
const struct node_boot *journal_get_boot(const struct journal_reader *r);

/* Gets the number of bytes read and the size of the file when opened. */
void journal_get_progress(const struct journal_reader *r, uint64_t *read_bytes,
    uint64_t *total_bytes);

/*
 * Reads the next step.
 *
 * Errors: MP_ERR_NOT_FOUND (end of the journal), MP_ERR_UNAVAILABLE (the file
 * ends within a step, as the process did not close it), MP_ERR_CORRUPT
 * (damaged).
 */
int journal_read_step(
    struct journal_reader *r, struct journal_step *out, struct mp_error *err);

#ifdef __cplusplus
}
#endif

#endif
