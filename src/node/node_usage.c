#include <stdlib.h>
#include <string.h>

#include "node/node_internal.h"
#include "util/mem.h"

/*
 * What teams have used of an owner, told to the owners of its region so that
 * service is fair over all of them. Totals are told, so one that is late or
 * lost is made up for by the next. With many neighbours and teams a summary
 * has room for a few teams only: those of which most is untold, and one in
 * turn, so that every team is told of in the end.
 */

#define USAGE_SECOND  320 /* teams' totals a second into one instance */
#define USAGE_ROOM    4 /* at least so many in a summary */
#define USAGE_PERIODS (1000 * 1000ULL / NODE_SUMMARY_US) /* a second */

/* A team's totals as the neighbours were told last. */
struct usage_sent {
	uint64_t charge_milli;
	uint32_t load_milli;
};

/* A team that may be told of, and what is untold. */
struct usage_due {
	struct sched_team_usage team;
	size_t index;
	double charge, load;
	double part; /* of all that is untold */
};

static struct usage_sent *
usage_sent(struct node *n, const char *team)
{
	struct usage_sent *told = map_get_str(n->usage_sent, team);

	if (told == NULL) {
		told = mem_alloc(1, sizeof(*told));
		(void)map_set_str(n->usage_sent, team, told);
	}
	return told;
}

/* How many teams a summary has room for. */
static size_t
usage_room(const struct node *n)
{
	const struct member *m;
	size_t i, neighbours = 0, room = USAGE_SECOND / USAGE_PERIODS;

	for (i = 0; i < member_view_count(n->view); i++) {
		m = member_view_at(n->view, i);
		if (m->id != n->id &&
		    strcmp(m->region, n->settings->region) == 0)
			neighbours++;
	}
	if (neighbours > 0)
		room /= neighbours;
	return room < USAGE_ROOM ? USAGE_ROOM : room;
}

static int
compare_due(const void *a, const void *b)
{
	const struct usage_due *x = a, *y = b;

	if (x->part != y->part)
		return x->part < y->part ? 1 : -1;
	return x->index < y->index ? -1 : 1;
}

/* Sort teams by their part of what is untold; the one in turn comes first. */
static void
sort_due(struct node *n, struct usage_due *due, size_t count)
{
	const struct usage_sent *told;
	struct usage_due *d;
	double charge = 1.0, load = 1.0;
	size_t i;

	for (i = 0; i < count; i++) {
		d = &due[i];
		told = usage_sent(n, d->team.team);
		d->charge = (double)(d->team.charge_milli - told->charge_milli);
		d->load = (double)d->team.load_milli - told->load_milli;
		if (d->load < 0.0)
			d->load = -d->load;
		charge += d->charge;
		load += d->load;
	}
	for (i = 0; i < count; i++)
		due[i].part = due[i].charge / charge + due[i].load / load;
	due[n->usage_rotation++ % count].part = 2.0;
	qsort(due, count, sizeof(*due), compare_due);
}

/*
 * The usage for the next summary.
 *
 * usage, list: to be freed by the caller.
 * Returns how many teams they tell of.
 */
size_t
node_usage_fill(
    struct node *n, Wire__TeamUsage **usage, Wire__TeamUsage ***list)
{
	size_t i, count = sched_team_count(n->sched), room = usage_room(n);
	struct usage_due *due = mem_alloc(count, sizeof(*due));
	struct usage_sent *told;

	for (i = 0; i < count; i++) {
		due[i].index = i;
		sched_team_at(n->sched, i, &due[i].team);
	}
	if (count > room)
		sort_due(n, due, count);
	else
		room = count;
	*usage = mem_alloc(room, sizeof(**usage));
	*list = mem_alloc(room, sizeof(**list));
	for (i = 0; i < room; i++) {
		told = usage_sent(n, due[i].team.team);
		told->charge_milli = due[i].team.charge_milli;
		told->load_milli = due[i].team.load_milli;
		wire__team_usage__init(&(*usage)[i]);
		(*usage)[i].team = (char *)due[i].team.team;
		(*usage)[i].charge_milli = told->charge_milli;
		(*usage)[i].load_milli = told->load_milli;
		(*list)[i] = &(*usage)[i];
	}
	free(due);
	return room;
}

/* Take a neighbour's usage; teams not named are as they were. */
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
