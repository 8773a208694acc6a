/*
 * An h2o filter for error responses that do not come from http_server_reply():
 * it replaces h2o's body with the JSON error document.
 */

#include <string.h>

#include "http/server_internal.h"
#include "util/buf.h"

struct error_stream {
	h2o_ostream_t base;
	h2o_iovec_t body;
	bool sent;
};

/* The code of the error document. */
static const char *
error_code(int status)
{
	switch (status) {
	case 413:
		return "body-too-large";
	case 431:
		return "headers-too-large";
	default:
		return status < 500 ? "bad-request" : "internal";
	}
}

/* Send the document with the first piece and drop h2o's text. */
static void
on_send(h2o_ostream_t *base, h2o_req_t *req, h2o_iovec_t *bufs, size_t count,
    h2o_send_state_t state)
{
	struct error_stream *r = (struct error_stream *)base;

	(void)bufs;
	(void)count;
	h2o_ostream_send_next(base, req, &r->body, r->sent ? 0 : 1, state);
	r->sent = true;
}

static void
on_setup(h2o_filter_t *filter, h2o_req_t *req, h2o_ostream_t **slot)
{
	struct error_stream *r;
	struct buf text = {0};
	const char *code = error_code(req->res.status);

	(void)filter;
	if (req->res.status >= 400 && !exchange_owns_response(req)) {
		buf_printf(&text,
		    "{\"error\": {\"code\": \"%s\", \"message\": \"%s\", "
		    "\"outcome\": \"not-run\"}}",
		    code, req->res.reason);
		r = (struct error_stream *)h2o_add_ostream(
		    req, sizeof(*r), slot);
		r->base.do_send = on_send;
		r->body = h2o_strdup(&req->pool, text.data, text.len);
		r->sent = false;
		slot = &r->base.next;
		req->res.content_length = text.len;
		buf_free(&text);
		h2o_set_header(&req->pool, &req->res.headers,
		    H2O_TOKEN_CONTENT_TYPE, H2O_STRLIT("application/json"), 1);
		h2o_add_header_by_str(&req->pool, &req->res.headers,
		    H2O_STRLIT("mulberrypath-outcome"), 0, NULL,
		    H2O_STRLIT("not-run"));
	}
	h2o_setup_next_ostream(req, slot);
}

void
error_response_register(h2o_hostconf_t *host)
{
	size_t i;

	h2o_create_filter(&host->fallback_path, sizeof(h2o_filter_t))
	    ->on_setup_ostream = on_setup;
	for (i = 0; i < host->paths.size; i++)
		h2o_create_filter(&host->paths.entries[i], sizeof(h2o_filter_t))
		    ->on_setup_ostream = on_setup;
}
