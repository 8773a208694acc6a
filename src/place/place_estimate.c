#include <math.h>
#include <string.h>

#include "place/place_estimate.h"
#include "place/place_room.h"

/*
 * The estimate of a request at an engine.
 *
 * Prompt lengths have a heavy tail, so the number of requests at an engine says
 * little about the wait of the next one. Most requests name an adapter; a few
 * adapters are hot and most are cold. The estimate therefore sums the unread
 * prompt tokens at the engine's measured speed, excludes those parts of the
 * request's own prompt that are cached there, and includes the load of the
 * adapter where it is not loaded.
 */

/* A load uses capacity of the store and may unload an adapter in demand. */
#define COLD_COST_MS 120.0
#define WARM_COST_MS 15.0
/* For each recent request for the adapter that is unloaded, and in total. */
#define VICTIM_COST_MS	   20.0
#define VICTIM_COST_MAX_MS 200.0
/* Latency and traffic between data centres. */
#define REMOTE_COST_MS 2.0
/* Each running sequence slows the steps of the batch. */
#define BATCH_COST_PER_REQUEST_MS 6.0
/*
 * An engine is stuck if it has sent no first byte for STUCK_US plus the time of
 * STUCK_FACTOR mean prompts.
 */
#define STUCK_US      (400 * US_PER_MS)
#define STUCK_FACTOR  3.0
#define STUCK_COST_MS 1000.0
/* Longest usual time until an order is answered, or is known not to be. */
#define ORDER_ANSWER_MAX_US (500 * US_PER_MS)

/* Prompts that other instances have sent, whose lengths are not known. */
#define OTHERS_PROMPT_TOKENS 2000.0
/*
 * Cost of a ms that a less urgent request waits longer, in relation to a ms
 * that this one waits: less urgent ones are worth less and have more time.
 */
#define LESS_URGENT_COST 0.5
/* Of two engines with about the same time, the more certain one is better. */
#define UNCERTAINTY_COST 0.2
/*
 * Upper bound of the busy share in later_cost(), which grows without limit as
 * the share nears 1. With 0.8 the cost is at most 0.8 / 0.2 = 4 times own_ms.
 */
#define LATER_BUSY_SHARE_MAX 0.8

/* Number of requests at the engine, including those of other instances. */
static double
busy_requests(const struct place *p, const struct place_endpoint *e)
{
	return e->running + place_told_at(&e->others, p->now_us);
}

/*
 * Time to process the unread prompts that are as urgent or more, less the time
 * since the last progress, of which at most one mean prompt is counted.
 */
static double
backlog_ms(const struct place *p, const struct place_endpoint *e,
    uint32_t urgency, double tokens_per_ms)
{
	double tokens =
	    place_told_at(&e->others_waiting, p->now_us) * OTHERS_PROMPT_TOKENS;
	double since =
	    (double)(p->now_us - e->last_progress_us) / (double)US_PER_MS;
	double total, mean;
	uint32_t i, requests = 0;

	for (i = 0; i <= urgency; i++) {
		tokens += (double)e->unread_tokens_by[i];
		requests += e->unread_requests_by[i];
	}
	total = tokens / tokens_per_ms;
	mean = requests == 0 ? 0 : total / requests;
	return total - (since < mean ? since : mean);
}

/* How much later requests wait for a ms of work, in that part of the time. */
static double
later_factor(double busy_share)
{
	double share = fmin(busy_share, LATER_BUSY_SHARE_MAX);

	return share / (1 - share);
}

/*
 * The cost to later requests that will find the engine busy: that of a queue
 * whose server is busy for that part of the time. Without it, engines that are
 * somewhat faster get nearly all requests until they have queues.
 *
 * What is cached saves later requests time only where they have to wait
 * wherever they go. While another engine is idle they avoid the one that is
 * busy, and a saving counted by that engine's own share draws requests to a
 * queue that costs them several times what they save.
 */
static double
later_cost(const struct place *p, const struct place_endpoint *e,
    double prompt_ms, double saved_ms)
{
	return prompt_ms * later_factor(place_endpoint_busy_share(p, e)) -
	    saved_ms * later_factor(place_group_busy_share(p, e->group));
}

/* The cost to unread requests that the engine processes after this one. */
static double
less_urgent_cost(
    const struct place_endpoint *e, uint32_t urgency, double own_ms)
{
	uint32_t i, requests = 0;

	for (i = urgency + 1; i < PLACE_URGENCIES; i++)
		requests += e->unread_requests_by[i];
	return own_ms * requests * LESS_URGENT_COST;
}

double
place_engine_load_ms(const struct place *p, const struct place_endpoint *e)
{
	double backlog = backlog_ms(
	    p, e, PLACE_URGENCIES - 1, place_endpoint_tokens_per_ms(p, e));

	return (backlog > 0 ? backlog : 0) +
	    busy_requests(p, e) * BATCH_COST_PER_REQUEST_MS;
}

static bool
is_stuck(const struct place *p, const struct place_endpoint *e)
{
	double mean_us = e->unread_requests == 0
	    ? 0
	    : (double)e->unread_tokens / place_endpoint_tokens_per_ms(p, e) /
		e->unread_requests * (double)US_PER_MS;

	return e->unread_requests > 0 &&
	    (double)(p->now_us - e->last_progress_us) >
	    mean_us * STUCK_FACTOR + (double)STUCK_US;
}

/* The cost of unloading an adapter to make room. */
static double
victim_cost(
    const struct place *p, struct place_endpoint *e, uint64_t adapter_kb)
{
	double cost;

	if (place_room_has(e, adapter_kb))
		return 0;
	cost = place_adapter_victim_demand(p, e, adapter_kb) * VICTIM_COST_MS;
	return cost < VICTIM_COST_MAX_MS ? cost : VICTIM_COST_MAX_MS;
}

/*
 * Does the engine have a free slot and memory for the request? Requests of
 * other instances are taken to be as large as the mean of those known.
 */
static bool
has_capacity(const struct place *p, const struct place_endpoint *e,
    const struct place_ask *a)
{
	const struct gw_engine *engine = e->engine;
	uint64_t tokens = (uint64_t)a->prompt_tokens + a->max_tokens;
	double others = place_told_at(&e->others, p->now_us);
	double mean_tokens = e->running == 0
	    ? (double)tokens
	    : (double)e->kv_tokens / e->running;

	if (engine == NULL)
		return false;
	/* What others run there is known by responses to own requests only. */
	if (e->running > 0 && e->running + others >= e->slots)
		return false;
	return e->running == 0 || engine->kv_tokens == 0 ||
	    (double)(e->kv_tokens + tokens) + others * mean_tokens <=
	    engine->kv_tokens;
}

static bool
has_weights(const struct place_endpoint *e, const char *model)
{
	const struct place_adapter *weights = e->weights;

	if (weights == NULL || strcmp(weights->model, model) != 0)
		weights = place_adapter_find(e, model);
	return weights != NULL && weights->state == ADAPTER_LOADED;
}

static double
ms_since(const struct place *p, uint64_t since_us)
{
	return (double)(p->now_us - since_us) / (double)US_PER_MS;
}

/*
 * Time until an adapter that is loaded or pending can serve the request; false
 * if it will not. An order without an answer for longer than usual is expected
 * to take as long again.
 */
static bool
pending_load_ms(const struct place *p, const struct place_endpoint *e,
    const struct place_ask *a, const struct place_adapter *adapter,
    bool may_order, double *ms)
{
	double load;

	*ms = 0;
	if (place_adapter_is_current(p, adapter))
		return true;
	if (adapter->state == ADAPTER_LOADED ||
	    adapter->state == ADAPTER_EVICTING ||
	    adapter->wanted_version < place_required_version(p, a->key))
		return false;
	if (adapter->ready_us > p->now_us)
		*ms =
		    (double)(adapter->ready_us - p->now_us) / (double)US_PER_MS;
	if (adapter->state == ADAPTER_LOADING)
		return true;
	load = place_adapter_load_ms(
	    p, place_adapter_was_recently_unloaded(e, adapter->key_hash));
	if (adapter->state == ADAPTER_ORDERED &&
	    p->now_us > adapter->state_since_us + ORDER_ANSWER_MAX_US)
		load += ms_since(p, adapter->state_since_us);
	if (*ms < load)
		*ms = load; /* not accepted yet, even if it is overdue */
	return may_order;
}

/*
 * Time of a load that would have to be ordered; false if none is possible or
 * its cost reaches limit. The cost to other requests is added to the estimate.
 * Cheap tests come first: they exclude most engines of a large fleet.
 */
static bool
new_load_ms(const struct place *p, struct place_endpoint *e,
    const struct place_ask *a, const struct place_adapter *adapter,
    double limit, double *ms, struct place_estimate *out)
{
	bool is_warm = place_adapter_was_recently_unloaded(e, a->key_hash);
	uint64_t adapter_kb;

	*ms = place_adapter_wait_ms(p, is_warm);
	out->cost += is_warm ? WARM_COST_MS : COLD_COST_MS;
	if (a->adapter == NULL || *ms + out->cost >= limit ||
	    (adapter != NULL && adapter->state != ADAPTER_LOADED))
		return false;
	adapter_kb = place_room_size_kb(e->engine, a->model, true);
	if (adapter == NULL && !place_room_can_be_made(e, adapter_kb))
		return false;
	out->needs_load = true;
	out->cost += victim_cost(p, e, adapter_kb);
	return *ms + out->cost < limit;
}

/* Time until the engine's rate limit allows the request; INFINITY: never. */
static double
limit_wait_ms(const struct place *p, const struct place_endpoint *e,
    const struct place_ask *a)
{
	uint64_t wait_us = place_limit_wait_at_engine_us(p, e, a);

	return wait_us == UINT64_MAX ? INFINITY : (double)wait_us / US_PER_MS;
}

bool
place_estimate_engine(struct place *p, struct place_endpoint *e,
    const struct place_ask *a, const struct place_adapter *adapter,
    bool may_order, double limit, struct place_estimate *out)
{
	struct place_prefix_saving saving;
	double load, backlog, prompt_ms, own_ms, batch_ms, tokens_per_ms;
	uint32_t urgency = place_admit_urgency(p, a);

	memset(out, 0, sizeof(*out));
	p->totals.estimates++;
	may_order = may_order && p->now_us >= e->order_from_us;
	if (!has_capacity(p, e, a))
		return false;
	tokens_per_ms = place_endpoint_tokens_per_ms(p, e);
	backlog = backlog_ms(p, e, urgency, tokens_per_ms);
	batch_ms = busy_requests(p, e) * BATCH_COST_PER_REQUEST_MS;
	if (backlog + batch_ms >= limit ||
	    !place_endpoint_is_usable(p, e, a->service) ||
	    place_ask_avoids(a, e) || !has_weights(e, a->model) ||
	    place_backoff_end_us(p, e, a->id.entry) != 0)
		return false;
	if ((adapter == NULL ||
		!pending_load_ms(p, e, a, adapter, may_order, &load)) &&
	    (!may_order || !new_load_ms(p, e, a, adapter, limit, &load, out)))
		return false;
	out->limit_wait_ms = limit_wait_ms(p, e, a);
	if (out->limit_wait_ms >= limit || isinf(out->limit_wait_ms))
		return false;
	out->backlog_ms = backlog;
	out->unread_ms = backlog_ms(p, e, PLACE_URGENCIES - 1, tokens_per_ms);
	saving = place_prefix_expect(p, e, a);
	out->own_tokens = (uint32_t)(a->prompt_tokens - saving.tokens);
	out->uncertainty_ms = saving.deviation / tokens_per_ms;
	prompt_ms = a->prompt_tokens / tokens_per_ms;
	own_ms = out->own_tokens / tokens_per_ms;
	out->saving_ms = prompt_ms - own_ms;
	out->first_ms =
	    fmax(fmax(backlog, load), out->limit_wait_ms) + own_ms + batch_ms;
	out->stuck = is_stuck(p, e);
	out->cost += out->first_ms + less_urgent_cost(e, urgency, own_ms) +
	    later_cost(p, e, prompt_ms, out->saving_ms) +
	    out->uncertainty_ms * UNCERTAINTY_COST +
	    (out->stuck ? STUCK_COST_MS : 0);
	if (a->data_centre != NULL &&
	    strcmp(a->data_centre, e->data_centre) != 0)
		out->cost += REMOTE_COST_MS;
	return true;
}
