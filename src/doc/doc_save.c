#include <stdlib.h>
#include <string.h>

#include "doc/book.pb-c.h"
#include "doc/doc.h"
#include "doc/doc_table.h"
#include "util/mem.h"
#include "wire/seal.h"

/* A team that only ever had conflicts has no document: it is not listed. */
size_t
doc_table_count(const struct doc_table *b)
{
	size_t i, n = 0;

	for (i = 0; i < b->nteams; i++)
		n += b->teams[i]->current != NULL;
	return n;
}

struct doc *
doc_table_at(const struct doc_table *b, size_t i)
{
	size_t at;

	for (at = 0; at < b->nteams; at++)
		if (b->teams[at]->current != NULL && i-- == 0)
			return b->teams[at]->current;
	return NULL;
}

void
doc_table_print_history(
    const struct doc_table *b, const char *team, struct buf *out)
{
	const struct doc_team *t = doc_table_find_team(b, team);
	const struct doc_revision *past;
	size_t i;

	buf_puts(out, "[");
	for (i = t == NULL ? 0 : t->nhistory; i > 0; i--) {
		past = &t->history[i - 1];
		buf_printf(out,
		    "%s{\"revision\":%llu,\"index\":%llu,\"timeMs\":%llu,"
		    "\"changeId\":",
		    i == t->nhistory ? "" : ",",
		    (unsigned long long)past->revision,
		    (unsigned long long)past->index,
		    (unsigned long long)past->time_ms);
		buf_json_string(out, past->change_id);
		buf_puts(out, ",\"operator\":");
		buf_json_string(out, past->operator_name);
		buf_puts(out, ",\"document\":");
		buf_append(out, past->text, past->text_len);
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
	const struct doc_revision *past;
	Book__Text *items;
	size_t i;

	if (t->nhistory == 0)
		return;
	items = mem_alloc(t->nhistory, sizeof(*items));
	to->history = mem_alloc(t->nhistory, sizeof(Book__Text *));
	to->n_history = t->nhistory;
	for (i = 0; i < t->nhistory; i++) {
		past = &t->history[i];
		book__text__init(&items[i]);
		items[i].revision = past->revision;
		items[i].index = past->index;
		items[i].change_id = past->change_id;
		items[i].operator_ = past->operator_name;
		items[i].time_ms = past->time_ms;
		items[i].body.data = (uint8_t *)past->text;
		items[i].body.len = past->text_len;
		to->history[i] = &items[i];
	}
}

/* The arrays are made in one piece each, freed by their first item. */
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
doc_table_save(const struct doc_table *b, struct buf *out)
{
	Book__Book book = BOOK__BOOK__INIT;
	Book__Team *items = mem_alloc(b->nteams, sizeof(*items));
	size_t i;

	book.teams = mem_alloc(b->nteams, sizeof(Book__Team *));
	book.n_teams = b->nteams;
	for (i = 0; i < b->nteams; i++) {
		book__team__init(&items[i]);
		items[i].name = b->teams[i]->name;
		doc_save_changes(&items[i], b->teams[i]);
		doc_save_history(&items[i], b->teams[i]);
		book.teams[i] = &items[i];
	}
	seal_pack(out, &book.base);
	for (i = 0; i < b->nteams; i++)
		doc_save_free(&items[i]);
	free(book.teams);
	free(items);
}

static bool
doc_restore_team(struct doc_table *b, const Book__Team *from)
{
	struct settings_problems problems = {0};
	struct doc_revision past;
	struct doc_team *t;
	struct doc *d = NULL;
	const Book__Text *text;
	size_t i;

	if (doc_table_find_team(b, from->name) != NULL)
		return false;
	t = doc_table_add_team(b, from->name);
	for (i = 0; i < from->n_changes; i++)
		doc_team_add_change(t, from->changes[i]->id,
		    from->changes[i]->accepted, from->changes[i]->revision,
		    from->changes[i]->index);
	for (i = 0; i < from->n_history; i++) {
		text = from->history[i];
		past = (struct doc_revision){text->revision, text->index,
		    text->change_id, text->operator_, text->time_ms,
		    (char *)text->body.data, text->body.len};
		doc_team_add_revision(t, &past);
	}
	if (from->n_history == 0)
		return true;
	(void)doc_parse(&d, past.text, past.text_len, &problems, NULL);
	settings_problems_free(&problems);
	if (d == NULL || strcmp(d->team, t->name) != 0) {
		doc_unref(d);
		return false;
	}
	d->revision = past.revision;
	d->index = past.index;
	doc_team_set_current(b, t, d);
	return true;
}

int
doc_table_restore(
    struct doc_table *b, const char *data, size_t len, struct mp_error *err)
{
	ProtobufCMessage *message;
	const Book__Book *book;
	int rc = MP_OK;
	size_t i;

	doc_table_clear(b);
	message = seal_unpack(&book__book__descriptor, data, len, MP_LAYER_DOC,
	    "document table", err);
	if (message == NULL)
		return MP_ERR_CORRUPT;
	book = (const Book__Book *)message;
	for (i = 0; i < book->n_teams && rc == MP_OK; i++)
		if (!doc_restore_team(b, book->teams[i]))
			rc = mp_error_set(err, MP_LAYER_DOC, MP_ERR_CORRUPT,
			    "the saved document of team %s cannot be read",
			    book->teams[i]->name);
	if (rc != MP_OK)
		doc_table_clear(b);
	protobuf_c_message_free_unpacked(message, NULL);
	return rc;
}
