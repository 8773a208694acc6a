#ifndef MP_MULBERRYCTL_LOAD_CHECK_H
#define MP_MULBERRYCTL_LOAD_CHECK_H

#include "mulberryctl/trace.h"
#include "util/buf.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Whether an answer is the one that the stand-in engines give. */

enum load_verdict {
	LOAD_WHOLE,
	LOAD_CUT, /* a true beginning */
	LOAD_WRONG /* other text, or another adapter's */
};

/* The prompt as the engine gets it. */
void load_prompt(struct buf *out, const struct trace_request *r);

/* The whole text that the stand-ins answer to a request. */
void load_expect(struct buf *out, const struct trace_request *r);

/*
 * model: "adapter@version" as the answer names it.
 * text: all that was delivered.
 */
enum load_verdict load_check(const struct trace_request *r, const char *model,
    const char *text, size_t len);

#ifdef __cplusplus
}
#endif

#endif
