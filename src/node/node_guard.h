#ifndef MP_NODE_NODE_GUARD_H
#define MP_NODE_NODE_GUARD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Switches for single safety rules of owners, entries and relays. All are on;
 * only tests turn one off, to show that a checker then reports a violation.
 */
struct node_guards {
	/* A new owner evicts nothing for TAKEOVER_WAIT_US. */
	bool takeover_wait;
	/* An owner sends orders only once its epoch is active. */
	bool active_epoch;
	/* Calls are not sent after the lease has expired. */
	bool act_until;
	/* Renewals bypass a relay whose answer timed out. */
	bool relay_round;
	/* A relayed renewal counts only for the process that sent it. */
	bool relay_process;
	/* Pins of a dead entry are kept until a report shows no run. */
	bool orphan_pins;
	/* After lost cache events the engine's whole list is fetched. */
	bool cache_resync;
	/* Of several configurations the one with the highest version wins. */
	bool gate_highest;
	/* Only a confirmed configuration says that a route does not exist. */
	bool gate_confirmed;
	/* A resent deregistration is answered by the log, too. */
	bool gate_leave_logged;
	/* An invalid configuration is refused. */
	bool gate_checked;
	/* A change is refused if its version has other content in the log. */
	bool gate_verdict;
	/* A configuration's difference is applied to its base alone. */
	bool gate_base;
	/* Differences are proposed only if all members can read them. */
	bool gate_capable;
	/* Renewals are sent to the leader also if it is no known voter. */
	bool renew_at_leader;
	/* A shard's owner sends orders only once its epoch is active. */
	bool gate_active;
	/* Calls are answered only while the instance holds a lease. */
	bool gate_leased;
	/* A reply counts only for the process that it answers. */
	bool reply_process;
};

extern struct node_guards node_guards;

/* With more members the log is distributed by relays; tests lower it. */
extern size_t node_direct_members_max;

/* Bytes of a configuration's elements that one step decodes; tests lower it. */
extern size_t node_decode_slice_bytes;

/*
 * Tells which instances act as a program version without differences of
 * configurations: one states that it can't read them, reads them as that
 * version did, and proposes none. NULL: none does; tests set it.
 */
extern bool (*node_is_earlier_version)(uint32_t id);

/* Whether an instance acts as that version. */
static inline bool
node_acts_as_earlier_version(uint32_t id)
{
	return node_is_earlier_version != NULL && node_is_earlier_version(id);
}

#ifdef __cplusplus
}
#endif

#endif
