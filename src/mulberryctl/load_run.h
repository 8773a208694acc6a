#ifndef MP_MULBERRYCTL_LOAD_RUN_H
#define MP_MULBERRYCTL_LOAD_RUN_H

#include <uv.h>

#include "doc/doc.h"
#include "mulberryctl/load_stats.h"
#include "mulberryctl/trace.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Sending a trace to a running system, each request at its time. */

#define LOAD_TEAMS_MAX 64

struct load_team_access {
	const char *team, *token;
	const struct doc *doc; /* for weights, or NULL */
};

struct load_options {
	uv_loop_t *loop;
	const struct trace *trace;
	char *const *servers; /* where to ask for addresses */
	size_t nservers;
	struct load_team_access teams[LOAD_TEAMS_MAX];
	size_t nteams;
	const char *run; /* goes before all idempotency keys */
	double window_from_s, window_to_s; /* arrivals that are reported */
	bool check; /* compare the texts with the stand-ins' */
	bool direct; /* servers are engines: no addresses, engine's keys */
	FILE *progress; /* NULL: none */
	FILE *samples; /* a line each: microseconds to first token and end */
};

/*
 * Run until the last request has ended. Returns the report, to be released,
 * or NULL when not one server told an address.
 */
json_t *load_run(const struct load_options *options);

#ifdef __cplusplus
}
#endif

#endif
