/* Listing, history and snapshots of the document table. */

#include <stdlib.h>
#include <string.h>

#include "doc/book.pb-c.h"
#include "doc/doc.h"
#include "doc/doc_table.h"
#include "util/mem.h"
#include "wire/seal.h"

/* A team whose changes were all conflicts has no document. */
size_t
doc_table_count(const struct doc_table *table)
{
	size_t i, n = 0;

	for (i = 0; i < table->nteams; i++)
		n += table->teams[i]->current != NULL;
	return n;
}

struct doc *
doc_table_at(const struct doc_table *table, size_t i)
{
	size_t pos;

	for (pos = 0; pos < table->nteams; pos++)
		if (table->teams[pos]->current != NULL && i-- == 0)
			return table->teams[pos]->current;
	return NULL;
}

void
doc_table_print_history(
    const struct doc_table *table, const char *team, struct buf *out)
{
	const struct doc_team *t = doc_table_find_team(table, team);
	const struct doc_revision *rev;
	size_t i;

	buf_puts(out, "[");
	for (i = t == NULL ? 0 : t->nhistory; i > 0; i--) {
		rev = &t->history[i - 1];
		buf_printf(out,
		    "%s{\"revision\":%llu,\"index\":%llu,\"timeMs\":%llu,"
		    "\"changeId\":",
		    i == t->nhistory ? "" : ",",
		    (unsigned long long)rev->revision,
		    (unsigned long long)rev->index,
		    (unsigned long long)rev->time_ms);
		buf_json_string(out, rev->change_id);
		buf_puts(out, ",\"operator\":");
		buf_json_string(out, rev->operator_name);
		buf_puts(out, ",\"document\":");
		buf_append(out, rev->text, rev->text_len);
		buf_puts(out, "}");
	}
	buf_puts(out, "]");
}

static void
doc_save_changes(Book__Team *to, const struct doc_team *t)
{
	const struct doc_change *change;
	Book__Change *items;
	size_t i;

	if (t->nchanges == 0)
		return;
	items = mem_alloc(t->nchanges, sizeof(*items));
	to->changes = mem_alloc(t->nchanges, sizeof(Book__Change *));
	to->n_changes = t->nchanges;
	for (i = 0; i < t->nchanges; i++) {
		change = doc_team_change_at(t, i);
		book__change__init(&items[i]);
		items[i].id = change->id;
		items[i].accepted = change->accepted;
		items[i].revision = change->revision;
		items[i].index = change->index;
		to->changes[i] = &items[i];
	}
}

static void
doc_save_history(Book__Team *to, const struct doc_team *t)
{
	const struct doc_revision *rev;
	Book__Text *items;
	size_t i;

	if (t->nhistory == 0)
		return;
	items = mem_alloc(t->nhistory, sizeof(*items));
	to->history = mem_alloc(t->nhistory, sizeof(Book__Text *));
	to->n_history = t->nhistory;
	for (i = 0; i < t->nhistory; i++) {
		rev = &t->history[i];
		book__text__init(&items[i]);
		items[i].revision = rev->revision;
		items[i].index = rev->index;
		items[i].change_id = rev->change_id;
		items[i].operator_ = rev->operator_name;
		items[i].time_ms = rev->time_ms;
		items[i].body.data = (uint8_t *)rev->text;
		items[i].body.len = rev->text_len;
		to->history[i] = &items[i];
	}
}

/* The items of each array are one allocation, at its first pointer. */
static void
doc_save_free(Book__Team *team)
{
	if (team->n_changes > 0)
		free(team->changes[0]);
	if (team->n_history > 0)
		free(team->history[0]);
	free(team->changes);
	free(team->history);
}

void
doc_table_save(const struct doc_table *table, struct buf *out)
{
	Book__Book book = BOOK__BOOK__INIT;
	Book__Team *items = mem_alloc(table->nteams, sizeof(*items));
	size_t i;

	book.teams = mem_alloc(table->nteams, sizeof(Book__Team *));
	book.n_teams = table->nteams;
	for (i = 0; i < table->nteams; i++) {
		book__team__init(&items[i]);
		items[i].name = table->teams[i]->name;
		doc_save_changes(&items[i], table->teams[i]);
		doc_save_history(&items[i], table->teams[i]);
		book.teams[i] = &items[i];
	}
	seal_pack(out, &book.base);
	for (i = 0; i < table->nteams; i++)
		doc_save_free(&items[i]);
	free(book.teams);
	free(items);
}

/* Restores a team; its newest revision is the current document. */
static bool
doc_restore_team(struct doc_table *table, const Book__Team *from)
{
	struct settings_problems problems = {0};
	struct doc_revision rev;
	struct doc_team *t;
	struct doc *d = NULL;
	const Book__Text *text;
	size_t i;

	if (doc_table_find_team(table, from->name) != NULL)
		return false;
	t = doc_table_add_team(table, from->name);
	for (i = 0; i < from->n_changes; i++)
		doc_team_add_change(t, from->changes[i]->id,
		    from->changes[i]->accepted, from->changes[i]->revision,
		    from->changes[i]->index);
	for (i = 0; i < from->n_history; i++) {
		text = from->history[i];
		rev = (struct doc_revision){text->revision, text->index,
		    text->change_id, text->operator_, text->time_ms,
		    (char *)text->body.data, text->body.len};
		doc_team_add_revision(t, &rev);
	}
	if (from->n_history == 0)
		return true;
	(void)doc_parse(&d, rev.text, rev.text_len, &problems, NULL);
	settings_problems_free(&problems);
	if (d == NULL || strcmp(d->team, t->name) != 0) {
		doc_unref(d);
		return false;
	}
	d->revision = rev.revision;
	d->index = rev.index;
	doc_team_set_current(table, t, d);
	return true;
}

int
doc_table_restore(
    struct doc_table *table, const char *data, size_t len, struct mp_error *err)
{
	ProtobufCMessage *message;
	const Book__Book *book;
	int rc = MP_OK;
	size_t i;

	doc_table_clear(table);
	message = seal_unpack(&book__book__descriptor, data, len, MP_LAYER_DOC,
	    "document table", err);
	if (message == NULL)
		return MP_ERR_CORRUPT;
	book = (const Book__Book *)message;
	for (i = 0; i < book->n_teams && rc == MP_OK; i++)
		if (!doc_restore_team(table, book->teams[i]))
			rc = mp_error_set(err, MP_LAYER_DOC, MP_ERR_CORRUPT,
			    "the saved document of team %s cannot be read",
			    book->teams[i]->name);
	if (rc != MP_OK)
		doc_table_clear(table);
	protobuf_c_message_free_unpacked(message, NULL);
	return rc;
}
