#include "mulberryctl/load_stats.h"

#include <stdlib.h>
#include <string.h>

#include "mulberryctl/ctl_table.h"
#include "util/buf.h"
#include "util/map.h"
#include "util/mem.h"

#define US_PER_SECOND 1000000U
#define US_PER_MS     1000.0
#define SECONDS_MAX   86400U
#define NITEMS(list)  (sizeof(list) / sizeof((list)[0]))

/* One second of the run. */
struct second {
	uint64_t offered, refused, lost;
	double delivered; /* weighted, by the time of their end */
};

struct load_team {
	char *name;
	double weight;
	double *seconds; /* delivered in each second, weighted */
	size_t nseconds;
};

struct load_stats {
	struct map *classes, *teams;
	struct second *seconds;
	size_t nseconds;
	struct hist refusals; /* time of the answer */
	uint64_t delivered, refused, other;
};

struct load_stats *
load_stats_create(void)
{
	struct load_stats *s = mem_alloc(1, sizeof(*s));

	s->classes = map_create();
	s->teams = map_create();
	return s;
}

void
load_stats_destroy(struct load_stats *s)
{
	struct load_class *c;
	struct load_team *t;
	size_t i;

	for (i = 0; i < map_count(s->classes); i++) {
		c = map_at(s->classes, i);
		free(c->team);
		free(c->kind);
		json_decref(c->codes);
		free(c);
	}
	for (i = 0; i < map_count(s->teams); i++) {
		t = map_at(s->teams, i);
		free(t->name);
		free(t->seconds);
		free(t);
	}
	map_destroy(s->classes);
	map_destroy(s->teams);
	free(s->seconds);
	free(s);
}

static struct load_team *
stats_team(struct load_stats *s, const char *name)
{
	struct load_team *t = map_get_str(s->teams, name);

	if (t != NULL)
		return t;
	t = mem_alloc(1, sizeof(*t));
	t->name = mem_string(name);
	t->weight = 1;
	(void)map_set_str(s->teams, name, t);
	return t;
}

void
load_stats_set_team(struct load_stats *s, const char *team, double weight)
{
	stats_team(s, team)->weight = weight;
}

struct load_class *
load_stats_class(
    struct load_stats *s, const char *team, const char *kind, double weight)
{
	struct load_class *c;
	struct buf key = {0};

	buf_printf(&key, "%s\n%s", team, kind);
	c = map_get_str(s->classes, key.data);
	if (c == NULL) {
		c = mem_alloc(1, sizeof(*c));
		c->team = mem_string(team);
		c->kind = mem_string(kind);
		c->weight = weight;
		c->codes = json_object();
		(void)map_set_str(s->classes, key.data, c);
		(void)stats_team(s, team);
	}
	buf_free(&key);
	return c;
}

/* ---- noting ----------------------------------------------------------------
 */

static size_t
second_of(uint64_t us)
{
	uint64_t second = us / US_PER_SECOND;

	return second < SECONDS_MAX ? (size_t)second : SECONDS_MAX - 1;
}

static struct second *
stats_second(struct load_stats *s, uint64_t us)
{
	size_t at = second_of(us);

	if (at >= s->nseconds) {
		s->seconds =
		    mem_resize(s->seconds, at + 1, sizeof(*s->seconds));
		memset(&s->seconds[s->nseconds], 0,
		    (at + 1 - s->nseconds) * sizeof(*s->seconds));
		s->nseconds = at + 1;
	}
	return &s->seconds[at];
}

static void
team_deliver(struct load_team *t, uint64_t us, double weight)
{
	size_t at = second_of(us);

	if (at >= t->nseconds) {
		t->seconds =
		    mem_resize(t->seconds, at + 1, sizeof(*t->seconds));
		memset(&t->seconds[t->nseconds], 0,
		    (at + 1 - t->nseconds) * sizeof(*t->seconds));
		t->nseconds = at + 1;
	}
	t->seconds[at] += weight;
}

void
load_stats_arrive(
    struct load_stats *s, struct load_class *c, uint64_t at_us, bool counted)
{
	stats_second(s, at_us)->offered++;
	if (counted)
		c->offered++;
}

static void
class_count(struct load_class *c, const struct load_end *end)
{
	uint64_t *const counters[] = {[LOAD_DELIVERED] = &c->delivered,
	    [LOAD_REFUSED] = &c->refused,
	    [LOAD_FAILED] = &c->failed,
	    [LOAD_UNKNOWN] = &c->unknown,
	    [LOAD_BAD_CUT] = &c->cut,
	    [LOAD_BAD_WRONG] = &c->wrong};
	const char *code =
	    end->code == NULL || *end->code == '\0' ? "none" : end->code;

	(*counters[end->outcome])++;
	if (end->outcome == LOAD_DELIVERED) {
		hist_add(&c->whole, end->end_us - end->at_us);
		if (end->first_us > 0)
			hist_add(&c->first, end->first_us);
		return;
	}
	(void)json_object_set_new(c->codes, code,
	    json_integer(
		json_integer_value(json_object_get(c->codes, code)) + 1));
}

void
load_stats_end(struct load_stats *s, struct load_class *c,
    const struct load_end *end, bool counted)
{
	struct second *second = stats_second(s, end->end_us);

	if (end->outcome == LOAD_DELIVERED) {
		s->delivered++;
		second->delivered += c->weight;
		team_deliver(stats_team(s, c->team), end->end_us, c->weight);
	} else if (end->outcome == LOAD_REFUSED) {
		s->refused++;
		second->refused++;
		if (counted)
			hist_add(&s->refusals, end->end_us - end->at_us);
	} else {
		s->other++;
		second->lost++;
	}
	if (counted)
		class_count(c, end);
}

void
load_stats_progress(const struct load_stats *s, uint64_t *delivered,
    uint64_t *refused, uint64_t *other)
{
	*delivered = s->delivered;
	*refused = s->refused;
	*other = s->other;
}

/* ---- the report
 * -------------------------------------------------------------- */

double
load_jain(const double *values, size_t n)
{
	double sum = 0, squares = 0;
	size_t i;

	for (i = 0; i < n; i++) {
		sum += values[i];
		squares += values[i] * values[i];
	}
	return squares == 0 ? 1 : sum * sum / ((double)n * squares);
}

static json_t *
report_hist(const struct hist *h)
{
	return json_pack("{s:I, s:f, s:f, s:f, s:f, s:f}", "count",
	    (json_int_t)h->count, "meanMs", hist_mean(h) / US_PER_MS, "p50Ms",
	    (double)hist_quantile(h, 0.5) / US_PER_MS, "p95Ms",
	    (double)hist_quantile(h, 0.95) / US_PER_MS, "p99Ms",
	    (double)hist_quantile(h, 0.99) / US_PER_MS, "maxMs",
	    (double)h->max / US_PER_MS);
}

static void
codes_add(json_t *to, json_t *from)
{
	const char *code;
	json_t *value;

	json_object_foreach(from, code, value)(void)
	    json_object_set_new(to, code,
		json_integer(json_integer_value(json_object_get(to, code)) +
		    json_integer_value(value)));
}

/* Add one class to a sum; the weighted counts go beside it. */
static void
class_add(struct load_class *sum, const struct load_class *c,
    double *offered_weight, double *delivered_weight)
{
	sum->offered += c->offered;
	sum->delivered += c->delivered;
	sum->refused += c->refused;
	sum->failed += c->failed;
	sum->unknown += c->unknown;
	sum->cut += c->cut;
	sum->wrong += c->wrong;
	*offered_weight += (double)c->offered * c->weight;
	*delivered_weight += (double)c->delivered * c->weight;
	hist_merge(&sum->first, &c->first);
	hist_merge(&sum->between, &c->between);
	hist_merge(&sum->whole, &c->whole);
	codes_add(sum->codes, c->codes);
}

/* The sum of the classes that match; NULL matches all. */
static json_t *
report_sum(const struct load_stats *s, const char *team, const char *kind)
{
	struct load_class *sum = mem_alloc(1, sizeof(*sum));
	const struct load_class *c;
	double offered = 0, delivered = 0;
	json_t *out;
	size_t i;

	sum->codes = json_object();
	for (i = 0; i < map_count(s->classes); i++) {
		c = map_at(s->classes, i);
		if ((team == NULL || strcmp(team, c->team) == 0) &&
		    (kind == NULL || strcmp(kind, c->kind) == 0))
			class_add(sum, c, &offered, &delivered);
	}
	out = json_pack("{s:s, s:s, s:I, s:I, s:f, s:f, s:I, s:I, s:I, s:I, "
			"s:I, s:o, s:o, s:o, s:o}",
	    "team", team == NULL ? "all" : team, "kind",
	    kind == NULL ? "all" : kind, "offered", (json_int_t)sum->offered,
	    "delivered", (json_int_t)sum->delivered, "offeredWeight", offered,
	    "deliveredWeight", delivered, "refused", (json_int_t)sum->refused,
	    "failed", (json_int_t)sum->failed, "unknown",
	    (json_int_t)sum->unknown, "cut", (json_int_t)sum->cut, "wrong",
	    (json_int_t)sum->wrong, "codes", sum->codes, "firstToken",
	    report_hist(&sum->first), "betweenTokens",
	    report_hist(&sum->between), "whole", report_hist(&sum->whole));
	free(sum);
	return out;
}

static json_t *
report_timeline(const struct load_stats *s)
{
	json_t *out = json_object(), *offered = json_array();
	json_t *refused = json_array(), *lost = json_array();
	json_t *delivered = json_array(), *teams = json_object(), *line;
	const struct load_team *t;
	size_t i, k;

	for (i = 0; i < s->nseconds; i++) {
		(void)json_array_append_new(
		    offered, json_integer((json_int_t)s->seconds[i].offered));
		(void)json_array_append_new(
		    refused, json_integer((json_int_t)s->seconds[i].refused));
		(void)json_array_append_new(
		    lost, json_integer((json_int_t)s->seconds[i].lost));
		(void)json_array_append_new(
		    delivered, json_real(s->seconds[i].delivered));
	}
	for (k = 0; k < map_count(s->teams); k++) {
		t = map_at(s->teams, k);
		line = json_array();
		for (i = 0; i < s->nseconds; i++)
			(void)json_array_append_new(line,
			    json_real(i < t->nseconds ? t->seconds[i] : 0));
		(void)json_object_set_new(teams, t->name, line);
	}
	(void)json_object_set_new(out, "offered", offered);
	(void)json_object_set_new(out, "refused", refused);
	(void)json_object_set_new(out, "lost", lost);
	(void)json_object_set_new(out, "deliveredWeight", delivered);
	(void)json_object_set_new(out, "teams", teams);
	return out;
}

json_t *
load_stats_report(const struct load_stats *s)
{
	json_t *out = json_object(), *teams = json_array();
	json_t *classes = json_array(), *team;
	const struct load_class *c;
	const struct load_team *t;
	double *shares = mem_alloc(map_count(s->teams), sizeof(*shares));
	size_t i;

	for (i = 0; i < map_count(s->teams); i++) {
		t = map_at(s->teams, i);
		team = report_sum(s, t->name, NULL);
		shares[i] = json_number_value(
				json_object_get(team, "deliveredWeight")) /
		    t->weight;
		(void)json_object_set_new(team, "weight", json_real(t->weight));
		(void)json_array_append_new(teams, team);
	}
	for (i = 0; i < map_count(s->classes); i++) {
		c = map_at(s->classes, i);
		(void)json_array_append_new(
		    classes, report_sum(s, c->team, c->kind));
	}
	(void)json_object_set_new(out, "total", report_sum(s, NULL, NULL));
	(void)json_object_set_new(out, "teams", teams);
	(void)json_object_set_new(out, "classes", classes);
	(void)json_object_set_new(
	    out, "jain", json_real(load_jain(shares, map_count(s->teams))));
	(void)json_object_set_new(
	    out, "refusalAnswer", report_hist(&s->refusals));
	(void)json_object_set_new(out, "timeline", report_timeline(s));
	free(shares);
	return out;
}

void
load_stats_print(FILE *out, const json_t *report)
{
	static const struct ctl_column counts[] = {{"team", "team"},
	    {"kind", "kind"}, {"offered", "offered"},
	    {"delivered", "delivered"}, {"weighted", "deliveredWeight"},
	    {"refused", "refused"}, {"failed", "failed"},
	    {"unknown", "unknown"}, {"cut", "cut"}, {"wrong", "wrong"}};
	static const struct ctl_column times[] = {{"team", "team"},
	    {"kind", "kind"}, {"first p50", "firstToken.p50Ms"},
	    {"p95", "firstToken.p95Ms"}, {"p99", "firstToken.p99Ms"},
	    {"between p50", "betweenTokens.p50Ms"},
	    {"p95", "betweenTokens.p95Ms"}, {"p99", "betweenTokens.p99Ms"},
	    {"whole p50", "whole.p50Ms"}, {"p95", "whole.p95Ms"},
	    {"p99 ms", "whole.p99Ms"}};
	json_t *rows = json_array();
	json_t *codes =
	    json_object_get(json_object_get(report, "total"), "codes");
	const char *code;
	json_t *value;

	(void)json_array_extend(rows, json_object_get(report, "classes"));
	(void)json_array_extend(rows, json_object_get(report, "teams"));
	(void)json_array_append(rows, json_object_get(report, "total"));
	ctl_table(out, rows, counts, NITEMS(counts));
	(void)fputc('\n', out);
	ctl_table(out, rows, times, NITEMS(times));
	(void)fprintf(out,
	    "\nJain's index %.4f; refusals answered in p95 "
	    "%.1f ms, at most %.1f ms\n",
	    json_number_value(json_object_get(report, "jain")),
	    json_number_value(ctl_find(report, "refusalAnswer.p95Ms")),
	    json_number_value(ctl_find(report, "refusalAnswer.maxMs")));
	json_object_foreach(codes, code, value)(void)
	    fprintf(out, "not delivered, %s: %lld\n", code,
		(long long)json_integer_value(value));
	json_decref(rows);
}
