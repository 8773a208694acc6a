#include <stdlib.h>
#include <string.h>

#include "raft/raft_log.h"
#include "util/mem.h"

static void
log_free_slots(struct raft_log *log, size_t from, size_t to)
{
	size_t i;

	for (i = from; i < to; i++) {
		log->bytes -= log->slots[i].len;
		free(log->slots[i].record);
	}
}

void
raft_log_free(struct raft_log *log)
{
	log_free_slots(log, 0, log->count);
	free(log->slots);
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
raft_log_last(const struct raft_log *log)
{
	return log->base_index + log->count;
}

uint64_t
raft_log_last_term(const struct raft_log *log)
{
	return log->count == 0 ? log->base_term
			       : log->slots[log->count - 1].term;
}

const struct raft_slot *
raft_log_at(const struct raft_log *log, uint64_t index)
{
	if (index <= log->base_index || index > raft_log_last(log))
		return NULL;
	return &log->slots[index - log->base_index - 1];
}

bool
raft_log_term(const struct raft_log *log, uint64_t index, uint64_t *term)
{
	const struct raft_slot *slot = raft_log_at(log, index);

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
	struct raft_slot *slot;
	struct buf b = {0};

	if (log->count == log->cap) {
		log->cap = log->cap == 0 ? 64 : log->cap * 2;
		log->slots =
		    mem_resize(log->slots, log->cap, sizeof(*log->slots));
	}
	packed.index = raft_log_last(log) + 1;
	raft_record_pack(&b, &packed);
	slot = &log->slots[log->count++];
	slot->term = record->term;
	slot->type = record->type;
	slot->record = b.data;
	slot->len = b.len;
	log->bytes += slot->len;
}

void
raft_log_cut(struct raft_log *log, uint64_t index)
{
	size_t keep;

	if (index > raft_log_last(log))
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
	log->base_term = log->slots[n - 1].term;
	log_free_slots(log, 0, n);
	memmove(
	    log->slots, log->slots + n, (log->count - n) * sizeof(*log->slots));
	log->count -= n;
	log->base_index += n;
}

struct node_bytes
raft_slot_data(const struct raft_slot *slot)
{
	struct node_bytes b = {
	    .data = slot->record + RAFT_RECORD_HEADER,
	    .len = slot->len - RAFT_RECORD_HEADER,
	};

	return b;
}

size_t
raft_log_pack(
    const struct raft_log *log, uint64_t index, size_t limit, struct buf *out)
{
	const struct raft_slot *slot;
	size_t n = 0;

	while ((slot = raft_log_at(log, index + n)) != NULL) {
		if (n > 0 && out->len + slot->len > limit)
			break;
		buf_append(out, slot->record, slot->len);
		n++;
	}
	return n;
}
