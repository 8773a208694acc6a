/*
 * Terms, elections and leadership transfer. A candidate first asks for
 * pre-votes without increasing its term, so that an isolated voter does not
 * disrupt a live leader when it returns.
 */

#include "raft/raft_internal.h"

/* Restart the election timeout with a new random length. */
void
raft_reset_election_timer(struct raft *r)
{
	uint64_t span = r->options.election_max_us - r->options.election_min_us;

	r->election_due_us = r->now_us + r->options.election_min_us +
	    rng_below(&r->rng, (uint32_t)span + 1);
}

/* Follow a leader (0: unknown) in a term not older than the current one. */
void
raft_become_follower(
    struct raft *r, uint64_t term, uint64_t leader, struct node_effects *fx)
{
	if (term > r->term) {
		r->term = term;
		r->vote = 0;
		raft_save_state(r, fx);
		r->verified = 0;
		r->ack_pending = false;
	}
	if (r->role != RAFT_FOLLOWER)
		raft_reset_election_timer(r);
	if (r->role == RAFT_LEADER) {
		r->npeers = 0;
		r->leader_since_us = 0;
		r->verified = 0;
	}
	r->role = RAFT_FOLLOWER;
	r->pre_vote = false;
	r->ngranted = 0;
	r->leader = leader;
}

/* Ask all other voters for their vote, or pre-vote, in a term. */
static void
vote_ask_all(struct raft *r, uint64_t term, bool handed)
{
	const struct raft_config *c = raft_get_config(r);
	Raft__VoteAsk ask = RAFT__VOTE_ASK__INIT;
	Raft__Message m;
	size_t i;

	raft_message_init(r, &m, RAFT__MESSAGE__BODY_VOTE);
	m.term = term;
	m.vote = &ask;
	ask.pre = r->pre_vote;
	ask.handed = handed;
	ask.last_index = raft_log_last_index(&r->log);
	ask.last_term = raft_log_last_term(&r->log);
	for (i = 0; i < c->nvoters; i++) {
		if (c->voters[i] != r->options.self)
			raft_message_send(r, c->voters[i], &m);
	}
}

/* Campaign in a new term; the own vote counts once it is saved. */
static void
vote_start_election(struct raft *r, bool handed, struct node_effects *fx)
{
	r->term++;
	r->vote = r->options.self;
	r->pre_vote = false;
	r->ngranted = 0;
	r->verified = 0;
	r->ack_pending = false;
	raft_save_state(r, fx);
	raft_reset_election_timer(r);
	vote_ask_all(r, r->term, handed);
}

/* Count a granted vote; a quorum starts the election or makes the leader. */
static void
vote_add(struct raft *r, uint64_t id, struct node_effects *fx)
{
	const struct raft_config *c = raft_get_config(r);
	size_t i;

	if (!raft_config_is_voter(c, id))
		return;
	for (i = 0; i < r->ngranted; i++) {
		if (r->granted[i] == id)
			return;
	}
	if (r->ngranted == RAFT_VOTERS_MAX)
		return;
	r->granted[r->ngranted++] = id;
	if (r->ngranted < c->nvoters / 2 + 1)
		return;
	if (r->pre_vote)
		vote_start_election(r, false, fx);
	else
		raft_become_leader(r, fx);
}

/* The election timeout has expired: ask the voters for pre-votes. */
void
raft_campaign(struct raft *r, struct node_effects *fx)
{
	raft_reset_election_timer(r);
	r->leader = 0;
	if (!raft_can_campaign(r))
		return;
	r->role = RAFT_CANDIDATE;
	r->pre_vote = true;
	r->ngranted = 0;
	r->pre_vote_due_us = r->now_us + r->options.heartbeat_us;
	vote_ask_all(r, r->term + 1, false);
	vote_add(r, r->options.self, fx);
}

/*
 * Asks for pre-votes again. The first requests are lost while connections to
 * the voters are not established, and a voter that withholds its vote does not
 * answer, as after a restart. Asked once per election timeout, both would delay
 * the leader by another one.
 */
void
raft_repeat_pre_vote(struct raft *r)
{
	r->pre_vote_due_us = r->now_us + r->options.heartbeat_us;
	vote_ask_all(r, r->term + 1, false);
}

/* The vote for ourselves is saved: count it. */
void
raft_count_own_vote(struct raft *r, struct node_effects *fx)
{
	vote_add(r, r->options.self, fx);
}

/* True if the candidate's log is at least as up to date as ours. */
static bool
vote_log_is_current(const struct raft *r, const Raft__VoteAsk *ask)
{
	uint64_t term = raft_log_last_term(&r->log);

	if (RAFT_FAULT(vote_stale_log) || ask->last_term > term)
		return true;
	return ask->last_term == term &&
	    ask->last_index >= raft_log_last_index(&r->log);
}

/*
 * The lease of a live leader relies on a quorum that votes for no other
 * candidate. A leader withholds its own vote while messages from a quorum
 * were received within election_min_us.
 */
static bool
vote_is_withheld(const struct raft *r)
{
	if (RAFT_FAULT(vote_despite_leader))
		return false;
	if (r->role == RAFT_LEADER)
		return r->now_us <
		    raft_quorum_received_us(r) + r->options.election_min_us;
	return r->now_us < r->no_vote_until_us;
}

static void
vote_reply(struct raft *r, uint64_t to, uint64_t term, bool pre, bool granted)
{
	Raft__VoteReply reply = RAFT__VOTE_REPLY__INIT;
	Raft__Message m;

	raft_message_init(r, &m, RAFT__MESSAGE__BODY_VOTE_REPLY);
	m.term = term;
	m.vote_reply = &reply;
	reply.pre = pre;
	reply.granted = granted;
	raft_message_send(r, to, &m);
}

void
raft_handle_vote_ask(struct raft *r, uint64_t from, uint64_t term,
    const Raft__VoteAsk *ask, struct node_effects *fx)
{
	bool granted;

	if (!raft_can_vote(r) || (vote_is_withheld(r) && !ask->handed))
		return;
	if (ask->pre) {
		granted = term > r->term && vote_log_is_current(r, ask);
		vote_reply(r, from, granted ? term : r->term, true, granted);
		return;
	}
	if (term < r->term) {
		vote_reply(r, from, r->term, false, false);
		return;
	}
	if (term > r->term)
		raft_become_follower(r, term, 0, fx);
	granted = vote_log_is_current(r, ask) &&
	    (r->vote == 0 || r->vote == from || RAFT_FAULT(vote_twice));
	if (granted) {
		raft_become_follower(r, term, 0, fx);
		if (r->vote != from) {
			r->vote = from;
			raft_save_state(r, fx);
		}
		raft_reset_election_timer(r);
	}
	vote_reply(r, from, r->term, false, granted);
}

void
raft_handle_vote_reply(struct raft *r, uint64_t from, uint64_t term,
    const Raft__VoteReply *reply, struct node_effects *fx)
{
	uint64_t asked_term = reply->pre ? r->term + 1 : r->term;

	if (!reply->granted) {
		if (term > r->term)
			raft_become_follower(r, term, 0, fx);
		return;
	}
	if (r->role == RAFT_CANDIDATE && r->pre_vote == reply->pre &&
	    term == asked_term)
		vote_add(r, from, fx);
}

static bool
transfer_is_avoided(uint64_t id, const uint64_t *avoid, size_t navoid)
{
	size_t i;

	for (i = 0; i < navoid; i++)
		if (avoid[i] == id)
			return true;
	return false;
}

/*
 * A voter that has our whole log and from which a message was received within
 * two heartbeat intervals; NULL for none.
 */
static const struct raft_peer *
transfer_target(const struct raft *r, const uint64_t *avoid, size_t navoid)
{
	const struct raft_config *c = raft_get_config(r);
	const struct raft_peer *peer;
	size_t i;

	for (i = 0; i < r->npeers; i++) {
		peer = &r->peers[i];
		if (raft_config_is_voter(c, peer->id) && !peer->removed &&
		    !transfer_is_avoided(peer->id, avoid, navoid) &&
		    peer->match == raft_log_last_index(&r->log) &&
		    r->now_us < peer->received_us + r->options.heartbeat_us * 2)
			return peer;
	}
	return NULL;
}

/*
 * The leader steps down before it sends the message, and never leads again in
 * this term: its authority has ended, whichever candidate the voters elect.
 */
int
raft_transfer_leadership(struct raft *r, uint64_t now_us, const uint64_t *avoid,
    size_t navoid, struct node_effects *fx, struct mp_error *err)
{
	const struct raft_peer *target;
	Raft__Hand hand = RAFT__HAND__INIT;
	Raft__Message m;
	uint64_t to;

	r->now_us = now_us;
	if (r->role != RAFT_LEADER)
		return mp_error_set(
		    err, MP_LAYER_RAFT, MP_ERR_NOT_LEADER, "not the leader");
	target = transfer_target(r, avoid, navoid);
	if (target == NULL)
		return mp_error_set(err, MP_LAYER_RAFT, MP_ERR_UNAVAILABLE,
		    "no reachable voter has the whole log");
	to = target->id;
	raft_become_follower(r, r->term, 0, fx);
	raft_message_init(r, &m, RAFT__MESSAGE__BODY_HAND);
	m.hand = &hand;
	raft_message_send(r, to, &m);
	return MP_OK;
}

/* The leader has stepped down in our favour: campaign without pre-vote. */
void
raft_handle_hand(struct raft *r, uint64_t term, struct node_effects *fx)
{
	if (term != r->term || r->role == RAFT_LEADER || !raft_can_campaign(r))
		return;
	r->role = RAFT_CANDIDATE;
	r->leader = 0;
	vote_start_election(r, true, fx);
}
