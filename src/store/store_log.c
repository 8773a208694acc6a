#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "raft/raft_record.h"
#include "store/store_log.h"
#include "util/mem.h"

/* Once a segment has reached this size, a new one is started. */
#define SEGMENT_MAX_BYTES (16 << 20)
/*
 * After a snapshot, a new segment is started if the last one has reached this
 * size, so that a later snapshot can remove it.
 */
#define SNAPSHOT_ROLL_MIN_BYTES (1 << 20)
#define SEGMENT_NAME_BYTES	32

static void
segment_name(char *out, uint64_t number)
{
	(void)snprintf(out, SEGMENT_NAME_BYTES, "log-%016" PRIx64, number);
}

static char *
segment_path(const struct store_log *log, uint64_t number)
{
	char name[SEGMENT_NAME_BYTES];

	segment_name(name, number);
	return store_path_join(log->folder, name);
}

static struct store_segment *
segment_push(struct store_log *log, uint64_t number)
{
	struct store_segment *s;

	if (log->nsegments == log->segments_cap) {
		log->segments_cap =
		    log->segments_cap == 0 ? 8 : log->segments_cap * 2;
		log->segments = mem_resize(
		    log->segments, log->segments_cap, sizeof(*log->segments));
	}
	s = &log->segments[log->nsegments++];
	s->number = number;
	s->first_index = 0;
	return s;
}

static int
segment_compare(const void *a, const void *b)
{
	const struct store_segment *x = a, *y = b;

	return x->number < y->number ? -1 : x->number > y->number;
}

/* Finds the segment files in the folder; sorted by number. */
static int
log_list_segments(struct store_log *log)
{
	uint64_t number;
	uv_dirent_t entry;
	uv_fs_t req;
	int code;

	code = uv_fs_scandir(NULL, &req, log->folder, 0, NULL);
	if (code >= 0) {
		while (uv_fs_scandir_next(&req, &entry) != UV_EOF) {
			char name[SEGMENT_NAME_BYTES];

			if (sscanf(entry.name, "log-%" SCNx64, &number) != 1)
				continue;
			segment_name(name, number);
			if (strcmp(name, entry.name) == 0)
				segment_push(log, number);
		}
	}
	uv_fs_req_cleanup(&req);
	if (code >= 0 && log->nsegments > 0)
		qsort(log->segments, log->nsegments, sizeof(*log->segments),
		    segment_compare);
	return code < 0 ? code : 0;
}

void
store_replay_free(struct store_replay *replay)
{
	buf_free(&replay->records);
	free(replay->offsets);
	memset(replay, 0, sizeof(*replay));
}

/* Keeps only the first count records. */
static void
replay_truncate(struct store_replay *replay, size_t count)
{
	if (count < replay->count)
		replay->records.len = replay->offsets[count];
	replay->count = count;
}

/*
 * Adds a record, replacing those with its index and above. Returns false if
 * neither the earlier records nor the snapshot reach up to its index.
 */
static bool
replay_add_record(
    struct store_replay *replay, uint64_t index, const char *record, size_t len)
{
	uint64_t next = replay->first_index + replay->count;

	if (replay->count == 0 || index > next || index < replay->first_index) {
		bool is_older =
		    replay->count > 0 && index < replay->first_index;

		if (!is_older && index > replay->snapshot_index + 1)
			return false;
		replay_truncate(replay, 0);
		replay->first_index = index;
	} else {
		replay_truncate(replay, (size_t)(index - replay->first_index));
	}
	if (replay->count == replay->offsets_cap) {
		replay->offsets_cap =
		    replay->offsets_cap == 0 ? 256 : replay->offsets_cap * 2;
		replay->offsets = mem_resize(replay->offsets,
		    replay->offsets_cap, sizeof(*replay->offsets));
	}
	replay->offsets[replay->count++] = replay->records.len;
	buf_append(&replay->records, record, len);
	return true;
}

/* Returns whether a valid record starts at any offset in bytes. */
static bool
has_valid_record(struct node_bytes bytes)
{
	struct raft_record rec;
	size_t used;

	for (; bytes.len >= RAFT_RECORD_HEADER_BYTES;
	     bytes.data++, bytes.len--) {
		if (raft_record_read(&rec, &used, bytes) == MP_OK)
			return true;
	}
	return false;
}

/*
 * Replays one segment. An invalid record is a torn write if no valid record
 * follows it, else damage.
 *
 * all: the content of the segment.
 * valid_len: the length of the valid records at its start.
 * has_successor: whether its last marker states that another segment follows.
 * Errors: MP_ERR_CORRUPT.
 */
static int
segment_replay(struct store_segment *segment, struct store_replay *replay,
    struct node_bytes all, size_t *valid_len, bool *has_successor)
{
	struct node_bytes rest = all;
	struct raft_record rec;
	size_t used;

	*has_successor = false;
	while (rest.len > 0) {
		if (raft_record_read(&rec, &used, rest) != MP_OK)
			break;
		if (rec.type == RAFT_RECORD_SYNCED) {
			*has_successor = rec.term != 0;
		} else {
			if (!replay_add_record(
				replay, rec.index, rest.data, used))
				return MP_ERR_CORRUPT;
			if (segment->first_index == 0)
				segment->first_index = rec.index;
		}
		rest.data += used;
		rest.len -= used;
	}
	*valid_len = all.len - rest.len;
	if (rest.len > 0) {
		rest.data++;
		rest.len--;
		if (has_valid_record(rest))
			return MP_ERR_CORRUPT;
	}
	return MP_OK;
}

static int
set_damage_error(struct mp_error *err, const char *what, uint64_t number)
{
	return mp_error_set(err, MP_LAYER_STORE, MP_ERR_CORRUPT,
	    "log segment %" PRIu64 ": %s", number, what);
}

/*
 * Truncates the torn markers at the end of the last segment but one. A crash
 * during log_roll() can leave them, in which case the last segment is still
 * empty and the torn part is no longer than the two markers at the end: that
 * of the last batch and that of the roll.
 *
 * Errors: MP_ERR_CORRUPT (not caused by such a crash), or a libuv error.
 */
static int
log_truncate_torn_markers(
    struct store_log *log, size_t i, size_t valid_len, size_t len)
{
	struct buf next = {0};
	uv_file fd;
	char *path;
	int code;

	if (i + 2 != log->nsegments ||
	    len - valid_len > 2 * RAFT_RECORD_HEADER_BYTES)
		return MP_ERR_CORRUPT;
	path = segment_path(log, log->segments[i + 1].number);
	code = store_file_read(path, &next);
	free(path);
	if (code == 0 && next.len > 0)
		code = MP_ERR_CORRUPT;
	buf_free(&next);
	if (code != 0)
		return code;
	path = segment_path(log, log->segments[i].number);
	code = store_file_open(&fd, path, false);
	free(path);
	if (code != 0)
		return code;
	code = store_file_truncate(fd, (int64_t)valid_len);
	if (code == 0)
		code = log->files->sync(log->files, fd);
	store_file_close(fd);
	return code;
}

/* Reads and replays segment i and checks that the next one is present. */
static int
log_replay_segment(struct store_log *log, size_t i, struct store_replay *replay,
    struct mp_error *err)
{
	struct store_segment *s = &log->segments[i];
	bool last = i + 1 == log->nsegments, has_successor;
	struct buf content = {0};
	struct node_bytes all;
	size_t valid_len = 0;
	char *path;
	int code;

	path = segment_path(log, s->number);
	code = store_file_read(path, &content);
	free(path);
	if (code < 0) {
		code = mp_error_set(err, MP_LAYER_STORE, MP_ERR_IO,
		    "cannot read a log segment: %s", uv_strerror(code));
		goto cleanup;
	}
	all.data = content.data;
	all.len = content.len;
	code = segment_replay(s, replay, all, &valid_len, &has_successor);
	if (code == MP_OK && !last && valid_len < content.len)
		code =
		    log_truncate_torn_markers(log, i, valid_len, content.len);
	if (code != MP_OK)
		code = set_damage_error(err, "invalid record", s->number);
	else if (last ? has_successor
		      : log->segments[i + 1].number != s->number + 1)
		code = set_damage_error(
		    err, "the next segment is missing", s->number);
	log->end_offset = (int64_t)valid_len;
cleanup:
	buf_free(&content);
	return code;
}

/*
 * Creates the next segment and appends a marker to the last one which states
 * that another follows. The new file is synced into the folder first: a marker
 * without the next segment would be damage.
 */
static int
log_roll(struct store_log *log)
{
	struct raft_record rec = {.type = RAFT_RECORD_SYNCED};
	struct buf b = {0};
	uint64_t number = 1;
	uv_file fd;
	char *path;
	int code;

	if (log->nsegments > 0)
		number = log->segments[log->nsegments - 1].number + 1;
	path = segment_path(log, number);
	code = store_file_open(&fd, path, true);
	free(path);
	if (code == 0)
		code = store_folder_sync(log->files, log->folder);
	if (code == 0 && log->fd >= 0) {
		rec.index = log->last_index;
		rec.term = number;
		raft_record_pack(&b, &rec);
		code = log->files->write(
		    log->files, log->fd, b.data, b.len, log->end_offset);
		if (code == 0)
			code = log->files->sync(log->files, log->fd);
		buf_free(&b);
	}
	if (code != 0) {
		store_file_close(fd);
		return code;
	}
	store_file_close(log->fd);
	log->fd = fd;
	log->end_offset = 0;
	segment_push(log, number);
	return 0;
}

/* Opens the last segment for appending and truncates its torn end. */
static int
log_open_last_segment(struct store_log *log)
{
	char *path;
	int code;

	if (log->nsegments == 0)
		return log_roll(log);
	path = segment_path(log, log->segments[log->nsegments - 1].number);
	code = store_file_open(&log->fd, path, false);
	free(path);
	if (code == 0)
		code = store_file_truncate(log->fd, log->end_offset);
	if (code == 0)
		code = log->files->sync(log->files, log->fd);
	return code;
}

int
store_log_open(struct store_log *log, const struct store_files *files,
    const char *folder, struct store_replay *replay, struct mp_error *err)
{
	size_t i;
	int code;

	memset(log, 0, sizeof(*log));
	log->files = files;
	log->folder = folder;
	log->fd = -1;
	code = log_list_segments(log);
	if (code < 0)
		goto io;
	if (log->nsegments == 0 && replay->is_log_required)
		return mp_error_set(
		    err, MP_LAYER_STORE, MP_ERR_CORRUPT, "the log is missing");
	for (i = 0; i < log->nsegments; i++) {
		code = log_replay_segment(log, i, replay, err);
		if (code != MP_OK)
			return code;
	}
	if (replay->count > 0)
		log->last_index = replay->first_index + replay->count - 1;
	code = log_open_last_segment(log);
	if (code == 0)
		return MP_OK;
io:
	return mp_error_set(err, MP_LAYER_STORE, MP_ERR_IO,
	    "cannot open the log: %s", uv_strerror(code));
}

void
store_log_close(struct store_log *log)
{
	store_file_close(log->fd);
	log->fd = -1;
	free(log->segments);
	log->segments = NULL;
	log->nsegments = 0;
	log->segments_cap = 0;
	buf_free(&log->batch);
}

void
store_log_add(struct store_log *log, uint64_t first, size_t count,
    struct node_bytes records)
{
	struct store_segment *s = &log->segments[log->nsegments - 1];

	if (count == 0)
		return;
	if (s->first_index == 0)
		s->first_index = first;
	buf_append(&log->batch, records.data, records.len);
	log->batch_last_index = first + count - 1;
	log->batch_records += count;
}

/*
 * Appends a marker after a synced batch. The marker itself is not synced and
 * a failed write is ignored: without it no records are lost, but damage in the
 * last batch cannot be distinguished from a torn write.
 */
static void
log_write_marker(struct store_log *log)
{
	struct raft_record rec = {
	    .type = RAFT_RECORD_SYNCED,
	    .index = log->last_index,
	};
	struct buf b = {0};

	raft_record_pack(&b, &rec);
	if (log->files->write(
		log->files, log->fd, b.data, b.len, log->end_offset) == 0)
		log->end_offset += (int64_t)b.len;
	buf_free(&b);
}

int
store_log_flush(struct store_log *log)
{
	int code;

	if (log->batch.len == 0)
		return 0;
	code = log->files->write(log->files, log->fd, log->batch.data,
	    log->batch.len, log->end_offset);
	if (code == 0)
		code = log->files->sync(log->files, log->fd);
	if (code != 0)
		return code;
	log->end_offset += (int64_t)log->batch.len;
	log->last_index = log->batch_last_index;
	buf_clear(&log->batch);
	log->batch_records = 0;
	log_write_marker(log);
	if (log->end_offset >= SEGMENT_MAX_BYTES)
		return log_roll(log);
	return 0;
}

int
store_log_remove_covered(struct store_log *log, uint64_t snapshot_index)
{
	size_t n = 0, i;
	char *path;
	int code = 0;

	if (log->end_offset >= SNAPSHOT_ROLL_MIN_BYTES)
		code = log_roll(log);
	while (n + 1 < log->nsegments &&
	    log->segments[n + 1].first_index != 0 &&
	    log->segments[n + 1].first_index <= snapshot_index + 1)
		n++;
	for (i = 0; i < n && code == 0; i++) {
		path = segment_path(log, log->segments[i].number);
		code = store_file_remove(path);
		free(path);
	}
	log->nsegments -= n;
	memmove(log->segments, log->segments + n,
	    log->nsegments * sizeof(*log->segments));
	return code;
}
