/* The replicated table of claims. */

#include <stdlib.h>
#include <string.h>

#include "claim/claim.h"
#include "claim/claim_table.h"
#include "util/mem.h"

#define CLAIM_EXPIRED_PER_START_MAX 16

/*
 * Limits one advance of the table's clock, so that an instance whose clock is
 * far ahead does not expire claims that others still rely on.
 */
#define CLAIM_CLOCK_STEP_MAX_MS (120ULL * 1000)

/* The map key of a process; without padding, as the map hashes its bytes. */
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

/* Builds "team NUL key", which is unique as names of teams have no NUL. */
static void
claim_make_map_key(struct buf *map_key, const char *team, const char *key)
{
	buf_append(map_key, team, strlen(team) + 1);
	buf_puts(map_key, key);
}

static struct claim_entry *
claim_find_entry(const struct claim_table *t, const char *team, const char *key)
{
	struct buf map_key = {0};
	struct claim_entry *e;

	claim_make_map_key(&map_key, team, key);
	e = map_get(t->entries, map_key.data, map_key.len);
	buf_free(&map_key);
	return e;
}

bool
claim_table_add(struct claim_table *t, struct claim_entry *e)
{
	struct buf map_key = {0};
	bool is_new;

	claim_make_map_key(&map_key, e->claim.team, e->claim.key);
	is_new = map_get(t->entries, map_key.data, map_key.len) == NULL;
	if (is_new)
		(void)map_set(t->entries, map_key.data, map_key.len, e);
	buf_free(&map_key);
	return is_new;
}

static void
claim_table_remove(struct claim_table *t, struct claim_entry *e)
{
	struct buf map_key = {0};

	claim_make_map_key(&map_key, e->claim.team, e->claim.key);
	(void)map_remove(t->entries, map_key.data, map_key.len);
	buf_free(&map_key);
	claim_entry_destroy(e);
}

void
claim_table_add_running(struct claim_table *t, struct claim_entry *e)
{
	struct claim_process_key key = {
	    e->claim.incarnation, e->claim.instance};
	struct claim_process *process =
	    map_get(t->processes, &key, sizeof(key));

	if (process == NULL) {
		process = mem_alloc(1, sizeof(*process));
		TAILQ_INIT(&process->running);
		(void)map_set(t->processes, &key, sizeof(key), process);
	}
	e->claim.state = CLAIM_RUNNING;
	e->process = process;
	TAILQ_INSERT_TAIL(&process->running, e, link);
}

/* Removes a running claim from its process; frees the process if empty. */
static void
claim_table_remove_running(struct claim_table *t, struct claim_entry *e)
{
	struct claim_process_key key = {
	    e->claim.incarnation, e->claim.instance};
	struct claim_process *process = e->process;

	TAILQ_REMOVE(&process->running, e, link);
	e->process = NULL;
	if (!TAILQ_EMPTY(&process->running))
		return;
	(void)map_remove(t->processes, &key, sizeof(key));
	free(process);
}

/* Ends a running claim, which then starts to age. */
static void
claim_table_end(
    struct claim_table *t, struct claim_entry *e, enum claim_state state)
{
	claim_table_remove_running(t, e);
	e->claim.state = state;
	e->ended_ms = t->age_ms;
	TAILQ_INSERT_TAIL(&t->ended, e, link);
}

void
claim_apply_clock(struct claim_table *t, uint64_t elapsed_ms)
{
	t->age_ms += elapsed_ms < CLAIM_CLOCK_STEP_MAX_MS
	    ? elapsed_ms
	    : CLAIM_CLOCK_STEP_MAX_MS;
}

/* Removes the oldest expired claims; the limit bounds the time of a start. */
static void
claim_table_expire(struct claim_table *t)
{
	struct claim_entry *e, *next;
	int i;

	e = TAILQ_FIRST(&t->ended);
	for (i = 0; e != NULL && i < CLAIM_EXPIRED_PER_START_MAX;
	     i++, e = next) {
		if (t->age_ms - e->ended_ms <= CLAIM_RETENTION_MS)
			break;
		next = TAILQ_NEXT(e, link);
		TAILQ_REMOVE(&t->ended, e, link);
		claim_table_remove(t, e);
	}
}

static bool
claim_is_from_proposal(const struct claim *c, uint32_t instance,
    uint64_t incarnation, uint64_t proposal)
{
	return c->instance == instance && c->incarnation == incarnation &&
	    c->proposal == proposal;
}

/* The verdict on a start whose key exists. */
static enum claim_verdict
claim_check_duplicate(const struct claim *c, const struct claim_start *start)
{
	if (c->body_hash != start->body_hash ||
	    strcmp(c->service, start->service) != 0 ||
	    strcmp(c->call, start->call) != 0)
		return CLAIM_MISMATCH;
	if (c->state == CLAIM_RUNNING &&
	    claim_is_from_proposal(
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
	e = claim_find_entry(t, start->team, start->key);
	if (e != NULL) {
		*claim = &e->claim;
		return claim_check_duplicate(&e->claim, start);
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
	struct claim_entry *e = claim_find_entry(t, end->team, end->key);

	if (e == NULL || e->claim.state == CLAIM_ANSWERED ||
	    !claim_is_from_proposal(
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
		claim_table_remove_running(t, e);
		claim_table_remove(t, e);
		break;
	case CLAIM_END_UNKNOWN:
		claim_table_end(t, e, CLAIM_STATE_UNKNOWN);
		break;
	}
	return true;
}

struct claim_end
claim_make_end(const struct claim *claim, enum claim_outcome outcome)
{
	struct claim_end end = {0};

	end.team = claim->team;
	end.key = claim->key;
	end.instance = claim->instance;
	end.incarnation = claim->incarnation;
	end.proposal = claim->proposal;
	end.outcome = outcome;
	return end;
}

size_t
claim_apply_down(struct claim_table *t, uint32_t instance, uint64_t incarnation)
{
	struct claim_process_key key = {incarnation, instance};
	struct claim_process *process;
	size_t n = 0;

	/* Ending its last claim removes the process. */
	while ((process = map_get(t->processes, &key, sizeof(key))) != NULL) {
		claim_table_end(
		    t, TAILQ_FIRST(&process->running), CLAIM_STATE_UNKNOWN);
		n++;
	}
	return n;
}

const struct claim *
claim_next_running(const struct claim_table *t, uint32_t instance,
    uint64_t incarnation, const struct claim *after)
{
	struct claim_process_key key = {incarnation, instance};
	const struct claim_process *process =
	    map_get(t->processes, &key, sizeof(key));
	const struct claim_entry *e = (const struct claim_entry *)after;

	if (process == NULL)
		return NULL;
	e = e == NULL ? TAILQ_FIRST(&process->running) : TAILQ_NEXT(e, link);
	return e == NULL ? NULL : &e->claim;
}

const struct claim *
claim_find(const struct claim_table *t, const char *team, const char *key)
{
	const struct claim_entry *e = claim_find_entry(t, team, key);

	return e == NULL ? NULL : &e->claim;
}

size_t
claim_count(const struct claim_table *t)
{
	return map_count(t->entries);
}
