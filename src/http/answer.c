#include <limits.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "http/client_internal.h"

#define ANSWER_HEAD_MAX_BYTES 65536
/* Interim answers, and what stands between chunks or after the last one. */
#define ANSWER_BARREN_MAX_BYTES 65536
#define ANSWER_LENGTH_DIGITS	18

static bool
header_is(const struct phr_header *h, const char *name)
{
	return h->name_len == strlen(name) &&
	    strncasecmp(h->name, name, h->name_len) == 0;
}

static const char *
parse_length(struct answer *a, const struct phr_header *h)
{
	uint64_t length = 0;
	size_t i;

	if (h->value_len == 0 || h->value_len > ANSWER_LENGTH_DIGITS)
		return "bad content-length";
	for (i = 0; i < h->value_len; i++) {
		if (h->value[i] < '0' || h->value[i] > '9')
			return "bad content-length";
		length = length * 10 + (uint64_t)(h->value[i] - '0');
	}
	if (a->phase == ANSWER_CHUNKED ||
	    (a->phase == ANSWER_LENGTH && a->left != length))
		return "contradicting lengths";
	a->phase = ANSWER_LENGTH;
	a->left = a->length = length;
	a->sized = true;
	return NULL;
}

/* Keep a header's value, cut to size. */
static void
take_value(char *to, size_t size, const struct phr_header *h)
{
	size_t len = h->value_len < size ? h->value_len : size - 1;

	memcpy(to, h->value, len);
	to[len] = '\0';
}

/* "timeout=5, max=100": the seconds that the peer keeps the connection. */
static void
parse_keep_alive(struct answer *a, const struct phr_header *h)
{
	static const char key[] = "timeout=";
	char text[64];
	const char *at;

	take_value(text, sizeof(text), h);
	at = strstr(text, key);
	if (at != NULL)
		a->keep_ms =
		    (uint32_t)strtoul(at + sizeof(key) - 1, NULL, 10) * 1000;
}

static const char *
parse_header(struct answer *a, const struct phr_header *h)
{
	if (header_is(h, "content-length"))
		return parse_length(a, h);
	if (header_is(h, "transfer-encoding")) {
		if (!phr_value_is(h, "chunked"))
			return "unknown transfer-encoding";
		if (a->phase == ANSWER_LENGTH)
			return "contradicting lengths";
		a->phase = ANSWER_CHUNKED;
		a->chunks.consume_trailer = 1;
	} else if (header_is(h, "connection")) {
		a->reusable = phr_value_is(h, "keep-alive");
	} else if (header_is(h, "keep-alive")) {
		parse_keep_alive(a, h);
	} else if (header_is(h, "retry-after")) {
		take_value(a->retry_after, sizeof(a->retry_after), h);
	} else if (header_is(h, "content-type")) {
		take_value(a->content_type, sizeof(a->content_type), h);
	}
	return NULL;
}

/* The head's bytes are kept, so names and values can end in place. */
static void
keep_header(struct answer *a, const struct phr_header *h)
{
	((char *)h->name)[h->name_len] = '\0';
	((char *)h->value)[h->value_len] = '\0';
	a->headers[a->nheaders].name = h->name;
	a->headers[a->nheaders].value = h->value;
	a->nheaders++;
}

static const char *
parse_headers(struct answer *a, const struct phr_header *headers, size_t n)
{
	const char *fault;
	size_t i;

	a->phase = ANSWER_UNTIL_CLOSE;
	for (i = 0; i < n; i++) {
		if (headers[i].name == NULL)
			return "folded header";
		fault = parse_header(a, &headers[i]);
		if (fault != NULL)
			return fault;
		keep_header(a, &headers[i]);
	}
	if (a->no_body || a->status == 204 || a->status == 304 ||
	    (a->phase == ANSWER_LENGTH && a->left == 0))
		a->phase = ANSWER_WHOLE;
	return NULL;
}

const char *
answer_parse_head(struct answer *a, const char *data, size_t len, size_t *rest)
{
	struct phr_header headers[ANSWER_HEADERS_MAX];
	size_t n, reason_len;
	const char *reason;
	int minor, size;

	*rest = 0;
	a->barren += len;
	buf_append(&a->head, data, len);
	for (;;) {
		n = ANSWER_HEADERS_MAX;
		size = phr_parse_response(a->head.data, a->head.len, &minor,
		    &a->status, &reason, &reason_len, headers, &n, 0);
		if (size == -1)
			return "malformed answer";
		if (size == -2)
			return a->head.len > ANSWER_HEAD_MAX_BYTES ||
				a->barren > ANSWER_BARREN_MAX_BYTES
			    ? "head too long"
			    : NULL;
		if (a->status < 100 || a->status == 101)
			return "unexpected status";
		if (a->status >= 200)
			break;
		buf_consume(&a->head, (size_t)size); /* informational */
	}
	a->barren = 0;
	a->reusable = minor >= 1;
	*rest = a->head.len - (size_t)size;
	return parse_headers(a, headers, n);
}

static const char *
decode_chunks(struct answer *a, char *data, size_t *len)
{
	size_t came = *len;
	ssize_t rest = phr_decode_chunked(&a->chunks, data, len);

	if (rest == -1)
		return "malformed chunk";
	if (rest >= 0)
		a->phase = ANSWER_WHOLE;
	if (rest > 0)
		a->reusable = false;
	a->barren = *len > 0 ? 0 : a->barren + came;
	if (a->phase != ANSWER_WHOLE && a->barren > ANSWER_BARREN_MAX_BYTES)
		return "no data between chunks";
	return NULL;
}

const char *
answer_decode(struct answer *a, char *data, size_t *len)
{
	if (a->phase == ANSWER_CHUNKED)
		return decode_chunks(a, data, len);
	if (a->phase == ANSWER_LENGTH) {
		if (*len > a->left) {
			*len = (size_t)a->left;
			a->reusable = false;
		}
		a->left -= *len;
		if (a->left == 0)
			a->phase = ANSWER_WHOLE;
	}
	return NULL;
}
