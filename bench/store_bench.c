#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "claim_bench.h"
#include "raft/raft.h"
#include "store/store.h"
#include "util/hist.h"
#include "util/mem.h"

/*
 * Commits a second of a single voter, with 1, 8 and 64 commands waiting at
 * a time, beside writes and syncs of a file alone, and whole claims.
 * usage: bench_store FOLDER [SECONDS]; the folder must not exist yet.
 */

#define COMMAND_BYTES 200
#define HEARTBEAT_US  50000
#define ELECTION_US   150000
#define VOTER	      RAFT_ID(1, 1)
#define WAITING_MAX   64
#define SECOND_US     1000000.0

struct bench {
	uv_loop_t loop;
	uv_timer_t timer;
	struct store *store;
	struct raft *raft;
	struct node_effects *fx;
	uint64_t wanted; /* commands that wait at a time */
	uint64_t waiting;
	uint64_t committed;
	uint64_t end_us;
	uint64_t started_at[WAITING_MAX]; /* by index */
	struct hist latency;
};

static uint64_t
now_us(void)
{
	return uv_hrtime() / 1000;
}

/* Execute saves, take what is committed, propose anew. */
static void
bench_pump(struct bench *b)
{
	char command[COMMAND_BYTES] = {0};
	struct node_bytes bytes = {.data = command, .len = sizeof(command)};
	struct raft_committed c;
	uint64_t index;
	size_t i;

	while (raft_take_committed(b->raft, &c)) {
		if (c.is_snapshot || c.entry.type != RAFT_ENTRY_COMMAND)
			continue;
		hist_add(&b->latency,
		    now_us() - b->started_at[c.index % WAITING_MAX]);
		b->committed++;
		b->waiting--;
	}
	while (b->waiting < b->wanted && now_us() < b->end_us &&
	    raft_propose(b->raft, now_us(), bytes, &index, b->fx, NULL) ==
		MP_OK) {
		b->started_at[index % WAITING_MAX] = now_us();
		b->waiting++;
	}
	for (i = 0; i < node_effects_count(b->fx); i++)
		store_save(b->store, &node_effects_at(b->fx, i)->u.save);
	node_effects_clear(b->fx);
}

static void
bench_saved(void *ctx, uint64_t ticket, bool ok, const char *reason)
{
	struct bench *b = ctx;

	if (!ok) {
		fprintf(stderr, "save failed: %s\n", reason);
		exit(1);
	}
	raft_save_completed(b->raft, now_us(), ticket, true, b->fx);
	bench_pump(b);
}

static void
bench_tick(uv_timer_t *timer)
{
	struct bench *b = timer->data;

	raft_tick(b->raft, now_us(), b->fx);
	bench_pump(b);
	if (now_us() >= b->end_us && b->waiting == 0)
		uv_timer_stop(timer);
}

static void
bench_closed(void *ctx)
{
	(void)ctx;
}

static void
bench_open(struct bench *b, const char *folder)
{
	struct raft_options options = {
	    .self = VOTER,
	    .heartbeat_us = HEARTBEAT_US,
	    .election_min_us = ELECTION_US,
	    .election_max_us = ELECTION_US,
	    .batch_bytes = 1 << 16,
	};
	struct raft_config config = {.voters = {VOTER}, .nvoters = 1};
	const struct node_disk *disk;
	struct mp_error err;

	uv_loop_init(&b->loop);
	uv_timer_init(&b->loop, &b->timer);
	b->timer.data = b;
	b->fx = node_effects_create();
	if (store_open(&b->store, &b->loop, folder, bench_saved, b, &disk,
		&err) != MP_OK ||
	    raft_create(&b->raft, &options, disk, now_us(), &err) != MP_OK ||
	    raft_found_log(b->raft, now_us(), &config, b->fx, &err) != MP_OK) {
		fprintf(stderr, "%s\n", err.message);
		exit(1);
	}
	bench_pump(b);
}

static void
bench_close(struct bench *b)
{
	uv_close((uv_handle_t *)&b->timer, NULL);
	store_close(b->store, bench_closed, b);
	uv_run(&b->loop, UV_RUN_DEFAULT);
	uv_loop_close(&b->loop);
	raft_destroy(b->raft);
	node_effects_destroy(b->fx);
}

static void
bench_commits(const char *folder, uint64_t wanted, double seconds)
{
	struct bench *b = mem_alloc(1, sizeof(*b));
	struct store_counters before, after;
	uint64_t start;
	double took;

	bench_open(b, folder);
	while (raft_get_role(b->raft) != RAFT_LEADER) {
		raft_tick(b->raft, now_us(), b->fx);
		bench_pump(b);
		uv_run(&b->loop, UV_RUN_NOWAIT);
	}
	uv_run(&b->loop, UV_RUN_DEFAULT);
	store_get_counters(b->store, &before);
	b->wanted = wanted;
	start = now_us();
	b->end_us = start + (uint64_t)(seconds * SECOND_US);
	uv_timer_start(&b->timer, bench_tick, 0, HEARTBEAT_US / 1000);
	bench_pump(b);
	uv_run(&b->loop, UV_RUN_DEFAULT);
	took = (double)(now_us() - start) / SECOND_US;
	store_get_counters(b->store, &after);
	printf("%8lu %12.0f %14.2f %12lu %12lu\n", (unsigned long)wanted,
	    (double)b->committed / took,
	    (double)b->committed / (double)(after.syncs - before.syncs),
	    (unsigned long)hist_quantile(&b->latency, 0.5),
	    (unsigned long)hist_quantile(&b->latency, 0.99));
	bench_close(b);
	free(b);
}

/* One write and one sync after the other, on this thread. */
static void
bench_sync_alone(const char *file, double seconds)
{
	char record[COMMAND_BYTES] = {0};
	struct hist latency = {0};
	uint64_t start = now_us(), begun;
	double took;
	int fd;

	fd = open(file, O_CREAT | O_WRONLY | O_TRUNC, 0600);
	if (fd < 0) {
		perror(file);
		exit(1);
	}
	while ((double)(now_us() - start) < seconds * SECOND_US) {
		begun = now_us();
		if (write(fd, record, sizeof(record)) < 0 ||
		    fdatasync(fd) != 0) {
			perror(file);
			exit(1);
		}
		hist_add(&latency, now_us() - begun);
	}
	took = (double)(now_us() - start) / SECOND_US;
	close(fd);
	unlink(file);
	printf("%8s %12.0f %14s %12lu %12lu\n", "sync", latency.count / took,
	    "-", (unsigned long)hist_quantile(&latency, 0.5),
	    (unsigned long)hist_quantile(&latency, 0.99));
}

int
main(int argc, char **argv)
{
	static const uint64_t waiting[] = {1, 8, WAITING_MAX};
	static const size_t claims[] = {1, 16, CLAIM_BENCH_MOST};
	double seconds = argc > 2 ? strtod(argv[2], NULL) : 3;
	char path[4096];
	size_t i;

	if (argc < 2) {
		fprintf(stderr, "usage: bench_store FOLDER [SECONDS]\n");
		return 2;
	}
	printf("%8s %12s %14s %12s %12s\n", "waiting", "commits/s",
	    "commits/sync", "median us", "99th us");
	(void)snprintf(path, sizeof(path), "%s.sync", argv[1]);
	bench_sync_alone(path, seconds);
	for (i = 0; i < sizeof(waiting) / sizeof(waiting[0]); i++) {
		(void)snprintf(path, sizeof(path), "%s.%lu", argv[1],
		    (unsigned long)waiting[i]);
		bench_commits(path, waiting[i], seconds);
	}
	printf("%8s %12s %14s %12s %12s %8s\n", "at once", "claims/s",
	    "commits/sync", "median us", "99th us", "failed");
	for (i = 0; i < sizeof(claims) / sizeof(claims[0]); i++) {
		(void)snprintf(
		    path, sizeof(path), "%s.claims.%zu", argv[1], claims[i]);
		bench_claims(path, claims[i], seconds);
	}
	return 0;
}
