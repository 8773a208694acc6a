#ifndef MP_PLACE_PLACE_PACE_H
#define MP_PLACE_PLACE_PACE_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The speed of an endpoint: how much work (prompt tokens or calls) it does per
 * ms. It is the product of a lasting speed, learned from the times that work
 * took, and of the pace of the moment, which the endpoint's responses tell.
 */

/*
 * A figure that is told now and then and changes meanwhile: the last value
 * counts while it is recent, the mean of those told afterwards.
 */
struct place_told {
	double last, mean;
	uint64_t told_us, first_us; /* 0: never told */
};

void place_told_init(struct place_told *t, double mean);
/* Set what was told of told_us; an older account than the last is ignored. */
void place_told_set(struct place_told *t, uint64_t told_us, double value);
/* The value to expect at a time. */
double place_told_at(const struct place_told *t, uint64_t at_us);

struct place_pace {
	/* of the recent past; usual_ms: at a pace of 1 */
	double work, usual_ms;
	struct place_told pace; /* time that work takes; 1: as usual */
};

/* Set the lasting speed to begin with; it counts as much as prior_work. */
void place_pace_init(
    struct place_pace *s, double work_per_ms, double prior_work);
/* Set the pace that was told of told_us; 100: work takes as long as usual. */
void place_pace_set_told(
    struct place_pace *s, uint64_t told_us, uint32_t percent);
/* Record work that ended at end_us and took so long. */
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
