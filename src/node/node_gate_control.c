#include <stdlib.h>
#include <string.h>

#include "node/node_gate.h"
#include "node/node_guard.h"
#include "util/mem.h"

/*
 * Control calls of endpoints and operators. The leader handles them. Any other
 * instance relays them to the leader and returns its answer, so that the answer
 * does not depend on which instance received the call. A call that was not
 * answered in time gets status 503, which leaves open whether it was carried
 * out.
 */

bool
gate_has_authority(const struct node *n)
{
	return n->raft != NULL &&
	    (raft_authority_until(n->raft) > n->now ||
		!node_guards.gate_leased) &&
	    n->applied >= raft_get_commit(n->raft);
}

/* ---- answers ------------------------------------------------------------ */

static void
send_answer(struct node *n, const struct gate_caller *caller,
    const struct node_reply *reply)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__CallAnswer message = WIRE__CALL_ANSWER__INIT;
	struct node_reply *out;

	if (caller->instance == n->id) {
		out = &node_effects_add(n->fx, NODE_FX_REPLY)->u.reply;
		*out = *reply;
		out->request = caller->call;
		return;
	}
	message.call = caller->call;
	message.status = (uint32_t)reply->status;
	if (reply->content_type != NULL)
		message.content_type = (char *)reply->content_type;
	message.body.data = (uint8_t *)reply->body.data;
	message.body.len = reply->body.len;
	envelope.body_case = WIRE__ENVELOPE__BODY_CALL_ANSWER;
	envelope.call_answer = &message;
	node_peer_reply(n, caller->instance, caller->incarnation, &envelope);
}

void
gate_control_answer(struct node *n, const struct gate_caller *caller,
    int status, const char *reason)
{
	struct node_reply reply = {0};

	n->gate->codec->write_result(&reply, status, reason, n->fx);
	send_answer(n, caller, &reply);
	if (status >= 400)
		node_log(n, NODE_LOG_GATE_CALL_REFUSED,
		    "{\"call\": %llu, \"from\": %u, \"status\": %d, "
		    "\"reason\": \"%s\"}",
		    (unsigned long long)caller->call, caller->instance, status,
		    reason == NULL ? "" : reason);
}

/*
 * Acknowledges an announcement. The answer names the address of this instance,
 * the leader, so that later announcements can be sent to it directly.
 */
static void
acknowledge_announcement(struct node *n, const struct gate_caller *caller)
{
	struct node_reply reply = {0};

	n->gate->codec->write_announce_reply(
	    &reply, n->settings->gateway.control, n->fx);
	send_answer(n, caller, &reply);
}

/* ---- changes ------------------------------------------------------------ */

#define CONFLICT_REASON "$.version: held with other content"
#define UNREADABLE_REASON                                                      \
	"the stored configuration can't be read by this version of the "       \
	"program"

static void
propose(
    struct node *n, const struct gate_caller *caller, Wire__Command *command)
{
	uint64_t proposal = node_propose(n, NODE_PROPOSE_GATE, 0,
	    n->now + GATE_PROPOSAL_TIMEOUT_US, command);
	struct gate_caller *stored;

	if (caller == NULL)
		return;
	stored = mem_alloc(1, sizeof(*stored));
	*stored = *caller;
	(void)map_set_u64(n->gate->callers, proposal, stored);
}

/*
 * The answer says what became of the change in the log: others may have been
 * committed between its checks and its own entry.
 */
void
gate_control_answer_change(
    struct node *n, const struct gate_caller *caller, enum gate_verdict verdict)
{
	if (verdict == GATE_CONFLICT && node_guards.gate_verdict)
		gate_control_answer(n, caller, 409, CONFLICT_REASON);
	else if (verdict == GATE_BASE_MISMATCH)
		gate_control_answer(
		    n, caller, 503, "not accepted; send it again");
	else if (verdict == GATE_UNREADABLE)
		gate_control_answer(
		    n, caller, 400, "the change can't be decoded");
	else
		gate_control_answer(n, caller, 200, NULL);
}

void
node_gate_proposal_applied(
    struct node *n, uint64_t proposal, enum gate_verdict verdict)
{
	struct gate_caller *caller;

	if (n->gate == NULL || gate_change_on_applied(n, proposal, verdict))
		return;
	caller = map_remove_u64(n->gate->callers, proposal);
	if (caller != NULL && caller->is_announcement)
		acknowledge_announcement(n, caller);
	else if (caller != NULL)
		gate_control_answer_change(n, caller, verdict);
	free(caller);
}

void
node_gate_proposal_expired(struct node *n, uint64_t proposal)
{
	struct gate_caller *caller;

	if (n->gate == NULL || gate_change_on_expired(n, proposal))
		return;
	caller = map_remove_u64(n->gate->callers, proposal);
	if (caller != NULL)
		gate_control_answer(n, caller, 503, "undecided; send it again");
	free(caller);
}

static void
put_version(struct node *n, const struct gw_call *call,
    const struct gate_caller *caller)
{
	Wire__Command command = WIRE__COMMAND__INIT;
	Wire__AdapterVersion put = WIRE__ADAPTER_VERSION__INIT;

	if (call->version <=
	    node_gate_adapter_version(n, call->model, call->adapter)) {
		gate_control_answer(n, caller, 200, NULL);
		return;
	}
	put.model = (char *)call->model;
	put.adapter = (char *)call->adapter;
	put.version = call->version;
	command.body_case = WIRE__COMMAND__BODY_ADAPTER_VERSION;
	command.adapter_version = &put;
	propose(n, caller, &command);
}

static void
get_config(struct node *n, const struct gate_caller *caller)
{
	const struct node_gate *g = n->gate;
	struct node_reply reply = {0};
	struct buf text = {0};

	if (g->config == NULL) {
		gate_control_answer(n, caller, 503,
		    g->unread_text != NULL ? UNREADABLE_REASON
					   : "no configuration is known");
		return;
	}
	gw_text_join(g->config_text, &text);
	reply.status = 200;
	reply.content_type = "application/json";
	reply.body.data = node_effects_copy(n->fx, text.data, text.len);
	reply.body.len = text.len;
	buf_free(&text);
	send_answer(n, caller, &reply);
}

/* ---- endpoints ---------------------------------------------------------- */

/*
 * That a process leaves is committed to the log before it is acknowledged, so
 * that no later placer gives it work, even one that receives no announcement
 * from it.
 */
void
gate_control_propose_leaving(struct node *n, const char *id, uint64_t born_ms,
    uint64_t started_by_ms, const struct gate_caller *caller)
{
	Wire__Command command = WIRE__COMMAND__INIT;
	Wire__EndpointLeaving leaving = WIRE__ENDPOINT_LEAVING__INIT;

	leaving.id = (char *)id;
	leaving.born_ms = born_ms;
	leaving.started_by_ms = started_by_ms;
	command.body_case = WIRE__COMMAND__BODY_ENDPOINT_LEAVING;
	command.endpoint_leaving = &leaving;
	propose(n, caller, &command);
}

/*
 * A process that seems to have started later than this takes precedence over
 * all later ones of its id and address. Clocks differ by much less.
 */
#define BORN_AHEAD_MAX_MS (3600 * 1000ULL)

static int
check_announcement(
    const struct node *n, const struct gw_announcement *a, struct mp_error *err)
{
	int rc = gw_announcement_check(a, err);

	if (rc != MP_OK)
		return rc;
	if (a->born_ms > node_wall_ms(n) + BORN_AHEAD_MAX_MS)
		return mp_error_set(err, MP_LAYER_NODE, MP_ERR_INVALID,
		    "the start of the process is in the future");
	return MP_OK;
}

static void
handle_announcement(struct node *n, const struct gw_call *call,
    const struct gate_caller *caller)
{
	const struct gw_announcement *a = &call->announcement;
	struct gate_caller announcer = *caller;
	enum place_announce_result result;
	struct mp_error err;

	if (check_announcement(n, a, &err) != MP_OK) {
		gate_control_answer(n, caller, 400, err.message);
		return;
	}
	result = place_announce(n->gate->place, n->now, a, true);
	if (result == PLACE_ANNOUNCE_CHANGED)
		node_log(n, NODE_LOG_GATE_ENDPOINT,
		    "{\"endpoint\": \"%s\", \"service\": \"%s\", "
		    "\"address\": \"%s\", \"leaving\": %s, "
		    "\"sequence\": %llu, \"loaded\": %zu}",
		    a->id, a->service, a->address,
		    a->leaving ? "true" : "false",
		    (unsigned long long)a->sequence, a->nloaded);
	announcer.is_announcement = true;
	if (a->leaving &&
	    !place_is_marked_leaving(n->gate->place, a->id, a->born_ms))
		gate_control_propose_leaving(
		    n, a->id, a->born_ms, 0, &announcer);
	else
		acknowledge_announcement(n, caller);
}

/*
 * A deregistration within this time of an earlier one at the same id is a retry
 * of it. A next process needs longer to start.
 */
#define LEAVE_RETRY_MS 1000u

/*
 * Whether the log says that the process has left.
 *
 * started_by_ms: not 0: any that had started by then may be that process.
 */
static bool
is_departure_logged(const struct node *n, const char *id, uint64_t born_ms,
    uint64_t started_by_ms)
{
	const struct place *place = n->gate->place;

	bool is_named = born_ms != 0 || started_by_ms == 0;

	if (is_named && !place_is_marked_leaving(place, id, born_ms))
		return false;
	return started_by_ms == 0 ||
	    place_has_left_before(place, id, started_by_ms - LEAVE_RETRY_MS);
}

/*
 * An endpoint that deregisters without having announced that it leaves keeps
 * running for a while, but gets no new work. That is committed to the log
 * before it is acknowledged, whatever is known of the endpoint here:
 * announcements that were sent earlier may still arrive.
 */
static void
handle_leave(struct node *n, const struct gw_call *call,
    const struct gate_caller *caller)
{
	struct place *place = n->gate->place;
	const char *id = call->endpoint;
	uint64_t born_ms;
	bool is_present = place_find_process(place, n->now, id, &born_ms);
	uint64_t started_by_ms = is_present ? 0 : node_wall_ms(n);
	bool is_logged = is_departure_logged(n, id, born_ms, started_by_ms) ||
	    (!is_present && !node_guards.gate_leave_logged);

	node_log(n, NODE_LOG_GATE_DEREGISTERED,
	    "{\"endpoint\": \"%s\", \"present\": %s, \"born\": %llu, "
	    "\"startedBy\": %llu, \"logged\": %s}",
	    id, is_present ? "true" : "false", (unsigned long long)born_ms,
	    (unsigned long long)started_by_ms, is_logged ? "true" : "false");
	(void)place_endpoint_leave(place, n->now, id);
	if (is_logged)
		gate_control_answer(n, caller, 200, NULL);
	else
		gate_control_propose_leaving(
		    n, id, born_ms, started_by_ms, caller);
}

/* ---- calls at the leader ------------------------------------------------ */

static void
handle_call(struct node *n, const struct node_request *in,
    const struct gate_caller *caller)
{
	struct gw_call call;
	struct mp_error err;

	if (n->gate->codec->read_call(&call, in, n->fx, &err) != MP_OK) {
		gate_control_answer(n, caller, 400, err.message);
		return;
	}
	switch (call.type) {
	case GW_CALL_ANNOUNCE:
		handle_announcement(n, &call, caller);
		break;
	case GW_CALL_LEAVE:
		handle_leave(n, &call, caller);
		break;
	case GW_CALL_CONFIG_PUT:
		gate_change_put(n, in->body, caller);
		break;
	case GW_CALL_CONFIG_GET:
		get_config(n, caller);
		break;
	case GW_CALL_VERSION_PUT:
		put_version(n, &call, caller);
		break;
	default:
		gate_control_answer(n, caller, 404, "no such call");
		break;
	}
}

/* ---- relaying ----------------------------------------------------------- */

static void
relay_to_leader(struct node *n, uint32_t leader, const struct node_request *in)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__CallRelay message = WIRE__CALL_RELAY__INIT;
	struct gate_relay *relay = mem_alloc(1, sizeof(*relay));

	relay->call = ++n->gate->last_relay;
	relay->request = in->request;
	relay->expires_us =
	    n->now + GATE_RELAY_TIMEOUT_US + in->body.len * GATE_RELAY_BYTE_US;
	relay->bytes = in->body.len;
	n->gate->relayed_bytes += in->body.len;
	(void)map_set_u64(n->gate->relays, relay->call, relay);
	message.call = relay->call;
	message.listener = in->listener;
	message.method = (char *)in->method;
	message.path = (char *)in->path;
	message.body.data = (uint8_t *)in->body.data;
	message.body.len = in->body.len;
	envelope.body_case = WIRE__ENVELOPE__BODY_CALL_RELAY;
	envelope.call_relay = &message;
	node_peer_send(n, leader, &envelope);
}

/* Whether so many bytes are relayed already that this call must wait. */
static bool
relay_is_full(const struct node *n, const struct node_request *in)
{
	return n->gate->relayed_bytes > 0 &&
	    n->gate->relayed_bytes + in->body.len > GATE_RELAY_BYTES_MAX;
}

/* Removes a relayed call; the caller frees it. NULL: not relayed. */
static struct gate_relay *
relay_remove(struct node *n, uint64_t call)
{
	struct gate_relay *relay = map_remove_u64(n->gate->relays, call);

	if (relay != NULL)
		n->gate->relayed_bytes -= relay->bytes;
	return relay;
}

void
gate_control_handle(struct node *n, const struct node_request *in,
    const struct gate_caller *caller)
{
	uint32_t leader = node_leader(n);

	if (gate_has_authority(n) && n->gate->placing)
		handle_call(n, in, caller);
	else if (leader != 0 && leader != n->id &&
	    node_gate_placer(n) == leader && relay_is_full(n, in))
		gate_control_answer(n, caller, 503,
		    "too many bytes are being relayed to the leader; retry");
	else if (leader != 0 && leader != n->id &&
	    node_gate_placer(n) == leader)
		relay_to_leader(n, leader, in);
	else
		gate_control_answer(n, caller, 503, "no leader is known");
}

void
gate_relay_on_call(struct node *n, uint32_t from, uint64_t incarnation,
    const Wire__CallRelay *message)
{
	struct gate_caller caller = {from, incarnation, message->call, false};
	struct node_request in = {0};

	in.listener = (enum node_listener)message->listener;
	in.method = message->method;
	in.path = message->path;
	in.body.data = (const char *)message->body.data;
	in.body.len = message->body.len;
	if (gate_has_authority(n) && n->gate->placing)
		handle_call(n, &in, &caller);
	else
		gate_control_answer(
		    n, &caller, 503, "this instance does not lead");
}

void
gate_relay_on_answer(struct node *n, const Wire__CallAnswer *message)
{
	struct gate_relay *relay = relay_remove(n, message->call);
	struct node_reply *reply;

	if (relay == NULL)
		return; /* timed out and answered already */
	reply = &node_effects_add(n->fx, NODE_FX_REPLY)->u.reply;
	reply->request = relay->request;
	reply->status = (int)message->status;
	reply->content_type =
	    node_effects_printf(n->fx, "%s", message->content_type);
	reply->body.data =
	    node_effects_copy(n->fx, message->body.data, message->body.len);
	reply->body.len = message->body.len;
	free(relay);
}

void
gate_relay_tick(struct node *n)
{
	struct gate_caller caller = {n->id, n->incarnation, 0, false};
	struct gate_relay *relay;
	size_t i = map_count(n->gate->relays);

	while (i-- > 0) {
		relay = map_at(n->gate->relays, i);
		if (n->now < relay->expires_us)
			continue;
		caller.call = relay->request;
		gate_control_answer(
		    n, &caller, 503, "the leader did not answer");
		free(relay_remove(n, relay->call));
	}
}

/* ---- the registry ------------------------------------------------------- */

#define LOOKUP_ADDRESSES_MAX 64

/*
 * Lists the addresses of entries that are not leaving. Of more entries than
 * fit, those after a random one are listed, so that callers spread over all.
 */
static size_t
list_entries(struct node *n, const char **addresses)
{
	size_t i, members = member_view_count(n->view), count = 0;
	size_t first = members <= LOOKUP_ADDRESSES_MAX
	    ? 0
	    : rng_below(&n->rng, (uint32_t)members);
	const struct member *m;

	for (i = 0; i < members && count < LOOKUP_ADDRESSES_MAX; i++) {
		m = member_view_at(n->view, (first + i) % members);
		if (m->voter == 0 && !m->leaving)
			addresses[count++] = m->http;
	}
	return count;
}

/* Answers with the addresses of entries. */
void
gate_registry_lookup(
    struct node *n, uint64_t request, const struct gw_call *call)
{
	struct node_reply *reply =
	    &node_effects_add(n->fx, NODE_FX_REPLY)->u.reply;
	const char *addresses[LOOKUP_ADDRESSES_MAX];
	size_t count = list_entries(n, addresses);

	(void)call;
	reply->request = request;
	if (count == 0)
		n->gate->codec->write_result(
		    reply, 503, "no entry is known", n->fx);
	else
		n->gate->codec->write_addresses(reply, addresses, count,
		    n->settings->gateway.address_lifetime_ms, n->fx);
}
