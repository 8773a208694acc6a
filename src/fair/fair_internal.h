#ifndef MP_FAIR_FAIR_INTERNAL_H
#define MP_FAIR_FAIR_INTERNAL_H

#include "fair/fair.h"
#include "util/map.h"

/*
 * In deficit bounds: how far a remote charge may raise a counter above the
 * least one.
 */
#define REMOTE_BOUNDS_MAX 8.0

struct fair {
	struct fair_options options;
	struct map *accounts; /* struct fair_account by name */
	struct fair_account **active; /* those with recent requests */
	uint32_t nactive, active_cap;
	double counter_floor; /* accounts are lifted at least to this */
	double mean_charge; /* of a request, over weight */
	uint64_t gap_milli, largest_gap_milli;
	uint32_t backlogged;
	bool has_remote; /* other owners have reported charges */
	/* largest values so far, over weight, for the bound of the gap */
	double largest_bound, largest_part, largest_unsettled;
};

#endif
