#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>

#include <sodium.h>

#include "raft/raft_record.h"
#include "store/store_internal.h"
#include "store/store_open.h"
#include "util/mem.h"

#define REASON_BYTES 128

/* Between two tries to write to a disk that is full. */
#define FULL_RETRY_MS 50U

struct store_item {
	struct store_item *next;
	struct node_save save;
	bool added; /* its records are in the log's batch */
	bool ok;
};

struct store_queue {
	struct store_item *first, **end;
};

struct store {
	const struct store_files *files;
	uv_loop_t *loop;
	char *folder;
	uv_file lock;
	store_saved_cb cb;
	void *ctx;
	struct store_content content;

	struct store_queue queue; /* waits for the thread */
	struct store_queue batch; /* the thread works on it */
	uv_work_t work;
	bool busy;
	bool failed;
	bool full, told_full; /* the batch waits for room */
	store_full_cb on_full;
	char reason[REASON_BYTES];
	struct store_counters counters; /* the loop's */
	struct store_counters done; /* the thread's */

	bool closing;
	void (*closed)(void *ctx);
	void *closed_ctx;
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
	store_file_close(s->lock);
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
		code = store_file_open(&s->lock, path, true);
	free(path);
	if (code != 0)
		return mp_error_set(err, MP_LAYER_STORE, MP_ERR_IO,
		    "open the data folder %s: %s", s->folder,
		    uv_strerror(code));
	if (flock(s->lock, LOCK_EX | LOCK_NB) != 0)
		return mp_error_set(err, MP_LAYER_STORE, MP_ERR_UNAVAILABLE,
		    "another process holds the data folder %s", s->folder);
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
	s->lock = -1;
	s->cb = cb;
	s->ctx = ctx;
	s->content.log.fd = -1;
	s->work.data = s;
	queue_init(&s->queue);
	queue_init(&s->batch);
	if (sodium_init() < 0)
		code = mp_error_set(err, MP_LAYER_STORE, MP_ERR_IO,
		    "no source of random bytes");
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

/* ---- on the thread ----------------------------------------------------- */

static int
batch_flush(struct store *s)
{
	if (s->content.log.batch.len == 0)
		return 0;
	s->done.records += s->content.log.batch_records;
	s->done.bytes += s->content.log.batch.len;
	s->done.syncs++;
	return store_log_flush(&s->content.log);
}

static int
batch_write_file(struct store *s, const struct node_save *save)
{
	bool snapshot = save->kind == NODE_SAVE_SNAPSHOT;
	struct raft_record rec = {
	    .type = snapshot ? RAFT_RECORD_SNAPSHOT : RAFT_RECORD_STATE,
	    .index = snapshot ? save->index : save->vote,
	    .term = save->term,
	    .data = save->data,
	};
	int code = batch_flush(s);

	if (code != 0)
		return code;
	s->done.syncs++;
	s->done.bytes += RAFT_RECORD_HEADER + save->data.len;
	code = store_record_file_replace(s->files, s->folder,
	    snapshot ? STORE_FILE_SNAPSHOT : STORE_FILE_STATE, &rec);
	if (code == 0 && snapshot)
		code = store_log_remove_covered(&s->content.log, save->index);
	return code;
}

/* Items up to but without end are on disk, or not, all alike. */
static void
batch_mark(struct store_item **from, struct store_item *end, bool ok)
{
	for (; *from != end; *from = (*from)->next)
		(*from)->ok = ok;
}

static void
batch_run(uv_work_t *work)
{
	struct store *s = work->data;
	struct store_item *item, *unsynced = s->batch.first;
	int code = s->failed ? UV_EIO : 0;

	memset(&s->done, 0, sizeof(s->done));
	while (unsynced != NULL && unsynced->ok)
		unsynced = unsynced->next;
	for (item = unsynced; item != NULL && code == 0; item = item->next) {
		if (item->save.kind == NODE_SAVE_APPEND) {
			if (!item->added)
				store_log_add(&s->content.log, item->save.index,
				    item->save.count, item->save.data);
			item->added = true;
			continue;
		}
		code = batch_write_file(s, &item->save);
		if (code == 0)
			batch_mark(&unsynced, item->next, true);
	}
	if (code == 0)
		code = batch_flush(s);
	batch_mark(&unsynced, NULL, code == 0);
	s->failed |= code != 0 && code != UV_ENOSPC;
	s->full = code == UV_ENOSPC;
	if (code != 0 && s->reason[0] == '\0')
		(void)snprintf(s->reason, sizeof(s->reason),
		    "write the data folder: %s", uv_strerror(code));
}

/*
 * Nothing of a batch that found no room is lost: it is written again at the
 * same place. For whoever waits for it the disk is slow.
 */
static void
batch_run_again(uv_work_t *work)
{
	uv_sleep(FULL_RETRY_MS);
	batch_run(work);
}

/* ---- on the loop ------------------------------------------------------- */

static void store_start(struct store *s);

static void
tell_full(struct store *s)
{
	if (s->full == s->told_full)
		return;
	s->told_full = s->full;
	if (s->on_full != NULL)
		s->on_full(s->ctx, s->full);
	if (!s->full)
		s->reason[0] = '\0';
}

static void
batch_done(uv_work_t *work, int status)
{
	struct store *s = work->data;
	struct store_item *item;
	void (*closed)(void *ctx);
	void *closed_ctx;

	s->counters.syncs += s->done.syncs;
	s->counters.bytes += s->done.bytes;
	s->counters.records += s->done.records;
	tell_full(s);
	if (s->full && !s->closing) {
		(void)uv_queue_work(
		    s->loop, &s->work, batch_run_again, batch_done);
		return;
	}
	s->failed |= s->full;
	while ((item = queue_pop(&s->batch)) != NULL) {
		bool ok = status == 0 && item->ok;

		if (item->save.ticket != 0)
			s->cb(s->ctx, item->save.ticket, ok,
			    ok ? NULL : s->reason);
		free(item);
	}
	s->busy = false;
	if (s->queue.first != NULL) {
		store_start(s);
	} else if (s->closing) {
		closed = s->closed;
		closed_ctx = s->closed_ctx;
		store_destroy(s);
		closed(closed_ctx);
	}
}

/* Hand all that waits to the thread, as one batch. */
static void
store_start(struct store *s)
{
	if (s->busy)
		return;
	s->busy = true;
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
	store_start(s);
}

void
store_set_full_cb(struct store *s, store_full_cb cb)
{
	s->on_full = cb;
}

void
store_close(struct store *s, void (*done)(void *ctx), void *ctx)
{
	s->closing = true;
	s->closed = done;
	s->closed_ctx = ctx;
	store_start(s);
}

void
store_get_counters(const struct store *s, struct store_counters *out)
{
	*out = s->counters;
}
