#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "mulberryctl/cmd_doc.h"
#include "mulberryctl/ctl_http.h"
#include "util/clock.h"

#define NITEMS(list)	  (sizeof(list) / sizeof((list)[0]))
#define REVISION_MAX	  1e15
#define CHANGE_BYTES	  16
#define RETRY_MS	  250
#define POLL_MS		  100
#define TIMEOUT_S	  20
#define TIMEOUT_S_MAX	  86400
#define US_PER_S	  1e6
#define STATUS_OVERLOADED 503
#define STATUS_TIMEOUT	  504

/* One change of a team's document. */
struct apply {
	const char *change, *revision_text, *timeout_text;
	bool wait;
	char made_change[2 * CHANGE_BYTES + 1];
	double revision, timeout_s;
	uint64_t end_us;
	const char *team;
};

static bool
apply_prepare(struct ctl *c, struct apply *a)
{
	unsigned char random[CHANGE_BYTES];

	a->revision = -1;
	a->timeout_s = TIMEOUT_S;
	if (!ctl_number(c, "revision", a->revision_text, 0, REVISION_MAX,
		&a->revision) ||
	    !ctl_number(
		c, "timeout", a->timeout_text, 0, TIMEOUT_S_MAX, &a->timeout_s))
		return false;
	if (a->change == NULL) {
		if (sodium_init() < 0)
			return false;
		randombytes_buf(random, sizeof(random));
		(void)sodium_bin2hex(a->made_change, sizeof(a->made_change),
		    random, sizeof(random));
		a->change = a->made_change;
	}
	a->end_us = clock_now_us() + (uint64_t)(a->timeout_s * US_PER_S);
	return true;
}

/* The revision to replace: the current one unless it was given. */
static bool
apply_find_revision(struct ctl *c, struct apply *a, int *code)
{
	struct ctl_answer answer;
	struct buf path = {0};
	bool good = true;

	if (a->revision >= 0)
		return true;
	doc_path(&path, a->team, "");
	ctl_call(c, &answer, "GET", path.data, NULL, true);
	if (answer.result == CTL_LOST)
		answer.result = CTL_NO_ANSWER;
	if (answer.result == CTL_ANSWERED && answer.status == 200) {
		a->revision =
		    json_number_value(json_object_get(answer.json, "revision"));
	} else if (strcmp(ctl_answer_code(&answer), "unknown-team") == 0) {
		a->revision = 0;
	} else {
		*code = ctl_refused(c, &answer);
		good = false;
	}
	ctl_answer_free(&answer);
	buf_free(&path);
	return good;
}

/* Whether the same change should be sent once more. */
static bool
is_open(const struct ctl_answer *a)
{
	return a->result != CTL_ANSWERED || a->status == STATUS_OVERLOADED ||
	    a->status == STATUS_TIMEOUT ||
	    strcmp(ctl_answer_outcome(a), "unknown") == 0;
}

static bool
may_have_run(const struct ctl_answer *a)
{
	return a->result == CTL_LOST ||
	    (a->result == CTL_ANSWERED &&
		strcmp(ctl_answer_outcome(a), "unknown") == 0);
}

/* Send the change, again and again with its one id, until it is settled. */
static void
apply_send(struct ctl *c, struct apply *a, const struct buf *text,
    struct ctl_answer *answer)
{
	struct buf path = {0};
	bool unknown = false;

	doc_path(&path, a->team, "?revision=");
	buf_printf(&path, "%.0f&change=", a->revision);
	ctl_encode(&path, a->change);
	for (;;) {
		ctl_call(c, answer, "PUT", path.data, text, true);
		unknown = unknown || may_have_run(answer);
		if (c->nservers == 0 || !is_open(answer) ||
		    clock_now_us() >= a->end_us)
			break;
		ctl_answer_free(answer);
		ctl_pause(c, RETRY_MS);
	}
	if (unknown && is_open(answer))
		answer->result = CTL_LOST;
	buf_free(&path);
}

/* Poll until the accepted revision is in force. */
static bool
apply_wait(struct ctl *c, struct apply *a, json_int_t index)
{
	struct ctl_answer answer;
	struct buf path = {0};
	bool in_force = false;

	doc_path(&path, a->team, "/status");
	while (!in_force && clock_now_us() < a->end_us) {
		ctl_call(c, &answer, "GET", path.data, NULL, true);
		in_force = answer.status == 200 &&
		    json_integer_value(
			json_object_get(answer.json, "inForceIndex")) >= index;
		ctl_answer_free(&answer);
		if (!in_force)
			ctl_pause(c, POLL_MS);
	}
	buf_free(&path);
	return in_force;
}

static int
apply_report(struct ctl *c, struct apply *a, const struct ctl_answer *answer)
{
	json_int_t revision =
	    json_integer_value(json_object_get(answer->json, "revision"));
	json_int_t index =
	    json_integer_value(json_object_get(answer->json, "index"));
	uint64_t started = clock_now_us();
	bool in_force = a->wait && apply_wait(c, a, index);

	if (c->json)
		(void)fprintf(c->out,
		    "{\"team\":\"%s\",\"accepted\":true,\"revision\":%lld,"
		    "\"index\":%lld,\"change\":\"%s\",\"inForce\":%s}\n",
		    a->team, (long long)revision, (long long)index, a->change,
		    !a->wait	   ? "null"
			: in_force ? "true"
				   : "false");
	else if (in_force)
		(void)fprintf(c->out,
		    "%s: revision %lld, in force after %.2f s (change %s)\n",
		    a->team, (long long)revision,
		    (double)(clock_now_us() - started) / US_PER_S, a->change);
	else
		(void)fprintf(c->out,
		    "%s: revision %lld accepted (change %s)\n", a->team,
		    (long long)revision, a->change);
	if (!a->wait || in_force)
		return CTL_EXIT_DONE;
	ctl_complain(c, "accepted, but not in force after %g s", a->timeout_s);
	return CTL_EXIT_UNKNOWN;
}

static int
apply_text(struct ctl *c, struct apply *a, const struct buf *text)
{
	struct ctl_answer answer;
	int code;

	if (!apply_find_revision(c, a, &code))
		return code;
	apply_send(c, a, text, &answer);
	if (answer.result == CTL_ANSWERED && answer.status == 200) {
		code = apply_report(c, a, &answer);
	} else if (answer.result == CTL_ANSWERED && answer.status == 409) {
		if (c->json)
			(void)fprintf(c->out, "%s", answer.body.data);
		ctl_complain(c,
		    "refused: the current revision is %lld, not %.0f",
		    (long long)json_integer_value(
			json_object_get(answer.json, "revision")),
		    a->revision);
		code = CTL_EXIT_REFUSED;
	} else {
		code = ctl_refused(c, &answer);
		if (code == CTL_EXIT_UNKNOWN)
			ctl_complain(c,
			    "send it again with --change %s --revision %.0f",
			    a->change, a->revision);
	}
	ctl_answer_free(&answer);
	return code;
}

/* The options of both ways to change a document. */
#define APPLY_OPTIONS(a)                                                       \
	{"change", &(a).change, NULL,                                          \
	    "ID  names the change, so that it is done once; made when "        \
	    "missing"},                                                        \
	    {"wait", NULL, &(a).wait, "wait until it is in force everywhere"}, \
	{                                                                      \
		"timeout", &(a).timeout_text, NULL,                            \
		    "SECONDS  give up after this time, 20"                     \
	}

int
ctl_doc_apply(struct ctl *c, int argc, char **argv)
{
	struct apply a = {0};
	const struct ctl_option options[] = {APPLY_OPTIONS(a),
	    {"revision", &a.revision_text, NULL,
		"N  the revision to replace, 0 for none; else the current"}};
	const struct ctl_usage usage = {"FILE", 1,
	    "Put the document in FILE in the place of its team's current one.",
	    options, NITEMS(options)};
	struct buf text = {0};
	struct doc *doc = NULL;
	int code;

	if (!ctl_parse(c, argc, argv, &usage, &code))
		return code;
	code = CTL_EXIT_USAGE;
	if (!apply_prepare(c, &a) || !doc_file_read(c, c->operands[0], &text))
		goto cleanup;
	code = CTL_EXIT_REFUSED;
	doc = doc_file_check(c, c->operands[0], &text);
	if (doc == NULL)
		goto cleanup;
	a.team = doc->team;
	code = apply_text(c, &a, &text);
cleanup:
	if (doc != NULL)
		doc_unref(doc);
	buf_free(&text);
	return code;
}

int
ctl_doc_rollback(struct ctl *c, int argc, char **argv)
{
	struct apply a = {0};
	const char *to_text = NULL;
	const struct ctl_option options[] = {APPLY_OPTIONS(a),
	    {"to", &to_text, NULL, "N  the older revision; needed"}};
	const struct ctl_usage usage = {"TEAM", 1,
	    "Apply an older revision's document again, as a new revision.",
	    options, NITEMS(options)};
	struct buf text = {0};
	json_t *old;
	double to = 0;
	char *dump;
	int code;

	if (!ctl_parse(c, argc, argv, &usage, &code))
		return code;
	if (to_text == NULL) {
		ctl_complain(c, "--to is needed; see --help");
		return CTL_EXIT_USAGE;
	}
	if (!apply_prepare(c, &a) ||
	    !ctl_number(c, "to", to_text, 1, REVISION_MAX, &to))
		return CTL_EXIT_USAGE;
	a.team = c->operands[0];
	old = doc_get_past(c, a.team, to, &code);
	if (old == NULL)
		return code;
	dump = doc_dump(old, 1);
	buf_puts(&text, dump);
	code = apply_text(c, &a, &text);
	free(dump);
	json_decref(old);
	buf_free(&text);
	return code;
}
