/*
 * Command line options, HTTP server and JSON responses of the stand-ins.
 */

#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "fakes/fake.h"

#define FAKE_OPTIONS_MAX      40
#define FAKE_BODY_BYTES_MAX   (8u << 20)
#define FAKE_HEADER_BYTES_MAX (32u << 10)
#define FAKE_CONNECTIONS_MAX  4096
#define FAKE_IDLE_TIMEOUT_MS  60000
#define FAKE_PROMPT_HASH_MASK 0xffffu

void
fake_parse_options(
    int argc, char **argv, const struct fake_cli_option *options, size_t n)
{
	struct option long_options[FAKE_OPTIONS_MAX + 1];
	int index, code;
	size_t i;

	memset(long_options, 0, sizeof(long_options));
	for (i = 0; i < n && i < FAKE_OPTIONS_MAX; i++) {
		long_options[i].name = options[i].name;
		long_options[i].has_arg = options[i].flag == NULL;
	}
	while (
	    (code = getopt_long(argc, argv, "", long_options, &index)) != -1) {
		if (code != 0)
			exit(2);
		if (options[index].flag != NULL)
			*options[index].flag = true;
		else if (options[index].text != NULL)
			*options[index].text = optarg;
		else
			*options[index].number = strtod(optarg, NULL);
	}
}

struct http_server *
fake_serve(uv_loop_t *loop, const char *listen,
    const struct http_server_callbacks *callbacks, void *ctx, char *address,
    size_t size)
{
	struct http_server_options options = {
	    .listen = listen,
	    .body_limit_bytes = FAKE_BODY_BYTES_MAX,
	    .header_limit_bytes = FAKE_HEADER_BYTES_MAX,
	    .connection_limit = FAKE_CONNECTIONS_MAX,
	    .idle_timeout_ms = FAKE_IDLE_TIMEOUT_MS,
	};
	struct http_server *s;
	struct mp_error err;

	if (http_server_create(&s, loop, &options, callbacks, ctx, &err) !=
	    MP_OK) {
		fprintf(stderr, "%s\n", err.message);
		exit(1);
	}
	(void)snprintf(address, size, "%.*s:%d",
	    (int)(strrchr(listen, ':') - listen), listen,
	    http_server_get_port(s));
	printf("{\"listen\":\"%s\"}\n", address);
	(void)fflush(stdout);
	return s;
}

void
fake_reply(struct http_server *s, uint64_t request, int status, json_t *value)
{
	fake_reply_typed(s, request, status, "application/json", value);
}

void
fake_reply_typed(struct http_server *s, uint64_t request, int status,
    const char *type, json_t *value)
{
	struct node_reply reply;
	char *text = json_dumps(value, JSON_COMPACT);

	memset(&reply, 0, sizeof(reply));
	reply.request = request;
	reply.status = status;
	reply.content_type = type;
	reply.body.data = text;
	reply.body.len = strlen(text);
	if (status == 429 || status == 503)
		reply.headers[reply.nheaders++] =
		    (struct node_header){"retry-after", "1"};
	http_server_reply(s, &reply);
	free(text);
	json_decref(value);
}

void
fake_reply_error(
    struct http_server *s, uint64_t request, int status, const char *code)
{
	fake_reply(s, request, status,
	    json_pack("{s:{s:s, s:s, s:s}}", "error", "code", code, "message",
		code, "outcome", "not-run"));
}

bool
fake_path_is(const char *path, const char *expected)
{
	size_t len = strlen(expected);

	return strncmp(path, expected, len) == 0 &&
	    (path[len] == '\0' || path[len] == '?');
}

void
fake_append_token(
    struct buf *out, const char *key, const char *prompt, unsigned index)
{
	buf_printf(out, "%08x.%04x-%u ", (unsigned)XXH32(key, strlen(key), 0),
	    (unsigned)XXH32(prompt, strlen(prompt), 0) & FAKE_PROMPT_HASH_MASK,
	    index);
}
