#ifndef MP_JOURNAL_JOURNAL_FRAME_H
#define MP_JOURNAL_JOURNAL_FRAME_H

#include <stddef.h>
#include <stdint.h>

/*
 * The file: a magic text, then frames: length and hash of the packed
 * message and a hash of these two, four bytes each and little-endian, then
 * the message. So a damaged length is told from a file that was cut.
 */
#define JOURNAL_MAGIC		   "mulberrypath journal\n"
#define JOURNAL_VERSION		   2
#define JOURNAL_FRAME_HEADER_BYTES 12
#define JOURNAL_MESSAGE_MAX_BYTES  (1U << 30) /* at most */

/* The hash in a frame's head covers the length, too. */
uint32_t journal_frame_hash(const void *bytes, uint32_t len);

#endif
