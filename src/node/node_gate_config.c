#include <stdlib.h>
#include <string.h>

#include "gate/gate_update.h"
#include "node/node_gate.h"
#include "node/node_gate_decode.h"
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
	gate_decode_end(g);
	gw_text_destroy(g->config_text);
	gw_text_destroy(g->unread_text);
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

static void
log_config(struct node *n, const struct gw_update_work *work)
{
	const struct node_gate *g = n->gate;

	node_log(n, NODE_LOG_GATE_CONFIG,
	    "{\"version\": %llu, \"index\": %llu, \"routes\": %zu, "
	    "\"decoded\": %zu, \"decodedBytes\": %zu, \"checked\": %zu}",
	    (unsigned long long)g->config->version,
	    (unsigned long long)g->config_index, g->config->nroutes,
	    work->decoded, work->decoded_bytes, work->checked);
}

/* Puts a configuration in force whose update has been applied. */
static void
activate(struct node *n, uint64_t index, struct gw_config *config,
    struct gw_text *text, const struct gw_update *update)
{
	struct node_gate *g = n->gate;
	struct gw_update_work work = gw_update_get_work(update);
	bool is_first = g->config == NULL;

	gw_text_destroy(g->config_text);
	gw_text_destroy(g->unread_text);
	g->config = config;
	if (is_first)
		gw_config_hash_keys(config, g->key_secret);
	g->config_text = text;
	g->unread_text = NULL;
	g->config_index = index;
	g->config_unreadable = false;
	if (is_first || gw_update_has_services(update))
		place_configure(g->place, config);
	else if (gw_update_has_priorities(update))
		place_update_priorities(g->place);
	publish_limits(n, &config->limits);
	log_config(n, &work);
}

/*
 * Decodes, checks and activates the text's difference to the configuration in
 * force, and takes the text over; false: it is invalid, and nothing changes.
 */
static bool
set_config(struct node *n, uint64_t index, struct gw_text *text,
    const struct gw_text_delta *delta)
{
	struct node_gate *g = n->gate;
	struct gw_config *config =
	    g->config == NULL ? gw_config_create() : g->config;
	struct gw_update *update;
	struct mp_error err;
	bool is_valid;

	if (gate_decode_take_update(g, index, &update))
		is_valid = update != NULL;
	else
		is_valid = gw_update_prepare(&update, g->codec, config,
			       g->config_text, text, delta, &err) == MP_OK;

	if (is_valid && gw_update_apply(update, &err) != MP_OK &&
	    node_guards.gate_checked) {
		is_valid = false;
		gw_update_revert(update);
	}
	if (is_valid)
		activate(n, index, config, text, update);
	/* After place_configure(): these elements may be in use until then. */
	gw_update_destroy(update);
	if (g->config != config)
		gw_config_destroy(config);
	return is_valid;
}

/*
 * A newer configuration can't be read here, as when an operator's change needs
 * a later version of this program. The one before stays in force. The text is
 * kept: it was acknowledged, and later differences refer to it.
 *
 * text: NULL: it is not known, as it came in a form that can't be read.
 */
static void
take_unreadable(struct node *n, uint64_t version, struct gw_text *text)
{
	struct node_gate *g = n->gate;

	n->counters.malformed++;
	g->config_unreadable = true;
	gw_text_destroy(g->unread_text);
	g->unread_text = text;
	g->unread_version = version;
	node_log(n, NODE_LOG_GATE_UNREADABLE,
	    "{\"version\": %llu, \"bytes\": %zu, \"inForce\": %s}",
	    (unsigned long long)version, gw_text_bytes(text),
	    g->config == NULL ? "false" : "true");
}

/*
 * Activates a text; false: this instance can't read it.
 *
 * delta: the difference to the configuration in force; NULL: not known.
 */
static bool
take_text(struct node *n, uint64_t index, uint64_t version,
    struct gw_text *text, const struct gw_text_delta *delta)
{
	struct gw_text_delta *made = NULL;
	bool is_set;

	if (delta == NULL && !gate_decode_has(n->gate, index))
		delta = made = gw_text_diff(n->gate->config_text, text);
	is_set = set_config(n, index, text, delta);
	gw_text_delta_destroy(made);
	if (!is_set)
		take_unreadable(n, version, text);
	return is_set;
}

bool
gate_config_take_whole(
    struct node *n, uint64_t index, uint64_t version, struct node_bytes bytes)
{
	struct gw_text *text = gate_decode_share_text(n->gate, index);

	n->gate->config_counts.texts++;
	n->gate->config_counts.bytes += bytes.len;
	if (text != NULL ||
	    gw_text_parse(&text, bytes, n->gate->config_text, NULL) == MP_OK)
		return take_text(n, index, version, text, NULL);
	take_unreadable(
	    n, version, bytes.len == 0 ? NULL : gw_text_create_unsplit(bytes));
	return false;
}

/* ---- differences -------------------------------------------------------- */

bool
gate_config_is_delta(const Wire__GatewayConfig *put)
{
	return put->text.len == 0 && put->n_pieces > 0;
}

struct gw_text_delta *
gate_config_read_delta(const Wire__GatewayConfig *put)
{
	struct gw_text_delta *delta = mem_alloc(1, sizeof(*delta));
	const Wire__ConfigPiece *from;
	struct gw_text_piece *to;
	size_t i, k;

	delta->npieces = put->n_pieces;
	delta->pieces = mem_alloc(put->n_pieces + 1, sizeof(*delta->pieces));
	for (i = 0; i < put->n_pieces; i++) {
		from = put->pieces[i];
		to = &delta->pieces[i];
		to->from = from->from;
		to->count = from->count;
		to->ninserted = from->n_inserted;
		to->inserted =
		    mem_alloc(from->n_inserted + 1, sizeof(*to->inserted));
		for (k = 0; k < from->n_inserted; k++) {
			to->inserted[k].data =
			    (const char *)from->inserted[k].data;
			to->inserted[k].len = from->inserted[k].len;
		}
	}
	return delta;
}

bool
gate_config_find_base(const struct node_gate *g, const Wire__GatewayConfig *put,
    const struct gw_text **base)
{
	*base = g->config_text;
	if (!node_guards.gate_base)
		return true;
	if (g->config != NULL && put->base_version == g->config->version &&
	    put->base_digest == gw_text_digest(g->config_text))
		return true;
	*base = g->unread_text;
	return g->unread_text != NULL &&
	    put->base_version == g->unread_version &&
	    put->base_digest == gw_text_digest(g->unread_text);
}

/* The highest version of the log that is known here, read or not. */
static uint64_t
highest_version(const struct node_gate *g)
{
	uint64_t version = g->config == NULL ? 0 : g->config->version;

	return g->unread_text != NULL && g->unread_version > version
	    ? g->unread_version
	    : version;
}

/*
 * Makes the text; that of the leader's change in flight, and one that was
 * decoded in slices, are known already.
 */
static bool
apply_delta(const struct node *n, uint64_t index,
    const Wire__GatewayConfig *put, const struct gw_text *base,
    const struct gw_text_delta *delta, struct gw_text **text)
{
	*text = gate_decode_share_text(n->gate, index);
	if (*text == NULL && node_guards.gate_base)
		*text = gate_change_share_text(n, put);
	if (*text != NULL)
		return true;
	return gw_text_apply(text, base, delta, NULL) == MP_OK &&
	    (gw_text_digest(*text) == put->digest || !node_guards.gate_base);
}

/*
 * A difference is applied only to the configuration that it was made from: on
 * another it would give a text that nobody has sent. All instances that can
 * read the configurations of the log decide the same.
 */
static enum gate_verdict
take_delta(struct node *n, uint64_t index, const Wire__GatewayConfig *put)
{
	struct node_gate *g = n->gate;
	struct gw_text_delta *delta = gate_config_read_delta(put);
	const struct gw_text *base;
	struct gw_text *text = NULL;
	enum gate_verdict verdict = GATE_BASE_MISMATCH;

	if (node_acts_as_earlier_version(n->id)) {
		/* Was read as an empty text. */
		take_unreadable(n, put->version, NULL);
		verdict = GATE_UNREADABLE;
	} else if (gate_config_find_base(g, put, &base) &&
	    apply_delta(n, index, put, base, delta, &text)) {
		g->config_counts.deltas++;
		g->config_counts.bytes += gw_text_delta_bytes(delta);
		verdict = take_text(n, index, put->version, text,
			      base == g->config_text ? delta : NULL)
		    ? GATE_TAKEN
		    : GATE_UNREADABLE;
	} else {
		gw_text_destroy(text);
		g->config_counts.mismatches++;
		if (put->base_version > highest_version(g))
			g->config_unreadable = true; /* lacks the base */
		node_log(n, NODE_LOG_GATE_BASE_MISMATCH,
		    "{\"version\": %llu, \"base\": %llu, \"have\": %llu}",
		    (unsigned long long)put->version,
		    (unsigned long long)put->base_version,
		    (unsigned long long)(g->config == NULL
			    ? 0
			    : g->config->version));
	}
	gw_text_delta_destroy(delta);
	return verdict;
}

/* Whether a change of the log has this text as its content. */
static bool
is_content(const struct gw_text *text, const Wire__GatewayConfig *put)
{
	struct node_bytes whole = {(const char *)put->text.data, put->text.len};

	return gate_config_is_delta(put) ? put->digest == gw_text_digest(text)
					 : gw_text_is_bytes(text, whole);
}

/* Answers a change whose version is not higher than the one in force. */
static enum gate_verdict
check_known_version(struct node_gate *g, const Wire__GatewayConfig *put)
{
	if (put->version < g->config->version)
		return GATE_TAKEN;
	if (!is_content(g->config_text, put))
		return GATE_CONFLICT;
	if (!gate_config_is_delta(put))
		g->config_is_whole = true;
	return GATE_TAKEN;
}

/* Answers a change to the version of a text that can't be read here. */
static enum gate_verdict
check_unread_version(const struct node_gate *g, const Wire__GatewayConfig *put)
{
	return is_content(g->unread_text, put) ? GATE_TAKEN : GATE_CONFLICT;
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
	struct node_gate *g = n->gate;
	enum gate_verdict verdict = GATE_TAKEN;

	if (g == NULL)
		return GATE_TAKEN;
	if (g->config != NULL && node_guards.gate_highest &&
	    put->version <= g->config->version)
		return check_known_version(g, put);
	if (node_guards.gate_highest && put->version < highest_version(g))
		return GATE_TAKEN;
	if (node_guards.gate_highest && g->unread_text != NULL &&
	    put->version == g->unread_version)
		return check_unread_version(g, put);
	if (gate_config_is_delta(put))
		verdict = take_delta(n, index, put);
	else if (!gate_config_take_whole(n, index, put->version, text))
		verdict = GATE_UNREADABLE;
	g->config_is_whole = !gate_config_is_delta(put);
	gate_decode_end(g);
	gate_change_on_config(n);
	return verdict;
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

void
gate_config_set_version(
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
	gate_config_set_version(n, put->model, put->adapter, put->version);
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
