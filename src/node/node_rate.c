#include <stdlib.h>

#include "node/node_internal.h"
#include "util/mem.h"
#include "util/token_bucket.h"

/*
 * Request rate limits of teams, which apply to the sum over all entries. Each
 * entry reports in its summaries how many requests it has admitted, and has a
 * token bucket with at least an even share of the limit. It moves step by step
 * to what the others leave: when all begin at the same time, each sees the
 * others' rates before it has taken much of what seems to be left.
 */

/* Of what is left, an entry takes this part in each step. */
#define STEP_PART_MAX 0.5
/* Parts of all entries together, so that many do not take it at once. */
#define STEP_PARTS_TOTAL 4.0
/* An entry without requests for so long begins at its share again. */
#define IDLE_US (2 * NODE_SUMMARY_US)
/* A bucket holds the share of this time. */
#define BURST_S 2.0
/* More than a bucket holds: it begins full. */
#define FULL_TOKENS 1e9

/* Requests of a team that another entry has admitted. */
struct rate_remote {
	uint64_t admitted, updated_us;
	double per_second;
};

/* The state of a team with a limit; its bucket is full at first. */
struct node_rate {
	struct token_bucket bucket;
	uint64_t asked_us; /* time of the last request; 0: none */
	uint64_t stepped_us; /* last step to what the others leave */
	uint64_t admitted;
	struct map *remotes; /* by instance */
};

void
node_rate_free(struct node_rate *rate)
{
	size_t i;

	for (i = 0; i < map_count(rate->remotes); i++)
		free(map_at(rate->remotes, i));
	map_destroy(rate->remotes);
	free(rate);
}

static struct node_rate *
rate_get(struct node *n, const char *team)
{
	struct node_rate *rate = map_get_str(n->rates, team);

	if (rate != NULL)
		return rate;
	rate = mem_alloc(1, sizeof(*rate));
	rate->remotes = map_create();
	map_set_str(n->rates, team, rate);
	return rate;
}

/* Requests per second that other live entries admit. */
static double
remote_rate(const struct node *n, const struct node_rate *rate)
{
	const struct rate_remote *remote;
	double sum = 0.0;
	size_t i;

	for (i = 0; i < map_count(rate->remotes); i++) {
		remote = map_at(rate->remotes, i);
		if (n->now < remote->updated_us + 4 * NODE_SUMMARY_US)
			sum += remote->per_second;
	}
	return sum;
}

/* The next step from the present refill to what the others leave. */
static double
step_refill(double refill, double left, double share, size_t entries)
{
	double part = STEP_PARTS_TOTAL / (double)entries;

	if (part > STEP_PART_MAX)
		part = STEP_PART_MAX;
	if (left > refill)
		return refill + (left - refill) * part;
	return left < share ? share : left;
}

/* Sets the refill of the bucket for a request that arrives now. */
static void
update_refill(
    const struct node *n, struct node_rate *rate, double limit, size_t entries)
{
	double share = limit / (double)entries;
	double refill = rate->bucket.per_s;
	double tokens = rate->asked_us == 0
	    ? FULL_TOKENS
	    : token_bucket_count(&rate->bucket, n->now);

	if (rate->asked_us == 0 || n->now > rate->asked_us + IDLE_US) {
		refill = share;
		rate->stepped_us = n->now;
	} else if (n->now >= rate->stepped_us + NODE_SUMMARY_US) {
		refill = step_refill(
		    refill, limit - remote_rate(n, rate), share, entries);
		rate->stepped_us = n->now;
	} else if (refill < share) {
		refill = share; /* the limit was raised */
	}
	if (refill > limit)
		refill = limit;
	rate->asked_us = n->now;
	token_bucket_reset(
	    &rate->bucket, n->now, refill, share * BURST_S, tokens);
}

bool
node_rate_allows(struct node *n, const struct doc *doc)
{
	struct node_rate *rate;
	size_t entries = member_view_count(n->view);

	if (doc->requests_per_second == 0)
		return true;
	rate = rate_get(n, doc->team);
	update_refill(
	    n, rate, doc->requests_per_second, entries == 0 ? 1 : entries);
	if (token_bucket_wait_us(&rate->bucket, n->now, 1) != 0)
		return false;
	token_bucket_take(&rate->bucket, n->now);
	rate->admitted++;
	return true;
}

size_t
node_rate_fill(const struct node *n, Wire__TeamRate *out, size_t max)
{
	const struct node_rate *rate;
	size_t i;

	for (i = 0; i < map_count(n->rates) && i < max; i++) {
		rate = map_at(n->rates, i);
		wire__team_rate__init(&out[i]);
		out[i].team = (char *)map_key_at(n->rates, i, NULL);
		out[i].admitted = rate->admitted;
	}
	return i;
}

void
node_rate_receive(struct node *n, uint32_t from, const Wire__TeamRate *reported)
{
	struct node_rate *rate = rate_get(n, reported->team);
	struct rate_remote *remote = map_get_u64(rate->remotes, from);

	if (remote == NULL) {
		remote = mem_alloc(1, sizeof(*remote));
		map_set_u64(rate->remotes, from, remote);
	} else if (reported->admitted >= remote->admitted &&
	    n->now > remote->updated_us) {
		remote->per_second =
		    (double)(reported->admitted - remote->admitted) * 1e6 /
		    (double)(n->now - remote->updated_us);
	}
	remote->admitted = reported->admitted;
	remote->updated_us = n->now;
}
