#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "node/node_internal.h"
#include "util/mem.h"

/*
 * The HTTP API for callers: model requests and calls of services. Both are
 * parsed, checked against the team's document and passed to the route.
 */

/* Length of a prompt's start by which its cached prefix is identified. */
#define PROMPT_PREFIX_BYTES 256
#define BYTES_PER_TOKEN	    4 /* estimate for prompts */
#define TIMEOUT_MS_MAX	    (600 * 1000UL)

/* The time by which the answer must have begun. */
static uint64_t
deadline_of(const struct node *n, const struct node_request *request,
    const struct doc_kind *kind)
{
	uint64_t ms = n->settings->request_timeout_ms;
	unsigned long requested_ms;

	if (kind->deadline_ms > 0)
		ms = kind->deadline_ms;
	if (request->timeout != NULL) {
		requested_ms = strtoul(request->timeout, NULL, 10);
		if (requested_ms > 0 && requested_ms < ms &&
		    requested_ms <= TIMEOUT_MS_MAX)
			ms = requested_ms;
	}
	return n->now + ms * 1000;
}

/* Refuses a request that may not be answered before this instance exits. */
static bool
refuse_if_stopping(
    struct node *n, const struct node_request *request, uint64_t deadline_us)
{
	if (!n->stopping ||
	    deadline_us <= n->stop_us + NODE_DRAIN_MAX_US - NODE_LAST_ANSWER_US)
		return false;
	/* Without a time to return at: other instances take it now. */
	node_api_refuse(n, request->request, 503, "stopping",
	    "this instance stops; use another one", 0);
	return true;
}

/* The parsed body of a model request. */
struct completion {
	json_t *root;
	const char *model, *kind;
	struct buf prompt;
	uint64_t prefix; /* hash of the prompt's shared start; 0: none */
	uint32_t max_tokens;
	bool stream;
};

static void
completion_free(struct completion *c)
{
	json_decref(c->root);
	buf_free(&c->prompt);
}

static const char *
parse_messages(struct completion *c)
{
	const json_t *messages = json_object_get(c->root, "messages");
	const json_t *item;
	const char *role, *content;
	size_t i, shared = 0;

	if (!json_is_array(messages) || json_array_size(messages) == 0)
		return "\"messages\" must be a list of messages";
	json_array_foreach(messages, i, item)
	{
		role = json_string_value(json_object_get(item, "role"));
		content = json_string_value(json_object_get(item, "content"));
		if (role == NULL || content == NULL)
			return "a message needs \"role\" and \"content\"";
		buf_printf(&c->prompt, "%s: %s\n", role, content);
		if (shared == 0 && strcmp(role, "user") == 0)
			shared = c->prompt.len;
	}
	c->prefix = XXH64(c->prompt.data, shared, 0);
	return NULL;
}

static const char *
parse_prompt(struct completion *c)
{
	const char *prompt =
	    json_string_value(json_object_get(c->root, "prompt"));

	if (prompt == NULL)
		return "\"prompt\" must be a string";
	buf_puts(&c->prompt, prompt);
	if (c->prompt.len >= PROMPT_PREFIX_BYTES)
		c->prefix = XXH64(c->prompt.data, PROMPT_PREFIX_BYTES, 0);
	return NULL;
}

/* Parses a model request. Returns NULL or a message about its fault. */
static const char *
completion_parse(struct completion *c, struct node_bytes body, bool chat)
{
	const json_t *max;

	memset(c, 0, sizeof(*c));
	c->root = json_loadb(body.data, body.len, 0, NULL);
	if (!json_is_object(c->root))
		return "the body must be a JSON object";
	c->model = json_string_value(json_object_get(c->root, "model"));
	if (c->model == NULL)
		return "\"model\" must name an adapter";
	c->kind = json_string_value(json_object_get(c->root, "kind"));
	max = json_object_get(c->root, "max_tokens");
	if (max != NULL &&
	    (!json_is_integer(max) || json_integer_value(max) < 1))
		return "\"max_tokens\" must be a positive number";
	c->max_tokens = json_integer_value(max) > UINT32_MAX
	    ? UINT32_MAX
	    : (uint32_t)json_integer_value(max);
	c->stream = json_is_true(json_object_get(c->root, "stream"));
	return chat ? parse_messages(c) : parse_prompt(c);
}

static void
begin_model(struct node *n, const struct node_request *request, struct doc *doc,
    const struct completion *c, bool chat)
{
	struct route_request r = {0};
	struct mp_error err;
	int rc = doc_resolve_model(doc, c->model, &r.adapter, &r.version, &err);

	if (rc != 0) {
		node_api_refuse(n, request->request, 404,
		    rc == MP_ERR_INVALID ? "unknown-version"
					 : "unknown-adapter",
		    err.message, 0);
		return;
	}
	r.kind =
	    doc_find_kind(doc, c->kind == NULL ? r.adapter->kind : c->kind);
	if (r.kind == NULL) {
		node_api_refuse(n, request->request, 400, "unknown-kind",
		    "the team's document has no such kind", 0);
		return;
	}
	r.request = request->request;
	r.doc = doc;
	r.prompt = c->prompt.data == NULL ? "" : c->prompt.data;
	r.prompt_tokens = (uint32_t)(c->prompt.len / BYTES_PER_TOKEN) + 1;
	r.is_chat = chat;
	r.is_stream = c->stream;
	r.max_tokens = c->max_tokens;
	if (r.max_tokens == 0 || r.max_tokens > r.kind->max_tokens)
		r.max_tokens = r.kind->max_tokens;
	r.prefix = c->prefix;
	r.deadline_us = deadline_of(n, request, r.kind);
	if (!refuse_if_stopping(n, request, r.deadline_us))
		route_start_request(n->route, n->now, &r, n->fx);
}

void
node_api_model(struct node *n, const struct node_request *request,
    struct doc *doc, bool chat)
{
	struct completion c;
	const char *fault = completion_parse(&c, request->body, chat);

	if (fault != NULL)
		node_api_refuse(
		    n, request->request, 400, "bad-request", fault, 0);
	else
		begin_model(n, request, doc, &c, chat);
	completion_free(&c);
}

static void
begin_service(struct node *n, const struct node_request *request,
    struct doc *doc, const struct doc_service *service, const char *path)
{
	struct route_request r = {0};
	const char *query = strchr(request->path, '?');
	struct buf full = {0};

	r.call = doc_find_call(service, request->method, path);
	if (r.call == NULL) {
		node_api_refuse(n, request->request, 404, "unknown-call",
		    "the team's document does not declare this call", 0);
		return;
	}
	buf_printf(&full, "%s%s", path, query == NULL ? "" : query);
	r.request = request->request;
	r.doc = doc;
	r.kind = doc_find_kind(doc, r.call->kind);
	r.service = service;
	r.method = request->method;
	r.path = full.data;
	r.idempotency_key = request->idempotency_key;
	r.content_type = request->content_type;
	r.body = request->body;
	r.deadline_us = deadline_of(n, request, r.kind);
	if (!refuse_if_stopping(n, request, r.deadline_us))
		route_start_request(n->route, n->now, &r, n->fx);
	buf_free(&full);
}

/* rest: the path below /v1/services/, "NAME/PATH". */
void
node_api_service(struct node *n, const struct node_request *request,
    struct doc *doc, const char *rest)
{
	const char *slash = strchr(rest, '/');
	const struct doc_service *service;
	char *name = mem_copy(
	    rest, slash == NULL ? strlen(rest) : (size_t)(slash - rest));

	service = doc_find_service(doc, name);
	if (service == NULL)
		node_api_refuse(n, request->request, 404, "unknown-service",
		    "the team's document has no such service", 0);
	else
		begin_service(
		    n, request, doc, service, slash == NULL ? "/" : slash);
	free(name);
}
