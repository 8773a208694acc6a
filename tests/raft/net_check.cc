/*
 * Checkers of the simulated network, and the membership repair that an
 * operator would do.
 */

#include <cstring>

#include "net.h"

/* A voter grants its vote to one candidate per term, also across crashes. */
void
Net::check_vote(size_t i, const raft_message &msg)
{
	Raft__Message *pb = raft__message__unpack(
	    nullptr, msg.bytes.len, (const uint8_t *)msg.bytes.data);

	install_parts += pb->body_case == RAFT__MESSAGE__BODY_INSTALL;
	if (pb->body_case == RAFT__MESSAGE__BODY_VOTE_REPLY &&
	    pb->vote_reply->granted && !pb->vote_reply->pre) {
		auto it = vote_of.emplace(
		    std::make_pair(members[i].id, pb->term), msg.to);

		if (it.first->second != msg.to)
			fail("two votes in a term");
	}
	raft__message__free_unpacked(pb, nullptr);
}

/*
 * After an event of a member: one leader per term, one leader with authority
 * at a time, and a leader with authority has applied all entries that were
 * committed in earlier terms.
 */
void
Net::check(size_t i)
{
	Member &x = members[i];
	uint64_t until, term = raft_get_term(x.r);

	if (raft_get_role(x.r) == RAFT_LEADER) {
		auto it = leader_of_term.emplace(term, x.id);

		if (it.first->second != x.id)
			fail("two leaders in term " + std::to_string(term));
		if (x.led_term != term) {
			x.led_term = term;
			check_leader_log(i);
		}
	}
	until = raft_authority_until(x.r);
	x.authority_until_us = until == 0 ? 0 : global_time(i, until);
	if (x.authority_until_us <= now)
		return;
	for (size_t j = 0; j < members.size(); j++) {
		if (j != i && members[j].authority_until_us > now)
			fail("two leaders have authority");
	}
	for (auto c = commit_term.rbegin(); c != commit_term.rend(); c++) {
		if (c->second >= term)
			continue;
		if (x.applied < c->first)
			fail("leader with authority has not applied all "
			     "committed entries");
		break;
	}
}

/* A new leader's log holds all entries committed in earlier terms. */
void
Net::check_leader_log(size_t i)
{
	const raft *r = members[i].r;
	uint64_t term;

	for (const auto &c : committed) {
		uint64_t expected;

		if (commit_term[c.first] >= raft_get_term(r) ||
		    c.first <= raft_get_snapshot_index(r))
			continue;
		memcpy(&expected, c.second.data(), sizeof(expected));
		if (!raft_log_get_term(&r->log, c.first, &term) ||
		    term != expected)
			fail("a leader lacks a committed entry");
	}
}

bool
Net::config_is_complete() const
{
	int l = leader();
	const raft_config *c;

	if (l < 0)
		return false;
	c = raft_get_config(members[l].r);
	if (members[l].authority_until_us <= now ||
	    c->nvoters != members.size() || c->nlearners != 0)
		return false;
	for (const auto &x : members) {
		if (!raft_config_is_voter(c, x.id) || x.r == nullptr ||
		    raft_config_index(x.r) > raft_get_commit(x.r))
			return false;
	}
	return true;
}

bool
Net::config_is_current(size_t i) const
{
	const raft_config *c = raft_get_config(members[i].r);

	for (size_t n = 0; n < c->nvoters; n++) {
		if (index_of(c->voters[n]) < 0)
			return false;
	}
	return true;
}

void
Net::repair_config()
{
	int l = leader();
	raft_config c;

	if (l < 0)
		return;
	c = *raft_get_config(members[l].r);
	/* A new disk takes the place of the lost one in one change. */
	for (const auto &x : members) {
		if (!raft_config_is_voter(&c, x.id) &&
		    !raft_config_is_learner(&c, x.id)) {
			change(l, RAFT_ADD_LEARNER, x.id);
			return;
		}
	}
	for (size_t n = 0; n < c.nvoters; n++) {
		if (index_of(c.voters[n]) < 0) {
			change(l, RAFT_REMOVE, c.voters[n]);
			return;
		}
	}
	for (size_t n = 0; n < c.nlearners; n++) {
		if (index_of(c.learners[n]) < 0) {
			change(l, RAFT_REMOVE, c.learners[n]);
			return;
		}
	}
	for (const auto &x : members) {
		if (raft_config_is_learner(&c, x.id)) {
			change(l, RAFT_PROMOTE, x.id);
			return;
		}
	}
}

/* After the faults have ended: equal state and no committed entry lost. */
void
Net::check_all_equal()
{
	uint64_t last = committed.empty() ? 0 : committed.rbegin()->first;

	for (const auto &x : members) {
		if (x.r == nullptr || x.applied < last)
			fail("a member has not caught up");
		else if (x.applied == members[0].applied &&
		    x.hash != members[0].hash)
			fail("states differ");
	}
}
