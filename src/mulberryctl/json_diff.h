#ifndef MP_MULBERRYCTL_JSON_DIFF_H
#define MP_MULBERRYCTL_JSON_DIFF_H

#include <jansson.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Compare two JSON values path by path. The result is a list of objects
 * {"path", "change": "added", "removed" or "changed", "old", "new"}, by the
 * order of the old value and then of the new one; to be released.
 */
json_t *json_diff(const json_t *old, const json_t *new_);

#ifdef __cplusplus
}
#endif

#endif
