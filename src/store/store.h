#ifndef MP_STORE_STORE_H
#define MP_STORE_STORE_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "mulberrypath/error.h"
#include "mulberrypath/node.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The data folder: identity, term and vote, log records checked by hash,
 * snapshots. Executes NODE_FX_SAVE in order with group commit on the loop's
 * file calls, so the loop never waits for a disk.
 */
struct store;

/* Called on the loop for every ticket, in order. */
typedef void (*store_saved_cb)(
    void *ctx, uint64_t ticket, bool ok, const char *reason);

/*
 * Open or make a data folder and read all that is in it (blocking).
 *
 * disk: what was found; its bytes live until store_free_disk().
 * A torn tail that was never acknowledged is cut. Damage elsewhere is
 * reported as disk->damaged: the folder's content is moved aside and it
 * starts under a new incarnation.
 * Errors: MP_ERR_IO, MP_ERR_UNAVAILABLE (another process holds the folder).
 */
int store_open(struct store **out, uv_loop_t *loop, const char *folder,
    store_saved_cb cb, void *ctx, const struct node_disk **disk,
    struct mp_error *err);
void store_free_disk(struct store *s);

/*
 * Queue a save; its bytes are copied. On a disk that is full it waits, and
 * those after it, until there is room or the store is closed. Any other failure
 * stays: what is on the disk is not known any more.
 */
void store_save(struct store *s, const struct node_save *save);

/* Called on the loop when the disk is found full, and when there is room. */
typedef void (*store_full_cb)(void *ctx, bool full);
void store_set_full_cb(struct store *s, store_full_cb cb);

/* Finish queued saves, then close; done is called on the loop. */
void store_close(struct store *s, void (*done)(void *ctx), void *ctx);

/* Counters for reports. */
struct store_counters {
	uint64_t syncs;
	uint64_t bytes;
	uint64_t records;
};
void store_get_counters(const struct store *s, struct store_counters *out);

#ifdef __cplusplus
}
#endif

#endif
