#ifndef MP_PLACE_PLACE_PACE_H
#define MP_PLACE_PLACE_PACE_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The speed of an endpoint: the work (prompt tokens or calls) that it does per
 * ms. It is the long-term speed, estimated from the durations of finished work,
 * divided by the current slowdown, which the endpoint reports in its responses.
 */

/*
 * A value that an endpoint reports at irregular intervals. The estimate decays
 * from the last report towards the mean of all reports.
 */
struct place_told {
	double last, mean;
	uint64_t told_us, first_us; /* 0: never told */
};

/* Set the estimate before the first report. */
void place_told_init(struct place_told *t, double mean);
/* Record a value as of told_us; ignored if a newer one is known. */
void place_told_set(struct place_told *t, uint64_t told_us, double value);
/* The value to expect at a time. */
double place_told_at(const struct place_told *t, uint64_t at_us);

struct place_pace {
	/* decaying sums: work done, and its duration without slowdown */
	double work, usual_ms;
	/* duration of work relative to the usual one; 2: twice as long */
	struct place_told pace;
};

/* Set the initial speed, which weighs as much as prior_work units of work. */
void place_pace_init(
    struct place_pace *s, double work_per_ms, double prior_work);
/* Record the slowdown, in percent, as of told_us; 100: none. */
void place_pace_set_told(
    struct place_pace *s, uint64_t told_us, uint32_t percent);
/* Record work that took took_ms and ended at end_us. */
void place_pace_record(
    struct place_pace *s, uint64_t end_us, double work, double took_ms);
/* The time that work takes at at_us, relative to the usual time. */
double place_pace_at(const struct place_pace *s, uint64_t at_us);
/* Work per ms at at_us, and at the mean pace. */
double place_pace_speed_at(const struct place_pace *s, uint64_t at_us);
double place_pace_mean_speed(const struct place_pace *s);

#ifdef __cplusplus
}
#endif

#endif
