#ifndef MP_PLACE_PLACE_GUARD_H
#define MP_PLACE_PLACE_GUARD_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Safety checks of the placer that can be disabled one at a time. All are
 * enabled; only script/prove --guards disables one, to verify that a test
 * fails without it.
 */
struct place_guards {
	bool sequence; /* ignore announcements older than the known one */
	bool leaving; /* grant nothing to a leaving endpoint */
	bool pins; /* never unload an adapter that is in use */
	bool expected; /* an order applies to one state of its engine only */
	bool counted; /* count only orders that the engine has counted */
	bool fence; /* a fenced placer gives no more orders */
	bool store; /* limit the concurrent loads from the store */
	bool version; /* never serve an outdated version of an adapter */
	bool budget; /* limit repeats to a share of the requests */
	bool notice; /* grant nothing against a notice of the endpoint */
	bool memory; /* load no more than the engine's memory holds */
	bool limit; /* grant no more than the endpoint's limit allows */
};

extern struct place_guards place_guards;

#ifdef __cplusplus
}
#endif

#endif
