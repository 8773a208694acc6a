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
 * Which of several instances that place takes a request: one of its homes by
 * load, else the first in order that is not above the others, else the least
 * loaded of all.
 */

/* Not told lately; it is taken for the mean of the others. */
#define PLACE_LOAD_UNKNOWN (-1.0)

/* An instance that places, as a chooser knows it. */
struct place_owner_load {
	uint32_t instance;
	bool is_available; /* it answers, and may be asked once more */
	double load_ms; /* until a prompt begins there */
};

/*
 * owners: in the order of preference for the request.
 * homes: of these the first that the request may go to by load alone.
 * refused_by: left out; 0: none.
 * elsewhere_ms: what a request loses at an instance that is not its home.
 *
 * Returns the instance; 0: none has time.
 */
uint32_t place_owner_choose(const struct place_owner_load *owners, size_t count,
    size_t homes, uint32_t refused_by, double elsewhere_ms, struct rng *rng);

#ifdef __cplusplus
}
#endif

#endif
