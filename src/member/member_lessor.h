#ifndef MP_MEMBER_LESSOR_H
#define MP_MEMBER_LESSOR_H

#include "member/member.h"
#include "util/map.h"

/* Inside of the keeper, shared by its parts. */

#define LESSOR_OFFERS_MAX	  8 /* differing shares that may be in use */
#define LESSOR_COMMIT_SAMPLES_MAX 32 /* samples of the commit index */
#define LESSOR_PROPOSE_INTERVAL_US                                             \
	(1000 * 1000ULL) /* between repeats of a wish */
#define LESSOR_ROTATE_INTERVAL_US                                              \
	(1000 * 1000ULL) /* of permits too few for all */
#define LESSOR_SWEEP_INTERVAL_US                                               \
	(20 * 1000ULL) /* between sweeps over many members */
#define LESSOR_COMMIT_SAMPLE_US                                                \
	(MEMBER_APPLY_LAG_MAX_US / (LESSOR_COMMIT_SAMPLES_MAX / 2))

/* A share of the store's permits that was told in one or more replies. */
struct lessor_share {
	uint64_t sent_us; /* of the newest such renewal */
	uint32_t in_flight, rate_milli;
};

/* What is known of one process of an instance. */
struct lessor_proc {
	uint64_t incarnation; /* 0: none */
	uint64_t received_us;
	uint64_t sent_us; /* of the newest renewal, by its clock */
	uint64_t applied;
	uint64_t
	    applied_unpromised; /* applied when it had no promise to keep */
	uint64_t acked_epoch; /* newest epoch it has applied */
	uint64_t acked_us;
	uint64_t acked_unpromised; /* newest without a promise to keep */
	uint64_t lease_end_us; /* when its lease has surely ended */
	uint64_t required; /* sent with its lease */
	bool leaving;
	Wire__MemberInfo *info; /* while it is not a member */
	uint32_t waiting_loads, loads_in_flight;
	uint64_t waiting_stall_us;
	struct lessor_share held; /* as its newest renewal says */
	struct lessor_share
	    offers[LESSOR_OFFERS_MAX]; /* not yet surely taken */
	size_t noffers;
	bool share_confirmed; /* it has taken a share from this leader */
	bool share_released; /* cannot use any of these */
	bool counted; /* its share is in the sum of the last sweep */
	struct lessor_share target; /* of the last sweep */
};

/* An instance: the process that is a member, and one that may follow it. */
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
	uint64_t earlier_leases_end_us; /* leases of earlier leaders may run */
	uint64_t removed_orders_end_us; /* orders of members being removed may
					   arrive */
	uint64_t authority_until_us;
	uint64_t commit;
	struct lessor_commit_sample
	    commits[LESSOR_COMMIT_SAMPLES_MAX]; /* ring */
	size_t ncommits;
	struct map *peers; /* id to struct lessor_peer */

	uint64_t sealed_epoch, sealed_us;
	uint64_t settled_epoch; /* and loads of removed owners have ended */
	bool shares_known; /* also those that earlier leaders told */
	uint64_t active_epoch, in_force; /* largest found so far */
	uint64_t refreshed_us, planned_us, searched_us; /* last sweeps */
	bool plan_stale;
	uint64_t used_in_flight, used_rate_milli; /* sum of counted shares */

	bool change_pending; /* a wish is out and not yet applied */
	struct member_change change;
	uint64_t proposed_us;
	Wire__MemberInfo *change_info; /* own copy */
};

Wire__MemberInfo *lessor_info_copy(const Wire__MemberInfo *info);
void lessor_info_free(Wire__MemberInfo *info);

struct lessor_peer *lessor_find_peer(
    const struct member_lessor *ls, uint32_t id);

/* The process that is this member; NULL when it was never heard. */
struct lessor_proc *lessor_find_proc(
    const struct member_lessor *ls, const struct member *m);

/* May it hold a lease, also of an earlier leader, or orders under it? */
bool lessor_may_hold_lease(const struct member_lessor *ls,
    const struct lessor_proc *proc, uint64_t now_us);

/*
 * Can nobody act on the support of the epoch before any more? True when so
 * many of its supporters have acknowledged the current one, with no promise
 * to keep, that the others are no majority.
 */
bool lessor_is_sealed(
    const struct member_lessor *ls, const struct member_view *v);

/* Is a sweep due? In a small cluster always, else by time; notes it. */
bool lessor_sweep_due(
    const struct member_view *v, uint64_t now_us, uint64_t *last);

/* Bring sealed, active and in force up to date. */
void lessor_refresh(
    struct member_lessor *ls, const struct member_view *v, uint64_t now_us);

/* Are the loads of owners of earlier epochs surely over? */
void lessor_permit_settle(
    struct member_lessor *ls, const struct member_view *v, uint64_t now_us);

/* Note what a renewal says of its share, then fill the share to tell. */
void lessor_permit_on_renew(struct member_lessor *ls, struct lessor_proc *proc,
    const Wire__LeaseRenew *r);
void lessor_permit_fill(struct member_lessor *ls, const struct member_view *v,
    uint64_t now_us, struct lessor_proc *proc, bool leased,
    Wire__LeaseReply *out);

#endif
