#include <math.h>

#include "place/place_pace.h"

#define US_PER_MS 1000.0

/*
 * Time constant with which a report loses its weight. Slowdowns change about
 * every 600 ms.
 */
#define RECENT_US 300e3
/* Time constant of the mean of all reports; shorter until so much is known. */
#define MEAN_US 10e6
/* Reported percentages are clamped to this range. */
#define PERCENT_MIN 20.0
#define PERCENT_MAX 1000.0
/* Decay of the sums at each record: about the last 50 records count. */
#define RECORD_KEPT 0.98

void
place_told_init(struct place_told *t, double mean)
{
	t->last = t->mean = mean;
	t->told_us = t->first_us = 0;
}

/* Each value counts for the time since the last one. */
void
place_told_set(struct place_told *t, uint64_t told_us, double value)
{
	double since_us, mean_us;

	if (t->first_us == 0) {
		t->first_us = t->told_us = told_us;
		t->last = value;
		return;
	}
	if (told_us < t->told_us)
		return;
	since_us = (double)(told_us - t->told_us);
	mean_us = RECENT_US + (double)(told_us - t->first_us);
	if (mean_us > MEAN_US)
		mean_us = MEAN_US;
	t->mean += (value - t->mean) * (1 - exp(-since_us / mean_us));
	t->last = value;
	t->told_us = told_us;
}

double
place_told_at(const struct place_told *t, uint64_t at_us)
{
	if (t->first_us == 0)
		return t->mean;
	if (at_us <= t->told_us)
		return t->last;
	return t->mean +
	    (t->last - t->mean) *
	    exp(-(double)(at_us - t->told_us) / RECENT_US);
}

void
place_pace_init(struct place_pace *s, double work_per_ms, double prior_work)
{
	s->work = prior_work;
	s->usual_ms = prior_work / work_per_ms;
	place_told_init(&s->pace, 1);
}

void
place_pace_set_told(struct place_pace *s, uint64_t told_us, uint32_t percent)
{
	double value = percent;

	if (value < PERCENT_MIN)
		value = PERCENT_MIN;
	if (value > PERCENT_MAX)
		value = PERCENT_MAX;
	place_told_set(&s->pace, told_us, value / 100);
}

double
place_pace_at(const struct place_pace *s, uint64_t at_us)
{
	return place_told_at(&s->pace, at_us);
}

/*
 * Returns the mean slowdown while the work ran. Backwards from end_us the
 * slowdown is assumed to decay towards the mean, as place_told_at() assumes
 * after a report.
 */
static double
pace_during(const struct place_pace *s, uint64_t end_us, double took_ms)
{
	double took = took_ms * US_PER_MS / RECENT_US;
	double at_end = place_told_at(&s->pace, end_us);

	if (took < 0.01)
		return at_end;
	return s->pace.mean + (at_end - s->pace.mean) * (1 - exp(-took)) / took;
}

void
place_pace_record(
    struct place_pace *s, uint64_t end_us, double work, double took_ms)
{
	s->work = s->work * RECORD_KEPT + work;
	s->usual_ms = s->usual_ms * RECORD_KEPT +
	    took_ms / pace_during(s, end_us, took_ms);
}

double
place_pace_speed_at(const struct place_pace *s, uint64_t at_us)
{
	return s->work / s->usual_ms / place_pace_at(s, at_us);
}

double
place_pace_mean_speed(const struct place_pace *s)
{
	return s->work / s->usual_ms / s->pace.mean;
}
