#ifndef MP_PLACE_PLACE_WINDOW_H
#define MP_PLACE_PLACE_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * How many asks an entry has at the placer without an answer.
 *
 * The pattern it answers: a burst beyond what the placer's processor bears. Its
 * queue would grow by all that comes beyond, and with it the wait of every ask,
 * configuration and lease that stands in it. The window learns what the placer
 * answers in time: it widens by one for each window of answers, and narrows
 * when one is late. A way that is long is no queue: late is what takes longer
 * than the quickest answer of the last seconds did.
 */
struct place_window {
	double size; /* asks */
	uint32_t in_flight; /* without an answer */
	uint64_t narrowed_us; /* last */
	uint64_t min_us, prev_min_us; /* quickest answers, by spans */
	uint64_t span_start_us; /* when the span began */
};

void place_window_init(struct place_window *w);

/* May one more ask go to the placer? */
bool place_window_is_open(const struct place_window *w);

/* It has been late for a while. */
bool place_window_is_congested(const struct place_window *w);

/* One has gone there. */
void place_window_sent(struct place_window *w);

/* An answer that takes longer is late. */
uint64_t place_window_late_after_us(const struct place_window *w);

/* It was answered, or given up, after so long. */
void place_window_answered(
    struct place_window *w, uint64_t now_us, uint64_t took_us);

/* It is lost with the placer, which is not heard any more: no sign of load. */
void place_window_lost(struct place_window *w);

#ifdef __cplusplus
}
#endif

#endif
