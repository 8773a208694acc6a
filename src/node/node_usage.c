#include <stdlib.h>
#include <string.h>

#include "node/node_internal.h"
#include "util/mem.h"

/*
 * The usage of teams at an owner, sent to the other owners of its region so
 * that scheduling is fair over all of them. The totals are cumulative, so a
 * later summary makes up for a delayed or lost one. With many neighbours and
 * teams a summary has room for some teams only: those with the largest unsent
 * usage, and one in rotation, so that every team is sent eventually.
 */

/* Teams' totals per second that one instance receives from all others. */
#define USAGE_TEAMS_PER_SECOND 320
/* Teams in one summary, at least. */
#define USAGE_TEAMS_MIN		   4
#define USAGE_SUMMARIES_PER_SECOND (1000 * 1000ULL / NODE_SUMMARY_US)

/* A team's totals in the last summary that named it. */
struct usage_sent {
	uint64_t charge_milli;
	uint32_t load_milli;
};

/* A team that may be named in a summary, and its unsent usage. */
struct usage_candidate {
	struct sched_team_usage team;
	size_t index;
	double charge, load;
	double unsent_share; /* its share of all unsent usage */
};

static struct usage_sent *
get_usage_sent(struct node *n, const char *team)
{
	struct usage_sent *sent = map_get_str(n->usage_sent, team);

	if (sent == NULL) {
		sent = mem_alloc(1, sizeof(*sent));
		(void)map_set_str(n->usage_sent, team, sent);
	}
	return sent;
}

/* The number of teams in a summary. */
static size_t
usage_team_limit(const struct node *n)
{
	const struct member *m;
	size_t i, neighbours = 0,
		  limit = USAGE_TEAMS_PER_SECOND / USAGE_SUMMARIES_PER_SECOND;

	for (i = 0; i < member_view_count(n->view); i++) {
		m = member_view_at(n->view, i);
		if (m->id != n->id &&
		    strcmp(m->region, n->settings->region) == 0)
			neighbours++;
	}
	if (neighbours > 0)
		limit /= neighbours;
	return limit < USAGE_TEAMS_MIN ? USAGE_TEAMS_MIN : limit;
}

static int
compare_candidates(const void *a, const void *b)
{
	const struct usage_candidate *x = a, *y = b;

	if (x->unsent_share != y->unsent_share)
		return x->unsent_share < y->unsent_share ? 1 : -1;
	return x->index < y->index ? -1 : 1;
}

/* Sorts teams by their unsent usage; the one in rotation comes first. */
static void
sort_candidates(
    struct node *n, struct usage_candidate *candidates, size_t count)
{
	const struct usage_sent *sent;
	struct usage_candidate *d;
	double charge = 1.0, load = 1.0;
	size_t i;

	for (i = 0; i < count; i++) {
		d = &candidates[i];
		sent = get_usage_sent(n, d->team.team);
		d->charge = (double)(d->team.charge_milli - sent->charge_milli);
		d->load = (double)d->team.load_milli - sent->load_milli;
		if (d->load < 0.0)
			d->load = -d->load;
		charge += d->charge;
		load += d->load;
	}
	for (i = 0; i < count; i++)
		candidates[i].unsent_share =
		    candidates[i].charge / charge + candidates[i].load / load;
	candidates[n->usage_rotation++ % count].unsent_share = 2.0;
	qsort(candidates, count, sizeof(*candidates), compare_candidates);
}

/*
 * Fills in the usage for the next summary, and records it as sent.
 *
 * usage, list: to be freed by the caller.
 * Returns the number of teams in them.
 */
size_t
node_usage_fill(
    struct node *n, Wire__TeamUsage **usage, Wire__TeamUsage ***list)
{
	size_t i, count = sched_team_count(n->sched),
		  limit = usage_team_limit(n);
	struct usage_candidate *candidates =
	    mem_alloc(count, sizeof(*candidates));
	struct usage_sent *sent;

	for (i = 0; i < count; i++) {
		candidates[i].index = i;
		sched_team_at(n->sched, i, &candidates[i].team);
	}
	if (count > limit)
		sort_candidates(n, candidates, count);
	else
		limit = count;
	*usage = mem_alloc(limit, sizeof(**usage));
	*list = mem_alloc(limit, sizeof(**list));
	for (i = 0; i < limit; i++) {
		sent = get_usage_sent(n, candidates[i].team.team);
		sent->charge_milli = candidates[i].team.charge_milli;
		sent->load_milli = candidates[i].team.load_milli;
		wire__team_usage__init(&(*usage)[i]);
		(*usage)[i].team = (char *)candidates[i].team.team;
		(*usage)[i].charge_milli = sent->charge_milli;
		(*usage)[i].load_milli = sent->load_milli;
		(*list)[i] = &(*usage)[i];
	}
	free(candidates);
	return limit;
}

/* Applies a neighbour's usage; teams that it does not name are unchanged. */
void
node_usage_receive(
    struct node *n, struct node_peer *peer, const Wire__OwnerSummary *summary)
{
	const Wire__TeamUsage *usage;
	size_t i;

	if (peer->team_loads == NULL ||
	    peer->team_loads_incarnation != peer->incarnation) {
		map_destroy(peer->team_loads);
		peer->team_loads = map_create();
		peer->team_loads_incarnation = peer->incarnation;
	}
	for (i = 0; i < summary->n_usage; i++) {
		usage = summary->usage[i];
		if (usage->load_milli > 0)
			(void)map_set_str(peer->team_loads, usage->team,
			    (void *)(uintptr_t)usage->load_milli);
		else
			(void)map_remove_str(peer->team_loads, usage->team);
		if (peer->id != n->id)
			sched_set_remote_charge(n->sched, peer->id, usage->team,
			    usage->charge_milli);
	}
}

void
node_usage_free(struct node *n)
{
	size_t i;

	for (i = 0; n->usage_sent != NULL && i < map_count(n->usage_sent); i++)
		free(map_at(n->usage_sent, i));
	map_destroy(n->usage_sent);
}
