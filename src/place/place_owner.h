#ifndef MP_PLACE_PLACE_OWNER_H
#define MP_PLACE_PLACE_OWNER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "util/rng.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Chooses which of several owners (instances that place) gets a request: one
 * of its home owners by load; otherwise the first one in order of preference
 * whose load is not far above the mean; otherwise the least loaded one.
 */

/* No recent load is known; the mean of the others is used instead. */
#define PLACE_LOAD_UNKNOWN (-1.0)

/* An owner as known to the entry that chooses. */
struct place_owner_load {
	uint32_t instance;
	bool is_available; /* it answers and its window is open */
	double load_ms; /* until a new prompt is processed there */
};

/*
 * owners: in order of preference for the request.
 * homes: how many of the first owners are homes, between which load decides.
 * refused_by: an instance to skip; 0: none.
 * elsewhere_ms: what a request loses at an owner that is not its home.
 *
 * Returns the instance; 0: no owner is available.
 */
uint32_t place_owner_choose(const struct place_owner_load *owners, size_t count,
    size_t homes, uint32_t refused_by, double elsewhere_ms, struct rng *rng);

#ifdef __cplusplus
}
#endif

#endif
