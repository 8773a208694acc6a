/* Parser of HTTP/1 responses, fed with pieces as they are received. */

#include <limits.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "http/client_internal.h"
#include "http/line.h"

#define LENGTH_DIGITS_MAX 18
/* The parser of heads takes exactly three digits. */
#define STATUS_INTERIM_MIN 100
#define STATUS_FINAL_MIN   200
#define STATUS_MAX	   599

static bool
name_is(const struct phr_header *h, const char *name)
{
	return h->name_len == strlen(name) &&
	    strncasecmp(h->name, name, h->name_len) == 0;
}

static const char *
parse_length(struct response *r, const struct phr_header *h)
{
	uint64_t length = 0;
	size_t i;

	if (h->value_len == 0 || h->value_len > LENGTH_DIGITS_MAX)
		return "bad content-length";
	for (i = 0; i < h->value_len; i++) {
		if (h->value[i] < '0' || h->value[i] > '9')
			return "bad content-length";
		length = length * 10 + (uint64_t)(h->value[i] - '0');
	}
	if (r->phase == RESPONSE_BODY_CHUNKED ||
	    (r->phase == RESPONSE_BODY_LENGTH && r->body_left_bytes != length))
		return "contradicting lengths";
	r->phase = RESPONSE_BODY_LENGTH;
	r->body_left_bytes = r->length = length;
	r->has_length = true;
	return NULL;
}

/* Copy a header's value as a string, truncated to the size of the buffer. */
static void
copy_value(char *to, size_t size, const struct phr_header *h)
{
	size_t len = h->value_len < size ? h->value_len : size - 1;

	memcpy(to, h->value, len);
	to[len] = '\0';
}

/* Read the peer's idle timeout in seconds: "timeout=5, max=100". */
static void
parse_keep_alive(struct response *r, const struct phr_header *h)
{
	static const char key[] = "timeout=";
	char text[64];
	const char *at;

	copy_value(text, sizeof(text), h);
	at = strstr(text, key);
	if (at != NULL)
		r->keep_alive_ms =
		    (uint32_t)strtoul(at + sizeof(key) - 1, NULL, 10) * 1000;
}

static const char *
parse_header(struct response *r, const struct phr_header *h)
{
	if (name_is(h, "content-length"))
		return parse_length(r, h);
	if (name_is(h, "transfer-encoding")) {
		if (!phr_value_is(h, "chunked"))
			return "unknown transfer-encoding";
		if (r->phase == RESPONSE_BODY_LENGTH)
			return "contradicting lengths";
		if (r->phase == RESPONSE_BODY_CHUNKED)
			return "repeated transfer-encoding";
		r->phase = RESPONSE_BODY_CHUNKED;
	} else if (name_is(h, "connection")) {
		r->reusable = phr_value_is(h, "keep-alive");
	} else if (name_is(h, "keep-alive")) {
		parse_keep_alive(r, h);
	} else if (name_is(h, "retry-after")) {
		copy_value(r->retry_after, sizeof(r->retry_after), h);
	} else if (name_is(h, "content-type")) {
		copy_value(r->content_type, sizeof(r->content_type), h);
	}
	return NULL;
}

/* Zero-terminate name and value in place; the bytes of the head stay valid. */
static void
add_header(struct response *r, const struct phr_header *h)
{
	((char *)h->name)[h->name_len] = '\0';
	((char *)h->value)[h->value_len] = '\0';
	r->headers[r->nheaders].name = h->name;
	r->headers[r->nheaders].value = h->value;
	r->nheaders++;
}

static const char *
parse_headers(struct response *r, const struct phr_header *headers, size_t n)
{
	const char *fault;
	size_t i;

	r->phase = RESPONSE_BODY_UNTIL_CLOSE;
	for (i = 0; i < n; i++) {
		if (headers[i].name == NULL)
			return "folded header";
		fault = parse_header(r, &headers[i]);
		if (fault != NULL)
			return fault;
		add_header(r, &headers[i]);
	}
	if (r->no_body || r->status == 204 || r->status == 304 ||
	    (r->phase == RESPONSE_BODY_LENGTH && r->body_left_bytes == 0))
		r->phase = RESPONSE_COMPLETE;
	return NULL;
}

/*
 * Whether an interim response announces a body. It has none, so that this one
 * was meant as the final response.
 */
static bool
announces_body(const struct phr_header *headers, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (headers[i].name != NULL &&
		    (name_is(&headers[i], "transfer-encoding") ||
			(name_is(&headers[i], "content-length") &&
			    !phr_value_is(&headers[i], "0"))))
			return true;
	return false;
}

const char *
response_parse_head(struct response *r, const char *data, size_t len,
    size_t max_bytes, size_t *rest)
{
	struct phr_header headers[RESPONSE_HEADERS_MAX];
	size_t n, reason_len, at = 0; /* of the first unparsed byte */
	const char *reason, *fault;
	int minor, size;

	*rest = 0;
	r->overhead_bytes += len;
	buf_append(&r->head, data, len);
	for (;;) {
		n = RESPONSE_HEADERS_MAX;
		size = phr_parse_response(r->head.data + at, r->head.len - at,
		    &minor, &r->status, &reason, &reason_len, headers, &n, 0);
		if (size == -1)
			return "malformed answer";
		if (size == -2) {
			buf_consume(&r->head, at);
			return r->head.len > max_bytes ||
				r->overhead_bytes > max_bytes
			    ? "head too long"
			    : NULL;
		}
		if (!line_ends_are_strict(r->head.data + at, (size_t)size))
			return "malformed line end";
		if (r->status < STATUS_INTERIM_MIN || r->status == 101 ||
		    r->status > STATUS_MAX)
			return "unexpected status";
		if (r->status >= STATUS_FINAL_MIN)
			break;
		if (announces_body(headers, n))
			return "interim response with a body";
		at += (size_t)size; /* interim response */
	}
	r->overhead_bytes = 0;
	r->reusable = minor >= 1;
	*rest = r->head.len - at - (size_t)size;
	fault = parse_headers(r, headers, n);
	if (fault == NULL && minor == 0 && r->phase == RESPONSE_BODY_CHUNKED)
		fault = "transfer-encoding in HTTP/1.0";
	return fault;
}

static const char *
decode_chunks(struct response *r, char *data, size_t *len)
{
	size_t received = *len, consumed;

	switch (chunk_read(&r->chunks, data, received, len, &consumed)) {
	case CHUNK_MALFORMED:
		return "malformed chunk";
	case CHUNK_OVERHEAD:
		return "no data between chunks";
	case CHUNK_COMPLETE:
		r->phase = RESPONSE_COMPLETE;
		if (consumed < received)
			r->reusable = false;
		return NULL;
	default:
		return NULL;
	}
}

const char *
response_decode_body(struct response *r, char *data, size_t *len)
{
	if (r->phase == RESPONSE_BODY_CHUNKED)
		return decode_chunks(r, data, len);
	if (r->phase == RESPONSE_BODY_LENGTH) {
		if (*len > r->body_left_bytes) {
			*len = (size_t)r->body_left_bytes;
			r->reusable = false;
		}
		r->body_left_bytes -= *len;
		if (r->body_left_bytes == 0)
			r->phase = RESPONSE_COMPLETE;
	}
	return NULL;
}
