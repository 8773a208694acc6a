#ifndef MP_DOC_DOC_GUARD_H
#define MP_DOC_DOC_GUARD_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Guards of documents. All are on; only tests switch one off, to see that
 * their checkers notice.
 */
struct doc_guards {
	bool base_revision; /* a change replaces only the revision it names */
	bool change_id; /* a change id is answered as the first time */
};

extern struct doc_guards doc_guards;

#ifdef __cplusplus
}
#endif

#endif
