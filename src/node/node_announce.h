#ifndef MP_NODE_NODE_ANNOUNCE_H
#define MP_NODE_NODE_ANNOUNCE_H

#include <jansson.h>

#include "node/node_internal.h"

#define ANNOUNCE_SLOTS_MAX 256

/* An endpoint's announcement; strings live as long as root. */
struct announcement {
	json_t *root;
	const char *address, *region;
	struct sched_report report;
	struct sched_slot slots[ANNOUNCE_SLOTS_MAX];
};

/*
 * Parse and check an announcement.
 *
 * now_us: the time from which the age of its figures is counted back.
 * Errors: MP_ERR_INVALID naming the faulty field.
 */
int announce_parse(struct announcement *out, uint64_t now_us,
    struct node_bytes json, struct mp_error *err);
void announce_free(struct announcement *a);

#endif
