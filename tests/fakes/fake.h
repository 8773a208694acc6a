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

/*
 * Code shared by the stand-in programs: command line, HTTP server, JSON
 * responses. They are test programs and exit on errors.
 */

/* A command line option; exactly one of text, number and flag is set. */
struct fake_cli_option {
	const char *name; /* without the leading "--" */
	const char **text;
	double *number;
	bool *flag;
};

/*
 * Store the values of the command line in the variables of the options.
 * Text values point into argv. Exits with status 2 on an unknown option or a
 * missing value. At most 40 options are supported; the rest is ignored.
 */
void fake_parse_options(
    int argc, char **argv, const struct fake_cli_option *options, size_t n);

/*
 * Create a server and print {"listen":"ip:port"} with the bound port. Exits
 * with status 1 on failure.
 *
 * listen: "ip:port"; port 0 lets the kernel choose one.
 * address: receives "ip:port" with the bound port, cut to size bytes.
 */
struct http_server *fake_serve(uv_loop_t *loop, const char *listen,
    const struct http_server_callbacks *callbacks, void *ctx, char *address,
    size_t size);

/* Send a JSON response; takes ownership of value. */
void fake_reply(
    struct http_server *s, uint64_t request, int status, json_t *value);
/* As fake_reply(), with another content type. */
void fake_reply_typed(struct http_server *s, uint64_t request, int status,
    const char *type, json_t *value);

/*
 * Send an error response with the body that docs/PROTOCOL.md defines and the
 * outcome "not-run".
 */
void fake_reply_error(
    struct http_server *s, uint64_t request, int status, const char *code);

/* Tell whether a path equals expected when its query is ignored. */
bool fake_path_is(const char *path, const char *expected);

/*
 * Append the token that an engine generates at an index. It depends only on
 * key, prompt and index, so that a checker can verify that a response is
 * complete.
 */
void fake_append_token(
    struct buf *out, const char *key, const char *prompt, unsigned index);

#ifdef __cplusplus
}
#endif

#endif
