#ifndef MP_PLACE_PLACE_H
#define MP_PLACE_PLACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "mulberrypath/gateway.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Where a request runs. The placer sees every request of the gateway, so its
 * account of what each endpoint has to do is exact where load reports are
 * late. It places by the estimated time to the first answer, holds requests
 * for an adapter that is on its way, orders adapters and weights to be loaded
 * and unloaded, and refuses at once what cannot be served in time. Pure: time
 * and news come in, decisions go out.
 *
 * The same module stands at every entry, fed with the placer's table of
 * endpoints but without leave to order: it places what cannot wait for a new
 * placer.
 */
struct place;

struct place_options {
	uint32_t retry_ratio_milli, retry_extra, retry_window_ms;
	uint32_t store_window_ms, store_over_milli;
	uint32_t max_adapter_loads; /* at once and at full speed, over all */
	uint32_t adapter_load_ms; /* of one, when not too many are under way */
	uint32_t heartbeat_ms; /* between announcements of an endpoint */
};

struct place *place_create(const struct place_options *options);
void place_destroy(struct place *p);

/* The configuration in force; it outlives its use here. */
void place_configure(struct place *p, const struct gw_config *config);

/* Requests for the adapter run on this version or a newer one from now on. */
void place_set_version(
    struct place *p, const char *model, const char *adapter, uint32_t version);

/* ---- endpoints ---------------------------------------------------------- */

enum place_announce_result {
	PLACE_ANNOUNCE_STALE, /* a newer announcement, or a successor, is known
			       */
	PLACE_ANNOUNCE_UNCHANGED, /* nothing but its time has changed */
	PLACE_ANNOUNCE_CHANGED
};

/*
 * An endpoint's announcement. Of announcements under one id the one with the
 * latest start of the process counts, then the highest sequence; of endpoints
 * at one address the one that started last.
 *
 * live: from the endpoint itself, not from the placer's table.
 */
enum place_announce_result place_announce(struct place *p, uint64_t now_us,
    const struct gw_announcement *a, bool live);

/*
 * An entry of the placer's table, which replaces whatever is known of that id.
 */
void place_apply_entry(
    struct place *p, uint64_t now_us, const struct gw_announcement *a);

/*
 * Between announcements of an endpoint: this is the placer, which hears them.
 * 0: an entry, which removes none for silence, and repeats by its own requests
 * alone.
 */
void place_set_heartbeat(struct place *p, uint32_t heartbeat_ms);
bool place_is_placer(const struct place *p);

/*
 * The process of an endpoint that started then leaves, and gets no new work
 * whatever is announced of it later, nor under another table.
 */
void place_set_leaving(
    struct place *p, uint64_t now_us, const char *id, uint64_t born_ms);
bool place_is_leaving(const struct place *p, const char *id, uint64_t born_ms);

/* The start of the process known under an id; false: none is known. */
bool place_get_born(const struct place *p, const char *id, uint64_t *born_ms);

/* Processes that leave, for saving: the i-th; false past the last. */
bool place_leaving_at(
    const struct place *p, size_t i, const char **id, uint64_t *born_ms);

/* An endpoint leaves for good; false: it was not known. */
bool place_endpoint_leave(struct place *p, uint64_t now_us, const char *id);

/*
 * The placer has removed an endpoint: it left (left_ms, when its process can
 * have started at the latest), or was silent (0) and may come back.
 */
void place_apply_removal(
    struct place *p, uint64_t now_us, const char *id, uint64_t left_ms);
uint64_t place_min_born_ms(const struct place *p, const char *id);

/* All endpoints of the table that is about to be replaced. */
void place_remove_all(struct place *p, uint64_t now_us);

size_t place_endpoint_count(const struct place *p);

/*
 * What is known of the i-th endpoint, as an announcement.
 *
 * memory: holds the list of what it has loaded.
 */
void place_endpoint_get(const struct place *p, size_t i,
    struct gw_announcement *out, struct node_effects *memory);

/* Take the next endpoint whose entry has changed or that is gone. */
bool place_pop_change(struct place *p, const char **id, bool *gone);
bool place_endpoint_index(const struct place *p, const char *id, size_t *index);

/* ---- shares of a large fleet -------------------------------------------- */

/*
 * Several instances may place the requests of one service, each to the engines
 * that it owns. It knows the others' engines, but uses and orders none of them.
 */
struct place_ownership {
	bool is_owned;
	/*
	 * An earlier owner's orders are over then; UINT64_MAX: not known yet.
	 * It counts for engines that were not this instance's before.
	 */
	uint64_t order_from_us;
};
typedef struct place_ownership (*place_ownership_fn)(
    void *ctx, const char *service, const char *endpoint);

/* NULL: all engines are this instance's, as before. */
void place_set_ownership_fn(
    struct place *p, place_ownership_fn owned, void *ctx);

/* What place_ownership_fn says has changed. */
void place_update_ownership(struct place *p, uint64_t now_us);

/* Instances that place beside each other, this one too; budgets are split. */
void place_set_owner_count(struct place *p, uint32_t parts);

/* The i-th endpoint, if it is an engine. */
bool place_engine_at(
    const struct place *p, size_t i, const char **id, const char **service);

/* Time until a prompt begins at an engine here, in the mean. */
uint32_t place_load_ms(const struct place *p);

/* Call for each entry that has a request waiting here, once or more often. */
void place_each_waiting_entry(
    const struct place *p, void (*call)(void *ctx, uint64_t entry), void *ctx);

/* ---- requests ----------------------------------------------------------- */

#define PLACE_AVOID_MAX 8

/* Names a request of an entry; unique while it is known. */
struct place_id {
	uint64_t entry; /* the entry's process */
	uint64_t ask;
};

struct place_request {
	struct place_id id;
	enum gw_kind kind;
	const char *service, *model, *adapter; /* NULL where there is none */
	uint32_t prompt_tokens, max_tokens;
	const struct gw_prompt_part *parts;
	size_t nparts;
	uint64_t deadline_us; /* given up then */
	uint64_t target_us; /* its latency objective */
	uint32_t priority; /* 0 first */
	uint32_t attempt; /* endpoints reached before */
	const char *data_centre; /* of the entry */
	const char *avoid[PLACE_AVOID_MAX];
	size_t navoid;
};

void place_ask(
    struct place *p, uint64_t now_us, const struct place_request *request);

enum place_outcome {
	PLACE_FIRST_BYTE, /* the answer has begun; more follows */
	PLACE_SERVED,
	PLACE_ENDPOINT_FAILED, /* the endpoint failed it */
	PLACE_NOT_SENT, /* no byte left */
	PLACE_ENDPOINT_FULL, /* the endpoint refused for load */
	PLACE_STATE_MISMATCH, /* it is another process, or lacks the adapter */
	PLACE_ABANDONED /* the caller left, or it was given up */
};

struct place_result {
	enum place_outcome outcome;
	uint32_t first_ms; /* from sending to the first byte, 0 unknown */
	bool load_told;
	uint32_t running, waiting, slots;
};

/* What became of a request; unknown ones are ignored. */
void place_done(struct place *p, uint64_t now_us, struct place_id id,
    const struct place_result *end);

/* An entry's process is gone, with all its requests. */
void place_drop_entry(struct place *p, uint64_t now_us, uint64_t entry);

/* ---- orders ------------------------------------------------------------- */

/* An order's outcome; broken: no answer came, it may yet be carried out. */
void place_on_order_result(struct place *p, uint64_t now_us,
    const char *endpoint, enum gw_order_result result, bool broken);

/* The report that was asked for; NULL: none came. */
void place_on_report(struct place *p, uint64_t now_us, const char *endpoint,
    const struct gw_report *report);

/* ---- decisions ---------------------------------------------------------- */

enum place_decision_type {
	PLACE_GRANT,
	PLACE_WAIT, /* the decision on a request follows */
	PLACE_REFUSE,
	PLACE_ORDER, /* give an endpoint an order */
	PLACE_REPORT /* ask an endpoint for a report */
};

/* What decided about a request: of the endpoint that seemed best. */
struct place_basis {
	const char *endpoint; /* NULL: none was considered */
	uint32_t estimate_ms; /* to the first byte */
	uint32_t backlog_ms; /* prompts before it, not yet read */
	uint32_t running; /* requests there */
	uint32_t
	    announcement_age_ms; /* age of the endpoint's newest announcement */
	bool needs_load; /* its adapter is neither there nor on its way */
	uint32_t pending_loads; /* under way or waiting, over all engines */
	uint32_t waited_ms; /* since it was asked for */
	uint32_t load_wait_ms; /* of that, for an adapter at an engine */
};

/* An entry's number in log lines: readers of JSON take 63 bits. */
#define PLACE_LOG_ENTRY_ID(entry) ((unsigned long long)((entry)&INT64_MAX))

struct place_decision {
	enum place_decision_type type;
	struct place_id id; /* GRANT, WAIT, REFUSE */
	const char *endpoint, *address; /* GRANT, ORDER, REPORT */
	const char *service; /* ORDER: of the endpoint */
	uint32_t adapter_version, urgency; /* GRANT */
	const char *reason; /* REFUSE */
	uint32_t retry_after_ms; /* REFUSE */
	bool elsewhere; /* REFUSE: another owner's engines may take it */
	struct gw_order order; /* ORDER, without holder and fence */
	struct place_basis basis; /* GRANT, REFUSE */
};

/*
 * Decide all that can be decided now; may_order: this is the placer, and no
 * other one can still act. Texts live until the next call that changes state.
 */
void place_run(struct place *p, uint64_t now_us, bool may_order);
bool place_pop_decision(struct place *p, struct place_decision *out);

/* When place_run() is wanted next without news. */
uint64_t place_next_run_us(const struct place *p);

/* Forget requests and doubts about orders: another placer acted meanwhile. */
void place_reset(struct place *p, uint64_t now_us);

struct place_totals {
	uint32_t endpoints, asked, granted, refused, waiting, running;
	uint32_t loads, cold_loads, unloads, weight_loads, reports, repeats;
	uint32_t repeats_denied, ejections;
	uint32_t examined_adapters; /* adapters that rounds looked at */
	uint32_t estimates; /* of a request at an engine */
};
void place_get_totals(const struct place *p, struct place_totals *out);

/* What waits at the moment of the last call, and for what. */
struct place_state {
	uint32_t engines, running;
	uint32_t unread_ms, unread_max_ms; /* prompts: mean, most of one */
	uint32_t waiting, oldest_ms; /* requests without a place */
	uint32_t wait_load; /* of them, for an adapter */
	uint32_t wait_engine; /* for an engine that takes them */
	uint32_t wait_call; /* plain calls */
	uint32_t loading, loading_max; /* from the store: under way, at most */
	uint32_t wanted; /* adapters that no order was given for */
	uint32_t held_call; /* of them, as a call to the engine is under way */
	uint32_t held_quiet; /* as the engine is left alone for a while */
	uint32_t held_report; /* as its report is wanted first */
	uint32_t held_store; /* as the store bears no more */
	uint32_t held_places; /* as the engine has no place free yet */
};
void place_get_state(const struct place *p, struct place_state *out);

#ifdef __cplusplus
}
#endif

#endif
