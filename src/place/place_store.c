#include <math.h>
#include <string.h>

#include "place/place_guard.h"
#include "place/place_store.h"

#define US_PER_MS 1000.0

/* AIMD. Additive increase of the limit, in loads, for a load in time; */
#define INCREASE 0.04
/* the same above this fraction of the limit at the last decrease. */
#define INCREASE_NEAR_CEILING 0.01
#define NEAR_CEILING	      0.9
/* That ceiling is dropped when the limit exceeds it by this factor. */
#define CEILING_DROP_FACTOR 1.1
/* Multiplicative decrease after a late load. */
#define DECREASE 0.8
/*
 * A late load lowers the limit only if at least this fraction of the limit was
 * in use: otherwise too many loads are not what made it late.
 */
#define USED_MIN 0.6
/* Below this fraction a late load updates load_ms instead of the limit. */
#define IDLE_USE 0.3
/*
 * The time of a load is checked after so many loads and so many times of a
 * load: by then loads that began after a decrease of the limit have ended.
 */
#define WINDOW_LOADS	  16u
#define WINDOW_LOAD_TIMES 5
/* A load that took longer than expected by this factor was slower. */
#define SLOWER_FACTOR 1.02
/* Readiness is observed with the first request only, if it comes by then. */
#define IN_TIME_FACTOR 1.06
/* Weight of the newest sample of the time of a load. */
#define LOAD_MS_WEIGHT 0.2
/*
 * Fraction by which load_ms is lowered at each check that does not raise it.
 * Readiness is observed with the first request only, so a load time shorter
 * than expected is never seen.
 */
#define LOAD_MS_FALL	   0.0015
#define LOAD_MS_MAX_FACTOR 3.0 /* times the configured time */
/*
 * Overrun: fraction of load_ms added to estimates. Each late load adds a step;
 * the sum is bounded, and halves in this time, in microseconds.
 */
#define OVERRUN_STEP	0.1
#define OVERRUN_MAX	1.0
#define OVERRUN_HALF_US 0.3e6
/* The fractional parts of its multiples are spread evenly from 0 to 1. */
#define GOLDEN_RATIO 0.6180339887498949

void
place_store_init(struct place_store *s, uint32_t load_ms)
{
	memset(s, 0, sizeof(*s));
	s->ratio = s->window_ratio = 1;
	s->configured_ms = s->load_ms = load_ms;
}

static double
exact_limit(const struct place_store *s, struct place_store_bounds bounds)
{
	double limit = fmin(bounds.first * s->ratio, bounds.max);

	return fmax(limit, bounds.min);
}

uint32_t
place_store_limit(const struct place_store *s, struct place_store_bounds bounds)
{
	if (!place_guards.store)
		return UINT32_MAX;
	return (uint32_t)(exact_limit(s, bounds) + s->fraction);
}

/*
 * The lower bound of the limit, which varies: with a higher one, loads would be
 * ordered that end too late for their requests.
 */
double
place_store_sure_limit(
    const struct place_store *s, struct place_store_bounds bounds)
{
	double limit = exact_limit(s, bounds);

	if (s->ceiling <= 0)
		return fmin(limit, bounds.first);
	return fmin(limit, s->ceiling * DECREASE * bounds.first);
}

static double
overrun_at(const struct place_store *s, uint64_t now_us)
{
	return s->overrun *
	    exp2(-(double)(now_us - s->overrun_us) / OVERRUN_HALF_US);
}

double
place_store_load_ms(const struct place_store *s, uint64_t now_us)
{
	return s->load_ms * (1 + overrun_at(s, now_us));
}

/* Record how much of the limit is in use. */
static void
record_use(const struct place_store *s, struct place_load *load,
    uint32_t in_progress, struct place_store_bounds bounds)
{
	double limit = exact_limit(s, bounds);

	load->use = fmax(load->use, in_progress / fmax(floor(limit), 1));
	load->was_exceeded |= in_progress >= limit + 1;
}

void
place_store_begin(const struct place_store *s, struct place_load *load,
    uint64_t now_us, uint32_t in_progress, struct place_store_bounds bounds)
{
	memset(load, 0, sizeof(*load));
	load->began_us = now_us;
	record_use(s, load, in_progress, bounds);
}

static void
set_limit(struct place_store *s, double limit, struct place_store_bounds bounds)
{
	if (bounds.first <= 0)
		return;
	limit = fmax(fmin(limit, bounds.max), bounds.min);
	s->ratio = limit / bounds.first;
}

/* Take a sample of the time of a load. */
static void
add_load_ms(struct place_store *s, double took_ms, double weight)
{
	double ms = s->load_ms + (took_ms - s->load_ms) * weight;

	s->load_ms = fmax(
	    fmin(ms, s->configured_ms * LOAD_MS_MAX_FACTOR), s->configured_ms);
}

/* Loads that began before the last increase of estimates don't add to it. */
void
place_store_record_missing(
    struct place_store *s, struct place_load *load, uint64_t now_us)
{
	load->missing_us = now_us;
	if (load->began_us < s->overrun_us)
		return;
	s->overrun = fmin(overrun_at(s, now_us) + OVERRUN_STEP, OVERRUN_MAX);
	s->overrun_us = now_us;
}

static void
record_in_time(struct place_store *s, const struct place_load *load,
    struct place_store_bounds bounds)
{
	bool is_near = s->ceiling > 0 && s->ratio >= s->ceiling * NEAR_CEILING;

	s->in_time++;
	if (load->use < 1)
		return; /* it says nothing about a higher limit */
	set_limit(s,
	    exact_limit(s, bounds) +
		(is_near ? INCREASE_NEAR_CEILING : INCREASE),
	    bounds);
	if (s->ratio > s->ceiling * CEILING_DROP_FACTOR)
		s->ceiling = 0;
}

/*
 * Add a load to the window. If none of the window was ready when expected, the
 * store is slower than expected, and not full: a decrease of the limit would
 * have shortened the loads after it.
 */
static void
check_load_ms(struct place_store *s, uint64_t now_us, double took_ms,
    struct place_store_bounds bounds)
{
	double window_us = (double)(now_us - s->window_us);

	if (s->window_loads++ == 0 || took_ms < s->window_min_ms)
		s->window_min_ms = took_ms;
	if (s->window_loads < WINDOW_LOADS ||
	    window_us < s->load_ms * US_PER_MS * WINDOW_LOAD_TIMES)
		return;
	if (s->window_min_ms > s->load_ms * SLOWER_FACTOR) {
		add_load_ms(s, s->window_min_ms, 1);
		set_limit(
		    s, fmax(s->ratio, s->window_ratio) * bounds.first, bounds);
	} else {
		add_load_ms(s, 0, LOAD_MS_FALL);
	}
	s->window_us = now_us;
	s->window_loads = 0;
	s->window_ratio = s->ratio;
}

static void
record_late(struct place_store *s, const struct place_load *load,
    uint64_t now_us, double took_ms, struct place_store_bounds bounds)
{
	double limit = exact_limit(s, bounds);

	s->late++;
	if (load->began_us < s->settled_us || load->was_exceeded)
		return; /* slowed down by loads from before a decrease */
	if (load->use < IDLE_USE || limit <= bounds.min) {
		add_load_ms(s, took_ms, LOAD_MS_WEIGHT);
		return;
	}
	if (load->use < USED_MIN)
		return;
	s->ceiling = s->ratio;
	set_limit(s, limit * DECREASE, bounds);
	s->settled_us = now_us + (uint64_t)(s->load_ms * US_PER_MS);
}

static double
ms_between(uint64_t from_us, uint64_t to_us)
{
	return ((double)to_us - (double)from_us) / US_PER_MS;
}

void
place_store_record_ready(struct place_store *s, struct place_load *load,
    uint64_t now_us, uint64_t granted_us, uint32_t in_progress,
    struct place_store_bounds bounds)
{
	double took_ms;

	if (load->began_us == 0)
		return;
	record_use(s, load, in_progress + 1, bounds);
	took_ms = ms_between(load->began_us, granted_us);
	if (load->missing_us != 0) /* it was ready some time after that */
		took_ms -= ms_between(load->missing_us, granted_us) / 2;
	if (load->missing_us != 0)
		record_late(s, load, now_us, took_ms, bounds);
	else if (took_ms <= s->load_ms * IN_TIME_FACTOR)
		record_in_time(s, load, bounds);
	check_load_ms(s, now_us, took_ms, bounds);
	load->began_us = 0;
	/* by the time, as several owners should not add up their fractions */
	s->fraction = fmod(ms_between(0, now_us) * GOLDEN_RATIO, 1);
}
