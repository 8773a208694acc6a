#include <math.h>
#include <stdlib.h>

#include "sched/sched_internal.h"
#include "util/mem.h"

/*
 * Fairness between teams, by the accounts of the fair package. Affinity may
 * prefer another team than the one with the least counter only within the
 * deficit bound.
 */

#define TEAM_OUTPUT_TOKEN_WEIGHT   2.0 /* in prompt tokens */
#define TEAM_SERVICE_TOKENS	   100.0 /* charge of a call without tokens */
#define TEAM_MEAN_WEIGHT	   0.05 /* of the newest value in a mean */
#define TEAM_OUTPUT_TOKENS_DEFAULT 64.0 /* before a request was delivered */

/* Deficit bound in requests of mean charge, by objective. */
#define TEAM_BOUND_REQUESTS_STALL 4.0
#define TEAM_BOUND_REQUESTS_BATCH 12.0

#define TEAM_IDLE_RATE		  0.001 /* requests per second */

/*
 * A team floods when its request rate, for its weight, exceeds the mean of the
 * others by a factor. The rate follows a change slowly. A team therefore also
 * floods when its queued and running requests exceed both the mean of the
 * others and the seats of all engines by a factor.
 */
#define TEAM_FLOOD_RATE_FACTOR	 6.0
#define TEAM_FLOOD_DEMAND_FACTOR 6.0
#define TEAM_FLOOD_SEATS_FACTOR	 1.5

#define TEAM_MILLI		 1000.0

struct fair *
team_create_fair(const struct sched_options *options)
{
	struct fair_options o = {.guards = &sched_guards.fair};

	o.bound_requests = options->objective == SETTINGS_BATCH
	    ? TEAM_BOUND_REQUESTS_BATCH
	    : TEAM_BOUND_REQUESTS_STALL;
	return fair_create(&o);
}

uint32_t
team_active_count(const struct sched *s)
{
	return fair_active_count(s->fair);
}

struct team *
team_active_at(const struct sched *s, uint32_t i)
{
	return fair_active_at(s->fair, i)->context;
}

/* Returns the team of a name; creates it if necessary. */
struct team *
team_get(struct sched *s, const char *name)
{
	struct team *t = map_get_str(s->teams, name);

	if (t != NULL)
		return t;
	t = mem_alloc(1, sizeof(*t));
	t->account = fair_get(s->fair, name);
	t->account->context = t;
	map_set_str(s->teams, name, t);
	return t;
}

void
team_free(struct team *t)
{
	free(t);
}

/* Whether the team's own limit of concurrent requests allows another one. */
bool
team_may_run(const struct team *t)
{
	return fair_may_run(t->account);
}

/* Returns the deficit bound, in units of the counters. */
double
team_deficit_bound(const struct sched *s)
{
	return fair_bound(s->fair);
}

/* Notes a new request of a team. */
void
team_activate(struct sched *s, struct team *t, uint64_t now_us)
{
	rate_add(&t->request_rate, &t->rate_updated_us, now_us);
	fair_activate(s->fair, t->account);
}

/* Notes that a request of a team has ended. */
void
team_note_idle(struct sched *s, const struct team *t)
{
	fair_note_idle(s->fair, t->account);
}

/* Deactivates teams that have no requests and recently had none. */
void
team_prune_idle(struct sched *s, uint64_t now_us)
{
	struct team *t;
	uint32_t i = 0;

	while (i < team_active_count(s)) {
		t = team_active_at(s, i);
		if (t->account->queued > 0 || t->account->running > 0 ||
		    rate_at(t->request_rate, t->rate_updated_us, now_us) >
			TEAM_IDLE_RATE) {
			i++;
			continue;
		}
		fair_deactivate(s->fair, t->account);
	}
}

/* Updates the sum of the weights of the active teams. */
void
team_sum_weights(struct sched *s)
{
	uint32_t i;

	s->active_weight = 0.0;
	for (i = 0; i < team_active_count(s); i++)
		s->active_weight += team_active_at(s, i)->account->weight;
}

/*
 * Returns the factor, 0 to 1, by which the stall of a team counts: its fair
 * share of the recent request rate over its own recent rate, at most 1.
 */
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
	    t->account->weight / weights;
	return share < rate ? share / rate : 1.0;
}

/* Estimates the charge of a request before it has run. */
double
team_estimate_charge(const struct sched *s, const struct item *it)
{
	double output = it->team->mean_output_tokens;

	if (s->options.charge == SETTINGS_CHARGE_REQUESTS)
		return it->kind_weight;
	if (it->adapter == NULL || it->adapter->is_service)
		return TEAM_SERVICE_TOKENS * it->kind_weight;
	if (output <= 0.0)
		output = TEAM_OUTPUT_TOKENS_DEFAULT;
	if (it->max_tokens > 0 && output > it->max_tokens)
		output = it->max_tokens;
	return it->prompt_tokens + TEAM_OUTPUT_TOKEN_WEIGHT * output;
}

/* Charges a team for a request that is about to run. */
void
team_add_charge(struct sched *s, struct team *t, double charge)
{
	fair_charge(s->fair, t->account, charge);
}

/* Returns the seats of all engines that are not leaving. */
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
 * Whether a team's queued and running requests exceed all seats and are far
 * more than those of the others. This detects a sudden flood, which the
 * team's rate shows only later.
 *
 * total_demand: queued and running requests of all teams.
 * other_weight: sum of the other teams' weights.
 */
static bool
team_exceeds_seats(const struct team *t, double seats, double total_demand,
    double other_weight)
{
	double demand = (double)t->account->queued + t->account->running;

	return demand > TEAM_FLOOD_SEATS_FACTOR * seats &&
	    demand * other_weight > TEAM_FLOOD_DEMAND_FACTOR *
		(total_demand - demand) * t->account->weight;
}

/* Marks the teams that ask for far more than the mean of the others. */
void
team_mark_flooding(struct sched *s, uint64_t now_us)
{
	double rates = 0.0, rate, other_weight, total_demand = 0.0;
	double seats = team_engine_seats(s);
	struct team *t;
	uint32_t i;

	for (i = 0; i < team_active_count(s); i++)
		total_demand += (double)team_active_at(s, i)->account->queued +
		    team_active_at(s, i)->account->running;
	for (i = 0; i < team_active_count(s); i++)
		rates += rate_at(team_active_at(s, i)->request_rate,
		    team_active_at(s, i)->rate_updated_us, now_us);
	for (i = 0; i < team_active_count(s); i++) {
		t = team_active_at(s, i);
		rate = rate_at(t->request_rate, t->rate_updated_us, now_us);
		other_weight = s->active_weight - t->account->weight;
		t->is_flooding = other_weight > 0.0 &&
		    (rate * other_weight > TEAM_FLOOD_RATE_FACTOR *
				(rates - rate) * t->account->weight ||
			team_exceeds_seats(
			    t, seats, total_demand, other_weight));
	}
}

/* Whether a team floods and runs at least its fair share of a pool already. */
bool
team_is_over_share(
    const struct sched *s, const struct team *t, const struct pool *p)
{
	return t->is_flooding &&
	    t->account->running * s->active_weight >=
	    t->account->weight * p->seats;
}

/* Returns the charge of a request that has ended. */
static double
team_final_charge(const struct sched *s, const struct item *it,
    const struct sched_usage *usage)
{
	double tokens =
	    usage->tokens_in + TEAM_OUTPUT_TOKEN_WEIGHT * usage->tokens_out;

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

/* Replaces the provisional charge of a request by its final one. */
void
team_settle_charge(
    struct sched *s, struct item *it, const struct sched_usage *usage)
{
	struct team *t = it->team;
	double charge = team_final_charge(s, it, usage);

	fair_settle(s->fair, t->account, it->provisional_charge, charge);
	it->provisional_charge = 0.0;
	if (usage->outcome != SCHED_DELIVERED || usage->tokens_out == 0)
		return;
	t->mean_output_tokens += t->mean_output_tokens == 0.0
	    ? usage->tokens_out
	    : TEAM_MEAN_WEIGHT * (usage->tokens_out - t->mean_output_tokens);
}

void
sched_set_remote_charge(
    struct sched *s, uint32_t owner, const char *team, uint64_t charge_milli)
{
	fair_set_remote_charge(
	    s->fair, owner, 0, team_get(s, team)->account, charge_milli);
}

/*
 * Returns a team's queued and running requests in thousandths of its fair
 * share of the engines' seats.
 */
static uint32_t
team_load_milli(const struct sched *s, const struct team *t)
{
	double demand = (double)t->account->queued + t->account->running;
	double seats = team_engine_seats(s), load;

	if (demand == 0.0)
		return 0;
	if (seats == 0.0)
		return UINT32_MAX;
	load = s->active_weight > t->account->weight ? s->active_weight
						     : t->account->weight;
	load *= TEAM_MILLI * demand / (t->account->weight * seats);
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

	out->team = t->account->name;
	out->charge_milli = t->account->charge_milli;
	out->queued = t->account->queued;
	out->running = t->account->running;
	out->load_milli = team_load_milli(s, t);
}
