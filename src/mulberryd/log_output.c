#include <ctype.h>
#include <jansson.h>
#include <poll.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>
#include <uv.h>

#include "mulberryd/log_output.h"
#include "util/buf.h"
#include "util/clock.h"
#include "util/mem.h"

/* A pipe that polls as writable takes so much without blocking. */
#define LINE_BYTES_MAX	 4096
#define TIME_BYTES	 40
#define FIELDS_BYTES_MAX 1024

/* Lines of one kind in a second; more are counted, not written. */
#define KIND_LINES_MAX 100u
#define KIND_NUMBERS   256u
#define US_PER_SECOND  1000000u

/* The lines of one kind in the running second. */
struct log_kind {
	uint64_t second;
	uint32_t written, limited;
};

struct log_output {
	struct log_kind kinds[KIND_NUMBERS];
	enum node_log_level level;
	bool json;
	char *instance;
	uint64_t lost;
};

struct log_output *
log_output_create(const char *level, const char *format, const char *instance)
{
	struct log_output *out = mem_alloc(1, sizeof(*out));

	while (out->level < NODE_LOG_ERROR &&
	    strcmp(events_level_name(out->level), level) != 0)
		out->level++;
	out->json = strcmp(format, "json") == 0;
	out->instance = mem_string(instance);
	return out;
}

void
log_output_destroy(struct log_output *out)
{
	free(out->instance);
	free(out);
}

static void
format_time(char text[TIME_BYTES])
{
	uv_timeval64_t now = {0};
	struct tm parts;
	time_t seconds;
	size_t n;

	(void)uv_gettimeofday(&now);
	seconds = (time_t)now.tv_sec;
	(void)gmtime_r(&seconds, &parts);
	n = strftime(text, TIME_BYTES, "%Y-%m-%dT%H:%M:%S", &parts);
	(void)snprintf(
	    text + n, TIME_BYTES - n, ".%03dZ", (int)(now.tv_usec / 1000));
}

/* Append the members of a JSON object text, each after a comma. */
static void
append_json_fields(struct buf *line, const char *fields)
{
	json_t *root = json_loads(fields, 0, NULL);
	char *text = NULL;

	if (root == NULL) {
		buf_puts(line, ",\"fields\":");
		buf_json_string(line, fields);
	}
	if (json_object_size(root) > 0)
		text = json_dumps(root, JSON_COMPACT);
	if (text != NULL)
		buf_printf(line, ",%.*s", (int)strlen(text) - 2, text + 1);
	free(text);
	json_decref(root);
}

/* Whether a value of the text format needs no quotes. */
static bool
is_plain(const char *s)
{
	size_t i;

	if (s == NULL || *s == '\0')
		return false;
	for (i = 0; s[i] != '\0'; i++)
		if (!isgraph((unsigned char)s[i]) || strchr("\"=", s[i]))
			return false;
	return true;
}

static void
append_text_fields(struct buf *line, const char *fields)
{
	json_t *root = json_loads(fields, 0, NULL);
	const char *key;
	json_t *value;

	if (root == NULL) {
		buf_puts(line, " fields=");
		buf_json_string(line, fields);
	}
	json_object_foreach(root, key, value)
	{
		const char *plain = json_string_value(value);
		char *text;

		if (is_plain(plain)) {
			buf_printf(line, " %s=%s", key, plain);
			continue;
		}
		text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
		buf_printf(line, " %s=%s", key, text == NULL ? "?" : text);
		free(text);
	}
	json_decref(root);
}

static void
format_line(
    const struct log_output *out, struct buf *line, const struct node_log *log)
{
	const char *fields = log->fields == NULL ? "{}" : log->fields;
	const char *level = events_level_name(log->level);
	char time[TIME_BYTES];

	format_time(time);
	if (out->json) {
		buf_printf(line,
		    "{\"time\":\"%s\",\"level\":\"%s\",\"number\":%d,"
		    "\"event\":\"%s\",\"instance\":\"%s\"",
		    time, level, log->number, log->name, out->instance);
		append_json_fields(line, fields);
		buf_puts(line, "}\n");
		return;
	}
	buf_printf(line, "%s %-5s %03d %s instance=%s", time, level,
	    log->number, log->name, out->instance);
	append_text_fields(line, fields);
	buf_puts(line, "\n");
}

static bool
write_line(const struct buf *line)
{
	struct pollfd ready = {.fd = STDOUT_FILENO, .events = POLLOUT};

	if (line->len > LINE_BYTES_MAX || poll(&ready, 1, 0) != 1)
		return false;
	return write(STDOUT_FILENO, line->data, line->len) ==
	    (ssize_t)line->len;
}

static bool
put(const struct log_output *out, const struct node_log *log)
{
	struct buf line = {0};
	bool ok;

	format_line(out, &line, log);
	ok = write_line(&line);
	buf_free(&line);
	return ok;
}

static bool
report_lost(const struct log_output *out)
{
	const struct event_kind *kind = events_find(EVENT_LINES_LOST);
	char fields[FIELDS_BYTES_MAX];
	struct node_log log = {kind->number, kind->level, kind->name, fields};

	(void)snprintf(fields, sizeof(fields), "{\"lines\": %llu}",
	    (unsigned long long)out->lost);
	return put(out, &log);
}

static void
report_limited(
    struct log_output *out, const struct node_log *of, uint32_t lines)
{
	const struct event_kind *kind = events_find(EVENT_LINES_LIMITED);
	char fields[FIELDS_BYTES_MAX];
	struct node_log log = {kind->number, kind->level, kind->name, fields};

	(void)snprintf(fields, sizeof(fields),
	    "{\"of\": \"%s\", \"lines\": %u}", of->name, lines);
	if (!put(out, &log))
		out->lost++;
}

/* Is there room for one more of its kind? Tells what had none before. */
static bool
take_turn(struct log_output *out, const struct node_log *log)
{
	struct log_kind *k = &out->kinds[(unsigned)log->number % KIND_NUMBERS];
	uint64_t second = clock_now_us() / US_PER_SECOND;

	if (k->second != second) {
		if (k->limited > 0)
			report_limited(out, log, k->limited);
		k->second = second;
		k->written = k->limited = 0;
	}
	if (k->written == KIND_LINES_MAX) {
		k->limited++;
		return false;
	}
	k->written++;
	return true;
}

void
log_output_write(struct log_output *out, const struct node_log *log)
{
	if (log->level < out->level || !take_turn(out, log))
		return;
	if (out->lost > 0 && report_lost(out))
		out->lost = 0;
	if (out->lost > 0 || !put(out, log))
		out->lost++;
}

void
log_output_write_event(
    struct log_output *out, enum event_number number, const char *format, ...)
{
	const struct event_kind *kind = events_find((int)number);
	struct node_log log = {kind->number, kind->level, kind->name, NULL};
	struct buf fields = {0};
	va_list args;

	va_start(args, format);
	events_format(&fields, format, args);
	va_end(args);
	log.fields = fields.data;
	log_output_write(out, &log);
	buf_free(&fields);
}
