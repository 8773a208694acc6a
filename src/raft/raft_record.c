/* Packs and reads log records with a checksum; see raft_record.h. */

#include <endian.h>
#include <string.h>
#include <xxhash.h>

#include "mulberrypath/error.h"
#include "raft/raft_record.h"

#define RECORD_MAGIC 0x4d504c52U /* "RLPM" */

/* The header as stored on disk; all fields are little-endian. */
struct record_header {
	uint32_t magic;
	uint32_t len;
	uint64_t index;
	uint64_t term;
	uint32_t type;
	uint32_t reserved;
	uint64_t hash;
};

_Static_assert(sizeof(struct record_header) == RAFT_RECORD_HEADER_BYTES,
    "record header must have no padding");

static uint64_t
record_hash(const struct record_header *h, struct node_bytes data)
{
	uint64_t seed = XXH64(h, offsetof(struct record_header, hash), 0);

	return XXH64(data.data, data.len, seed);
}

void
raft_record_pack(struct buf *out, const struct raft_record *record)
{
	struct record_header h = {
	    .magic = htole32(RECORD_MAGIC),
	    .len = htole32((uint32_t)record->data.len),
	    .index = htole64(record->index),
	    .term = htole64(record->term),
	    .type = htole32(record->type),
	};

	h.hash = htole64(record_hash(&h, record->data));
	buf_append(out, &h, sizeof(h));
	buf_append(out, record->data.data, record->data.len);
}

int
raft_record_read(struct raft_record *out, size_t *used, struct node_bytes bytes)
{
	struct record_header h;
	struct node_bytes data;

	if (bytes.len < sizeof(h))
		return MP_ERR_NOT_FOUND;
	memcpy(&h, bytes.data, sizeof(h));
	data.len = le32toh(h.len);
	if (le32toh(h.magic) != RECORD_MAGIC ||
	    data.len > RAFT_RECORD_DATA_MAX_BYTES)
		return MP_ERR_CORRUPT;
	if (bytes.len - sizeof(h) < data.len)
		return MP_ERR_NOT_FOUND;
	data.data = bytes.data + sizeof(h);
	if (le64toh(h.hash) != record_hash(&h, data))
		return MP_ERR_CORRUPT;
	out->index = le64toh(h.index);
	out->term = le64toh(h.term);
	out->type = le32toh(h.type);
	out->data = data;
	*used = sizeof(h) + data.len;
	return MP_OK;
}
