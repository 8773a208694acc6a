#ifndef MP_FORWARD_FORWARD_GUARD_H
#define MP_FORWARD_FORWARD_GUARD_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Guards of the life of a request. All are on; only script/prove --guards
 * switches one off, to see that a test notices.
 */
struct forward_guards {
	bool once; /* what may run once only is sent again after "not run" only
		    */
	bool truth; /* "not run" is told only when no sending may have run */
	bool proof; /* an answer without a signature is not passed on */
	bool match; /* nor an answer to another request */
	bool gap; /* a stream goes on only from an event with an id */
	bool attempts; /* so many endpoints may run a request and no more */
};

extern struct forward_guards forward_guards;

#ifdef __cplusplus
}
#endif

#endif
