#ifndef MEMBER_EXPLORER_H
#define MEMBER_EXPLORER_H

#include <xxhash.h>

#include <map>
#include <string>
#include <vector>

#include "member_fixture.h"

/* What may happen before a step; those that end in a number toggle. */
enum change {
	ADVANCE, /* no change: the next step of time */
	DELIVER_DELAYED, /* the delayed message is received */
	COMMIT_DOCUMENT, /* a document is committed */
	REQUEST_LEAVE, /* instance 3 asks to leave */
	CHANGE_LEADER, /* instance 1 has lost its authority, 2 leads */
	RESTART_2, /* its process ends, the next one starts */
	RESTART_3,
	DROP_RENEWALS_1, /* renewals of instance 1 are lost */
	DROP_RENEWALS_2,
	DROP_RENEWALS_3,
	DROP_REPLIES_1, /* replies to its renewals are lost */
	DROP_REPLIES_2,
	DROP_REPLIES_3,
	LAG_1, /* it applies none of the log */
	LAG_2,
	LAG_3,
	PARTITION, /* toggles: 3 and the others cannot ping each other */
	DELAY_RENEWAL, /* the next renewal of instance 3 is delayed */
	DELAY_REPLY, /* the reply to its next renewal is */
	DELAY_PONG, /* the next pong to it is */
	NCHANGES
};

/*
 * An entry of the log: a document, or changes of the members in the order of
 * effect. Each takes kItemBits: its type and 1, the instance, and whether the
 * process is the second of the instance.
 */
typedef uint64_t log_entry;

struct state;

/*
 * Exhaustive exploration of the member code, breadth first: all runs of three
 * instances in which instance 3, which owns the endpoint, is isolated in any
 * way and may leave or be removed. Time advances in coarse steps. Before each
 * step any change of `enum change` may happen, up to a budget. One message may
 * be delayed, for any time.
 */
class explorer {
      public:
	explorer();
	~explorer();
	void run(int budget, const std::vector<int> &initial_changes);

	bool restarts = false; /* a process may be followed by another */
	bool many = false; /* all can read a MemberChanges */
	std::string property; /* the only property checked; empty: all are */
	std::string violation;
	size_t states = 0, owner_moves = 0, supported = 0, changes = 0,
	       ended = 0;

      private:
	const struct member_view *view(const state &s, int i) const;
	bool is_possible(const state &s, int change) const;
	void step(state &s, int change);
	void advance_time(state &s);
	void lead_step(state &s);
	void renew(state &s, int i);
	void restart(state &s, int i);
	void ping(state &s, int i, int to);
	void apply(state &s, int i);
	void receive_renew(state &s, int i, uint64_t incarnation,
	    Wire__LeaseRenew r, Wire__LeaseReply *reply);
	void receive_reply(state &s, int i, const Wire__LeaseReply &reply);
	void update_owns(state &s, int i);
	void check(state &s);
	void fail(const std::string &what);
	XXH128_hash_t hash_state(const state &s) const;

	/* Views by the log that made them. */
	mutable std::map<std::vector<log_entry>, struct member_view *> views;
	std::string endpoint;
};

#endif
