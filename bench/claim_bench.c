#include "claim_bench.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "doc/doc.h"
#include "mulberrypath/node.h"
#include "mulberrypath/settings.h"
#include "store/store.h"
#include "util/hist.h"
#include "util/mem.h"

#define TICK_MS	      10
#define ANNOUNCE_US   1000000
#define SECOND_US     1000000.0
#define BEGIN_US      20000000 /* to be ready within */
#define WORK_MOST     (4 * CLAIM_BENCH_MOST)
#define OPERATOR_WORK UINT64_MAX /* request of no claim */

/* What the service or the reducer has to be told next. */
struct work {
	enum {
		WORK_CALL, /* id: the call to answer */
		WORK_REPLY /* id: the request answered */
	} kind;
	uint64_t id;
	int status;
};

struct claims {
	uv_loop_t loop;
	uv_timer_t timer;
	struct store *store;
	struct node *node;
	struct node_effects *fx;
	struct work work[WORK_MOST];
	size_t nwork;
	uint64_t announced_us, end_us;
	uint64_t started[CLAIM_BENCH_MOST]; /* by request */
	uint64_t serial;
	uint64_t answered, failed, open;
	int last_status; /* of the operator's request */
	struct hist latency;
};

static uint64_t
now_us(void)
{
	return uv_hrtime() / 1000;
}

static void
claims_note(struct claims *c, int kind, uint64_t id, int status)
{
	if (c->nwork == WORK_MOST) {
		fprintf(stderr, "more work at once than expected\n");
		exit(1);
	}
	c->work[c->nwork].kind = kind;
	c->work[c->nwork].id = id;
	c->work[c->nwork++].status = status;
}

static void
claims_step(struct claims *c, const struct node_event *ev)
{
	const struct node_effect *e;
	size_t i;

	node_step(c->node, now_us(), ev, c->fx);
	for (i = 0; i < node_effects_count(c->fx); i++) {
		e = node_effects_at(c->fx, i);
		if (e->type == NODE_FX_SAVE)
			store_save(c->store, &e->u.save);
		else if (e->type == NODE_FX_CALL)
			claims_note(c, WORK_CALL, e->u.call.call, 0);
		else if (e->type == NODE_FX_REPLY)
			claims_note(c, WORK_REPLY, e->u.reply.request,
			    e->u.reply.status);
	}
	node_effects_clear(c->fx);
}

static void
claims_post(struct claims *c, uint64_t request, const char *method,
    const char *path, const char *authorization, const char *key,
    const char *body)
{
	struct node_event ev = {.type = NODE_EV_REQUEST};

	ev.u.request.request = request;
	ev.u.request.method = method;
	ev.u.request.path = path;
	ev.u.request.authorization = authorization;
	ev.u.request.idempotency_key = key;
	ev.u.request.body.data = body;
	ev.u.request.body.len = strlen(body);
	claims_step(c, &ev);
}

static void
claims_book(struct claims *c, uint64_t request)
{
	char key[32];

	(void)snprintf(
	    key, sizeof(key), "k%llu", (unsigned long long)++c->serial);
	c->started[request] = now_us();
	c->open++;
	claims_post(c, request, "POST", "/v1/services/orders/book",
	    "Bearer caller", key, "{\"order\": 1}");
}

static void
claims_answer(struct claims *c, uint64_t call)
{
	struct node_event ev = {.type = NODE_EV_CALL};

	ev.u.call.call = call;
	ev.u.call.phase = NODE_CALL_HEAD;
	ev.u.call.status = 200;
	claims_step(c, &ev);
	ev.u.call.phase = NODE_CALL_DATA;
	ev.u.call.data.data = "{\"booked\": true}";
	ev.u.call.data.len = strlen(ev.u.call.data.data);
	claims_step(c, &ev);
	ev.u.call.phase = NODE_CALL_END;
	claims_step(c, &ev);
}

/* A request was answered: book the next in its place while time is left. */
static void
claims_replied(struct claims *c, const struct work *w)
{
	if (w->id == OPERATOR_WORK) {
		c->last_status = w->status;
		return;
	}
	c->open--;
	c->failed += w->status != 200;
	c->answered += w->status == 200;
	hist_add(&c->latency, now_us() - c->started[w->id]);
	if (now_us() < c->end_us)
		claims_book(c, w->id);
}

static void
claims_pump(struct claims *c)
{
	struct work w;

	while (c->nwork > 0) {
		w = c->work[0];
		memmove(c->work, c->work + 1, --c->nwork * sizeof(w));
		if (w.kind == WORK_CALL)
			claims_answer(c, w.id);
		else
			claims_replied(c, &w);
	}
}

static void
claims_saved(void *ctx, uint64_t ticket, bool ok, const char *reason)
{
	struct node_event ev = {.type = NODE_EV_SAVED};
	struct claims *c = ctx;

	ev.u.saved.ticket = ticket;
	ev.u.saved.ok = ok;
	ev.u.saved.reason = reason;
	claims_step(c, &ev);
	claims_pump(c);
}

static void
claims_tick(uv_timer_t *timer)
{
	struct node_event ev = {.type = NODE_EV_TICK};
	struct claims *c = timer->data;

	claims_step(c, &ev);
	if (now_us() >= c->announced_us + ANNOUNCE_US) {
		c->announced_us = now_us();
		claims_post(c, OPERATOR_WORK, "POST", "/v1/endpoints/announce",
		    NULL, NULL,
		    "{\"id\": \"s1\", \"incarnation\": 1, \"address\": "
		    "\"10.0.0.2:80\", \"region\": \"r\", \"dataCentre\": "
		    "\"d\", \"type\": \"service\", \"service\": \"orders\", "
		    "\"seats\": 1000, \"load\": {\"running\": 0, \"queued\": "
		    "0, \"asOfMs\": 0}}");
	}
	claims_pump(c);
}

static void
claims_open(struct claims *c, const char *folder)
{
	static char any[] = "*", *teams[] = {any}, hash[65], op[] = "op";
	static struct settings_peer peer = {
	    .id = 1, .bus = "10.0.0.1:90", .voter = true};
	static struct settings_operator operators[] = {{op, hash, teams, 1}};
	static struct settings s;
	struct node_boot boot = {0};
	struct mp_error err;

	doc_hash_token(hash, "op");
	s.cluster = s.name = s.data_centre = s.region = "r";
	s.id = 1;
	s.http_advertise = "10.0.0.1:80";
	s.bus_advertise = "10.0.0.1:90";
	s.peers = &peer;
	s.npeers = s.noperators = 1;
	s.operators = operators;
	s.policy = "fair";
	s.store_loads_per_second_milli = s.store_in_flight = 1000;
	s.load_ms = 250;
	s.address_lifetime_ms = s.request_timeout_ms = 10000;
	uv_loop_init(&c->loop);
	uv_timer_init(&c->loop, &c->timer);
	c->timer.data = c;
	c->fx = node_effects_create();
	boot.settings = &s;
	boot.incarnation = boot.seed = 1;
	boot.now_us = now_us();
	if (store_open(&c->store, &c->loop, folder, claims_saved, c, &boot.disk,
		&err) != MP_OK ||
	    node_create(&c->node, &boot, &err) != MP_OK) {
		fprintf(stderr, "%s\n", err.message);
		exit(1);
	}
	uv_timer_start(&c->timer, claims_tick, 0, TICK_MS);
}

/* The team's document is in, and a first claim went through. */
static bool
claims_begin(struct claims *c)
{
	uint64_t end = now_us() + BEGIN_US, again = 0;
	char text[512], hash[65];

	doc_hash_token(hash, "caller");
	(void)snprintf(text, sizeof(text),
	    "{\"team\": \"t1\", \"tokens\": [\"%s\"], \"weight\": 1, "
	    "\"kinds\": {\"k\": {\"weight\": 1, \"priority\": 1, "
	    "\"deadlineMs\": 8000, \"maxTokens\": 400}}, \"adapters\": {}, "
	    "\"services\": {\"orders\": {\"timeoutMs\": 2000, \"calls\": "
	    "{\"POST /book\": {\"idempotent\": false, \"kind\": \"k\"}}}}}",
	    hash);
	while (now_us() < end && c->answered == 0) {
		(void)uv_run(&c->loop, UV_RUN_ONCE);
		if (now_us() < again || c->open > 0)
			continue;
		again = now_us() + ANNOUNCE_US;
		claims_post(c, OPERATOR_WORK, "PUT",
		    "/v1/documents/t1?revision=0&change=c1", "Bearer op", NULL,
		    text);
		claims_book(c, 0);
		claims_pump(c);
	}
	return c->answered > 0;
}

static void
claims_closed(void *ctx)
{
	(void)ctx;
}

static void
claims_close(struct claims *c)
{
	uv_close((uv_handle_t *)&c->timer, NULL);
	store_close(c->store, claims_closed, c);
	uv_run(&c->loop, UV_RUN_DEFAULT);
	uv_loop_close(&c->loop);
	node_destroy(c->node);
	node_effects_destroy(c->fx);
}

void
bench_claims(const char *folder, size_t at_once, double seconds)
{
	struct claims *c = mem_alloc(1, sizeof(*c));
	struct store_counters before, after;
	uint64_t start;
	double took;
	size_t i;

	claims_open(c, folder);
	if (!claims_begin(c)) {
		fprintf(stderr, "no claim went through\n");
		exit(1);
	}
	memset(&c->latency, 0, sizeof(c->latency));
	c->answered = c->failed = 0;
	store_get_counters(c->store, &before);
	start = now_us();
	c->end_us = start + (uint64_t)(seconds * SECOND_US);
	for (i = 0; i < at_once; i++)
		claims_book(c, i);
	claims_pump(c);
	while (c->open > 0)
		(void)uv_run(&c->loop, UV_RUN_ONCE);
	took = (double)(now_us() - start) / SECOND_US;
	store_get_counters(c->store, &after);
	printf("%8zu %12.0f %14.2f %12llu %12llu %8llu\n", at_once,
	    (double)c->answered / took,
	    (double)(after.records - before.records) /
		(double)(after.syncs - before.syncs),
	    (unsigned long long)hist_quantile(&c->latency, 0.5),
	    (unsigned long long)hist_quantile(&c->latency, 0.99),
	    (unsigned long long)c->failed);
	claims_close(c);
	free(c);
}
