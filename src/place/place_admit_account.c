#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "gate/gate_account.h"
#include "place/place_admit.h"
#include "util/mem.h"

/*
 * Accounts of admission control: weights from quotas, what is queued and runs,
 * and charges of this and of other owners.
 */

/* Requests without an account belong to this one. */
#define DEFAULT_ACCOUNT ""
/* Deficit bound, in requests of mean charge. */
#define BOUND_REQUESTS 4.0
/* Charge of an output token, in prompt tokens, and of a call without tokens. */
#define OUTPUT_TOKEN_WEIGHT 2.0
#define SERVICE_TOKENS	    100.0
/* Outputs are this part of the maximum that a request names. */
#define EXPECTED_OUTPUT 0.5
/* Tokens of a request before the first one has been seen. */
#define INITIAL_TOKENS 1000.0
#define MEAN_WEIGHT    0.05 /* of the newest value in a mean */
#define RATE_TAU_US    1000000.0
#define SWEEP_US       (1000 * US_PER_MS)
/* The shortest objective follows longer ones slowly. */
#define OBJECTIVE_WEIGHT 0.002

/* ---- rates -------------------------------------------------------------- */

double
place_rate_get(const struct place_rate *r, uint64_t now_us)
{
	if (r->per_ms <= 0 || now_us <= r->updated_us)
		return r->per_ms;
	return r->per_ms * exp(-(double)(now_us - r->updated_us) / RATE_TAU_US);
}

void
place_rate_add(struct place_rate *r, uint64_t now_us, double amount)
{
	r->per_ms = place_rate_get(r, now_us) +
	    amount * (double)US_PER_MS / RATE_TAU_US;
	r->updated_us = now_us;
}

/* ---- accounts ----------------------------------------------------------- */

struct place_admit *
place_admit_create(void)
{
	struct place_admit *m = mem_alloc(1, sizeof(*m));
	struct fair_options options = {
	    .bound_requests = BOUND_REQUESTS, .free_context = free};

	m->ops = &place_admit_baseline;
	m->fair = fair_create(&options);
	m->calls = fair_create(&options);
	m->mean_weight = 1;
	return m;
}

/* Another order finds the queue and the loads as it would have left them. */
static void
use_order(struct place *p, const struct place_admit_ops *ops)
{
	struct place_admit *m = p->admit;

	if (m->ops == ops)
		return;
	place_admit_clear_order(p);
	m->ops = ops;
}

void
place_use_baseline_order(struct place *p)
{
	p->admit->is_order_fixed = true;
	use_order(p, &place_admit_baseline);
}

void
place_admit_destroy(struct place_admit *m)
{
	fair_destroy(m->fair);
	fair_destroy(m->calls);
	free(m);
}

/* What an account may use, in tokens per s; 0: it has no quota. */
static double
quota_tokens_per_s(
    const struct place_admit *m, const struct gw_account *account)
{
	const struct gw_quota *q = &account->quota;
	double tokens = m->mean_tokens;

	if (q->unit == GW_QUOTA_TOKENS)
		return (double)q->units_per_s;
	if (tokens <= 0)
		tokens =
		    q->default_tokens > 0 ? q->default_tokens : INITIAL_TOKENS;
	return (double)q->units_per_s * tokens;
}

/*
 * An account's share is proportional to its quota; one without a quota, or
 * unknown, has the mean of the others, which is weight 1.
 */
static double
weight_of(const struct place *p, const char *name)
{
	const struct gw_config *c = p->config;
	double tokens;
	const struct gw_account *a;

	a = c == NULL ? NULL : gw_config_find_account_by_name(c, name);
	tokens = a == NULL ? 0 : quota_tokens_per_s(p->admit, a);
	return tokens > 0 ? tokens / p->admit->mean_weight : 1;
}

static void
set_weights(const struct place *p, struct fair *fair)
{
	struct fair_account *f;
	size_t i;

	for (i = 0; i < fair_count(fair); i++) {
		f = fair_at(fair, i);
		f->weight = weight_of(p, f->name);
	}
}

static void
update_weights(struct place *p)
{
	struct place_admit *m = p->admit;
	double tokens, sum = 0;
	size_t i, limited = 0;

	for (i = 0; p->config != NULL && i < p->config->naccounts; i++) {
		tokens = quota_tokens_per_s(m, p->config->accounts[i]);
		sum += tokens;
		limited += tokens > 0;
	}
	m->mean_weight = limited == 0 ? 1 : sum / (double)limited;
	set_weights(p, m->fair);
	set_weights(p, m->calls);
}

uint64_t
place_admit_priority_bit(uint32_t priority)
{
	return 1ULL << (priority < PLACE_PRIORITY_MAX ? priority
						      : PLACE_PRIORITY_MAX);
}

void
place_admit_configure(struct place *p)
{
	struct place_admit *m = p->admit;
	const struct gw_config *c = p->config;
	size_t i;

	if (!m->is_order_fixed)
		use_order(p,
		    c != NULL && c->has_accounts ? &place_admit_shares
						 : &place_admit_baseline);
	m->account_priorities = m->route_priorities = 0;
	for (i = 0; c != NULL && i < c->naccounts; i++)
		m->account_priorities |=
		    place_admit_priority_bit(c->accounts[i]->priority);
	for (i = 0; c != NULL && i < c->nroutes; i++)
		m->route_priorities |=
		    place_admit_priority_bit(c->routes[i]->priority);
	update_weights(p);
}

void
place_admit_sweep(struct place *p)
{
	if (p->now_us < p->admit->swept_us + SWEEP_US)
		return;
	p->admit->swept_us = p->now_us;
	fair_sweep(p->admit->fair, p->now_us);
	fair_sweep(p->admit->calls, p->now_us);
	update_weights(p);
}

struct fair *
place_admit_fair(const struct place *p, const struct place_ask *a)
{
	return a->key == NULL ? p->admit->calls : p->admit->fair;
}

static struct fair_account *
get_account(struct place *p, struct fair *fair, const char *name)
{
	struct fair_account *f = fair_get(fair, name);

	if (f->context == NULL) {
		f->context = mem_alloc(1, sizeof(struct place_admit_account));
		f->weight = weight_of(p, name);
	}
	return f;
}

/* ---- requests ----------------------------------------------------------- */

static double
charge_of(const struct place_ask *a, double prompt_tokens)
{
	if (a->key == NULL)
		return SERVICE_TOKENS;
	return prompt_tokens +
	    OUTPUT_TOKEN_WEIGHT * EXPECTED_OUTPUT * a->max_tokens;
}

double
place_admit_hold_ms(const struct place *p)
{
	return p->admit->objective_ms * PLACE_ADMIT_HOLD_PART;
}

static void
note_objective(struct place_admit *m, const struct place_ask *a)
{
	double ms = a->target_us > a->asked_us
	    ? (double)(a->target_us - a->asked_us) / US_PER_MS
	    : 0;

	if (ms <= 0 || a->attempt > 0)
		return;
	if (m->objective_ms == 0 || ms < m->objective_ms)
		m->objective_ms = ms;
	else
		m->objective_ms += (ms - m->objective_ms) * OBJECTIVE_WEIGHT;
}

double
place_admit_charge(const struct place_ask *a)
{
	return charge_of(a, a->prompt_tokens);
}

void
place_admit_enqueue(struct place *p, struct place_ask *a)
{
	struct place_admit *m = p->admit;
	struct fair *fair = place_admit_fair(p, a);
	const char *name = a->account == NULL ? DEFAULT_ACCOUNT : a->account;
	struct fair_account *f = get_account(p, fair, name);
	struct place_admit_account *t = f->context;
	double tokens = charge_of(a, a->prompt_tokens);

	fair_activate(fair, f);
	fair_touch(f, p->now_us);
	f->queued++;
	f->blocked++;
	a->share = f;
	place_rate_add(&t->asked, p->now_us, 1);
	if (a->key == NULL) {
		m->ncalls++;
		/* listed among the accounts, which count calls too */
		fair_touch(get_account(p, m->fair, name), p->now_us);
		return;
	}
	note_objective(m, a);
	place_rate_add(&t->arrivals, p->now_us, tokens);
	m->mean_tokens += m->mean_tokens == 0
	    ? tokens
	    : MEAN_WEIGHT * (tokens - m->mean_tokens);
}

void
place_admit_set_blocked(struct place *p, struct place_ask *a, bool is_blocked)
{
	p->admit->nblocked += is_blocked;
	p->admit->nblocked -= a->is_blocked;
	a->is_blocked = is_blocked;
}

/*
 * Note whether an account's request waits for room that others get. A late one
 * waits for room that none of them needs.
 */
static void
set_backlogged(struct place *p, struct place_ask *a, bool is_backlogged)
{
	if (a->is_backlogged == is_backlogged)
		return;
	a->is_backlogged = is_backlogged;
	if (is_backlogged) {
		fair_start_backlog(p->admit->fair, a->share);
		a->share->blocked--;
	} else {
		a->share->blocked++;
	}
}

void
place_admit_set_held(struct place *p, struct place_ask *a, bool is_held)
{
	p->admit->nheld += is_held;
	p->admit->nheld -= a->is_held;
	a->is_held = is_held;
	place_admit_update_backlog(p, a);
}

void
place_admit_update_backlog(struct place *p, struct place_ask *a)
{
	set_backlogged(p, a, a->is_held && !a->is_late);
}

void
place_admit_dequeue(struct place *p, struct place_ask *a)
{
	place_admit_set_held(p, a, false);
	place_admit_set_blocked(p, a, false);
	a->share->queued--;
	a->share->blocked--;
	p->admit->ncalls -= a->key == NULL;
	if (!a->granted)
		fair_note_idle(place_admit_fair(p, a), a->share);
}

void
place_admit_grant(struct place *p, struct place_ask *a)
{
	struct place_admit *m = p->admit;
	struct place_admit_account *t = a->share->context;

	if (m->nheld > 0 && a->key != NULL)
		fair_update_gap(m->fair);
	a->charge = charge_of(a, a->unread_tokens);
	a->share->running++;
	fair_touch(a->share, p->now_us);
	fair_charge(place_admit_fair(p, a), a->share, a->charge);
	t->total_granted++;
	place_rate_add(&t->granted, p->now_us, 1);
	if (a->key != NULL)
		place_rate_add(
		    &m->grants, p->now_us, charge_of(a, a->prompt_tokens));
}

/* The part of its charge that a request has used when it ends. */
static double
used_part(const struct place_ask *a, enum place_outcome outcome)
{
	switch (outcome) {
	case PLACE_FIRST_BYTE:
	case PLACE_SERVED:
	case PLACE_ENDPOINT_FAILED:
		return 1;
	case PLACE_ABANDONED:
		return a->has_first_byte ? 1 : 0;
	case PLACE_NOT_SENT:
	case PLACE_ENDPOINT_FULL:
	case PLACE_STATE_MISMATCH:
		break;
	}
	return 0;
}

void
place_admit_end(
    struct place *p, struct place_ask *a, enum place_outcome outcome)
{
	fair_settle(place_admit_fair(p, a), a->share, a->charge,
	    a->charge * used_part(a, outcome));
	fair_touch(a->share, p->now_us);
	a->share->running--;
	fair_note_idle(place_admit_fair(p, a), a->share);
}

void
place_admit_refuse(struct place *p, const struct place_ask *a)
{
	struct place_admit_account *t = a->share->context;

	(void)p;
	t->total_refused++;
}

/* ---- what others are told ----------------------------------------------- */

static void
add_requests(const struct fair_account *f, struct place_account_info *out)
{
	const struct place_admit_account *t = f->context;

	out->queued += f->queued;
	out->running += f->running;
	out->granted += t->total_granted;
	out->refused += t->total_refused;
}

/* The charge is that of engines, whose shares hold across owners. */
static void
describe(const struct place *p, const struct fair_account *f,
    struct place_account_info *out)
{
	const struct fair_account *calls = fair_find(p->admit->calls, f->name);

	memset(out, 0, sizeof(*out));
	out->name = f->name;
	out->weight = f->weight;
	out->charge_milli = f->charge_milli;
	add_requests(f, out);
	if (calls != NULL)
		add_requests(calls, out);
}

size_t
place_account_count(const struct place *p)
{
	return fair_count(p->admit->fair);
}

void
place_account_get(
    const struct place *p, size_t i, struct place_account_info *out)
{
	describe(p, fair_at(p->admit->fair, i), out);
}

/* An account's charges that other owners were not told. */
static uint64_t
unsent_charge(const struct fair_account *f)
{
	const struct place_admit_account *t = f->context;

	return f->charge_milli - t->reported_milli;
}

static int
compare_unsent(const void *x, const void *y)
{
	const struct fair_account *a = *(struct fair_account *const *)x;
	const struct fair_account *b = *(struct fair_account *const *)y;

	if (unsent_charge(a) != unsent_charge(b))
		return unsent_charge(a) > unsent_charge(b) ? -1 : 1;
	return strcmp(a->name, b->name);
}

size_t
place_take_charges(struct place *p, struct place_account_info *out, size_t max)
{
	size_t i, n = 0, count = fair_count(p->admit->fair);
	struct fair_account **all =
	    mem_alloc(count + 1, sizeof(struct fair_account *));
	struct place_admit_account *t;

	for (i = 0; i < count; i++)
		if (unsent_charge(fair_at(p->admit->fair, i)) > 0)
			all[n++] = fair_at(p->admit->fair, i);
	qsort(all, n, sizeof(struct fair_account *), compare_unsent);
	if (n > max)
		n = max;
	for (i = 0; i < n; i++) {
		t = all[i]->context;
		t->reported_milli = all[i]->charge_milli;
		describe(p, all[i], &out[i]);
	}
	free(all);
	return n;
}

void
place_set_remote_charge(struct place *p, uint64_t now_us, uint32_t owner,
    uint64_t process, const char *account, uint64_t total_milli)
{
	struct fair_account *f = get_account(p, p->admit->fair, account);

	fair_touch(f, now_us);
	fair_set_remote_charge(p->admit->fair, owner, process, f, total_milli);
}

void
place_get_gap(const struct place *p, struct place_gap *out)
{
	struct fair_gap gap;

	fair_get_gap(p->admit->fair, &gap);
	out->now_milli = gap.now_milli;
	out->largest_milli = gap.largest_milli;
	out->bound_milli = gap.bound_milli;
	out->backlogged = gap.backlogged;
}

/* ---- who is over its share ---------------------------------------------- */

static void
find_least(const struct fair *fair, struct place_least *out)
{
	out->is_known = fair_least_counter(fair, &out->counter);
}

void
place_admit_update_least(struct place *p)
{
	find_least(p->admit->fair, &p->admit->least);
	find_least(p->admit->calls, &p->admit->calls_least);
}

/* What an account has had above the least counter, in deficit bounds. */
static double
excess_over(const struct place *p, const struct place_ask *a,
    const struct place_least *least)
{
	double bound = fair_bound(place_admit_fair(p, a));

	return bound > 0 && least->is_known
	    ? (a->share->counter - least->counter) / bound
	    : 0;
}

double
place_admit_share_excess(const struct place *p, const struct place_ask *a)
{
	return excess_over(
	    p, a, a->key == NULL ? &p->admit->calls_least : &p->admit->least);
}

bool
place_admit_is_over_share(const struct place *p, const struct place_ask *a)
{
	struct place_least least = {0};

	find_least(place_admit_fair(p, a), &least);
	return excess_over(p, a, &least) > 1;
}

bool
place_admit_shares_calls(const struct place *p)
{
	return p->admit->ops == &place_admit_shares && p->config != NULL &&
	    p->config->naccounts > 0;
}

bool
place_admit_may_yield(const struct place *p, const struct place_ask *late,
    const struct place_ask *timely)
{
	if (!place_admit_shares_calls(p))
		return true;
	if (late->share == timely->share)
		return timely->priority <= late->priority;
	return place_admit_share_excess(p, timely) <= 1;
}
