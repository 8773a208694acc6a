/* The replicated table of documents. */

#include <stdlib.h>
#include <string.h>

#include "doc/doc.h"
#include "doc/doc_guard.h"
#include "doc/doc_table.h"
#include "util/mem.h"

#define DOC_TEAMS_CAP_INITIAL	8
#define DOC_CHANGES_CAP_INITIAL 16

struct doc_table *
doc_table_create(void)
{
	struct doc_table *table = mem_alloc(1, sizeof(*table));

	table->teams_by_token = map_create();
	return table;
}

static void
doc_change_destroy(struct doc_change *change)
{
	free(change->id);
	free(change);
}

static void
doc_revision_free(struct doc_revision *rev)
{
	free(rev->change_id);
	free(rev->operator_name);
	free(rev->text);
}

static void
doc_team_destroy(struct doc_team *t)
{
	size_t i;

	for (i = 0; i < t->nhistory; i++)
		doc_revision_free(&t->history[i]);
	for (i = 0; i < t->nchanges; i++)
		doc_change_destroy(
		    t->changes[(t->first_change + i) % t->changes_cap]);
	free(t->changes);
	map_destroy(t->changes_by_id);
	doc_unref(t->current);
	free(t->name);
	free(t);
}

void
doc_table_clear(struct doc_table *table)
{
	size_t i;

	for (i = 0; i < table->nteams; i++)
		doc_team_destroy(table->teams[i]);
	table->nteams = 0;
	map_destroy(table->teams_by_token);
	table->teams_by_token = map_create();
}

void
doc_table_destroy(struct doc_table *table)
{
	if (table == NULL)
		return;
	doc_table_clear(table);
	map_destroy(table->teams_by_token);
	free(table->teams);
	free(table);
}

/* The index of a team, or the index at which to insert it. */
static size_t
doc_table_lower_bound(const struct doc_table *table, const char *name)
{
	size_t low = 0, high = table->nteams, mid;

	while (low < high) {
		mid = low + (high - low) / 2;
		if (strcmp(table->teams[mid]->name, name) < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

struct doc_team *
doc_table_find_team(const struct doc_table *table, const char *name)
{
	size_t pos = doc_table_lower_bound(table, name);

	if (pos == table->nteams || strcmp(table->teams[pos]->name, name) != 0)
		return NULL;
	return table->teams[pos];
}

struct doc_team *
doc_table_add_team(struct doc_table *table, const char *name)
{
	size_t pos = doc_table_lower_bound(table, name);
	struct doc_team *t = mem_alloc(1, sizeof(*t));

	t->name = mem_string(name);
	t->changes_by_id = map_create();
	if (table->nteams == table->teams_cap) {
		table->teams_cap = table->teams_cap == 0 ? DOC_TEAMS_CAP_INITIAL
							 : table->teams_cap * 2;
		table->teams = mem_resize(
		    table->teams, table->teams_cap, sizeof(struct doc_team *));
	}
	memmove(&table->teams[pos + 1], &table->teams[pos],
	    (table->nteams - pos) * sizeof(struct doc_team *));
	table->teams[pos] = t;
	table->nteams++;
	return t;
}

const struct doc_change *
doc_team_change_at(const struct doc_team *t, size_t i)
{
	return t->changes[(t->first_change + i) % t->changes_cap];
}

static void
doc_team_drop_oldest_change(struct doc_team *t)
{
	struct doc_change *oldest = t->changes[t->first_change];

	(void)map_remove_str(t->changes_by_id, oldest->id);
	doc_change_destroy(oldest);
	t->first_change = (t->first_change + 1) % t->changes_cap;
	t->nchanges--;
}

/* Doubles the ring buffer; the oldest change moves to index 0. */
static void
doc_team_grow_changes(struct doc_team *t)
{
	size_t i,
	    cap = t->changes_cap == 0 ? DOC_CHANGES_CAP_INITIAL
				      : t->changes_cap * 2;
	struct doc_change **changes =
	    mem_alloc(cap, sizeof(struct doc_change *));

	for (i = 0; i < t->nchanges; i++)
		changes[i] = t->changes[(t->first_change + i) % t->changes_cap];
	free(t->changes);
	t->changes = changes;
	t->changes_cap = cap;
	t->first_change = 0;
}

void
doc_team_add_change(struct doc_team *t, const char *id, bool accepted,
    uint64_t revision, uint64_t index)
{
	struct doc_change *change;

	if (id[0] == '\0')
		return;
	if (t->nchanges == DOC_CHANGES_MAX)
		doc_team_drop_oldest_change(t);
	if (t->nchanges == t->changes_cap)
		doc_team_grow_changes(t);
	change = mem_alloc(1, sizeof(*change));
	change->id = mem_string(id);
	change->accepted = accepted;
	change->revision = revision;
	change->index = index;
	t->changes[(t->first_change + t->nchanges) % t->changes_cap] = change;
	t->nchanges++;
	(void)map_set_str(t->changes_by_id, id, change);
}

void
doc_team_add_revision(struct doc_team *t, const struct doc_revision *rev)
{
	struct doc_revision *slot;

	while (t->nhistory == DOC_HISTORY_MAX ||
	    (t->nhistory > 0 &&
		t->history_bytes + rev->text_len > DOC_HISTORY_BYTES_MAX)) {
		t->history_bytes -= t->history[0].text_len;
		doc_revision_free(&t->history[0]);
		t->nhistory--;
		memmove(
		    &t->history[0], &t->history[1], t->nhistory * sizeof(*rev));
	}
	slot = &t->history[t->nhistory++];
	*slot = *rev;
	slot->change_id = mem_string(rev->change_id);
	slot->operator_name = mem_string(rev->operator_name);
	slot->text = mem_copy(rev->text, rev->text_len);
	t->history_bytes += rev->text_len;
}

void
doc_team_set_current(struct doc_table *table, struct doc_team *t, struct doc *d)
{
	struct doc *old = t->current;
	size_t i;

	for (i = 0; old != NULL && i < old->ntokens; i++)
		(void)map_remove_str(
		    table->teams_by_token, old->token_hashes[i]);
	for (i = 0; i < d->ntokens; i++)
		(void)map_set_str(table->teams_by_token, d->token_hashes[i], t);
	t->current = d;
	doc_unref(old);
}

int
doc_table_check_tokens(
    const struct doc_table *table, const struct doc *d, struct mp_error *err)
{
	const struct doc_team *other;
	size_t i;

	for (i = 0; i < d->ntokens; i++) {
		other = map_get_str(table->teams_by_token, d->token_hashes[i]);
		if (other != NULL && strcmp(other->name, d->team) != 0)
			return mp_error_set(err, MP_LAYER_DOC, MP_ERR_CONFLICT,
			    "$.tokens[%zu] belongs to another team", i);
	}
	return MP_OK;
}

/* Parses a committed text; NULL if it is not valid for this team. */
static struct doc *
doc_table_parse(const struct doc_table *table, const char *team,
    const char *text, size_t len)
{
	struct settings_problems problems = {0};
	struct doc *d = NULL;

	(void)doc_parse(&d, text, len, &problems, NULL);
	settings_problems_free(&problems);
	if (d != NULL &&
	    (strcmp(d->team, team) != 0 ||
		doc_table_check_tokens(table, d, NULL) != MP_OK)) {
		doc_unref(d);
		d = NULL;
	}
	return d;
}

bool
doc_table_find_change(const struct doc_table *table, const char *team,
    const char *change_id, struct doc_result *out)
{
	const struct doc_team *t = doc_table_find_team(table, team);
	const struct doc_change *change =
	    t == NULL ? NULL : map_get_str(t->changes_by_id, change_id);

	if (change == NULL)
		return false;
	out->verdict = change->accepted ? DOC_ACCEPTED : DOC_CONFLICT;
	out->is_repeated = true;
	out->revision = change->revision;
	out->index = change->index;
	return true;
}

static void
doc_table_accept(struct doc_table *table, struct doc_team *t, struct doc *d,
    const struct doc_revision *rev, struct doc_result *out)
{
	d->revision = rev->revision;
	d->index = rev->index;
	doc_team_set_current(table, t, d);
	doc_team_add_revision(t, rev);
	out->verdict = DOC_ACCEPTED;
	out->revision = rev->revision;
	out->index = rev->index;
}

void
doc_table_apply(struct doc_table *table, uint64_t index, const char *team,
    uint64_t base_revision, const char *change_id, const char *operator_name,
    uint64_t time_ms, const char *text, size_t len, struct doc_result *out)
{
	struct doc_team *t = doc_table_find_team(table, team);
	uint64_t current =
	    t == NULL || t->current == NULL ? 0 : t->current->revision;
	struct doc_revision rev = {current + 1, index, (char *)change_id,
	    (char *)operator_name, time_ms, (char *)text, len};
	struct doc *d;

	if (doc_guards.change_id &&
	    doc_table_find_change(table, team, change_id, out))
		return;
	memset(out, 0, sizeof(*out));
	out->verdict = DOC_INVALID;
	out->revision = current;
	d = text == NULL ? NULL : doc_table_parse(table, team, text, len);
	if (d == NULL && (text != NULL || base_revision == current))
		return;
	if (t == NULL)
		t = doc_table_add_team(table, team);
	if (d != NULL &&
	    (base_revision == current || !doc_guards.base_revision)) {
		doc_table_accept(table, t, d, &rev, out);
	} else {
		out->verdict = DOC_CONFLICT;
		out->index = t->current == NULL ? 0 : t->current->index;
		doc_unref(d);
	}
	doc_team_add_change(t, change_id, out->verdict == DOC_ACCEPTED,
	    out->revision, out->index);
}

struct doc *
doc_table_find(const struct doc_table *table, const char *team)
{
	const struct doc_team *t = doc_table_find_team(table, team);

	return t == NULL ? NULL : t->current;
}

struct doc *
doc_table_find_by_token(const struct doc_table *table, const char *token)
{
	char hash[65];
	const struct doc_team *t;

	doc_hash_token(hash, token);
	t = map_get_str(table->teams_by_token, hash);
	return t == NULL ? NULL : t->current;
}
