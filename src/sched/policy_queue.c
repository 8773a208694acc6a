#include <stdlib.h>

#include "sched/policy_queue.h"
#include "util/mem.h"

/* Work bound to an endpoint, running or waiting, over its seats. */
static double
endpoint_load(const struct sched *s, const struct endpoint *ep)
{
	const struct item *it;
	uint32_t bound = ep->grants;

	for (it = s->arrival_head; it != NULL; it = it->arrival_next) {
		if (it->ep == ep)
			bound++;
	}
	return (double)bound / (ep->seats > 0 ? ep->seats : 1);
}

struct endpoint *
policy_queue_least_loaded(
    struct sched *s, uint64_t now_us, const struct item *it, bool holding)
{
	const struct pool *p = it->adapter->pool;
	struct endpoint *ep, *best = NULL;
	double load, least = 0.0;
	uint32_t i;

	for (i = 0; i < p->count; i++) {
		ep = p->endpoints[i];
		if (!endpoint_can_run(ep, it) ||
		    !endpoint_is_usable(s, ep, now_us))
			continue;
		if (holding && slot_find(ep, it->adapter) == NULL)
			continue;
		load = endpoint_load(s, ep);
		if (best == NULL || load < least) {
			best = ep;
			least = load;
		}
	}
	return best;
}

/* Run, or get loaded, what is bound to an endpoint. */
static void
queue_serve(struct sched *s, uint64_t now_us, struct item *it)
{
	struct endpoint *ep = it->ep;
	struct slot *slot = NULL;

	if (!endpoint_is_usable(s, ep, now_us) || !team_may_run(it->team))
		return;
	if (!it->adapter->is_service) {
		slot = slot_find(ep, it->adapter);
		if (slot == NULL) {
			if (adapter_retry_us(it->adapter, ep) > now_us)
				sched_wake_at(
				    s, adapter_retry_us(it->adapter, ep));
			else if (!slot_is_claimed(ep, it->adapter))
				load_order(s, now_us, ep, it->adapter);
			return;
		}
		if (slot->state != SLOT_LOADED || slot->is_missing)
			return;
	}
	if (endpoint_free_seats(ep) > 0)
		sched_grant(s, now_us, it, ep, slot);
}

static void
queue_decide(struct policy *policy, struct sched *s, uint64_t now_us)
{
	struct policy_queue *p = (struct policy_queue *)policy;
	struct item *it, *next;

	for (it = s->arrival_head; it != NULL; it = next) {
		next = it->arrival_next;
		if (it->ep != NULL && !endpoint_can_run(it->ep, it))
			it->ep = NULL;
		if (it->ep == NULL)
			it->ep = p->choose(p, s, now_us, it);
		if (it->ep != NULL)
			queue_serve(s, now_us, it);
	}
}

/* The least recently used goes first; the clock is far from overflow. */
static double
queue_evict_cost(struct policy *policy, struct sched *s, uint64_t now_us,
    const struct endpoint *ep, const struct slot *slot)
{
	(void)policy;
	(void)s;
	(void)now_us;
	(void)ep;
	return (double)slot->last_used_us;
}

static void
queue_destroy(struct policy *policy)
{
	free(policy);
}

struct policy *
policy_queue_create(const char *name,
    struct endpoint *(*choose)(struct policy_queue *policy, struct sched *s,
	uint64_t now_us, const struct item *it))
{
	struct policy_queue *p = mem_alloc(1, sizeof(*p));

	p->vtable.name = name;
	p->vtable.destroy = queue_destroy;
	p->vtable.decide = queue_decide;
	p->vtable.evict_cost = queue_evict_cost;
	p->choose = choose;
	return (struct policy *)p;
}
