#include <stdlib.h>
#include <string.h>

#include "node/node_gate.h"
#include "node/node_gate_hold.h"
#include "util/mem.h"

/*
 * Requests that arrive while this entry has no usable configuration or no
 * endpoint table, as in the first second or two after a start or a loss of all
 * instances. A request is held for at most half of the time that its caller
 * waits, so that a caller that is refused after all can still try another
 * entry. No request is held when this has lasted for longer than a start takes.
 */

/* Requests are held for this long at most. */
#define HOLD_MAX_US (2000 * 1000ULL)
/* Requests are held while the entry is not ready for less than this. */
#define NOT_READY_MAX_US (5000 * 1000ULL)
/* Limits of what is held; headers are bounded by the number of requests. */
#define HOLD_REQUESTS_MAX 512u
#define HOLD_BYTES_MAX	  ((size_t)4 << 20)
/* Requests that one step starts, so that the event loop isn't blocked. */
#define START_BATCH 32u

struct held_request {
	struct node_request in; /* its strings are owned by the next field */
	struct node_effects *memory;
	uint64_t received_us;
	uint64_t until_us;
};

struct gate_hold {
	struct held_request *requests[HOLD_REQUESTS_MAX]; /* oldest first */
	size_t count;
	uint64_t not_ready_since_us; /* 0: it is ready */
	size_t bytes; /* of bodies */
	uint64_t held_total, refused_total;
};

struct gate_hold *
gate_hold_create(void)
{
	return mem_alloc(1, sizeof(struct gate_hold));
}

static void
free_held(struct gate_hold *hold, struct held_request *held)
{
	hold->bytes -= held->in.body.len;
	node_effects_destroy(held->memory);
	free(held);
}

void
gate_hold_destroy(struct gate_hold *hold)
{
	size_t i;

	for (i = 0; i < hold->count; i++)
		free_held(hold, hold->requests[i]);
	free(hold);
}

static const char *
copy_text(struct node_effects *memory, const char *text)
{
	return text == NULL ? NULL : node_effects_printf(memory, "%s", text);
}

static void
copy_request(struct held_request *held, const struct node_request *in)
{
	struct node_effects *m = node_effects_create();

	held->memory = m;
	held->in = *in;
	held->in.method = copy_text(m, in->method);
	held->in.path = copy_text(m, in->path);
	held->in.authorization = copy_text(m, in->authorization);
	held->in.idempotency_key = copy_text(m, in->idempotency_key);
	held->in.timeout = copy_text(m, in->timeout);
	held->in.content_type = copy_text(m, in->content_type);
	held->in.body.data = node_effects_copy(m, in->body.data, in->body.len);
	held->in.headers = node_effects_headers(m, in->headers, in->nheaders);
}

bool
gate_is_ready(const struct node *n)
{
	return gate_config_get_trust(n) != GATE_CONFIG_UNUSABLE &&
	    n->gate->has_table;
}

static void
note_not_ready(struct node *n)
{
	if (n->gate->hold->not_ready_since_us == 0)
		n->gate->hold->not_ready_since_us = n->now;
}

static bool
can_hold(const struct node *n, const struct gate_hold *hold, size_t bytes)
{
	return !n->stopping &&
	    n->now < hold->not_ready_since_us + NOT_READY_MAX_US &&
	    hold->count < HOLD_REQUESTS_MAX &&
	    hold->bytes + bytes <= HOLD_BYTES_MAX;
}

bool
gate_hold_add(
    struct node *n, const struct node_request *in, uint32_t deadline_ms)
{
	struct gate_hold *hold = n->gate->hold;
	uint64_t wait_us = HOLD_MAX_US;
	struct held_request *held;

	note_not_ready(n);
	if (!can_hold(n, hold, in->body.len))
		return false;
	if (deadline_ms != 0 && deadline_ms * 1000ULL / 2 < wait_us)
		wait_us = deadline_ms * 1000ULL / 2;
	held = mem_alloc(1, sizeof(*held));
	copy_request(held, in);
	held->received_us = n->now;
	held->until_us = n->now + wait_us;
	hold->requests[hold->count++] = held;
	hold->bytes += in->body.len;
	hold->held_total++;
	return true;
}

/* Takes the request at an index out; the caller frees it. */
static struct held_request *
take_at(struct gate_hold *hold, size_t i)
{
	struct held_request *held = hold->requests[i];

	hold->count--;
	memmove(&hold->requests[i], &hold->requests[i + 1],
	    (hold->count - i) * sizeof(struct held_request *));
	return held;
}

bool
gate_hold_caller_gone(struct node *n, uint64_t request)
{
	struct gate_hold *hold = n->gate->hold;
	size_t i;

	for (i = 0; i < hold->count; i++) {
		if (hold->requests[i]->in.request != request)
			continue;
		free_held(hold, take_at(hold, i));
		return true;
	}
	return false;
}

static void
start_batch(struct node *n)
{
	struct gate_hold *hold = n->gate->hold;
	struct held_request *held;
	size_t i;

	for (i = 0; i < START_BATCH && hold->count > 0; i++) {
		held = take_at(hold, 0);
		gate_start_held(n, &held->in, n->now - held->received_us);
		free_held(hold, held);
	}
}

static void
refuse_expired(struct node *n)
{
	struct gate_hold *hold = n->gate->hold;
	struct held_request *held;
	size_t i = hold->count;

	while (i-- > 0) {
		if (!n->stopping && n->now < hold->requests[i]->until_us)
			continue;
		held = take_at(hold, i);
		hold->refused_total++;
		gate_refuse_held(n, &held->in);
		free_held(hold, held);
	}
}

void
gate_hold_run(struct node *n)
{
	if (gate_is_ready(n)) {
		n->gate->hold->not_ready_since_us = 0;
		start_batch(n);
	} else {
		note_not_ready(n);
		refuse_expired(n);
	}
}

uint64_t
gate_hold_next_us(const struct node *n)
{
	const struct gate_hold *hold = n->gate->hold;
	uint64_t next = UINT64_MAX;
	size_t i;

	if (hold->count > 0 && gate_is_ready(n))
		return n->now;
	for (i = 0; i < hold->count; i++)
		if (hold->requests[i]->until_us < next)
			next = hold->requests[i]->until_us;
	return next;
}

void
gate_hold_get_counts(const struct gate_hold *hold, struct gate_hold_counts *out)
{
	out->held = hold->count;
	out->held_total = hold->held_total;
	out->refused_total = hold->refused_total;
}
