#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "node/node_internal.h"
#include "util/mem.h"

/*
 * Which owners have an adapter loaded, as they report in their summaries by a
 * short hash. This is a hint: a wrong one costs one redirect or one load at
 * most, because the owner that is asked decides.
 */

/* An adapter expires after this number of rounds without a report of it. */
#define HELD_ROUNDS 2
/* Delay of a summary that is tolerated beyond that. */
#define HELD_DELAY_US (500 * 1000ULL)
/* Adapters that one call of node_held_expire() looks at. */
#define HELD_SWEEP_STEPS 16

static uint32_t
held_hash(const char *adapter)
{
	return (uint32_t)XXH64(adapter, strlen(adapter), 0);
}

/* Records for the next summary that an adapter was loaded or is evicted. */
void
node_held_record(struct node *n, const char *adapter, bool loaded)
{
	struct node_held_changes *changes =
	    loaded ? &n->held_loaded : &n->held_dropped;

	if (changes->count < NODE_HELD_CHANGES_MAX)
		changes->hashes[changes->count++] = held_hash(adapter);
}

/*
 * Fills in a summary's changes, and the next ones of all loaded adapters, which
 * are reported in turn.
 *
 * held: room for NODE_HELD_MAX hashes; must live as long as the summary.
 * owners: the number of owners in the region, at least 1.
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

/* The slot of an owner; if it has none, the slot that expires first. */
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

/* Whether an owner has reported the adapter as loaded. */
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
 * An owner's free seats, less the asks sent to it since its last summary. Its
 * queue does not count: requests that are queued while seats are free wait for
 * loads of other adapters, so they do not delay this one.
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

/* The other owner with the adapter loaded and the most free seats; 0: none. */
uint32_t
node_held_find_other(const struct node *n, const char *adapter)
{
	const struct node_adapter_holders *h = holder_find(n, adapter);
	uint32_t owner = 0, seats, most_free = 0;
	size_t i;

	for (i = 0; h != NULL && i < NODE_ADAPTER_HOLDERS_MAX; i++) {
		if (h->until_us[i] <= n->now || h->owners[i] == n->id)
			continue;
		seats = count_free_seats(n, h->owners[i]);
		if (seats > most_free) {
			most_free = seats;
			owner = h->owners[i];
		}
	}
	return owner;
}

/* Removes expired adapters; looks at HELD_SWEEP_STEPS of them each time. */
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
