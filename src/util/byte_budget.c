#include "util/byte_budget.h"

#include <stdlib.h>

#include "util/mem.h"

/* The part of what is left of the first half that one holder may take. */
#define WINDOW_DIVISOR 8

struct byte_budget {
	struct byte_budget_stats stats;
};

struct byte_budget *
byte_budget_create(uint64_t limit_bytes)
{
	struct byte_budget *b = mem_alloc(1, sizeof(*b));

	b->stats.limit_bytes = limit_bytes;
	return b;
}

void
byte_budget_destroy(struct byte_budget *b)
{
	free(b);
}

void
byte_budget_change(
    struct byte_budget *b, uint64_t from_bytes, uint64_t to_bytes)
{
	if (b == NULL)
		return;
	b->stats.used_bytes += to_bytes - from_bytes;
	if (b->stats.used_bytes > b->stats.max_used_bytes)
		b->stats.max_used_bytes = b->stats.used_bytes;
}

static uint64_t
left_of(uint64_t limit, uint64_t used)
{
	return used < limit ? limit - used : 0;
}

size_t
byte_budget_window(const struct byte_budget *b)
{
	uint64_t window;

	if (b == NULL)
		return BYTE_BUDGET_WINDOW_MAX;
	window = left_of(b->stats.limit_bytes / 2, b->stats.used_bytes) /
	    WINDOW_DIVISOR;
	if (window > BYTE_BUDGET_WINDOW_MAX)
		return BYTE_BUDGET_WINDOW_MAX;
	return window < BYTE_BUDGET_WINDOW_MIN ? BYTE_BUDGET_WINDOW_MIN
					       : (size_t)window;
}

size_t
byte_budget_extension(const struct byte_budget *b)
{
	size_t window = byte_budget_window(b);

	if (b == NULL ||
	    left_of(b->stats.limit_bytes / 4 * 3, b->stats.used_bytes) <
		BYTE_BUDGET_EXTENSION_MIN)
		return 0;
	return window < BYTE_BUDGET_EXTENSION_MIN ? BYTE_BUDGET_EXTENSION_MIN
						  : window;
}

bool
byte_budget_admits(const struct byte_budget *b, uint64_t bytes)
{
	return b == NULL ||
	    bytes <= left_of(b->stats.limit_bytes, b->stats.used_bytes) / 2;
}

bool
byte_budget_is_exceeded(const struct byte_budget *b)
{
	return b != NULL && b->stats.used_bytes > b->stats.limit_bytes;
}

void
byte_budget_count_pause(struct byte_budget *b)
{
	if (b != NULL)
		b->stats.pauses++;
}

void
byte_budget_count_refusal(struct byte_budget *b)
{
	if (b != NULL)
		b->stats.refusals++;
}

void
byte_budget_count_extension(struct byte_budget *b)
{
	if (b != NULL)
		b->stats.extensions++;
}

void
byte_budget_count_cut(struct byte_budget *b)
{
	if (b != NULL)
		b->stats.cuts++;
}

struct byte_budget_stats
byte_budget_get_stats(const struct byte_budget *b)
{
	static const struct byte_budget_stats none;

	return b == NULL ? none : b->stats;
}
