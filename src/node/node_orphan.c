#include <string.h>

#include "node/node_guard.h"
#include "node/node_internal.h"

/*
 * Orphans: grants of an entry whose process has ended. Their runs may still use
 * an adapter, so they keep their pins until the endpoint shows no such run.
 */

/* An orphan is kept until requests with its grant can no longer arrive. */
#define ORPHAN_WAIT_US	(ROUTE_GRANT_VALID_US + MEMBER_FLIGHT_MAX_US)
#define CANCEL_RETRY_US (1000 * 1000ULL)

/* Drops the queued asks of an ended process, marks its grants as orphans. */
void
node_orphan_entry_down(struct node *n, uint32_t entry, uint64_t incarnation)
{
	struct sched_usage cancelled = {.outcome = SCHED_CANCELLED};
	struct node_grant *g;
	size_t i = map_count(n->grants);

	while (i-- > 0) {
		g = map_at(n->grants, i);
		if (g->entry != entry || g->entry_incarnation != incarnation)
			continue;
		if (g->endpoint == NULL || !node_guards.orphan_pins) {
			sched_finish_request(
			    n->sched, n->now, g->id, &cancelled);
			node_grant_remove(n, g);
		} else {
			g->orphaned_us = n->now;
		}
	}
	n->sched_run_due = true;
}

/*
 * Whether the run of an orphan is to be cancelled now: when it can no longer
 * begin and no cancellation is under way.
 */
bool
node_orphan_cancel_due(const struct node *n, const struct node_grant *g)
{
	return g->orphaned_us != 0 && g->adapter != NULL &&
	    n->now >= g->orphaned_us + ORPHAN_WAIT_US &&
	    n->now >= g->cancel_due_us;
}

/*
 * The cancellation of an orphan's run has ended.
 *
 * confirmed: the endpoint answered that the run has ended; otherwise the
 * cancellation is repeated.
 */
void
node_orphan_cancelled(struct node *n, uint64_t grant, bool confirmed)
{
	struct sched_usage failed = {.outcome = SCHED_FAILED};
	struct node_grant *g = map_get_u64(n->grants, grant);

	if (g == NULL)
		return;
	if (!confirmed) {
		g->cancel_due_us = n->now + CANCEL_RETRY_US;
		return;
	}
	sched_finish_request(n->sched, n->now, g->id, &failed);
	node_grant_remove(n, g);
}

static uint32_t
count_running(const struct sched_report *report, const char *adapter)
{
	size_t i;

	for (i = 0; adapter != NULL && i < report->slot_count; i++)
		if (strcmp(report->slots[i].adapter, adapter) == 0)
			return report->slots[i].running;
	return 0;
}

/* Drops orphans for which a report of their endpoint shows no run. */
void
node_orphan_report(
    struct node *n, const char *endpoint, const struct sched_report *report)
{
	struct sched_usage failed = {.outcome = SCHED_FAILED};
	struct node_grant *g;
	size_t i = map_count(n->grants);

	while (i-- > 0) {
		g = map_at(n->grants, i);
		if (g->orphaned_us == 0 || g->endpoint == NULL ||
		    strcmp(g->endpoint, endpoint) != 0 ||
		    report->as_of_us < g->orphaned_us + ORPHAN_WAIT_US ||
		    count_running(report, g->adapter) > 0)
			continue;
		sched_finish_request(n->sched, n->now, g->id, &failed);
		node_grant_remove(n, g);
	}
}
