#ifndef MP_UTIL_BYTE_BUDGET_H
#define MP_UTIL_BYTE_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * A limit of the bytes that a process buffers for all of its connections or
 * requests together (flow control with shared buffers).
 *
 * Each holder adds what it buffers and may buffer up to a window. The window
 * is large while little is buffered, and shrinks as the first half of the
 * budget fills up, so that a few slow readers are buffered as a whole and very
 * many take a few KiB each. The second half is for these small windows and for
 * what is read in one piece.
 *
 * Functions that take a NULL budget act as if nothing was buffered.
 */
struct byte_budget;

/* The window while nothing is buffered, if the budget is large enough. */
#define BYTE_BUDGET_WINDOW_MAX (4u << 20)
/* The window once half of the budget is used. */
#define BYTE_BUDGET_WINDOW_MIN (4u << 10)

struct byte_budget_stats {
	uint64_t limit_bytes, used_bytes;
	uint64_t max_used_bytes; /* since the start */
	/* Holders that had to wait, were refused, and were cut off. */
	uint64_t pauses, refusals, cuts;
	uint64_t extensions; /* of windows, see byte_budget_extension() */
};

/* The budget is released by byte_budget_destroy(). */
struct byte_budget *byte_budget_create(uint64_t limit_bytes);
void byte_budget_destroy(struct byte_budget *b);

/* A holder now buffers another number of bytes than before. */
void byte_budget_change(
    struct byte_budget *b, uint64_t from_bytes, uint64_t to_bytes);

/* The bytes that a holder may buffer now. */
size_t byte_budget_window(const struct byte_budget *b);

/*
 * The least that a window is extended by: one read. Less may not open the
 * source's TCP window, so that it makes no progress.
 */
#define BYTE_BUDGET_EXTENSION_MIN (64u << 10)

/*
 * The bytes by which a holder may exceed its window, as its source would not
 * wait any longer: as large as a window, of the first three quarters of the
 * budget. 0: there is no memory for it.
 */
size_t byte_budget_extension(const struct byte_budget *b);

/*
 * Whether a holder may buffer so many bytes at once: up to half of what is
 * left, so that small ones are still admitted when large ones are not.
 */
bool byte_budget_admits(const struct byte_budget *b, uint64_t bytes);

/* Whether more is buffered than the limit. */
bool byte_budget_is_exceeded(const struct byte_budget *b);

void byte_budget_count_pause(struct byte_budget *b);
void byte_budget_count_refusal(struct byte_budget *b);
void byte_budget_count_cut(struct byte_budget *b);
void byte_budget_count_extension(struct byte_budget *b);

/* All zero without a budget. */
struct byte_budget_stats byte_budget_get_stats(const struct byte_budget *b);

#ifdef __cplusplus
}
#endif

#endif
