#include <stdlib.h>
#include <string.h>

#include "fuzz/node_harness.h"
#include "raft/raft_record.h"
#include "util/mem.h"

#define RECORDS_MAX  32
#define PREFIX_BYTES 4 /* flags, term, snapshot's length (little-endian) */
#define RECORD_BYTES 4 /* type, step of the term, data length */
#define FLAG_RAW     1 /* records are given packed, hashes included */
#define FLAG_DAMAGED 2

struct input {
	const uint8_t *data;
	size_t size;
};

static struct node_bytes
take(struct input *in, size_t len)
{
	struct node_bytes out;

	if (len > in->size)
		len = in->size;
	out.data = (const char *)in->data;
	out.len = len;
	in->data += len;
	in->size -= len;
	return out;
}

/* Records with good hashes around the input's data. */
static void
pack_records(struct node_disk *disk, struct buf *out, struct input *in)
{
	struct raft_record record = {
	    .index = disk->first_index, .term = disk->term};
	const uint8_t *head;

	while (in->size >= RECORD_BYTES && disk->record_count < RECORDS_MAX) {
		head = in->data;
		(void)take(in, RECORD_BYTES);
		record.type = head[0] % 4;
		record.term += head[1] % 3;
		record.data = take(in, head[2] | (size_t)head[3] << 8);
		raft_record_pack(out, &record);
		record.index++;
		disk->record_count++;
	}
	disk->term = record.term;
}

/* What a store would find: only whole records with good hashes count. */
static void
read_records(struct node_disk *disk, struct buf *out, struct input *in)
{
	struct raft_record record;
	struct node_bytes rest = take(in, in->size);
	size_t used;

	while (disk->record_count < RECORDS_MAX &&
	    raft_record_read(&record, &used, rest) == 0 &&
	    record.index == disk->first_index + disk->record_count) {
		buf_append(out, rest.data, used);
		rest.data += used;
		rest.len -= used;
		disk->record_count++;
		if (record.term > disk->term)
			disk->term = record.term;
	}
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct node_disk disk = {.incarnation = 9};
	struct input in = {data, size};
	struct buf records = {0}, snapshot = {0};
	struct node_bytes prefix = take(&in, PREFIX_BYTES);
	struct harness h;

	if (prefix.len < PREFIX_BYTES)
		return 0;
	disk.damaged = (data[0] & FLAG_DAMAGED) != 0;
	disk.term = 1 + data[1];
	disk.snapshot = take(&in, data[2] | (size_t)data[3] << 8);
	buf_append(&snapshot, disk.snapshot.data, disk.snapshot.len);
	if (disk.snapshot.len > 0) {
		disk.snapshot_index = 10;
		disk.snapshot_term = 1;
		disk.snapshot.data = snapshot.data;
	}
	disk.first_index = disk.snapshot_index + 1;
	if ((data[0] & FLAG_RAW) != 0)
		read_records(&disk, &records, &in);
	else
		pack_records(&disk, &records, &in);
	disk.records = (struct node_bytes){records.data, records.len};
	if (harness_create(&h, &disk))
		harness_ticks(&h, 60);
	harness_destroy(&h);
	buf_free(&records);
	buf_free(&snapshot);
	return 0;
}
