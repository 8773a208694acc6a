#ifndef MP_QUOTA_QUOTA_GUARD_H
#define MP_QUOTA_QUOTA_GUARD_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Safety rules of quotas. All are enabled; only script/prove --guards and the
 * package's own test disable one, to verify that the checker then fails.
 */
struct quota_guards {
	bool outstanding; /* granted tokens count in the cap of the bucket */
	bool expiry; /* an entry stops before the owner frees the room */
	bool empty_start; /* a new owner begins without tokens */
	bool reserve; /* a new owner leaves room for the former one's grants */
	bool repeat; /* a repeated ask is granted nothing more */
	bool unit; /* amounts of one unit are not taken for another's */
	bool late; /* an entry uses no grant of an earlier ask */
};

extern struct quota_guards quota_guards;

#ifdef __cplusplus
}
#endif

#endif
