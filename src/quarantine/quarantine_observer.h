#ifndef MP_QUARANTINE_QUARANTINE_OBSERVER_H
#define MP_QUARANTINE_QUARANTINE_OBSERVER_H

#include "quarantine/quarantine_evidence.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * What one entry has observed of prompt parts: the ends of processes under its
 * own requests, which it reports to the leader, also to a later one, and when
 * a request with a part was last answered well.
 */
struct quarantine_observer;

/*
 * Suspects of one end that an entry reports. Of more, those that were under
 * earlier ends as well are kept.
 */
#define QUARANTINE_SUSPECTS_MAX 8192u

/* An end that is to be reported. Strings stay owned by the observer. */
struct quarantine_report {
	const char *endpoint;
	uint64_t born_ms; /* start of the process that ended */
	uint32_t requests; /* of this entry that ended with it */
	bool is_first; /* it was not reported before */
	struct quarantine_end end;
};

struct quarantine_observer *quarantine_observer_create(void);
/* Frees the observer. NULL is allowed. */
void quarantine_observer_destroy(struct quarantine_observer *o);

/*
 * Record that the process of an endpoint ended while it had a request.
 *
 * hashes: the parts of its prompt, in order, without the last one.
 */
void quarantine_observer_add_end(struct quarantine_observer *o, uint64_t now_us,
    const char *endpoint, uint64_t born_ms, const uint64_t *hashes,
    size_t count);

/* Record that a request with these parts was answered well. */
void quarantine_observer_add_served(struct quarantine_observer *o,
    uint64_t now_us, const uint64_t *hashes, size_t count);

/* When a request with the part was last answered well; 0: not known. */
uint64_t quarantine_observer_served_us(
    const struct quarantine_observer *o, uint64_t hash);

/*
 * Whether processes have ended under the part here, lately, one after the
 * other, and since a request with it was last answered well. Connections that
 * are reset together are no such ends.
 */
bool quarantine_observer_is_suspect(
    const struct quarantine_observer *o, uint64_t now_us, uint64_t hash);

/*
 * Get the next end to report to a leader; false if none is due. An end is
 * reported several times to each leader, as messages may be lost.
 *
 * leader: identifies the leader and its term, not 0.
 */
bool quarantine_observer_next_report(struct quarantine_observer *o,
    uint64_t now_us, uint64_t leader, struct quarantine_report *out);

#ifdef __cplusplus
}
#endif

#endif
