#include <stdlib.h>

#include "node/node_gate.h"

/*
 * Notices of endpoints: a response may say that its endpoint is leaving, or
 * that it wants no request of this entry for a while.
 *
 * The entry obeys by itself, whether or not it reaches any other instance: it
 * returns grants that contradict a notice. It passes a notice on to the placer
 * of the request, which then grants other endpoints to this entry, and what
 * concerns all entries to the leader, which puts it into the log.
 */

static void
log_notice(struct node *n, const struct place_notice *notice)
{
	node_log(n, NODE_LOG_GATE_NOTICE,
	    "{\"endpoint\": \"%s\", \"born\": %llu, \"leaving\": %s, "
	    "\"backoffMs\": %u}",
	    notice->endpoint, (unsigned long long)notice->born_ms,
	    notice->is_leaving ? "true" : "false", notice->backoff_ms);
}

static void
send_notice(struct node *n, uint32_t to, const struct place_notice *notice)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__EndpointNotice message = WIRE__ENDPOINT_NOTICE__INIT;

	if (to == 0 || to == n->id)
		return;
	message.endpoint = (char *)notice->endpoint;
	message.born_ms = notice->born_ms;
	message.leaving = notice->is_leaving;
	message.backoff_ms = notice->backoff_ms;
	envelope.body_case = WIRE__ENVELOPE__BODY_ENDPOINT_NOTICE;
	envelope.endpoint_notice = &message;
	node_peer_send(n, to, &envelope);
}

/*
 * Records a notice. The leader proposes that an endpoint is leaving, once for
 * each process; the endpoint may announce the same itself, or never.
 */
static void
record_notice(struct node *n, uint64_t entry, const struct place_notice *notice)
{
	struct place *place = n->gate->place;
	bool is_news = notice->is_leaving &&
	    !place_is_known_leaving(place, notice->endpoint, notice->born_ms);

	place_record_notice(place, n->now, entry, notice);
	if (is_news && n->gate->placing && gate_has_authority(n))
		gate_control_propose_leaving(
		    n, notice->endpoint, notice->born_ms, 0, NULL);
}

void
gate_notice_on_response(void *ctx, uint64_t ask,
    const struct place_notice *notice, struct node_effects *fx)
{
	struct node *n = ctx;
	const struct gate_ask *pending = map_get_u64(n->gate->asks, ask);
	uint32_t placer = pending == NULL ? 0 : pending->placer;
	bool is_news = !notice->is_leaving ||
	    !place_is_known_leaving(
		n->gate->place, notice->endpoint, notice->born_ms);

	(void)fx;
	if (notice->has_invalid_limit)
		gate_limit_on_invalid(n, notice->endpoint, notice->born_ms);
	if (!notice->is_leaving && notice->backoff_ms == 0)
		return;
	record_notice(n, n->incarnation, notice);
	if (!is_news)
		return;
	log_notice(n, notice);
	send_notice(n, placer, notice);
	if (notice->is_leaving && node_gate_placer(n) != placer)
		send_notice(n, node_gate_placer(n), notice);
}

bool
gate_notice_allows(struct node *n, uint64_t ask, const char *endpoint,
    uint64_t born_ms, uint32_t *retry_after_ms)
{
	const struct gate_ask *pending = map_get_u64(n->gate->asks, ask);
	struct place_notice notice;

	if (place_may_send(n->gate->place, n->now, n->incarnation, endpoint,
		born_ms, &notice))
		return true;
	if (pending != NULL)
		send_notice(n, pending->placer, &notice);
	*retry_after_ms =
	    notice.is_leaving ? GATE_RETRY_AFTER_MS : notice.backoff_ms;
	return false;
}

void
gate_notice_on_message(
    struct node *n, uint64_t incarnation, const Wire__EndpointNotice *message)
{
	struct place_notice notice = {message->endpoint, message->born_ms,
	    message->leaving, message->backoff_ms, false};
	struct place_limit limit = gate_limit_from_wire(message->limit);

	record_notice(n, incarnation, &notice);
	if (message->limit != NULL)
		place_apply_limit(n->gate->place, n->now, message->endpoint,
		    message->born_ms, &limit, false);
}
