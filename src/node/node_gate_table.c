#include <stdlib.h>
#include <string.h>

#include "node/node_gate.h"
#include "util/mem.h"

/*
 * Replication of the endpoint table. The placer sends all instances the changes
 * of its table in numbered messages, and an empty message twice a second when
 * there are none. An instance that misses a number, or learns of a new placer,
 * requests the whole table. A new placer therefore starts with what the
 * previous one knew, and an entry can place requests by itself.
 *
 * A placer whose process has just started begins without a table, as it keeps
 * none on its disk. Until all endpoints had time to announce themselves, the
 * others keep those that it does not list.
 */

/*
 * Builds the entry of an endpoint for a message. It lives as long as the
 * effects of the step.
 */
static Wire__EndpointInfo *
fill_info(struct node *n, size_t index)
{
	Wire__EndpointInfo *out = node_effects_alloc(n->fx, sizeof(*out));
	struct gw_announcement a;
	struct place_limit_info limit;
	Wire__LoadedModel *loaded;
	size_t i;

	place_endpoint_get(n->gate->place, index, &a, n->fx);
	wire__endpoint_info__init(out);
	out->id = (char *)a.id;
	out->born_ms = a.born_ms;
	out->sequence = a.sequence;
	out->service = (char *)a.service;
	out->address = (char *)a.address;
	out->data_centre = (char *)a.data_centre;
	out->slots = a.slots;
	out->leaving = a.leaving;
	out->held_at_and_one = place_get_held_at(n->gate->place, index);
	place_limit_get(n->gate->place, index, &limit);
	if (limit.limit.is_limited)
		out->limit = gate_limit_to_wire(
		    node_effects_alloc(n->fx, sizeof(*out->limit)),
		    &limit.limit);
	out->n_loaded = a.nloaded;
	out->loaded = node_effects_alloc(
	    n->fx, (a.nloaded + 1) * sizeof(Wire__LoadedModel *));
	for (i = 0; i < a.nloaded; i++) {
		loaded = node_effects_alloc(n->fx, sizeof(*loaded));
		wire__loaded_model__init(loaded);
		loaded->model = (char *)a.loaded[i].model;
		loaded->adapter = a.loaded[i].adapter == NULL
		    ? ""
		    : (char *)a.loaded[i].adapter;
		loaded->version = a.loaded[i].version;
		out->loaded[i] = loaded;
	}
	return out;
}

static Wire__EndpointInfo *
fill_removed(struct node *n, const char *id)
{
	Wire__EndpointInfo *out = node_effects_alloc(n->fx, sizeof(*out));

	wire__endpoint_info__init(out);
	out->id = node_effects_printf(n->fx, "%s", id);
	out->gone = true;
	out->born_ms = place_min_born_ms(n->gate->place, id);
	return out;
}

static void
send_table(struct node *n, uint32_t to, Wire__EndpointTable *table)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;

	table->term = n->gate->table_term;
	table->number = n->gate->table_number;
	envelope.body_case = WIRE__ENVELOPE__BODY_ENDPOINT_TABLE;
	envelope.endpoint_table = table;
	node_peer_send(n, to, &envelope);
}

bool
gate_table_is_complete(const struct node *n)
{
	const struct node_gate *g = n->gate;

	return (g->table_complete && !g->table_partial) ||
	    place_has_heard_all(g->place, n->now, g->placing_since_us);
}

static void
send_whole_table(struct node *n, uint32_t to)
{
	Wire__EndpointTable table = WIRE__ENDPOINT_TABLE__INIT;
	size_t i;

	table.whole = true;
	table.partial = !gate_table_is_complete(n);
	table.n_endpoints = place_endpoint_count(n->gate->place);
	table.endpoints = node_effects_alloc(
	    n->fx, (table.n_endpoints + 1) * sizeof(Wire__EndpointInfo *));
	for (i = 0; i < table.n_endpoints; i++)
		table.endpoints[i] = fill_info(n, i);
	send_table(n, to, &table);
}

/*
 * Adds the changes since the last message, at most max; returns their number.
 */
static size_t
fill_changes(struct node *n, Wire__EndpointTable *table, size_t max)
{
	const char *id;
	bool gone;
	size_t index;

	table->endpoints =
	    node_effects_alloc(n->fx, max * sizeof(Wire__EndpointInfo *));
	while (table->n_endpoints < max &&
	    place_pop_change(n->gate->place, &id, &gone)) {
		if (place_endpoint_index(n->gate->place, id, &index))
			table->endpoints[table->n_endpoints++] =
			    fill_info(n, index);
		else
			table->endpoints[table->n_endpoints++] =
			    fill_removed(n, id);
	}
	return table->n_endpoints;
}

#define CHANGES_MAX 256

/*
 * Minimum time between two messages, per member: each member makes a message
 * more expensive, so that changes are batched. What matters at once is in the
 * log (that an endpoint leaves) or in a grant (its address).
 */
#define GAP_PER_MEMBER_US 10000U

/*
 * The same while a placer that began without a table is being told of the
 * endpoints: the owners of shards can use none that they do not know. Each
 * endpoint is sent once, as otherwise.
 */
#define INCOMPLETE_GAP_PER_MEMBER_US 3000U

static uint64_t
min_gap_us(const struct node *n)
{
	return member_view_count(n->view) *
	    (gate_table_is_complete(n) ? GAP_PER_MEMBER_US
				       : INCOMPLETE_GAP_PER_MEMBER_US);
}

static void
send_changes(struct node *n)
{
	Wire__EndpointTable table = WIRE__ENDPOINT_TABLE__INIT;
	struct node_gate *g = n->gate;
	const struct member *m;
	size_t i;

	if (n->now < g->table_timer_us + min_gap_us(n))
		return;
	if (fill_changes(n, &table, CHANGES_MAX) == 0 &&
	    n->now < g->table_timer_us + GATE_TABLE_HEARTBEAT_US)
		return;
	g->table_number++;
	g->table_timer_us = n->now;
	for (i = 0; i < member_view_count(n->view); i++) {
		m = member_view_at(n->view, i);
		if (m->id != n->id)
			send_table(n, m->id, &table);
	}
}

/*
 * Discards recorded changes: they came from the placer, which has sent them to
 * all instances.
 */
static void
discard_changes(struct node *n)
{
	const char *id;
	bool gone;

	while (place_pop_change(n->gate->place, &id, &gone))
		;
}

void
gate_table_on_ask(struct node *n, uint32_t from)
{
	if (n->gate->placing)
		send_whole_table(n, from);
}

static void
request_whole_table(struct node *n, uint32_t from, uint64_t term)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__TableAsk ask = WIRE__TABLE_ASK__INIT;

	n->gate->table_complete = false;
	if (n->now < n->gate->table_timer_us)
		return;
	n->gate->table_timer_us = n->now + GATE_TABLE_RETRY_US;
	ask.term = term;
	envelope.body_case = WIRE__ENVELOPE__BODY_TABLE_ASK;
	envelope.table_ask = &ask;
	node_peer_send(n, from, &envelope);
}

void
gate_table_tick(struct node *n)
{
	if (n->gate->placing) {
		n->gate->has_table = true;
		send_changes(n);
	} else {
		discard_changes(n);
	}
}

static void
apply_info(struct node *n, const Wire__EndpointInfo *info)
{
	struct gw_announcement a = {0};
	struct place_limit limit = gate_limit_from_wire(info->limit);
	struct mp_error err;
	struct gw_loaded_model *loaded =
	    node_effects_alloc(n->fx, (info->n_loaded + 1) * sizeof(*loaded));
	size_t i;

	if (info->gone) {
		place_apply_removal(
		    n->gate->place, n->now, info->id, info->born_ms);
		return;
	}
	for (i = 0; i < info->n_loaded; i++) {
		loaded[i].model = info->loaded[i]->model;
		loaded[i].adapter = info->loaded[i]->adapter[0] == '\0'
		    ? NULL
		    : info->loaded[i]->adapter;
		loaded[i].version = info->loaded[i]->version;
	}
	a.id = info->id;
	a.service = info->service;
	a.address = info->address;
	a.data_centre = info->data_centre;
	a.born_ms = info->born_ms;
	a.sequence = info->sequence;
	a.slots = info->slots;
	a.leaving = info->leaving;
	a.has_models = true;
	a.loaded = loaded;
	a.nloaded = info->n_loaded;
	if (gw_announcement_check(&a, &err) != MP_OK) {
		n->counters.malformed++;
		return; /* the others hold */
	}
	place_apply_entry(n->gate->place, n->now, &a);
	place_apply_held_at(
	    n->gate->place, a.id, a.born_ms, info->held_at_and_one);
	place_apply_limit(
	    n->gate->place, n->now, a.id, a.born_ms, &limit, true);
}

static void
apply_entries(struct node *n, const Wire__EndpointTable *table)
{
	size_t i;

	for (i = 0; i < table->n_endpoints; i++)
		apply_info(n, table->endpoints[i]);
}

static void
apply_whole(struct node *n, uint32_t from, const Wire__EndpointTable *table)
{
	struct node_gate *g = n->gate;

	place_begin_whole_table(g->place);
	apply_entries(n, table);
	place_end_whole_table(g->place, n->now,
	    table->partial ? n->settings->gateway.heartbeat_ms : 0);
	g->table_partial = table->partial;
	node_log(n, NODE_LOG_GATE_TABLE,
	    "{\"placer\": %u, \"term\": %llu, \"number\": %llu, "
	    "\"endpoints\": %zu, \"partial\": %s, \"known\": %zu}",
	    from, (unsigned long long)table->term,
	    (unsigned long long)table->number, table->n_endpoints,
	    table->partial ? "true" : "false", place_endpoint_count(g->place));
}

void
gate_table_on_table(
    struct node *n, uint32_t from, const Wire__EndpointTable *table)
{
	struct node_gate *g = n->gate;

	if (g->placing || table->term < g->table_term)
		return; /* from a former placer */
	if (!table->whole &&
	    (table->term != g->table_term || !g->table_complete ||
		table->number != g->table_number + 1)) {
		if (table->term == g->table_term && g->table_complete &&
		    table->number <= g->table_number)
			return;
		request_whole_table(n, from, table->term);
		return;
	}
	if (table->whole)
		apply_whole(n, from, table);
	else
		apply_entries(n, table);
	g->table_source = from;
	g->table_term = table->term;
	g->table_number = table->number;
	g->table_complete = true;
	g->has_table = true;
}
