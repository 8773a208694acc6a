#ifndef MP_RAFT_RAFT_RECORD_H
#define MP_RAFT_RAFT_RECORD_H

#include <stdint.h>

#include "mulberrypath/node.h"
#include "util/buf.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The packed form of a log entry, on disk and on the wire: a header of
 * RAFT_RECORD_HEADER_BYTES bytes, little-endian, then the data. The header ends
 * with an XXH64 of all other bytes.
 */
#define RAFT_RECORD_HEADER_BYTES   40
#define RAFT_RECORD_DATA_MAX_BYTES (512U << 20)

/* Types above those of enum raft_entry_type belong to the store. */
enum raft_record_type {
	RAFT_RECORD_SYNCED = 0x40, /* index: all up to it is synced */
	RAFT_RECORD_STATE, /* index: vote */
	RAFT_RECORD_SNAPSHOT,
	RAFT_RECORD_IDENTITY /* index: incarnation */
};

struct raft_record {
	uint64_t index;
	uint64_t term;
	uint32_t type;
	struct node_bytes data;
};

/* Append the packed record to out. */
void raft_record_pack(struct buf *out, const struct raft_record *record);

/*
 * Read the record at the start of bytes.
 *
 * out: its data points into bytes.
 * used: the record's packed length.
 * Errors: MP_ERR_NOT_FOUND (bytes end before the record does),
 * MP_ERR_CORRUPT.
 */
int raft_record_read(
    struct raft_record *out, size_t *used, struct node_bytes bytes);

#ifdef __cplusplus
}
#endif

#endif
