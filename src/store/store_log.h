#ifndef MP_STORE_STORE_LOG_H
#define MP_STORE_STORE_LOG_H

#include <stdbool.h>
#include <stdint.h>

#include "mulberrypath/error.h"
#include "mulberrypath/node.h"
#include "store/store_files.h"

/*
 * The Raft log on disk: records in numbered, append-only segment files.
 *
 * A record whose index is not above that of the last one replaces the record
 * with this index and all that follow; replaced records are not removed from
 * the file. After each synced batch a marker record (RAFT_RECORD_SYNCED) with
 * the last synced index is appended. An invalid record before a marker is
 * therefore damage and not a torn write.
 */

struct store_segment {
	uint64_t number;
	uint64_t first_index; /* index of its first record, 0 if it has none */
};

struct store_log {
	const struct store_files *files;
	const char *folder; /* not owned */
	struct store_segment *segments; /* ascending by number */
	size_t nsegments, segments_cap;
	uv_file fd; /* of the last segment, -1 if not open */
	int64_t end_offset; /* of the valid records in the last segment */
	uint64_t last_index; /* of the last synced record */
	struct buf batch; /* packed records that are not yet synced */
	uint64_t batch_last_index; /* of the last record in batch */
	size_t batch_records;
};

/* The log as read from the segments, without replaced records. */
struct store_replay {
	struct buf records; /* packed */
	uint64_t first_index;
	size_t count;
	size_t *offsets; /* of each record in records */
	size_t offsets_cap;
	uint64_t snapshot_index; /* input: last index in the snapshot */
	bool is_log_required; /* input: a log without segments is damage */
};

void store_replay_free(struct store_replay *replay);

/*
 * Opens the log in a folder: reads all segments, truncates a torn write at the
 * end of the last one and creates the first segment if there is none.
 *
 * folder: must outlive the log.
 * replay: zeroed except for its inputs; filled. The caller frees it with
 * store_replay_free(), also after an error.
 * Errors: MP_ERR_CORRUPT (damage), MP_ERR_IO.
 */
int store_log_open(struct store_log *log, const struct store_files *files,
    const char *folder, struct store_replay *replay, struct mp_error *err);
void store_log_close(struct store_log *log);

/*
 * Adds count packed records to the batch; nothing is written yet.
 *
 * first: index of the first record.
 */
void store_log_add(struct store_log *log, uint64_t first, size_t count,
    struct node_bytes records);

/*
 * Writes and syncs the batch. If this fails the batch remains and the next call
 * writes it at the same offset. Returns 0 or a negative libuv error.
 */
int store_log_flush(struct store_log *log);

/*
 * Removes the segments whose records are all covered by a synced snapshot.
 * Returns 0 or a negative libuv error.
 *
 * snapshot_index: index of the last record in the snapshot.
 */
int store_log_remove_covered(struct store_log *log, uint64_t snapshot_index);

#endif
