#include <stdlib.h>

#include "node/node_internal.h"
#include "util/mem.h"

/*
 * Request rate limits of teams, which apply to the sum over all entries. Each
 * entry reports in its summaries how many requests it has admitted. It refills
 * its own token bucket at the limit less the rate of the other entries, but at
 * least at an even share of the limit.
 */

/* Requests of a team that another entry has admitted. */
struct rate_remote {
	uint64_t admitted, updated_us;
	double per_second;
};

/* The token bucket of a team with a limit; full at its first request. */
struct node_rate {
	double tokens;
	uint64_t updated_us; /* time of the last request; 0: none */
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

bool
node_rate_allows(struct node *n, const struct doc *doc)
{
	struct node_rate *rate;
	double limit = doc->requests_per_second, share, refill;
	size_t entries = member_view_count(n->view);

	if (doc->requests_per_second == 0)
		return true;
	rate = rate_get(n, doc->team);
	share = limit / (double)(entries == 0 ? 1 : entries);
	refill = limit - remote_rate(n, rate);
	if (refill < share)
		refill = share;
	rate->tokens += (double)(n->now - rate->updated_us) * 1e-6 * refill;
	rate->updated_us = n->now;
	if (rate->tokens > 2.0 * share && rate->tokens > 1.0)
		rate->tokens = 2.0 * share > 1.0 ? 2.0 * share : 1.0;
	if (rate->tokens < 1.0)
		return false;
	rate->tokens -= 1.0;
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
