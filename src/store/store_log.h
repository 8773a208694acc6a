#ifndef MP_STORE_STORE_LOG_H
#define MP_STORE_STORE_LOG_H

#include <stdbool.h>
#include <stdint.h>

#include "mulberrypath/error.h"
#include "mulberrypath/node.h"
#include "store/store_files.h"

/*
 * Log records in numbered segment files. A record whose index is not above
 * the last one replaces it and all that follow: nothing is cut in place.
 * After each synced batch a marker record says how far the log is synced,
 * so a bad record before a marker is damage and not a torn write.
 */
struct store_segment {
	uint64_t number;
	uint64_t first_index; /* index of its first record, 0 for none */
};

struct store_log {
	const struct store_files *files;
	const char *folder;
	struct store_segment *segments;
	size_t nsegments, segments_cap;
	uv_file fd; /* of the last segment */
	int64_t end_offset; /* where its next record goes */
	uint64_t last_index;
	struct buf batch; /* records not yet written */
	uint64_t batch_last_index;
	size_t batch_records;
};

/* What replaying the segments gave. */
struct store_replay {
	struct buf records;
	uint64_t first_index;
	size_t count;
	size_t *offsets; /* of each record */
	size_t offsets_cap;
	uint64_t snapshot_index;
	bool is_log_required; /* a log without any segment is damage */
};

void store_replay_free(struct store_replay *replay);

/*
 * Read all segments; cut a torn tail of the last.
 *
 * replay: zeroed but for snapshot_index and expected; filled.
 * Errors: MP_ERR_CORRUPT (damage), MP_ERR_IO.
 */
int store_log_open(struct store_log *log, const struct store_files *files,
    const char *folder, struct store_replay *replay, struct mp_error *err);
void store_log_close(struct store_log *log);

/* Add packed records to the batch; nothing is written yet. */
void store_log_add(struct store_log *log, uint64_t first, size_t count,
    struct node_bytes records);

/* Write and sync the batch; 0 or a libuv error. */
int store_log_flush(struct store_log *log);

/* Forget segments that a synced snapshot covers. */
int store_log_remove_covered(struct store_log *log, uint64_t snapshot_index);

#endif
