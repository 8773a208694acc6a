#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "sched/sched.h"
#include "util/mem.h"
#include "util/rng.h"

/*
 * The cost of a decision and of state: microseconds and bytes a request, and
 * bytes an idle adapter and an endpoint, at several table sizes.
 */

#define BENCH_SLOTS	  4
#define BENCH_SEATS	  8
#define BENCH_TEAMS	  50
#define BENCH_REQUESTS	  20000
#define BENCH_RUNNING	  96 /* requests in service at a time */
#define BENCH_WAITING	  200 /* queued for loads */
#define BENCH_NAME	  64
#define BENCH_LOADS_MILLI 2500 /* store rate, thousandths a second */

struct bench {
	struct sched *sched;
	struct rng rng;
	uint64_t now_us;
	uint32_t adapters, endpoints;
	uint64_t next_id;
	uint64_t running[BENCH_RUNNING];
	uint32_t nrunning;
};

static double
clock_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}

static size_t
heap_bytes(void)
{
	struct mallinfo2 m = mallinfo2();

	return m.uordblks + m.hblkhd;
}

static void
adapter_name(char *name, uint32_t i)
{
	snprintf(name, BENCH_NAME, "team%u/adapter%u@1", i % BENCH_TEAMS, i);
}

/* Every endpoint holds four adapters; the first ones are held first. */
static void
bench_report(struct bench *b, uint32_t e)
{
	char names[BENCH_SLOTS][BENCH_NAME], id[BENCH_NAME];
	struct sched_slot slots[BENCH_SLOTS] = {0};
	struct sched_report r = {0};
	uint32_t i;

	snprintf(id, sizeof(id), "engine%u", e);
	for (i = 0; i < BENCH_SLOTS; i++) {
		adapter_name(names[i], (e * BENCH_SLOTS + i) % b->adapters);
		slots[i].adapter = names[i];
	}
	r.id = id;
	r.incarnation = 1;
	r.base_model = "base-1";
	r.data_centre = "dc-1";
	r.slot_capacity = BENCH_SLOTS;
	r.seats = BENCH_SEATS;
	r.slots = slots;
	r.slot_count = BENCH_SLOTS;
	sched_report(b->sched, b->now_us, &r);
}

static void
bench_enqueue(struct bench *b, uint32_t adapter, uint64_t deadline_us)
{
	char name[BENCH_NAME], team[BENCH_NAME];
	struct sched_request r = {0};

	adapter_name(name, adapter);
	snprintf(team, sizeof(team), "team%u", adapter % BENCH_TEAMS);
	r.id = ++b->next_id;
	r.team = team;
	r.team_weight = 1.0;
	r.kind_weight = 1.0;
	r.adapter = name;
	r.base_model = "base-1";
	r.deadline_us = deadline_us;
	r.prompt_tokens = 100;
	r.max_tokens = 200;
	sched_enqueue(b->sched, b->now_us, &r);
}

static void
bench_done(struct bench *b, uint64_t id)
{
	struct sched_usage u = {.outcome = SCHED_DELIVERED};

	u.tokens_in = 100;
	u.tokens_out = 150;
	u.first_us = 50000;
	u.total_us = 1000000;
	sched_finish_request(b->sched, b->now_us, id, &u);
}

static void
bench_run(struct bench *b)
{
	struct sched_decision d;

	sched_run(b->sched, b->now_us, true);
	while (sched_take_decision(b->sched, &d)) {
		if (d.type == SCHED_LOAD)
			sched_load_result(
			    b->sched, b->now_us, d.endpoint, d.adapter, true);
		else if (d.type == SCHED_EVICT)
			sched_evict_result(
			    b->sched, b->now_us, d.endpoint, d.adapter, true);
		else if (d.type == SCHED_GRANT && b->nrunning < BENCH_RUNNING)
			b->running[b->nrunning++] = d.request;
	}
}

/* One request comes, is granted, and one ends: two runs. */
static double
bench_requests(struct bench *b)
{
	uint32_t held = b->endpoints * BENCH_SLOTS, i;
	double start = clock_us();

	if (held > b->adapters)
		held = b->adapters;
	for (i = 0; i < BENCH_REQUESTS; i++) {
		b->now_us += 1000;
		bench_enqueue(
		    b, rng_below(&b->rng, held), b->now_us + 10000000);
		bench_run(b);
		if (b->nrunning < BENCH_RUNNING / 2)
			continue;
		bench_done(b, b->running[0]);
		b->running[0] = b->running[--b->nrunning];
		bench_run(b);
	}
	return (clock_us() - start) / BENCH_REQUESTS;
}

static void
bench_row(uint32_t adapters, uint32_t endpoints)
{
	struct sched_options options = {.load_ms = 250, .seed = 1};
	struct bench b = {.now_us = 1000000};
	size_t empty, with_endpoints, with_adapters, with_waiting;
	double quiet_us, busy_us, report_us;
	uint32_t i;

	b.adapters = adapters;
	b.endpoints = endpoints;
	rng_seed(&b.rng, 1);
	sched_create(&b.sched, &options, NULL);
	sched_set_permits(b.sched, b.now_us, 8, BENCH_LOADS_MILLI);

	empty = heap_bytes();
	report_us = clock_us();
	for (i = 0; i < endpoints; i++)
		bench_report(&b, i);
	report_us = (clock_us() - report_us) / endpoints;
	with_endpoints = heap_bytes();
	/* Each adapter is asked for once and then idle. */
	for (i = 0; i < adapters; i++) {
		bench_enqueue(&b, i, 0);
		sched_finish_request(b.sched, b.now_us, b.next_id,
		    &(struct sched_usage){.outcome = SCHED_CANCELLED});
	}
	with_adapters = heap_bytes();
	quiet_us = bench_requests(&b);
	with_waiting = heap_bytes();
	for (i = 0; i < BENCH_WAITING; i++)
		bench_enqueue(&b, adapters + i, 0);
	with_waiting = heap_bytes() - with_waiting;
	busy_us = bench_requests(&b);
	printf("%8u %9u %12.2f %12.2f %12.2f %10zu %10zu %10zu\n", adapters,
	    endpoints, quiet_us, busy_us, report_us,
	    with_waiting / BENCH_WAITING,
	    adapters == 0 ? 0 : (with_adapters - with_endpoints) / adapters,
	    (with_endpoints - empty) / endpoints);
	sched_destroy(b.sched);
}

int
main(void)
{
	static const uint32_t sizes[][2] = {
	    {3000, 24}, {14000, 24}, {3000, 12000}, {14000, 12000}};
	size_t i;

	printf("us and bytes; a waiting request counts its new adapter, an "
	       "endpoint the adapters it holds\n");
	printf("%8s %9s %12s %12s %12s %10s %10s %10s\n", "adapters",
	    "endpoints", "us/request", "200 waiting", "us/report", "B/request",
	    "B/adapter", "B/endpoint");
	for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++)
		bench_row(sizes[i][0], sizes[i][1]);
	return 0;
}
