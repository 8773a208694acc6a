/* A state of the exhaustive exploration. */
#ifndef MEMBER_EXPLORER_STATE_H
#define MEMBER_EXPLORER_STATE_H

#include "explorer.h"
#include "member/member_holder.h"
extern "C" {
#include "member/member_lessor.h"
}

static const uint64_t kStepUs = 250 * kMs;
static const uint64_t kStartUs = 20000 * kMs;
static const uint64_t kHorizonUs = 10000 * kMs;
static const uint64_t kFlightUs = MEMBER_FLIGHT_MAX_US * 95 / 100;

static const log_entry kDocument = 0;
static const int kItemBits = 6;

static inline log_entry
pack_change(int type, uint32_t id, uint64_t incarnation)
{
	return (log_entry)(type + 1) << 4 | id << 1 | (incarnation % 10);
}

/* The information of a process; the same object for each call. */
static inline Wire__MemberInfo *
info_of(uint32_t id, uint64_t incarnation)
{
	static std::map<uint64_t, Wire__MemberInfo> infos;
	auto found = infos.find(incarnation);

	if (found == infos.end())
		found = infos
			    .emplace(
				incarnation, make_capable_info(id, incarnation))
			    .first;
	return &found->second;
}

struct state {
	uint64_t now_us = kStartUs;
	int budget, leader = 0;
	bool leader_changed = false, document_committed = false,
	     leaving = false;
	bool drop_renewals[3] = {}, drop_replies[3] = {}, lagging[3] = {},
	     partitioned = false;
	std::vector<log_entry> log = {kDocument, kDocument, kDocument};
	bool restarted[3] = {};
	uint64_t applied[3] = {3, 3, 3}, gained_epoch[3] = {0, 0, 3},
		 last_acted_us[3] = {}, earlier_acted_us[3] = {};
	bool owns[3] = {};
	uint64_t in_force = 0;
	struct member_holder holders[3];
	std::vector<struct member_support> supports[3];
	struct member_lessor lessor;
	std::vector<struct lessor_peer> peers;
	std::vector<struct member_change> pending;
	/*
	 * The message to delay next and the one that is delayed, each by its
	 * change; ADVANCE: none.
	 */
	int delay_wanted = ADVANCE, delayed = ADVANCE, pong_from = 0;
	uint64_t pong_epoch = 0;
	Wire__LeaseRenew renew;
	uint64_t renew_incarnation = 0;
	Wire__LeaseReply reply;
	Wire__Pong pong;

	uint64_t
	incarnation(int i) const
	{
		return (i + 1) * 10 + restarted[i];
	}
};

/*
 * A state is copied by value, but holders and the lessor refer to parts by
 * pointer: these are allocated for one step and copied back after it.
 */
static inline void
attach_parts(state &s)
{
	for (int i = 0; i < 3; i++) {
		size_t n = s.supports[i].size();
		s.holders[i].nsupports = n;
		s.holders[i].supports = (struct member_support *)calloc(
		    n + 1, sizeof(struct member_support));
		std::copy(s.supports[i].begin(), s.supports[i].end(),
		    s.holders[i].supports);
	}
	s.lessor.nchanges = s.lessor.changes_cap = s.pending.size();
	s.lessor.changes = (struct member_change *)calloc(
	    s.pending.size() + 1, sizeof(struct member_change));
	std::copy(s.pending.begin(), s.pending.end(), s.lessor.changes);
	for (size_t i = 0; i < s.pending.size(); i++)
		if (s.pending[i].info != nullptr)
			s.lessor.changes[i].info =
			    lessor_info_copy(s.pending[i].info);
	s.lessor.peers = map_create();
	for (auto &p : s.peers) {
		auto *copy = (struct lessor_peer *)malloc(sizeof(p));
		*copy = p;
		for (auto &proc : copy->procs)
			if (proc.info != nullptr)
				proc.info = lessor_info_copy(proc.info);
		map_set_u64(s.lessor.peers, p.id, copy);
	}
}

static inline void
detach_parts(state &s)
{
	for (int i = 0; i < 3; i++) {
		s.supports[i].assign(s.holders[i].supports,
		    s.holders[i].supports + s.holders[i].nsupports);
		free(s.holders[i].supports);
		s.holders[i].supports = nullptr;
	}
	s.pending.assign(
	    s.lessor.changes, s.lessor.changes + s.lessor.nchanges);
	for (auto &c : s.pending)
		if (c.info != nullptr) {
			lessor_info_free((Wire__MemberInfo *)c.info);
			c.info = info_of(c.id, c.incarnation);
		}
	free(s.lessor.changes);
	s.lessor.changes = nullptr;
	s.peers.clear();
	for (size_t i = 0; i < map_count(s.lessor.peers); i++) {
		auto *peer = (struct lessor_peer *)map_at(s.lessor.peers, i);
		for (auto &proc : peer->procs)
			if (proc.info != nullptr) {
				lessor_info_free(proc.info);
				proc.info = info_of(peer->id, proc.incarnation);
			}
		s.peers.push_back(*peer);
		free(peer);
	}
	map_destroy(s.lessor.peers);
	s.lessor.peers = nullptr;
}

#endif
