#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "fakes/fake.h"
#include "util/mem.h"

/*
 * The weight store: a load runs at full speed while few are in flight,
 * proportionally slower beyond, and calls above the rate are refused.
 */

#define STORE_TICK_MS	 5
#define STORE_BURST	 8
#define STORE_FLIGHT_MAX 1024

struct load {
	uint64_t request;
	double left_ms;
};

struct store {
	uv_loop_t loop;
	uv_timer_t tick;
	uv_signal_t stop_signal;
	struct http_server *server;
	const char *listen;
	double rate, in_flight, load_ms;
	double tokens;
	uint64_t last_ms;
	struct load loads[STORE_FLIGHT_MAX];
	size_t nloads, max_loads;
	uint64_t served, refused, gone;
};

static void
store_remove(struct store *s, size_t i)
{
	s->loads[i] = s->loads[--s->nloads];
}

static void
on_tick(uv_timer_t *timer)
{
	struct store *s = timer->data;
	uint64_t now = uv_now(&s->loop);
	double elapsed = (double)(now - s->last_ms), speed = 1;
	size_t i = s->nloads;

	s->last_ms = now;
	s->tokens += elapsed * s->rate / 1000;
	if (s->tokens > STORE_BURST)
		s->tokens = STORE_BURST;
	if ((double)s->nloads > s->in_flight)
		speed = s->in_flight / (double)s->nloads;
	while (i-- > 0) {
		s->loads[i].left_ms -= elapsed * speed;
		if (s->loads[i].left_ms > 0)
			continue;
		s->served++;
		fake_reply(s->server, s->loads[i].request, 200,
		    json_pack("{s:s}", "weights", "w"));
		store_remove(s, i);
	}
}

static void
store_load(struct store *s, uint64_t request)
{
	if (s->tokens < 1 || s->nloads == STORE_FLIGHT_MAX) {
		s->refused++;
		fake_reply_error(s->server, request, 429, "rate");
		return;
	}
	s->tokens -= 1;
	s->loads[s->nloads++] = (struct load){request, s->load_ms};
	if (s->nloads > s->max_loads)
		s->max_loads = s->nloads;
}

static void
on_request(void *ctx, const struct node_request *r)
{
	struct store *s = ctx;

	if (strncmp(r->path, "/adapters/", 10) == 0)
		store_load(s, r->request);
	else if (fake_path_is(r->path, "/fake/state"))
		fake_reply(s->server, r->request, 200,
		    json_pack("{s:I, s:I, s:I, s:I, s:I}", "served",
			(json_int_t)s->served, "refused",
			(json_int_t)s->refused, "gone", (json_int_t)s->gone,
			"inFlight", (json_int_t)s->nloads, "maxInFlight",
			(json_int_t)s->max_loads));
	else
		fake_reply_error(s->server, r->request, 404, "no-such-path");
}

static void
on_gone(void *ctx, uint64_t request)
{
	struct store *s = ctx;
	size_t i;

	for (i = 0; i < s->nloads; i++)
		if (s->loads[i].request == request) {
			s->gone++;
			store_remove(s, i);
			return;
		}
}

static void
on_signal(uv_signal_t *signal, int number)
{
	struct store *s = signal->data;

	(void)number;
	http_server_destroy(s->server, NULL, NULL);
	uv_close((uv_handle_t *)&s->stop_signal, NULL);
	uv_unref((uv_handle_t *)&s->tick);
}

int
main(int argc, char **argv)
{
	static struct store s = {.listen = "127.0.0.1:0",
	    .rate = 5,
	    .in_flight = 8,
	    .load_ms = 250,
	    .tokens = STORE_BURST};
	const struct fake_cli_option options[] = {
	    {.name = "listen", .text = &s.listen},
	    {.name = "rate", .number = &s.rate},
	    {.name = "in-flight", .number = &s.in_flight},
	    {.name = "load-ms", .number = &s.load_ms}};
	const struct http_server_callbacks callbacks = {on_request, on_gone};
	char address[64];

	fake_parse_options(
	    argc, argv, options, sizeof(options) / sizeof(options[0]));
	(void)uv_loop_init(&s.loop);
	s.server = fake_serve(
	    &s.loop, s.listen, &callbacks, &s, address, sizeof(address));
	s.last_ms = uv_now(&s.loop);
	(void)uv_timer_init(&s.loop, &s.tick);
	s.tick.data = &s;
	(void)uv_timer_start(&s.tick, on_tick, STORE_TICK_MS, STORE_TICK_MS);
	(void)uv_signal_init(&s.loop, &s.stop_signal);
	s.stop_signal.data = &s;
	(void)uv_signal_start(&s.stop_signal, on_signal, SIGTERM);
	(void)uv_run(&s.loop, UV_RUN_DEFAULT);
	return 0;
}
