#include <stdlib.h>
#include <string.h>

#include "claim/claim.h"
#include "claim/claim_table.h"
#include "util/mem.h"

#define CLAIM_EXPIRE_BATCH 16 /* entries dropped by one start at most */

/*
 * How far one start may move the table's clock: a proposer whose clock is
 * far ahead must not expire what others still rely on.
 */
#define CLAIM_STEP_MS (120ULL * 1000) /* the most one advance can be */

struct claim_process_key {
	uint64_t incarnation;
	uint64_t instance;
};

struct claim_table *
claim_table_create(void)
{
	struct claim_table *t = mem_alloc(1, sizeof(*t));

	t->entries = map_create();
	t->processes = map_create();
	TAILQ_INIT(&t->ended);
	return t;
}

void
claim_entry_destroy(struct claim_entry *e)
{
	free(e->claim.team);
	free(e->claim.key);
	free(e->claim.service);
	free(e->claim.call);
	free(e->claim.content_type);
	free(e->claim.answer);
	free(e);
}

void
claim_table_clear(struct claim_table *t)
{
	size_t i;

	for (i = 0; i < map_count(t->entries); i++)
		claim_entry_destroy(map_at(t->entries, i));
	for (i = 0; i < map_count(t->processes); i++)
		free(map_at(t->processes, i));
	map_destroy(t->entries);
	map_destroy(t->processes);
	t->entries = map_create();
	t->processes = map_create();
	TAILQ_INIT(&t->ended);
	t->age_ms = 0;
}

void
claim_table_destroy(struct claim_table *t)
{
	if (t == NULL)
		return;
	claim_table_clear(t);
	map_destroy(t->entries);
	map_destroy(t->processes);
	free(t);
}

/* "team NUL key": a team's name holds no NUL. */
static void
claim_name(struct buf *name, const char *team, const char *key)
{
	buf_append(name, team, strlen(team) + 1);
	buf_puts(name, key);
}

static struct claim_entry *
claim_entry_find(const struct claim_table *t, const char *team, const char *key)
{
	struct buf name = {0};
	struct claim_entry *e;

	claim_name(&name, team, key);
	e = map_get(t->entries, name.data, name.len);
	buf_free(&name);
	return e;
}

bool
claim_table_add(struct claim_table *t, struct claim_entry *e)
{
	struct buf name = {0};
	bool fresh;

	claim_name(&name, e->claim.team, e->claim.key);
	fresh = map_get(t->entries, name.data, name.len) == NULL;
	if (fresh)
		(void)map_set(t->entries, name.data, name.len, e);
	buf_free(&name);
	return fresh;
}

static void
claim_table_remove(struct claim_table *t, struct claim_entry *e)
{
	struct buf name = {0};

	claim_name(&name, e->claim.team, e->claim.key);
	(void)map_remove(t->entries, name.data, name.len);
	buf_free(&name);
	claim_entry_destroy(e);
}

void
claim_table_add_running(struct claim_table *t, struct claim_entry *e)
{
	struct claim_process_key key = {
	    e->claim.incarnation, e->claim.instance};
	struct claim_process *owner = map_get(t->processes, &key, sizeof(key));

	if (owner == NULL) {
		owner = mem_alloc(1, sizeof(*owner));
		TAILQ_INIT(&owner->running);
		(void)map_set(t->processes, &key, sizeof(key), owner);
	}
	e->claim.state = CLAIM_RUNNING;
	e->process = owner;
	TAILQ_INSERT_TAIL(&owner->running, e, link);
}

/* Take a running claim from its instance, which may be its last. */
static void
claim_table_stop(struct claim_table *t, struct claim_entry *e)
{
	struct claim_process_key key = {
	    e->claim.incarnation, e->claim.instance};
	struct claim_process *owner = e->process;

	TAILQ_REMOVE(&owner->running, e, link);
	e->process = NULL;
	if (!TAILQ_EMPTY(&owner->running))
		return;
	(void)map_remove(t->processes, &key, sizeof(key));
	free(owner);
}

static void
claim_table_end(
    struct claim_table *t, struct claim_entry *e, enum claim_state state)
{
	claim_table_stop(t, e);
	e->claim.state = state;
	e->ended_ms = t->age_ms;
	TAILQ_INSERT_TAIL(&t->ended, e, link);
}

void
claim_apply_clock(struct claim_table *t, uint64_t elapsed_ms)
{
	t->age_ms += elapsed_ms < CLAIM_STEP_MS ? elapsed_ms : CLAIM_STEP_MS;
}

static void
claim_table_expire(struct claim_table *t)
{
	struct claim_entry *e, *next;
	int i;

	e = TAILQ_FIRST(&t->ended);
	for (i = 0; e != NULL && i < CLAIM_EXPIRE_BATCH; i++, e = next) {
		if (t->age_ms - e->ended_ms <= CLAIM_RETENTION_MS)
			break;
		next = TAILQ_NEXT(e, link);
		TAILQ_REMOVE(&t->ended, e, link);
		claim_table_remove(t, e);
	}
}

static bool
claim_is_proposal(const struct claim *c, uint32_t instance,
    uint64_t incarnation, uint64_t proposal)
{
	return c->instance == instance && c->incarnation == incarnation &&
	    c->proposal == proposal;
}

static enum claim_verdict
claim_again(const struct claim *c, const struct claim_start *start)
{
	if (c->body_hash != start->body_hash ||
	    strcmp(c->service, start->service) != 0 ||
	    strcmp(c->call, start->call) != 0)
		return CLAIM_MISMATCH;
	if (c->state == CLAIM_RUNNING &&
	    claim_is_proposal(
		c, start->instance, start->incarnation, start->proposal))
		return CLAIM_GRANTED;
	return CLAIM_DUPLICATE;
}

enum claim_verdict
claim_apply_start(struct claim_table *t, uint64_t index,
    const struct claim_start *start, const struct claim **claim)
{
	struct claim_entry *e;

	claim_table_expire(t);
	e = claim_entry_find(t, start->team, start->key);
	if (e != NULL) {
		*claim = &e->claim;
		return claim_again(&e->claim, start);
	}
	e = mem_alloc(1, sizeof(*e));
	e->claim.team = mem_string(start->team);
	e->claim.key = mem_string(start->key);
	e->claim.body_hash = start->body_hash;
	e->claim.service = mem_string(start->service);
	e->claim.call = mem_string(start->call);
	e->claim.instance = start->instance;
	e->claim.incarnation = start->incarnation;
	e->claim.proposal = start->proposal;
	e->claim.index = index;
	e->claim.time_ms = start->time_ms;
	if (claim_table_add(t, e))
		claim_table_add_running(t, e);
	*claim = &e->claim;
	return CLAIM_GRANTED;
}

static void
claim_set_answer(struct claim *c, const struct claim_end *end)
{
	c->status = end->status;
	c->content_type =
	    mem_string(end->content_type == NULL ? "" : end->content_type);
	c->answer = mem_copy(end->answer, end->answer_len);
	c->answer_len = end->answer_len;
}

bool
claim_apply_end(struct claim_table *t, const struct claim_end *end)
{
	struct claim_entry *e = claim_entry_find(t, end->team, end->key);

	if (e == NULL || e->claim.state == CLAIM_ANSWERED ||
	    !claim_is_proposal(
		&e->claim, end->instance, end->incarnation, end->proposal))
		return false;
	if (e->claim.state == CLAIM_STATE_UNKNOWN) {
		if (end->outcome != CLAIM_END_ANSWERED)
			return false;
		e->claim.state = CLAIM_ANSWERED;
		claim_set_answer(&e->claim, end);
		return true;
	}
	switch (end->outcome) {
	case CLAIM_END_ANSWERED:
		claim_table_end(t, e, CLAIM_ANSWERED);
		claim_set_answer(&e->claim, end);
		break;
	case CLAIM_END_NOT_RUN:
		claim_table_stop(t, e);
		claim_table_remove(t, e);
		break;
	case CLAIM_END_UNKNOWN:
		claim_table_end(t, e, CLAIM_STATE_UNKNOWN);
		break;
	}
	return true;
}

struct claim_end
claim_make_end(const struct claim *claim, enum claim_outcome kind)
{
	struct claim_end end = {0};

	end.team = claim->team;
	end.key = claim->key;
	end.instance = claim->instance;
	end.incarnation = claim->incarnation;
	end.proposal = claim->proposal;
	end.outcome = kind;
	return end;
}

size_t
claim_apply_down(struct claim_table *t, uint32_t instance, uint64_t incarnation)
{
	struct claim_process_key key = {incarnation, instance};
	struct claim_process *owner;
	size_t n = 0;

	/* The owner goes away with the last of its claims. */
	while ((owner = map_get(t->processes, &key, sizeof(key))) != NULL) {
		claim_table_end(
		    t, TAILQ_FIRST(&owner->running), CLAIM_STATE_UNKNOWN);
		n++;
	}
	return n;
}

const struct claim *
claim_next_running(const struct claim_table *t, uint32_t instance,
    uint64_t incarnation, const struct claim *after)
{
	struct claim_process_key key = {incarnation, instance};
	const struct claim_process *owner =
	    map_get(t->processes, &key, sizeof(key));
	const struct claim_entry *e = (const struct claim_entry *)after;

	if (owner == NULL)
		return NULL;
	e = e == NULL ? TAILQ_FIRST(&owner->running) : TAILQ_NEXT(e, link);
	return e == NULL ? NULL : &e->claim;
}

const struct claim *
claim_find(const struct claim_table *t, const char *team, const char *key)
{
	const struct claim_entry *e = claim_entry_find(t, team, key);

	return e == NULL ? NULL : &e->claim;
}

size_t
claim_count(const struct claim_table *t)
{
	return map_count(t->entries);
}
