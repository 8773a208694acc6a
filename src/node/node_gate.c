#include <stdlib.h>
#include <string.h>

#include "node/node_gate.h"
#include "node/node_gate_hold.h"
#include "util/mem.h"

/*
 * Lifetime of the gateway in the reducer: it dispatches requests, calls and
 * messages to the other files, answers readiness and stops in good order.
 */

/* The part of the process's memory for responses that are not relayed yet. */
#define BUFFER_MEMORY_DIVISOR 8

/* Part of the stop timeout that is kept free for the exit of the process. */
#define EXIT_MARGIN_MS 700u
/* Requests that are open this long before the exit are ended. */
#define LAST_ANSWER_MARGIN_US (300 * 1000ULL)
/* Callers may use a list of addresses for this multiple of its lifetime. */
#define ADDRESS_LIFETIMES 3u
/*
 * Lists name a stopping entry until the log says that it leaves; this covers
 * the delay.
 */
#define LISTED_AFTER_STOP_US (500 * 1000ULL)
/*
 * A core that has transferred leadership exits this long after a stop request.
 */
#define CORE_EXIT_DELAY_US (600 * 1000ULL)

static struct place *
create_place(const struct node *n)
{
	const struct settings_gateway *s = &n->settings->gateway;
	struct place_options options = {0};
	struct place *place;

	options.retry_ratio_milli = s->retry_ratio_milli;
	options.retry_extra = s->retry_extra;
	options.retry_window_ms = s->retry_window_ms;
	options.store_window_ms = s->store_window_ms;
	options.store_over_milli = s->store_over_milli;
	options.max_adapter_loads = n->settings->store_in_flight;
	options.adapter_load_ms = n->settings->load_ms;
	options.ignores_kept_prompts = !s->kept_prompts;
	/* Set when this instance becomes the placer. */
	options.heartbeat_ms = 0;
	place = place_create(&options);
	place_set_prefetch(place, s->prefetch_adapters);
	return place;
}

void
node_gate_create(struct node *n, const struct node_boot *boot)
{
	struct node_gate *g = mem_alloc(1, sizeof(*g));

	n->gate = g;
	g->codec = boot->codec;
	memcpy(g->key_secret, boot->key_secret, sizeof(g->key_secret));
	g->versions = map_create();
	g->entries = map_create();
	g->orders = map_create();
	g->callers = map_create();
	g->changes = gate_changes_create();
	g->asks = map_create();
	g->relays = map_create();
	g->place = create_place(n);
	g->owners = map_create();
	g->popularity = place_popularity_create();
	g->hold = gate_hold_create();
	g->quarantine = quarantine_create();
	g->evidence = quarantine_evidence_create();
	g->observer = quarantine_observer_create();
	gate_owner_init(n);
	gate_limit_init(n);
	gate_quota_init(n);
	g->forward = forward_create(g->codec, &gate_forward_ops, n,
	    n->incarnation, n->settings->data_centre);
	forward_set_buffer_limit(g->forward,
	    ((uint64_t)n->settings->memory_limit_mb << 20) /
		BUFFER_MEMORY_DIVISOR);
}

static void
free_orders(struct map *orders)
{
	struct gate_order *o;
	size_t i;

	for (i = 0; i < map_count(orders); i++) {
		o = map_at(orders, i);
		free(o->endpoint);
		free(o->artifact);
		buf_free(&o->answer);
		free(o);
	}
	map_destroy(orders);
}

void
node_gate_destroy(struct node *n)
{
	struct node_gate *g = n->gate;

	if (g == NULL)
		return;
	forward_destroy(g->forward);
	place_destroy(g->place);
	gate_config_free(g);
	map_destroy_all(g->entries, free);
	map_destroy_all(g->callers, free);
	gate_changes_destroy(g->changes);
	map_destroy_all(g->asks, free);
	map_destroy_all(g->owners, free);
	place_popularity_destroy(g->popularity);
	gate_hold_destroy(g->hold);
	quarantine_destroy(g->quarantine);
	quarantine_evidence_destroy(g->evidence);
	quarantine_observer_destroy(g->observer);
	gate_quota_destroy(g);
	map_destroy_all(g->relays, free);
	free_orders(g->orders);
	free(g);
	n->gate = NULL;
}

char *
node_gate_advertised_address(const struct node *n)
{
	const struct settings *s = n->settings;

	if (s->gateway.front != NULL)
		return s->gateway.front;
	if (s->gateway.control != NULL)
		return s->gateway.control;
	return s->http_advertise;
}

uint32_t
node_gate_placer(const struct node *n)
{
	const struct node_peer *peer;
	uint32_t leader = node_leader(n);

	if (leader == 0 || leader == n->id)
		return n->gate->placing ? n->id : 0;
	peer = map_get_u64(n->peers, leader);
	if (peer == NULL || n->now > peer->received_us + GATE_PLACER_TIMEOUT_US)
		return 0;
	return leader;
}

/* ---- requests ----------------------------------------------------------- */

static struct node_reply *
add_reply(struct node *n, uint64_t request)
{
	struct node_reply *reply =
	    &node_effects_add(n->fx, NODE_FX_REPLY)->u.reply;

	reply->request = request;
	return reply;
}

/*
 * Refuses a request and logs why.
 *
 * decoded: NULL if the request could not be decoded.
 */
static void
refuse_request(struct node *n, uint64_t request,
    const struct gw_request *decoded, enum gw_refusal refusal,
    const char *reason, uint32_t retry_after_ms)
{
	const struct gw_config *config = n->gate->config;
	const char *attempt = decoded == NULL ? NULL : decoded->attempt;

	n->gate->codec->write_refusal(
	    add_reply(n, request), refusal, reason, retry_after_ms, n->fx);
	node_log(n, NODE_LOG_GATE_CALL_REFUSED,
	    "{\"request\": %llu, \"attempt\": \"%s\", \"host\": \"%s\", "
	    "\"config\": %llu, \"ageMs\": %llu, \"reason\": \"%s\"}",
	    (unsigned long long)request, attempt == NULL ? "" : attempt,
	    decoded == NULL ? "" : decoded->host,
	    (unsigned long long)(config == NULL ? 0 : config->version),
	    (unsigned long long)(n->now - n->freshness.confirmed_us) / 1000,
	    reason);
}

/*
 * Refuses a request that has no route here: for good, or so that the caller
 * tries again, if a newer configuration may have one.
 */
static void
refuse_unknown_route(struct node *n, uint64_t request,
    const struct gw_request *decoded, enum gate_config_trust trust)
{
	if (trust == GATE_CONFIG_CONFIRMED)
		refuse_request(n, request, decoded, GW_REFUSE_NO_ROUTE,
		    "no route for this host and path", 0);
	else
		refuse_request(n, request, decoded, GW_REFUSE_NOT_READY,
		    "no route is known, and the configuration is not confirmed",
		    GATE_RETRY_AFTER_MS);
}

/*
 * Refuses a request whose key no account has: for good, or so that the caller
 * tries again, if a newer configuration may have the key.
 */
static void
refuse_unknown_key(struct node *n, uint64_t request,
    const struct gw_request *decoded, enum gate_config_trust trust,
    const char *reason)
{
	if (trust == GATE_CONFIG_CONFIRMED)
		refuse_request(
		    n, request, decoded, GW_REFUSE_UNAUTHORIZED, reason, 0);
	else
		refuse_request(n, request, decoded, GW_REFUSE_NOT_READY,
		    "the key is not known, and the configuration is not "
		    "confirmed",
		    GATE_RETRY_AFTER_MS);
}

static void
refuse_not_ready(struct node *n, const struct node_request *in,
    const struct gw_request *decoded)
{
	const char *reason = "no endpoints are known yet";

	if (n->gate->config == NULL)
		reason = "no configuration is known yet";
	else if (gate_config_get_trust(n) == GATE_CONFIG_UNUSABLE)
		reason = "the configuration is out of date";
	refuse_request(n, in->request, decoded, GW_REFUSE_NOT_READY, reason,
	    GATE_RETRY_AFTER_MS);
}

/*
 * Starts to forward a caller's request along its route, holds it until this
 * entry is ready, or refuses it.
 *
 * waited_us: time for which it was held before.
 */
static void
handle_front_request(
    struct node *n, const struct node_request *in, uint64_t waited_us)
{
	struct node_gate *g = n->gate;
	const struct gw_route *route;
	struct gw_request decoded;
	enum gate_config_trust trust;
	const char *fault;
	struct mp_error err;

	if (g->codec->read_request(&decoded, in, n->fx, &err) != MP_OK) {
		refuse_request(
		    n, in->request, NULL, GW_REFUSE_MALFORMED, err.message, 0);
		return;
	}
	decoded.waited_us = waited_us;
	trust = gate_config_get_trust(n);
	if (!gate_is_ready(n) && gate_hold_add(n, in, decoded.deadline_ms))
		return;
	if (trust == GATE_CONFIG_UNUSABLE) {
		refuse_not_ready(n, in, &decoded);
		return;
	}
	route = gw_config_find_route(g->config, decoded.host, in->path);
	if (route == NULL) {
		refuse_unknown_route(n, in->request, &decoded, trust);
		return;
	}
	fault = gate_account_identify(n, route, &decoded);
	if (fault != NULL) {
		refuse_unknown_key(n, in->request, &decoded, trust, fault);
		return;
	}
	forward_start_request(
	    g->forward, n->now, in, &decoded, route, g->config->version, n->fx);
}

void
gate_start_held(
    struct node *n, const struct node_request *in, uint64_t waited_us)
{
	handle_front_request(n, in, waited_us);
}

void
gate_refuse_held(struct node *n, const struct node_request *in)
{
	struct gw_request decoded;
	struct mp_error err;

	if (n->gate->codec->read_request(&decoded, in, n->fx, &err) == MP_OK)
		refuse_not_ready(n, in, &decoded);
}

/*
 * An entry with the complete endpoint table can serve requests even when the
 * placer is lost.
 */
static bool
is_ready(const struct node *n)
{
	return n->gate->config != NULL && n->gate->has_been_leased &&
	    n->gate->table_complete && !n->stopping;
}

static void
reply_readiness(struct node *n, uint64_t request)
{
	n->gate->codec->write_result(add_reply(n, request),
	    is_ready(n) ? 200 : 503, is_ready(n) ? NULL : "not ready", n->fx);
}

/* Handles the calls that any instance answers without the leader. */
static void
handle_local_call(struct node *n, const struct node_request *in)
{
	struct gw_call call;
	struct mp_error err;

	if (n->gate->codec->read_call(&call, in, n->fx, &err) != MP_OK)
		call.type = GW_CALL_UNKNOWN;
	if (call.type == GW_CALL_READY)
		reply_readiness(n, in->request);
	else if (call.type == GW_CALL_LOOKUP)
		gate_registry_lookup(n, in->request, &call);
	else
		n->gate->codec->write_result(
		    add_reply(n, in->request), 404, "no such call", n->fx);
}

void
node_gate_handle_request(struct node *n, const struct node_request *in)
{
	struct gate_caller caller = {n->id, n->incarnation, in->request, false};

	if (n->gate == NULL)
		return;
	if (in->listener == NODE_LISTEN_FRONT)
		handle_front_request(n, in, 0);
	else if (in->listener == NODE_LISTEN_CONTROL)
		gate_control_handle(n, in, &caller);
	else
		handle_local_call(n, in);
}

bool
node_gate_caller_gone(struct node *n, uint64_t request)
{
	return n->gate != NULL &&
	    (gate_hold_caller_gone(n, request) ||
		forward_on_caller_gone(
		    n->gate->forward, n->now, request, n->fx));
}

bool
node_gate_handle_call(struct node *n, const struct node_call_event *event)
{
	if (n->gate == NULL)
		return false;
	return forward_on_call_event(n->gate->forward, n->now, event, n->fx) ||
	    gate_order_on_call(n, event);
}

void
node_gate_entry_down(struct node *n, uint64_t incarnation)
{
	if (n->gate == NULL)
		return;
	place_drop_entry(n->gate->place, n->now, incarnation);
	free(map_remove_u64(n->gate->entries, incarnation));
}

bool
node_gate_receive(struct node *n, uint32_t from, const Wire__Envelope *e)
{
	if (n->gate == NULL)
		return false;
	switch (e->body_case) {
	case WIRE__ENVELOPE__BODY_PLACE_ASK:
		gate_place_on_ask(n, from, e->incarnation, e->place_ask);
		return true;
	case WIRE__ENVELOPE__BODY_PLACE_REPLY:
		gate_ask_on_reply(n, from, e->place_reply);
		return true;
	case WIRE__ENVELOPE__BODY_PLACE_DONE:
		gate_place_on_done(n, from, e->incarnation, e->place_done);
		return true;
	case WIRE__ENVELOPE__BODY_ENDPOINT_NOTICE:
		gate_notice_on_message(n, e->incarnation, e->endpoint_notice);
		return true;
	case WIRE__ENVELOPE__BODY_ACCOUNT_CHARGES:
		gate_fair_on_charges(
		    n, from, e->incarnation, e->account_charges);
		return true;
	case WIRE__ENVELOPE__BODY_ENDPOINT_ENDED:
		gate_evidence_on_ended(n, e->endpoint_ended);
		return true;
	case WIRE__ENVELOPE__BODY_PART_INQUIRY:
		gate_quarantine_on_inquiry(n, from, e->part_inquiry);
		return true;
	case WIRE__ENVELOPE__BODY_PARTS_SERVED:
		gate_evidence_on_served(n, e->parts_served);
		return true;
	case WIRE__ENVELOPE__BODY_QUOTA_ASK:
		gate_quota_on_ask(n, from, e->incarnation, e->quota_ask);
		return true;
	case WIRE__ENVELOPE__BODY_QUOTA_GRANT:
		gate_quota_on_grant(n, e->quota_grant);
		return true;
	case WIRE__ENVELOPE__BODY_CALL_RELAY:
		gate_relay_on_call(n, from, e->incarnation, e->call_relay);
		return true;
	case WIRE__ENVELOPE__BODY_CALL_ANSWER:
		gate_relay_on_answer(n, e->call_answer);
		return true;
	case WIRE__ENVELOPE__BODY_ENDPOINT_TABLE:
		gate_table_on_table(n, from, e->endpoint_table);
		return true;
	case WIRE__ENVELOPE__BODY_TABLE_ASK:
		gate_table_on_ask(n, from);
		return true;
	default:
		return false;
	}
}

/* ---- stopping ----------------------------------------------------------- */

/* The last moment at which a stopping instance exits. */
static uint64_t
exit_deadline_us(const struct node *n)
{
	uint32_t stop_ms = n->settings->gateway.stop_ms;

	return n->stop_us +
	    (stop_ms > EXIT_MARGIN_MS ? stop_ms - EXIT_MARGIN_MS : 0) * 1000ULL;
}

/*
 * A stopping entry asks callers to close persistent connections, accepts new
 * ones until every address list that names it has expired, and exits when the
 * last response is complete. Those that are not by the end of the stop timeout
 * get a definite answer before the exit.
 */
static void
stop_tick(struct node *n)
{
	struct node_gate *g = n->gate;
	uint64_t unlisted_us = n->stop_us + LISTED_AFTER_STOP_US +
	    (uint64_t)n->settings->gateway.address_lifetime_ms * 1000 *
		ADDRESS_LIFETIMES;

	if (!n->stopping)
		return;
	if (!g->closing_announced) {
		g->closing_announced = true;
		node_effects_add(n->fx, NODE_FX_FRONT_CLOSING);
		forward_begin_stop(
		    g->forward, exit_deadline_us(n) - LAST_ANSWER_MARGIN_US);
	}
	if (!g->closed_announced && n->now >= unlisted_us) {
		g->closed_announced = true;
		node_effects_add(n->fx, NODE_FX_FRONT_CLOSED);
		forward_refuse_long(g->forward);
	}
}

bool
node_gate_can_exit(const struct node *n)
{
	if (n->now >= exit_deadline_us(n))
		return true;
	if (n->settings->gateway.front != NULL)
		return n->gate->closed_announced &&
		    forward_request_count(n->gate->forward) == 0;
	return n->now >= n->stop_us + CORE_EXIT_DELAY_US &&
	    (n->raft == NULL || raft_get_role(n->raft) != RAFT_LEADER) &&
	    map_count(n->gate->relays) == 0;
}

/* ---- time --------------------------------------------------------------- */

void
node_gate_tick(struct node *n)
{
	struct node_gate *g = n->gate;

	if (g == NULL)
		return;
	if (n->standing == MEMBER_LEASED)
		g->has_been_leased = true;
	gate_relay_tick(n);
	gate_change_tick(n);
	gate_place_tick(n);
	gate_owner_tick(n);
	if (forward_next_us(g->forward) <= n->now)
		forward_tick(g->forward, n->now, n->fx);
	gate_account_tick(n);
	gate_limit_tick(n);
	gate_fair_tick(n);
	gate_quota_tick(n);
	gate_table_tick(n);
	gate_quarantine_tick(n);
	gate_evidence_tick(n);
	gate_config_log_trust(n);
	stop_tick(n);
}

void
node_gate_run(struct node *n)
{
	if (n->gate == NULL)
		return;
	gate_hold_run(n);
	gate_quota_run(n);
	gate_place_run(n);
}

uint64_t
node_gate_next_us(const struct node *n, uint64_t latest)
{
	uint64_t next = place_next_run_us(n->gate->place);

	if (forward_next_us(n->gate->forward) < next)
		next = forward_next_us(n->gate->forward);
	if (gate_hold_next_us(n) < next)
		next = gate_hold_next_us(n);
	if (gate_quota_next_us(n) < next)
		next = gate_quota_next_us(n);
	if (next < n->now + 1000)
		next = n->now + 1000;
	return next < latest ? next : latest;
}
