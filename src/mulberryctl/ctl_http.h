#ifndef MP_MULBERRYCTL_CTL_HTTP_H
#define MP_MULBERRYCTL_CTL_HTTP_H

#include "mulberryctl/ctl.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Calls to the servers, one at a time. */

enum ctl_result {
	CTL_NO_ANSWER, /* no server took the call */
	CTL_LOST, /* a server may have acted; its answer was lost */
	CTL_ANSWERED
};

struct ctl_answer {
	enum ctl_result result;
	int status;
	struct buf body;
	json_t *json; /* the body, or NULL */
};

void ctl_answer_free(struct ctl_answer *a);

/* The answer's JSON error code and outcome, "" when it has none. */
const char *ctl_answer_code(const struct ctl_answer *a);
const char *ctl_answer_outcome(const struct ctl_answer *a);

/*
 * Call the servers in turn until one answers for good: one that is out of
 * reach or answers 503 is passed over, one whose answer was lost only when
 * the call may be repeated.
 *
 * path: with the query, encoded.
 * body: NULL for none.
 * repeatable: sending it twice does no harm.
 */
void ctl_call(struct ctl *c, struct ctl_answer *out, const char *method,
    const char *path, const struct buf *body, bool repeatable);

/* The same by GET; true for status 200, else the complaint is printed. */
bool ctl_get(
    struct ctl *c, struct ctl_answer *out, const char *path, int *code);

/* Complain about an answer that is no success; its exit code. */
int ctl_refused(struct ctl *c, const struct ctl_answer *a);

/* Let the loop run for a while. */
void ctl_pause(struct ctl *c, uint64_t ms);

/* Append s percent-encoded. */
void ctl_encode(struct buf *out, const char *s);

void ctl_http_close(struct ctl *c);

#ifdef __cplusplus
}
#endif

#endif
