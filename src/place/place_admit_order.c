#include <stdlib.h>
#include <string.h>

#include "place/place_admit.h"
#include "util/mem.h"

/*
 * The order of the queue by shares, and the order of adapter loads.
 *
 * The queue is sorted as if each request ran when its turn comes: the account
 * with the least virtual counter goes first, and is charged for it. Accounts
 * within the deficit bound above the least go by urgency instead.
 */

/* A shortage of engines ends at this part of what began it. */
#define SHORT_ENDS_PART 0.5
/* Interval of sorting the queue during a shortage. */
#define ORDER_INTERVAL_US (5 * US_PER_MS)
/*
 * Requests that are sorted individually. The rest is appended by account, since
 * one run doesn't evaluate that many.
 */
#define ORDERED_MAX 256u
/*
 * An account is starved, and goes first, if its ratio of granted to received
 * requests is below this fraction of the ratio of all accounts.
 */
#define SERVED_RATIO_MIN 0.35
/* Ranks of loads: accounts by deficit bounds, then urgency. */
#define LOAD_RANK_BOUNDS_MAX 1000.0
#define LOAD_RANK_URGENCIES  10u

/* ---- shortage ----------------------------------------------------------- */

/*
 * Are the engines short of time, all together? One with a popular adapter may
 * have a long backlog without that: requests go on to others.
 */
static bool
are_engines_short(const struct place *p)
{
	double unread, speed, busy_ms = place_admit_hold_ms(p);

	if (p->admit->nblocked > 0)
		return true;
	speed = place_admit_engine_speed(p, &unread);
	if (p->admit->are_engines_short)
		busy_ms *= SHORT_ENDS_PART;
	return speed > 0 && busy_ms > 0 && unread / speed >= busy_ms;
}

static bool
is_store_short(const struct place *p)
{
	return p->queued_store_loads > 0 &&
	    p->store_loads >= place_adapter_store_loads_max(p);
}

static bool
is_short(struct place *p)
{
	p->admit->are_engines_short = p->nqueued > 0 && are_engines_short(p);
	return p->nqueued > 0 &&
	    (p->admit->nheld > 0 || p->admit->are_engines_short ||
		is_store_short(p));
}

/* ---- sorting ------------------------------------------------------------ */

static bool
is_late(const struct place *p, const struct place_ask *a)
{
	return a->is_late || p->now_us >= a->target_us;
}

/* Of two requests, is the first more urgent? 0: they are equal. */
static int
compare_urgency(const struct place_ask *a, const struct place_ask *b)
{
	if (a->account_priority != b->account_priority)
		return a->account_priority < b->account_priority ? -1 : 1;
	if (a->priority != b->priority)
		return a->priority < b->priority ? -1 : 1;
	if (a->is_late != b->is_late)
		return a->is_late ? 1 : -1;
	if (a->due_us != b->due_us)
		return a->due_us < b->due_us ? -1 : 1;
	return 0;
}

static int
compare_ids(const struct place_ask *a, const struct place_ask *b)
{
	if (a->id.entry != b->id.entry)
		return a->id.entry < b->id.entry ? -1 : 1;
	if (a->id.ask != b->id.ask)
		return a->id.ask < b->id.ask ? -1 : 1;
	return 0;
}

static int
compare_in_account(const void *x, const void *y)
{
	const struct place_ask *a = *(struct place_ask *const *)x;
	const struct place_ask *b = *(struct place_ask *const *)y;
	int order;

	if (a->share != b->share)
		return a->share->active_index < b->share->active_index ? -1 : 1;
	order = compare_urgency(a, b);
	return order != 0 ? order : compare_ids(a, b);
}

static int
compare_service(const void *x, const void *y)
{
	const struct place_ask *a = *(struct place_ask *const *)x;
	const struct place_ask *b = *(struct place_ask *const *)y;

	return strcmp(a->service, b->service);
}

static int
compare_due(const void *x, const void *y)
{
	const struct place_ask *a = *(struct place_ask *const *)x;
	const struct place_ask *b = *(struct place_ask *const *)y;

	if (a->due_us != b->due_us)
		return a->due_us < b->due_us ? -1 : 1;
	if (a->asked_us != b->asked_us)
		return a->asked_us < b->asked_us ? -1 : 1;
	return compare_ids(a, b);
}

/* The queued calls, or model requests, as an array, which the caller frees. */
static struct place_ask **
collect(struct place *p, bool calls, size_t *count)
{
	struct place_ask **all = mem_alloc(p->nqueued + 1, sizeof(*all)), *a;

	*count = 0;
	for (a = p->queue_head; a != NULL; a = a->next) {
		if ((a->key == NULL) != calls)
			continue;
		a->is_late = is_late(p, a);
		place_admit_update_backlog(p, a);
		all[(*count)++] = a;
	}
	return all;
}

static void
append(struct place *p, struct place_ask *a)
{
	a->prev = p->queue_tail;
	a->next = NULL;
	if (p->queue_tail == NULL)
		p->queue_head = a;
	else
		p->queue_tail->next = a;
	p->queue_tail = a;
}

static void
order_by_due(struct place *p)
{
	struct place_ask **all =
	    mem_alloc(p->nqueued + 1, sizeof(struct place_ask *));
	struct place_ask *a;
	size_t i, n = 0;

	for (a = p->queue_head; a != NULL; a = a->next)
		all[n++] = a;
	qsort(all, n, sizeof(struct place_ask *), compare_due);
	p->queue_head = p->queue_tail = NULL;
	for (i = 0; i < n; i++)
		append(p, all[i]);
	free(all);
	p->admit->is_reordered = false;
}

/* Are the account's requests granted far less often than all? */
static bool
is_starved(const struct place *p, const struct place_admit_account *t,
    double all_asked, double all_granted)
{
	double asked = place_rate_get(&t->asked, p->now_us);
	double granted = place_rate_get(&t->granted, p->now_us);

	return granted * all_asked < SERVED_RATIO_MIN * all_granted * asked;
}

/*
 * Prepare the accounts with queued requests: the range of each in the sorted
 * list, and its counter.
 *
 * active: set to them; their number is returned.
 */
static size_t
prepare_accounts(struct place *p, const struct fair *fair,
    struct place_ask **all, size_t count, struct fair_account **active)
{
	struct place_admit_account *t;
	double asked = 0, granted = 0, least = 0;
	size_t i, n = 0;
	uint32_t k;

	for (i = 0; i < count; i++) {
		t = all[i]->share->context;
		if (i == 0 || all[i - 1]->share != all[i]->share) {
			active[n++] = all[i]->share;
			t->first = t->next = i;
		}
		t->end = i + 1;
	}
	for (k = 0; k < fair_active_count(fair); k++) {
		t = fair_active_at(fair, k)->context;
		asked += place_rate_get(&t->asked, p->now_us);
		granted += place_rate_get(&t->granted, p->now_us);
	}
	(void)fair_least_counter(fair, &least);
	for (i = 0; i < n; i++) {
		t = active[i]->context;
		t->counter = active[i]->counter;
		t->is_starved =
		    t->counter > least && is_starved(p, t, asked, granted);
		if (t->is_starved)
			t->counter = least;
	}
	return n;
}

/*
 * Choose the account whose next request goes next: the most urgent one of those
 * within the deficit bound above the least counter.
 */
static struct fair_account *
choose_account(const struct fair *fair, struct place_ask **all,
    struct fair_account **active, size_t count)
{
	const struct place_admit_account *t, *best_t = NULL;
	struct fair_account *best = NULL;
	double least = 0;
	bool found = false;
	size_t i;
	int order;

	for (i = 0; i < count; i++) {
		t = active[i]->context;
		if (t->next < t->end && (!found || t->counter < least)) {
			least = t->counter;
			found = true;
		}
	}
	for (i = 0; i < count; i++) {
		t = active[i]->context;
		if (t->next == t->end || t->counter > least + fair_bound(fair))
			continue;
		order = best == NULL
		    ? -1
		    : compare_urgency(all[t->next], all[best_t->next]);
		if (order < 0 || (order == 0 && t->counter < best_t->counter)) {
			best = active[i];
			best_t = t;
		}
	}
	return best;
}

/* Put requests for one resource into the order in which they go. */
static void
order_shares(struct place *p, const struct fair *fair, struct place_ask **all,
    size_t count)
{
	struct fair_account **active =
	    mem_alloc(fair_count(fair) + 1, sizeof(struct fair_account *));
	struct place_ask **ordered =
	    mem_alloc(count + 1, sizeof(struct place_ask *));
	struct fair_account *f;
	struct place_admit_account *t;
	size_t i, n, k;

	qsort(all, count, sizeof(struct place_ask *), compare_in_account);
	n = prepare_accounts(p, fair, all, count, active);
	for (i = 0; i < count && i < ORDERED_MAX; i++) {
		f = choose_account(fair, all, active, n);
		t = f->context;
		t->counter += place_admit_charge(all[t->next]) / f->weight;
		ordered[i] = all[t->next++];
	}
	for (k = 0; k < n; k++) {
		t = active[k]->context;
		while (t->next < t->end)
			ordered[i++] = all[t->next++];
	}
	memcpy(all, ordered, count * sizeof(struct place_ask *));
	free(ordered);
	free(active);
}

/* Each plain service has endpoints of its own. */
static void
order_calls(struct place *p, struct place_ask **calls, size_t count)
{
	size_t i, first = 0;

	qsort(calls, count, sizeof(struct place_ask *), compare_service);
	for (i = 1; i <= count; i++)
		if (i == count || compare_service(&calls[first], &calls[i])) {
			order_shares(
			    p, p->admit->calls, &calls[first], i - first);
			first = i;
		}
}

/*
 * Calls use other endpoints than model requests. They alternate, so that
 * neither use up the evaluations of a run.
 */
static void
order_queue(struct place *p)
{
	size_t i, nmodels, ncalls;
	struct place_ask **models = collect(p, false, &nmodels);
	struct place_ask **calls = collect(p, true, &ncalls);

	if (p->admit->is_short)
		order_shares(p, p->admit->fair, models, nmodels);
	else
		qsort(models, nmodels, sizeof(*models), compare_due);
	if (place_admit_shares_calls(p))
		order_calls(p, calls, ncalls);
	else
		qsort(calls, ncalls, sizeof(*calls), compare_due);
	p->queue_head = p->queue_tail = NULL;
	for (i = 0; i < nmodels || i < ncalls; i++) {
		if (i < nmodels)
			append(p, models[i]);
		if (i < ncalls)
			append(p, calls[i]);
	}
	free(calls);
	free(models);
	p->admit->is_reordered = true;
}

/*
 * Do calls wait for slots? is_new: set to whether one has arrived since, which
 * is queued by its due time.
 */
static bool
are_calls_short(const struct place *p, bool *is_new)
{
	const struct place_ask *a;
	bool is_waiting = false;

	*is_new = false;
	if (p->admit->ncalls < 2 || !place_admit_shares_calls(p))
		return false;
	for (a = p->queue_head; a != NULL; a = a->next) {
		if (a->key != NULL)
			continue;
		if (a->evaluated_generation == 0)
			*is_new = true;
		else
			is_waiting = true;
	}
	return is_waiting;
}

void
place_admit_order_by_shares(struct place *p)
{
	struct place_admit *m = p->admit;
	bool was_short = m->is_short, were_short = m->are_engines_short;
	bool are_short, is_new;

	place_admit_update_least(p);
	are_short = are_calls_short(p, &is_new);
	m->is_short = is_short(p);
	if (m->are_engines_short && !were_short)
		m->engines_short_since_us = p->now_us;
	if (!m->is_short)
		m->held_ms = 0;
	if (!m->is_short && !are_short) {
		if (m->is_reordered)
			order_by_due(p);
		return;
	}
	if (m->is_reordered && was_short == m->is_short &&
	    !(are_short && is_new) &&
	    p->now_us < m->ordered_us + ORDER_INTERVAL_US)
		return;
	m->ordered_us = p->now_us;
	order_queue(p);
	if (m->is_short)
		place_admit_estimate_waits(p);
}

void
place_admit_clear_order(struct place *p)
{
	struct place_admit *m = p->admit;

	m->is_short = false;
	m->held_ms = 0;
	if (m->is_reordered)
		order_by_due(p);
	place_admit_rank_loads(p);
}

/* ---- loads -------------------------------------------------------------- */

/* Accounts over their share later, by deficit bounds, then by urgency. */
static uint32_t
load_rank(const struct place *p, const struct place_ask *a, double least)
{
	double bound = fair_bound(p->admit->fair);
	double over = bound > 0 ? (a->share->counter - least) / bound : 0;

	if (over < 0)
		over = 0;
	if (over > LOAD_RANK_BOUNDS_MAX)
		over = LOAD_RANK_BOUNDS_MAX;
	return (uint32_t)over * LOAD_RANK_URGENCIES + place_admit_urgency(p, a);
}

void
place_admit_rank_loads(struct place *p)
{
	struct place_adapter *adapter;
	struct place_ask *a;
	double least = 0;
	uint32_t rank;
	int pass;

	if (!p->admit->is_short && !p->admit->has_load_ranks)
		return;
	p->admit->has_load_ranks = p->admit->is_short;
	(void)fair_least_counter(p->admit->fair, &least);
	for (pass = 0; pass < 2; pass++)
		for (a = p->queue_head; a != NULL; a = a->next) {
			if (a->key == NULL || a->endpoint == NULL)
				continue;
			adapter = place_adapter_find(a->endpoint, a->key);
			if (adapter == NULL || adapter->state != ADAPTER_WANTED)
				continue;
			rank = p->admit->is_short ? load_rank(p, a, least) : 0;
			if (pass == 0 || rank < adapter->load_rank)
				adapter->load_rank = rank;
		}
}
