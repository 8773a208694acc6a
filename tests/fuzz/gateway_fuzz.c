#include <stdlib.h>
#include <string.h>

#include "forward/forward_internal.h"
#include "http/front_internal.h"
#include "gate/gate_account.h"
#include "platform/platform.h"
#include "util/mem.h"

#define HEADERS_MAX 16

/* What reaches the gateway from outside; the first byte says which. */
enum input {
	CALL_ANNOUNCE = 'a',
	CALL_CONTROL = 'c',
	CONFIG = 'g',
	EVENTS = 'e',
	HEAD = 'h',
	REQUEST = 'r',
	ANSWER = 's',
	REPORT = 't'
};

/* "Name: value" lines. */
static size_t
read_headers(struct node_header *out, char *lines)
{
	char *line, *colon, *rest = lines;
	size_t n = 0;

	while (n < HEADERS_MAX && (line = strsep(&rest, "\n")) != NULL) {
		colon = strchr(line, ':');
		if (colon == NULL)
			continue;
		*colon = '\0';
		out[n].name = line;
		out[n++].value = colon + 1 + (colon[1] == ' ');
	}
	return n;
}

/* A path in the first line, the body after it. */
static void
read_call(enum node_listener listener, const char *method, char *text,
    struct node_effects *memory)
{
	struct node_request in = {0};
	struct gw_call call;
	struct mp_error err;
	char *end = strchr(text, '\n');

	if (end == NULL)
		return;
	*end = '\0';
	in.listener = listener;
	in.method = method;
	in.path = text;
	in.body = (struct node_bytes){end + 1, strlen(end + 1)};
	(void)platform_codec.read_call(&call, &in, memory, &err);
}

static void
read_config(const char *data, size_t len)
{
	struct gw_config *config = NULL;
	struct mp_error err;

	if (platform_codec.read_config(
		&config, (struct node_bytes){data, len}, &err) != MP_OK)
		return;
	(void)gw_config_check(config, &err);
	gw_config_hash_keys(config, (const uint8_t[GW_KEY_SECRET_BYTES]){0});
	(void)gw_config_check(config, &err);
	gw_config_destroy(config);
}

static void
read_request(char *text, struct node_effects *memory)
{
	struct node_header headers[HEADERS_MAX];
	struct node_request in = {0};
	struct node_call call = {0};
	struct gw_request request;
	struct gw_endpoint_request send = {0};
	struct mp_error err;

	in.method = "POST";
	in.path = "/x";
	in.headers = headers;
	in.nheaders = read_headers(headers, text);
	if (platform_codec.read_request(&request, &in, memory, &err) != MP_OK)
		return;
	send.request = &request;
	send.endpoint = "i-1";
	platform_codec.write_endpoint_request(&call, &send, memory);
}

static void
read_answer(char *text, struct node_effects *memory)
{
	struct node_header headers[HEADERS_MAX];
	struct node_call_event head = {0};
	struct gw_endpoint_response answer;

	head.phase = NODE_CALL_HEAD;
	head.status = 200;
	head.headers = headers;
	head.nheaders = read_headers(headers, text);
	platform_codec.read_endpoint_response(&answer, &head, memory);
}

static void
read_events(const char *data, size_t len)
{
	size_t whole = fwd_events_complete_len(data, len);

	if (whole > len)
		abort();
	free(fwd_events_last_id(data, whole));
}

static void
read_head(const char *data, size_t len)
{
	static const struct node_limits limits = {
	    .header_bytes = 2048, .body_bytes = 2048};
	struct front_head head;

	if (front_parse_head(&head, data, len, &limits) == FRONT_OK &&
	    head.size_bytes > len)
		abort();
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct node_effects *memory;
	struct gw_report report;
	char *text;

	if (size < 1)
		return 0;
	memory = node_effects_create();
	text = mem_copy((const char *)data + 1, size - 1);
	switch (data[0]) {
	case CALL_ANNOUNCE:
		read_call(NODE_LISTEN_REGISTRY, "PUT", text, memory);
		break;
	case CALL_CONTROL:
		read_call(NODE_LISTEN_CONTROL, "PUT", text, memory);
		break;
	case CONFIG:
		read_config(text, size - 1);
		break;
	case EVENTS:
		read_events(text, size - 1);
		break;
	case HEAD:
		read_head(text, size - 1);
		break;
	case REQUEST:
		read_request(text, memory);
		break;
	case ANSWER:
		read_answer(text, memory);
		break;
	case REPORT:
		(void)platform_codec.read_report(
		    &report, (struct node_bytes){text, size - 1}, memory);
		break;
	default:
		break;
	}
	free(text);
	node_effects_destroy(memory);
	return 0;
}
