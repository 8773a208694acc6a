#include <stdlib.h>
#include <string.h>

#include "gate/gate_update.h"
#include "node/node_gate.h"
#include "node/node_guard.h"
#include "util/mem.h"

/*
 * Changes of the configuration at the leader. Each is checked on arrival by
 * what it changes of the configuration in force, and proposed as a difference
 * to it. One change is in flight; of those that wait the highest version is
 * proposed next, and the others are answered by what the log has put in force:
 * a version that is not higher changes nothing.
 */

#define CHANGES_MAX	  16u
#define CHANGES_MAX_BYTES ((size_t)16 << 20)
/* Bytes of a piece in the log, beside its new text. */
#define PIECE_BYTES 16u

struct gate_change {
	struct gate_caller caller;
	struct gw_text *text;
	struct gw_text_delta *delta; /* to the base that it was checked by */
	uint64_t base_version, base_digest;
	uint64_t version;
	uint64_t expires_us; /* while it waits */
	bool is_repeat; /* of the configuration in force; without a caller */
};

struct gate_changes {
	struct gate_change *waiting[CHANGES_MAX]; /* in order of arrival */
	size_t nwaiting;
	size_t waiting_bytes;
	struct gate_change *in_flight;
	uint64_t proposal; /* of in_flight */
};

struct gate_changes *
gate_changes_create(void)
{
	return mem_alloc(1, sizeof(struct gate_changes));
}

static void
change_destroy(struct gate_change *c)
{
	if (c == NULL)
		return;
	gw_text_delta_destroy(c->delta);
	gw_text_destroy(c->text);
	free(c);
}

void
gate_changes_destroy(struct gate_changes *changes)
{
	size_t i;

	for (i = 0; i < changes->nwaiting; i++)
		change_destroy(changes->waiting[i]);
	change_destroy(changes->in_flight);
	free(changes);
}

size_t
gate_change_waiting_count(const struct gate_changes *changes)
{
	return changes->nwaiting;
}

/* Takes a change out of the queue. */
static struct gate_change *
take_waiting(struct gate_changes *changes, size_t i)
{
	struct gate_change *c = changes->waiting[i];

	changes->nwaiting--;
	changes->waiting_bytes -= gw_text_bytes(c->text);
	memmove(&changes->waiting[i], &changes->waiting[i + 1],
	    (changes->nwaiting - i) * sizeof(changes->waiting[0]));
	return c;
}

/* ---- proposing ---------------------------------------------------------- */

/* Whether this instance may still be the only leader. */
static bool
is_leading(const struct node *n)
{
	return n->raft != NULL && n->gate->placing &&
	    (raft_authority_until(n->raft) > n->now ||
		!node_guards.gate_leased);
}

static void
fill_piece(Wire__ConfigPiece *out, const struct gw_text_piece *p)
{
	size_t i;

	wire__config_piece__init(out);
	out->from = (uint32_t)p->from;
	out->count = (uint32_t)p->count;
	out->n_inserted = p->ninserted;
	out->inserted = mem_alloc(p->ninserted + 1, sizeof(*out->inserted));
	for (i = 0; i < p->ninserted; i++) {
		out->inserted[i].data = (uint8_t *)p->inserted[i].data;
		out->inserted[i].len = p->inserted[i].len;
	}
}

static uint64_t
propose(struct node *n, Wire__GatewayConfig *put)
{
	Wire__Command command = WIRE__COMMAND__INIT;

	command.body_case = WIRE__COMMAND__BODY_GATEWAY_CONFIG;
	command.gateway_config = put;
	return node_propose(n, NODE_PROPOSE_GATE, 0,
	    n->now + GATE_PROPOSAL_TIMEOUT_US, &command);
}

static uint64_t
propose_whole(struct node *n, const struct gate_change *c)
{
	Wire__GatewayConfig put = WIRE__GATEWAY_CONFIG__INIT;
	struct buf text = {0};
	uint64_t proposal;

	gw_text_join(c->text, &text);
	put.version = c->version;
	put.text.data = (uint8_t *)text.data;
	put.text.len = text.len;
	proposal = propose(n, &put);
	buf_free(&text);
	return proposal;
}

static uint64_t
propose_delta(struct node *n, const struct gate_change *c)
{
	const struct gw_text_delta *delta = c->delta;
	Wire__GatewayConfig put = WIRE__GATEWAY_CONFIG__INIT;
	Wire__ConfigPiece *pieces =
	    mem_alloc(delta->npieces + 1, sizeof(*pieces));
	uint64_t proposal;
	size_t i;

	put.version = c->version;
	put.base_version = c->base_version;
	put.base_digest = c->base_digest;
	put.digest = gw_text_digest(c->text);
	put.n_pieces = delta->npieces;
	put.pieces = mem_alloc(delta->npieces + 1, sizeof(*put.pieces));
	for (i = 0; i < delta->npieces; i++) {
		fill_piece(&pieces[i], &delta->pieces[i]);
		put.pieces[i] = &pieces[i];
	}
	proposal = propose(n, &put);
	for (i = 0; i < delta->npieces; i++)
		free(pieces[i].inserted);
	free(pieces);
	free(put.pieces);
	return proposal;
}

static uint64_t
get_version(const struct node_gate *g)
{
	return g->config == NULL ? 0 : g->config->version;
}

/* Describes a change as a difference to the configuration in force. */
static void
set_base(const struct node_gate *g, struct gate_change *c)
{
	uint64_t version = get_version(g);
	uint64_t digest = gw_text_digest(g->config_text);

	if (c->delta != NULL && c->base_version == version &&
	    c->base_digest == digest)
		return;
	gw_text_delta_destroy(c->delta);
	c->delta = gw_text_diff(g->config_text, c->text);
	c->base_version = version;
	c->base_digest = digest;
}

/* Whether each member can read differences. */
static bool
can_all_read_deltas(const struct node *n)
{
	if (node_acts_as_earlier_version(n->id))
		return false;
	return !node_guards.gate_capable ||
	    member_view_all_have(n->view, MEMBER_CAN_CONFIG_DELTAS);
}

/*
 * Proposes the change in flight, as a difference if that is shorter and all
 * members can read it.
 */
static void
propose_in_flight(struct node *n, bool as_whole)
{
	struct gate_changes *changes = n->gate->changes;
	struct gate_change *c = changes->in_flight;

	/* A base that others lack a newer configuration of is of no use. */
	if (as_whole || n->gate->config == NULL || n->gate->config_unreadable ||
	    !can_all_read_deltas(n)) {
		changes->proposal = propose_whole(n, c);
		return;
	}
	set_base(n->gate, c);
	if (c->delta->npieces * PIECE_BYTES + gw_text_delta_bytes(c->delta) <
	    gw_text_bytes(c->text))
		changes->proposal = propose_delta(n, c);
	else
		changes->proposal = propose_whole(n, c);
}

/* Proposes the highest version that waits; of several the first to arrive. */
static void
propose_next(struct node *n)
{
	struct gate_changes *changes = n->gate->changes;
	size_t i, highest = 0;

	if (changes->in_flight != NULL || changes->nwaiting == 0 ||
	    !is_leading(n))
		return;
	for (i = 1; i < changes->nwaiting; i++)
		if (changes->waiting[i]->version >
		    changes->waiting[highest]->version)
			highest = i;
	changes->in_flight = take_waiting(changes, highest);
	propose_in_flight(n, false);
}

/* ---- the log ------------------------------------------------------------ */

/*
 * Answers a change by the configuration in force; false: it is a newer one.
 */
static bool
answer_by_config(struct node *n, const struct gate_caller *caller,
    uint64_t version, const struct gw_text *text)
{
	const struct node_gate *g = n->gate;

	if (g->config == NULL || version > g->config->version)
		return false;
	if (version < g->config->version)
		gate_control_answer_change(n, caller, GATE_TAKEN);
	else
		gate_control_answer_change(n, caller,
		    gw_text_is_equal(g->config_text, text) ? GATE_TAKEN
							   : GATE_CONFLICT);
	return true;
}

void
gate_change_on_config(struct node *n)
{
	struct gate_changes *changes = n->gate->changes;
	const struct gate_change *c;
	size_t i = 0;

	while (i < changes->nwaiting && node_guards.gate_highest) {
		c = changes->waiting[i];
		if (answer_by_config(n, &c->caller, c->version, c->text))
			change_destroy(take_waiting(changes, i));
		else
			i++;
	}
}

bool
gate_change_on_applied(
    struct node *n, uint64_t proposal, enum gate_verdict verdict)
{
	struct gate_changes *changes = n->gate->changes;
	struct gate_change *c = changes->in_flight;

	if (c == NULL || changes->proposal != proposal)
		return false;
	if (verdict == GATE_BASE_MISMATCH && is_leading(n)) {
		propose_in_flight(n, true);
		return true;
	}
	changes->in_flight = NULL;
	if (!c->is_repeat)
		gate_control_answer_change(n, &c->caller, verdict);
	change_destroy(c);
	propose_next(n);
	return true;
}

struct gw_text *
gate_change_share_text(const struct node *n, const Wire__GatewayConfig *put)
{
	const struct gate_change *c = n->gate->changes->in_flight;

	if (c == NULL || c->delta == NULL || c->version != put->version ||
	    c->base_version != put->base_version ||
	    c->base_digest != put->base_digest ||
	    gw_text_digest(c->text) != put->digest)
		return NULL;
	return gw_text_share(c->text);
}

bool
gate_change_on_expired(struct node *n, uint64_t proposal)
{
	struct gate_changes *changes = n->gate->changes;

	if (changes->in_flight == NULL || changes->proposal != proposal)
		return false;
	if (!changes->in_flight->is_repeat)
		gate_control_answer(n, &changes->in_flight->caller, 503,
		    "undecided; send it again");
	change_destroy(changes->in_flight);
	changes->in_flight = NULL;
	propose_next(n);
	return true;
}

/*
 * The change in flight of an instance that leads no more is answered by what
 * becomes of it in the log, and holds up no change of its next time as leader.
 */
static void
leave_in_flight(struct node *n)
{
	struct gate_changes *changes = n->gate->changes;
	struct gate_caller *stored;

	if (changes->in_flight == NULL)
		return;
	if (!changes->in_flight->is_repeat) {
		stored = mem_alloc(1, sizeof(*stored));
		*stored = changes->in_flight->caller;
		(void)map_set_u64(n->gate->callers, changes->proposal, stored);
	}
	change_destroy(changes->in_flight);
	changes->in_flight = NULL;
}

/* ---- members of earlier program versions -------------------------------- */

/* Returns the first member that can't read differences, 0: none. */
static uint32_t
find_incapable(const struct node *n)
{
	const struct member *m;
	size_t i;

	for (i = 0; i < member_view_count(n->view); i++) {
		m = member_view_at(n->view, i);
		if ((m->capabilities & MEMBER_CAN_CONFIG_DELTAS) == 0)
			return m->id;
	}
	return 0;
}

static void
log_form(struct node *n, bool is_whole)
{
	if (n->gate->is_form_whole == is_whole)
		return;
	n->gate->is_form_whole = is_whole;
	node_log(n, NODE_LOG_GATE_FORM, "{\"differences\": %s, \"member\": %u}",
	    is_whole ? "false" : "true", find_incapable(n));
}

/*
 * Proposes the configuration in force again as a whole text if a member can't
 * read the difference by which it came. The version and the content stay, so
 * nothing changes for the members that have read it.
 */
static void
repeat_whole(struct node *n)
{
	struct node_gate *g = n->gate;
	struct gate_change *c;
	bool is_whole = !can_all_read_deltas(n);

	log_form(n, is_whole);
	if (!is_whole || g->config == NULL || g->config_unreadable ||
	    g->config_is_whole || g->changes->in_flight != NULL ||
	    node_acts_as_earlier_version(n->id))
		return;
	c = mem_alloc(1, sizeof(*c));
	c->text = gw_text_share(g->config_text);
	c->version = g->config->version;
	c->is_repeat = true;
	g->changes->in_flight = c;
	g->config_counts.repeats++;
	node_log(n, NODE_LOG_GATE_REPEATED,
	    "{\"version\": %llu, \"bytes\": %zu}",
	    (unsigned long long)c->version, gw_text_bytes(c->text));
	propose_in_flight(n, true);
}

void
gate_change_tick(struct node *n)
{
	struct gate_changes *changes = n->gate->changes;
	bool leads = is_leading(n);
	struct gate_change *c;
	size_t i = 0;

	if (!leads)
		leave_in_flight(n);
	while (i < changes->nwaiting) {
		if (leads && n->now < changes->waiting[i]->expires_us) {
			i++;
			continue;
		}
		c = take_waiting(changes, i);
		gate_control_answer(n, &c->caller, 503,
		    leads ? "not accepted in time; send it again"
			  : "this instance does not lead");
		change_destroy(c);
	}
	propose_next(n);
	if (leads)
		repeat_whole(n);
}

/* ---- calls -------------------------------------------------------------- */

/*
 * Decodes and checks a change by its difference to the configuration in force,
 * which is changed for the check and then changed back.
 */
static int
check_change(struct node *n, struct gate_change *c, struct mp_error *err)
{
	struct node_gate *g = n->gate;
	struct gw_config *config =
	    g->config == NULL ? gw_config_create() : g->config;
	struct gw_update *update;
	int rc;

	set_base(g, c);
	rc = gw_update_prepare(
	    &update, g->codec, config, g->config_text, c->text, c->delta, err);
	if (rc == MP_OK) {
		c->version = gw_update_version(update);
		rc = gw_update_apply(update, err);
		if (!node_guards.gate_checked)
			rc = MP_OK;
		gw_update_revert(update);
	}
	gw_update_destroy(update);
	if (g->config == NULL)
		gw_config_destroy(config);
	return rc;
}

/*
 * Of text that is not JSON, only a parser of the whole can name the place. Such
 * errors begin with the path of the whole.
 */
static void
locate_error(const struct node *n, struct node_bytes text, struct mp_error *err)
{
	struct gw_config *config = NULL;

	if (strncmp(err->message, "$:", 2) != 0)
		return;
	(void)n->gate->codec->read_config(&config, text, err);
	gw_config_destroy(config);
}

static void
add_waiting(struct node *n, struct gate_change *c)
{
	struct gate_changes *changes = n->gate->changes;

	c->expires_us = n->now + GATE_PROPOSAL_TIMEOUT_US;
	changes->waiting_bytes += gw_text_bytes(c->text);
	changes->waiting[changes->nwaiting++] = c;
}

/* Whether a change finds no room among those that wait. */
static bool
is_full(const struct gate_changes *changes, const struct gw_text *text)
{
	return changes->nwaiting == CHANGES_MAX ||
	    gw_text_bytes(text) > CHANGES_MAX_BYTES - changes->waiting_bytes;
}

/*
 * An older version is acknowledged and changes nothing, since a newer one has
 * replaced it. The current version is acknowledged again, but refused with
 * other content. So is one that is in the log, but can't be read here.
 */
void
gate_change_put(
    struct node *n, struct node_bytes text, const struct gate_caller *caller)
{
	const struct gw_text *unread = n->gate->unread_text;
	struct gate_change *c;
	struct mp_error err = {0};
	int rc;

	if (unread != NULL && gw_text_is_bytes(unread, text)) {
		gate_control_answer_change(n, caller, GATE_TAKEN);
		return;
	}
	c = mem_alloc(1, sizeof(*c));
	rc = gw_text_parse(&c->text, text, n->gate->config_text, &err);
	c->caller = *caller;
	if (rc == MP_OK)
		rc = check_change(n, c, &err);
	if (rc != MP_OK) {
		locate_error(n, text, &err);
		gate_control_answer(n, caller, 400, err.message);
	} else if (!answer_by_config(n, caller, c->version, c->text)) {
		if (!is_full(n->gate->changes, c->text)) {
			add_waiting(n, c);
			propose_next(n);
			return;
		}
		gate_control_answer(
		    n, caller, 503, "too many changes wait; send it again");
	}
	change_destroy(c);
}
