#ifndef MP_RAFT_RAFT_FAULT_H
#define MP_RAFT_RAFT_FAULT_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Faults that tests inject, one at a time, to prove that the checkers of the
 * simulated network detect them. Each flag disables one safety rule. Only
 * the test build (MP_TEST_FAULTS) has the flags; in all other builds every
 * rule is in force.
 */
struct raft_fault {
	bool ack_before_sync; /* followers acknowledge unsynced entries */
	bool count_self_unsynced; /* the leader counts own unsynced entries */
	bool vote_stale_log; /* grant votes to candidates with older logs */
	bool vote_twice; /* ignore the vote already granted in a term */
	bool vote_before_save; /* send before term and vote are saved */
	bool vote_despite_leader; /* grant votes while a leader is live */
	bool commit_old_term; /* commit entries of older terms by counting */
	bool keep_conflict; /* do not truncate conflicting entries */
	bool concurrent_changes; /* accept a change while one is uncommitted */
	bool vote_after_restart; /* grant votes directly after a restart */
	bool lease_from_receipt; /* start the lease when a reply is received,
				    not when the message was sent */
	bool authority_before_commit; /* before an entry of the own term is
					 committed */
};

#ifdef MP_TEST_FAULTS
extern struct raft_fault raft_fault;
#define RAFT_FAULT(name) (raft_fault.name)
#else
#define RAFT_FAULT(name) (false)
#endif

#ifdef __cplusplus
}
#endif

#endif
