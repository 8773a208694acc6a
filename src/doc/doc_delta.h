#ifndef MP_DOC_DOC_DELTA_H
#define MP_DOC_DOC_DELTA_H

#include "doc/doc.h"
#include "wire/command.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * A change as the difference to the revision that it replaces, so that the
 * log does not carry whole documents. Both sides hold that revision: the
 * text is made anew from the book where the change is applied, alike on
 * every instance.
 */

/*
 * Put pieces in place of the body, if the book holds the base revision and
 * they are much smaller; else the change stays whole.
 *
 * put: team, base_revision and body are set; the body is borrowed.
 */
void doc_delta_encode(const struct doc_table *b, Wire__DocPut *put);

/* Free what doc_delta_encode() put in place. */
void doc_delta_free(Wire__DocPut *put);

/*
 * The text of a change, whole or made of its pieces.
 *
 * out: empty; not touched when the change is whole.
 * Returns the text with its length, in out or in put; data is NULL when the
 * book does not hold the base revision any more, or the pieces do not make
 * the text that they were taken from.
 */
struct doc_text {
	const char *data;
	size_t len;
};
struct doc_text doc_delta_decode(
    const struct doc_table *b, const Wire__DocPut *put, struct buf *out);

#ifdef __cplusplus
}
#endif

#endif
