#include <string.h>

#include "node/node_guard.h"
#include "node/node_internal.h"
#include "util/mem.h"

/*
 * Instances without a vote get the log by pulling it from an instance that they
 * follow. In a small cluster that is a voter. In a large cluster the instances
 * of a region that have no log form a tree of relays in the order of their ids:
 * the first follows a voter, any other follows its parent in the tree. An
 * instance follows a voter for a while when no message of its parent arrives or
 * when the leader reports that it is behind.
 */

/* A follower without a pull for this time gets no more pushes. */
#define FOLLOWER_TIMEOUT_US (4 * NODE_PULL_US)

/* Unanswered pulls, while behind, before another voter is followed. */
#define FOLLOW_PULLS_MAX 3U

/* Entries that a repeated pull asks for again are not resent earlier. */
#define FOLLOW_RESEND_US (100 * 1000ULL)

/*
 * Whether this instance gets the log as a voter or learner. Where instances are
 * found by seeds, one that was removed as a voter while it was suspended is
 * not notified; it notices only that its log has no leader.
 */
static bool
has_own_log(const struct node *n)
{
	if (n->settings->nseeds > 0 && n->raft != NULL &&
	    raft_get_leader(n->raft) == 0)
		return false;
	return n->raft != NULL && !raft_is_empty(n->raft) &&
	    !raft_is_halted(n->raft) && raft_get_commit(n->raft) >= n->applied;
}

static bool
is_large(const struct node *n)
{
	return member_view_count(n->view) > node_direct_members_max;
}

uint32_t
node_follow_parent(const struct node *n)
{
	const struct member *m;
	uint32_t before = 0, parent = 0;
	size_t i, j;

	if (!is_large(n) || n->raft != NULL)
		return 0; /* never follow an instance without the log */
	for (i = 0; i < member_view_count(n->view); i++) {
		m = member_view_at(n->view, i);
		if (m->id >= n->id)
			break;
		before += m->voter == 0 &&
		    strcmp(m->region, n->settings->region) == 0;
	}
	if (before == 0)
		return 0;
	parent = (before - 1) / NODE_RELAY_FANOUT;
	for (j = 0; j < i; j++) {
		m = member_view_at(n->view, j);
		if (m->voter == 0 &&
		    strcmp(m->region, n->settings->region) == 0 &&
		    parent-- == 0)
			return m->id;
	}
	return 0;
}

/*
 * Picks a voter to follow: of those that are alive, one by instance id, and
 * the next one after FOLLOW_PULLS_MAX unanswered pulls; a random one while
 * none is known to be alive.
 */
static uint32_t
pick_voter(struct node *n)
{
	uint32_t voters[NODE_VOTERS_MAX];
	uint32_t alive = 0, nth;
	size_t i, count = node_peer_list_voters(n, voters, NODE_VOTERS_MAX);

	for (i = 0; i < count; i++)
		alive += node_peer_is_alive(n, voters[i]) ? 1 : 0;
	if (count == 0)
		return 0;
	nth = alive > 0
	    ? (n->id + n->unanswered_pulls / FOLLOW_PULLS_MAX) % alive
	    : rng_below(&n->rng, (uint32_t)count);
	for (i = 0; i < count; i++) {
		if (alive > 0 && !node_peer_is_alive(n, voters[i]))
			continue;
		if (nth-- == 0)
			return voters[i];
	}
	return 0;
}

/* Whether the known leader has granted the lease that this instance holds. */
static bool
is_leader_confirmed(const struct node *n)
{
	enum member_standing standing =
	    member_holder_standing(n->holder, n->view, n->now, n->applied);

	return standing == MEMBER_LEASED || standing == MEMBER_CATCHING_UP;
}

/*
 * Picks the instance to pull from. The current voter is kept while it works,
 * because an instance exchanges messages with few voters of other regions.
 */
static uint32_t
pick_source(struct node *n)
{
	uint32_t parent = node_follow_parent(n), leader = node_leader(n);

	if (is_large(n) && n->now < n->follow_direct_until_us &&
	    leader != n->id && leader != 0)
		return leader;
	/*
	 * Prefer the leader: any other voter may be partitioned from it, and
	 * then answers without new entries, which looks like a healthy source.
	 * Without a lease the known leader may itself have been replaced:
	 * while pulls remain unanswered, every second one goes to another
	 * voter.
	 */
	if (n->settings->nseeds > 0 &&
	    (!is_large(n) || n->unanswered_pulls > 0) &&
	    (n->unanswered_pulls % 2 == 0 ||
		(!is_large(n) && is_leader_confirmed(n))) &&
	    leader != n->id && leader != 0 && node_peer_is_alive(n, leader))
		return leader;
	if (parent != 0 && node_may_act(n) && node_peer_is_alive(n, parent))
		return parent;
	if (n->follow_source == 0 || !is_large(n) || n->unanswered_pulls > 0 ||
	    !node_peer_is_alive(n, n->follow_source))
		n->follow_source = pick_voter(n);
	return n->follow_source;
}

/* Whether this instance is known to lack committed entries. */
static bool
is_behind(const struct node *n)
{
	return member_freshness_is_behind(&n->freshness, n->applied) ||
	    member_holder_in_force(n->holder) > n->applied ||
	    member_holder_standing(n->holder, n->view, n->now, n->applied) !=
	    MEMBER_LEASED;
}

/*
 * The instance to pull from: while a snapshot is being received, its source, as
 * long as it answers.
 */
static uint32_t
next_source(struct node *n)
{
	uint32_t source = node_snapshot_incoming_source(n);

	if (source != 0 && node_peer_is_alive(n, source) &&
	    n->unanswered_pulls < FOLLOW_PULLS_MAX)
		return source;
	return pick_source(n);
}

static void
send_pull(struct node *n)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__FollowPull pull = WIRE__FOLLOW_PULL__INIT;
	uint32_t source;

	n->unanswered_pulls += is_behind(n) ? 1 : 0;
	source = next_source(n);
	n->next_pull_us = n->now + NODE_PULL_US;
	if (source == 0)
		return;
	pull.next = n->applied + 1;
	node_snapshot_fill_pull(n, source, &pull);
	envelope.body_case = WIRE__ENVELOPE__BODY_PULL;
	envelope.pull = &pull;
	node_peer_send(n, source, &envelope);
}

void
node_follow_tick(struct node *n)
{
	node_snapshot_tick(n);
	/* While entries wait, a pull would ask for them again. */
	if (n->now >= n->next_pull_us && !has_own_log(n) &&
	    node_queue_is_empty(n))
		send_pull(n);
}

/* Bytes of the entries that were sent and that no pull has confirmed. */
static size_t
bytes_in_flight(const struct node *n, const struct node_peer *peer)
{
	const struct node_recent_entry *recent;
	size_t bytes = 0;
	uint64_t i = peer->pull_next;

	if (i < n->recent_first)
		i = n->recent_first;
	for (; i < peer->push_next; i++) {
		recent = node_recent_get(n, i);
		if (recent == NULL)
			break;
		bytes += recent->len;
	}
	return bytes;
}

/* Counts the next entries to push: as many as fit, and at least one. */
static size_t
count_entries(const struct node *n, const struct node_peer *peer)
{
	const struct node_recent_entry *recent;
	size_t i, bytes = 0;

	for (i = 0; i < NODE_PUSH_ENTRIES_MAX; i++) {
		recent = node_recent_get(n, peer->push_next + i);
		if (recent == NULL)
			break;
		bytes += recent->len;
		if (i > 0 && bytes > NODE_PUSH_BYTES_MAX)
			break;
	}
	return i;
}

static void
push_entries(struct node *n, struct node_peer *peer)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__FollowPush push = WIRE__FOLLOW_PUSH__INIT;
	Wire__LogEntry entries[NODE_PUSH_ENTRIES_MAX];
	Wire__LogEntry *list[NODE_PUSH_ENTRIES_MAX];
	const struct node_recent_entry *recent;
	size_t i, count = count_entries(n, peer);

	for (i = 0; i < count; i++) {
		recent = node_recent_get(n, peer->push_next + i);
		wire__log_entry__init(&entries[i]);
		entries[i].index = recent->index;
		entries[i].term = recent->term;
		entries[i].command.data = (uint8_t *)recent->bytes;
		entries[i].command.len = recent->len;
		list[i] = &entries[i];
	}
	push.commit = n->applied;
	push.n_entries = count;
	push.entries = list;
	envelope.body_case = WIRE__ENVELOPE__BODY_PUSH;
	envelope.push = &push;
	node_peer_send(n, peer->id, &envelope);
	if (peer->push_next == peer->pull_next)
		peer->push_started_us = n->now;
	peer->push_next += count;
}

/*
 * Pushes the entries that a follower lacks, within the window. One that needs
 * entries which are not kept any more gets the snapshot with its next pull.
 */
static void
push_to(struct node *n, struct node_peer *peer)
{
	while (peer->push_next <= n->applied) {
		if (peer->push_next < n->recent_first ||
		    bytes_in_flight(n, peer) >= NODE_PUSH_WINDOW_BYTES)
			return;
		push_entries(n, peer);
	}
}

/*
 * Whether the entries sent since the last progress must have arrived by now if
 * they were not lost. Without the time for their bytes a large entry would be
 * sent again and again over a slow link while its first copy is on its way.
 */
static bool
resend_is_due(const struct node *n, const struct node_peer *peer)
{
	return n->now >= peer->push_started_us + FOLLOW_RESEND_US +
	    bytes_in_flight(n, peer) * NODE_SEND_BYTE_US;
}

void
node_follow_on_pull(struct node *n, uint32_t from, const Wire__FollowPull *pull)
{
	struct node_peer *peer = node_peer_get(n, from);
	bool advances = pull->next > peer->pull_next;

	peer->last_pull_us = n->now;
	peer->pull_next = pull->next;
	if (pull->next > n->applied + 1)
		return; /* the follower is ahead of this instance */
	if (pull->next < n->recent_first) {
		peer->push_next = 0; /* no entries until the next pull */
		node_snapshot_send(n, peer, pull);
		return;
	}
	if (peer->push_next <= pull->next ||
	    (!advances && resend_is_due(n, peer))) {
		peer->push_next = pull->next;
		advances = true;
	}
	if (advances)
		peer->push_started_us = n->now;
	if (pull->next > n->applied && is_large(n))
		push_entries(n, peer); /* empty, shows that we are alive */
	else
		push_to(n, peer);
}

void
node_follow_push_all(struct node *n)
{
	struct node_peer *peer;
	size_t i;

	if (!n->push_due)
		return;
	n->push_due = false;
	for (i = 0; i < map_count(n->peers); i++) {
		peer = map_at(n->peers, i);
		if (peer->last_pull_us != 0 && peer->push_next != 0 &&
		    n->now < peer->last_pull_us + FOLLOWER_TIMEOUT_US)
			push_to(n, peer);
	}
}

void
node_follow_on_push(struct node *n, uint32_t from, const Wire__FollowPush *push)
{
	struct node_bytes bytes;
	uint64_t before = n->applied;
	bool progress = node_snapshot_receive(n, from, push);
	size_t i;

	for (i = 0; i < push->n_entries; i++) {
		bytes.data = (const char *)push->entries[i]->command.data;
		bytes.len = push->entries[i]->command.len;
		node_queue_apply(
		    n, push->entries[i]->index, push->entries[i]->term, bytes);
	}
	member_freshness_on_applied(&n->freshness, n->applied);
	/* A partitioned source answers, too, but has no new entries. */
	if (n->applied > before || progress || !is_behind(n))
		n->unanswered_pulls = 0;
	if (progress && n->applied == before)
		send_pull(n); /* for the next part */
	else if (n->applied > before || push->commit > n->applied)
		n->next_pull_us = 0; /* report the progress to the source */
}
