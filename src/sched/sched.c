#include <stdlib.h>
#include <string.h>

#include "sched/policy.h"
#include "util/mem.h"

/*
 * Public interface: creation, the life cycle of requests (queued, granted or
 * adopted, finished) and the sequence of a run.
 */

/*
 * A request ranks like one of the next lower priority that has waited this
 * much longer. So a low priority is not starved.
 */
#define SCHED_PRIORITY_STEP_US (2 * SCHED_SECOND_US)
#define SCHED_MEAN_WEIGHT      0.05 /* of the newest value in a mean */

/* Returns a policy by its name, or NULL if there is none of that name. */
static struct policy *
policy_create(const struct sched_options *options)
{
	const char *name = options->policy;

	if (name == NULL || strcmp(name, "fair") == 0)
		return policy_fair_create(options);
	if (strcmp(name, "fifo") == 0)
		return policy_fifo_create();
	if (strcmp(name, "least-loaded") == 0)
		return policy_least_loaded_create();
	if (strcmp(name, "round-robin") == 0)
		return policy_round_robin_create();
	return NULL;
}

int
sched_create(struct sched **out, const struct sched_options *options,
    struct mp_error *err)
{
	struct policy *policy = policy_create(options);
	struct sched *s;

	*out = NULL;
	if (policy == NULL)
		return mp_error_set(err, MP_LAYER_SCHED, MP_ERR_NOT_FOUND,
		    "no policy named %s", options->policy);
	s = mem_alloc(1, sizeof(*s));
	s->policy = policy;
	s->options = *options;
	s->options.policy = policy->vtable.name;
	rng_seed(&s->rng, options->seed);
	s->endpoints = map_create();
	s->pools = map_create();
	s->adapters = map_create();
	s->teams = map_create();
	s->fair = team_create_fair(options);
	s->items = map_create();
	s->next_us = SCHED_NEVER;
	*out = s;
	return MP_OK;
}

static void
sched_free_tables(struct sched *s)
{
	struct pool *p;
	struct team *t;
	struct flow *f;
	size_t i;

	for (i = 0; i < map_count(s->items); i++)
		free(map_at(s->items, i));
	for (i = 0; i < map_count(s->teams); i++) {
		t = map_at(s->teams, i);
		while ((f = t->flows) != NULL) {
			t->flows = f->team_next;
			free(f);
		}
		team_free(t);
	}
	for (i = 0; i < map_count(s->endpoints); i++)
		endpoint_free(map_at(s->endpoints, i));
	for (i = 0; i < map_count(s->adapters); i++)
		adapter_free(map_at(s->adapters, i));
	for (i = 0; i < map_count(s->pools); i++) {
		p = map_at(s->pools, i);
		free(p->endpoints);
		free(p->name);
		free(p);
	}
	for (i = 0; i < s->nremoved; i++)
		endpoint_free(s->removed_endpoints[i]);
}

void
sched_destroy(struct sched *s)
{
	if (s == NULL)
		return;
	sched_free_tables(s);
	map_destroy(s->items);
	map_destroy(s->teams);
	map_destroy(s->endpoints);
	map_destroy(s->adapters);
	map_destroy(s->pools);
	fair_destroy(s->fair);
	free(s->heap);
	free(s->claims);
	free(s->orphaned_loads);
	free(s->decisions);
	free(s->removed_endpoints);
	s->policy->vtable.destroy(s->policy);
	free(s);
}

/* Appends a decision with all fields zero, which the caller fills. */
struct sched_decision *
sched_add_decision(struct sched *s, enum sched_decision_type type)
{
	struct sched_decision *d;

	SCHED_GROW(s->decisions, s->decision_count, s->decision_cap,
	    struct sched_decision);
	d = &s->decisions[s->decision_count++];
	memset(d, 0, sizeof(*d));
	d->type = type;
	return d;
}

bool
sched_take_decision(struct sched *s, struct sched_decision *out)
{
	if (s->decision_head == s->decision_count)
		return false;
	*out = s->decisions[s->decision_head++];
	if (s->decision_head == s->decision_count)
		s->decision_head = s->decision_count = 0;
	return true;
}

/* Requests a run at a time, or earlier. */
void
sched_wake_at(struct sched *s, uint64_t at_us)
{
	if (at_us < s->next_us)
		s->next_us = at_us;
}

uint64_t
sched_next_run_us(const struct sched *s)
{
	const struct item *it = item_next_recheck(s);

	if (it != NULL && it->recheck_us < s->next_us)
		return it->recheck_us;
	return s->next_us;
}

/* Returns the adapter or service of a request. */
static struct adapter *
request_get_adapter(struct sched *s, const struct sched_request *request)
{
	bool is_service = request->adapter == NULL;
	struct pool *p = pool_get(
	    s, is_service, is_service ? request->service : request->base_model);
	struct adapter *a = adapter_get(
	    s, is_service, is_service ? p->name : request->adapter, p);

	a->pool = p;
	return a;
}

static void
request_copy_avoid(
    struct sched *s, struct item *it, const struct sched_request *request)
{
	struct endpoint *ep;
	size_t i;

	for (i = 0; i < request->navoid && i < SCHED_AVOID_MAX; i++) {
		ep = endpoint_find(s, request->avoid[i]);
		if (ep != NULL)
			it->avoid[it->navoid++] = ep->serial;
	}
}

void
sched_enqueue(
    struct sched *s, uint64_t now_us, const struct sched_request *request)
{
	struct team *t = team_get(s, request->team);
	struct item *it;

	if (map_get_u64(s->items, request->id) != NULL)
		return;
	it = mem_alloc(1, sizeof(*it));
	t->account->weight =
	    request->team_weight > 0.0 ? request->team_weight : 1.0;
	t->account->max_running = request->team_max_concurrent;
	team_activate(s, t, now_us);
	fair_start_backlog(s->fair, t->account);
	it->id = request->id;
	it->team = t;
	it->adapter = request_get_adapter(s, request);
	it->adapter->last_team = t;
	it->adapter->keep_loaded = request->pinned;
	adapter_note_request(s, it->adapter, now_us);
	it->is_new = true;
	it->enqueued_us = now_us;
	it->queued_us = request->queued_us == 0 || request->queued_us > now_us
	    ? now_us
	    : request->queued_us;
	it->deadline_us =
	    request->deadline_us == 0 ? SCHED_NEVER : request->deadline_us;
	it->arrival = ++s->arrivals;
	it->rank_us =
	    it->queued_us + request->priority * SCHED_PRIORITY_STEP_US;
	it->prompt_tokens = request->prompt_tokens;
	it->max_tokens = request->max_tokens;
	it->prefix = request->prefix;
	it->kind_weight =
	    request->kind_weight > 0.0 ? request->kind_weight : 1.0;
	request_copy_avoid(s, it, request);
	map_set_u64(s->items, it->id, it);
	item_enqueue(s, it);
	s->next_us = now_us;
}

/* Puts a request onto an endpoint: takes a seat and pins the slot. */
static void
item_start(struct sched *s, uint64_t now_us, struct item *it,
    struct endpoint *ep, struct slot *slot)
{
	it->state = ITEM_GRANTED;
	it->granted_us = now_us;
	it->ep = ep;
	it->slot = slot;
	it->cold_start_count = ep->cold_start_count;
	it->team->account->running++;
	if (it->adapter != NULL)
		it->adapter->running++;
	s->running++;
	ep->grants++;
	if (ep->pool != NULL)
		ep->pool->grants++;
	if (slot != NULL) {
		slot->pins++;
		slot->last_used_us = now_us;
	}
}

/* Returns the part of the wait during which the adapter was not loaded. */
static uint64_t
item_stall_us(const struct item *it, const struct slot *slot, uint64_t now_us)
{
	uint64_t ready;

	if (slot == NULL)
		return 0;
	ready = it->ep != NULL ? slot->loaded_us : it->adapter->loaded_us;
	if (ready <= it->enqueued_us)
		return 0;
	return (ready < now_us ? ready : now_us) - it->enqueued_us;
}

/*
 * Grants a queued request: decides it, removes it from the queue and charges
 * its team provisionally.
 *
 * slot: NULL for a service call.
 */
void
sched_grant(struct sched *s, uint64_t now_us, struct item *it,
    struct endpoint *ep, struct slot *slot)
{
	struct sched_decision *d = sched_add_decision(s, SCHED_GRANT);

	d->request = it->id;
	d->endpoint = ep->id;
	d->wait_us = now_us - it->enqueued_us;
	d->stall_us = item_stall_us(it, slot, now_us);
	s->stall_us += d->stall_us;
	stat_add_wait(s, now_us, d->wait_us);
	admit_update_margin(s, it, now_us, true);

	fair_update_gap(s->fair);
	it->provisional_charge = team_estimate_charge(s, it);
	item_dequeue(s, it);
	item_start(s, now_us, it, ep, slot);
	team_add_charge(s, it->team, it->provisional_charge);
	if (it->prefix != 0)
		prefix_add(&ep->prefixes, it->prefix);
}

void
sched_adopt_grant(struct sched *s, uint64_t now_us, uint64_t id,
    const char *team, const char *endpoint, const char *adapter)
{
	struct endpoint *ep = endpoint_get(s, endpoint);
	struct slot *slot = NULL;
	struct item *it;

	if (map_get_u64(s->items, id) != NULL)
		return;
	it = mem_alloc(1, sizeof(*it));
	it->id = id;
	it->team = team_get(s, team);
	it->kind_weight = 1.0;
	if (adapter != NULL) {
		it->adapter = adapter_get(s, false, adapter, ep->pool);
		slot = slot_find(ep, it->adapter);
		if (slot == NULL)
			slot = slot_adopt(ep, it->adapter, now_us);
	}
	team_activate(s, it->team, now_us);
	map_set_u64(s->items, id, it);
	item_start(s, now_us, it, ep, slot);
	if (ep->foreign_runs > 0 && ep->foreign_runs != UINT32_MAX)
		ep->foreign_runs--;
}

/* Adds a value to a moving mean; 0 is unknown and ignored. */
static void
mean_update(double *mean, uint64_t value)
{
	if (value == 0)
		return;
	*mean += *mean == 0.0 ? (double)value
			      : SCHED_MEAN_WEIGHT * ((double)value - *mean);
}

/* Ends a granted request. */
static void
item_finish(struct sched *s, uint64_t now_us, struct item *it,
    const struct sched_usage *usage)
{
	struct endpoint *ep = it->ep;

	s->running--;
	it->team->account->running--;
	if (it->adapter != NULL)
		it->adapter->running--;
	team_settle_charge(s, it, usage);
	if (usage->outcome == SCHED_DELIVERED && it->adapter != NULL &&
	    it->adapter->pool != NULL) {
		mean_update(
		    &it->adapter->pool->mean_service_us, usage->total_us);
		mean_update(&it->adapter->pool->mean_first_us, usage->first_us);
		role_note_tokens(it->adapter->pool, now_us, usage->tokens_in,
		    usage->tokens_out);
	}
	if (ep == NULL)
		return;
	ep->grants--;
	if (ep->pool != NULL)
		ep->pool->grants--;
	endpoint_note_outcome(s, ep, now_us, usage);
	if (it->slot != NULL && it->cold_start_count == ep->cold_start_count)
		slot_unpin(
		    s, ep, it->slot, now_us, it->granted_us, usage->outcome);
}

void
sched_finish_request(struct sched *s, uint64_t now_us, uint64_t id,
    const struct sched_usage *usage)
{
	struct item *it = map_get_u64(s->items, id);

	if (it == NULL)
		return;
	if (it->state == ITEM_QUEUED)
		item_dequeue(s, it);
	else
		item_finish(s, now_us, it, usage);
	team_note_idle(s, it->team);
	item_free(s, it);
	s->next_us = now_us;
}

/* Frees removed endpoints, unless a decision may still name one. */
static void
sched_free_removed(struct sched *s)
{
	if (s->decision_count > 0)
		return;
	while (s->nremoved > 0)
		endpoint_free(s->removed_endpoints[--s->nremoved]);
}

void
sched_run(struct sched *s, uint64_t now_us, bool may_order)
{
	s->run_count++;
	s->next_us = SCHED_NEVER;
	sched_free_removed(s);
	team_sum_weights(s);
	admit_run(s, now_us);
	if (may_order) {
		load_run_claims(s, now_us);
		s->policy->vtable.decide(s->policy, s, now_us);
		role_run(s, now_us);
	}
	if (s->decision_count == 0) {
		adapter_sweep_idle(s, now_us);
		team_prune_idle(s, now_us);
	}
}

bool
sched_is_idle(const struct sched *s)
{
	return s->queued == 0 && s->running == 0;
}
