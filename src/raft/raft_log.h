#ifndef MP_RAFT_RAFT_LOG_H
#define MP_RAFT_RAFT_LOG_H

/*
 * The log entries in memory. Indexes have no gap; the caller holds the rules
 * of Raft and the copy on disk.
 */

#include <stdbool.h>

#include "raft/raft.h"
#include "raft/raft_record.h"

/* One entry in its packed form, see raft_record.h. */
struct raft_log_entry {
	uint64_t term;
	char *record; /* header and data, owned by the log */
	size_t len; /* of record */
	uint32_t type; /* enum raft_entry_type */
};

/*
 * Entries base_index + 1 to base_index + count. Of the entry at base_index
 * only the term is known, for the consistency check of the first append.
 */
struct raft_log {
	struct raft_log_entry *entries;
	size_t count, cap;
	uint64_t base_index, base_term; /* of the entry before the first */
	size_t bytes; /* sum of the packed lengths */
};

void raft_log_free(struct raft_log *log);

/* Drop all entries; the next one appended follows this index and term. */
void raft_log_reset(struct raft_log *log, uint64_t index, uint64_t term);

uint64_t raft_log_last_index(const struct raft_log *log);
uint64_t raft_log_last_term(const struct raft_log *log);

/* Get the term of an entry; false when the log does not hold it. */
bool raft_log_get_term(
    const struct raft_log *log, uint64_t index, uint64_t *term);

/* The entry at an index, or NULL; valid until the log changes. */
const struct raft_log_entry *raft_log_get(
    const struct raft_log *log, uint64_t index);

/* Append an entry; record->index is ignored, the next index is assigned. */
void raft_log_append(struct raft_log *log, const struct raft_record *record);

/* Drop the entry at index and all after it. */
void raft_log_truncate(struct raft_log *log, uint64_t index);

/* Drop all entries up to and including index. */
void raft_log_drop_front(struct raft_log *log, uint64_t index);

/* The data of an entry without the record header, owned by the log. */
struct node_bytes raft_log_entry_data(const struct raft_log_entry *entry);

/*
 * Append the packed entries from index on to out, up to a byte limit of out;
 * the first one is always packed.
 *
 * Returns the number of entries packed, 0 when index is not in the log.
 */
size_t raft_log_pack(
    const struct raft_log *log, uint64_t index, size_t limit, struct buf *out);

#endif
