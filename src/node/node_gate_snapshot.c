#include <stdlib.h>

#include "node/node_gate.h"
#include "util/mem.h"

/*
 * The gateway's part of a snapshot: written from the replicated state, and read
 * back, also from snapshots that earlier programs wrote.
 */

static Node__Leaving *
add_leaving(Node__Snapshot *out, const char *id)
{
	Node__Leaving *leaving = mem_alloc(1, sizeof(*leaving));

	node__leaving__init(leaving);
	leaving->id = (char *)id;
	out->leaving =
	    mem_resize(out->leaving, out->n_leaving + 1, sizeof(*out->leaving));
	out->leaving[out->n_leaving++] = leaving;
	return leaving;
}

static void
save_leaving(const struct node *n, Node__Snapshot *out)
{
	const struct place *place = n->gate->place;
	const char *id;
	uint64_t ms;
	size_t i;

	for (i = 0; place_leaving_at(place, i, &id, &ms); i++)
		add_leaving(out, id)->born_ms = ms;
	for (i = 0; place_left_before_at(place, i, &id, &ms); i++)
		add_leaving(out, id)->started_by_ms = ms;
}

static void
restore_leaving(struct node *n, const Node__Leaving *leaving)
{
	if (leaving->started_by_ms != 0)
		place_set_left_before(n->gate->place, n->now, leaving->id,
		    leaving->started_by_ms);
	else
		place_set_leaving(
		    n->gate->place, n->now, leaving->id, leaving->born_ms);
}

/* Sets a field to the whole text; node_gate_save_free() frees it. */
static void
save_text(ProtobufCBinaryData *out, const struct gw_text *text)
{
	struct buf whole = {0};

	gw_text_join(text, &whole);
	out->data = (uint8_t *)whole.data;
	out->len = whole.len;
}

static void
save_config(const struct node_gate *g, Node__Snapshot *out)
{
	if (g->config != NULL) {
		out->config_is_version_0 = g->config->version == 0;
		out->config_version =
		    out->config_is_version_0 ? 1 : g->config->version;
		save_text(&out->config, g->config_text);
	}
	if (g->unread_text != NULL) {
		out->unread_version = g->unread_version;
		save_text(&out->unread_config, g->unread_text);
	}
}

static void
save_versions(const struct node_gate *g, Node__Snapshot *out)
{
	const struct gate_version *v;
	size_t i;

	out->n_versions = map_count(g->versions);
	out->versions = mem_alloc(out->n_versions + 1, sizeof(*out->versions));
	for (i = 0; i < out->n_versions; i++) {
		v = map_at(g->versions, i);
		out->versions[i] = mem_alloc(1, sizeof(**out->versions));
		node__version__init(out->versions[i]);
		out->versions[i]->model = v->model;
		out->versions[i]->adapter = v->adapter;
		out->versions[i]->version = v->version;
	}
}

void
node_gate_save(const struct node *n, Node__Snapshot *out)
{
	if (n->gate == NULL)
		return;
	save_leaving(n, out);
	gate_quarantine_save(n, out);
	save_config(n->gate, out);
	save_versions(n->gate, out);
}

static void
free_text(ProtobufCBinaryData *text)
{
	free(text->data);
	text->data = NULL;
	text->len = 0;
}

void
node_gate_save_free(Node__Snapshot *out)
{
	size_t i;

	free_text(&out->config);
	free_text(&out->unread_config);
	for (i = 0; i < out->n_versions; i++)
		free(out->versions[i]);
	free(out->versions);
	out->versions = NULL;
	out->n_versions = 0;
	for (i = 0; i < out->n_leaving; i++)
		free(out->leaving[i]);
	free(out->leaving);
	out->leaving = NULL;
	out->n_leaving = 0;
	gate_quarantine_save_free(out);
}

/*
 * Takes a configuration of a snapshot over, unless the one in force is as new.
 * One that can't be read here is kept. That there is one at all is told by the
 * text alone: any version may be one that the operator chose.
 */
static void
restore_config(struct node *n, uint64_t index, uint64_t version,
    const ProtobufCBinaryData *text)
{
	const struct node_gate *g = n->gate;
	struct node_bytes bytes = {(const char *)text->data, text->len};

	if (bytes.len == 0 ||
	    (g->config != NULL && version <= g->config->version))
		return;
	(void)gate_config_take_whole(n, index, version, bytes);
}

void
node_gate_restore(struct node *n, const Node__Snapshot *snapshot)
{
	uint64_t version =
	    snapshot->config_is_version_0 ? 0 : snapshot->config_version;
	size_t i;

	if (n->gate == NULL)
		return;
	for (i = 0; i < snapshot->n_versions; i++)
		gate_config_set_version(n, snapshot->versions[i]->model,
		    snapshot->versions[i]->adapter,
		    snapshot->versions[i]->version);
	for (i = 0; i < snapshot->n_leaving; i++)
		restore_leaving(n, snapshot->leaving[i]);
	gate_quarantine_restore(n, snapshot);
	restore_config(n, snapshot->index, version, &snapshot->config);
	restore_config(n, snapshot->index, snapshot->unread_version,
	    &snapshot->unread_config);
}
