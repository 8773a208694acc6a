#ifndef MP_JOURNAL_JOURNAL_FRAME_H
#define MP_JOURNAL_JOURNAL_FRAME_H

#include <stddef.h>
#include <stdint.h>

#include "mulberrypath/error.h"

/*
 * The file format: JOURNAL_MAGIC, then frames. A frame is a header of three
 * little-endian 32-bit numbers (length of the packed message, its hash, hash
 * of the two numbers before), then the message, encrypted. The hash of the
 * header distinguishes a damaged length from a truncated file.
 */
#define JOURNAL_MAGIC		   "mulberrypath journal\n"
#define JOURNAL_VERSION		   3
#define JOURNAL_FRAME_HEADER_BYTES 12
#define JOURNAL_MESSAGE_MAX_BYTES  (1U << 30)

/* The key of a journal, in a file whose name has this suffix. */
#define JOURNAL_KEY_BYTES  32
#define JOURNAL_KEY_SUFFIX ".key"

/*
 * Creates the key of a new journal, or reads that of an existing one. Only the
 * owner can read its file.
 *
 * file: name of the journal.
 * Errors: MP_ERR_IO, MP_ERR_CORRUPT.
 */
int journal_key_create(
    uint8_t out[JOURNAL_KEY_BYTES], const char *file, struct mp_error *err);
int journal_key_read(
    uint8_t out[JOURNAL_KEY_BYTES], const char *file, struct mp_error *err);

/*
 * Encrypts or decrypts the message of a frame in place.
 *
 * number: of the frame, from 0.
 */
void journal_frame_cipher(uint8_t *bytes, size_t len, uint64_t number,
    const uint8_t key[JOURNAL_KEY_BYTES]);

/* Returns the hash of len bytes; it depends on len, too. */
uint32_t journal_frame_hash(const void *bytes, uint32_t len);

#endif
