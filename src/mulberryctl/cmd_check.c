#include <stdlib.h>

#include "mulberryctl/check.h"
#include "mulberryctl/cmd_doc.h"
#include "mulberryctl/ctl.h"

/* The command "check": a gateway configuration, without any server. */

enum check_exit {
	CHECK_EXIT_NOTHING = 0,
	CHECK_EXIT_WARNINGS = 1,
	CHECK_EXIT_ERRORS = 2 /* also of usage and files */
};

static const char *
name_level(enum check_level level)
{
	static const char *const names[] = {"error", "warning", "difference"};

	return names[level];
}

static void
print_json(struct ctl *c, const struct check_findings *findings)
{
	static const char *const lists[] = {
	    "errors", "warnings", "differences"};
	json_t *out = json_object(), *list;
	const struct check_finding *f;
	size_t i;
	int level;
	char *text;

	for (level = CHECK_ERROR; level <= CHECK_DIFFERENCE; level++) {
		list = json_array();
		for (i = 0; i < findings->count; i++) {
			f = &findings->items[i];
			if ((int)f->level == level)
				(void)json_array_append_new(list,
				    json_pack("{s:s, s:s, s:s}", "rule",
					f->rule, "path", f->path, "text",
					f->text));
		}
		(void)json_object_set_new(out, lists[level], list);
	}
	text = json_dumps(out, JSON_COMPACT);
	(void)fprintf(c->out, "%s\n", text);
	free(text);
	json_decref(out);
}

static void
print_plain(struct ctl *c, const struct check_findings *findings)
{
	const struct check_finding *f;
	size_t i;
	int level;

	for (level = CHECK_ERROR; level <= CHECK_DIFFERENCE; level++)
		for (i = 0; i < findings->count; i++) {
			f = &findings->items[i];
			if ((int)f->level == level)
				(void)fprintf(c->out, "%s: %s: %s: %s\n",
				    name_level(f->level), f->rule, f->path,
				    f->text);
		}
	(void)fprintf(c->out, "%zu errors, %zu warnings, %zu differences\n",
	    check_findings_count(findings, CHECK_ERROR),
	    check_findings_count(findings, CHECK_WARNING),
	    check_findings_count(findings, CHECK_DIFFERENCE));
}

static struct check_config *
read_file(struct ctl *c, const char *file, struct buf *text,
    struct check_findings *findings)
{
	if (!doc_file_read(c, file, text))
		return NULL;
	return check_config_read(
	    (struct node_bytes){
		text->data == NULL ? "" : text->data, text->len},
	    findings);
}

/* Compares with another file; false: it can't be read. */
static bool
compare(struct ctl *c, const char *file, const struct check_config *fresh,
    struct check_findings *findings)
{
	struct check_findings ignored = {0};
	struct buf text = {0};
	struct check_config *old = read_file(c, file, &text, &ignored);
	bool is_read = old != NULL && old->text != NULL;

	if (old != NULL && old->text == NULL)
		ctl_complain(c, "%s: must be a JSON object", file);
	if (is_read)
		check_config_compare(old, fresh, findings);
	if (old != NULL)
		check_config_destroy(old);
	check_findings_free(&ignored);
	buf_free(&text);
	return is_read;
}

static int
check_file(struct ctl *c, const char *file, const char *against,
    const struct check_settings *settings)
{
	struct check_findings findings = {0};
	struct buf text = {0};
	struct check_config *config = read_file(c, file, &text, &findings);
	int code = CHECK_EXIT_ERRORS;

	if (config != NULL) {
		check_config_warn(config, settings, &findings);
		if (against == NULL || compare(c, against, config, &findings)) {
			if (c->json)
				print_json(c, &findings);
			else
				print_plain(c, &findings);
			if (check_findings_count(&findings, CHECK_ERROR) == 0)
				code = check_findings_count(
					   &findings, CHECK_WARNING) > 0
				    ? CHECK_EXIT_WARNINGS
				    : CHECK_EXIT_NOTHING;
		}
		check_config_destroy(config);
	}
	check_findings_free(&findings);
	buf_free(&text);
	return code;
}

int
ctl_check(struct ctl *c, int argc, char **argv)
{
	const char *against = NULL, *retry_extra = NULL;
	const struct ctl_option options[] = {
	    {"against", &against, NULL,
		"FILE  the configuration in force: print what changes"},
	    {"retry-extra", &retry_extra, NULL,
		"N  the instances' setting retryExtra (10)"}};
	const struct ctl_usage usage = {"FILE", 1,
	    "Check a gateway configuration without any server. Exit codes of "
	    "this command:\n0 nothing found, 1 warnings, 2 errors.",
	    options, sizeof(options) / sizeof(options[0])};
	double extra = CHECK_RETRY_EXTRA_DEFAULT;
	struct check_settings settings;
	int code;

	if (!ctl_parse(c, argc, argv, &usage, &code))
		return code;
	if (!ctl_number(c, "retry-extra", retry_extra, 0, 1e6, &extra))
		return CTL_EXIT_USAGE;
	settings.retry_extra = (uint32_t)extra;
	return check_file(c, c->operands[0], against, &settings);
}
