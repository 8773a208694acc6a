#ifndef MP_PLACE_PLACE_STORE_H
#define MP_PLACE_PLACE_STORE_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * How many adapter loads from the store may be in progress, learned by AIMD.
 *
 * The store serves a number of loads at full speed that is not told; beyond it
 * all loads take longer in proportion, those of other owners as well. A load is
 * late if the engine refuses the first request on it because the adapter is not
 * loaded yet, and in time if the engine runs that request when it was expected
 * to be ready.
 */

struct place_store_bounds {
	double first; /* limit to begin with */
	double min, max; /* min goes before max */
};

struct place_store {
	double ratio; /* of the limit to the one to begin with */
	double ceiling; /* ratio before the last decrease; 0: not known */
	uint64_t settled_us; /* loads that begin later show its effect */
	double configured_ms, load_ms; /* of a load within the limit */
	/* loads since window_us: their number, the least time, ratio then */
	uint64_t window_us;
	uint32_t window_loads;
	double window_min_ms, window_ratio;
	double overrun; /* added to estimates, as a share of load_ms */
	uint64_t overrun_us;
	uint32_t late, in_time; /* loads so far */
	double fraction; /* of a load, from 0 to 1, see place_store_limit() */
};

/* A load from the store; zeroed: there is none. */
struct place_load {
	uint64_t began_us; /* 0: none, or its result is known */
	double use; /* part of the limit in use, when it began or ended */
	bool was_exceeded; /* more loads were in progress */
	uint64_t missing_us; /* last refusal of a request on it; 0: none */
};

void place_store_init(struct place_store *s, uint32_t load_ms);
/*
 * The current limit of concurrent loads. A fractional limit is rounded up for a
 * matching fraction of the loads and down for the others: rounding always down
 * would waste much of the small limit of an owner of few engines.
 */
uint32_t place_store_limit(
    const struct place_store *s, struct place_store_bounds bounds);
/* The number of concurrent loads that waits are estimated by. */
double place_store_sure_limit(
    const struct place_store *s, struct place_store_bounds bounds);
/* Expected time of a load that begins now. */
double place_store_load_ms(const struct place_store *s, uint64_t now_us);
/* Record a load that begins; in_progress: loads including this one. */
void place_store_begin(const struct place_store *s, struct place_load *load,
    uint64_t now_us, uint32_t in_progress, struct place_store_bounds bounds);
/* Record that an engine refused the first request, the adapter missing. */
void place_store_record_missing(
    struct place_store *s, struct place_load *load, uint64_t now_us);
/*
 * Record that an engine runs the first request, which was granted then.
 * in_progress: loads that are still in progress.
 */
void place_store_record_ready(struct place_store *s, struct place_load *load,
    uint64_t now_us, uint64_t granted_us, uint32_t in_progress,
    struct place_store_bounds bounds);

#ifdef __cplusplus
}
#endif

#endif
