#ifndef MP_MULBERRYCTL_TRACE_MAKE_H
#define MP_MULBERRYCTL_TRACE_MAKE_H

#include "doc/doc.h"
#include "mulberryctl/trace.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Making a trace from teams' documents, a seed and a shape. */

#define TRACE_TEAMS_MAX 64

struct trace_team {
	const struct doc *doc;
	double share; /* of all requests, relative to the others */
	double flood; /* its rate is multiplied by this, 1: never */
	double flood_from_s, flood_to_s;
};

struct trace_shape {
	uint64_t seed;
	double seconds;
	double rate; /* requests a second, all teams, without floods */
	size_t adapters; /* of all teams; 0: all there are */
	double zipf; /* exponent of the popularity */
	double flip_s; /* popularity is reversed from then on; < 0: never */
	double burst; /* factor of the rate within a burst, 1: none */
	double chats, bookings, lookups, streams; /* shares, 0 to 1 */
	double tokens; /* mean length of an answer */
	double prompt_bytes; /* mean length of a prompt */
	struct trace_team teams[TRACE_TEAMS_MAX];
	size_t nteams;
};

/*
 * Make a trace. Every team draws from its own random numbers, so that a
 * flood of one team leaves the requests of the others as they are.
 */
void trace_make(struct trace *out, const struct trace_shape *shape);

#ifdef __cplusplus
}
#endif

#endif
