#ifndef MP_FAIR_FAIR_H
#define MP_FAIR_FAIR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Fair shares of a capacity between accounts. Each account has a virtual
 * counter: what its requests were charged over its weight. The account with
 * the least counter is served next; others may go before it only while their
 * counters lie within the deficit bound above the least one.
 *
 * The module orders nothing itself: its user counts the requests of each
 * account, reports charges and compares the counters. It reads no clock.
 *
 * Charges are in a unit that the user chooses, such as tokens; _milli fields
 * are in thousandths of it. Counters, service and gaps are charges over weight.
 *
 * Terms:
 * busy: with queued or running requests.
 * backlogged: with queued requests that could run if there was capacity.
 */
struct fair;

/* Switches of the rules, all on in production; see guards.txt. */
struct fair_guards {
	bool bound; /* the credit of an account that isn't served is limited */
	bool lift; /* an account that was idle keeps no credit */
	bool remote; /* a remote charge counts only within bounds */
};

/* The switches of an instance that has none of its own. */
extern struct fair_guards fair_guards;

struct fair_options {
	double bound_requests; /* deficit bound, in requests of mean charge */
	const struct fair_guards *guards; /* NULL: fair_guards */
	void (*free_context)(void *context); /* of a forgotten account; NULL:
						nothing to be done */
};

/* Total that another owner reports to have charged an account. */
struct fair_remote {
	uint32_t owner;
	uint64_t process; /* of the owner; a new one counts from 0 */
	uint64_t total_milli;
};

/*
 * An account. The user sets the first group of fields and reads the second
 * one.
 */
struct fair_account {
	double weight;
	uint32_t queued, running; /* requests */
	uint32_t blocked; /* of the queued ones: they couldn't run anyway */
	uint32_t max_running; /* 0: no limit */
	void *context; /* the user's data */

	char *name;
	double counter; /* virtual counter */
	double service; /* charges over weight, without lift and limits */
	uint64_t charge_milli; /* sum of settled charges since creation */
	double provisional; /* sum of charges not settled yet */
	bool is_active; /* listed by fair_active_at() */
	uint32_t active_index;
	uint64_t used_us; /* last charge, or request by fair_touch() */
	struct fair_remote *remotes;
	size_t nremotes;
};

/* options is copied. */
struct fair *fair_create(const struct fair_options *options);
void fair_destroy(struct fair *f);

/*
 * Get an account; an unknown one is created with weight 1. The account is owned
 * by f and valid until fair_sweep() forgets it.
 */
struct fair_account *fair_get(struct fair *f, const char *name);
/* Find an account; NULL: it is unknown. Valid as with fair_get(). */
struct fair_account *fair_find(const struct fair *f, const char *name);

/* All known accounts by index; fair_sweep() changes their order. */
size_t fair_count(const struct fair *f);
struct fair_account *fair_at(const struct fair *f, size_t i);

/* ---- requests ----------------------------------------------------------- */

/*
 * Note that an account gets a request, before it is counted. One that was idle
 * keeps no credit: its counter is lifted to the least one of the busy ones.
 */
void fair_activate(struct fair *f, struct fair_account *a);

/*
 * Note that a request is about to be queued. If the account becomes backlogged
 * by it, its service starts within the range of the backlogged ones: the gap
 * counts only what happens from then on.
 */
void fair_start_backlog(struct fair *f, struct fair_account *a);

/*
 * Note that a request has ended; call it after queued or running was lowered.
 * Records the counter of the last busy account, to which idle ones are lifted.
 */
void fair_note_idle(struct fair *f, const struct fair_account *a);

/* Take an account without requests off the list of active ones. */
void fair_deactivate(struct fair *f, struct fair_account *a);
uint32_t fair_active_count(const struct fair *f);
struct fair_account *fair_active_at(const struct fair *f, uint32_t i);

/* Note the time of a use, for fair_sweep(). */
void fair_touch(struct fair_account *a, uint64_t now_us);

/*
 * Forget the accounts that are idle and were not used for FAIR_IDLE_US. Not for
 * users that keep pointers to idle accounts.
 */
void fair_sweep(struct fair *f, uint64_t now_us);
/* An account without use keeps its counter and totals for this time. */
#define FAIR_IDLE_US (180ULL * 1000 * 1000)

/* ---- charges ------------------------------------------------------------ */

/* May the account's own limit of running requests allow another one? */
bool fair_may_run(const struct fair_account *a);

/* The deficit bound, in units of the counters. */
double fair_bound(const struct fair *f);

/* Find the least counter of the busy accounts; false: there is none. */
bool fair_least_counter(const struct fair *f, double *least);

/*
 * May an account go before the one with the least counter? Only within the
 * deficit bound.
 */
bool fair_may_go_first(
    const struct fair *f, const struct fair_account *a, double least);

/* Charge an account for a request that is about to run. */
void fair_charge(struct fair *f, struct fair_account *a, double charge);

/* Replace the provisional charge of a request by its final one. */
void fair_settle(
    struct fair *f, struct fair_account *a, double provisional, double final);

/*
 * Apply what another owner has charged an account so far. The first total of an
 * owner's process only counts from then on. A difference raises the counter by
 * a bounded amount, so that an owner whose reports are wrong or late can't lock
 * out an account.
 */
void fair_set_remote_charge(struct fair *f, uint32_t owner, uint64_t process,
    struct fair_account *a, uint64_t total_milli);

/* ---- the gap ------------------------------------------------------------ */

/* Update the largest gap in service between backlogged accounts. */
void fair_update_gap(struct fair *f);

struct fair_gap {
	uint64_t now_milli; /* at the last update */
	uint64_t largest_milli; /* since the creation */
	/*
	 * What the rules allow: the deficit bound, the largest charge of one
	 * request, and the largest sum of charges that was not settled; more
	 * if other owners report charges, which the gap does not contain.
	 */
	uint64_t bound_milli;
	uint32_t backlogged; /* accounts, at the last update */
};
void fair_get_gap(const struct fair *f, struct fair_gap *out);

#ifdef __cplusplus
}
#endif

#endif
