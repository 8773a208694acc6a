/* The log entries in memory; see raft_log.h. */

#include <stdlib.h>
#include <string.h>

#include "raft/raft_log.h"
#include "util/mem.h"

static void
log_free_entries(struct raft_log *log, size_t from, size_t to)
{
	size_t i;

	for (i = from; i < to; i++) {
		log->bytes -= log->entries[i].len;
		free(log->entries[i].record);
	}
}

void
raft_log_free(struct raft_log *log)
{
	log_free_entries(log, 0, log->count);
	free(log->entries);
	memset(log, 0, sizeof(*log));
}

void
raft_log_reset(struct raft_log *log, uint64_t index, uint64_t term)
{
	log_free_entries(log, 0, log->count);
	log->count = 0;
	log->base_index = index;
	log->base_term = term;
}

uint64_t
raft_log_last_index(const struct raft_log *log)
{
	return log->base_index + log->count;
}

uint64_t
raft_log_last_term(const struct raft_log *log)
{
	return log->count == 0 ? log->base_term
			       : log->entries[log->count - 1].term;
}

const struct raft_log_entry *
raft_log_get(const struct raft_log *log, uint64_t index)
{
	if (index <= log->base_index || index > raft_log_last_index(log))
		return NULL;
	return &log->entries[index - log->base_index - 1];
}

bool
raft_log_get_term(const struct raft_log *log, uint64_t index, uint64_t *term)
{
	const struct raft_log_entry *entry = raft_log_get(log, index);

	if (entry != NULL)
		*term = entry->term;
	else if (index == log->base_index)
		*term = log->base_term;
	else
		return false;
	return true;
}

void
raft_log_append(struct raft_log *log, const struct raft_record *record)
{
	struct raft_record packed = *record;
	struct raft_log_entry *entry;
	struct buf b = {0};

	if (log->count == log->cap) {
		log->cap = log->cap == 0 ? 64 : log->cap * 2;
		log->entries =
		    mem_resize(log->entries, log->cap, sizeof(*log->entries));
	}
	packed.index = raft_log_last_index(log) + 1;
	raft_record_pack(&b, &packed);
	entry = &log->entries[log->count++];
	entry->term = record->term;
	entry->type = record->type;
	entry->record = b.data;
	entry->len = b.len;
	log->bytes += entry->len;
}

void
raft_log_truncate(struct raft_log *log, uint64_t index)
{
	size_t keep;

	if (index > raft_log_last_index(log))
		return;
	keep = index <= log->base_index ? 0
					: (size_t)(index - log->base_index - 1);
	log_free_entries(log, keep, log->count);
	log->count = keep;
}

void
raft_log_drop_front(struct raft_log *log, uint64_t index)
{
	size_t n;

	if (index <= log->base_index)
		return;
	n = (size_t)(index - log->base_index);
	if (n > log->count)
		n = log->count;
	if (n == 0)
		return;
	log->base_term = log->entries[n - 1].term;
	log_free_entries(log, 0, n);
	memmove(log->entries, log->entries + n,
	    (log->count - n) * sizeof(*log->entries));
	log->count -= n;
	log->base_index += n;
}

struct node_bytes
raft_log_entry_data(const struct raft_log_entry *entry)
{
	struct node_bytes b = {
	    .data = entry->record + RAFT_RECORD_HEADER_BYTES,
	    .len = entry->len - RAFT_RECORD_HEADER_BYTES,
	};

	return b;
}

size_t
raft_log_pack(
    const struct raft_log *log, uint64_t index, size_t limit, struct buf *out)
{
	const struct raft_log_entry *entry;
	size_t n = 0;

	while ((entry = raft_log_get(log, index + n)) != NULL) {
		if (n > 0 && out->len + entry->len > limit)
			break;
		buf_append(out, entry->record, entry->len);
		n++;
	}
	return n;
}
