/*
 * Guards of documents: rules that keep changes safe. All are on. Only tests
 * switch one off, to verify that their checkers detect its absence.
 */

#ifndef MP_DOC_DOC_GUARD_H
#define MP_DOC_DOC_GUARD_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

struct doc_guards {
	bool base_revision; /* a change replaces only its base revision */
	bool change_id; /* a known change id gets its first result */
};

extern struct doc_guards doc_guards;

#ifdef __cplusplus
}
#endif

#endif
