#ifndef MP_ROUTE_ROUTE_GUARD_H
#define MP_ROUTE_ROUTE_GUARD_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Guards of what callers are promised. All are on; only tests switch one
 * off, to see that their checkers notice.
 */
struct route_guards {
	bool match_run; /* text counts only for its own run and adapter */
	bool match_offset; /* text counts only where it belongs */
	bool whole; /* a stream without its end mark is broken */
	bool may_have_run; /* "not run" only when no byte has left */
	bool single_attempt; /* no retry of a call that may have run */
	bool claim_first; /* a keyed call waits for its claim */
	bool record_first; /* its answer waits until it is recorded */
};

extern struct route_guards route_guards;

#ifdef __cplusplus
}
#endif

#endif
