#ifndef MP_MULBERRYCTL_LOAD_INTERNAL_H
#define MP_MULBERRYCTL_LOAD_INTERNAL_H

#include "http/http.h"
#include "mulberryctl/load_run.h"
#include "route/route_sse.h"
#include "util/buf.h"
#include "util/map.h"

#define LOAD_ADDRESSES_MAX 16

struct load;

/* One request under way. */
struct load_call {
	struct load *load;
	const struct trace_request *request;
	struct load_class *class;
	struct load_call *waiting; /* next that waits for the same addresses */
	uint64_t id; /* of the HTTP call */
	uint64_t at_us, first_us, last_us;
	unsigned attempts;
	int status;
	struct buf body, text;
	struct route_sse events;
	char *model;
	char *code, *outcome; /* of an error the answer carried */
	bool counted, done;
};

/* The addresses for one team and adapter, while they may be used. */
struct load_addresses {
	struct load *load;
	char *path;
	char *list[LOAD_ADDRESSES_MAX];
	size_t count;
	uint64_t until_us;
	uint64_t lookup; /* HTTP call under way, 0: none */
	size_t server; /* asked first; each failure asks the next */
	unsigned failures;
	int status;
	struct buf body;
	struct load_call *waiting, **last;
};

struct load {
	const struct load_options *options;
	struct load_stats *stats;
	struct http_client *client;
	uv_timer_t due, progress;
	struct map *calls; /* by HTTP call */
	struct map *lookups; /* load_addresses by HTTP call */
	struct map *addresses; /* load_addresses by their path */
	uint64_t start_us, last_call;
	uint64_t nlookups, nlookup_failures, resent, followed;
	size_t next, active, server;
	bool closed;
};

uint64_t load_now(const struct load *l);
void load_progress(struct load *l, const char *end);

/* ---- load_address.c ---- */

/*
 * Have a call sent to an address by load_call_send(), now or when the
 * addresses are here; load_call_unreachable() when there are none.
 */
void load_address_request(struct load *l, struct load_call *call);

/* An address did not work: ask again. */
void load_address_expire(struct load *l, const struct load_call *call);
void load_address_event(
    struct load_addresses *a, const struct node_call_event *ev);
void load_address_free_all(struct load *l);

/* ---- load_call.c ---- */

struct load_call *load_call_create(
    struct load *l, const struct trace_request *r);
void load_call_send(struct load_call *call, const char *address);
void load_call_unreachable(struct load_call *call);
void load_call_event(struct load_call *call, const struct node_call_event *ev);

#endif
