#include <stdlib.h>
#include <string.h>

#include "raft/raft_log.h"
#include "util/mem.h"

static void
log_free_slots(struct raft_log *log, size_t from, size_t to)
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
	log_free_slots(log, 0, log->count);
	free(log->entries);
	memset(log, 0, sizeof(*log));
}

void
raft_log_reset(struct raft_log *log, uint64_t index, uint64_t term)
{
	log_free_slots(log, 0, log->count);
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
	const struct raft_log_entry *slot = raft_log_get(log, index);

	if (slot != NULL)
		*term = slot->term;
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
	struct raft_log_entry *slot;
	struct buf b = {0};

	if (log->count == log->cap) {
		log->cap = log->cap == 0 ? 64 : log->cap * 2;
		log->entries =
		    mem_resize(log->entries, log->cap, sizeof(*log->entries));
	}
	packed.index = raft_log_last_index(log) + 1;
	raft_record_pack(&b, &packed);
	slot = &log->entries[log->count++];
	slot->term = record->term;
	slot->type = record->type;
	slot->record = b.data;
	slot->len = b.len;
	log->bytes += slot->len;
}

void
raft_log_truncate(struct raft_log *log, uint64_t index)
{
	size_t keep;

	if (index > raft_log_last_index(log))
		return;
	keep = index <= log->base_index ? 0
					: (size_t)(index - log->base_index - 1);
	log_free_slots(log, keep, log->count);
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
	log_free_slots(log, 0, n);
	memmove(log->entries, log->entries + n,
	    (log->count - n) * sizeof(*log->entries));
	log->count -= n;
	log->base_index += n;
}

struct node_bytes
raft_log_entry_data(const struct raft_log_entry *slot)
{
	struct node_bytes b = {
	    .data = slot->record + RAFT_RECORD_HEADER_BYTES,
	    .len = slot->len - RAFT_RECORD_HEADER_BYTES,
	};

	return b;
}

size_t
raft_log_pack(
    const struct raft_log *log, uint64_t index, size_t limit, struct buf *out)
{
	const struct raft_log_entry *slot;
	size_t n = 0;

	while ((slot = raft_log_get(log, index + n)) != NULL) {
		if (n > 0 && out->len + slot->len > limit)
			break;
		buf_append(out, slot->record, slot->len);
		n++;
	}
	return n;
}
