#include "mulberryctl/cmd_doc.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "mulberryctl/ctl_http.h"
#include "mulberryctl/ctl_table.h"
#include "mulberryctl/json_diff.h"

#define NITEMS(list)   (sizeof(list) / sizeof((list)[0]))
#define REVISION_MAX   1e15
#define READ_BYTES     65536
#define DUMP_PRECISION 15

bool
doc_file_read(struct ctl *c, const char *file, struct buf *out)
{
	char piece[READ_BYTES];
	FILE *f = fopen(file, "re");
	size_t n;
	bool good;

	if (f == NULL) {
		ctl_complain(c, "%s: %s", file, strerror(errno));
		return false;
	}
	while ((n = fread(piece, 1, sizeof(piece), f)) > 0)
		buf_append(out, piece, n);
	good = !ferror(f);
	if (!good)
		ctl_complain(c, "%s: %s", file, strerror(errno));
	(void)fclose(f);
	return good;
}

void
doc_print_problems(
    struct ctl *c, const char *file, const struct settings_problems *problems)
{
	const struct settings_problem *p;
	json_t *list = json_array();
	char *text;
	size_t i;

	for (i = 0; i < problems->count; i++) {
		p = &problems->items[i];
		(void)json_array_append_new(list,
		    json_pack("{s:s, s:s, s:s, s:s}", "file", file, "path",
			p->path, "found", p->found, "allowed", p->allowed));
		if (!c->json)
			(void)fprintf(c->err, "%s: %s: found %s, allowed: %s\n",
			    file, p->path, p->found, p->allowed);
	}
	if (c->json) {
		text = json_dumps(list, JSON_COMPACT);
		(void)fprintf(
		    c->out, "{\"valid\":false,\"problems\":%s}\n", text);
		free(text);
	}
	json_decref(list);
}

struct doc *
doc_file_check(struct ctl *c, const char *file, const struct buf *text)
{
	struct settings_problems problems = {0};
	struct mp_error err = {0};
	struct doc *doc = NULL;

	if (doc_parse(&doc, text->data == NULL ? "" : text->data, text->len,
		&problems, &err) != MP_OK)
		doc_print_problems(c, file, &problems);
	settings_problems_free(&problems);
	return doc;
}

void
doc_path(struct buf *out, const char *team, const char *tail)
{
	buf_puts(out, "/v1/documents/");
	ctl_encode(out, team);
	buf_puts(out, tail);
}

char *
doc_dump(const json_t *json, size_t indent)
{
	return json_dumps(
	    json, JSON_INDENT(indent) | JSON_REAL_PRECISION(DUMP_PRECISION));
}

json_t *
doc_get_past(struct ctl *c, const char *team, double revision, int *code)
{
	struct ctl_answer answer;
	struct buf path = {0};
	json_t *item, *found = NULL;
	size_t i;

	doc_path(&path, team, "/history");
	if (ctl_get(c, &answer, path.data, code)) {
		json_array_foreach(answer.json, i,
		    item) if (json_number_value(json_object_get(item,
				  "revision")) == revision) found =
		    json_incref(json_object_get(item, "document"));
		if (found == NULL) {
			ctl_complain(
			    c, "the history holds no revision %.0f", revision);
			*code = CTL_EXIT_REFUSED;
		}
	}
	ctl_answer_free(&answer);
	buf_free(&path);
	return found;
}

/* The current document; a new reference, or NULL and *code. */
static json_t *
doc_get_current(struct ctl *c, const char *team, int *code)
{
	struct ctl_answer answer;
	struct buf path = {0};
	json_t *found = NULL;

	doc_path(&path, team, "");
	if (ctl_get(c, &answer, path.data, code))
		found = json_incref(json_object_get(answer.json, "document"));
	ctl_answer_free(&answer);
	buf_free(&path);
	return found;
}

static json_t *
doc_get_either(struct ctl *c, const char *team, const char *revision, int *code)
{
	double number = 0;

	if (revision == NULL)
		return doc_get_current(c, team, code);
	*code = CTL_EXIT_USAGE;
	if (!ctl_number(c, "revision", revision, 1, REVISION_MAX, &number))
		return NULL;
	return doc_get_past(c, team, number, code);
}

int
ctl_doc_get(struct ctl *c, int argc, char **argv)
{
	const char *revision = NULL;
	const struct ctl_option options[] = {
	    {"revision", &revision, NULL, "N  an older revision"}};
	const struct ctl_usage usage = {"TEAM", 1,
	    "Print the current document of a team, or an older one.", options,
	    NITEMS(options)};
	json_t *document;
	char *text;
	int code;

	if (!ctl_parse(c, argc, argv, &usage, &code))
		return code;
	document = doc_get_either(c, c->operands[0], revision, &code);
	if (document == NULL)
		return code;
	text = doc_dump(document, c->json ? 0 : 1);
	(void)fprintf(c->out, "%s\n", text);
	free(text);
	json_decref(document);
	return code;
}

static char *
dump_value(const json_t *value)
{
	return json_dumps(value,
	    JSON_COMPACT | JSON_ENCODE_ANY |
		JSON_REAL_PRECISION(DUMP_PRECISION));
}

static void
print_diff(struct ctl *c, const json_t *diff)
{
	const json_t *item;
	char *old, *fresh;
	size_t i;

	if (json_array_size(diff) == 0)
		(void)fputs("no difference\n", c->out);
	json_array_foreach(diff, i, item)
	{
		old = dump_value(json_object_get(item, "old"));
		fresh = dump_value(json_object_get(item, "new"));
		(void)fprintf(c->out, "%c %s: %s%s%s\n",
		    old == NULL		? '+'
			: fresh == NULL ? '-'
					: '~',
		    json_string_value(json_object_get(item, "path")),
		    old == NULL ? "" : old,
		    old != NULL && fresh != NULL ? " -> " : "",
		    fresh == NULL ? "" : fresh);
		free(old);
		free(fresh);
	}
}

int
ctl_doc_diff(struct ctl *c, int argc, char **argv)
{
	const char *revision = NULL;
	const struct ctl_option options[] = {
	    {"revision", &revision, NULL, "N  compare with an older one"}};
	const struct ctl_usage usage = {"FILE", 1,
	    "Show what applying FILE would change, path by path.", options,
	    NITEMS(options)};
	struct buf text = {0};
	json_t *file = NULL, *current = NULL, *diff;
	struct doc *doc = NULL;
	char *out;
	int code;

	if (!ctl_parse(c, argc, argv, &usage, &code))
		return code;
	code = CTL_EXIT_USAGE;
	if (!doc_file_read(c, c->operands[0], &text))
		goto cleanup;
	code = CTL_EXIT_REFUSED;
	doc = doc_file_check(c, c->operands[0], &text);
	if (doc == NULL)
		goto cleanup;
	file = json_loadb(text.data, text.len, 0, NULL);
	current = doc_get_either(c, doc->team, revision, &code);
	if (current == NULL)
		goto cleanup;
	diff = json_diff(current, file);
	if (c->json) {
		out = dump_value(diff);
		(void)fprintf(c->out, "%s\n", out);
		free(out);
	} else {
		print_diff(c, diff);
	}
	json_decref(diff);
cleanup:
	json_decref(current);
	json_decref(file);
	if (doc != NULL)
		doc_unref(doc);
	buf_free(&text);
	return code;
}

int
ctl_doc_history(struct ctl *c, int argc, char **argv)
{
	static const struct ctl_usage usage = {
	    "TEAM", 1, "List the past revisions, newest first.", NULL, 0};
	static const struct ctl_column columns[] = {{"revision", "revision"},
	    {"index", "index"}, {"node time ms", "timeMs"},
	    {"operator", "operator"}, {"change", "changeId"},
	    {"adapters", "adapters"}};
	struct ctl_answer answer;
	struct buf path = {0};
	json_t *item;
	size_t i;
	int code;

	if (!ctl_parse(c, argc, argv, &usage, &code))
		return code;
	doc_path(&path, c->operands[0], "/history");
	if (ctl_get(c, &answer, path.data, &code)) {
		json_array_foreach(answer.json, i, item)(
		    void) json_object_set_new(item, "adapters",
		    json_integer((json_int_t)json_object_size(json_object_get(
			json_object_get(item, "document"), "adapters"))));
		if (c->json)
			(void)fprintf(c->out, "%s\n", answer.body.data);
		else
			ctl_table(
			    c->out, answer.json, columns, NITEMS(columns));
	}
	ctl_answer_free(&answer);
	buf_free(&path);
	return code;
}

int
ctl_doc_status(struct ctl *c, int argc, char **argv)
{
	static const struct ctl_usage usage = {"TEAM", 1,
	    "Print whether the current revision is in force everywhere.", NULL,
	    0};
	struct ctl_answer answer;
	struct buf path = {0};
	int code;

	if (!ctl_parse(c, argc, argv, &usage, &code))
		return code;
	doc_path(&path, c->operands[0], "/status");
	if (ctl_get(c, &answer, path.data, &code)) {
		if (c->json)
			(void)fprintf(c->out, "%s", answer.body.data);
		else
			(void)fprintf(c->out, "revision %lld, %s\n",
			    (long long)json_integer_value(
				json_object_get(answer.json, "revision")),
			    json_is_true(
				json_object_get(answer.json, "inForce"))
				? "in force"
				: "not in force yet");
	}
	ctl_answer_free(&answer);
	buf_free(&path);
	return code;
}

int
ctl_doc_validate(struct ctl *c, int argc, char **argv)
{
	static const struct ctl_usage usage = {"FILE", 1,
	    "Check a document without any server; print all its faults.", NULL,
	    0};
	struct buf text = {0};
	struct doc *doc = NULL;
	int code;

	if (!ctl_parse(c, argc, argv, &usage, &code))
		return code;
	code = CTL_EXIT_USAGE;
	if (doc_file_read(c, c->operands[0], &text)) {
		doc = doc_file_check(c, c->operands[0], &text);
		code = doc == NULL ? CTL_EXIT_REFUSED : CTL_EXIT_DONE;
	}
	if (doc != NULL) {
		if (c->json)
			(void)fputs(
			    "{\"valid\":true,\"problems\":[]}\n", c->out);
		else
			(void)fprintf(c->out,
			    "valid: team %s, %zu adapters, %zu kinds, %zu "
			    "services\n",
			    doc->team, doc->nadapters, doc->nkinds,
			    doc->nservices);
		doc_unref(doc);
	}
	buf_free(&text);
	return code;
}
