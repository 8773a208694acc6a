/*
 * Parses and validates the head of a request. Whatever another parser could
 * read differently is refused, as it would allow request smuggling.
 */

#include <string.h>
#include <strings.h>

#include "http/front_internal.h"
#include "http/line.h"

#define LENGTH_DIGITS_MAX 18

static bool
name_is(const struct phr_header *h, const char *name)
{
	return h->name_len == strlen(name) &&
	    strncasecmp(h->name, name, h->name_len) == 0;
}

/* Return whether a comma-separated list contains a token. */
static bool
value_has_token(const struct phr_header *h, const char *token)
{
	size_t len = strlen(token), from = 0, to;

	while (from < h->value_len) {
		while (from < h->value_len &&
		    strchr(" \t,", h->value[from]) != NULL)
			from++;
		to = from;
		while (
		    to < h->value_len && strchr(" \t,", h->value[to]) == NULL)
			to++;
		if (to - from == len &&
		    strncasecmp(h->value + from, token, len) == 0)
			return true;
		from = to;
	}
	return false;
}

static enum front_fault
parse_length(struct front_head *head, const struct phr_header *h, bool repeated)
{
	uint64_t length = 0;
	size_t i;

	if (repeated || h->value_len == 0 || h->value_len > LENGTH_DIGITS_MAX)
		return FRONT_BAD;
	for (i = 0; i < h->value_len; i++) {
		if (h->value[i] < '0' || h->value[i] > '9')
			return FRONT_BAD;
		length = length * 10 + (uint64_t)(h->value[i] - '0');
	}
	head->content_length = length;
	return FRONT_OK;
}

/* Which of the headers that may occur only once were seen. */
struct seen_headers {
	bool length, coding, host;
};

static enum front_fault
check_header(struct front_head *head, struct seen_headers *seen,
    const struct phr_header *h)
{
	enum front_fault fault;

	if (h->name == NULL)
		return FRONT_BAD; /* folded header */
	if (name_is(h, "content-length")) {
		fault = parse_length(head, h, seen->length);
		seen->length = true;
		return fault;
	}
	if (name_is(h, "transfer-encoding")) {
		if (seen->coding)
			return FRONT_BAD;
		seen->coding = true;
		head->chunked = phr_value_is(h, "chunked");
		return head->chunked ? FRONT_OK : FRONT_UNKNOWN_CODING;
	}
	if (name_is(h, "host")) {
		if (seen->host || h->value_len == 0)
			return FRONT_BAD;
		seen->host = true;
	} else if (name_is(h, "connection")) {
		if (value_has_token(h, "close"))
			head->keep_alive = false;
		else if (head->minor_version == 0 &&
		    value_has_token(h, "keep-alive"))
			head->keep_alive = true;
	} else if (name_is(h, "expect")) {
		head->expects_continue = phr_value_is(h, "100-continue");
	}
	return FRONT_OK;
}

static enum front_fault
check_headers(struct front_head *head, const struct node_limits *limits)
{
	struct seen_headers seen = {0};
	enum front_fault fault;
	size_t i;

	head->keep_alive = head->minor_version >= 1;
	for (i = 0; i < head->nheaders; i++) {
		fault = check_header(head, &seen, &head->headers[i]);
		if (fault != FRONT_OK)
			return fault;
	}
	if (seen.length && seen.coding)
		return FRONT_BAD;
	if (head->minor_version == 0 && seen.coding)
		return FRONT_BAD;
	if (!seen.host && head->minor_version >= 1)
		return FRONT_BAD;
	if (head->path_len == 0 || head->path[0] != '/')
		return FRONT_BAD;
	if (head->content_length > limits->body_bytes)
		return FRONT_BODY_TOO_LARGE;
	return FRONT_OK;
}

/* Remove white space at the end of values; the parser removed the leading. */
static void
trim_trailing_space(struct front_head *head)
{
	struct phr_header *h;
	size_t i;

	for (i = 0; i < head->nheaders; i++) {
		h = &head->headers[i];
		while (h->value_len > 0 &&
		    (h->value[h->value_len - 1] == ' ' ||
			h->value[h->value_len - 1] == '\t'))
			h->value_len--;
	}
}

enum front_fault
front_parse_head(struct front_head *head, const char *data, size_t len,
    const struct node_limits *limits)
{
	int size;

	memset(head, 0, sizeof(*head));
	head->nheaders = FRONT_HEADERS_MAX;
	size = phr_parse_request(data, len, &head->method, &head->method_len,
	    &head->path, &head->path_len, &head->minor_version, head->headers,
	    &head->nheaders, 0);
	if (size == -2)
		return len > limits->header_bytes ? FRONT_HEAD_TOO_LARGE
						  : FRONT_INCOMPLETE;
	if (size == -1)
		return FRONT_BAD;
	if ((size_t)size > limits->header_bytes)
		return FRONT_HEAD_TOO_LARGE;
	if (!line_ends_are_strict(data, (size_t)size))
		return FRONT_BAD;
	head->size_bytes = (size_t)size;
	trim_trailing_space(head);
	return check_headers(head, limits);
}
