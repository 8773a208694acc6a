#include <stdio.h>

#include "route/route.h"

/* Replies with JSON bodies. */

static const char *
outcome_name(enum route_outcome outcome)
{
	switch (outcome) {
	case ROUTE_NOT_RUN:
		return "not-run";
	case ROUTE_UNKNOWN:
		return "unknown";
	case ROUTE_DONE:
		break;
	}
	return "done";
}

static void
add_header(struct node_reply *reply, const char *name, const char *value)
{
	if (reply->nheaders == NODE_HEADERS_MAX)
		return;
	reply->headers[reply->nheaders].name = name;
	reply->headers[reply->nheaders].value = value;
	reply->nheaders++;
}

void
route_reply_error(
    struct node_effects *fx, uint64_t request, const struct route_error *error)
{
	struct node_reply *reply;
	struct buf body = {0};
	uint32_t seconds = (error->retry_after_ms + 999) / 1000;

	buf_puts(&body, "{\"error\": {\"code\": ");
	buf_json_string(&body, error->code);
	buf_puts(&body, ", \"message\": ");
	buf_json_string(&body, error->message);
	buf_printf(
	    &body, ", \"outcome\": \"%s\"", outcome_name(error->outcome));
	if (error->retry_after_ms > 0)
		buf_printf(
		    &body, ", \"retryAfterMs\": %u", error->retry_after_ms);
	buf_puts(&body, "}}\n");

	reply = &node_effects_add(fx, NODE_FX_REPLY)->u.reply;
	reply->request = request;
	reply->status = error->status;
	reply->content_type = ROUTE_CONTENT_TYPE_JSON;
	add_header(reply, "mulberrypath-outcome", outcome_name(error->outcome));
	if (seconds > 0)
		add_header(reply, "retry-after",
		    node_effects_printf(fx, "%u", seconds));
	reply->body.data = node_effects_copy(fx, body.data, body.len);
	reply->body.len = body.len;
	buf_free(&body);
}

void
route_reply_json(
    struct node_effects *fx, uint64_t request, int status, const char *json)
{
	struct node_reply *reply;
	struct buf body = {0};

	buf_puts(&body, json);
	reply = &node_effects_add(fx, NODE_FX_REPLY)->u.reply;
	reply->request = request;
	reply->status = status;
	reply->content_type = ROUTE_CONTENT_TYPE_JSON;
	reply->body.data = node_effects_copy(fx, body.data, body.len);
	reply->body.len = body.len;
	buf_free(&body);
}
