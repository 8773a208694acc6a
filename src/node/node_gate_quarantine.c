#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "node/node_gate.h"
#include "util/mem.h"

/*
 * Quarantined prompt parts at an entry, and in the replicated state.
 *
 * An entry refuses requests with a quarantined part. It observes under which of
 * its requests processes of endpoints end and which are answered well, and
 * tells the leader, which decides (node_gate_evidence.c).
 */

uint64_t
gate_time_of_age(const struct node *n, uint32_t age_ms)
{
	uint64_t age_us = (uint64_t)age_ms * 1000;

	return n->now < age_us ? 0 : n->now - age_us;
}

void
gate_part_text(char out[GATE_PART_TEXT_SIZE], uint64_t part)
{
	(void)snprintf(
	    out, GATE_PART_TEXT_SIZE, "%016llx", (unsigned long long)part);
}

/* ---- requests ----------------------------------------------------------- */

/*
 * The number of parts of a prompt that other requests share. The last part
 * belongs to the request or its session alone.
 */
static size_t
count_shared_parts(const struct gw_request *request)
{
	return request->nparts == 0 ? 0 : request->nparts - 1;
}

bool
gate_quarantine_may_send(
    void *ctx, const struct gw_request *request, bool was_sent)
{
	const struct node *n = ctx;
	const struct node_gate *g = n->gate;
	size_t i;

	for (i = 0; i < count_shared_parts(request); i++) {
		if (quarantine_is_active(g->quarantine, request->parts[i].hash))
			return false;
		if (was_sent &&
		    quarantine_observer_is_suspect(
			g->observer, n->now, request->parts[i].hash))
			return false;
	}
	return true;
}

static void
send_to_leader(struct node *n, Wire__Envelope *envelope)
{
	uint32_t leader = node_leader(n);

	if (leader != 0)
		node_peer_send(n, leader, envelope);
}

/* Tells the leader when requests with these parts were last answered. */
static void
send_served(struct node *n, const uint64_t *hashes, size_t count)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__PartsServed message = WIRE__PARTS_SERVED__INIT;
	Wire__PartServed *part;
	uint64_t served_us;
	size_t i;

	message.parts =
	    node_effects_alloc(n->fx, (count + 1) * sizeof(Wire__PartServed *));
	for (i = 0; i < count; i++) {
		served_us =
		    quarantine_observer_served_us(n->gate->observer, hashes[i]);
		if (served_us == 0)
			continue;
		part = node_effects_alloc(n->fx, sizeof(*part));
		wire__part_served__init(part);
		part->hash = hashes[i];
		part->age_ms = (uint32_t)((n->now - served_us) / 1000);
		message.parts[message.n_parts++] = part;
	}
	if (message.n_parts == 0)
		return;
	envelope.body_case = WIRE__ENVELOPE__BODY_PARTS_SERVED;
	envelope.parts_served = &message;
	send_to_leader(n, &envelope);
}

/* Records an answer. One with a quarantined part shows that it is sound. */
static void
observe_served(struct node *n, const uint64_t *hashes, size_t count)
{
	size_t i;

	quarantine_observer_add_served(
	    n->gate->observer, n->now, hashes, count);
	for (i = 0; i < count; i++)
		if (quarantine_is_active(n->gate->quarantine, hashes[i]))
			send_served(n, &hashes[i], 1);
}

void
gate_quarantine_observe(void *ctx, const struct forward_observation *observed,
    struct node_effects *fx)
{
	struct node *n = ctx;
	const struct gw_request *request = observed->request;
	size_t i, count = count_shared_parts(request);
	uint64_t *hashes;

	if (count == 0)
		return;
	hashes = node_effects_alloc(fx, count * sizeof(*hashes));
	for (i = 0; i < count; i++)
		hashes[i] = request->parts[i].hash;
	if (observed->is_served)
		observe_served(n, hashes, count);
	else if (!place_is_known_leaving(
		     n->gate->place, observed->endpoint, observed->born_ms))
		quarantine_observer_add_end(n->gate->observer, n->now,
		    observed->endpoint, observed->born_ms, hashes, count);
}

/* ---- reports to the leader ---------------------------------------------- */

static void
log_end(struct node *n, const struct quarantine_report *report)
{
	n->gate->observed_ends++;
	node_log(n, NODE_LOG_GATE_ENDED,
	    "{\"endpoint\": \"%s\", \"born\": %llu, \"requests\": %u, "
	    "\"parts\": %zu}",
	    report->endpoint, (unsigned long long)report->born_ms,
	    report->requests, report->end.nsuspects);
}

static void
send_report(struct node *n, const struct quarantine_end *end)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__EndpointEnded message = WIRE__ENDPOINT_ENDED__INIT;
	size_t i, count = end->nsuspects;
	Wire__EndedPart *parts =
	    node_effects_alloc(n->fx, (count + 1) * sizeof(*parts));
	Wire__EndedPart **list =
	    node_effects_alloc(n->fx, (count + 1) * sizeof(*list));

	message.process = end->process;
	message.age_ms = (uint32_t)((n->now - end->at_us) / 1000);
	for (i = 0; i < count; i++) {
		wire__ended_part__init(&parts[i]);
		parts[i].hash = end->suspects[i].hash;
		parts[i].position = end->suspects[i].position;
		list[i] = &parts[i];
	}
	message.parts = list;
	message.n_parts = count;
	envelope.body_case = WIRE__ENVELOPE__BODY_ENDPOINT_ENDED;
	envelope.endpoint_ended = &message;
	send_to_leader(n, &envelope);
}

void
gate_quarantine_tick(struct node *n)
{
	struct quarantine_report report;
	uint32_t leader = node_leader(n);

	if (leader == 0)
		return;
	while (quarantine_observer_next_report(
	    n->gate->observer, n->now, leader, &report)) {
		if (report.is_first)
			log_end(n, &report);
		send_report(n, &report.end);
	}
}

void
gate_quarantine_on_inquiry(
    struct node *n, uint32_t from, const Wire__PartInquiry *inquiry)
{
	(void)from; /* the answer goes to the leader that is known here */
	send_served(n, inquiry->parts, inquiry->n_parts);
}

/* ---- the replicated state ----------------------------------------------- */

/*
 * The part was quarantined although this entry had an answer since the last end
 * that counted: the leader has to know.
 */
static void
object_if_served(struct node *n, const struct quarantine_update *update)
{
	if (quarantine_observer_served_us(n->gate->observer, update->hash) >
	    update->last_end_us)
		send_served(n, &update->hash, 1);
}

static enum quarantine_change
change_of(Wire__QuarantineChange change)
{
	switch (change) {
	case WIRE__QUARANTINE_CHANGE__QUARANTINE_CHANGE_START:
		return QUARANTINE_START;
	case WIRE__QUARANTINE_CHANGE__QUARANTINE_CHANGE_EXPIRE:
		return QUARANTINE_EXPIRE;
	default:
		return QUARANTINE_LIFT;
	}
}

static void
log_change(struct node *n, const Wire__PartQuarantine *change)
{
	static const char *const names[] = {"start", "expire", "lift"};
	const struct quarantine_part *part =
	    quarantine_find(n->gate->quarantine, change->part);
	char text[GATE_PART_TEXT_SIZE];

	gate_part_text(text, change->part);
	node_log(n, NODE_LOG_GATE_QUARANTINE,
	    "{\"part\": \"%s\", \"change\": \"%s\", \"active\": %s, "
	    "\"ends\": %u, \"strikes\": %u, \"operator\": \"%s\"}",
	    text, names[change_of(change->change)],
	    part != NULL && part->is_active ? "true" : "false",
	    part == NULL ? 0 : part->ends, part == NULL ? 0 : part->strikes,
	    change->operator_);
}

void
node_gate_apply_quarantine(struct node *n, const Wire__PartQuarantine *change)
{
	struct node_gate *g = n->gate;
	struct quarantine_update update = {0};

	if (g == NULL)
		return;
	update.hash = change->part;
	update.change = change_of(change->change);
	update.ends = change->ends;
	update.last_end_us = gate_time_of_age(n, change->last_end_age_ms);
	if (!quarantine_apply(g->quarantine, n->now, &update))
		return;
	log_change(n, change);
	if (update.change != QUARANTINE_START) {
		quarantine_evidence_forget(g->evidence, update.hash);
		return;
	}
	quarantine_evidence_explain(g->evidence, update.hash);
	object_if_served(n, &update);
	forward_refuse_quarantined(g->forward, n->now, n->fx);
}

void
gate_quarantine_save(const struct node *n, Node__Snapshot *out)
{
	const struct quarantine_part *part;
	Node__Quarantined *saved;
	size_t i, count = 0;

	while (quarantine_at(n->gate->quarantine, count) != NULL)
		count++;
	out->quarantined = mem_alloc(count + 1, sizeof(*out->quarantined));
	for (i = 0; i < count; i++) {
		part = quarantine_at(n->gate->quarantine, i);
		saved = mem_alloc(1, sizeof(*saved));
		node__quarantined__init(saved);
		saved->hash = part->hash;
		saved->active = part->is_active;
		saved->strikes = part->strikes;
		saved->ends = part->ends;
		saved->number = part->number;
		out->quarantined[i] = saved;
	}
	out->n_quarantined = count;
}

void
gate_quarantine_save_free(Node__Snapshot *out)
{
	size_t i;

	for (i = 0; i < out->n_quarantined; i++)
		free(out->quarantined[i]);
	free(out->quarantined);
	out->quarantined = NULL;
	out->n_quarantined = 0;
}

void
gate_quarantine_restore(struct node *n, const Node__Snapshot *snapshot)
{
	struct quarantine_part part = {0};
	const Node__Quarantined *saved;
	size_t i;

	quarantine_clear(n->gate->quarantine);
	for (i = 0; i < snapshot->n_quarantined; i++) {
		saved = snapshot->quarantined[i];
		part.hash = saved->hash;
		part.is_active = saved->active;
		part.strikes = saved->strikes;
		part.ends = saved->ends;
		part.number = saved->number;
		quarantine_add(n->gate->quarantine, n->now, &part);
	}
	if (n->fx != NULL)
		forward_refuse_quarantined(n->gate->forward, n->now, n->fx);
}
