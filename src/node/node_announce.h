#ifndef MP_NODE_NODE_ANNOUNCE_H
#define MP_NODE_NODE_ANNOUNCE_H

#include <jansson.h>

#include "node/node_internal.h"

/*
 * Parsing of announcements: JSON objects by which an endpoint reports its
 * identity, address, capacity and load. A full announcement holds all fields; a
 * short one holds what has changed since an earlier announcement.
 */

#define ANNOUNCE_SLOTS_MAX 256

/* A parsed full announcement; its strings belong to root. */
struct announcement {
	json_t *root;
	const char *address, *region;
	uint64_t sequence; /* of this announcement; 0: not given */
	struct sched_report report;
	struct sched_slot slots[ANNOUNCE_SLOTS_MAX];
};

/*
 * Validates a full announcement and reads its fields.
 *
 * out: released by announce_free(); empty on failure.
 * now_us: the time of receipt, from which the age of the load is subtracted.
 * root: the JSON object; the announcement takes a reference to it.
 * Errors: MP_ERR_INVALID naming the faulty field.
 */
int announce_read(struct announcement *out, uint64_t now_us, json_t *root,
    struct mp_error *err);
void announce_free(struct announcement *a);

/* The identity of a short announcement. */
struct announce_change {
	const char *id; /* of the endpoint */
	uint64_t incarnation;
	uint64_t sequence;
	uint64_t since; /* sequence of the announcement it is relative to */
};

/* Whether the JSON object is a short announcement. */
bool announce_is_change(const json_t *root);

/*
 * Reads the identity of a short announcement.
 *
 * out: its strings belong to root.
 * Errors: MP_ERR_INVALID naming the faulty field.
 */
int announce_read_change(
    struct announce_change *out, const json_t *root, struct mp_error *err);

/*
 * Applies a short announcement to an earlier full one.
 *
 * out: the resulting full announcement, a new reference; earlier is unchanged.
 * Errors: MP_ERR_INVALID naming the faulty field.
 */
int announce_merge(json_t **out, const json_t *earlier, const json_t *change,
    struct mp_error *err);

#endif
