#ifndef MP_PLACE_PLACE_WINDOW_H
#define MP_PLACE_PLACE_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Congestion window: limits an entry's unanswered asks at a placer.
 *
 * In a burst beyond the capacity of the placer's processor its queue would grow
 * by all the excess, and with it the latency of every ask, configuration change
 * and lease renewal in that queue. The window adapts to the rate that the
 * placer answers in time: it grows by one for each window of answers and
 * shrinks when an answer is late. A long network path is not a queue, so an
 * answer is late relative to the fastest answer of the last few seconds.
 */
struct place_window {
	double size; /* asks */
	uint32_t in_flight; /* asks without an answer */
	uint64_t shrunk_us; /* when it last shrank */
	uint64_t min_us, prev_min_us; /* fastest answer of the last two spans */
	uint64_t span_start_us;
};

void place_window_init(struct place_window *w);

/* May another ask be sent to the placer? */
bool place_window_is_open(const struct place_window *w);

/* Has the window shrunk because answers were late for some time? */
bool place_window_is_congested(const struct place_window *w);

/* Record that an ask was sent. */
void place_window_sent(struct place_window *w);

/* The latency beyond which an answer is late. */
uint64_t place_window_late_after_us(const struct place_window *w);

/* Record that an ask was answered, or given up, after took_us. */
void place_window_answered(
    struct place_window *w, uint64_t now_us, uint64_t took_us);

/*
 * Record that an ask was lost because its placer is no longer reachable, which
 * is not a sign of load: the window keeps its size.
 */
void place_window_lost(struct place_window *w);

#ifdef __cplusplus
}
#endif

#endif
