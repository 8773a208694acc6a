/* Internals of the lessor, shared by the files that implement it. */
#ifndef MP_MEMBER_LESSOR_H
#define MP_MEMBER_LESSOR_H

#include "member/member.h"
#include "util/map.h"

/* Largest number of different unconfirmed shares offered to a process. */
#define LESSOR_OFFERS_MAX 8

/* Interval between repeats of a proposal that has not been applied. */
#define LESSOR_PROPOSE_INTERVAL_US (1000 * 1000ULL)

/* Interval after which permits too few for all pass to other members. */
#define LESSOR_ROTATE_INTERVAL_US (1000 * 1000ULL)

/* Interval between sweeps over more than MEMBER_ALL_SUPPORT_MAX members. */
#define LESSOR_SWEEP_INTERVAL_US (20 * 1000ULL)

/*
 * Samples of the commit index, and the least interval between two of them.
 * Together they reach back over MEMBER_APPLY_LAG_MAX_US twice.
 */
#define LESSOR_COMMIT_SAMPLES_MAX 32
#define LESSOR_COMMIT_SAMPLE_US                                                \
	(MEMBER_APPLY_LAG_MAX_US / (LESSOR_COMMIT_SAMPLES_MAX / 2))

/* A share of the store's permits, offered in one or more replies. */
struct lessor_share {
	uint64_t sent_us; /* of the newest renewal so answered */
	uint32_t in_flight, rate_milli;
};

/* What is known of one process of an instance. */
struct lessor_proc {
	uint64_t incarnation; /* 0: no process */
	/* Newest renewal: when it was received, and sent by its own clock. */
	uint64_t received_us, sent_us;
	/* Largest log index applied; largest with no promise running. */
	uint64_t applied, applied_unpromised;
	/* Newest epoch acknowledged (applied), and when that was received. */
	uint64_t acked_epoch, acked_us;
	/* Newest epoch acknowledged with no promise running. */
	uint64_t acked_unpromised;
	uint64_t replaces; /* incarnation of the process it found ended */
	uint64_t lease_end_us; /* when its lease is certain to have ended */
	uint64_t required; /* log index that its lease requires */
	bool leaving;
	Wire__MemberInfo *info; /* sent while it is not a member; owned */
	uint32_t waiting_loads, loads_in_flight;
	uint64_t waiting_stall_us;
	struct lessor_share held; /* according to its newest renewal */
	/* Offered since then, so that it may hold any of them. */
	struct lessor_share offers[LESSOR_OFFERS_MAX];
	size_t noffers;
	bool share_confirmed; /* it holds a share from this leader */
	bool share_released; /* it can use none of these shares */
	bool counted; /* its share is in the sum of the last sweep */
	struct lessor_share target; /* planned by the last sweep */
};

/*
 * An instance: the process that is a member and one that may follow it, in
 * any order.
 */
struct lessor_peer {
	uint32_t id;
	struct lessor_proc procs[2];
};

struct lessor_commit_sample {
	uint64_t at_us;
	uint64_t commit;
};

struct member_lessor {
	uint64_t term;
	uint32_t store_in_flight, store_rate_milli;
	/* Until then leases granted by earlier leaders may run. */
	uint64_t earlier_leases_end_us;
	/* Until then orders of members being removed may be in flight. */
	uint64_t removed_orders_end_us;
	uint64_t authority_until_us;
	uint64_t commit;
	/* Ring buffer; ncommits counts all samples ever taken. */
	struct lessor_commit_sample commits[LESSOR_COMMIT_SAMPLES_MAX];
	size_t ncommits;
	struct map *peers; /* id to struct lessor_peer */

	/* Newest epoch found sealed, and when: see lessor_is_sealed(). */
	uint64_t sealed_epoch, sealed_us;
	/* Newest such epoch for which loads of removed owners have ended. */
	uint64_t settled_epoch;
	bool shares_known; /* also those that earlier leaders offered */
	uint64_t active_epoch, in_force; /* largest found so far */
	uint64_t refreshed_us, planned_us, searched_us; /* last sweeps */
	bool plan_stale;
	uint64_t used_in_flight, used_rate_milli; /* sum of counted shares */

	/*
	 * The changes proposed last, together; pending until all are applied or
	 * without effect. They own copies of their information.
	 */
	bool change_pending, voters_can_read_changes;
	struct member_change *changes;
	size_t nchanges, changes_cap;
	uint64_t proposed_us;
};

/* A copy, to be freed by lessor_info_free(), which also takes NULL. */
Wire__MemberInfo *lessor_info_copy(const Wire__MemberInfo *info);
void lessor_info_free(Wire__MemberInfo *info);

/* Discards the changes proposed last. */
void lessor_clear_changes(struct member_lessor *ls);

/* Whether the removal of this member is pending. */
bool lessor_is_being_removed(
    const struct member_lessor *ls, const struct member *m);

/* The instance of this id; NULL when no renewal of it was received. */
struct lessor_peer *lessor_find_peer(
    const struct member_lessor *ls, uint32_t id);

/* The process of an instance that is this member; NULL as below. */
struct lessor_proc *lessor_peer_proc(
    struct lessor_peer *peer, const struct member *m);

/* The process that is this member; NULL when it has sent no renewal. */
struct lessor_proc *lessor_find_proc(
    const struct member_lessor *ls, const struct member *m);

/*
 * Whether a process may hold a lease, also one of an earlier leader, or may
 * have orders in flight that it sent under one.
 *
 * proc: NULL for a member that has sent no renewal.
 */
bool lessor_may_hold_lease(const struct member_lessor *ls,
    const struct lessor_proc *proc, uint64_t now_us);

/*
 * The process that takes the place of a member, whose own process has ended;
 * NULL when none is known.
 *
 * peer: the instance of the member; NULL: none is known.
 *
 * The head of member_lessor.c says what it proves.
 */
const struct lessor_proc *lessor_find_successor(
    const struct lessor_peer *peer, const struct member *m);

/*
 * Whether the current epoch is sealed: no instance can act any more on the
 * support of the previous epoch. That is so when enough supporters of the
 * previous epoch have acknowledged the current one, with no promise running,
 * that the others are no majority, or when all instances that were members in
 * the previous epoch have acknowledged the current one.
 */
bool lessor_is_sealed(
    const struct member_lessor *ls, const struct member_view *v);

/*
 * Whether a sweep over the members is due: always in a small cluster, else
 * after LESSOR_SWEEP_INTERVAL_US. When it is, *last is set to now_us.
 */
bool lessor_sweep_due(
    const struct member_view *v, uint64_t now_us, uint64_t *last);

/*
 * Updates the sealed, settled and active epoch and the index in force, unless
 * the leader has no authority or no sweep is due.
 */
void lessor_refresh(
    struct member_lessor *ls, const struct member_view *v, uint64_t now_us);

/*
 * Settles a sealed epoch once loads of the owners of earlier epochs are
 * certain to have ended, and records whether all shares are known.
 */
void lessor_permit_settle(
    struct member_lessor *ls, const struct member_view *v, uint64_t now_us);

/* Records the share that a renewal says its process holds. */
void lessor_permit_on_renew(struct member_lessor *ls, struct lessor_proc *proc,
    const Wire__LeaseRenew *r);

/*
 * Fills the permits of the reply to a renewal and records them as offered.
 *
 * leased: the reply grants a lease; without one the share offered is empty.
 */
void lessor_permit_fill(struct member_lessor *ls, const struct member_view *v,
    uint64_t now_us, struct lessor_proc *proc, bool leased,
    Wire__LeaseReply *out);

#endif
