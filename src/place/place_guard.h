#ifndef MP_PLACE_PLACE_GUARD_H
#define MP_PLACE_PLACE_GUARD_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Guards of the placer. All are on; only script/prove --guards switches one
 * off, to see that a test notices.
 */
struct place_guards {
	bool sequence; /* an older announcement counts no more */
	bool leaving; /* a leaving endpoint gets no work */
	bool pins; /* an adapter that is in use is not unloaded */
	bool expected; /* an order holds for one state of its engine only */
	bool fence; /* a fenced placer orders no more */
	bool store; /* so many loads at once and no more */
	bool version; /* an older version of an adapter serves nobody */
	bool budget; /* repeats are counted against the requests */
};

extern struct place_guards place_guards;

#ifdef __cplusplus
}
#endif

#endif
