#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "mulberryctl/load_internal.h"
#include "util/clock.h"
#include "util/mem.h"

#define PROGRESS_MS	  1000
#define PROGRESS_PLAIN_MS 10000
#define US_PER_SECOND	  1e6

uint64_t
load_now(const struct load *l)
{
	uint64_t now = clock_now_us();

	return now > l->start_us ? now - l->start_us : 0;
}

void
load_progress(struct load *l, const char *end)
{
	uint64_t delivered, refused, other;

	load_stats_progress(l->stats, &delivered, &refused, &other);
	(void)fprintf(l->options->progress,
	    "%s%6.1f s: sent %zu of %zu, under way %zu, delivered %llu, "
	    "refused %llu, other %llu%s",
	    *end == '\0' ? "\r" : "", (double)load_now(l) / US_PER_SECOND,
	    l->next, l->options->trace->count, l->active,
	    (unsigned long long)delivered, (unsigned long long)refused,
	    (unsigned long long)other, end);
	(void)fflush(l->options->progress);
}

static void
on_progress(uv_timer_t *timer)
{
	struct load *l = timer->data;

	load_progress(l, isatty(fileno(l->options->progress)) ? "" : "\n");
}

static void
on_call(void *ctx, const struct node_call_event *ev)
{
	struct load *l = ctx;
	struct load_call *call = map_get_u64(l->calls, ev->call);
	struct load_addresses *a = map_get_u64(l->lookups, ev->call);

	if (call != NULL)
		load_call_event(call, ev);
	else if (a != NULL)
		load_address_event(a, ev);
}

/* Send all that is due; come back for the next. */
static void
on_due(uv_timer_t *timer)
{
	struct load *l = timer->data;
	const struct trace *t = l->options->trace;
	uint64_t now_ms = load_now(l) / 1000;

	while (l->next < t->count && t->items[l->next].at_ms <= now_ms) {
		load_address_request(
		    l, load_call_create(l, &t->items[l->next]));
		l->next++;
	}
	if (l->next < t->count)
		(void)uv_timer_start(
		    timer, on_due, t->items[l->next].at_ms - now_ms, 0);
}

static void
on_closed(void *ctx)
{
	*(bool *)ctx = true;
}

static void
load_open(struct load *l, const struct load_options *options)
{
	size_t i;

	l->options = options;
	l->stats = load_stats_create();
	l->calls = map_create();
	l->lookups = map_create();
	l->addresses = map_create();
	for (i = 0; i < options->nteams; i++)
		if (options->teams[i].doc != NULL)
			load_stats_set_team(l->stats, options->teams[i].team,
			    options->teams[i].doc->weight);
	(void)uv_timer_init(options->loop, &l->due);
	(void)uv_timer_init(options->loop, &l->progress);
	l->due.data = l->progress.data = l;
}

static void
load_close(struct load *l)
{
	uv_close((uv_handle_t *)&l->due, NULL);
	uv_close((uv_handle_t *)&l->progress, NULL);
	http_client_destroy(l->client, on_closed, &l->closed);
	while (!l->closed)
		(void)uv_run(l->options->loop, UV_RUN_ONCE);
	(void)uv_run(l->options->loop, UV_RUN_NOWAIT);
	load_address_free_all(l);
	map_destroy(l->calls);
	map_destroy(l->lookups);
	load_stats_destroy(l->stats);
}

static json_t *
load_report(const struct load *l)
{
	json_t *report = load_stats_report(l->stats);

	(void)json_object_set_new(
	    report, "seconds", json_real((double)load_now(l) / US_PER_SECOND));
	(void)json_object_set_new(
	    report, "addressCalls", json_integer((json_int_t)l->nlookups));
	(void)json_object_set_new(report, "addressFailures",
	    json_integer((json_int_t)l->nlookup_failures));
	(void)json_object_set_new(
	    report, "resent", json_integer((json_int_t)l->resent));
	(void)json_object_set_new(
	    report, "followed", json_integer((json_int_t)l->followed));
	return report;
}

json_t *
load_run(const struct load_options *options)
{
	struct load l;
	json_t *report;
	uint64_t every;

	memset(&l, 0, sizeof(l));
	load_open(&l, options);
	if (http_client_create(&l.client, options->loop, on_call, &l, NULL) !=
	    MP_OK)
		return NULL;
	l.start_us = clock_now_us();
	(void)uv_timer_start(&l.due, on_due, 0, 0);
	if (options->progress != NULL) {
		every = isatty(fileno(options->progress)) ? PROGRESS_MS
							  : PROGRESS_PLAIN_MS;
		(void)uv_timer_start(&l.progress, on_progress, every, every);
	}
	while (l.next < options->trace->count || l.active > 0)
		(void)uv_run(options->loop, UV_RUN_ONCE);
	if (options->progress != NULL)
		load_progress(&l, "\n");
	report = load_report(&l);
	load_close(&l);
	return report;
}
