#include <stdlib.h>
#include <string.h>

#include "node/node_gate.h"
#include "node/node_guard.h"
#include "util/mem.h"

/*
 * The gateway's part of the replicated state: the configuration, the minimum
 * versions of adapters and the endpoints that leave.
 */

static char *
version_key(const char *model, const char *adapter)
{
	struct buf key = {0};

	buf_printf(&key, "%s/%s", model, adapter);
	return key.data;
}

void
gate_config_free(struct node_gate *g)
{
	struct gate_version *v;
	size_t i;

	for (i = 0; i < map_count(g->versions); i++) {
		v = map_at(g->versions, i);
		free(v->model);
		free(v->adapter);
		free(v);
	}
	map_destroy(g->versions);
	gw_config_destroy(g->config);
	buf_free(&g->config_text);
}

static void
publish_limits(struct node *n, const struct gw_limits *limits)
{
	struct node_limits *out;

	if (n->settings->gateway.front == NULL)
		return;
	out = &node_effects_add(n->fx, NODE_FX_LIMITS)->u.limits;
	out->header_bytes = limits->header_bytes;
	out->body_bytes = limits->body_bytes;
	out->header_timeout_ms = limits->header_timeout_ms;
	out->idle_timeout_ms = limits->idle_timeout_ms;
}

/* Decodes, checks and activates a configuration; false if it is invalid. */
static bool
set_config(struct node *n, uint64_t index, struct node_bytes text)
{
	struct node_gate *g = n->gate;
	struct gw_config *config, *previous = g->config;
	struct mp_error err;

	if (g->codec->read_config(&config, text, &err) != MP_OK)
		return false;
	gw_config_hash_keys(config, g->key_secret);
	if (gw_config_check(config, &err) != MP_OK &&
	    node_guards.gate_checked) {
		gw_config_destroy(config);
		return false;
	}
	g->config = config;
	g->config_index = index;
	g->config_unreadable = false;
	buf_clear(&g->config_text);
	buf_append(&g->config_text, text.data, text.len);
	place_configure(g->place, config);
	gw_config_destroy(previous);
	publish_limits(n, &config->limits);
	node_log(n, NODE_LOG_GATE_CONFIG,
	    "{\"version\": %llu, \"index\": %llu, \"routes\": %zu}",
	    (unsigned long long)config->version, (unsigned long long)index,
	    config->nroutes);
	return true;
}

/*
 * A newer configuration can't be read here, as when an operator's change needs
 * a later version of this program. The one before stays.
 */
static void
take_unreadable(struct node *n, uint64_t version)
{
	n->counters.malformed++;
	n->gate->config_unreadable = true;
	node_log(n, NODE_LOG_GATE_UNREADABLE, "{\"version\": %llu}",
	    (unsigned long long)version);
}

bool
gate_config_is_text(const struct node_gate *g, struct node_bytes text)
{
	return text.len == g->config_text.len &&
	    memcmp(text.data, g->config_text.data, text.len) == 0;
}

/*
 * The highest version is in force, whatever the order of versions in the log.
 * Of two contents of one version the first in the log is in force.
 */
enum gate_verdict
node_gate_apply_config(
    struct node *n, uint64_t index, const Wire__GatewayConfig *put)
{
	struct node_bytes text = {(const char *)put->text.data, put->text.len};
	const struct node_gate *g = n->gate;

	if (g == NULL)
		return GATE_TAKEN;
	if (g->config != NULL && node_guards.gate_highest &&
	    put->version <= g->config->version)
		return put->version < g->config->version ||
			gate_config_is_text(g, text)
		    ? GATE_TAKEN
		    : GATE_CONFLICT;
	if (set_config(n, index, text))
		return GATE_TAKEN;
	take_unreadable(n, put->version);
	return GATE_UNREADABLE;
}

enum gate_config_trust
gate_config_get_trust(const struct node *n)
{
	const struct node_gate *g = n->gate;

	if (g->config == NULL)
		return GATE_CONFIG_UNUSABLE;
	if (!node_guards.gate_confirmed)
		return GATE_CONFIG_CONFIRMED;
	if (n->freshness.confirmed_us == 0)
		return GATE_CONFIG_UNUSABLE;
	if (g->config_unreadable)
		return GATE_CONFIG_UNCONFIRMED;
	if (member_freshness_is_confirmed(
		&n->freshness, n->now, GATE_CONFIG_AGE_MAX_US))
		return GATE_CONFIG_CONFIRMED;
	/* Without a leader there are no newer ones, so what is known serves. */
	return member_freshness_is_behind(&n->freshness, n->applied)
	    ? GATE_CONFIG_UNUSABLE
	    : GATE_CONFIG_UNCONFIRMED;
}

void
gate_config_log_trust(struct node *n)
{
	static const char *const names[] = {
	    "unusable", "unconfirmed", "confirmed"};
	struct node_gate *g = n->gate;
	enum gate_config_trust trust = gate_config_get_trust(n);

	if (trust == g->logged_trust)
		return;
	g->logged_trust = trust;
	node_log(n, NODE_LOG_GATE_TRUST,
	    "{\"trust\": \"%s\", \"version\": %llu, \"applied\": %llu, "
	    "\"commit\": %llu, \"ageMs\": %llu, \"leader\": %u}",
	    names[trust],
	    (unsigned long long)(g->config == NULL ? 0 : g->config->version),
	    (unsigned long long)n->applied,
	    (unsigned long long)n->freshness.commit,
	    (unsigned long long)(n->now - n->freshness.confirmed_us) / 1000,
	    node_leader(n));
}

static void
set_version(
    struct node *n, const char *model, const char *adapter, uint32_t version)
{
	char *key = version_key(model, adapter);
	struct gate_version *v = map_get_str(n->gate->versions, key);

	if (v == NULL) {
		v = mem_alloc(1, sizeof(*v));
		v->model = mem_string(model);
		v->adapter = mem_string(adapter);
		(void)map_set_str(n->gate->versions, key, v);
	}
	if (version > v->version)
		v->version = version;
	place_set_version(n->gate->place, model, adapter, v->version);
	free(key);
}

void
node_gate_apply_version(struct node *n, const Wire__AdapterVersion *put)
{
	if (n->gate == NULL)
		return;
	set_version(n, put->model, put->adapter, put->version);
	node_log(n, NODE_LOG_GATE_VERSION,
	    "{\"model\": \"%s\", \"adapter\": \"%s\", \"version\": %u}",
	    put->model, put->adapter, put->version);
}

void
node_gate_apply_leaving(struct node *n, const Wire__EndpointLeaving *leaving)
{
	if (n->gate == NULL)
		return;
	if (leaving->born_ms != 0 || leaving->started_by_ms == 0)
		place_set_leaving(
		    n->gate->place, n->now, leaving->id, leaving->born_ms);
	if (leaving->started_by_ms != 0)
		place_set_left_before(n->gate->place, n->now, leaving->id,
		    leaving->started_by_ms);
	node_log(n, NODE_LOG_GATE_ENDPOINT,
	    "{\"endpoint\": \"%s\", \"leaving\": true, \"born\": %llu, "
	    "\"startedBy\": %llu}",
	    leaving->id, (unsigned long long)leaving->born_ms,
	    (unsigned long long)leaving->started_by_ms);
}

uint32_t
node_gate_adapter_version(
    const struct node *n, const char *model, const char *adapter)
{
	char *key = version_key(model, adapter);
	const struct gate_version *v = map_get_str(n->gate->versions, key);

	free(key);
	return v == NULL ? 0 : v->version;
}

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

void
node_gate_save(const struct node *n, Node__Snapshot *out)
{
	const struct node_gate *g = n->gate;
	const struct gate_version *v;
	size_t i;

	if (g == NULL)
		return;
	save_leaving(n, out);
	gate_quarantine_save(n, out);
	if (g->config != NULL) {
		out->config_version = g->config->version;
		out->config.data = (uint8_t *)g->config_text.data;
		out->config.len = g->config_text.len;
	}
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
node_gate_save_free(Node__Snapshot *out)
{
	size_t i;

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

void
node_gate_restore(struct node *n, const Node__Snapshot *snapshot)
{
	struct node_bytes text = {
	    (const char *)snapshot->config.data, snapshot->config.len};
	size_t i;

	if (n->gate == NULL)
		return;
	for (i = 0; i < snapshot->n_versions; i++)
		set_version(n, snapshot->versions[i]->model,
		    snapshot->versions[i]->adapter,
		    snapshot->versions[i]->version);
	for (i = 0; i < snapshot->n_leaving; i++)
		restore_leaving(n, snapshot->leaving[i]);
	gate_quarantine_restore(n, snapshot);
	if (snapshot->config_version == 0 ||
	    (n->gate->config != NULL &&
		snapshot->config_version <= n->gate->config->version))
		return;
	if (!set_config(n, snapshot->index, text))
		take_unreadable(n, snapshot->config_version);
}
