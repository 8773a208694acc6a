#ifndef MP_MULBERRYCTL_REPLAY_OUTCOME_H
#define MP_MULBERRYCTL_REPLAY_OUTCOME_H

#include <jansson.h>

#include "mulberrypath/node.h"
#include "util/buf.h"
#include "util/map.h"

/* What came of a replayed run, counted from the effects. */
struct replay_outcome {
	struct map *answers; /* by outcome, else by status */
	struct map *calls; /* to endpoints, by kind */
	struct map *documents; /* the last accepted revision, by team */
};

void replay_outcome_init(struct replay_outcome *o);
void replay_outcome_free(struct replay_outcome *o);
void replay_outcome_add(
    struct replay_outcome *o, const struct node_effects *fx);

/* {"answers": {..}, "calls": {..}, "documents": {..}} */
json_t *replay_outcome_json(const struct replay_outcome *o);

/* The kinds of effects, in their order, for a person. */
void replay_effects_text(const struct node_effects *fx, struct buf *out);

/* An event in a few words, for a person. */
void replay_event_text(const struct node_event *ev, struct buf *out);

#endif
