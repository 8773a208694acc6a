#ifndef MP_TESTS_FAKES_FAKE_H
#define MP_TESTS_FAKES_FAKE_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "http/http.h"
#include "util/buf.h"

#ifdef __cplusplus
extern "C" {
#endif

/* What the stand-in programs share. */

/* One command line option; exactly one of the fields is set. */
struct fake_cli_option {
	const char *name;
	const char **text;
	double *number;
	bool *flag;
};

/* Fill the options' variables from the command line, or exit with 2. */
void fake_parse_options(
    int argc, char **argv, const struct fake_cli_option *options, size_t n);

/* Serve on an address, print {"listen":"ip:port"}; exits when it cannot. */
struct http_server *fake_serve(uv_loop_t *loop, const char *listen,
    const struct http_server_callbacks *callbacks, void *ctx, char *address,
    size_t size);

/* Answer with JSON; the value is released. */
void fake_reply(
    struct http_server *s, uint64_t request, int status, json_t *value);
/* The same, of another content type. */
void fake_reply_typed(struct http_server *s, uint64_t request, int status,
    const char *type, json_t *value);

/* Answer with the error body of docs/PROTOCOL.md. */
void fake_reply_error(
    struct http_server *s, uint64_t request, int status, const char *code);

/* Whether a path without its query is the given one. */
bool fake_path_is(const char *path, const char *expected);

/*
 * The index-th token that an engine generates: the same for the same key,
 * prompt and index everywhere, so that a checker can tell a whole answer.
 */
void fake_append_token(
    struct buf *out, const char *key, const char *prompt, unsigned index);

#ifdef __cplusplus
}
#endif

#endif
