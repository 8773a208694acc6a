#ifndef MP_QUARANTINE_QUARANTINE_GUARD_H
#define MP_QUARANTINE_QUARANTINE_GUARD_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Safety rules of the quarantine. All are enabled; only script/prove --guards
 * disables one, to verify that a test then fails.
 */
struct quarantine_guards {
	bool refuse; /* requests with a quarantined part are not sent */
	bool served; /* a part that was answered since is not to blame */
	bool separate; /* processes that end together count once */
	bool explain; /* an end counts against one part only */
};

extern struct quarantine_guards quarantine_guards;

#ifdef __cplusplus
}
#endif

#endif
