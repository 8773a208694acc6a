#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "doc/doc_delta.h"
#include "node/node_internal.h"
#include "util/mem.h"

/* The HTTP API for operators: documents, bookings, reports and draining. */

#define RETRY_AFTER_MS 1000U

/* The operator whose token the request carries, or NULL. */
static const struct settings_operator *
find_operator(const struct node *n, const struct node_request *request)
{
	static const char scheme[] = "Bearer ";
	const char *value = request->authorization;
	char hash[65];
	size_t i;

	if (value == NULL || strncmp(value, scheme, sizeof(scheme) - 1) != 0)
		return NULL;
	doc_hash_token(hash, value + sizeof(scheme) - 1);
	for (i = 0; i < n->settings->noperators; i++)
		if (sodium_memcmp(hash, n->settings->operators[i].token_hash,
			sizeof(hash) - 1) == 0)
			return &n->settings->operators[i];
	return NULL;
}

static bool
may_change(const struct settings_operator *op, const char *team)
{
	size_t i;

	for (i = 0; i < op->nteams; i++)
		if (strcmp(op->teams[i], "*") == 0 ||
		    strcmp(op->teams[i], team) == 0)
			return true;
	return false;
}

static void
reply_result(struct node *n, uint64_t request, const struct doc_result *result)
{
	struct buf out = {0};

	buf_printf(&out,
	    "{\"accepted\": %s, \"revision\": %llu, \"index\": %llu, "
	    "\"repeated\": %s}\n",
	    result->verdict == DOC_ACCEPTED ? "true" : "false",
	    (unsigned long long)result->revision,
	    (unsigned long long)result->index,
	    result->is_repeated ? "true" : "false");
	route_reply_json(n->fx, request,
	    result->verdict == DOC_ACCEPTED	  ? 200
		: result->verdict == DOC_CONFLICT ? 409
						  : 422,
	    out.data);
	buf_free(&out);
}

void
node_api_document_applied(struct node *n, const struct node_proposal *proposal,
    const char *team, const struct doc_result *result)
{
	(void)team;
	reply_result(n, proposal->request, result);
	node_propose_applied(n, proposal->id);
}

static void
reply_problems(
    struct node *n, uint64_t request, const struct settings_problems *problems)
{
	struct buf out = {0};
	size_t i;

	buf_puts(&out,
	    "{\"error\": {\"code\": \"bad-document\", "
	    "\"message\": \"the document has faults\", "
	    "\"outcome\": \"not-run\", \"problems\": [");
	for (i = 0; i < problems->count; i++) {
		buf_puts(&out, i == 0 ? "{\"path\": " : ", {\"path\": ");
		buf_json_string(&out, problems->items[i].path);
		buf_puts(&out, ", \"found\": ");
		buf_json_string(&out, problems->items[i].found);
		buf_puts(&out, ", \"allowed\": ");
		buf_json_string(&out, problems->items[i].allowed);
		buf_puts(&out, "}");
	}
	buf_puts(&out, "]}}\n");
	route_reply_json(n->fx, request, 422, out.data);
	buf_free(&out);
}

/* Validates a document and its team; answers with the problems if any. */
static bool
check_document(
    struct node *n, const struct node_request *request, const char *team)
{
	struct settings_problems problems = {0};
	struct mp_error err;
	struct doc *doc = NULL;
	bool good = doc_parse(&doc, request->body.data, request->body.len,
			&problems, &err) == 0;

	if (good && strcmp(doc->team, team) != 0) {
		settings_problems_add(&problems, "$.team", doc->team, team);
		good = false;
	}
	if (good && doc_table_check_tokens(n->book, doc, &err) != 0) {
		settings_problems_add(&problems, "$.tokens", err.message,
		    "tokens of this team alone");
		good = false;
	}
	if (!good)
		reply_problems(n, request->request, &problems);
	if (doc != NULL)
		doc_unref(doc);
	settings_problems_free(&problems);
	return good;
}

static void
propose_document(struct node *n, const struct node_request *request,
    const struct settings_operator *op, const char *team, uint64_t revision,
    const char *change)
{
	Wire__Command command = WIRE__COMMAND__INIT;
	Wire__DocPut put = WIRE__DOC_PUT__INIT;

	put.team = (char *)team;
	put.base_revision = revision;
	put.change_id = (char *)change;
	put.operator_ = op->name;
	put.time_ms = node_wall_ms(n);
	put.body.data = (uint8_t *)request->body.data;
	put.body.len = request->body.len;
	command.body_case = WIRE__COMMAND__BODY_DOC_PUT;
	command.doc_put = &put;
	doc_delta_encode(n->book, &put);
	(void)node_propose(n, NODE_PROPOSE_DOC, request->request,
	    n->now + NODE_CHANGE_TIMEOUT_US, &command);
	doc_delta_free(&put);
}

static void
document_put(struct node *n, const struct node_request *request,
    const struct settings_operator *op, const char *team, const char *query)
{
	char *revision = node_api_param(query, "revision");
	char *change = node_api_param(query, "change");
	char *dry = node_api_param(query, "dry-run");
	struct doc_result earlier;

	if (change != NULL &&
	    doc_table_find_change(n->book, team, change, &earlier)) {
		reply_result(n, request->request, &earlier);
		goto cleanup;
	}
	if (!check_document(n, request, team))
		goto cleanup;
	if (dry != NULL) {
		route_reply_json(
		    n->fx, request->request, 200, "{\"valid\": true}\n");
		goto cleanup;
	}
	if (revision == NULL || change == NULL || *change == '\0') {
		node_api_refuse(n, request->request, 400, "bad-request",
		    "\"revision\" and \"change\" are needed in the query", 0);
		goto cleanup;
	}
	if (node_leader(n) == 0) {
		node_api_refuse(n, request->request, 503, "no-quorum",
		    "no leader is known; documents cannot be changed now",
		    RETRY_AFTER_MS);
		goto cleanup;
	}
	propose_document(
	    n, request, op, team, strtoull(revision, NULL, 10), change);
cleanup:
	free(revision);
	free(change);
	free(dry);
}

static void
document_get(struct node *n, const struct node_request *request,
    const char *team, const char *part)
{
	const struct doc *doc = doc_table_find(n->book, team);
	struct buf out = {0};
	bool in_force;

	if (doc == NULL) {
		node_api_refuse(n, request->request, 404, "unknown-team",
		    "the team has no document", 0);
		return;
	}
	in_force = member_holder_in_force(n->holder) >= doc->index;
	if (strcmp(part, "/history") == 0) {
		doc_table_print_history(n->book, team, &out);
	} else if (strcmp(part, "/status") == 0) {
		buf_printf(&out,
		    "{\"revision\": %llu, \"index\": %llu, "
		    "\"inForce\": %s, \"inForceIndex\": %llu}\n",
		    (unsigned long long)doc->revision,
		    (unsigned long long)doc->index, in_force ? "true" : "false",
		    (unsigned long long)member_holder_in_force(n->holder));
	} else if (*part == '\0') {
		buf_printf(&out, "{\"revision\": %llu, \"document\": ",
		    (unsigned long long)doc->revision);
		buf_append(&out, doc->text, doc->text_len);
		buf_puts(&out, "}\n");
	} else {
		node_api_refuse(n, request->request, 404, "unknown-path",
		    "no such part of a document", 0);
		return;
	}
	route_reply_json(n->fx, request->request, 200, out.data);
	buf_free(&out);
}

/* rest: the path below /v1/documents/, "TEAM" or "TEAM/part". */
static void
api_documents(struct node *n, const struct node_request *request,
    const struct settings_operator *op, const char *rest, const char *query)
{
	const char *slash = strchr(rest, '/');
	size_t len = slash == NULL ? strlen(rest) : (size_t)(slash - rest);
	char *team = mem_copy(rest, len);

	if (!may_change(op, team))
		node_api_refuse(n, request->request, 403, "forbidden",
		    "this operator may not see or change the team", 0);
	else if (strcmp(request->method, "PUT") == 0 && slash == NULL)
		document_put(n, request, op, team, query);
	else if (strcmp(request->method, "GET") == 0)
		document_get(n, request, team, slash == NULL ? "" : slash);
	else
		node_api_refuse(n, request->request, 405, "bad-method",
		    "documents are read by GET and replaced by PUT", 0);
	free(team);
}

static void
api_bookings(struct node *n, const struct node_request *request,
    const struct settings_operator *op, const char *query)
{
	char *team = node_api_param(query, "team");
	char *unknown = node_api_param(query, "unknown");
	struct buf out = {0};

	if (may_change(op, team == NULL ? "*" : team)) {
		buf_puts(&out, "{\"bookings\": ");
		claim_list(n->claims, team, unknown != NULL, &out);
		buf_puts(&out, "}\n");
		route_reply_json(n->fx, request->request, 200, out.data);
	} else {
		node_api_refuse(n, request->request, 403, "forbidden",
		    "this operator may not see these bookings", 0);
	}
	buf_free(&out);
	free(team);
	free(unknown);
}

/* Only an operator of all teams may drain, as it affects every team. */
static void
api_drain(struct node *n, const struct node_request *request,
    const struct settings_operator *op)
{
	if (!may_change(op, "*")) {
		node_api_refuse(n, request->request, 403, "forbidden",
		    "only an operator of all teams may drain an instance", 0);
		return;
	}
	route_reply_json(
	    n->fx, request->request, 200, "{\"draining\": true}\n");
	node_stop(n);
}

static void
api_quarantine(struct node *n, const struct node_request *request,
    const struct settings_operator *op, const char *part)
{
	struct node_api_rights rights = {op->name, may_change(op, "*")};

	node_api_quarantine(n, request, part, &rights);
}

static void
report_endpoints(const struct node *n, struct buf *out)
{
	buf_puts(out, "{\"endpoints\": ");
	sched_endpoints_to_json(n->sched, out);
	buf_puts(out, "}\n");
}

static void
api_reports(
    struct node *n, const struct node_request *request, const char *path)
{
	struct buf out = {0};

	if (strcmp(path, "/v1/limits") == 0) {
		node_api_limits(n, request->request);
		return;
	}
	if (strcmp(path, "/v1/status") == 0)
		node_report_status(n, &out);
	else
		report_endpoints(n, &out);
	route_reply_json(n->fx, request->request, 200, out.data);
	buf_free(&out);
}

static bool
is_get_report(const struct node_request *request, const char *path)
{
	return strcmp(request->method, "GET") == 0 &&
	    (strcmp(path, "/v1/status") == 0 ||
		strcmp(path, "/v1/limits") == 0 ||
		strcmp(path, "/v1/endpoints") == 0);
}

void
node_api_operator(struct node *n, const struct node_request *request,
    const char *path, const char *query)
{
	static const char documents[] = "/v1/documents/";
	static const char quarantine[] = "/v1/quarantine";
	const struct settings_operator *op = find_operator(n, request);

	if (op == NULL)
		node_api_refuse(n, request->request, 401, "unauthorized",
		    "the token belongs to no operator", 0);
	else if (strncmp(path, documents, sizeof(documents) - 1) == 0)
		api_documents(
		    n, request, op, path + sizeof(documents) - 1, query);
	else if (strncmp(path, quarantine, sizeof(quarantine) - 1) == 0)
		api_quarantine(n, request, op, path + sizeof(quarantine) - 1);
	else if (is_get_report(request, path))
		api_reports(n, request, path);
	else if (strcmp(path, "/v1/bookings") == 0)
		api_bookings(n, request, op, query);
	else if (strcmp(path, "/v1/drain") == 0 &&
	    strcmp(request->method, "POST") == 0)
		api_drain(n, request, op);
	else
		node_api_refuse(n, request->request, 404, "unknown-path",
		    "no such call", 0);
}
