#include <stdlib.h>
#include <string.h>

#include "place/place_admit.h"
#include "place/place_guard.h"
#include "util/mem.h"

/* A granted request without an outcome is dropped this long after deadline. */
#define ASK_EXPIRY_US (5000 * US_PER_MS)

/* Creation, the queue of decisions and the run that makes them. */

/* ---- creation and queues ------------------------------------------------ */

struct place *
place_create(const struct place_options *options)
{
	struct place *p = mem_alloc(1, sizeof(*p));

	p->options = *options;
	p->endpoints = map_create();
	p->groups = map_create();
	p->departed = map_create();
	p->leaving = map_create();
	p->noticed_leaving = map_create();
	p->left_before = map_create();
	p->silent = map_create();
	p->backoffs = map_create();
	p->next_backoff_end_us = UINT64_MAX;
	p->invalid_limits = map_create();
	p->asks = map_create();
	p->versions = map_create();
	p->budgets = map_create();
	p->demand = map_create();
	p->admit = place_admit_create();
	p->capacity_generation = 1;
	place_store_init(&p->store, options->adapter_load_ms);
	return p;
}

void
place_destroy(struct place *p)
{
	size_t i;

	if (p == NULL)
		return;
	for (i = 0; i < map_count(p->asks); i++)
		place_ask_free(map_at(p->asks, i));
	map_destroy(p->asks);
	for (i = 0; i < map_count(p->endpoints); i++)
		place_endpoint_free(map_at(p->endpoints, i));
	map_destroy(p->endpoints);
	place_group_free_all(p);
	map_destroy_all(p->departed, free);
	map_destroy_all(p->leaving, free);
	map_destroy_all(p->noticed_leaving, free);
	map_destroy_all(p->left_before, free);
	map_destroy_all(p->silent, free);
	map_destroy_all(p->backoffs, free);
	map_destroy_all(p->invalid_limits, free);
	map_destroy_all(p->versions, free);
	map_destroy_all(p->budgets, free);
	for (i = 0; i < map_count(p->demand); i++)
		place_demand_free(map_at(p->demand, i));
	map_destroy(p->demand);
	for (i = 0; i < p->nchanges; i++)
		free(p->changes[i].id);
	free(p->changes);
	free(p->popped_change_id);
	free(p->decisions);
	place_admit_destroy(p->admit);
	free(p);
}

void
place_configure(struct place *p, const struct gw_config *config)
{
	p->config = config;
	place_admit_configure(p);
	place_endpoint_update_engines(p);
	place_update_ownership(p, p->now_us);
	p->capacity_generation++;
	place_schedule_run(p, 0);
}

void
place_update_priorities(struct place *p)
{
	place_admit_configure(p);
}

void
place_set_version(
    struct place *p, const char *model, const char *adapter, uint32_t version)
{
	char *key = place_adapter_key(model, adapter);
	struct place_version *v = map_get_str(p->versions, key);

	if (v == NULL) {
		v = mem_alloc(1, sizeof(*v));
		(void)map_set_str(p->versions, key, v);
	}
	if (version > v->version)
		v->version = version;
	free(key);
}

uint32_t
place_required_version(const struct place *p, const char *key)
{
	const struct place_version *v = map_get_str(p->versions, key);

	return v == NULL || !place_guards.version ? 0 : v->version;
}

void
place_schedule_run(struct place *p, uint64_t at_us)
{
	if (at_us < p->next_run_us)
		p->next_run_us = at_us;
}

/*
 * Minimum time between runs, for each endpoint: a run takes longer in a larger
 * fleet. Events that arrive meanwhile are handled by the same run.
 */
#define RUN_GAP_PER_ENDPOINT_US 20u

static uint64_t
min_run_gap_us(const struct place *p)
{
	return map_count(p->endpoints) * RUN_GAP_PER_ENDPOINT_US;
}

uint64_t
place_next_run_us(const struct place *p)
{
	uint64_t gap = min_run_gap_us(p);

	if (p->next_run_us < p->last_run_us + gap)
		return p->last_run_us + gap;
	return p->next_run_us;
}

struct place_decision *
place_decision_add(struct place *p, enum place_decision_type type)
{
	struct place_decision *d;

	if (p->ndecisions == p->decisions_cap) {
		p->decisions_cap =
		    p->decisions_cap == 0 ? 16 : p->decisions_cap * 2;
		p->decisions = mem_resize(
		    p->decisions, p->decisions_cap, sizeof(*p->decisions));
	}
	d = &p->decisions[p->ndecisions++];
	memset(d, 0, sizeof(*d));
	d->type = type;
	return d;
}

bool
place_pop_decision(struct place *p, struct place_decision *out)
{
	if (p->ndecisions_taken == p->ndecisions) {
		p->ndecisions_taken = p->ndecisions = 0;
		return false;
	}
	*out = p->decisions[p->ndecisions_taken++];
	return true;
}

void
place_change_add(struct place *p, const char *id, bool gone)
{
	size_t i;

	for (i = 0; i < p->nchanges; i++)
		if (strcmp(p->changes[i].id, id) == 0) {
			p->changes[i].gone = gone;
			return;
		}
	if (p->nchanges == p->changes_cap) {
		p->changes_cap = p->changes_cap == 0 ? 16 : p->changes_cap * 2;
		p->changes =
		    mem_resize(p->changes, p->changes_cap, sizeof(*p->changes));
	}
	p->changes[p->nchanges].id = mem_string(id);
	p->changes[p->nchanges++].gone = gone;
}

bool
place_pop_change(struct place *p, const char **id, bool *gone)
{
	if (p->nchanges == 0)
		return false;
	free(p->popped_change_id);
	p->popped_change_id = p->changes[--p->nchanges].id;
	*id = p->popped_change_id;
	*gone = p->changes[p->nchanges].gone;
	return true;
}

void
place_reset(struct place *p, uint64_t now_us)
{
	struct place_endpoint *e;
	size_t i;

	while (map_count(p->asks) > 0) {
		struct place_ask *a = map_at(p->asks, 0);

		place_done(p, now_us, a->id,
		    &(struct place_result){.outcome = PLACE_ABANDONED});
	}
	for (i = 0; i < map_count(p->endpoints); i++) {
		e = map_at(p->endpoints, i);
		place_adapter_doubt_all(e);
		e->orders_known = false;
		e->call_in_flight = false;
		e->is_fenced = false;
		e->has_been_ordered = false;
		e->needs_report = false;
		free(e->order_key);
		e->order_key = NULL;
		free(e->unsure_key);
		e->unsure_key = NULL;
		e->announced_us = now_us;
	}
	p->weight_permits = 0;
	p->permits_refilled_us = now_us;
	place_schedule_run(p, 0);
}

/* ---- the run ------------------------------------------------------------ */

static enum place_attempt
try_place(struct place *p, struct place_ask *a, bool may_order)
{
	const struct gw_service *s = p->config == NULL
	    ? NULL
	    : gw_config_find_service(p->config, a->service);

	if (s != NULL && s->has_engine && a->model != NULL)
		return place_engine_place(p, a, may_order);
	return place_service_place(p, a);
}

/* Keep a request queued that was not granted, or refuse it at its deadline. */
static void
keep_queued(struct place *p, struct place_ask *a)
{
	struct place_decision *d;

	if (p->now_us >= a->deadline_us) {
		place_ask_refuse(p, a, NULL, "deadline", 0);
		return;
	}
	place_schedule_run(p,
	    a->evaluate_at_us != 0 && a->evaluate_at_us < a->deadline_us
		? a->evaluate_at_us
		: a->deadline_us);
	if (a->wait_sent)
		return;
	a->wait_sent = true;
	d = place_decision_add(p, PLACE_WAIT);
	d->id = a->id;
}

/* Drop granted requests whose entry never sent an outcome. */
static void
drop_expired_asks(struct place *p)
{
	struct place_ask *a;
	size_t i = map_count(p->asks);

	while (i-- > 0) {
		a = map_at(p->asks, i);
		if (a->granted && p->now_us > a->deadline_us + ASK_EXPIRY_US)
			place_done(p, p->now_us, a->id,
			    &(struct place_result){.outcome = PLACE_ABANDONED});
	}
}

#define SWEEP_US	(200 * US_PER_MS)
#define DEMAND_SWEEP_US (5000 * US_PER_MS)
/* Requests that one run evaluates; the others follow in the next run. */
#define EVALUATIONS_PER_RUN_MAX 48u
#define CONTINUE_RUN_US		(2 * US_PER_MS)

/* Periodic cleanup. */
static void
sweep(struct place *p)
{
	if (p->now_us < p->next_sweep_us)
		return;
	p->next_sweep_us = p->now_us + SWEEP_US;
	place_endpoint_remove_silent(p);
	drop_expired_asks(p);
	place_admit_sweep(p);
	if (p->now_us < p->next_demand_sweep_us)
		return;
	p->next_demand_sweep_us = p->now_us + DEMAND_SWEEP_US;
	place_demand_sweep(p);
}

/*
 * Should a queued request be evaluated again? A request that waits for an
 * adapter is evaluated when the adapter is due, any other one when capacity has
 * been freed. In a busy fleet capacity is freed all the time, and a model
 * request searches all engines, so it is evaluated at most once in this number
 * of run intervals.
 */
#define SEARCH_GAP_RUNS 5u
/*
 * In a shortage many requests are held, and an evaluation searches all engines.
 * The first HELD_NEXT in the order are evaluated in each run, each of the
 * others only every HELD_RECHECK_US, and a run ends once HELD_PER_RUN_MAX
 * requests stay held.
 *
 * A run that passes over a held request passes over all that need the same
 * adapter and come after it in the order, up to PASSED_KEYS_MAX adapters.
 * Engines make room all the time, and whichever is evaluated next would get it
 * otherwise.
 */
#define HELD_NEXT	 12u
#define HELD_PER_RUN_MAX 16u
#define HELD_RECHECK_US	 (10 * US_PER_MS)
#define PASSED_KEYS_MAX	 64u

/* Hashes of the adapters of held requests that a run has passed over. */
struct passed_keys {
	uint64_t hashes[PASSED_KEYS_MAX];
	size_t count;
};

static bool
is_passed(const struct passed_keys *passed, const struct place_ask *a)
{
	size_t i;

	for (i = 0; i < passed->count; i++)
		if (passed->hashes[i] == a->key_hash)
			return true;
	return false;
}

/* Without a shortage requests are not held for others. */
static void
pass_over(const struct place *p, struct passed_keys *passed,
    const struct place_ask *a)
{
	if (p->admit->is_short && passed->count < PASSED_KEYS_MAX &&
	    !is_passed(passed, a))
		passed->hashes[passed->count++] = a->key_hash;
}

static uint64_t
search_gap_us(const struct place *p, const struct place_ask *a, bool is_next)
{
	uint64_t gap_us = SEARCH_GAP_RUNS * min_run_gap_us(p);

	return a->is_held && !is_next && gap_us < HELD_RECHECK_US
	    ? HELD_RECHECK_US
	    : gap_us;
}

static bool
needs_evaluation(const struct place *p, const struct place_ask *a, bool is_next)
{
	if (p->now_us >= a->deadline_us || a->evaluated_generation == 0)
		return true;
	if (a->evaluate_at_us != 0 && p->now_us >= a->evaluate_at_us)
		return true;
	/* time alone makes room as well: prompts are being read */
	return a->endpoint == NULL &&
	    (a->evaluated_generation != p->capacity_generation ||
		(a->is_held && p->admit->is_short)) &&
	    (a->key == NULL ||
		p->now_us >= a->evaluated_us + search_gap_us(p, a, is_next));
}

/*
 * Does this run pass over a request that searches for an engine? Not over a
 * repeat, which waits for nobody, or one that is to be refused.
 */
static bool
must_pass_over(const struct place *p, struct passed_keys *passed,
    const struct place_ask *a, bool is_next)
{
	if (p->now_us < a->deadline_us && a->attempt == 0 &&
	    is_passed(passed, a))
		return true;
	if (needs_evaluation(p, a, is_next))
		return false;
	if (a->is_held)
		pass_over(p, passed, a);
	return true;
}

/* Refuse a request that no engine will have room for before its deadline. */
static bool
refuse_hopeless(struct place *p, struct place_ask *a)
{
	uint64_t return_us;
	bool elsewhere;

	if (!p->admit->ops->is_hopeless(p, a, &return_us))
		return false;
	p->totals.share_refusals++;
	elsewhere = a->may_redirect;
	place_ask_refuse_until(p, a, "overload", return_us);
	p->decisions[p->ndecisions - 1].elsewhere = elsewhere;
	return true;
}

void
place_run(struct place *p, uint64_t now_us, bool may_order)
{
	struct passed_keys passed = {.count = 0};
	struct place_ask *a, *next;
	size_t evaluated = 0, held = 0, searching = 0;
	bool searches;

	p->now_us = now_us;
	p->next_run_us = now_us + SWEEP_US;
	p->last_run_us = now_us;
	sweep(p);
	place_backoff_expire(p);
	place_limit_update_shares(p);
	place_share_count_engines(p);
	place_group_update_busy(p);
	p->admit->ops->order(p);
	for (a = p->queue_head; a != NULL; a = next) {
		next = a->next;
		if (refuse_hopeless(p, a))
			continue;
		if (a->evaluate_at_us != 0)
			place_schedule_run(p, a->evaluate_at_us);
		searches = a->endpoint == NULL && a->key != NULL;
		searching += searches;
		if (searches
			? must_pass_over(p, &passed, a, searching <= HELD_NEXT)
			: !needs_evaluation(p, a, false))
			continue;
		if (searches && held >= HELD_PER_RUN_MAX) {
			place_schedule_run(p, now_us + CONTINUE_RUN_US);
			pass_over(p, &passed, a);
			continue;
		}
		if (++evaluated > EVALUATIONS_PER_RUN_MAX) {
			place_schedule_run(p, now_us + CONTINUE_RUN_US);
			break;
		}
		a->evaluated_generation = p->capacity_generation;
		a->evaluated_us = now_us;
		a->evaluate_at_us = 0;
		switch (try_place(p, a, may_order)) {
		case PLACE_ATTEMPT_GRANTED:
			place_ask_dequeue(p, a);
			break;
		case PLACE_ATTEMPT_WAITING:
			held += a->is_held;
			keep_queued(p, a); /* may free it */
			break;
		case PLACE_ATTEMPT_REFUSED:
			break;
		}
	}
	place_order_run(p, may_order);
}

void
place_get_totals(const struct place *p, struct place_totals *out)
{
	size_t i;

	*out = p->totals;
	out->endpoints = (uint32_t)map_count(p->endpoints);
	out->waiting = (uint32_t)p->nqueued;
	out->limited_endpoints = p->nlimited;
	out->store_loads_late = p->store.late;
	out->store_loads_in_time = p->store.in_time;
	out->held = p->admit->nheld;
	out->running = 0;
	for (i = 0; i < map_count(p->endpoints); i++)
		out->running +=
		    ((const struct place_endpoint *)map_at(p->endpoints, i))
			->running;
}
