#ifndef MP_ROUTE_ROUTE_GUARD_H
#define MP_ROUTE_ROUTE_GUARD_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Safety rules of routing. All are enabled; only tests disable one, to verify
 * that their checkers detect the violation.
 */
struct route_guards {
	bool match_run; /* accept text of the request's run and adapter only */
	bool match_offset; /* accept text at the expected offset only */
	bool whole; /* treat a stream without its end marker as broken */
	bool may_have_run; /* send "not run" only if no byte was sent */
	bool single_attempt; /* no retry of a call that may have run */
	bool claim_first; /* run a call with a key only once it is claimed */
	bool record_first; /* send its answer only once it is recorded */
};

extern struct route_guards route_guards;

#ifdef __cplusplus
}
#endif

#endif
