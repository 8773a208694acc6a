#include <math.h>

#include "quota/quota_share_internal.h"

/* What an entry holds of an account, and the forecast of its demand. */

#define FORECAST_US (300.0 * 1000)
/*
 * The time constant of the smoothed demand: some requests of an account that
 * sends a few a second.
 */
#define DEMAND_SMOOTHING_US (500.0 * 1000)
/*
 * The same and the time of the forecast for accounts that send less: several
 * times the 1.7 s that pass between two requests at an entry.
 */
#define AHEAD_SMOOTHING_US (5000.0 * 1000)
#define AHEAD_US	   (5000.0 * 1000)
/* The newest request weighs this much in the size of a typical one. */
#define TYPICAL_WEIGHT 0.2
/* Requests lately, from which on tokens are asked for ahead. */
#define AHEAD_MIN 1.5
/* An account is active for this time after a request. */
#define ACTIVE_US (2000 * US_PER_MS)

void
quota_held_expire(struct quota_holding *h, uint64_t now_us)
{
	uint32_t i, kept = 0;

	for (i = 0; i < h->nlots; i++)
		if (h->lots[i].tokens > 0 && now_us < h->lots[i].expires_us)
			h->lots[kept++] = h->lots[i];
	h->nlots = kept;
}

uint64_t
quota_held(const struct quota_holding *h)
{
	uint64_t sum = 0;
	uint32_t i;

	for (i = 0; i < h->nlots; i++)
		sum += h->lots[i].tokens;
	return sum;
}

uint64_t
quota_held_ahead(const struct quota_holding *h)
{
	uint64_t sum = 0;
	uint32_t i;

	for (i = 0; i < h->nlots; i++)
		if (h->lots[i].is_ahead)
			sum += h->lots[i].tokens;
	return sum;
}

uint64_t
quota_held_take_ahead(struct quota_holding *h)
{
	uint64_t sum = quota_held_ahead(h);
	uint32_t i;

	for (i = 0; i < h->nlots; i++)
		if (h->lots[i].is_ahead)
			h->lots[i].tokens = 0;
	return sum;
}

void
quota_held_add(struct quota_holding *h, uint64_t tokens, uint64_t expires_us,
    bool is_ahead)
{
	uint32_t i = h->nlots;

	if (tokens == 0)
		return;
	if (i == QUOTA_LOTS_MAX) {
		/* Full: the tokens join the last lot, at the earlier end. */
		i--;
		h->lots[i].tokens += tokens;
		h->lots[i].is_ahead = h->lots[i].is_ahead || is_ahead;
		if (expires_us < h->lots[i].expires_us)
			h->lots[i].expires_us = expires_us;
		return;
	}
	for (; i > 0 && h->lots[i - 1].expires_us > expires_us; i--)
		h->lots[i] = h->lots[i - 1];
	h->lots[i].tokens = tokens;
	h->lots[i].expires_us = expires_us;
	h->lots[i].is_ahead = is_ahead;
	h->nlots++;
}

void
quota_held_take(struct quota_holding *h, uint64_t tokens)
{
	uint64_t part;
	uint32_t i;

	for (i = 0; i < h->nlots && tokens > 0; i++) {
		part = tokens < h->lots[i].tokens ? tokens : h->lots[i].tokens;
		h->lots[i].tokens -= part;
		tokens -= part;
	}
}

void
quota_demand_record(struct quota_holding *h, uint64_t now_us, uint64_t tokens)
{
	double elapsed_us = (double)(now_us - h->demand_us);

	h->rate_per_us *= exp(-elapsed_us / DEMAND_SMOOTHING_US);
	h->rate_per_us += (double)tokens / DEMAND_SMOOTHING_US;
	h->slow_rate_per_us *= exp(-elapsed_us / AHEAD_SMOOTHING_US);
	h->slow_rate_per_us += (double)tokens / AHEAD_SMOOTHING_US;
	h->typical = h->typical <= 0
	    ? (double)tokens
	    : h->typical + ((double)tokens - h->typical) * TYPICAL_WEIGHT;
	h->demand_us = now_us;
}

uint64_t
quota_demand_forecast(const struct quota_holding *h, uint64_t now_us)
{
	double elapsed_us = (double)(now_us - h->demand_us);

	return (uint64_t)(h->rate_per_us *
	    exp(-elapsed_us / DEMAND_SMOOTHING_US) * FORECAST_US);
}

uint64_t
quota_demand_ahead(const struct quota_holding *h, uint64_t now_us)
{
	double elapsed_us = (double)(now_us - h->demand_us);
	double wanted = h->slow_rate_per_us *
	    exp(-elapsed_us / AHEAD_SMOOTHING_US) * AHEAD_US;

	/* The request that waits is not another one. */
	return wanted < AHEAD_MIN * h->typical ? 0 : (uint64_t)wanted;
}

bool
quota_demand_is_active(const struct quota_holding *h, uint64_t now_us)
{
	return h->demand_us != 0 && now_us < h->demand_us + ACTIVE_US;
}
