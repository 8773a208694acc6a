#include <stdlib.h>
#include <string.h>

#include "route/route_guard.h"
#include "route/route_internal.h"
#include "util/mem.h"

/*
 * The table of requests in progress: start, deadlines and end of a request,
 * and the statistics.
 */

struct route *
route_create(
    const struct route_options *options, const struct route_ops *ops, void *ctx)
{
	struct route *r = mem_alloc(1, sizeof(*r));

	r->options = *options;
	r->ops = ops;
	r->ctx = ctx;
	r->by_request = map_create();
	r->by_ask = map_create();
	r->by_call = map_create();
	r->by_proposal = map_create();
	r->stats = map_create();
	r->retry_budget = ROUTE_RETRY_BURST;
	r->end_us = UINT64_MAX;
	r->next_us = UINT64_MAX;
	return r;
}

static void
entry_free(struct route_entry *e)
{
	size_t i;

	doc_unref(e->doc);
	free(e->label);
	free(e->engine_key);
	free(e->run_id);
	free(e->method);
	free(e->path);
	free(e->idempotency_key);
	free(e->prompt);
	free(e->endpoint);
	free(e->address);
	free(e->finish_reason);
	free(e->content_type);
	free(e->answer_type);
	for (i = 0; i < e->navoid; i++)
		free(e->avoid[i]);
	buf_free(&e->body);
	buf_free(&e->answer);
	route_sse_free(&e->sse);
	free(e);
}

void
route_destroy(struct route *r)
{
	struct route_class_stats *stats;
	size_t i;

	if (r == NULL)
		return;
	for (i = 0; i < map_count(r->by_request); i++)
		entry_free(map_at(r->by_request, i));
	for (i = 0; i < map_count(r->stats); i++) {
		stats = map_at(r->stats, i);
		free(stats->team);
		free(stats->kind);
		free(stats);
	}
	map_destroy(r->by_request);
	map_destroy(r->by_ask);
	map_destroy(r->by_call);
	map_destroy(r->by_proposal);
	map_destroy(r->stats);
	free(r);
}

/* Returns the statistics of a team and kind, created at first use. */
static struct route_class_stats *
get_class_stats(struct route *r, const char *team, const char *kind)
{
	struct route_class_stats *stats;
	struct buf key = {0};

	buf_printf(&key, "%s/%s", team, kind);
	stats = map_get_str(r->stats, key.data);
	if (stats == NULL) {
		stats = mem_alloc(1, sizeof(*stats));
		stats->team = mem_string(team);
		stats->kind = mem_string(kind);
		map_set_str(r->stats, key.data, stats);
	}
	buf_free(&key);
	return stats;
}

void
route_schedule_wakeup(struct route *r, uint64_t when_us)
{
	if (when_us < r->next_us)
		r->next_us = when_us;
}

/*
 * Takes one retry from the budget; false: it is used up. Admitted requests
 * refill the budget, so that retries stay a fraction of the load when
 * endpoints fail.
 */
bool
route_take_retry(struct route *r)
{
	if (r->retry_budget < 1.0)
		return false;
	r->retry_budget -= 1.0;
	return true;
}

/* Records that a byte of an attempt may have reached an endpoint. */
void
route_mark_may_have_run(struct route_entry *e)
{
	if (route_guards.may_have_run)
		e->may_have_run = true;
}

static void
entry_set_names(
    struct route *r, struct route_entry *e, const struct route_request *request)
{
	struct buf name = {0};

	if (e->adapter != NULL) {
		buf_printf(&name, "%s@%s", e->adapter->name, request->version);
		e->label = mem_string(name.data);
		buf_clear(&name);
		buf_printf(&name, "%s/%s", e->doc->team, e->label);
		e->engine_key = mem_string(name.data);
		buf_clear(&name);
	}
	buf_printf(&name, "%u-%llx-%llx", r->options.instance,
	    (unsigned long long)r->options.incarnation,
	    (unsigned long long)e->request);
	e->run_id = mem_string(name.data);
	buf_free(&name);
}

static struct route_entry *
entry_create(
    struct route *r, uint64_t now_us, const struct route_request *request)
{
	struct route_entry *e = mem_alloc(1, sizeof(*e));

	e->request = request->request;
	e->doc = doc_ref(request->doc);
	e->kind = request->kind;
	e->adapter = request->adapter;
	e->service = request->service;
	e->call_rule = request->call;
	if (request->method != NULL)
		e->method = mem_string(request->method);
	if (request->path != NULL)
		e->path = mem_string(request->path);
	if (request->idempotency_key != NULL)
		e->idempotency_key = mem_string(request->idempotency_key);
	if (request->prompt != NULL)
		e->prompt = mem_string(request->prompt);
	buf_append(&e->body, request->body.data, request->body.len);
	e->content_type =
	    mem_string(request->content_type == NULL ? ROUTE_CONTENT_TYPE_JSON
						     : request->content_type);
	e->is_chat = request->is_chat;
	e->is_stream = request->is_stream;
	e->max_tokens = request->max_tokens;
	e->prompt_tokens = request->prompt_tokens;
	e->prefix = request->prefix;
	e->started_us = now_us;
	e->deadline_us = request->deadline_us;
	e->stats = get_class_stats(r, e->doc->team, e->kind->name);
	entry_set_names(r, e, request);
	return e;
}

void
route_begin_stop(struct route *r, uint64_t end_us)
{
	r->end_us = end_us;
	route_schedule_wakeup(r, end_us);
}

void
route_start_request(struct route *r, uint64_t now_us,
    const struct route_request *request, struct node_effects *fx)
{
	struct route_entry *e = entry_create(r, now_us, request);

	map_set_u64(r->by_request, e->request, e);
	e->stats->asked++;
	r->retry_budget += ROUTE_RETRY_RATIO;
	if (r->retry_budget > ROUTE_RETRY_BURST)
		r->retry_budget = ROUTE_RETRY_BURST;
	route_schedule_wakeup(r, e->deadline_us);
	if (e->call_rule != NULL && !e->call_rule->idempotent &&
	    e->idempotency_key != NULL && route_guards.claim_first)
		route_claim_propose_start(r, now_us, e, fx);
	else
		route_send_ask(r, now_us, e, fx);
}

void
route_remove_entry(struct route *r, struct route_entry *e)
{
	map_remove_u64(r->by_request, e->request);
	if (e->ask != 0)
		map_remove_u64(r->by_ask, e->ask);
	if (e->call != 0)
		map_remove_u64(r->by_call, e->call);
	if (e->proposal != 0)
		map_remove_u64(r->by_proposal, e->proposal);
	if (e->state == ROUTE_WAIT_EARLIER_CALL)
		r->waiting_earlier_count--;
	entry_free(e);
}

static void
count_failure(struct route_entry *e, enum route_outcome outcome)
{
	if (outcome == ROUTE_NOT_RUN)
		e->stats->refused++;
	else if (outcome == ROUTE_UNKNOWN)
		e->stats->unknown++;
	else
		e->stats->failed++;
}

/* Sends the error to the caller, unless it has received a final reply. */
void
route_fail(struct route *r, struct route_entry *e,
    const struct route_error *error, struct node_effects *fx)
{
	struct node_effect *effect;
	char *text;

	(void)r;
	if (e->replied)
		return;
	e->replied = true;
	count_failure(e, error->outcome);
	if (!e->head_sent) {
		route_reply_error(fx, e->request, error);
		return;
	}
	text = node_effects_printf(fx,
	    "data: {\"error\": {\"code\": \"%s\", \"message\": \"%s\", "
	    "\"outcome\": \"unknown\"}}\n\n",
	    error->code, error->message);
	effect = node_effects_add(fx, NODE_FX_REPLY_DATA);
	effect->u.reply_data.request = e->request;
	effect->u.reply_data.data.data = text;
	effect->u.reply_data.data.len = strlen(text);
	effect = node_effects_add(fx, NODE_FX_REPLY_END);
	effect->u.reply_end.request = e->request;
}

/*
 * Ends a request whose deadline has passed, or whose caller is gone, before
 * the answer. A claimed call that runs is continued for its answer.
 */
static void
abandon_request(struct route *r, uint64_t now_us, struct route_entry *e,
    struct node_effects *fx)
{
	if (e->state == ROUTE_CALLING && e->claimed) {
		e->deadline_us = now_us + ROUTE_DETACHED_TIMEOUT_US;
		route_schedule_wakeup(r, e->deadline_us);
		return; /* record the answer for resends */
	}
	if (e->state == ROUTE_CALLING)
		route_cancel_run(r, now_us, e, fx);
	if (e->ask != 0)
		route_finish_ask(
		    r, now_us, e, WIRE__DONE_OUTCOME__DONE_CANCELLED, fx);
	if (e->claimed && e->state == ROUTE_WAIT_GRANT)
		route_claim_propose_end(r, now_us, e, CLAIM_END_NOT_RUN, fx);
	route_remove_entry(r, e);
}

void
route_on_caller_gone(
    struct route *r, uint64_t now_us, uint64_t request, struct node_effects *fx)
{
	struct route_entry *e = map_get_u64(r->by_request, request);

	if (e == NULL || e->replied)
		return;
	e->replied = true;
	e->stats->caller_gone++;
	if (e->state != ROUTE_WAIT_RECORD)
		abandon_request(r, now_us, e, fx);
}

static void
on_deadline(struct route *r, uint64_t now_us, struct route_entry *e,
    struct node_effects *fx)
{
	struct route_error error = {503, "deadline",
	    "the request could not be started in time", ROUTE_NOT_RUN,
	    ROUTE_DEFAULT_RETRY_AFTER_MS};
	bool detached = e->replied;

	if (e->state == ROUTE_WAIT_RECORD) {
		if (!e->replied)
			route_reply_service(e, fx, false);
		route_remove_entry(r, e);
		return;
	}
	if (e->state == ROUTE_WAIT_CLAIM && !e->replied) {
		route_claim_reply_undecided(r, e, fx);
		return;
	}
	if (e->state == ROUTE_CALLING || e->may_have_run ||
	    e->state == ROUTE_WAIT_EARLIER_CALL) {
		error.status = 504;
		error.code = "timeout";
		error.message = "the endpoint did not answer in time";
		error.outcome = ROUTE_UNKNOWN;
	}
	route_fail(r, e, &error, fx);
	if (detached && e->claimed && e->state == ROUTE_CALLING) {
		route_cancel_run(r, now_us, e, fx);
		route_finish_ask(
		    r, now_us, e, WIRE__DONE_OUTCOME__DONE_FAILED, fx);
		route_claim_propose_end(r, now_us, e, CLAIM_END_UNKNOWN, fx);
		route_remove_entry(r, e);
		return;
	}
	abandon_request(r, now_us, e, fx);
}

/*
 * Whether the deadline has passed and applies. A model stream with a first
 * token is limited by silence and the end of a stop, not by its deadline.
 */
static bool
is_deadline_due(
    const struct route *r, const struct route_entry *e, uint64_t now_us)
{
	if (now_us >= r->end_us)
		return true;
	if (e->deadline_us > now_us)
		return false;
	return !(e->state == ROUTE_CALLING && e->engine_key != NULL &&
	    e->first_us != 0);
}

void
route_tick(struct route *r, uint64_t now_us, struct node_effects *fx)
{
	struct route_entry *e;
	size_t i = map_count(r->by_request);

	if (now_us < r->next_us)
		return;
	while (i-- > 0) {
		e = map_at(r->by_request, i);
		if (is_deadline_due(r, e, now_us))
			on_deadline(r, now_us, e, fx);
	}
	r->next_us = now_us < r->end_us ? r->end_us : UINT64_MAX;
	for (i = 0; i < map_count(r->by_request); i++) {
		e = map_at(r->by_request, i);
		if (e->deadline_us > now_us)
			route_schedule_wakeup(r, e->deadline_us);
	}
}

uint64_t
route_next_us(const struct route *r)
{
	return r->next_us;
}

size_t
route_request_count(const struct route *r)
{
	return map_count(r->by_request);
}

size_t
route_open_ask_count(const struct route *r)
{
	return map_count(r->by_ask);
}

void
route_open_ask_at(const struct route *r, size_t i, struct route_open_ask *out)
{
	const struct route_entry *e = map_at(r->by_ask, i);

	out->ask = e->ask;
	out->endpoint = e->endpoint;
	out->adapter = e->engine_key;
	out->team = e->doc->team;
	out->run_id = e->run_id;
	out->asked_us = e->asked_us;
}

size_t
route_stats_count(const struct route *r)
{
	return map_count(r->stats);
}

const struct route_class_stats *
route_stats_at(const struct route *r, size_t i)
{
	return map_at(r->stats, i);
}
