#include <stdlib.h>
#include <string.h>

#include "place/place_admit.h"
#include "util/mem.h"

/*
 * The order of the queue by shares, what it means for the time at which each
 * request will run, and the order of adapter loads.
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
/* The rate of grants is known after a shortage of this time. */
#define MEASURED_AFTER_US (500 * US_PER_MS)
/* Lower bound of the measured capacity, as a fraction of engine speed. */
#define RATE_PART_MIN 0.05
/*
 * Late requests get at least this part of the capacity, in an estimate: a burst
 * may end before their deadlines.
 */
#define LATE_RATE_PART_MIN 0.25
/*
 * The part of the time to the deadline within which a request must be expected
 * to run. One that must not run twice may use all of it: its caller has no
 * other attempt, so that a wrong refusal costs more.
 */
#define WAIT_PART_REPEATABLE 0.8
#define WAIT_PART_ONCE	     1.0
/* Callers that are refused are asked to return within this time. */
#define RETURN_SPREAD_US (2000 * US_PER_MS)
#define RETURN_MAX_US	 (5000 * US_PER_MS)
/* Ranks of loads: accounts by deficit bounds, then urgency. */
#define LOAD_RANK_BOUNDS_MAX 1000.0
#define LOAD_RANK_URGENCIES  10u

/* ---- shortage ----------------------------------------------------------- */

/* Prompt tokens per ms of the engines owned here, and their unread prompts. */
static double
engine_speed(const struct place *p, double *unread_tokens)
{
	const struct place_endpoint *e;
	double speed = 0;
	size_t i;

	*unread_tokens = 0;
	for (i = 0; i < map_count(p->endpoints); i++) {
		e = map_at(p->endpoints, i);
		if (e->engine == NULL || e->is_foreign || e->leaving)
			continue;
		speed += place_endpoint_tokens_per_ms(p, e);
		*unread_tokens += (double)e->unread_tokens;
	}
	return speed;
}

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
	speed = engine_speed(p, &unread);
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

/*
 * Once a shortage of engines has lasted, what was granted tells the capacity,
 * whether prompts, memory or slots limit it. Before that it is the engines'
 * speed.
 */
double
place_admit_capacity(const struct place *p)
{
	const struct place_admit *m = p->admit;
	double unread, speed = engine_speed(p, &unread);
	double measured = place_rate_get(&m->grants, p->now_us);

	if (!m->are_engines_short ||
	    p->now_us < m->engines_short_since_us + MEASURED_AFTER_US)
		return speed;
	if (measured < speed * RATE_PART_MIN)
		measured = speed * RATE_PART_MIN;
	return measured < speed ? measured : speed;
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

/*
 * Calls of plain services have shares only where there are accounts. Elsewhere
 * they keep the order of their due times.
 */
static bool
has_share(const struct place *p, const struct place_ask *a)
{
	return a->key != NULL ||
	    (p->config != NULL && p->config->naccounts > 0);
}

/*
 * The queued requests with a share, or the others, as an array, which the
 * caller frees.
 */
static struct place_ask **
collect(struct place *p, bool with_share, size_t *count)
{
	struct place_ask **all = mem_alloc(p->nqueued + 1, sizeof(*all)), *a;

	*count = 0;
	for (a = p->queue_head; a != NULL; a = a->next) {
		if (has_share(p, a) != with_share)
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
prepare_accounts(struct place *p, struct place_ask **all, size_t count,
    struct fair_account **active)
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
	for (k = 0; k < fair_active_count(p->admit->fair); k++) {
		t = fair_active_at(p->admit->fair, k)->context;
		asked += place_rate_get(&t->asked, p->now_us);
		granted += place_rate_get(&t->granted, p->now_us);
	}
	(void)fair_least_counter(p->admit->fair, &least);
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
choose_account(const struct place *p, struct place_ask **all,
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
		if (t->next == t->end ||
		    t->counter > least + fair_bound(p->admit->fair))
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

/* Put requests with a share into the order in which they go. */
static void
order_shares(struct place *p, struct place_ask **all, size_t count,
    struct place_ask **ordered)
{
	struct fair_account **active = mem_alloc(
	    fair_count(p->admit->fair) + 1, sizeof(struct fair_account *));
	struct fair_account *f;
	struct place_admit_account *t;
	size_t i, n, k;

	qsort(all, count, sizeof(struct place_ask *), compare_in_account);
	n = prepare_accounts(p, all, count, active);
	for (i = 0; i < count && i < ORDERED_MAX; i++) {
		f = choose_account(p, all, active, n);
		t = f->context;
		t->counter += place_admit_charge(all[t->next]) / f->weight;
		ordered[i] = all[t->next++];
	}
	for (k = 0; k < n; k++) {
		t = active[k]->context;
		while (t->next < t->end)
			ordered[i++] = all[t->next++];
	}
	free(active);
}

/*
 * Requests without a share use other endpoints. They alternate with the
 * others, so that neither uses up the evaluations of a run.
 */
static void
order_queue(struct place *p)
{
	size_t i, nshares, nothers;
	struct place_ask **shares = collect(p, true, &nshares);
	struct place_ask **others = collect(p, false, &nothers);
	struct place_ask **ordered =
	    mem_alloc(nshares + 1, sizeof(struct place_ask *));

	order_shares(p, shares, nshares, ordered);
	qsort(others, nothers, sizeof(struct place_ask *), compare_due);
	p->queue_head = p->queue_tail = NULL;
	for (i = 0; i < nshares || i < nothers; i++) {
		if (i < nshares)
			append(p, ordered[i]);
		if (i < nothers)
			append(p, others[i]);
	}
	free(ordered);
	free(others);
	free(shares);
	p->admit->is_reordered = true;
}

/* ---- when a request will run -------------------------------------------- */

/*
 * The rate at which late requests of an account run. They come after those in
 * time, and new ones of these keep arriving: what is left is the account's
 * share, or what the others leave if that is more, less its own arrivals.
 */
static double
late_rate(const struct place *p, const struct fair_account *f, double capacity,
    double all_arrivals, double all_weights)
{
	const struct place_admit_account *t = f->context;
	double own = place_rate_get(&t->arrivals, p->now_us);
	double share = capacity * f->weight / all_weights;
	double rest = capacity - (all_arrivals - own);
	double rate = (rest > share ? rest : share) - own;

	return rate > capacity * LATE_RATE_PART_MIN
	    ? rate
	    : capacity * LATE_RATE_PART_MIN;
}

/* Estimate for each request in the queue how long it waits for room. */
static void
estimate_waits(struct place *p)
{
	const struct fair_account *f;
	const struct place_admit_account *t;
	double capacity = place_admit_capacity(p), rate;
	double arrivals = 0, weights = 0, tokens = 0;
	struct place_ask *a;
	uint32_t i;

	for (i = 0; i < fair_active_count(p->admit->fair); i++) {
		f = fair_active_at(p->admit->fair, i);
		t = f->context;
		if (f->queued + f->running == 0)
			continue;
		weights += f->weight;
		arrivals += place_rate_get(&t->arrivals, p->now_us);
	}
	for (a = p->queue_head; a != NULL && capacity > 0; a = a->next) {
		if (a->key == NULL || a->endpoint != NULL)
			continue;
		rate = a->is_late
		    ? late_rate(p, a->share, capacity, arrivals, weights)
		    : capacity;
		a->room_wait_ms = tokens / rate;
		tokens += place_admit_charge(a);
	}
	p->admit->capacity = capacity;
	p->admit->held_ms = capacity > 0 ? tokens / capacity : 0;
}

void
place_admit_order_by_shares(struct place *p)
{
	struct place_admit *m = p->admit;
	bool was_short = m->is_short, were_short = m->are_engines_short;

	place_admit_update_least(p);
	m->is_short = is_short(p);
	if (m->are_engines_short && !were_short)
		m->engines_short_since_us = p->now_us;
	if (!m->is_short) {
		m->held_ms = 0;
		if (m->is_reordered)
			order_by_due(p);
		return;
	}
	if (was_short && p->now_us < m->ordered_us + ORDER_INTERVAL_US)
		return;
	m->ordered_us = p->now_us;
	order_queue(p);
	estimate_waits(p);
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

bool
place_admit_is_hopeless(
    struct place *p, const struct place_ask *a, uint64_t *return_us)
{
	double part =
	    a->kind == GW_IDEMPOTENT ? WAIT_PART_REPEATABLE : WAIT_PART_ONCE;
	double left_ms, objective_ms = 0;

	if (!p->admit->is_short || a->key == NULL || a->endpoint != NULL ||
	    a->attempt > 0 || p->now_us >= a->deadline_us)
		return false;
	left_ms = (double)(a->deadline_us - p->now_us) / US_PER_MS;
	if (a->room_wait_ms < left_ms * part)
		return false;
	if (a->target_us > a->asked_us)
		objective_ms = (double)(a->target_us - a->asked_us) / US_PER_MS;
	*return_us = p->now_us;
	if (a->room_wait_ms > objective_ms)
		*return_us +=
		    (uint64_t)((a->room_wait_ms - objective_ms) * US_PER_MS);
	*return_us = place_admit_return_us(p, a, *return_us);
	return true;
}

uint64_t
place_admit_return_us(
    struct place *p, const struct place_ask *a, uint64_t from_us)
{
	struct place_admit *m = p->admit;

	if (from_us > p->now_us + RETURN_MAX_US)
		from_us = p->now_us + RETURN_MAX_US;
	if (m->return_us < from_us || m->return_us > from_us + RETURN_SPREAD_US)
		m->return_us = from_us;
	if (m->capacity > 0)
		m->return_us +=
		    (uint64_t)(place_admit_charge(a) / m->capacity * US_PER_MS);
	return m->return_us;
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
