#include <stdlib.h>
#include <string.h>

#include "node/node_internal.h"
#include "util/mem.h"

/*
 * Summaries of an owner: capacity, load, loaded adapters and the usage of
 * teams, sent to all instances of its region.
 */

void
node_summary_send(struct node *n)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__OwnerSummary summary = WIRE__OWNER_SUMMARY__INIT;
	size_t nservices = sched_service_count(n->sched);
	size_t nrates = map_count(n->rates);
	Wire__TeamRate *rates = mem_alloc(nrates, sizeof(*rates));
	Wire__TeamRate **rate_list = mem_alloc(nrates, sizeof(*rate_list));
	char **services = mem_alloc(nservices, sizeof(*services));
	Wire__TeamUsage *usage, **list;
	struct sched_totals totals;
	const struct member *m;
	uint32_t held[NODE_HELD_MAX];
	size_t i;

	sched_get_totals(n->sched, n->now, &totals);
	summary.n_usage = node_usage_fill(n, &usage, &list);
	summary.usage = list;
	for (i = 0; i < nservices; i++)
		services[i] = (char *)sched_service_at(n->sched, i);
	summary.seats = totals.seats;
	summary.free = totals.free;
	summary.queued = totals.queued;
	summary.engines = totals.engines;
	summary.wait_ms = totals.wait_p90_ms;
	summary.n_services = nservices;
	summary.services = services;
	summary.leaving = n->stopping;
	summary.n_rates = node_rate_fill(n, rates, nrates);
	summary.rates = rate_list;
	for (i = 0; i < nrates; i++)
		rate_list[i] = &rates[i];
	node_held_fill(n, &summary, held, node_grant_count_owners(n));
	envelope.body_case = WIRE__ENVELOPE__BODY_SUMMARY;
	envelope.summary = &summary;
	for (i = 0; i < member_view_count(n->view); i++) {
		m = member_view_at(n->view, i);
		if (strcmp(m->region, n->settings->region) == 0)
			node_peer_send(n, m->id, &envelope);
	}
	n->held_loaded.count = n->held_dropped.count = 0;
	free(rates);
	free(rate_list);
	free(usage);
	free(list);
	free(services);
}

static void
set_services(struct node_peer *peer, const Wire__OwnerSummary *summary)
{
	size_t i;

	for (i = 0; i < peer->nservices; i++)
		free(peer->services[i]);
	free(peer->services);
	peer->nservices = summary->n_services;
	peer->services = mem_alloc(peer->nservices, sizeof(*peer->services));
	for (i = 0; i < peer->nservices; i++)
		peer->services[i] = mem_string(summary->services[i]);
}

void
node_summary_receive(
    struct node *n, uint32_t from, const Wire__OwnerSummary *summary)
{
	struct node_peer *peer = node_peer_get(n, from);
	size_t i;

	peer->asks_since_summary = 0;
	peer->seats = summary->seats;
	peer->free = summary->free;
	peer->queued = summary->queued;
	peer->engines = summary->engines;
	peer->wait_ms = summary->wait_ms;
	peer->leaving = summary->leaving;
	set_services(peer, summary);
	node_usage_receive(n, peer, summary);
	node_held_receive(n, from, summary);
	if (from == n->id)
		return;
	for (i = 0; i < summary->n_rates; i++)
		node_rate_receive(n, from, summary->rates[i]);
}
