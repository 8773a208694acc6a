#include <errno.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mulberryctl/cmd_doc.h"
#include "mulberryctl/load_run.h"
#include "mulberryctl/trace_make.h"
#include "util/mem.h"

#define NITEMS(list) (sizeof(list) / sizeof((list)[0]))
#define RUN_BYTES    6
#define HUGE	     1e9

/* The command line of one load. */
struct load_command {
	const char *make, *trace, *docs, *tokens, *teams, *flood, *window;
	const char *run, *report, *samples;
	const char *seed, *seconds, *rate, *adapters, *zipf, *flip, *burst;
	const char *chats, *bookings, *lookups, *streams, *answer, *prompt;
	bool any_text, quiet, direct;
	struct doc *documents[TRACE_TEAMS_MAX];
	size_t ndocuments;
	char *token_list;
	struct trace requests;
};

/* ---- options
 * ------------------------------------------------------------------ */

static bool
read_documents(struct ctl *c, struct load_command *o)
{
	char *copy = mem_string(o->docs == NULL ? "" : o->docs);
	char *save = NULL, *file;
	struct buf text = {0};
	bool good = true;

	for (file = strtok_r(copy, ",", &save); good && file != NULL;
	     file = strtok_r(NULL, ",", &save)) {
		buf_clear(&text);
		if (o->ndocuments == TRACE_TEAMS_MAX ||
		    !doc_file_read(c, file, &text) ||
		    (o->documents[o->ndocuments] =
			    doc_file_check(c, file, &text)) == NULL)
			good = false;
		else
			o->ndocuments++;
	}
	buf_free(&text);
	free(copy);
	return good;
}

/* The number that stands after "team:" in a list, or missing. */
static double
share_of(const char *list, const char *team, double missing)
{
	size_t len = strlen(team);
	const char *p = list;

	while (p != NULL && *p != '\0') {
		if (strncmp(p, team, len) == 0 && p[len] == ':')
			return strtod(p + len + 1, NULL);
		p = strchr(p, ',');
		if (p != NULL)
			p++;
	}
	return missing;
}

static bool
parse_flood(struct ctl *c, struct trace_shape *shape, const char *text)
{
	struct trace_team *t;
	char team[DOC_NAME_BYTES + 1];
	double factor, from, to;
	size_t i;

	if (text == NULL)
		return true;
	if (sscanf(text, "%64[^:]:%lf:%lf:%lf", team, &factor, &from, &to) == 4)
		for (i = 0; i < shape->nteams; i++) {
			t = &shape->teams[i];
			if (strcmp(t->doc->team, team) != 0)
				continue;
			t->flood = factor;
			t->flood_from_s = from;
			t->flood_to_s = to;
			return true;
		}
	ctl_complain(c,
	    "--flood: found \"%s\", allowed: TEAM:FACTOR:FROM:TO with a team "
	    "of --docs",
	    text);
	return false;
}

static bool
parse_shape(
    struct ctl *c, const struct load_command *o, struct trace_shape *shape)
{
	double seed = 1, adapters = 0;
	struct trace_team *t;
	size_t i;

	*shape = (struct trace_shape){.seconds = 30,
	    .rate = 20,
	    .zipf = 1,
	    .flip_s = -1,
	    .burst = 1,
	    .chats = 0.2,
	    .bookings = 0.05,
	    .lookups = 0.1,
	    .streams = 0.7,
	    .tokens = 32,
	    .prompt_bytes = 400};
	for (i = 0; i < o->ndocuments; i++) {
		t = &shape->teams[shape->nteams++];
		t->doc = o->documents[i];
		t->share = share_of(o->teams, t->doc->team, t->doc->weight);
		t->flood = 1;
	}
	if (!ctl_number(c, "seed", o->seed, 0, HUGE, &seed) ||
	    !ctl_number(c, "seconds", o->seconds, 1, 86400, &shape->seconds) ||
	    !ctl_number(c, "rate", o->rate, 0.01, 1e5, &shape->rate) ||
	    !ctl_number(c, "adapters", o->adapters, 1, HUGE, &adapters) ||
	    !ctl_number(c, "zipf", o->zipf, 0, 10, &shape->zipf) ||
	    !ctl_number(c, "flip", o->flip, 0, HUGE, &shape->flip_s) ||
	    !ctl_number(c, "burst", o->burst, 1, 100, &shape->burst) ||
	    !ctl_number(c, "chats", o->chats, 0, 1, &shape->chats) ||
	    !ctl_number(c, "bookings", o->bookings, 0, 1, &shape->bookings) ||
	    !ctl_number(c, "lookups", o->lookups, 0, 1, &shape->lookups) ||
	    !ctl_number(c, "streams", o->streams, 0, 1, &shape->streams) ||
	    !ctl_number(
		c, "answer-tokens", o->answer, 1, 1e6, &shape->tokens) ||
	    !ctl_number(
		c, "prompt-bytes", o->prompt, 1, 1e6, &shape->prompt_bytes))
		return false;
	shape->seed = (uint64_t)seed;
	shape->adapters = (size_t)adapters;
	return parse_flood(c, shape, o->flood);
}

/* ---- make
 * ---------------------------------------------------------------------- */

static int
make_trace(struct ctl *c, struct load_command *o)
{
	struct trace_shape shape;
	struct mp_error err;
	FILE *out;
	int code = CTL_EXIT_DONE;

	if (o->ndocuments == 0) {
		ctl_complain(c, "--make needs --docs; see --help");
		return CTL_EXIT_USAGE;
	}
	if (!parse_shape(c, o, &shape))
		return CTL_EXIT_USAGE;
	trace_make(&o->requests, &shape);
	out = fopen(o->make, "we");
	if (out == NULL) {
		ctl_complain(c, "%s: %s", o->make, strerror(errno));
		return CTL_EXIT_USAGE;
	}
	if (trace_write(&o->requests, out, &err) != MP_OK) {
		ctl_complain(c, "%s: %s", o->make, err.message);
		code = CTL_EXIT_USAGE;
	}
	(void)fclose(out);
	if (code != CTL_EXIT_DONE)
		return code;
	if (c->json)
		(void)fprintf(
		    c->out, "{\"requests\":%zu}\n", o->requests.count);
	else
		(void)fprintf(c->out, "%s: %zu requests in %g s\n", o->make,
		    o->requests.count, shape.seconds);
	return code;
}

/* ---- run
 * ----------------------------------------------------------------------- */

static void
add_access(struct load_options *options, const struct load_command *o,
    const char *team, const char *token)
{
	struct load_team_access *a;
	size_t i;

	if (options->nteams == LOAD_TEAMS_MAX)
		return;
	a = &options->teams[options->nteams++];
	a->team = team;
	a->token = token;
	for (i = 0; i < o->ndocuments; i++)
		if (strcmp(o->documents[i]->team, team) == 0)
			a->doc = o->documents[i];
}

/* TEAM=TOKEN,... */
static bool
parse_tokens(
    struct ctl *c, struct load_command *o, struct load_options *options)
{
	char *save = NULL, *item, *equals;

	o->token_list = mem_string(o->tokens == NULL ? "" : o->tokens);
	for (item = strtok_r(o->token_list, ",", &save); item != NULL;
	     item = strtok_r(NULL, ",", &save)) {
		equals = strchr(item, '=');
		if (equals == NULL) {
			ctl_complain(c,
			    "--tokens: found \"%s\", allowed: TEAM=TOKEN,...",
			    item);
			return false;
		}
		*equals = '\0';
		add_access(options, o, item, equals + 1);
	}
	return true;
}

static bool
read_trace(struct ctl *c, struct load_command *o)
{
	struct mp_error err = {0};
	FILE *in = fopen(o->trace, "re");
	bool good;

	if (in == NULL) {
		ctl_complain(c, "%s: %s", o->trace, strerror(errno));
		return false;
	}
	good = trace_read(&o->requests, in, &err) == MP_OK;
	if (!good)
		ctl_complain(c, "%s: %s", o->trace, err.message);
	(void)fclose(in);
	return good;
}

static bool
parse_window(struct ctl *c, const char *text, struct load_options *options)
{
	options->window_to_s = HUGE;
	if (text == NULL ||
	    (sscanf(text, "%lf:%lf", &options->window_from_s,
		 &options->window_to_s) == 2 &&
		options->window_from_s < options->window_to_s))
		return true;
	ctl_complain(c, "--window: found \"%s\", allowed: FROM:TO", text);
	return false;
}

static int
print_report(struct ctl *c, const struct load_command *o, json_t *report)
{
	int code = CTL_EXIT_DONE;

	if (o->report != NULL &&
	    json_dump_file(report, o->report, JSON_INDENT(1)) != 0) {
		ctl_complain(c, "%s: cannot be written", o->report);
		code = CTL_EXIT_USAGE;
	}
	if (!c->json) {
		load_stats_print(c->out, report);
	} else {
		(void)json_dumpf(report, c->out, JSON_COMPACT);
		(void)fputc('\n', c->out);
	}
	return code;
}

static bool
is_nothing_sent(const json_t *report)
{
	const json_t *total = json_object_get(report, "total");
	const json_t *codes = json_object_get(total, "codes");
	json_int_t offered =
	    json_integer_value(json_object_get(total, "offered"));

	return offered > 0 &&
	    json_integer_value(json_object_get(codes, "no-server")) == offered;
}

static int
run_trace(struct ctl *c, struct load_command *o)
{
	struct load_options options = {0};
	unsigned char random[RUN_BYTES];
	char run[2 * RUN_BYTES + 1];
	json_t *report;
	int code;

	if (c->nservers == 0) {
		ctl_complain(c, "--server is needed; see --help");
		return CTL_EXIT_USAGE;
	}
	if (!parse_tokens(c, o, &options) ||
	    !parse_window(c, o->window, &options) || !read_trace(c, o) ||
	    sodium_init() < 0)
		return CTL_EXIT_USAGE;
	randombytes_buf(random, sizeof(random));
	(void)sodium_bin2hex(run, sizeof(run), random, sizeof(random));
	options.loop = c->loop;
	options.trace = &o->requests;
	options.servers = c->servers;
	options.nservers = c->nservers;
	options.run = o->run == NULL ? run : o->run;
	options.check = !o->any_text;
	options.direct = o->direct;
	options.progress = o->quiet ? NULL : c->err;
	if (o->samples != NULL) {
		options.samples = fopen(o->samples, "w");
		if (options.samples == NULL) {
			ctl_complain(c, "%s: %s", o->samples, strerror(errno));
			return CTL_EXIT_USAGE;
		}
	}
	report = load_run(&options);
	if (options.samples != NULL && fclose(options.samples) != 0) {
		ctl_complain(c, "%s: cannot be written", o->samples);
		json_decref(report);
		return CTL_EXIT_USAGE;
	}
	if (report == NULL)
		return CTL_EXIT_NO_SERVER;
	code = print_report(c, o, report);
	if (code == CTL_EXIT_DONE && is_nothing_sent(report)) {
		ctl_complain(c, "no server answered");
		code = CTL_EXIT_NO_SERVER;
	}
	json_decref(report);
	return code;
}

static int
run_command(struct ctl *c, struct load_command *o)
{
	int code = CTL_EXIT_USAGE;

	if ((o->make == NULL) == (o->trace == NULL))
		ctl_complain(c, "needs one of --make and --trace; see --help");
	else if (read_documents(c, o))
		code = o->make != NULL ? make_trace(c, o) : run_trace(c, o);
	while (o->ndocuments > 0)
		doc_unref(o->documents[--o->ndocuments]);
	trace_free(&o->requests);
	free(o->token_list);
	return code;
}

int
ctl_load(struct ctl *c, int argc, char **argv)
{
	struct load_command o = {0};
	const struct ctl_option options[] = {
	    {"make", &o.make, NULL, "FILE  make a trace and end"},
	    {"trace", &o.trace, NULL, "FILE  send this trace"},
	    {"docs", &o.docs, NULL,
		"FILE,...  the teams' documents: adapters, weights"},
	    {"tokens", &o.tokens, NULL, "TEAM=TOKEN,...  callers' tokens"},
	    {"report", &o.report, NULL, "FILE  write the JSON report there"},
	    {"samples", &o.samples, NULL,
		"FILE  write both times of each delivered request there, us"},
	    {"window", &o.window, NULL,
		"FROM:TO  report only arrivals of these seconds"},
	    {"run", &o.run, NULL,
		"ID  goes before idempotency keys; made when missing"},
	    {"any-text", NULL, &o.any_text,
		"do not compare texts with the stand-in engines'"},
	    {"direct", NULL, &o.direct,
		"--server names engines: skip the entry instances"},
	    {"quiet", NULL, &o.quiet, "no progress"},
	    {"seed", &o.seed, NULL, "N  of all random choices, 1"},
	    {"seconds", &o.seconds, NULL, "N  length of the trace, 30"},
	    {"rate", &o.rate, NULL, "N  requests a second, all teams, 20"},
	    {"adapters", &o.adapters, NULL, "N  of all teams; else all"},
	    {"zipf", &o.zipf, NULL, "S  exponent of the popularity, 1"},
	    {"teams", &o.teams, NULL,
		"TEAM:SHARE,...  of the requests; else the documents' weights"},
	    {"flood", &o.flood, NULL,
		"TEAM:FACTOR:FROM:TO  a team's rate is multiplied"},
	    {"flip", &o.flip, NULL, "SECOND  popularity is reversed then"},
	    {"burst", &o.burst, NULL,
		"FACTOR  of the rate for 1 s in 10, 1: none"},
	    {"chats", &o.chats, NULL, "SHARE  of model requests, 0.2"},
	    {"bookings", &o.bookings, NULL, "SHARE  of requests, 0.05"},
	    {"lookups", &o.lookups, NULL, "SHARE  of requests, 0.1"},
	    {"streams", &o.streams, NULL, "SHARE  of model requests, 0.7"},
	    {"answer-tokens", &o.answer, NULL, "N  mean of an answer, 32"},
	    {"prompt-bytes", &o.prompt, NULL, "N  mean of a prompt, 400"}};
	const struct ctl_usage usage = {"", 0,
	    "Make a trace of requests, or send one and report what came back.",
	    options, NITEMS(options)};
	int code;

	if (!ctl_parse(c, argc, argv, &usage, &code))
		return code;
	return run_command(c, &o);
}
