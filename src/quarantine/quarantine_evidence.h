#ifndef MP_QUARANTINE_QUARANTINE_EVIDENCE_H
#define MP_QUARANTINE_QUARANTINE_EVIDENCE_H

#include "quarantine/quarantine.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Evidence against prompt parts, and the verdict on them.
 *
 * When the process of an endpoint ends, the parts of all requests that it had
 * begun lately are suspects. A part is to blame if several processes have ended
 * under it, one after the other, and no request with it has been answered well
 * since the first of these ends. Of the parts that several of the same ends
 * speak against, the one with the most ends is to blame; with equally many, the
 * one that stands latest in the prompts, which fewer requests share. Ends under
 * a quarantined part are explained and count against no other part.
 *
 * The loss of a rack or of a link ends many processes at a time, whatever they
 * run. So processes that end together count once, and only against parts that
 * were under a good part of them.
 *
 * Before the verdict the caller has to ask all entries when they last had an
 * answer to a request with the part (QUARANTINE_INQUIRE).
 *
 * Pure: time and events come in, findings go out.
 */
struct quarantine_evidence;

/* A part of a prompt in a request that a process had when it ended. */
struct quarantine_suspect {
	uint64_t hash;
	uint32_t position; /* in its prompt, from 0 */
};

/* The end of an endpoint's process. Reports of several entries are merged. */
struct quarantine_end {
	uint64_t process; /* identifies endpoint and process */
	uint64_t at_us;
	const struct quarantine_suspect *suspects;
	size_t nsuspects;
};

enum quarantine_finding_type {
	QUARANTINE_INQUIRE, /* ask all entries about the part */
	QUARANTINE_BLAME /* quarantine the part */
};

struct quarantine_finding {
	enum quarantine_finding_type type;
	uint64_t hash;
	uint32_t ends; /* that count against it */
	uint64_t last_end_us; /* the latest of them */
};

struct quarantine_evidence *quarantine_evidence_create(void);
/* Frees the evidence. NULL is allowed. */
void quarantine_evidence_destroy(struct quarantine_evidence *e);

/*
 * Record the end of a process.
 *
 * q: the quarantine; the end counts against no part if it explains it.
 */
void quarantine_evidence_add_end(struct quarantine_evidence *e,
    const struct quarantine *q, const struct quarantine_end *end);

/* Record that a request with the part was answered well at at_us. */
void quarantine_evidence_add_served(
    struct quarantine_evidence *e, uint64_t hash, uint64_t at_us);

/*
 * The part is quarantined: its ends are explained and are dropped as evidence
 * against other parts.
 */
void quarantine_evidence_explain(struct quarantine_evidence *e, uint64_t hash);

/* Drop the evidence against a part. */
void quarantine_evidence_forget(struct quarantine_evidence *e, uint64_t hash);

/*
 * Get the next finding at now_us; false if there is none. A part is blamed
 * again after a while if it was not quarantined meanwhile.
 */
bool quarantine_evidence_next(struct quarantine_evidence *e,
    const struct quarantine *q, uint64_t now_us,
    struct quarantine_finding *out);

/* The number of parts with evidence against them. */
size_t quarantine_evidence_count(const struct quarantine_evidence *e);

#ifdef __cplusplus
}
#endif

#endif
