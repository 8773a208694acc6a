#ifndef MP_HTTP_CHUNK_H
#define MP_HTTP_CHUNK_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Strict reader of chunked bodies (RFC 9112, section 7.1), for requests and
 * responses alike. What another reader could read differently is refused, as
 * it would allow a request to be smuggled inside another one, or cut an answer
 * short so that it looks complete:
 *
 * - A size is 1 to CHUNK_SIZE_DIGITS_MAX hexadecimal digits, followed by the
 *   end of the line or by ";" and well-formed extensions.
 * - Lines end in CR LF, and so does the data of a chunk.
 * - Trailers are header fields on one line each, CHUNK_TRAILERS_MAX at most.
 *
 * Extensions and trailers are read and dropped.
 */

#define CHUNK_SIZE_DIGITS_MAX 16u
#define CHUNK_TRAILERS_MAX    100u
/* Bytes that may be received without any of the data, but for the last end. */
#define CHUNK_OVERHEAD_MAX_BYTES 65536u

enum chunk_result {
	CHUNK_INCOMPLETE,
	CHUNK_COMPLETE, /* the last chunk and the trailers were read */
	CHUNK_MALFORMED, /* the rest can't be read */
	CHUNK_OVERHEAD /* too many bytes or trailers without data */
};

/* Starts zeroed. */
struct chunk_reader {
	uint8_t state;
	uint32_t digits; /* of the size that is being read */
	uint64_t left_bytes; /* of the chunk's data */
	uint32_t trailers;
	size_t overhead_bytes; /* since the last data */
};

/*
 * Reads received bytes, and moves the data among them to the beginning.
 *
 * data_len: set to the length of the data; 0 unless the result is
 * CHUNK_INCOMPLETE or CHUNK_COMPLETE.
 * consumed: set to the bytes that belong to the body; those behind it keep
 * their place.
 */
enum chunk_result chunk_read(struct chunk_reader *r, char *bytes, size_t len,
    size_t *data_len, size_t *consumed);

#ifdef __cplusplus
}
#endif

#endif
