#include <stdlib.h>
#include <string.h>

#include "node/node_gate.h"

/* The HTTP API for operators: quarantined prompt parts. */

#define PART_DIGITS    16
#define RETRY_AFTER_MS 1000U

static void
append_part(
    struct buf *out, const struct quarantine_part *part, uint64_t now_us)
{
	char text[GATE_PART_TEXT_SIZE];

	gate_part_text(text, part->hash);
	buf_printf(out,
	    "{\"part\": \"%s\", \"active\": %s, \"ends\": %u, "
	    "\"strikes\": %u, \"sinceMs\": %llu}",
	    text, part->is_active ? "true" : "false", part->ends, part->strikes,
	    (unsigned long long)(now_us - part->since_us) / 1000);
}

static void
list_parts(struct node *n, uint64_t request)
{
	const struct quarantine_part *part;
	struct buf out = {0};
	size_t i;

	buf_puts(&out, "{\"parts\": [");
	for (i = 0; (part = quarantine_at(n->gate->quarantine, i)) != NULL;
	     i++) {
		if (i > 0)
			buf_puts(&out, ", ");
		append_part(&out, part, n->now);
	}
	buf_printf(&out, "], \"suspects\": %zu}\n",
	    quarantine_evidence_count(n->gate->evidence));
	route_reply_json(n->fx, request, 200, out.data);
	buf_free(&out);
}

static bool
read_part(const char *text, uint64_t *part)
{
	if (strlen(text) != PART_DIGITS ||
	    strspn(text, "0123456789abcdef") != PART_DIGITS)
		return false;
	*part = strtoull(text, NULL, 16);
	return true;
}

static void
lift_part(struct node *n, uint64_t request, const char *text,
    const char *operator_name)
{
	Wire__Command command = WIRE__COMMAND__INIT;
	Wire__PartQuarantine change = WIRE__PART_QUARANTINE__INIT;

	if (!read_part(text, &change.part) ||
	    quarantine_find(n->gate->quarantine, change.part) == NULL) {
		node_api_refuse(n, request, 404, "unknown-part",
		    "no such prompt part is quarantined", 0);
		return;
	}
	if (node_leader(n) == 0) {
		node_api_refuse(n, request, 503, "no-quorum",
		    "no leader is known; nothing can be changed now",
		    RETRY_AFTER_MS);
		return;
	}
	change.change = WIRE__QUARANTINE_CHANGE__QUARANTINE_CHANGE_LIFT;
	change.operator_ = (char *)operator_name;
	command.body_case = WIRE__COMMAND__BODY_PART_QUARANTINE;
	command.part_quarantine = &change;
	(void)node_propose(n, NODE_PROPOSE_QUARANTINE, request,
	    n->now + NODE_CHANGE_TIMEOUT_US, &command);
}

void
node_api_quarantine_lifted(struct node *n, uint64_t proposal)
{
	struct node_proposal *p = node_propose_find(n, proposal);

	if (p == NULL || p->kind != NODE_PROPOSE_QUARANTINE)
		return;
	route_reply_json(n->fx, p->request, 200, "{\"lifted\": true}\n");
}

void
node_api_quarantine(struct node *n, const struct node_request *request,
    const char *part, const struct node_api_rights *rights)
{
	bool is_list = *part == '\0' && strcmp(request->method, "GET") == 0;

	if (n->gate == NULL)
		node_api_refuse(n, request->request, 404, "unknown-path",
		    "this instance has no gateway", 0);
	else if (is_list)
		list_parts(n, request->request);
	else if (*part != '/' || strcmp(request->method, "DELETE") != 0)
		node_api_refuse(n, request->request, 405, "bad-method",
		    "parts are listed by GET and lifted by DELETE", 0);
	else if (!rights->all_teams)
		node_api_refuse(n, request->request, 403, "forbidden",
		    "only an operator of all teams may lift a quarantine", 0);
	else
		lift_part(n, request->request, part + 1, rights->operator_name);
}
