#include <math.h>
#include <stdlib.h>

#include "sched/sched_internal.h"
#include "util/mem.h"

/*
 * Fairness between teams. Each team has a virtual counter: the charge of its
 * requests over its weight. The team with the least counter is served next.
 * Affinity may prefer another team only while the counter of that team lies
 * within the deficit bound above the least one.
 */

#define TEAM_OUTPUT_TOKEN_WEIGHT   2.0 /* in prompt tokens */
#define TEAM_SERVICE_TOKENS	   100.0 /* charge of a call without tokens */
#define TEAM_MEAN_WEIGHT	   0.05 /* of the newest value in a mean */
#define TEAM_OUTPUT_TOKENS_DEFAULT 64.0 /* before a request was delivered */

/* Deficit bound in requests of mean charge, by objective. */
#define TEAM_BOUND_REQUESTS_STALL 4.0
#define TEAM_BOUND_REQUESTS_BATCH 12.0

/*
 * In deficit bounds: how far a remote charge may raise a counter above the
 * least one, and how far a counter may lie below that of a served team.
 */
#define TEAM_REMOTE_BOUNDS_MAX 8.0
#define TEAM_CREDIT_BOUNDS_MAX 8.0

#define TEAM_IDLE_RATE	       0.001 /* requests per second */

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

/* Returns the team of a name; creates it if necessary. */
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

/* Whether the team's own limit of concurrent requests allows another one. */
bool
team_may_run(const struct team *t)
{
	return t->max_concurrent == 0 || t->running < t->max_concurrent;
}

/* Returns the deficit bound, in units of the counters. */
double
team_deficit_bound(const struct sched *s)
{
	double requests = s->options.objective == SETTINGS_BATCH
	    ? TEAM_BOUND_REQUESTS_BATCH
	    : TEAM_BOUND_REQUESTS_STALL;

	return requests * s->mean_charge;
}

/*
 * Finds the least counter of the teams that have requests. Returns false
 * when there is none.
 */
static bool
team_least_counter(const struct sched *s, double *least)
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

/*
 * Notes a new request of a team. A team that was idle keeps no credit: its
 * counter is lifted to the least one of the busy teams.
 */
void
team_activate(struct sched *s, struct team *t, uint64_t now_us)
{
	double least = 0.0;

	rate_add(&t->request_rate, &t->rate_updated_us, now_us);
	if (t->queued == 0 && t->running == 0 && sched_guards.lift) {
		if (team_least_counter(s, &least) && least > s->counter_floor)
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

/*
 * Notes that a request of a team has ended. When no team has any left, the
 * counter of the last one becomes the floor.
 */
void
team_note_idle(struct sched *s, const struct team *t)
{
	double least = 0.0;

	if (t->queued > 0 || t->running > 0 || team_least_counter(s, &least))
		return;
	if (t->counter > s->counter_floor)
		s->counter_floor = t->counter;
}

/* Deactivates teams that have no requests and recently had none. */
void
team_prune_idle(struct sched *s, uint64_t now_us)
{
	struct team *t;
	uint32_t i = 0;

	while (i < s->nactive) {
		t = s->active_teams[i];
		if (t->queued > 0 || t->running > 0 ||
		    rate_at(t->request_rate, t->rate_updated_us, now_us) >
			TEAM_IDLE_RATE) {
			i++;
			continue;
		}
		t->is_active = false;
		s->active_teams[i] = s->active_teams[--s->nactive];
		s->active_teams[i]->active_index = i;
	}
}

/* Updates the sum of the weights of the active teams. */
void
team_sum_weights(struct sched *s)
{
	uint32_t i;

	s->active_weight = 0.0;
	for (i = 0; i < s->nactive; i++)
		s->active_weight += s->active_teams[i]->weight;
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
	    t->weight / weights;
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

/*
 * Limits the credit of teams that could not be served.
 *
 * counter: of a team that was served.
 */
static void
team_limit_credit(struct sched *s, double counter)
{
	double least = counter - TEAM_CREDIT_BOUNDS_MAX * team_deficit_bound(s);
	uint32_t i;

	for (i = 0; i < s->nactive; i++) {
		if (s->active_teams[i]->counter < least)
			s->active_teams[i]->counter = least;
	}
}

/* Charges a team and updates the mean charge. */
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
	double demand = (double)t->queued + t->running;

	return demand > TEAM_FLOOD_SEATS_FACTOR * seats &&
	    demand * other_weight >
	    TEAM_FLOOD_DEMAND_FACTOR * (total_demand - demand) * t->weight;
}

/* Marks the teams that ask for far more than the mean of the others. */
void
team_mark_flooding(struct sched *s, uint64_t now_us)
{
	double rates = 0.0, rate, other_weight, total_demand = 0.0;
	double seats = team_engine_seats(s);
	struct team *t;
	uint32_t i;

	for (i = 0; i < s->nactive; i++)
		total_demand += (double)s->active_teams[i]->queued +
		    s->active_teams[i]->running;
	for (i = 0; i < s->nactive; i++)
		rates += rate_at(s->active_teams[i]->request_rate,
		    s->active_teams[i]->rate_updated_us, now_us);
	for (i = 0; i < s->nactive; i++) {
		t = s->active_teams[i];
		rate = rate_at(t->request_rate, t->rate_updated_us, now_us);
		other_weight = s->active_weight - t->weight;
		t->is_flooding = other_weight > 0.0 &&
		    (rate * other_weight > TEAM_FLOOD_RATE_FACTOR *
				(rates - rate) * t->weight ||
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
	    t->running * s->active_weight >= t->weight * p->seats;
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

/*
 * Finds the least and the most service that backlogged teams have received.
 * Returns false when no team is backlogged.
 */
static bool
team_served_range(const struct sched *s, double *least, double *most)
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

/*
 * Notes that a request of a team is about to be queued. When the team becomes
 * backlogged, its service starts within the range of the backlogged teams: the
 * gap counts only what happens from now on.
 */
void
team_start_backlog(struct sched *s, struct team *t)
{
	double least = 0.0, most = 0.0;

	if (t->queued > 0 || !team_served_range(s, &least, &most))
		return;
	if (t->unbounded_counter < least)
		t->unbounded_counter = least;
	if (t->unbounded_counter > most)
		t->unbounded_counter = most;
}

/* Updates the largest gap between backlogged teams. */
void
team_update_gap(struct sched *s)
{
	double least = 0.0, most = 0.0, milli;

	team_served_range(s, &least, &most);
	milli = (most - least) * TEAM_MILLI;
	if (milli > (double)s->largest_gap_milli)
		s->largest_gap_milli = (uint64_t)milli;
}

static struct remote_charge *
team_find_remote_charge(struct team *t, uint32_t owner)
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
	struct remote_charge *r = team_find_remote_charge(t, owner);
	double least = 0.0, limit, delta;

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
	if (!team_least_counter(s, &least) || least < s->counter_floor)
		least = s->counter_floor;
	limit = least + TEAM_REMOTE_BOUNDS_MAX * team_deficit_bound(s);
	delta /= t->weight;
	if (sched_guards.remote && t->counter + delta > limit)
		delta = t->counter < limit ? limit - t->counter : 0.0;
	t->counter += delta;
}

/*
 * Returns a team's queued and running requests in thousandths of its fair
 * share of the engines' seats.
 */
static uint32_t
team_load_milli(const struct sched *s, const struct team *t)
{
	double demand = (double)t->queued + t->running;
	double seats = team_engine_seats(s), load;

	if (demand == 0.0)
		return 0;
	if (seats == 0.0)
		return UINT32_MAX;
	load = s->active_weight > t->weight ? s->active_weight : t->weight;
	load *= TEAM_MILLI * demand / (t->weight * seats);
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
