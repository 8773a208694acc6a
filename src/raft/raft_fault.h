#ifndef MP_RAFT_RAFT_FAULT_H
#define MP_RAFT_RAFT_FAULT_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Guards that tests switch off, one at a time, to see the checker fail.
 * Only the test build (MP_TEST_FAULTS) has the table; elsewhere every guard
 * stands.
 */
struct raft_fault {
	bool ack_before_sync; /* followers ack what is not synced */
	bool count_self_unsynced; /* the leader counts unsynced entries */
	bool vote_stale_log; /* votes go to candidates with older logs */
	bool vote_twice; /* a vote given is forgotten */
	bool vote_before_save; /* messages do not wait for the state save */
	bool vote_despite_leader; /* the promise to a live leader is broken */
	bool commit_old_term; /* entries of older terms counted directly */
	bool keep_conflict; /* conflicting entries are not cut */
	bool concurrent_changes; /* changes do not wait for each other */
	bool vote_after_restart; /* a restart frees from the promise */
	bool lease_from_receipt; /* not from when a heartbeat was sent */
	bool authority_before_commit; /* before an entry of the term is
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
