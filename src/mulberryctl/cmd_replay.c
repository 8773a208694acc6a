#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "journal/journal.h"
#include "mulberryctl/ctl.h"
#include "mulberryctl/replay_outcome.h"
#include "platform/platform.h"

#define PROGRESS_STEPS 65536
#define US_PER_S       1e6

static const struct ctl_usage replay_usage = {"FILE", 1,
    "Step a fresh reducer through a journal and compare what it does.", NULL,
    0};

struct replay {
	struct ctl *c;
	struct journal_reader *reader;
	struct node *node;
	struct node_effects *fx;
	struct journal_step step;
	struct replay_outcome outcome;
	uint64_t steps;
	double seconds; /* of the run, up to the last step */
	bool differs, cut;
};

static void
show_progress(const struct replay *r)
{
	uint64_t read, whole;

	if (r->steps % PROGRESS_STEPS != 0 || !isatty(fileno(r->c->err)))
		return;
	journal_get_progress(r->reader, &read, &whole);
	(void)fprintf(r->c->err, "\rreplay: %3.0f %%, %llu steps, %.1f s",
	    whole == 0 ? 0 : 100.0 * (double)read / (double)whole,
	    (unsigned long long)r->steps, r->seconds);
}

/* Take steps up to the end or the first difference; an error code. */
static int
run(struct replay *r, struct mp_error *err)
{
	struct node_boot boot = *journal_get_boot(r->reader);
	int code;

	boot.codec = &platform_codec;
	code = node_create(&r->node, &boot, err);

	while (code == MP_OK) {
		code = journal_read_step(r->reader, &r->step, err);
		if (code != MP_OK)
			break;
		r->steps++;
		r->seconds = (double)(r->step.now_us - boot.now_us) / US_PER_S;
		node_effects_clear(r->fx);
		node_step(r->node, r->step.now_us, &r->step.event, r->fx);
		replay_outcome_add(&r->outcome, r->fx);
		r->differs =
		    journal_hash_effects(r->fx) != r->step.effects_hash;
		if (r->differs)
			return MP_OK;
		show_progress(r);
	}
	r->cut = code == MP_ERR_UNAVAILABLE;
	return code == MP_ERR_NOT_FOUND || r->cut ? MP_OK : code;
}

static void
tell_difference(const struct replay *r)
{
	struct buf event = {0}, effects = {0};

	replay_event_text(&r->step.event, &event);
	replay_effects_text(r->fx, &effects);
	ctl_complain(r->c,
	    "step %llu, %.6f s after the start, differs: event: %s; "
	    "effects of the replay: %s",
	    (unsigned long long)r->steps, r->seconds, event.data, effects.data);
	buf_free(&event);
	buf_free(&effects);
}

static void
print_counts(FILE *out, const char *title, json_t *counts)
{
	const char *key;
	json_t *value;

	(void)fprintf(out, "%s", title);
	json_object_foreach(counts, key, value)(void) fprintf(
	    out, "  %s %lld", key, (long long)json_integer_value(value));
	(void)fputs(json_object_size(counts) == 0 ? "  none\n" : "\n", out);
}

static void
print_result(const struct replay *r)
{
	json_t *result = replay_outcome_json(&r->outcome);
	FILE *out = r->c->out;
	char *text;

	(void)json_object_set_new(result, "equal", json_boolean(!r->differs));
	(void)json_object_set_new(result, "cut", json_boolean(r->cut));
	(void)json_object_set_new(
	    result, "steps", json_integer((json_int_t)r->steps));
	(void)json_object_set_new(result, "seconds", json_real(r->seconds));
	if (r->c->json) {
		text = json_dumps(result, JSON_INDENT(1));
		(void)fprintf(out, "%s\n", text);
		free(text);
	} else {
		(void)fprintf(out, "%s: %llu steps, %.1f s%s\n",
		    r->differs ? "different" : "equal",
		    (unsigned long long)r->steps, r->seconds,
		    r->cut ? "; the journal ends within a step" : "");
		print_counts(
		    out, "answers  ", json_object_get(result, "answers"));
		print_counts(
		    out, "calls    ", json_object_get(result, "calls"));
		print_counts(
		    out, "documents", json_object_get(result, "documents"));
	}
	json_decref(result);
}

int
ctl_replay(struct ctl *c, int argc, char **argv)
{
	struct replay r = {.c = c};
	struct mp_error err = {0};
	int code = CTL_EXIT_USAGE;

	if (!ctl_parse(c, argc, argv, &replay_usage, &code))
		return code;
	if (journal_open(&r.reader, c->operands[0], &err) != MP_OK) {
		ctl_complain(c, "%s", err.message);
		return err.code == MP_ERR_IO ? CTL_EXIT_USAGE
					     : CTL_EXIT_REFUSED;
	}
	r.fx = node_effects_create();
	replay_outcome_init(&r.outcome);
	code = CTL_EXIT_REFUSED;
	if (run(&r, &err) != MP_OK) {
		ctl_complain(c, "%s", err.message);
	} else {
		if (r.differs)
			tell_difference(&r);
		else
			code = CTL_EXIT_DONE;
		print_result(&r);
	}
	replay_outcome_free(&r.outcome);
	node_effects_destroy(r.fx);
	node_destroy(r.node);
	journal_reader_destroy(r.reader);
	return code;
}
