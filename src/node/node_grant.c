#include <stdlib.h>
#include <string.h>

#include "node/node_internal.h"
#include "util/mem.h"

/*
 * Asks and grants at the owner: queued asks of entries, the scheduler's
 * decisions on them, and redirects to another owner that has the adapter
 * loaded.
 */

struct grant_key {
	uint64_t incarnation;
	uint64_t ask;
	uint64_t entry;
};

void
node_grant_free(struct node_grant *g)
{
	free(g->endpoint);
	free(g->adapter);
	free(g->run);
	free(g);
}

static struct grant_key
make_key(uint32_t entry, uint64_t incarnation, uint64_t ask)
{
	struct grant_key key = {incarnation, ask, entry};

	return key;
}

struct node_grant *
node_grant_find(
    const struct node *n, uint32_t entry, uint64_t incarnation, uint64_t ask)
{
	struct grant_key key = make_key(entry, incarnation, ask);

	return map_get(n->grants_by_ask, &key, sizeof(key));
}

struct node_grant *
node_grant_add(
    struct node *n, uint32_t entry, uint64_t incarnation, uint64_t ask)
{
	struct grant_key key = make_key(entry, incarnation, ask);
	struct node_grant *g = mem_alloc(1, sizeof(*g));

	g->id = ++n->last_grant;
	g->entry = entry;
	g->entry_incarnation = incarnation;
	g->ask = ask;
	g->keepalive_us = n->now;
	map_set_u64(n->grants, g->id, g);
	map_set(n->grants_by_ask, &key, sizeof(key), g);
	return g;
}

void
node_grant_remove(struct node *n, struct node_grant *g)
{
	struct grant_key key = make_key(g->entry, g->entry_incarnation, g->ask);

	map_remove_u64(n->grants, g->id);
	map_remove(n->grants_by_ask, &key, sizeof(key));
	node_grant_free(g);
}

static void
send_reply(struct node *n, uint32_t entry, uint64_t incarnation,
    Wire__GrantReply *reply)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;

	envelope.body_case = WIRE__ENVELOPE__BODY_GRANT;
	envelope.grant = reply;
	node_peer_reply(n, entry, incarnation, &envelope);
}

static void
send_refusal(struct node *n, uint32_t entry, uint64_t incarnation, uint64_t ask,
    Wire__GrantStatus status, const char *reason, uint32_t retry_after_ms)
{
	Wire__GrantReply reply = WIRE__GRANT_REPLY__INIT;

	reply.request = ask;
	reply.status = status;
	reply.reason = (char *)reason;
	reply.retry_after_ms = retry_after_ms;
	send_reply(n, entry, incarnation, &reply);
}

void
node_grant_send(struct node *n, const struct node_grant *g)
{
	Wire__GrantReply reply = WIRE__GRANT_REPLY__INIT;
	const struct node_endpoint *e = map_get_str(n->endpoints, g->endpoint);

	if (e == NULL)
		return;
	reply.request = g->ask;
	reply.status = WIRE__GRANT_STATUS__GRANT_GIVEN;
	reply.endpoint = e->id;
	reply.address = e->address;
	reply.fence = member_view_epoch(n->view);
	reply.basis_us = g->basis_us;
	reply.wait_us = g->wait_us;
	reply.stall_us = g->stall_us;
	send_reply(n, g->entry, g->entry_incarnation, &reply);
}

uint32_t
node_grant_count_owners(const struct node *n)
{
	const struct member *m;
	uint32_t count = 0;
	size_t i;

	for (i = 0; i < member_view_count(n->view); i++) {
		m = member_view_at(n->view, i);
		count +=
		    !m->leaving && strcmp(m->region, n->settings->region) == 0;
	}
	return count == 0 ? 1 : count;
}

static void
fill_request(struct node *n, const struct node_grant *g,
    const Wire__GrantAsk *ask, struct sched_request *out)
{
	const struct doc *doc = doc_table_find(n->book, ask->team);
	const struct doc_kind *kind =
	    doc == NULL ? NULL : doc_find_kind(doc, ask->kind);
	uint32_t owners = node_grant_count_owners(n);
	size_t i;

	out->id = g->id;
	out->team = ask->team;
	out->team_weight = doc == NULL ? 1.0 : doc->weight;
	if (doc != NULL && doc->max_concurrent > 0)
		out->team_max_concurrent =
		    (doc->max_concurrent + owners - 1) / owners;
	out->priority = kind == NULL ? 0 : kind->priority;
	out->kind_weight = kind == NULL ? 1.0 : kind->weight;
	out->adapter = ask->adapter[0] == '\0' ? NULL : ask->adapter;
	out->service = ask->service[0] == '\0' ? NULL : ask->service;
	out->base_model = ask->base_model;
	out->pinned = ask->pinned_adapter;
	out->deadline_us = n->now + (uint64_t)ask->deadline_ms * 1000;
	out->queued_us = n->now > (uint64_t)ask->waited_ms * 1000
	    ? n->now - (uint64_t)ask->waited_ms * 1000
	    : 1;
	out->prompt_tokens = ask->prompt_tokens;
	out->max_tokens = ask->max_tokens;
	out->prefix = ask->prefix;
	for (i = 0; i < ask->n_avoid && i < SCHED_AVOID_MAX; i++)
		out->avoid[out->navoid++] = ask->avoid[i];
}

/*
 * Redirects an ask to an owner that has the adapter loaded and free seats;
 * false when none is known.
 */
static bool
redirect(struct node *n, uint32_t entry, uint64_t incarnation, uint64_t ask,
    const char *adapter)
{
	Wire__GrantReply reply = WIRE__GRANT_REPLY__INIT;
	uint32_t target = node_held_find_other(n, adapter);

	if (target == 0)
		return false;
	node_spread_count_ask(node_peer_get(n, target), adapter);
	reply.request = ask;
	reply.status = WIRE__GRANT_STATUS__GRANT_ELSEWHERE;
	reply.reason = "loaded-elsewhere";
	reply.holder = target;
	send_reply(n, entry, incarnation, &reply);
	return true;
}

/*
 * Whether an ask must not be redirected: because it was redirected before, or
 * was sent again after a refusal or failure elsewhere. So each request is
 * redirected at most once.
 */
static bool
is_redirect_barred(const Wire__GrantAsk *ask)
{
	return ask->adapter[0] == '\0' || ask->handed_to != 0 ||
	    ask->attempt > 0 || ask->n_avoid > 0;
}

bool
node_grant_is_member(const struct node *n, uint32_t id, uint64_t incarnation)
{
	const struct member *m = member_view_find(n->view, id);

	return m != NULL && m->incarnation == incarnation;
}

void
node_grant_on_ask(struct node *n, uint32_t from, uint64_t incarnation,
    const Wire__GrantAsk *ask)
{
	struct node_grant *g =
	    node_grant_find(n, from, incarnation, ask->request);
	struct sched_request request = {0};

	n->counters.asks++;
	if (g != NULL) {
		g->basis_us = ask->sent_us;
		g->keepalive_us = n->now;
		if (g->endpoint != NULL)
			node_grant_send(n, g);
		return;
	}
	if (!node_grant_is_member(n, from, incarnation))
		return; /* it asks again; its start is not applied here yet */
	if (!node_may_act(n)) {
		send_refusal(n, from, incarnation, ask->request,
		    WIRE__GRANT_STATUS__GRANT_ELSEWHERE, "cut-off", 0);
		return;
	}
	if (!is_redirect_barred(ask) &&
	    sched_needs_load(n->sched, ask->adapter) &&
	    redirect(n, from, incarnation, ask->request, ask->adapter))
		return;
	g = node_grant_add(n, from, incarnation, ask->request);
	g->basis_us = ask->sent_us;
	g->no_redirect = is_redirect_barred(ask);
	if (ask->adapter[0] != '\0')
		g->adapter = mem_string(ask->adapter);
	g->run = mem_string(ask->run);
	fill_request(n, g, ask, &request);
	sched_enqueue(n->sched, n->now, &request);
	n->sched_run_due = true;
}

void
node_grant_on_done(struct node *n, uint32_t from, uint64_t incarnation,
    const Wire__GrantDone *done)
{
	static const enum sched_outcome outcomes[] = {SCHED_DELIVERED,
	    SCHED_FAILED, SCHED_CANCELLED, SCHED_NOT_SENT, SCHED_NOT_LOADED,
	    SCHED_BUSY};
	struct node_grant *g =
	    node_grant_find(n, from, incarnation, done->request);
	struct sched_usage usage = {0};

	if (g == NULL)
		return;
	usage.outcome = SCHED_FAILED;
	if ((unsigned)done->outcome < sizeof(outcomes) / sizeof(outcomes[0]))
		usage.outcome = outcomes[done->outcome];
	usage.tokens_in = done->tokens_in;
	usage.tokens_out = done->tokens_out;
	usage.first_us = done->first_us;
	usage.total_us = done->total_us;
	sched_finish_request(n->sched, n->now, g->id, &usage);
	node_grant_remove(n, g);
	n->sched_run_due = true;
}

/* Carries out the scheduler's decision on a queued ask. */
void
node_grant_on_decision(struct node *n, const struct sched_decision *d)
{
	struct node_grant *g = map_get_u64(n->grants, d->request);

	if (g == NULL)
		return;
	if (d->type == SCHED_GRANT) {
		g->endpoint = mem_string(d->endpoint);
		g->granted_us = n->now;
		g->wait_us = d->wait_us;
		g->stall_us = d->stall_us;
		n->counters.grants++;
		node_grant_send(n, g);
		return;
	}
	if (d->type == SCHED_REFUSE && !g->no_redirect &&
	    strcmp(d->reason, "deadline") == 0 &&
	    redirect(n, g->entry, g->entry_incarnation, g->ask, g->adapter)) {
		node_grant_remove(n, g);
		return;
	}
	if (d->type == SCHED_REFUSE)
		send_refusal(n, g->entry, g->entry_incarnation, g->ask,
		    WIRE__GRANT_STATUS__GRANT_REFUSED, d->reason,
		    d->retry_after_ms);
	else
		send_refusal(n, g->entry, g->entry_incarnation, g->ask,
		    WIRE__GRANT_STATUS__GRANT_ELSEWHERE, "no-endpoint", 0);
	node_grant_remove(n, g);
}

void
node_grant_redirect_queued(struct node *n)
{
	struct sched_usage cancelled = {.outcome = SCHED_CANCELLED};
	struct node_grant *g;
	size_t i = map_count(n->grants);

	while (i-- > 0) {
		g = map_at(n->grants, i);
		if (g->endpoint != NULL || g->no_redirect ||
		    !sched_needs_load(n->sched, g->adapter) ||
		    !redirect(
			n, g->entry, g->entry_incarnation, g->ask, g->adapter))
			continue;
		sched_finish_request(n->sched, n->now, g->id, &cancelled);
		node_grant_remove(n, g);
		n->sched_run_due = true;
	}
}
