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

/*
 * A pipe that poll() reports writable takes this much without blocking. Longer
 * lines are dropped.
 */
#define LINE_BYTES_MAX	 4096
#define TIME_BYTES	 40
#define FIELDS_BYTES_MAX 1024

/* Further lines of one event number in a second are counted, not written. */
#define LINES_PER_SECOND_MAX 100u
#define RATE_COUNT	     256u
#define US_PER_SECOND	     1000000u

/* Lines of one event number in the current second. */
struct line_rate {
	uint64_t second; /* of the monotonic clock */
	uint32_t written, suppressed;
};

struct log_output {
	struct line_rate rates[RATE_COUNT]; /* by event number */
	enum node_log_level level; /* lowest level to write */
	bool json;
	char *instance;
	uint64_t dropped_lines; /* since the last line about them */
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

/*
 * Appends the members of a JSON object, given as text, each after a comma. A
 * text that cannot be parsed is appended as a string.
 */
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

/* Returns whether the text format writes a value without quotes. */
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

/* Appends the members of a JSON object, given as text, as key=value. */
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

/* Writes a line without blocking; false if it could not be written. */
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
format_and_write(const struct log_output *out, const struct node_log *log)
{
	struct buf line = {0};
	bool ok;

	format_line(out, &line, log);
	ok = write_line(&line);
	buf_free(&line);
	return ok;
}

/* Logs the number of dropped lines; false if that could not be written. */
static bool
log_dropped_lines(const struct log_output *out)
{
	const struct event_kind *kind = events_find(EVENT_LINES_LOST);
	char fields[FIELDS_BYTES_MAX];
	struct node_log log = {kind->number, kind->level, kind->name, fields};

	(void)snprintf(fields, sizeof(fields), "{\"lines\": %llu}",
	    (unsigned long long)out->dropped_lines);
	return format_and_write(out, &log);
}

/* Logs how many lines of an event were over the limit in one second. */
static void
log_suppressed_lines(
    struct log_output *out, const struct node_log *of, uint32_t lines)
{
	const struct event_kind *kind = events_find(EVENT_LINES_LIMITED);
	char fields[FIELDS_BYTES_MAX];
	struct node_log log = {kind->number, kind->level, kind->name, fields};

	(void)snprintf(fields, sizeof(fields),
	    "{\"of\": \"%s\", \"lines\": %u}", of->name, lines);
	if (!format_and_write(out, &log))
		out->dropped_lines++;
}

/*
 * Counts a line against the limit of its event number and returns whether it
 * may be written. The first line of a new second logs how many lines of the
 * event were suppressed before.
 */
static bool
count_against_limit(struct log_output *out, const struct node_log *log)
{
	struct line_rate *rate =
	    &out->rates[(unsigned)log->number % RATE_COUNT];
	uint64_t second = clock_now_us() / US_PER_SECOND;

	if (rate->second != second) {
		if (rate->suppressed > 0)
			log_suppressed_lines(out, log, rate->suppressed);
		rate->second = second;
		rate->written = rate->suppressed = 0;
	}
	if (rate->written == LINES_PER_SECOND_MAX) {
		rate->suppressed++;
		return false;
	}
	rate->written++;
	return true;
}

void
log_output_write(struct log_output *out, const struct node_log *log)
{
	if (log->level < out->level || !count_against_limit(out, log))
		return;
	if (out->dropped_lines > 0 && log_dropped_lines(out))
		out->dropped_lines = 0;
	if (out->dropped_lines > 0 || !format_and_write(out, log))
		out->dropped_lines++;
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
