#ifndef MP_RAFT_RAFT_LOG_H
#define MP_RAFT_RAFT_LOG_H

#include <stdbool.h>

#include "raft/raft.h"
#include "raft/raft_record.h"

/* One entry, kept packed. */
struct raft_log_entry {
	uint64_t term;
	char *record; /* header and data */
	size_t len;
	uint32_t type;
};

/*
 * The entries held in memory, first to last without a gap. The entry before
 * the first is known by its term alone.
 */
struct raft_log {
	struct raft_log_entry *entries;
	size_t count, cap;
	uint64_t base_index, base_term; /* of the entry before the first */
	size_t bytes;
};

void raft_log_free(struct raft_log *log);

/* Drop everything; the log continues after this entry. */
void raft_log_reset(struct raft_log *log, uint64_t index, uint64_t term);

uint64_t raft_log_last_index(const struct raft_log *log);
uint64_t raft_log_last_term(const struct raft_log *log);

/* The term of an entry; false when it is not known. */
bool raft_log_get_term(
    const struct raft_log *log, uint64_t index, uint64_t *term);

/* The slot of an entry or NULL. */
const struct raft_log_entry *raft_log_get(
    const struct raft_log *log, uint64_t index);

/* Append one entry; its index is the last one's plus one. */
void raft_log_append(struct raft_log *log, const struct raft_record *record);

/* Drop all entries from index on. */
void raft_log_truncate(struct raft_log *log, uint64_t index);

/* Drop all entries up to and with index, which must be in the log. */
void raft_log_drop_front(struct raft_log *log, uint64_t index);

/* The data of a slot, without the header. */
struct node_bytes raft_log_entry_data(const struct raft_log_entry *slot);

/* Pack entries from index on into out, at least one, up to a byte limit. */
size_t raft_log_pack(
    const struct raft_log *log, uint64_t index, size_t limit, struct buf *out);

#endif
