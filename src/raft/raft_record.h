#ifndef MP_RAFT_RAFT_RECORD_H
#define MP_RAFT_RAFT_RECORD_H

#include <stdint.h>

#include "mulberrypath/node.h"
#include "util/buf.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The packed form of a log entry on disk and on the wire: a little-endian
 * header of RAFT_RECORD_HEADER_BYTES bytes, then the data. The header ends
 * with an XXH64 of all other bytes of the record.
 */
#define RAFT_RECORD_HEADER_BYTES   40
#define RAFT_RECORD_DATA_MAX_BYTES (512U << 20)

/*
 * Record types of the store; smaller values are enum raft_entry_type. They
 * reuse the index field as noted.
 */
enum raft_record_type {
	RAFT_RECORD_SYNCED = 0x40, /* index: all entries up to it are synced */
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

/* Append the packed record to out; data of at most RAFT_RECORD_DATA_MAX_BYTES.
 */
void raft_record_pack(struct buf *out, const struct raft_record *record);

/*
 * Read the record at the start of bytes.
 *
 * out: the record; its data points into bytes.
 * used: the packed length of the record.
 * Errors: MP_ERR_NOT_FOUND (the record is incomplete), MP_ERR_CORRUPT
 * (invalid magic, length or hash).
 */
int raft_record_read(
    struct raft_record *out, size_t *used, struct node_bytes bytes);

#ifdef __cplusplus
}
#endif

#endif
