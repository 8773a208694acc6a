#ifndef MP_MULBERRYCTL_LOAD_STATS_H
#define MP_MULBERRYCTL_LOAD_STATS_H

#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>

#include "util/hist.h"

#ifdef __cplusplus
extern "C" {
#endif

/* What a load run saw, by team and kind. Times are microseconds. */

struct load_stats;

enum load_outcome {
	LOAD_DELIVERED,
	LOAD_REFUSED, /* surely not run */
	LOAD_FAILED,
	LOAD_UNKNOWN, /* may have run */
	LOAD_BAD_CUT, /* ended as whole, but is not */
	LOAD_BAD_WRONG /* another text or adapter */
};

/* One team's requests of one kind. */
struct load_class {
	char *team, *kind;
	double weight; /* of one delivered request */
	uint64_t offered, delivered, refused, failed, unknown, cut, wrong;
	json_t *codes; /* number of refusals and failures by code */
	struct hist first, between, whole;
};

/* How one request ended. */
struct load_end {
	enum load_outcome outcome;
	const char *code; /* of a refusal or failure */
	uint64_t at_us, end_us; /* since the start of the run */
	uint64_t first_us; /* time to the first token; 0: none came */
};

struct load_stats *load_stats_create(void);
void load_stats_destroy(struct load_stats *s);

/* The class of a team and kind; made with its weight when new. */
struct load_class *load_stats_class(
    struct load_stats *s, const char *team, const char *kind, double weight);

/* The team's share of service, for Jain's index; 1 unless set. */
void load_stats_set_team(struct load_stats *s, const char *team, double weight);

/*
 * Note an arrival or an end. counted: it lies in the window that is reported;
 * the timeline has all.
 */
void load_stats_arrive(
    struct load_stats *s, struct load_class *c, uint64_t at_us, bool counted);
void load_stats_end(struct load_stats *s, struct load_class *c,
    const struct load_end *end, bool counted);

/* Jain's index of n values, 1 when all are 0. */
double load_jain(const double *values, size_t n);

/* The whole report; to be released. */
json_t *load_stats_report(const struct load_stats *s);

/* The same for a person. */
void load_stats_print(FILE *out, const json_t *report);

/* Requests delivered, refused and otherwise ended so far. */
void load_stats_progress(const struct load_stats *s, uint64_t *delivered,
    uint64_t *refused, uint64_t *other);

#ifdef __cplusplus
}
#endif

#endif
