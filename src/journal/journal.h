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
 * A file of all that was given to a reducer: its boot, then each event with
 * its time and a hash of the effects. A fresh reducer stepped through it
 * must give the same effects. It holds bodies and tokens as they came, so it
 * is made readable to its owner only.
 */
struct journal_writer;

/*
 * Begin a journal in the place of what the file held.
 *
 * settings_text: the JSON of boot->settings; the bus's secret key is left
 * out.
 * Errors: MP_ERR_IO, MP_ERR_INVALID (settings_text is no JSON object).
 */
int journal_create(struct journal_writer **out, const char *file,
    const struct node_boot *boot, struct node_bytes settings_text,
    struct mp_error *err);

/*
 * Add a step. What was written reaches the file about once a second of the
 * steps' time.
 *
 * now_us, ev: as given to node_step().
 * fx: the effects of this step alone.
 * Errors: MP_ERR_IO; the journal then ends before this step.
 */
int journal_write_step(struct journal_writer *w, uint64_t now_us,
    const struct node_event *ev, const struct node_effects *fx,
    struct mp_error *err);

/* Errors: MP_ERR_IO. */
int journal_close(struct journal_writer *w, struct mp_error *err);

/* A hash of effects, in their order; 0 when there are none. */
uint64_t journal_hash_effects(const struct node_effects *fx);

struct journal_reader;

struct journal_step {
	uint64_t now_us;
	struct node_event event; /* its bytes live until the next step */
	uint64_t effects_hash; /* as by journal_hash_effects() */
};

/*
 * Open a journal and read its boot.
 *
 * Errors: MP_ERR_IO, MP_ERR_CORRUPT (no journal, or damaged),
 * MP_ERR_INVALID (another version, or settings that are no longer valid).
 */
int journal_open(
    struct journal_reader **out, const char *file, struct mp_error *err);
void journal_reader_destroy(struct journal_reader *r);

/* The boot; it lives as long as the reader. */
const struct node_boot *journal_get_boot(const struct journal_reader *r);

/* Bytes read so far, and of the whole file. */
void journal_get_progress(
    const struct journal_reader *r, uint64_t *read, uint64_t *whole);

/*
 * Read the next step.
 *
 * Errors: MP_ERR_NOT_FOUND (the end), MP_ERR_UNAVAILABLE (the file ends
 * within a step: the run was cut), MP_ERR_CORRUPT (damaged).
 */
int journal_read_step(
    struct journal_reader *r, struct journal_step *out, struct mp_error *err);

#ifdef __cplusplus
}
#endif

#endif
