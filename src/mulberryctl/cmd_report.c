#include <string.h>

#include "mulberryctl/ctl.h"
#include "mulberryctl/ctl_http.h"
#include "mulberryctl/ctl_table.h"

#define NCOLUMNS(list) (sizeof(list) / sizeof((list)[0]))

static const struct ctl_usage status_usage = {"", 0,
    "Print what one instance sees: members, work, classes of requests.", NULL,
    0};

static void
print_status(struct ctl *c, const json_t *status)
{
	static const struct ctl_column members[] = {{"id", "id"},
	    {"name", "name"}, {"data centre", "dataCentre"}, {"http", "http"},
	    {"voter", "voter"}, {"leaving", "leaving"}, {"heard", "heard"},
	    {"engines", "engines"}, {"seats", "seats"}, {"free", "free"},
	    {"queued", "queued"}};
	static const struct ctl_column classes[] = {{"team", "team"},
	    {"kind", "kind"}, {"asked", "asked"}, {"delivered", "delivered"},
	    {"refused", "refused"}, {"failed", "failed"},
	    {"unknown", "unknown"}, {"gone", "gone"},
	    {"wait p95 ms", "wait.p95Ms"}, {"stall p95 ms", "stall.p95Ms"},
	    {"first p95 ms", "firstToken.p95Ms"},
	    {"between p95 ms", "betweenTokens.p95Ms"},
	    {"whole p95 ms", "whole.p95Ms"}};
	static const struct ctl_column lines[] = {{"name", "name"},
	    {"cluster", "cluster"}, {"standing", "standing"},
	    {"leader", "leader"}, {"role", "log.role"}, {"applied", "applied"},
	    {"epoch", "epoch"}, {"running", "work.running"},
	    {"queued", "work.queued"}, {"loads", "work.loads"},
	    {"evictions", "work.evictions"}};
	json_t *self = json_pack("[O]", (json_t *)status);

	ctl_table(c->out, self, lines, NCOLUMNS(lines));
	(void)fputc('\n', c->out);
	ctl_table(c->out, json_object_get(status, "members"), members,
	    NCOLUMNS(members));
	if (json_array_size(json_object_get(status, "classes")) > 0) {
		(void)fputc('\n', c->out);
		ctl_table(c->out, json_object_get(status, "classes"), classes,
		    NCOLUMNS(classes));
	}
	json_decref(self);
}

/* GET a report; print it as it is, or by a function for a person. */
static int
report(struct ctl *c, const char *path,
    void (*print)(struct ctl *c, const json_t *json))
{
	struct ctl_answer answer;
	int code;

	if (ctl_get(c, &answer, path, &code)) {
		if (c->json)
			(void)fprintf(c->out, "%s", answer.body.data);
		else
			print(c, answer.json);
	}
	ctl_answer_free(&answer);
	return code;
}

int
ctl_status(struct ctl *c, int argc, char **argv)
{
	int code;

	if (!ctl_parse(c, argc, argv, &status_usage, &code))
		return code;
	return report(c, "/v1/status", print_status);
}

static void
print_addresses(struct ctl *c, const json_t *json)
{
	const json_t *item;
	size_t i;

	json_array_foreach(json_object_get(json, "addresses"), i, item)(void)
	    fprintf(c->out, "%s\n", json_string_value(item));
	(void)fprintf(c->out, "usable for %lld ms\n",
	    (long long)json_integer_value(json_object_get(json, "lifetimeMs")));
}

int
ctl_addresses(struct ctl *c, int argc, char **argv)
{
	const char *team = NULL, *adapter = NULL;
	const struct ctl_option options[] = {
	    {"team", &team, NULL, "TEAM  the team that will call"},
	    {"adapter", &adapter, NULL, "NAME  the adapter it will ask for"}};
	const struct ctl_usage usage = {"", 0,
	    "Print the entry addresses to use now, best first.", options,
	    NCOLUMNS(options)};
	struct buf path = {0};
	int code;

	if (!ctl_parse(c, argc, argv, &usage, &code))
		return code;
	buf_puts(&path, "/v1/addresses?team=");
	ctl_encode(&path, team == NULL ? "" : team);
	if (adapter != NULL) {
		buf_puts(&path, "&adapter=");
		ctl_encode(&path, adapter);
	}
	code = report(c, path.data, print_addresses);
	buf_free(&path);
	return code;
}

static void
print_endpoints(struct ctl *c, const json_t *json)
{
	static const struct ctl_column columns[] = {{"id", "id"},
	    {"data centre", "dataCentre"}, {"pool", "pool"}, {"role", "role"},
	    {"leaving", "leaving"}, {"seats", "seats"}, {"used", "used"},
	    {"free", "free"}, {"slots", "slots"}, {"loaded", "loaded"}};
	json_t *list = json_object_get(json, "endpoints"), *item, *slot;
	struct buf names = {0};
	const char *name;
	size_t i, k;

	json_array_foreach(list, i, item)
	{
		buf_clear(&names);
		buf_puts(&names, "");
		json_array_foreach(json_object_get(item, "slots"), k, slot)
		{
			name =
			    json_string_value(json_object_get(slot, "adapter"));
			if (name != NULL)
				buf_printf(&names, "%s%s",
				    names.len == 0 ? "" : " ", name);
		}
		(void)json_object_set_new(item, "loaded",
		    json_string(names.data == NULL ? "" : names.data));
	}
	buf_free(&names);
	ctl_table(c->out, list, columns, NCOLUMNS(columns));
}

int
ctl_endpoints(struct ctl *c, int argc, char **argv)
{
	static const struct ctl_usage usage = {"", 0,
	    "Print the endpoints that the instance asked owns.", NULL, 0};
	int code;

	if (!ctl_parse(c, argc, argv, &usage, &code))
		return code;
	return report(c, "/v1/endpoints", print_endpoints);
}

static void
print_bookings(struct ctl *c, const json_t *json)
{
	static const struct ctl_column columns[] = {{"team", "team"},
	    {"key", "key"}, {"state", "state"}, {"service", "service"},
	    {"call", "call"}, {"instance", "instance"}, {"status", "status"}};
	const json_t *list = json_object_get(json, "bookings");

	if (json_array_size(list) == 0)
		(void)fputs("none\n", c->out);
	else
		ctl_table(c->out, list, columns, NCOLUMNS(columns));
}

int
ctl_bookings(struct ctl *c, int argc, char **argv)
{
	const char *team = NULL;
	bool unknown = false;
	const struct ctl_option options[] = {
	    {"team", &team, NULL, "TEAM  only those of one team"},
	    {"unknown", NULL, &unknown, "only those whose outcome is unknown"}};
	const struct ctl_usage usage = {"", 0,
	    "Print the calls that may not be repeated, and what became of "
	    "them.",
	    options, NCOLUMNS(options)};
	struct buf path = {0};
	int code;

	if (!ctl_parse(c, argc, argv, &usage, &code))
		return code;
	buf_puts(&path, "/v1/bookings");
	if (team != NULL) {
		buf_puts(&path, "?team=");
		ctl_encode(&path, team);
	}
	if (unknown)
		buf_puts(&path, team == NULL ? "?unknown=1" : "&unknown=1");
	code = report(c, path.data, print_bookings);
	buf_free(&path);
	return code;
}

static void
print_limits(struct ctl *c, const json_t *json)
{
	static const struct ctl_column columns[] = {{"endpoint", "endpoint"},
	    {"service", "service"}, {"requests/s", "requestsPerS"},
	    {"usable here", "usableHerePerS"}, {"granted", "grantedHere"},
	    {"waiting", "waitingHere"}, {"told ms", "toldMs"}};
	const json_t *list = json_object_get(json, "limits");

	if (json_array_size(list) == 0)
		(void)fputs("none\n", c->out);
	else
		ctl_table(c->out, list, columns, NCOLUMNS(columns));
}

int
ctl_limits(struct ctl *c, int argc, char **argv)
{
	static const struct ctl_usage usage = {"", 0,
	    "Print the rate limits that endpoints name, as one instance knows "
	    "them.",
	    NULL, 0};
	int code;

	if (!ctl_parse(c, argc, argv, &usage, &code))
		return code;
	return report(c, "/v1/limits", print_limits);
}

static void
print_quarantine(struct ctl *c, const json_t *json)
{
	static const struct ctl_column columns[] = {{"part", "part"},
	    {"active", "active"}, {"ends", "ends"}, {"strikes", "strikes"},
	    {"since ms", "sinceMs"}};
	const json_t *list = json_object_get(json, "parts");

	if (json_array_size(list) == 0)
		(void)fputs("none\n", c->out);
	else
		ctl_table(c->out, list, columns, NCOLUMNS(columns));
}

static int
lift_quarantine(struct ctl *c, const char *part)
{
	struct buf path = {0};
	struct ctl_answer answer;
	int code = CTL_EXIT_DONE;

	buf_puts(&path, "/v1/quarantine/");
	ctl_encode(&path, part);
	ctl_call(c, &answer, "DELETE", path.data, NULL, true);
	if (answer.result == CTL_ANSWERED && answer.status == 200)
		(void)fputs(c->json ? answer.body.data : "lifted\n", c->out);
	else
		code = ctl_refused(c, &answer);
	ctl_answer_free(&answer);
	buf_free(&path);
	return code;
}

int
ctl_quarantine(struct ctl *c, int argc, char **argv)
{
	const char *part = NULL;
	const struct ctl_option options[] = {
	    {"lift", &part, NULL, "PART  accept its requests again"}};
	const struct ctl_usage usage = {"", 0,
	    "Print the prompt parts whose requests are refused, as endpoints "
	    "ended under them.",
	    options, NCOLUMNS(options)};
	int code;

	if (!ctl_parse(c, argc, argv, &usage, &code))
		return code;
	return part == NULL ? report(c, "/v1/quarantine", print_quarantine)
			    : lift_quarantine(c, part);
}

int
ctl_drain(struct ctl *c, int argc, char **argv)
{
	static const struct ctl_usage usage = {"", 0,
	    "Let the one instance that --server names leave gracefully.", NULL,
	    0};
	struct ctl_answer answer;
	int code;

	if (!ctl_parse(c, argc, argv, &usage, &code))
		return code;
	if (c->nservers > 1) {
		ctl_complain(c, "--server must name just one instance");
		return CTL_EXIT_USAGE;
	}
	ctl_call(c, &answer, "POST", "/v1/drain", NULL, true);
	if (answer.result == CTL_ANSWERED && answer.status == 200) {
		(void)fputs(c->json ? answer.body.data : "draining\n", c->out);
		code = CTL_EXIT_DONE;
	} else {
		code = ctl_refused(c, &answer);
	}
	ctl_answer_free(&answer);
	return code;
}
