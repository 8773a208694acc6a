#ifndef MP_JOURNAL_JOURNAL_FRAME_H
#define MP_JOURNAL_JOURNAL_FRAME_H

#include <stddef.h>
#include <stdint.h>

/*
 * The file format: JOURNAL_MAGIC, then frames. A frame is a header of three
 * little-endian 32-bit numbers (length of the packed message, its hash, hash
 * of the two numbers before), then the message. The hash of the header
 * distinguishes a damaged length from a truncated file.
 */
#define JOURNAL_MAGIC		   "mulberrypath journal\n"
#define JOURNAL_VERSION		   2
#define JOURNAL_FRAME_HEADER_BYTES 12
#define JOURNAL_MESSAGE_MAX_BYTES  (1U << 30)

/* Returns the hash of len bytes; it depends on len, too. */
uint32_t journal_frame_hash(const void *bytes, uint32_t len);

#endif
