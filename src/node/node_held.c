#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "node/node_internal.h"
#include "util/mem.h"

/*
 * Which owners have which adapters loaded, by what they tell in their
 * summaries: a hint, by a short hash. A wrong one costs a hop or a load,
 * never more: the owner that is asked decides.
 */

/* Rounds after which an adapter that is told no more counts as gone. */
#define HELD_ROUNDS	 2
#define HELD_DELAY_US	 (500 * 1000ULL)
#define HELD_SWEEP_STEPS 16

static uint32_t
held_hash(const char *adapter)
{
	return (uint32_t)XXH64(adapter, strlen(adapter), 0);
}

/* An adapter was loaded, or is about to be evicted. */
void
node_held_record(struct node *n, const char *adapter, bool loaded)
{
	struct node_held_changes *news =
	    loaded ? &n->held_loaded : &n->held_dropped;

	if (news->count < NODE_HELD_CHANGES_MAX)
		news->hashes[news->count++] = held_hash(adapter);
}

/*
 * Fill in what is loaded here and has not been told for longest.
 *
 * held: room for NODE_HELD_MAX hashes; owners: of the region, at least 1.
 */
void
node_held_fill(
    struct node *n, Wire__OwnerSummary *summary, uint32_t *held, size_t owners)
{
	const char *names[NODE_HELD_REGION_MAX];
	size_t i, total, count = 0;
	size_t limit = NODE_HELD_REGION_MAX / owners;

	limit = limit == 0 ? 1 : limit;
	for (i = 0; i < n->held_loaded.count; i++)
		held[count++] = n->held_loaded.hashes[i];
	total = sched_list_available_adapters(
	    n->sched, names, n->held_report_next, limit);
	for (i = 0; i < limit && n->held_report_next < total;
	     i++, n->held_report_next++)
		held[count++] = held_hash(names[i]);
	if (n->held_report_next >= total)
		n->held_report_next = 0;
	summary->n_held = count;
	summary->held = held;
	summary->held_round = (uint32_t)((total + limit - 1) / limit);
	summary->n_dropped = n->held_dropped.count;
	summary->dropped = n->held_dropped.hashes;
}

/* The place of an owner among the holders, or the one that goes first. */
static size_t
holder_slot(const struct node_adapter_holders *h, uint32_t owner)
{
	size_t i, first = 0;

	for (i = 0; i < NODE_ADAPTER_HOLDERS_MAX; i++) {
		if (h->owners[i] == owner)
			return i;
		if (h->until_us[i] < h->until_us[first])
			first = i;
	}
	return first;
}

static void
holder_add(struct node *n, uint32_t hash, uint32_t owner, uint64_t until_us)
{
	struct node_adapter_holders *h =
	    map_get(n->adapter_holders, &hash, sizeof(hash));
	size_t at;

	if (h == NULL) {
		h = mem_alloc(1, sizeof(*h));
		h->hash = hash;
		map_set(n->adapter_holders, &hash, sizeof(hash), h);
	}
	at = holder_slot(h, owner);
	h->owners[at] = owner;
	h->until_us[at] = until_us;
}

static void
holder_drop(struct node *n, uint32_t hash, uint32_t owner)
{
	struct node_adapter_holders *h =
	    map_get(n->adapter_holders, &hash, sizeof(hash));
	size_t at;

	if (h == NULL)
		return;
	at = holder_slot(h, owner);
	if (h->owners[at] == owner)
		h->until_us[at] = 0;
}

void
node_held_receive(
    struct node *n, uint32_t from, const Wire__OwnerSummary *summary)
{
	uint64_t until = n->now + HELD_DELAY_US +
	    HELD_ROUNDS * (uint64_t)summary->held_round * NODE_SUMMARY_US;
	size_t i;

	for (i = 0; i < summary->n_dropped; i++)
		holder_drop(n, summary->dropped[i], from);
	for (i = 0; i < summary->n_held; i++)
		holder_add(n, summary->held[i], from, until);
}

static const struct node_adapter_holders *
holder_find(const struct node *n, const char *adapter)
{
	uint32_t hash = held_hash(adapter);

	return map_get(n->adapter_holders, &hash, sizeof(hash));
}

/* Whether an owner is known to have the adapter loaded. */
bool
node_held_is_at(const struct node *n, const char *adapter, uint32_t owner)
{
	const struct node_adapter_holders *h = holder_find(n, adapter);
	size_t at;

	if (h == NULL)
		return false;
	at = holder_slot(h, owner);
	return h->owners[at] == owner && h->until_us[at] > n->now;
}

/*
 * Seats there that nobody has asked for since it told. What waits there while
 * seats are free waits for loads, and stands in nobody's way.
 */
static uint32_t
count_free_seats(const struct node *n, uint32_t id)
{
	const struct member *m = member_view_find(n->view, id);
	const struct node_peer *peer = map_get_u64(n->peers, id);

	if (m == NULL || m->leaving || peer == NULL || peer->leaving ||
	    !node_peer_is_alive(n, id))
		return 0;
	return peer->free > peer->asks_since_summary
	    ? peer->free - peer->asks_since_summary
	    : 0;
}

/* Another owner with the adapter loaded and limit seats free, or 0. */
uint32_t
node_held_find_other(const struct node *n, const char *adapter)
{
	const struct node_adapter_holders *h = holder_find(n, adapter);
	uint32_t owner = 0, seats, limit = 0;
	size_t i;

	for (i = 0; h != NULL && i < NODE_ADAPTER_HOLDERS_MAX; i++) {
		if (h->until_us[i] <= n->now || h->owners[i] == n->id)
			continue;
		seats = count_free_seats(n, h->owners[i]);
		if (seats > limit) {
			limit = seats;
			owner = h->owners[i];
		}
	}
	return owner;
}

/* Forget a few that are held nowhere any more, a step a tick. */
void
node_held_expire(struct node *n)
{
	struct node_adapter_holders *h;
	size_t i, step;

	for (step = 0; step < HELD_SWEEP_STEPS; step++) {
		if (n->holders_sweep_next >= map_count(n->adapter_holders)) {
			n->holders_sweep_next = 0;
			return;
		}
		h = map_at(n->adapter_holders, n->holders_sweep_next);
		for (i = 0; i < NODE_ADAPTER_HOLDERS_MAX; i++)
			if (h->until_us[i] > n->now)
				break;
		if (i < NODE_ADAPTER_HOLDERS_MAX) {
			n->holders_sweep_next++;
			continue;
		}
		map_remove(n->adapter_holders, &h->hash, sizeof(h->hash));
		free(h);
	}
}
