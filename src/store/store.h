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
 * Persistent storage of one instance: its data folder with the identity, the
 * Raft term and vote, hashed log records and the snapshot.
 *
 * The store executes NODE_FX_SAVE effects in order. Saves that are queued
 * while a write is in progress are committed together, with one sync. File
 * calls are made on libuv's thread pool, so the event loop never blocks on
 * the disk.
 */
struct store;

/*
 * Reports the result of the save with this ticket. Called on the event loop,
 * in the order of the saves; saves with ticket 0 are not reported.
 *
 * ok: whether the save is synced to disk.
 * reason: the error text if not ok, else NULL; valid during the call.
 */
typedef void (*store_saved_cb)(
    void *ctx, uint64_t ticket, bool ok, const char *reason);

/*
 * Opens or creates a data folder, locks it and reads its content (blocking).
 *
 * A torn write at the end of the log, which was never acknowledged, is
 * truncated. Other damage is reported as disk->damaged: the content is moved
 * into a subfolder damaged-<n> and the folder is initialised again with a new
 * incarnation.
 *
 * cb: reports the result of each save; called with ctx.
 * disk: the recovered content; valid until store_free_disk().
 * Errors: MP_ERR_IO, MP_ERR_UNAVAILABLE (another process has locked the
 * folder).
 */
int store_open(struct store **out, uv_loop_t *loop, const char *folder,
    store_saved_cb cb, void *ctx, const struct node_disk **disk,
    struct mp_error *err);

/* Frees the content that store_open() returned in disk. */
void store_free_disk(struct store *s);

/*
 * Queues a save; its bytes are copied. While the disk is full, this save and
 * all later ones stay queued and the write is retried until there is space or
 * the store is closed. After any other error all later saves fail, as the
 * content of the disk is no longer known.
 */
void store_save(struct store *s, const struct node_save *save);

/*
 * Called on the event loop when a write fails because the disk is full
 * (full is true) and when a retry succeeds or fails otherwise (false).
 */
typedef void (*store_full_cb)(void *ctx, bool full);

/* Sets the callback; it gets the ctx of store_open(). */
void store_set_full_cb(struct store *s, store_full_cb cb);

/*
 * Completes the queued saves, then closes the store and frees it. On a full
 * disk the pending saves fail instead. done is called on the event loop.
 */
void store_close(struct store *s, void (*done)(void *ctx), void *ctx);

/* Totals since store_open(), for metrics. */
struct store_counters {
	uint64_t syncs; /* synced log batches and files, failed ones included */
	uint64_t bytes; /* log records, state files and snapshots */
	uint64_t records; /* log records */
};
void store_get_counters(const struct store *s, struct store_counters *out);

/*
 * The longest time in microseconds from the start of a batch until it was
 * synced, of those that have ended since the last call; 0: none has.
 */
uint64_t store_take_longest_us(struct store *s);

#ifdef __cplusplus
}
#endif

#endif
