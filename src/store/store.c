#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>

#include <sodium.h>

#include "raft/raft_record.h"
#include "store/store_internal.h"
#include "store/store_open.h"
#include "util/clock.h"
#include "util/mem.h"

#define REASON_BYTES 128

/* Delay before a write to a full disk is retried. */
#define FULL_DISK_RETRY_MS 50U

struct store_item {
	struct store_item *next;
	struct node_save save;
	bool added; /* its records are in the log's batch */
	bool ok; /* synced */
};

struct store_queue {
	struct store_item *first, **end;
};

struct store {
	const struct store_files *files;
	uv_loop_t *loop;
	char *folder;
	uv_file lock_fd; /* holds the lock on the folder */
	store_saved_cb saved_cb;
	void *ctx;
	struct store_content content;

	struct store_queue queue; /* saves for the next batch */
	struct store_queue batch; /* saves that the thread writes */
	uv_work_t work;
	bool is_batch_running;
	uint64_t batch_started_us;
	uint64_t longest_us; /* see store_take_longest_us() */
	bool failed; /* a write failed; all later saves fail */
	bool is_full; /* the last write failed for lack of space */
	bool is_full_reported; /* the value last passed to full_cb */
	store_full_cb full_cb;
	char reason[REASON_BYTES]; /* text of the first error, or empty */
	struct store_counters counters; /* used on the event loop only */
	struct store_counters batch_counters; /* of one run of the thread */

	bool closing;
	void (*close_cb)(void *ctx);
	void *close_ctx;
};

static void
queue_init(struct store_queue *q)
{
	q->first = NULL;
	q->end = &q->first;
}

static void
queue_push(struct store_queue *q, struct store_item *item)
{
	item->next = NULL;
	*q->end = item;
	q->end = &item->next;
}

static struct store_item *
queue_pop(struct store_queue *q)
{
	struct store_item *item = q->first;

	if (item == NULL)
		return NULL;
	q->first = item->next;
	if (q->first == NULL)
		q->end = &q->first;
	return item;
}

static void
store_destroy(struct store *s)
{
	struct store_item *item;

	while ((item = queue_pop(&s->queue)) != NULL)
		free(item);
	store_log_close(&s->content.log);
	store_content_free(&s->content);
	store_file_close(s->lock_fd);
	free(s->folder);
	free(s);
}

static int
store_lock(struct store *s, struct mp_error *err)
{
	char *path = store_path_join(s->folder, STORE_FILE_LOCK);
	int code;

	code = store_folder_create(s->folder);
	if (code == 0)
		code = store_file_open(&s->lock_fd, path, true);
	free(path);
	if (code != 0)
		return mp_error_set(err, MP_LAYER_STORE, MP_ERR_IO,
		    "cannot open the data folder %s: %s", s->folder,
		    uv_strerror(code));
	if (flock(s->lock_fd, LOCK_EX | LOCK_NB) != 0)
		return mp_error_set(err, MP_LAYER_STORE, MP_ERR_UNAVAILABLE,
		    "another process has locked the data folder %s", s->folder);
	return MP_OK;
}

int
store_open_with(struct store **out, const struct store_files *files,
    uv_loop_t *loop, const char *folder, store_saved_cb cb, void *ctx,
    const struct node_disk **disk, struct mp_error *err)
{
	struct store *s = mem_alloc(1, sizeof(*s));
	int code;

	*out = NULL;
	s->files = files;
	s->loop = loop;
	s->folder = mem_string(folder);
	s->lock_fd = -1;
	s->saved_cb = cb;
	s->ctx = ctx;
	s->content.log.fd = -1;
	s->work.data = s;
	queue_init(&s->queue);
	queue_init(&s->batch);
	if (sodium_init() < 0)
		code = mp_error_set(err, MP_LAYER_STORE, MP_ERR_IO,
		    "cannot initialise libsodium");
	else
		code = store_lock(s, err);
	if (code == MP_OK)
		code = store_content_open(&s->content, files, s->folder, err);
	if (code != MP_OK) {
		store_destroy(s);
		return code;
	}
	*disk = &s->content.disk;
	*out = s;
	return MP_OK;
}

int
store_open(struct store **out, uv_loop_t *loop, const char *folder,
    store_saved_cb cb, void *ctx, const struct node_disk **disk,
    struct mp_error *err)
{
	return store_open_with(
	    out, &store_files_default, loop, folder, cb, ctx, disk, err);
}

void
store_free_disk(struct store *s)
{
	store_content_free(&s->content);
}

/* ---- thread pool -------------------------------------------------------- */

/* Writes and syncs the log records of the batch. */
static int
batch_flush(struct store *s)
{
	if (s->content.log.batch.len == 0)
		return 0;
	s->batch_counters.records += s->content.log.batch_records;
	s->batch_counters.bytes += s->content.log.batch.len;
	s->batch_counters.syncs++;
	return store_log_flush(&s->content.log);
}

/* Writes a state or snapshot file, after the log records queued before it. */
static int
batch_write_file(struct store *s, const struct node_save *save)
{
	bool is_snapshot = save->kind == NODE_SAVE_SNAPSHOT;
	struct raft_record rec = {
	    .type = is_snapshot ? RAFT_RECORD_SNAPSHOT : RAFT_RECORD_STATE,
	    .index = is_snapshot ? save->index : save->vote,
	    .term = save->term,
	    .data = save->data,
	};
	int code = batch_flush(s);

	if (code != 0)
		return code;
	s->batch_counters.syncs++;
	s->batch_counters.bytes += RAFT_RECORD_HEADER_BYTES + save->data.len;
	code = store_record_file_replace(s->files, s->folder,
	    is_snapshot ? STORE_FILE_SNAPSHOT : STORE_FILE_STATE, &rec);
	if (code == 0 && is_snapshot)
		code = store_log_remove_covered(&s->content.log, save->index);
	return code;
}

/*
 * Sets the result of the items from *from up to, but not including, end, and
 * advances *from to end.
 */
static void
batch_set_ok(struct store_item **from, struct store_item *end, bool ok)
{
	for (; *from != end; *from = (*from)->next)
		(*from)->ok = ok;
}

/*
 * Writes the batch, starting at the first save that is not yet on disk.
 * Consecutive appends share one sync.
 */
static void
batch_run(uv_work_t *work)
{
	struct store *s = work->data;
	struct store_item *item, *first_pending = s->batch.first;
	int code = s->failed ? UV_EIO : 0;

	memset(&s->batch_counters, 0, sizeof(s->batch_counters));
	while (first_pending != NULL && first_pending->ok)
		first_pending = first_pending->next;
	for (item = first_pending; item != NULL && code == 0;
	     item = item->next) {
		if (item->save.kind == NODE_SAVE_APPEND) {
			if (!item->added)
				store_log_add(&s->content.log, item->save.index,
				    item->save.count, item->save.data);
			item->added = true;
			continue;
		}
		code = batch_write_file(s, &item->save);
		if (code == 0)
			batch_set_ok(&first_pending, item->next, true);
	}
	if (code == 0)
		code = batch_flush(s);
	batch_set_ok(&first_pending, NULL, code == 0);
	s->failed |= code != 0 && code != UV_ENOSPC;
	s->is_full = code == UV_ENOSPC;
	if (code != 0 && s->reason[0] == '\0')
		(void)snprintf(s->reason, sizeof(s->reason),
		    "cannot write to the data folder: %s", uv_strerror(code));
}

/*
 * Retries a batch after the disk was full. No save is lost, as the batch is
 * written again at the same offset; to callers the disk only appears slow.
 */
static void
batch_retry(uv_work_t *work)
{
	uv_sleep(FULL_DISK_RETRY_MS);
	batch_run(work);
}

/* ---- event loop --------------------------------------------------------- */

static void store_start_batch(struct store *s);

/* Calls full_cb if the disk has become full or has space again. */
static void
report_full_change(struct store *s)
{
	if (s->is_full == s->is_full_reported)
		return;
	s->is_full_reported = s->is_full;
	if (s->full_cb != NULL)
		s->full_cb(s->ctx, s->is_full);
	if (!s->is_full)
		s->reason[0] = '\0';
}

static void
note_batch_time(struct store *s)
{
	uint64_t took_us = clock_now_us() - s->batch_started_us;

	if (took_us > s->longest_us)
		s->longest_us = took_us;
}

uint64_t
store_take_longest_us(struct store *s)
{
	uint64_t longest_us = s->longest_us;

	s->longest_us = 0;
	return longest_us;
}

/* Reports the results of the batch, then starts the next one or closes. */
static void
batch_done(uv_work_t *work, int status)
{
	struct store *s = work->data;
	struct store_item *item;
	void (*close_cb)(void *ctx);
	void *close_ctx;

	s->counters.syncs += s->batch_counters.syncs;
	s->counters.bytes += s->batch_counters.bytes;
	s->counters.records += s->batch_counters.records;
	report_full_change(s);
	if (s->is_full && !s->closing) {
		(void)uv_queue_work(s->loop, &s->work, batch_retry, batch_done);
		return;
	}
	s->failed |= s->is_full;
	note_batch_time(s);
	while ((item = queue_pop(&s->batch)) != NULL) {
		bool ok = status == 0 && item->ok;

		if (item->save.ticket != 0)
			s->saved_cb(s->ctx, item->save.ticket, ok,
			    ok ? NULL : s->reason);
		free(item);
	}
	s->is_batch_running = false;
	if (s->queue.first != NULL) {
		store_start_batch(s);
	} else if (s->closing) {
		close_cb = s->close_cb;
		close_ctx = s->close_ctx;
		store_destroy(s);
		close_cb(close_ctx);
	}
}

/*
 * Passes all queued saves to the thread as one batch. Does nothing if a batch
 * is being written; batch_done() then starts the next one.
 */
static void
store_start_batch(struct store *s)
{
	if (s->is_batch_running)
		return;
	s->is_batch_running = true;
	s->batch_started_us = clock_now_us();
	s->batch = s->queue;
	if (s->batch.first == NULL)
		queue_init(&s->batch);
	queue_init(&s->queue);
	(void)uv_queue_work(s->loop, &s->work, batch_run, batch_done);
}

void
store_save(struct store *s, const struct node_save *save)
{
	struct store_item *item =
	    mem_alloc(1, sizeof(*item) + save->data.len + 1);

	item->save = *save;
	item->save.data.data = (const char *)(item + 1);
	if (save->data.len > 0)
		memcpy(item + 1, save->data.data, save->data.len);
	queue_push(&s->queue, item);
	store_start_batch(s);
}

void
store_set_full_cb(struct store *s, store_full_cb cb)
{
	s->full_cb = cb;
}

void
store_close(struct store *s, void (*done)(void *ctx), void *ctx)
{
	s->closing = true;
	s->close_cb = done;
	s->close_ctx = ctx;
	store_start_batch(s);
}

void
store_get_counters(const struct store *s, struct store_counters *out)
{
	*out = s->counters;
}
