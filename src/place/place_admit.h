#ifndef MP_PLACE_ADMIT_H
#define MP_PLACE_ADMIT_H

#include "fair/fair.h"
#include "place/place_estimate.h"
#include "place/place_internal.h"

/*
 * Admission control: the order in which queued requests are evaluated, which of
 * them wait for room, which are refused, and whose adapters are loaded first.
 *
 * Capacity is short while requests wait for room, the engines' unread prompts
 * are near the objectives, or the store's loads are full. Without a shortage
 * the order is by due time. In one, accounts go by their shares; within an
 * account the more urgent kind goes first, then what can still be in time, then
 * the earlier due time.
 */

enum place_verdict {
	PLACE_RUN, /* grant it, or wait for its adapter there */
	PLACE_HOLD, /* it stays queued until there is room */
	PLACE_TOO_LATE /* refuse it */
};

/* How a placer admits requests; the baseline has no accounts. */
struct place_admit_ops {
	const char *name;
	/* Put the queue in the order in which a run evaluates it. */
	void (*order)(struct place *p);
	/*
	 * Decide on a request whose best engine has been estimated.
	 *
	 * est: NULL: no engine can take it now.
	 * is_ready: its adapter is loaded there.
	 */
	enum place_verdict (*judge)(struct place *p, struct place_ask *a,
	    const struct place_estimate *est, bool is_ready, bool may_order);
	/*
	 * Whether a queued request is expected to miss its deadline.
	 *
	 * return_us: set, if so, to the time at which its caller should retry.
	 */
	bool (*is_hopeless)(
	    struct place *p, const struct place_ask *a, uint64_t *return_us);
	/* Rank wanted adapters by the requests that wait for them. */
	void (*rank_loads)(struct place *p);
};

extern const struct place_admit_ops place_admit_baseline;
extern const struct place_admit_ops place_admit_shares;

/* A sum that decays with time, in units per ms. */
struct place_rate {
	double per_ms;
	uint64_t updated_us;
};

/* What admission knows of an account; the context of a fair_account. */
struct place_admit_account {
	struct place_rate arrivals; /* in tokens */
	struct place_rate asked, granted; /* requests */
	uint32_t total_granted, total_refused;
	uint64_t reported_milli; /* charges that other owners were told */
	/* during one ordering of the queue */
	double counter; /* as if the requests ordered so far had run */
	bool is_starved; /* served far less often than all; it goes first */
	size_t first, end, next; /* of its requests in the sorted list */
};

/* The least counter of the busy accounts, as of the last run. */
struct place_least {
	bool is_known;
	double counter;
};

struct place_admit {
	const struct place_admit_ops *ops; /* shares if there are accounts */
	bool is_order_fixed; /* whatever the configuration says */
	struct fair *fair; /* shares of engines */
	/* shares of plain endpoints, whose slots are another resource */
	struct fair *calls;
	bool is_short; /* as of the last ordering */
	bool are_engines_short; /* they have little time left */
	bool is_reordered; /* the queue isn't ordered by due time */
	bool has_load_ranks; /* wanted adapters have ranks */
	struct place_least least, calls_least;
	uint64_t engines_short_since_us, ordered_us, swept_us;
	uint32_t ncalls; /* queued calls of plain services */
	uint32_t nheld; /* queued requests that wait for room */
	uint32_t nblocked; /* of these, no engine has a slot or memory */
	struct place_rate grants; /* tokens */
	double capacity; /* tokens per ms, as of the last ordering */
	double held_ms; /* time to run what is held */
	double objective_ms; /* about the shortest one; 0: none seen */
	double mean_tokens; /* of a request; 0: none seen */
	double mean_weight; /* of the configured accounts, in tokens per s */
	uint64_t return_us; /* when the last refused caller should return */
	uint64_t account_priorities, route_priorities; /* sets of those used */
};

struct place_admit *place_admit_create(void);
void place_admit_destroy(struct place_admit *m);

/* Look up the weights of the accounts again. */
void place_admit_configure(struct place *p);
/* Forget idle accounts and update weights; called every few seconds. */
void place_admit_sweep(struct place *p);

/* Note that a request is queued, and when it leaves the queue. */
void place_admit_enqueue(struct place *p, struct place_ask *a);
void place_admit_dequeue(struct place *p, struct place_ask *a);
/* Note that a request waits for room, or no longer does. */
void place_admit_set_held(struct place *p, struct place_ask *a, bool is_held);
/* Update whether a held request counts as backlogged, after is_late changed. */
void place_admit_update_backlog(struct place *p, struct place_ask *a);
/* Whether no engine owned here has a free slot and memory for the request. */
bool place_admit_is_blocked(const struct place *p, const struct place_ask *a);
/* Record the result of place_admit_is_blocked(). */
void place_admit_set_blocked(
    struct place *p, struct place_ask *a, bool is_blocked);
/* Charge the account of a granted request provisionally. */
void place_admit_grant(struct place *p, struct place_ask *a);
/* Replace the provisional charge by the final one when the request ends. */
void place_admit_end(
    struct place *p, struct place_ask *a, enum place_outcome outcome);
/* Count a refused request for its account. */
void place_admit_refuse(struct place *p, const struct place_ask *a);
/* An engine is busy above this fraction of the shortest objective. */
#define PLACE_ADMIT_HOLD_PART 0.5
/* Backlog of unread prompts, in ms, from which on an engine is busy. */
double place_admit_hold_ms(const struct place *p);
/* The charge that a queued request will probably have. */
double place_admit_charge(const struct place_ask *a);

/*
 * Add to the estimate of an engine the requests that wait for an adapter there:
 * they go before one that comes later. Without accounts they don't count.
 */
void place_admit_add_waiting(const struct place *p,
    const struct place_endpoint *e, struct place_estimate *est);
/*
 * Would an engine have room for a request if it had unread only prompts that
 * are as urgent? Its account has exceeded its share, so that others count too.
 */
bool place_admit_is_full_of_others(const struct place *p,
    const struct place_ask *a, const struct place_estimate *est);

/* Restores the order by due time, and that of loads without ranks. */
void place_admit_clear_order(struct place *p);

/* The shares of the resource that a request uses. */
struct fair *place_admit_fair(const struct place *p, const struct place_ask *a);
/* Are calls of plain services ordered by shares? Only if there are accounts. */
bool place_admit_shares_calls(const struct place *p);
/*
 * Of two queued calls, may the second one, which can be in time, go before the
 * first one, which can't? Not if it is a less urgent one of the same account,
 * or its account is over its share.
 */
bool place_admit_may_yield(const struct place *p, const struct place_ask *late,
    const struct place_ask *timely);
/* Update the least counters of the accounts; once per run, before others. */
void place_admit_update_least(struct place *p);
/* What its account has had above the least one, in deficit bounds. */
double place_admit_share_excess(
    const struct place *p, const struct place_ask *a);
/* Has its account had more than the deficit bound above the least one? */
bool place_admit_is_over_share(
    const struct place *p, const struct place_ask *a);

/* When a refused caller should return; callers return one after another. */
uint64_t place_admit_return_us(
    struct place *p, const struct place_ask *a, uint64_t from_us);

/* The bit of a priority in a set of them; high ones share the last. */
uint64_t place_admit_priority_bit(uint32_t priority);
#define PLACE_PRIORITY_MAX 63u

/* ---- place_admit_order.c ---- */
void place_admit_order_by_shares(struct place *p);
void place_admit_rank_loads(struct place *p);

/* ---- place_admit_wait.c ---- */
/* Prompt tokens per ms of the engines owned here, and their unread prompts. */
double place_admit_engine_speed(const struct place *p, double *unread_tokens);
/* Estimate for each request in the queue how long it waits for room. */
void place_admit_estimate_waits(struct place *p);
bool place_admit_is_hopeless(
    struct place *p, const struct place_ask *a, uint64_t *return_us);

/* ---- rates -------------------------------------------------------------- */

/* Tokens per ms of the engines owned here, for requests of all accounts. */
double place_admit_capacity(const struct place *p);
double place_rate_get(const struct place_rate *r, uint64_t now_us);
void place_rate_add(struct place_rate *r, uint64_t now_us, double amount);

#endif
