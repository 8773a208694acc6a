#ifndef MP_NODE_NODE_ANNOUNCE_H
#define MP_NODE_NODE_ANNOUNCE_H

#include <jansson.h>

#include "node/node_internal.h"

#define ANNOUNCE_SLOTS_MAX 256

/* An endpoint's announcement; strings live as long as root. */
struct announcement {
	json_t *root;
	const char *address, *region;
	uint64_t sequence; /* of the endpoint's announcements; 0: not said */
	struct sched_report report;
	struct sched_slot slots[ANNOUNCE_SLOTS_MAX];
};

/*
 * Check an announcement and read its fields.
 *
 * out: released by announce_free(); empty on failure.
 * now_us: the time from which the age of its figures is counted back.
 * root: the JSON object; the announcement keeps a reference.
 * Errors: MP_ERR_INVALID naming the faulty field.
 */
int announce_read(struct announcement *out, uint64_t now_us, json_t *root,
    struct mp_error *err);
void announce_free(struct announcement *a);

/* What a short announcement says of itself. */
struct announce_change {
	const char *id;
	uint64_t incarnation;
	uint64_t sequence, since; /* it tells what has changed since that one */
};

/* Whether JSON is a short announcement rather than a full one. */
bool announce_is_change(const json_t *root);

/* Errors: MP_ERR_INVALID naming the faulty field. */
int announce_read_change(
    struct announce_change *out, const json_t *root, struct mp_error *err);

/*
 * Make the full announcement out of an earlier one and a short one.
 *
 * out: a new object; the earlier one stays as it is.
 * Errors: MP_ERR_INVALID naming the faulty field.
 */
int announce_merge(json_t **out, const json_t *earlier, const json_t *change,
    struct mp_error *err);

#endif
