#include <errno.h>
#include <fcntl.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "journal/journal_frame.h"
#include "util/buf.h"

/*
 * Encryption of a journal. Its events contain the keys of client accounts: in
 * requests, and in the operator's configuration, which messages between
 * instances carry and whose digests a replay must reproduce. So the events are
 * kept as they were and the file is encrypted as a whole. The key of the file
 * is in another one beside it.
 */

_Static_assert(
    crypto_stream_xchacha20_KEYBYTES == JOURNAL_KEY_BYTES, "length of a key");

static int
set_io_error(struct mp_error *err, const char *file)
{
	return mp_error_set(err, MP_LAYER_STORE, MP_ERR_IO,
	    "the key of the journal: %s: %s", file, strerror(errno));
}

/* Opens the file that has the key of a journal, or -1. */
static int
open_key_file(struct buf *name, const char *file, int flags)
{
	buf_printf(name, "%s" JOURNAL_KEY_SUFFIX, file);
	return open(name->data, flags | O_CLOEXEC, 0600);
}

int
journal_key_create(
    uint8_t out[JOURNAL_KEY_BYTES], const char *file, struct mp_error *err)
{
	struct buf name = {0};
	int fd = open_key_file(&name, file, O_WRONLY | O_CREAT | O_TRUNC);
	int code = MP_OK;

	randombytes_buf(out, JOURNAL_KEY_BYTES);
	if (fd < 0 || fchmod(fd, 0600) != 0 ||
	    write(fd, out, JOURNAL_KEY_BYTES) != (ssize_t)JOURNAL_KEY_BYTES)
		code = set_io_error(err, name.data);
	if (fd >= 0 && close(fd) != 0 && code == MP_OK)
		code = set_io_error(err, name.data);
	buf_free(&name);
	return code;
}

int
journal_key_read(
    uint8_t out[JOURNAL_KEY_BYTES], const char *file, struct mp_error *err)
{
	struct buf name = {0};
	int fd = open_key_file(&name, file, O_RDONLY);
	ssize_t got = fd < 0 ? -1 : read(fd, out, JOURNAL_KEY_BYTES);
	int code = MP_OK;

	if (got < 0)
		code = set_io_error(err, name.data);
	else if (got != (ssize_t)JOURNAL_KEY_BYTES)
		code = mp_error_set(err, MP_LAYER_STORE, MP_ERR_CORRUPT,
		    "%s is not the key of a journal", name.data);
	if (fd >= 0)
		(void)close(fd);
	buf_free(&name);
	return code;
}

void
journal_frame_cipher(uint8_t *bytes, size_t len, uint64_t number,
    const uint8_t key[JOURNAL_KEY_BYTES])
{
	uint8_t nonce[crypto_stream_xchacha20_NONCEBYTES] = {0};
	size_t i;

	for (i = 0; i < sizeof(number); i++)
		nonce[i] = (uint8_t)(number >> 8 * i);
	(void)crypto_stream_xchacha20_xor(bytes, bytes, len, nonce, key);
}
