#include <ctype.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "node/node_internal.h"
#include "util/mem.h"

#define RETRY_AFTER_MS	     1000U
#define ANNOUNCE_INTERVAL_MS 1000U

/*
 * The HTTP API: dispatch of requests, authorization, admission of callers, and
 * the requests of endpoints.
 */

void
node_api_refuse(struct node *n, uint64_t request, int status, const char *code,
    const char *message, uint32_t retry_after_ms)
{
	struct route_error error = {
	    status, code, message, ROUTE_NOT_RUN, retry_after_ms};

	route_reply_error(n->fx, request, &error);
}

/* The byte of a percent-escape; -1 when s is no escape or encodes a zero. */
static int
unescape(const char *s)
{
	char digits[3] = {0};

	if (s[0] != '%' || !isxdigit((unsigned char)s[1]) ||
	    !isxdigit((unsigned char)s[2]))
		return -1;
	memcpy(digits, s + 1, 2);
	return strcmp(digits, "00") == 0 ? -1 : (int)strtol(digits, NULL, 16);
}

/* Invalid percent-escapes are taken literally. */
char *
node_api_param(const char *query, const char *name)
{
	size_t len = strlen(name);
	struct buf out = {0};
	int byte;

	while (query != NULL && *query != '\0') {
		if (strncmp(query, name, len) == 0 && query[len] == '=')
			break;
		query = strchr(query, '&');
		if (query != NULL)
			query++;
	}
	if (query == NULL || *query == '\0')
		return NULL;
	buf_append(&out, "", 0);
	for (query += len + 1; *query != '\0' && *query != '&'; query++) {
		char c = *query;

		byte = unescape(query);
		if (byte > 0) {
			c = (char)byte;
			query += 2;
		}
		buf_append(&out, &c, 1);
	}
	return out.data;
}

/* The bearer token of a request, or NULL. */
static const char *
bearer_token(const struct node_request *request)
{
	static const char scheme[] = "Bearer ";

	if (request->authorization == NULL ||
	    strncmp(request->authorization, scheme, sizeof(scheme) - 1) != 0)
		return NULL;
	return request->authorization + sizeof(scheme) - 1;
}

/* The document of the caller's team; NULL: the request was refused. */
static struct doc *
authorize_caller(struct node *n, const struct node_request *request)
{
	const char *token = bearer_token(request);
	struct doc *doc;

	doc = token == NULL ? NULL : doc_table_find_by_token(n->book, token);
	if (doc == NULL)
		node_api_refuse(n, request->request, 401, "unauthorized",
		    "the token belongs to no team", 0);
	return doc;
}

/* Accepts work only while this instance may act; refuses it otherwise. */
static bool
admit_work(struct node *n, const struct node_request *request)
{
	struct buf message = {0}, addresses = {0};

	if (node_may_act(n))
		return true;
	buf_puts(&message, "this instance is cut off; use another");
	if (node_report_addresses(n, NULL, NULL, &addresses) > 0)
		buf_printf(&message, ": %s", addresses.data);
	buf_free(&addresses);
	node_api_refuse(
	    n, request->request, 503, "cut-off", message.data, RETRY_AFTER_MS);
	buf_free(&message);
	return false;
}

/*
 * Checks the lease, the caller's token and its team's rate limit.
 *
 * Returns the team's document; NULL: the request was refused.
 */
static struct doc *
admit_caller(struct node *n, const struct node_request *request)
{
	struct doc *doc;

	if (!admit_work(n, request))
		return NULL;
	doc = authorize_caller(n, request);
	if (doc == NULL)
		return NULL;
	if (node_rate_allows(n, doc))
		return doc;
	node_api_refuse(n, request->request, 429, "rate",
	    "the team's request rate is used up", RETRY_AFTER_MS);
	return NULL;
}

/* Whether the sender has the endpoints' token; refuses it otherwise. */
static bool
authorize_endpoint(struct node *n, const struct node_request *request)
{
	const char *want = n->settings->endpoint_token_hash;
	const char *token = bearer_token(request);
	char hash[65];

	if (want == NULL)
		return true;
	if (token != NULL) {
		doc_hash_token(hash, token);
		if (sodium_memcmp(hash, want, sizeof(hash) - 1) == 0)
			return true;
	}
	node_api_refuse(n, request->request, 401, "unauthorized",
	    "the endpoints' token is wrong", 0);
	return false;
}

static void
api_announce(struct node *n, const struct node_request *request)
{
	const struct member *m;
	struct node_announce_result result;
	struct mp_error err;
	struct buf out = {0};

	if (!authorize_endpoint(n, request))
		return;
	if (node_owner_announce(n, request->body, &result, &err) != 0) {
		node_api_refuse(n, request->request, 400, "bad-announcement",
		    err.message, 0);
		return;
	}
	m = member_view_find(n->view, result.owner);
	if (m == NULL && !result.send_all) {
		node_api_refuse(n, request->request, 503, "no-owner",
		    "no instance can own the endpoint yet", RETRY_AFTER_MS);
		return;
	}
	buf_puts(&out, "{");
	if (m != NULL) {
		buf_puts(&out, "\"owner\": ");
		buf_json_string(&out, m->http);
		buf_puts(&out, ", ");
	}
	buf_printf(&out, "%s\"intervalMs\": %u}\n",
	    result.send_all ? "\"sendAll\": true, " : "", ANNOUNCE_INTERVAL_MS);
	route_reply_json(n->fx, request->request, 200, out.data);
	buf_free(&out);
}

static void
api_cache_events(struct node *n, const struct node_request *request)
{
	if (!authorize_endpoint(n, request))
		return;
	route_reply_json(n->fx, request->request, 200, "{}\n");
	node_cache_events(n, request->body);
}

static void
api_addresses(
    struct node *n, const struct node_request *request, const char *query)
{
	char *team = node_api_param(query, "team");
	char *adapter = node_api_param(query, "adapter");
	struct buf out = {0};

	buf_puts(&out, "{\"addresses\": ");
	if (node_report_addresses(n, team, adapter, &out) > 0) {
		buf_printf(&out, ", \"lifetimeMs\": %u}\n",
		    n->settings->address_lifetime_ms);
		route_reply_json(n->fx, request->request, 200, out.data);
	} else {
		node_api_refuse(n, request->request, 503, "not-ready",
		    "this instance knows of no instance to use now",
		    RETRY_AFTER_MS);
	}
	buf_free(&out);
	free(team);
	free(adapter);
}

static void
api_metrics(struct node *n, const struct node_request *request)
{
	struct node_reply *reply;
	struct buf out = {0};

	node_metrics_report(n, &out);
	reply = &node_effects_add(n->fx, NODE_FX_REPLY)->u.reply;
	reply->request = request->request;
	reply->status = 200;
	reply->content_type = "text/plain; version=0.0.4";
	reply->add_process_metrics = true;
	reply->body.data = node_effects_copy(n->fx, out.data, out.len);
	reply->body.len = out.len;
	buf_free(&out);
}

static void
api_ready(struct node *n, const struct node_request *request)
{
	if (node_may_act(n) && !n->stopping)
		route_reply_json(
		    n->fx, request->request, 200, "{\"ready\": true}\n");
	else
		node_api_refuse(n, request->request, 503,
		    n->stopping ? "stopping" : "not-ready",
		    "this instance takes no new callers", RETRY_AFTER_MS);
}

/* Requests without authorization; false when it is none of them. */
static bool
api_public(struct node *n, const struct node_request *request, const char *path,
    const char *query)
{
	if (strcmp(request->method, "GET") != 0)
		return false;
	if (strcmp(path, "/healthz") == 0)
		route_reply_json(
		    n->fx, request->request, 200, "{\"alive\": true}\n");
	else if (strcmp(path, "/readyz") == 0)
		api_ready(n, request);
	else if (strcmp(path, "/metrics") == 0)
		api_metrics(n, request);
	else if (strcmp(path, "/v1/addresses") == 0)
		api_addresses(n, request, query);
	else
		return false;
	return true;
}

static bool
api_caller(struct node *n, const struct node_request *request, const char *path)
{
	static const char services[] = "/v1/services/";
	bool post = strcmp(request->method, "POST") == 0;
	bool chat = strcmp(path, "/v1/chat/completions") == 0;
	struct doc *doc;

	if (post && (chat || strcmp(path, "/v1/completions") == 0)) {
		doc = admit_caller(n, request);
		if (doc != NULL)
			node_api_model(n, request, doc, chat);
		return true;
	}
	if (strncmp(path, services, sizeof(services) - 1) == 0) {
		doc = admit_caller(n, request);
		if (doc != NULL)
			node_api_service(
			    n, request, doc, path + sizeof(services) - 1);
		return true;
	}
	return false;
}

void
node_api_request(struct node *n, const struct node_request *request)
{
	const char *query = strchr(request->path, '?');
	size_t len = query == NULL ? strlen(request->path)
				   : (size_t)(query - request->path);
	char *path = mem_copy(request->path, len);

	if (query != NULL)
		query++;
	if (api_public(n, request, path, query) || api_caller(n, request, path))
		goto cleanup;
	if (strcmp(path, "/v1/endpoints/announce") == 0)
		api_announce(n, request);
	else if (strcmp(path, "/v1/endpoints/cache-events") == 0)
		api_cache_events(n, request);
	else
		node_api_operator(n, request, path, query);
cleanup:
	free(path);
}
