#include "mulberryctl/trace_make.h"

#include <jansson.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "util/buf.h"
#include "util/mem.h"
#include "util/rng.h"

#define SESSIONS_OPEN  24 /* chats of one team that go on side by side */
#define SESSION_TURNS  6
#define SYSTEM_BYTES   480 /* the shared prefix of an adapter's chats */
#define BURST_EVERY_S  10.0
#define BURST_LENGTH_S 1.0
#define TOKENS_SPREAD  0.5
#define PATH_WORD_MAX  1000

struct session {
	size_t adapter;
	unsigned turns;
	json_t *messages; /* NULL: no chat here */
};

/* One team while its requests are drawn. */
struct maker {
	const struct trace_shape *shape;
	const struct trace_team *team;
	struct trace *out;
	struct rng rng;
	double *popularity; /* cumulative, by rank */
	size_t *by_rank; /* adapter of a rank */
	size_t nadapters;
	double base_rate;
	double burst_from_s;
	struct session sessions[SESSIONS_OPEN];
	const struct doc_service *service; /* of book and look */
	const struct doc_call *book, *look;
	unsigned serial;
};

/* ---- what to ask for ------------------------------------------------------
 */

static void
maker_rank(struct maker *m)
{
	size_t i, k, swap;
	double sum = 0;

	m->popularity = mem_alloc(m->nadapters, sizeof(*m->popularity));
	m->by_rank = mem_alloc(m->nadapters, sizeof(*m->by_rank));
	for (i = 0; i < m->nadapters; i++) {
		sum += pow((double)(i + 1), -m->shape->zipf);
		m->popularity[i] = sum;
		m->by_rank[i] = i;
	}
	for (i = m->nadapters; i > 1; i--) {
		k = rng_below(&m->rng, (uint32_t)i);
		swap = m->by_rank[i - 1];
		m->by_rank[i - 1] = m->by_rank[k];
		m->by_rank[k] = swap;
	}
}

static size_t
maker_draw_adapter(struct maker *m, double at_s)
{
	double u = rng_unit(&m->rng) * m->popularity[m->nadapters - 1];
	size_t low = 0, high = m->nadapters - 1, middle;

	while (low < high) {
		middle = (low + high) / 2;
		if (m->popularity[middle] < u)
			low = middle + 1;
		else
			high = middle;
	}
	if (m->shape->flip_s >= 0 && at_s >= m->shape->flip_s)
		low = m->nadapters - 1 - low;
	return m->by_rank[low];
}

/* Words drawn until about so many bytes are there. */
static void
maker_words(struct maker *m, struct buf *out, double bytes)
{
	static const char *const words[] = {"order", "clinic", "hearing",
	    "battery", "left", "right", "size", "thirteen", "sent", "letter",
	    "stone", "engrave", "date", "name", "workshop", "delivery",
	    "customer", "asks", "please", "confirm"};
	size_t n = sizeof(words) / sizeof(words[0]), start = out->len;

	while ((double)(out->len - start) < bytes)
		buf_printf(out, "%s%s", out->len == start ? "" : " ",
		    words[rng_below(&m->rng, (uint32_t)n)]);
	buf_printf(out, " %u", rng_below(&m->rng, UINT32_MAX));
}

static double
maker_spread(struct maker *m, double mean)
{
	return mean *
	    (1 - TOKENS_SPREAD + 2 * TOKENS_SPREAD * rng_unit(&m->rng));
}

static void
session_open(struct maker *m, struct session *s, double at_s)
{
	const struct doc_adapter *a;
	struct buf text = {0};

	json_decref(s->messages);
	s->adapter = maker_draw_adapter(m, at_s);
	s->turns = 0;
	s->messages = json_array();
	a = &m->team->doc->adapters[s->adapter];
	buf_printf(&text, "You answer for %s.", a->name);
	while (text.len < SYSTEM_BYTES)
		buf_printf(&text, " Keep to the rules of %s.", a->name);
	(void)json_array_append_new(s->messages,
	    json_pack("{s:s, s:s}", "role", "system", "content", text.data));
	buf_free(&text);
}

static struct session *
session_turn(struct maker *m, double at_s)
{
	struct session *s = &m->sessions[rng_below(&m->rng, SESSIONS_OPEN)];
	struct buf text = {0};

	if (s->messages == NULL || s->turns == SESSION_TURNS)
		session_open(m, s, at_s);
	maker_words(m, &text, maker_spread(m, m->shape->prompt_bytes) / 2);
	if (s->turns++ > 0)
		(void)json_array_append_new(s->messages,
		    json_pack("{s:s, s:s}", "role", "assistant", "content",
			"It is noted."));
	(void)json_array_append_new(s->messages,
	    json_pack("{s:s, s:s}", "role", "user", "content", text.data));
	buf_free(&text);
	return s;
}

static void
make_model(struct maker *m, struct trace_request *r, double at_s)
{
	const struct doc_adapter *a;
	const struct doc_kind *kind;
	struct session *s;
	struct buf text = {0};
	double tokens;

	if (rng_unit(&m->rng) < m->shape->chats) {
		s = session_turn(m, at_s);
		a = &m->team->doc->adapters[s->adapter];
		r->session = json_dumps(s->messages, JSON_COMPACT);
	} else {
		a = &m->team->doc->adapters[maker_draw_adapter(m, at_s)];
		maker_words(m, &text, maker_spread(m, m->shape->prompt_bytes));
		r->prompt = text.data;
	}
	kind = doc_find_kind(m->team->doc, a->kind);
	tokens = maker_spread(m, m->shape->tokens);
	if (kind != NULL && tokens > kind->max_tokens)
		tokens = kind->max_tokens;
	r->kind = mem_string(a->kind);
	r->adapter = mem_string(a->name);
	r->version = mem_string(a->version);
	r->max_tokens = tokens < 1 ? 1 : (uint32_t)tokens;
	r->stream = rng_unit(&m->rng) < m->shape->streams;
}

static void
make_call(struct maker *m, struct trace_request *r, const struct doc_call *call)
{
	struct buf path = {0}, key = {0};
	const char *star = strchr(call->path, '*');
	size_t len =
	    star == NULL ? strlen(call->path) : (size_t)(star - call->path);

	buf_printf(&path, "%s%.*s", m->service->name, (int)len, call->path);
	if (star != NULL)
		buf_printf(&path, "%u", rng_below(&m->rng, PATH_WORD_MAX));
	r->kind = mem_string(call->kind);
	r->method = mem_string(call->method);
	r->path = path.data;
	if (!call->idempotent) {
		buf_printf(&key, "%s-%u", m->team->doc->team, m->serial);
		r->key = key.data;
	}
}

/* ---- when ------------------------------------------------------------------
 */

static double
maker_rate(const struct maker *m, double at_s)
{
	const struct trace_team *t = m->team;
	double rate = m->base_rate;

	if (at_s >= t->flood_from_s && at_s < t->flood_to_s)
		rate *= t->flood;
	if (at_s >= m->burst_from_s && at_s < m->burst_from_s + BURST_LENGTH_S)
		rate *= m->shape->burst;
	return rate;
}

static void
maker_emit(struct maker *m, double at_s)
{
	struct trace_request *r = trace_add(m->out);
	double what = rng_unit(&m->rng);

	r->at_ms = (uint32_t)(at_s * 1000);
	r->team = mem_string(m->team->doc->team);
	m->serial++;
	if (what < m->shape->bookings && m->book != NULL)
		make_call(m, r, m->book);
	else if (what >= m->shape->bookings &&
	    what < m->shape->bookings + m->shape->lookups && m->look != NULL)
		make_call(m, r, m->look);
	else
		make_model(m, r, at_s);
}

/* Poisson arrivals of a changing rate: draw at the highest, keep a part. */
static void
maker_run(struct maker *m)
{
	double flood = m->team->flood > 1 ? m->team->flood : 1;
	double burst = m->shape->burst > 1 ? m->shape->burst : 1;
	double highest = m->base_rate * flood * burst, at_s = 0;

	m->burst_from_s = -BURST_EVERY_S;
	for (;;) {
		at_s += -log(1 - rng_unit(&m->rng)) / highest;
		if (at_s >= m->shape->seconds)
			return;
		if (at_s > m->burst_from_s + BURST_EVERY_S)
			m->burst_from_s = at_s +
			    rng_unit(&m->rng) *
				(BURST_EVERY_S - BURST_LENGTH_S);
		if (rng_unit(&m->rng) * highest < maker_rate(m, at_s))
			maker_emit(m, at_s);
	}
}

static void
maker_find_calls(struct maker *m)
{
	const struct doc *d = m->team->doc;
	const struct doc_call *call;
	size_t i;

	if (d->nservices == 0)
		return;
	m->service = &d->services[0];
	for (i = 0; i < m->service->ncalls; i++) {
		call = &m->service->calls[i];
		if (call->idempotent && m->look == NULL)
			m->look = call;
		if (!call->idempotent && m->book == NULL)
			m->book = call;
	}
}

static void
make_team(struct trace *out, const struct trace_shape *shape, size_t i)
{
	const struct trace_team *t = &shape->teams[i];
	struct maker m;
	double sum = 0;
	size_t k;

	memset(&m, 0, sizeof(m));
	for (k = 0; k < shape->nteams; k++)
		sum += shape->teams[k].share;
	m.shape = shape;
	m.team = t;
	m.out = out;
	m.base_rate = shape->rate * t->share / sum;
	m.nadapters = t->doc->nadapters;
	if (shape->adapters / shape->nteams > 0 &&
	    m.nadapters > shape->adapters / shape->nteams)
		m.nadapters = shape->adapters / shape->nteams;
	if (m.nadapters == 0 || m.base_rate <= 0)
		return;
	rng_seed(
	    &m.rng, XXH64(t->doc->team, strlen(t->doc->team), shape->seed));
	maker_rank(&m);
	maker_find_calls(&m);
	maker_run(&m);
	for (k = 0; k < SESSIONS_OPEN; k++)
		json_decref(m.sessions[k].messages);
	free(m.popularity);
	free(m.by_rank);
}

void
trace_make(struct trace *out, const struct trace_shape *shape)
{
	size_t i;

	for (i = 0; i < shape->nteams; i++)
		make_team(out, shape, i);
	trace_sort(out);
}
