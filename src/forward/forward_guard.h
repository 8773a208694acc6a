#ifndef MP_FORWARD_FORWARD_GUARD_H
#define MP_FORWARD_FORWARD_GUARD_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Safety rules of forwarding. All are enabled; only script/prove --guards
 * disables one, to verify that a test then fails.
 */
struct forward_guards {
	bool once; /* resend non-repeatable requests only after "not run" */
	bool truth; /* send "not run" only if no attempt may have run */
	bool proof; /* relay no successful response without signature */
	bool match; /* relay no response to another request */
	bool gap; /* resume a stream only after an event with an id */
	bool timeout; /* end a request at the timeout of its route */
	bool whole_events; /* a stream that ends inside an event is broken */
	bool stop; /* begin no request that may not end before an exit */
	bool attempts; /* limit the endpoints that may run a request */
	bool account; /* check route, account and endpoint before sending */
};

extern struct forward_guards forward_guards;

#ifdef __cplusplus
}
#endif

#endif
