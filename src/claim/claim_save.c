/* Listing and snapshots of the claim table. */

#include <stdlib.h>
#include <string.h>

#include "claim/claim.h"
#include "claim/claim_table.h"
#include "claim/table.pb-c.h"
#include "util/mem.h"
#include "wire/seal.h"

static int
claim_entry_compare(const void *a, const void *b)
{
	const struct claim_entry *const *x = a, *const *y = b;

	return ((*x)->claim.index > (*y)->claim.index) -
	    ((*x)->claim.index < (*y)->claim.index);
}

/*
 * Returns the entries sorted by log index in an array that the caller frees.
 *
 * running_only: omit claims that have ended.
 * n: the number of entries.
 */
static struct claim_entry **
claim_sort_entries(const struct claim_table *t, bool running_only, size_t *n)
{
	struct claim_entry **sorted =
	    mem_alloc(map_count(t->entries), sizeof(struct claim_entry *));
	struct claim_entry *e;
	size_t i;

	*n = 0;
	for (i = 0; i < map_count(t->entries); i++) {
		e = map_at(t->entries, i);
		if (!running_only || e->claim.state == CLAIM_RUNNING)
			sorted[(*n)++] = e;
	}
	qsort(sorted, *n, sizeof(struct claim_entry *), claim_entry_compare);
	return sorted;
}

static void
claim_print(const struct claim *c, struct buf *out)
{
	static const char *const states[] = {"running", "answered", "unknown"};

	buf_puts(out, "{\"team\":");
	buf_json_string(out, c->team);
	buf_puts(out, ",\"key\":");
	buf_json_string(out, c->key);
	buf_printf(out, ",\"state\":\"%s\",\"service\":", states[c->state]);
	buf_json_string(out, c->service);
	buf_puts(out, ",\"call\":");
	buf_json_string(out, c->call);
	buf_printf(out, ",\"instance\":%u,\"index\":%llu,\"timeMs\":%llu",
	    c->instance, (unsigned long long)c->index,
	    (unsigned long long)c->time_ms);
	if (c->state == CLAIM_ANSWERED)
		buf_printf(out, ",\"status\":%d,\"answerBytes\":%zu", c->status,
		    c->answer_len);
	buf_puts(out, "}");
}

void
claim_list(const struct claim_table *t, const char *team, bool unknown_only,
    struct buf *out)
{
	struct claim_entry **sorted;
	const struct claim *c;
	const char *comma = "";
	size_t i, n;

	sorted = claim_sort_entries(t, false, &n);
	buf_puts(out, "[");
	for (i = 0; i < n; i++) {
		c = &sorted[i]->claim;
		if ((team != NULL && strcmp(c->team, team) != 0) ||
		    (unknown_only && c->state != CLAIM_STATE_UNKNOWN))
			continue;
		buf_puts(out, comma);
		claim_print(c, out);
		comma = ",";
	}
	buf_puts(out, "]");
	free(sorted);
}

static void
claim_pack(Table__Claim *to, const struct claim_entry *e)
{
	const struct claim *c = &e->claim;

	table__claim__init(to);
	to->state = c->state;
	to->team = c->team;
	to->key = c->key;
	to->body_hash = c->body_hash;
	to->service = c->service;
	to->call = c->call;
	to->instance = c->instance;
	to->incarnation = c->incarnation;
	to->proposal = c->proposal;
	to->index = c->index;
	to->time_ms = c->time_ms;
	to->status = (uint32_t)c->status;
	if (c->content_type != NULL)
		to->content_type = c->content_type;
	to->answer.data = (uint8_t *)c->answer;
	to->answer.len = c->answer_len;
	to->ended_ms = e->ended_ms;
}

void
claim_save(const struct claim_table *t, struct buf *out)
{
	Table__Table table = TABLE__TABLE__INIT;
	size_t i, nrunning, n = map_count(t->entries);
	Table__Claim *items = mem_alloc(n, sizeof(*items));
	Table__Claim **refs = mem_alloc(n, sizeof(Table__Claim *));
	struct claim_entry **running = claim_sort_entries(t, true, &nrunning);
	const struct claim_entry *e;

	for (i = 0; i < n; i++)
		refs[i] = &items[i];
	for (i = 0; i < nrunning; i++)
		claim_pack(&items[i], running[i]);
	for (e = TAILQ_FIRST(&t->ended); e != NULL; e = TAILQ_NEXT(e, link))
		claim_pack(&items[i++], e);
	table.age_ms = t->age_ms;
	table.running = refs;
	table.n_running = nrunning;
	table.ended = refs + nrunning;
	table.n_ended = n - nrunning;
	seal_pack(out, &table.base);
	free(running);
	free(refs);
	free(items);
}

static struct claim_entry *
claim_unpack(const Table__Claim *from)
{
	struct claim_entry *e = mem_alloc(1, sizeof(*e));
	struct claim *c = &e->claim;

	c->state = (enum claim_state)from->state;
	c->team = mem_string(from->team);
	c->key = mem_string(from->key);
	c->body_hash = from->body_hash;
	c->service = mem_string(from->service);
	c->call = mem_string(from->call);
	c->instance = from->instance;
	c->incarnation = from->incarnation;
	c->proposal = from->proposal;
	c->index = from->index;
	c->time_ms = from->time_ms;
	c->status = (int)from->status;
	if (c->state == CLAIM_ANSWERED) {
		c->content_type = mem_string(from->content_type);
		c->answer = mem_copy(from->answer.data, from->answer.len);
		c->answer_len = from->answer.len;
	}
	e->ended_ms = from->ended_ms;
	return e;
}

static bool
claim_restore_entries(struct claim_table *t, const Table__Table *table)
{
	struct claim_entry *e;
	size_t i;

	t->age_ms = table->age_ms;
	for (i = 0; i < table->n_ended; i++) {
		if (table->ended[i]->state != CLAIM_ANSWERED &&
		    table->ended[i]->state != CLAIM_STATE_UNKNOWN)
			return false;
		e = claim_unpack(table->ended[i]);
		if (!claim_table_add(t, e)) {
			claim_entry_destroy(e);
			return false;
		}
		TAILQ_INSERT_TAIL(&t->ended, e, link);
	}
	for (i = 0; i < table->n_running; i++) {
		e = claim_unpack(table->running[i]);
		if (!claim_table_add(t, e)) {
			claim_entry_destroy(e);
			return false;
		}
		claim_table_add_running(t, e);
	}
	return true;
}

int
claim_restore(
    struct claim_table *t, const char *data, size_t len, struct mp_error *err)
{
	ProtobufCMessage *message;
	int rc = MP_OK;

	claim_table_clear(t);
	message = seal_unpack(&table__table__descriptor, data, len,
	    MP_LAYER_CLAIM, "claim table", err);
	if (message == NULL)
		return MP_ERR_CORRUPT;
	if (!claim_restore_entries(t, (const Table__Table *)message)) {
		claim_table_clear(t);
		rc = mp_error_set(err, MP_LAYER_CLAIM, MP_ERR_CORRUPT,
		    "the saved claim table contradicts itself");
	}
	protobuf_c_message_free_unpacked(message, NULL);
	return rc;
}
