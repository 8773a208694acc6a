#include "place/place_window.h"

#define WINDOW_FIRST 16.0
#define WINDOW_MIN   3.0
#define WINDOW_MAX   512.0
/* The placer's rounds and short bursts take less. */
#define QUEUE_US (60 * 1000ULL)
/* The quickest answer is that of this span and the one before. */
#define SPAN_US	 (2000 * 1000ULL)
#define NARROWER 0.7
/* The late answers of one queue narrow it once. */
#define NARROW_GAP_US (100 * 1000ULL)

void
place_window_init(struct place_window *w)
{
	w->size = WINDOW_FIRST;
	w->in_flight = 0;
	w->narrowed_us = w->span_start_us = 0;
	w->min_us = w->prev_min_us = UINT64_MAX;
}

static void
note_least(struct place_window *w, uint64_t now_us, uint64_t took_us)
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
	uint64_t least =
	    w->min_us < w->prev_min_us ? w->min_us : w->prev_min_us;

	return least == UINT64_MAX ? QUEUE_US : least + QUEUE_US;
}

bool
place_window_is_open(const struct place_window *w)
{
	return w->in_flight < w->size;
}

bool
place_window_is_congested(const struct place_window *w)
{
	return w->size < WINDOW_FIRST / 2;
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
	note_least(w, now_us, took_us);
	if (took_us <= place_window_late_after_us(w)) {
		w->size += 1 / w->size;
		if (w->size > WINDOW_MAX)
			w->size = WINDOW_MAX;
		return;
	}
	if (now_us < w->narrowed_us + NARROW_GAP_US)
		return;
	w->narrowed_us = now_us;
	w->size *= NARROWER;
	if (w->size < WINDOW_MIN)
		w->size = WINDOW_MIN;
}
