#include "node/node_gate.h"

/*
 * Rate limits that endpoints name: which part of a limit this instance may use,
 * and how others learn of it.
 *
 * Entries pass on what a response says with the outcome of its request, so the
 * placer of an endpoint knows it first. A placer that is not the leader tells
 * the leader, which publishes limits with its table. So every instance knows
 * them, and whoever places next, after a loss, a hand-over or by itself, keeps
 * to them.
 *
 * The placer may use the whole limit, for as long as no other instance can be
 * the placer. While an entry hears a placer it sends nothing by itself to a
 * limited endpoint, whose limit that placer uses. An entry without a placer has
 * an even share.
 */

/* Interval of looking for limits that the leader does not know. */
#define PUBLISH_CHECK_US (100 * 1000ULL)

/* ---- shares ------------------------------------------------------------- */

/* The position of this instance among the members, and their number. */
static size_t
find_rank(const struct node *n, size_t *count)
{
	const struct member *m;
	size_t i;

	*count = member_view_count(n->view);
	for (i = 0; i < *count; i++) {
		m = member_view_at(n->view, i);
		if (m->id == n->id)
			return i;
	}
	return (*count)++;
}

/*
 * An even share, which begins with another part of a token at each instance:
 * their first requests arrive one after another, at the rate of the limit.
 */
static struct place_limit_share
even_share(const struct node *n)
{
	struct place_limit_share share;
	size_t count, rank = find_rank(n, &count);

	share.fraction = 1.0 / (double)count;
	share.first_tokens = 1.0 - (double)(rank + 1) / (double)count;
	return share;
}

/* Has an instance been heard recently, so that it is taken to place? */
static bool
is_heard(const struct node *n, uint32_t instance)
{
	const struct node_peer *peer = map_get_u64(n->peers, instance);

	return instance != 0 && instance != n->id && peer != NULL &&
	    n->now <= peer->received_us + GATE_PLACER_TIMEOUT_US;
}

bool
gate_owns_alone(const struct node *n, uint32_t shard)
{
	const struct gate_shard *s = &n->gate->owned[shard];

	return s->owned_since_epoch != 0 && s->epoch_active && node_may_act(n);
}

static struct place_limit_share
get_share(void *ctx, const char *service, const char *endpoint)
{
	static const struct place_limit_share whole = {1, 0}, none = {0, 0};
	const struct node *n = ctx;
	uint32_t shard;

	if (!gate_is_sharded(n)) {
		if (n->gate->placing && gate_has_authority(n))
			return whole;
		return is_heard(n, node_leader(n)) ? none : even_share(n);
	}
	shard = gate_shard_of(n, service, endpoint);
	if (gate_owns_alone(n, shard))
		return whole;
	return is_heard(n, n->gate->shards.owners[shard]) ? none
							  : even_share(n);
}

void
gate_limit_init(struct node *n)
{
	place_set_limit_share_fn(n->gate->place, get_share, n);
}

/* ---- messages ----------------------------------------------------------- */

Wire__RateLimit *
gate_limit_to_wire(Wire__RateLimit *out, const struct place_limit *limit)
{
	wire__rate_limit__init(out);
	out->limited = limit->is_limited;
	out->requests_per_s_milli = limit->requests_per_s_milli;
	return out;
}

struct place_limit
gate_limit_from_wire(const Wire__RateLimit *wire)
{
	struct place_limit limit = {0};

	if (wire != NULL) {
		limit.is_limited = wire->limited;
		limit.requests_per_s_milli = wire->requests_per_s_milli;
	}
	return limit;
}

static void
tell_leader(
    struct node *n, uint32_t leader, const struct place_limit_info *info)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__EndpointNotice message = WIRE__ENDPOINT_NOTICE__INIT;
	Wire__RateLimit limit;

	message.endpoint = (char *)info->endpoint;
	message.born_ms = info->born_ms;
	message.limit = gate_limit_to_wire(&limit, &info->limit);
	envelope.body_case = WIRE__ENVELOPE__BODY_ENDPOINT_NOTICE;
	envelope.endpoint_notice = &message;
	node_peer_send(n, leader, &envelope);
}

static void
publish_limits(struct node *n)
{
	struct place_limit_info info;
	uint32_t leader = node_gate_placer(n);

	if (leader == 0 || leader == n->id ||
	    n->now < n->gate->limit_publish_due_us)
		return;
	n->gate->limit_publish_due_us = n->now + PUBLISH_CHECK_US;
	while (place_next_unpublished_limit(n->gate->place, n->now, &info))
		tell_leader(n, leader, &info);
}

/* ---- log ---------------------------------------------------------------- */

static void
log_change(struct node *n, const struct place_limit_info *info)
{
	node_log(n, NODE_LOG_GATE_LIMIT,
	    "{\"endpoint\": \"%s\", \"born\": %llu, \"limited\": %s, "
	    "\"requestsPerSMilli\": %u, \"entry\": %llu, "
	    "\"shareMilli\": %u, \"waiting\": %u}",
	    info->endpoint, (unsigned long long)info->born_ms,
	    info->limit.is_limited ? "true" : "false",
	    info->limit.requests_per_s_milli, PLACE_LOG_ENTRY_ID(info->teller),
	    (uint32_t)(info->fraction * 1000), info->waiting);
}

void
gate_limit_on_invalid(struct node *n, const char *endpoint, uint64_t born_ms)
{
	if (place_record_invalid_limit(n->gate->place, endpoint, born_ms))
		node_log(n, NODE_LOG_GATE_LIMIT_INVALID,
		    "{\"endpoint\": \"%s\", \"born\": %llu}", endpoint,
		    (unsigned long long)born_ms);
}

void
gate_limit_tick(struct node *n)
{
	struct place_limit_info info;

	while (place_pop_limit_change(n->gate->place, &info))
		log_change(n, &info);
	publish_limits(n);
}
