#include "place/place_window.h"

#define WINDOW_INITIAL 16.0
#define WINDOW_MIN     3.0
#define WINDOW_MAX     512.0
/*
 * An answer is late if it takes this much longer than the fastest one. A run of
 * the placer or a short burst delays answers by less.
 */
#define LATE_MARGIN_US (60 * 1000ULL)
/* The fastest answer is taken from the current span and the one before. */
#define SPAN_US	      (2000 * 1000ULL)
#define SHRINK_FACTOR 0.7
/* The late answers of one queue shrink the window only once. */
#define SHRINK_GAP_US (100 * 1000ULL)

void
place_window_init(struct place_window *w)
{
	w->size = WINDOW_INITIAL;
	w->in_flight = 0;
	w->shrunk_us = w->span_start_us = 0;
	w->min_us = w->prev_min_us = UINT64_MAX;
}

static void
record_latency(struct place_window *w, uint64_t now_us, uint64_t took_us)
{
	if (now_us >= w->span_start_us + SPAN_US) {
		w->prev_min_us = w->min_us;
		w->min_us = UINT64_MAX;
		w->span_start_us = now_us;
	}
	if (took_us < w->min_us)
		w->min_us = took_us;
}

uint64_t
place_window_late_after_us(const struct place_window *w)
{
	uint64_t min = w->min_us < w->prev_min_us ? w->min_us : w->prev_min_us;

	return min == UINT64_MAX ? LATE_MARGIN_US : min + LATE_MARGIN_US;
}

bool
place_window_is_open(const struct place_window *w)
{
	return w->in_flight < w->size;
}

bool
place_window_is_congested(const struct place_window *w)
{
	return w->size < WINDOW_INITIAL / 2;
}

void
place_window_sent(struct place_window *w)
{
	w->in_flight++;
}

void
place_window_lost(struct place_window *w)
{
	if (w->in_flight > 0)
		w->in_flight--;
}

void
place_window_answered(struct place_window *w, uint64_t now_us, uint64_t took_us)
{
	place_window_lost(w);
	record_latency(w, now_us, took_us);
	if (took_us <= place_window_late_after_us(w)) {
		w->size += 1 / w->size;
		if (w->size > WINDOW_MAX)
			w->size = WINDOW_MAX;
		return;
	}
	if (now_us < w->shrunk_us + SHRINK_GAP_US)
		return;
	w->shrunk_us = now_us;
	w->size *= SHRINK_FACTOR;
	if (w->size < WINDOW_MIN)
		w->size = WINDOW_MIN;
}
