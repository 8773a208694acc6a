#include <math.h>
#include <stdlib.h>

#include "sched/sched_internal.h"
#include "util/mem.h"

/*
 * Fairness between teams: a virtual counter each, charge over weight. The
 * team with the least is served next; affinity may prefer another one only
 * while its counter lies within the deficit bound.
 */

#define TEAM_OUTPUT_WEIGHT  2.0 /* an output token against a prompt token */
#define TEAM_SERVICE_TOKENS 100.0 /* charge of a call without tokens */
#define TEAM_MEAN_WEIGHT    0.05
#define TEAM_OUTPUT_UNKNOWN 64.0
#define TEAM_BOUND_STALL    4.0 /* requests of mean charge */
#define TEAM_BOUND_BATCH    12.0
#define TEAM_REMOTE_BOUNDS  8.0 /* deficit bounds a remote charge may add */
#define TEAM_CREDIT_BOUNDS  8.0 /* deficit bounds a team may lag behind */
#define TEAM_QUIET_RATE	    0.001
#define TEAM_FLOOD	    6.0 /* times the mean of the others */
#define TEAM_FLOOD_WANTS    6.0 /* the same of requests at a time */
#define TEAM_FLOOD_SEATS    1.5 /* and times all engines' seats */
#define TEAM_MILLI	    1000.0

struct team *
team_get(struct sched *s, const char *name)
{
	struct team *t = map_get_str(s->teams, name);

	if (t != NULL)
		return t;
	t = mem_alloc(1, sizeof(*t));
	t->name = mem_string(name);
	t->weight = 1.0;
	map_set_str(s->teams, name, t);
	return t;
}

void
team_free(struct team *t)
{
	free(t->remote_charges);
	free(t->name);
	free(t);
}

/* Its own limit leaves room for one more. */
bool
team_may_run(const struct team *t)
{
	return t->max_concurrent == 0 || t->running < t->max_concurrent;
}

double
team_deficit_bound(const struct sched *s)
{
	double requests = s->options.objective == SETTINGS_BATCH
	    ? TEAM_BOUND_BATCH
	    : TEAM_BOUND_STALL;

	return requests * s->mean_charge;
}

static bool
team_least(const struct sched *s, double *least)
{
	const struct team *t;
	bool found = false;
	uint32_t i;

	for (i = 0; i < s->nactive; i++) {
		t = s->active_teams[i];
		if (t->queued == 0 && t->running == 0)
			continue;
		if (!found || t->counter < *least)
			*least = t->counter;
		found = true;
	}
	return found;
}

/* A request has come: a team back from idle keeps no credit. */
void
team_activate(struct sched *s, struct team *t, uint64_t now_us)
{
	double least = 0.0;

	rate_add(&t->request_rate, &t->rate_updated_us, now_us);
	if (t->queued == 0 && t->running == 0 && sched_guards.lift) {
		if (team_least(s, &least) && least > s->counter_floor)
			s->counter_floor = least;
		if (t->counter < s->counter_floor)
			t->counter = s->counter_floor;
	}
	if (t->is_active)
		return;
	t->is_active = true;
	t->active_index = s->nactive;
	SCHED_GROW(s->active_teams, s->nactive, s->active_cap, struct team *);
	s->active_teams[s->nactive++] = t;
}

/* The last team to fall idle leaves its counter as the floor. */
void
team_note_idle(struct sched *s, const struct team *t)
{
	double least = 0.0;

	if (t->queued > 0 || t->running > 0 || team_least(s, &least))
		return;
	if (t->counter > s->counter_floor)
		s->counter_floor = t->counter;
}

/* Drop teams without work and recent requests from the active ones. */
void
team_prune_idle(struct sched *s, uint64_t now_us)
{
	struct team *t;
	uint32_t i = 0;

	while (i < s->nactive) {
		t = s->active_teams[i];
		if (t->queued > 0 || t->running > 0 ||
		    rate_at(t->request_rate, t->rate_updated_us, now_us) >
			TEAM_QUIET_RATE) {
			i++;
			continue;
		}
		t->is_active = false;
		s->active_teams[i] = s->active_teams[--s->nactive];
		s->active_teams[i]->active_index = i;
	}
}

/* Sum the weights of the active teams. */
void
team_sum_weights(struct sched *s)
{
	uint32_t i;

	s->active_weight = 0.0;
	for (i = 0; i < s->nactive; i++)
		s->active_weight += s->active_teams[i]->weight;
}

/* A team's part of its fair share that its recent requests take, 0 to 1. */
double
team_share_factor(const struct sched *s, const struct team *t, uint64_t now_us)
{
	double weights = s->active_weight, rate, share;

	if (t == NULL)
		return 1.0;
	rate = rate_at(t->request_rate, t->rate_updated_us, now_us);
	if (rate <= 0.0 || weights <= 0.0)
		return 1.0;
	share = rate_at(s->request_rate, s->rate_updated_us, now_us) *
	    t->weight / weights;
	return share < rate ? share / rate : 1.0;
}

/* The charge of a request before it has run. */
double
team_estimate_charge(const struct sched *s, const struct item *it)
{
	double output = it->team->mean_output_tokens;

	if (s->options.charge == SETTINGS_CHARGE_REQUESTS)
		return it->kind_weight;
	if (it->adapter == NULL || it->adapter->is_service)
		return TEAM_SERVICE_TOKENS * it->kind_weight;
	if (output <= 0.0)
		output = TEAM_OUTPUT_UNKNOWN;
	if (it->max_tokens > 0 && output > it->max_tokens)
		output = it->max_tokens;
	return it->prompt_tokens + TEAM_OUTPUT_WEIGHT * output;
}

/* Teams that could not be served keep a bounded credit only. */
static void
team_limit_credit(struct sched *s, double counter)
{
	double least = counter - TEAM_CREDIT_BOUNDS * team_deficit_bound(s);
	uint32_t i;

	for (i = 0; i < s->nactive; i++) {
		if (s->active_teams[i]->counter < least)
			s->active_teams[i]->counter = least;
	}
}

void
team_add_charge(struct sched *s, struct team *t, double charge)
{
	double part = charge / t->weight;

	t->counter += part;
	t->unbounded_counter += part;
	if (charge <= 0.0)
		return;
	s->mean_charge += s->mean_charge == 0.0
	    ? part
	    : TEAM_MEAN_WEIGHT * (part - s->mean_charge);
	if (sched_guards.bound)
		team_limit_credit(s, t->counter);
}

static double
team_engine_seats(const struct sched *s)
{
	const struct pool *p;
	double seats = 0.0;
	size_t i;

	for (i = 0; i < map_count(s->pools); i++) {
		p = map_at(s->pools, i);
		seats += p->is_service ? 0 : p->seats;
	}
	return seats;
}

/*
 * Whether a team asks for more than all seats and for far more than the
 * others: its rate, which is slow to follow, does not tell yet.
 */
static bool
team_overruns(const struct team *t, double seats, double all, double others)
{
	double wanted = (double)t->queued + t->running;

	return wanted > TEAM_FLOOD_SEATS * seats &&
	    wanted * others > TEAM_FLOOD_WANTS * (all - wanted) * t->weight;
}

/* Mark the teams that ask for far more than the mean of the others. */
void
team_mark_flooding(struct sched *s, uint64_t now_us)
{
	double rates = 0.0, rate, others, all = 0.0;
	double seats = team_engine_seats(s);
	struct team *t;
	uint32_t i;

	for (i = 0; i < s->nactive; i++)
		all += (double)s->active_teams[i]->queued +
		    s->active_teams[i]->running;
	for (i = 0; i < s->nactive; i++)
		rates += rate_at(s->active_teams[i]->request_rate,
		    s->active_teams[i]->rate_updated_us, now_us);
	for (i = 0; i < s->nactive; i++) {
		t = s->active_teams[i];
		rate = rate_at(t->request_rate, t->rate_updated_us, now_us);
		others = s->active_weight - t->weight;
		t->is_flooding = others > 0.0 &&
		    (rate * others > TEAM_FLOOD * (rates - rate) * t->weight ||
			team_overruns(t, seats, all, others));
	}
}

/* Whether a flooding team runs its fair share of a pool already. */
bool
team_is_over_share(
    const struct sched *s, const struct team *t, const struct pool *p)
{
	return t->is_flooding &&
	    t->running * s->active_weight >= t->weight * p->seats;
}

static double
team_final_charge(const struct sched *s, const struct item *it,
    const struct sched_usage *usage)
{
	double tokens =
	    usage->tokens_in + TEAM_OUTPUT_WEIGHT * usage->tokens_out;

	if (s->options.charge == SETTINGS_CHARGE_REQUESTS)
		return usage->outcome == SCHED_DELIVERED ? it->kind_weight
							 : 0.0;
	switch (usage->outcome) {
	case SCHED_DELIVERED:
		return tokens > 0.0 ? tokens : team_estimate_charge(s, it);
	case SCHED_FAILED:
	case SCHED_CANCELLED:
		return tokens;
	case SCHED_NOT_SENT:
	case SCHED_NOT_LOADED:
	case SCHED_BUSY:
		break;
	}
	return 0.0;
}

/* Replace the provisional charge of a request by what it used. */
void
team_settle_charge(
    struct sched *s, struct item *it, const struct sched_usage *usage)
{
	struct team *t = it->team;
	double charge = team_final_charge(s, it, usage);

	t->counter += (charge - it->provisional_charge) / t->weight;
	t->unbounded_counter += (charge - it->provisional_charge) / t->weight;
	it->provisional_charge = 0.0;
	t->charge_milli += (uint64_t)(charge * TEAM_MILLI + 0.5);
	if (usage->outcome != SCHED_DELIVERED || usage->tokens_out == 0)
		return;
	t->mean_output_tokens += t->mean_output_tokens == 0.0
	    ? usage->tokens_out
	    : TEAM_MEAN_WEIGHT * (usage->tokens_out - t->mean_output_tokens);
}

/* The spread of what backlogged teams were served. */
static bool
team_spread(const struct sched *s, double *least, double *most)
{
	const struct team *t;
	bool found = false;
	uint32_t i;

	for (i = 0; i < s->nactive; i++) {
		t = s->active_teams[i];
		if (t->queued == 0 || !team_may_run(t))
			continue;
		if (!found || t->unbounded_counter < *least)
			*least = t->unbounded_counter;
		if (!found || t->unbounded_counter > *most)
			*most = t->unbounded_counter;
		found = true;
	}
	return found;
}

/* A team begins to wait: the gap counts from what the others have. */
void
team_start_backlog(struct sched *s, struct team *t)
{
	double least = 0.0, most = 0.0;

	if (t->queued > 0 || !team_spread(s, &least, &most))
		return;
	if (t->unbounded_counter < least)
		t->unbounded_counter = least;
	if (t->unbounded_counter > most)
		t->unbounded_counter = most;
}

void
team_update_gap(struct sched *s)
{
	double least = 0.0, most = 0.0, milli;

	team_spread(s, &least, &most);
	milli = (most - least) * TEAM_MILLI;
	if (milli > (double)s->largest_gap_milli)
		s->largest_gap_milli = (uint64_t)milli;
}

static struct remote_charge *
team_remote(struct team *t, uint32_t owner)
{
	size_t i;

	for (i = 0; i < t->nremote_charges; i++) {
		if (t->remote_charges[i].owner == owner)
			return &t->remote_charges[i];
	}
	return NULL;
}

void
sched_set_remote_charge(
    struct sched *s, uint32_t owner, const char *team, uint64_t charge_milli)
{
	struct team *t = team_get(s, team);
	struct remote_charge *r = team_remote(t, owner);
	double least = 0.0, top, delta;

	if (r == NULL) {
		t->remote_charges = mem_resize(t->remote_charges,
		    t->nremote_charges + 1, sizeof(*t->remote_charges));
		r = &t->remote_charges[t->nremote_charges++];
		r->owner = owner;
		r->total_milli = charge_milli;
		return;
	}
	delta = charge_milli > r->total_milli
	    ? (double)(charge_milli - r->total_milli) / TEAM_MILLI
	    : 0.0;
	r->total_milli = charge_milli;
	if (delta == 0.0)
		return;
	if (!team_least(s, &least) || least < s->counter_floor)
		least = s->counter_floor;
	top = least + TEAM_REMOTE_BOUNDS * team_deficit_bound(s);
	delta /= t->weight;
	if (sched_guards.remote && t->counter + delta > top)
		delta = t->counter < top ? top - t->counter : 0.0;
	t->counter += delta;
}

/* Thousandths of the seats that its weight gives it that a team asks for. */
static uint32_t
team_load_milli(const struct sched *s, const struct team *t)
{
	double wanted = (double)t->queued + t->running;
	double seats = team_engine_seats(s), load;

	if (wanted == 0.0)
		return 0;
	if (seats == 0.0)
		return UINT32_MAX;
	load = s->active_weight > t->weight ? s->active_weight : t->weight;
	load *= TEAM_MILLI * wanted / (t->weight * seats);
	return load < UINT32_MAX ? (uint32_t)load : UINT32_MAX;
}

size_t
sched_team_count(const struct sched *s)
{
	return map_count(s->teams);
}

void
sched_team_at(const struct sched *s, size_t i, struct sched_team_usage *out)
{
	const struct team *t = map_at(s->teams, i);

	out->team = t->name;
	out->charge_milli = t->charge_milli;
	out->queued = t->queued;
	out->running = t->running;
	out->load_milli = team_load_milli(s, t);
}
