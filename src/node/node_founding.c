#include <stdlib.h>
#include <string.h>

#include "node/node_internal.h"

/*
 * Founding of a cluster, and changes of its voters.
 *
 * A cluster is founded once all voters of the settings report within
 * NODE_HELLO_VALID_US that their data folders are fresh, and no other instance
 * that answers holds any state. A voter that has lost its disk finds others
 * that are not fresh, so it can only rejoin as a learner.
 *
 * A log that holds nothing but its founding counts as fresh. Otherwise the
 * first voter to found would keep the others from founding, and would have no
 * quorum. The others found with the same voters or not at all.
 */

/* Interval of log lines on a learner that waits. */
#define LEARNER_LOG_US (1000 * 1000ULL)

/* Whether a founding would lose no state of this instance. */
static bool
is_fresh(const struct node *n)
{
	if (n->applied > RAFT_FOUNDING_INDEX)
		return false;
	return n->raft == NULL || raft_get_founding_config(n->raft) != NULL ||
	    (raft_is_empty(n->raft) && n->may_found);
}

static void
send_hello(struct node *n, uint32_t to, bool reply)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__Hello hello = WIRE__HELLO__INIT;
	const struct raft_config *founding = NULL;

	hello.reply = reply;
	hello.fresh = is_fresh(n);
	hello.voter = n->voter;
	hello.commit = n->applied;
	if (n->raft != NULL)
		founding = raft_get_founding_config(n->raft);
	if (founding != NULL) {
		hello.founded = (uint64_t *)founding->voters;
		hello.n_founded = founding->nvoters;
	}
	envelope.body_case = WIRE__ENVELOPE__BODY_HELLO;
	envelope.hello = &hello;
	node_peer_send(n, to, &envelope);
}

static void
store_founding(struct raft_config *founding, const Wire__Hello *hello)
{
	founding->nvoters = 0;
	while (founding->nvoters < hello->n_founded &&
	    founding->nvoters < RAFT_VOTERS_MAX) {
		founding->voters[founding->nvoters] =
		    hello->founded[founding->nvoters];
		founding->nvoters++;
	}
}

void
node_founding_on_hello(struct node *n, uint32_t from, const Wire__Hello *hello)
{
	struct node_peer *peer = node_peer_get(n, from);

	if (!hello->reply) {
		send_hello(n, from, true);
		return;
	}
	peer->hello_received_us = n->now;
	peer->hello_fresh = hello->fresh;
	peer->hello_voter = hello->voter;
	store_founding(&peer->founding, hello);
	if (!hello->fresh)
		n->may_found = false;
}

static int
compare_ids(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

/* Collects the listed voters; false unless all are known to be fresh. */
static bool
collect_fresh_voters(struct node *n, struct raft_config *config)
{
	const struct settings_peer *listed;
	const struct node_peer *peer;
	size_t i;

	for (i = 0; i < n->settings->npeers; i++) {
		listed = &n->settings->peers[i];
		if (!listed->voter)
			continue;
		if (config->nvoters == RAFT_VOTERS_MAX)
			return false;
		if (listed->id == n->id) {
			config->voters[config->nvoters++] = n->voter;
			continue;
		}
		peer = node_peer_get(n, listed->id);
		if (peer->hello_received_us == 0 || !peer->hello_fresh ||
		    n->now > peer->hello_received_us + NODE_HELLO_VALID_US)
			return false;
		config->voters[config->nvoters++] = peer->hello_voter;
	}
	qsort(config->voters, config->nvoters, sizeof(config->voters[0]),
	    compare_ids);
	return config->nvoters > 0;
}

/* Whether a listed voter has founded with other voters than these. */
static bool
is_founded_differently(struct node *n, const struct raft_config *config)
{
	const struct raft_config *founding;
	size_t i, bytes = config->nvoters * sizeof(config->voters[0]);

	for (i = 0; i < n->settings->npeers; i++) {
		if (!n->settings->peers[i].voter)
			continue;
		founding =
		    &node_peer_get(n, n->settings->peers[i].id)->founding;
		if (founding->nvoters > 0 &&
		    (founding->nvoters != config->nvoters ||
			memcmp(founding->voters, config->voters, bytes) != 0))
			return true;
	}
	return false;
}

void
node_founding_tick(struct node *n)
{
	struct raft_config config = {0};
	struct mp_error err;
	size_t i;

	if (n->raft == NULL || !n->may_found || !raft_is_empty(n->raft) ||
	    n->applied > RAFT_FOUNDING_INDEX || n->now < n->next_hello_us)
		return;
	if (n->next_hello_us != 0 && collect_fresh_voters(n, &config) &&
	    !is_founded_differently(n, &config)) {
		if (raft_found_log(n->raft, n->now, &config, n->fx, &err) == 0)
			node_log(n, NODE_LOG_FOUNDED, "{\"voters\": %zu}",
			    config.nvoters);
		return;
	}
	n->next_hello_us = n->now + NODE_HELLO_US;
	for (i = 0; i < n->settings->npeers; i++)
		if (n->settings->peers[i].id != n->id)
			send_hello(n, n->settings->peers[i].id, false);
}

static bool
contains_id(const uint64_t *ids, size_t count, uint64_t id)
{
	size_t i;

	for (i = 0; i < count; i++)
		if (ids[i] == id)
			return true;
	return false;
}

/*
 * The voter that is the same instance with an earlier data folder; 0: none. An
 * earlier program version added the learner beside it.
 */
static uint64_t
find_earlier_voter(const struct raft_config *config, uint64_t id)
{
	size_t i;

	for (i = 0; i < config->nvoters; i++)
		if (config->voters[i] != id &&
		    RAFT_ID_INSTANCE(config->voters[i]) == RAFT_ID_INSTANCE(id))
			return config->voters[i];
	return 0;
}

static bool
change_voters(struct node *n, enum raft_change change, uint64_t id)
{
	static const char *const names[] = {"learner", "promoted", "removed"};

	if (raft_change_config(n->raft, n->now, change, id, n->fx, NULL) != 0)
		return false;
	node_log(n, NODE_LOG_VOTERS, "{\"instance\": %u, \"change\": \"%s\"}",
	    RAFT_ID_INSTANCE(id), names[change]);
	return true;
}

/*
 * A voter whose instance is a member with another data folder, or is no member
 * and not alive; 0: none. An instance that is alive may become a voter before
 * it becomes a member.
 */
static uint64_t
find_dead_voter(const struct node *n, const struct raft_config *config)
{
	const struct member *m;
	uint32_t id;
	size_t i;

	for (i = 0; i < config->nvoters; i++) {
		id = RAFT_ID_INSTANCE(config->voters[i]);
		m = member_view_find(n->view, id);
		if (m != NULL && m->voter == config->voters[i])
			continue;
		if (m != NULL || !node_peer_is_alive(n, id))
			return config->voters[i];
	}
	return 0;
}

/* Logs why a learner is not promoted yet, now and then. */
static void
log_waiting_learner(struct node *n, uint64_t id)
{
	struct raft_learner_progress p;

	if (n->now < n->learner_logged_us + LEARNER_LOG_US ||
	    !raft_get_learner_progress(n->raft, id, &p))
		return;
	n->learner_logged_us = n->now;
	node_log(n, NODE_LOG_LEARNER_WAITS,
	    "{\"instance\": %u, \"match\": %llu, \"config\": %llu, "
	    "\"commit\": %llu, \"last\": %llu, \"answeredMs\": %llu, "
	    "\"roundMs\": %llu, \"snapshotSent\": %llu, "
	    "\"snapshotBytes\": %llu}",
	    RAFT_ID_INSTANCE(id), (unsigned long long)p.match,
	    (unsigned long long)p.config_index, (unsigned long long)p.commit,
	    (unsigned long long)p.last,
	    (unsigned long long)(n->now - p.answered_us) / 1000,
	    (unsigned long long)(n->now - p.round_us) / 1000,
	    (unsigned long long)p.snapshot_sent,
	    (unsigned long long)p.snapshot_bytes);
}

/* Adds a learner and packs the state that it needs, as it has no log. */
static bool
add_learner(struct node *n, uint64_t id)
{
	if (!change_voters(n, RAFT_ADD_LEARNER, id))
		return false;
	node_replica_compact_for_learner(n);
	return true;
}

/*
 * Takes one step towards making a member's data folder a voter; true when a
 * step was taken. The first removes the instance's lost folder as well. Where
 * instances are found by seeds, a replacement has another address and id, so a
 * voter that is no longer a member is removed for it.
 */
static bool
admit_voter(struct node *n, const struct member *m)
{
	const struct raft_config *config = raft_get_config(n->raft);
	uint64_t lost;

	if (m->voter == 0 || m->leaving ||
	    contains_id(config->voters, config->nvoters, m->voter))
		return false;
	if (!contains_id(config->learners, config->nlearners, m->voter))
		return add_learner(n, m->voter);
	if (!raft_is_learner_ready(n->raft, m->voter)) {
		log_waiting_learner(n, m->voter);
		return false;
	}
	lost = find_earlier_voter(config, m->voter);
	if (lost == 0 && n->settings->nseeds > 0)
		lost = find_dead_voter(n, config);
	if (lost != 0)
		return change_voters(n, RAFT_REMOVE, lost);
	if (config->nvoters == RAFT_VOTERS_MAX)
		return false;
	return change_voters(n, RAFT_PROMOTE, m->voter);
}

/*
 * Removes a voter that is no member if the number of voters is even: its
 * removal lowers the quorum, so that one more voter may fail. With an odd
 * number a removal would gain nothing.
 */
static bool
remove_dead_voter(struct node *n)
{
	const struct raft_config *config = raft_get_config(n->raft);
	uint64_t dead;

	if (n->settings->nseeds == 0 || config->nvoters % 2 != 0 ||
	    config->nvoters <= 2)
		return false;
	dead = find_dead_voter(n, config);
	return dead != 0 && change_voters(n, RAFT_REMOVE, dead);
}

void
node_founding_update_voters(struct node *n)
{
	size_t i;

	for (i = 0; i < member_view_count(n->view); i++)
		if (admit_voter(n, member_view_at(n->view, i)))
			return;
	if (n->now < n->next_removal_us)
		return;
	n->next_removal_us = n->now + NODE_VOTER_REMOVAL_US;
	(void)remove_dead_voter(n);
}
