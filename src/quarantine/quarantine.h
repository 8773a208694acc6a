#ifndef MP_QUARANTINE_QUARANTINE_H
#define MP_QUARANTINE_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The quarantine of prompt parts: a part under which the processes of several
 * endpoints have ended is quarantined, and requests with it are refused. In
 * the literature such a request is a query of death.
 *
 * The set is part of the replicated state: every instance that has applied the
 * same changes has the same parts, in the same order.
 *
 * A quarantine ends after some time. If the part is quarantined again, it lasts
 * twice as long each time, and needs one end only; so a part that still ends
 * processes costs few of them, and one that is sound by now is served again.
 *
 * Parts are named by the hashes of their ids. Times are in microseconds of the
 * instance's clock.
 */
struct quarantine;

enum quarantine_change {
	QUARANTINE_START,
	QUARANTINE_EXPIRE, /* its time is over; what it has done is kept */
	QUARANTINE_LIFT /* it was not to blame: nothing is kept */
};

/* A change of one part, as the log has it. */
struct quarantine_update {
	uint64_t hash;
	enum quarantine_change change;
	uint32_t ends; /* of START: counted against the part */
	uint64_t last_end_us; /* of START: when the latest of them was */
};

struct quarantine_part {
	uint64_t hash;
	bool is_active; /* requests with it are refused */
	uint32_t strikes; /* times that it was quarantined, over 0 */
	uint32_t ends; /* counted for the last one */
	uint64_t number; /* of the change that was applied last */
	/* by the clock of this instance, not replicated */
	uint64_t since_us; /* when it was applied */
	uint64_t last_end_us; /* the latest of the ends, or later */
};

struct quarantine *quarantine_create(void);
/* Frees the quarantine. NULL is allowed. */
void quarantine_destroy(struct quarantine *q);

/*
 * Apply a change at now_us. Returns whether requests with the part are refused
 * now and were not before, or the reverse.
 */
bool quarantine_apply(struct quarantine *q, uint64_t now_us,
    const struct quarantine_update *update);

/* Whether requests with the part are refused. */
bool quarantine_is_active(const struct quarantine *q, uint64_t hash);

/* Get a part that is or was quarantined; NULL: it never was, or was lifted. */
const struct quarantine_part *quarantine_find(
    const struct quarantine *q, uint64_t hash);

/* Get the i-th part, in any order; NULL past the last one. */
const struct quarantine_part *quarantine_at(
    const struct quarantine *q, size_t i);

/* The number of active parts. */
size_t quarantine_active_count(const struct quarantine *q);

/*
 * Get a part whose quarantine has lasted its time by now_us; false if there is
 * none.
 */
bool quarantine_find_expired(
    const struct quarantine *q, uint64_t now_us, uint64_t *hash);

/*
 * Replace the set by the parts of a snapshot: clear it, then add each part.
 * since_us and last_end_us of an added part are set to now_us.
 */
void quarantine_clear(struct quarantine *q);
void quarantine_add(
    struct quarantine *q, uint64_t now_us, const struct quarantine_part *part);

#ifdef __cplusplus
}
#endif

#endif
