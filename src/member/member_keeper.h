#ifndef MP_MEMBER_KEEPER_H
#define MP_MEMBER_KEEPER_H

#include "member/member.h"
#include "util/map.h"

/* Inside of the keeper, shared by its parts. */

#define KEEPER_TOLD_MAX	   8 /* differing shares that may be in use */
#define KEEPER_COMMITS	   32 /* samples of the commit index */
#define KEEPER_WISH_US	   (1000 * 1000ULL) /* between repeats of a wish */
#define KEEPER_ROTATE_US   (1000 * 1000ULL) /* of permits too few for all */
#define KEEPER_SWEEP_US	   (20 * 1000ULL) /* between sweeps over many members */
#define KEEPER_COMMIT_STEP (MEMBER_LAG_US / (KEEPER_COMMITS / 2))

/* A share of the store's permits that was told in one or more replies. */
struct keeper_share {
	uint64_t sent_us; /* of the newest such renewal */
	uint32_t in_flight, rate_milli;
};

/* What is known of one process of an instance. */
struct keeper_proc {
	uint64_t incarnation; /* 0: none */
	uint64_t heard_at;
	uint64_t sent_us; /* of the newest renewal, by its clock */
	uint64_t applied;
	uint64_t applied_over; /* applied when it had no promise to keep */
	uint64_t acked; /* newest epoch it has applied */
	uint64_t acked_at;
	uint64_t acked_over; /* newest without a promise to keep */
	uint64_t lease_end; /* when its lease has surely ended */
	uint64_t required; /* sent with its lease */
	bool leaving;
	Wire__MemberInfo *info; /* while it is not a member */
	uint32_t waiting_loads, loads_in_flight;
	uint64_t waiting_stall_us;
	struct keeper_share held; /* as its newest renewal says */
	struct keeper_share told[KEEPER_TOLD_MAX]; /* not yet surely taken */
	size_t ntold;
	bool share_ours; /* it has taken a share from this leader */
	bool share_over; /* cannot use any of these */
	bool counted; /* its share is in the sum of the last sweep */
	struct keeper_share target; /* of the last sweep */
};

/* An instance: the process that is a member, and one that may follow it. */
struct keeper_peer {
	uint32_t id;
	struct keeper_proc procs[2];
};

struct keeper_commit {
	uint64_t at;
	uint64_t commit;
};

struct member_keeper {
	uint64_t term;
	uint32_t store_in_flight, store_rate_milli;
	uint64_t earlier_until; /* leases of earlier leaders may run */
	uint64_t flying_until; /* orders of members being removed may arrive */
	uint64_t authority_until;
	uint64_t commit;
	struct keeper_commit commits[KEEPER_COMMITS]; /* ring */
	size_t ncommits;
	struct map *peers; /* id to struct keeper_peer */

	uint64_t sealed_epoch, sealed_at;
	uint64_t settled_epoch; /* and loads of removed owners have ended */
	bool shares_known; /* also those that earlier leaders told */
	uint64_t active_epoch, in_force; /* largest found so far */
	uint64_t refreshed_at, planned_at, searched_at; /* last sweeps */
	bool plan_stale;
	uint64_t used_in_flight, used_rate_milli; /* sum of counted shares */

	bool wishing; /* a wish is out and not yet applied */
	struct member_wish wish;
	uint64_t wish_at;
	Wire__MemberInfo *wish_info; /* own copy */
};

Wire__MemberInfo *keeper_info_copy(const Wire__MemberInfo *info);
void keeper_info_free(Wire__MemberInfo *info);

struct keeper_peer *keeper_peer_find(
    const struct member_keeper *k, uint32_t id);

/* The process that is this member; NULL when it was never heard. */
struct keeper_proc *keeper_member_proc(
    const struct member_keeper *k, const struct member *m);

/* May it hold a lease, also of an earlier leader, or orders under it? */
bool keeper_may_hold(const struct member_keeper *k,
    const struct keeper_proc *proc, uint64_t now_us);

/*
 * Can nobody act on the support of the epoch before any more? True when so
 * many of its supporters have acknowledged the current one, with no promise
 * to keep, that the others are no majority.
 */
bool keeper_sealed(const struct member_keeper *k, const struct member_view *v);

/* Is a sweep due? In a small cluster always, else by time; notes it. */
bool keeper_sweep_due(
    const struct member_view *v, uint64_t now_us, uint64_t *last);

/* Bring sealed, active and in force up to date. */
void keeper_refresh(
    struct member_keeper *k, const struct member_view *v, uint64_t now_us);

/* Are the loads of owners of earlier epochs surely over? */
void keeper_permit_settle(
    struct member_keeper *k, const struct member_view *v, uint64_t now_us);

/* Note what a renewal says of its share, then fill the share to tell. */
void keeper_permit_renew(struct member_keeper *k, struct keeper_proc *proc,
    const Wire__LeaseRenew *r);
void keeper_permit_tell(struct member_keeper *k, const struct member_view *v,
    uint64_t now_us, struct keeper_proc *proc, bool leased,
    Wire__LeaseReply *out);

#endif
