#include "mulberryctl/ctl_http.h"
#include "util/clock.h"

#include <ctype.h>
#include <string.h>

#define CALL_SEND_US	   2000000
#define CALL_SILENCE_US	   8000000
#define AUTHORIZATION	   512
#define STATUS_UNAVAILABLE 503

struct ctl_wait {
	struct ctl_answer *answer;
	uint64_t call;
	bool done;
};

void
ctl_answer_free(struct ctl_answer *a)
{
	buf_free(&a->body);
	json_decref(a->json);
	memset(a, 0, sizeof(*a));
}

static const char *
answer_error(const struct ctl_answer *a, const char *key)
{
	const char *s = json_string_value(
	    json_object_get(json_object_get(a->json, "error"), key));

	return s == NULL ? "" : s;
}

const char *
ctl_answer_code(const struct ctl_answer *a)
{
	return answer_error(a, "code");
}

const char *
ctl_answer_outcome(const struct ctl_answer *a)
{
	return answer_error(a, "outcome");
}

void
ctl_encode(struct buf *out, const char *s)
{
	for (; *s != '\0'; s++) {
		if (isalnum((unsigned char)*s) || strchr("-_.", *s) != NULL)
			buf_append(out, s, 1);
		else
			buf_printf(out, "%%%02X", (unsigned char)*s);
	}
}

static void
on_call(void *ctx, const struct node_call_event *ev)
{
	struct ctl *c = ctx;
	struct ctl_wait *w = c->wait;

	if (w == NULL || ev->call != w->call)
		return;
	if (ev->phase == NODE_CALL_HEAD) {
		w->answer->status = ev->status;
	} else if (ev->phase == NODE_CALL_DATA) {
		buf_append(&w->answer->body, ev->data.data, ev->data.len);
	} else {
		w->answer->result = ev->phase == NODE_CALL_END ? CTL_ANSWERED
		    : ev->phase == NODE_CALL_NOT_SENT	       ? CTL_NO_ANSWER
							       : CTL_LOST;
		w->done = true;
	}
}

static void
call_server(struct ctl *c, struct ctl_answer *out, const char *server,
    const char *method, const char *path, const struct buf *body)
{
	char authorization[AUTHORIZATION];
	struct ctl_wait wait = {out, ++c->last_call, false};
	struct node_call call;

	memset(&call, 0, sizeof(call));
	call.call = wait.call;
	call.address = server;
	call.method = method;
	call.path = path;
	if (c->token != NULL) {
		(void)snprintf(authorization, sizeof(authorization),
		    "Bearer %s", c->token);
		call.headers[call.nheaders++] =
		    (struct node_header){"authorization", authorization};
	}
	if (body != NULL) {
		call.headers[call.nheaders++] =
		    (struct node_header){"content-type", "application/json"};
		call.body = (struct node_bytes){body->data, body->len};
	}
	call.not_after_us = clock_now_us() + CALL_SEND_US;
	call.silence_us = CALL_SILENCE_US;
	call.fresh_connection = true;
	c->wait = &wait;
	http_client_start(c->client, &call);
	while (!wait.done)
		(void)uv_run(c->loop, UV_RUN_ONCE);
	c->wait = NULL;
	if (out->result == CTL_ANSWERED && out->body.len > 0)
		out->json = json_loadb(out->body.data, out->body.len, 0, NULL);
}

/* Whether the next server may have a better answer. */
static bool
should_try_next(const struct ctl_answer *a, bool repeatable)
{
	if (a->result == CTL_NO_ANSWER)
		return true;
	if (a->result == CTL_LOST)
		return repeatable;
	return a->status == STATUS_UNAVAILABLE &&
	    strcmp(ctl_answer_outcome(a), "unknown") != 0;
}

void
ctl_call(struct ctl *c, struct ctl_answer *out, const char *method,
    const char *path, const struct buf *body, bool repeatable)
{
	struct ctl_answer answer;
	bool lost = false;
	size_t i;

	memset(out, 0, sizeof(*out));
	if (c->client == NULL &&
	    http_client_create(&c->client, c->loop, on_call, c, NULL) != MP_OK)
		return;
	for (i = 0; i < c->nservers; i++) {
		memset(&answer, 0, sizeof(answer));
		call_server(c, &answer, c->servers[i], method, path, body);
		lost = lost || answer.result == CTL_LOST;
		if (answer.result >= out->result) {
			ctl_answer_free(out);
			*out = answer;
		} else {
			ctl_answer_free(&answer);
		}
		if (!should_try_next(out, repeatable))
			return;
	}
	if (lost && strcmp(method, "GET") != 0)
		out->result = CTL_LOST; /* a 503 elsewhere settles nothing */
}

int
ctl_refused(struct ctl *c, const struct ctl_answer *a)
{
	const json_t *problems, *item;
	size_t i;

	if (c->nservers == 0) {
		ctl_complain(c, "--server is needed; see --help");
		return CTL_EXIT_USAGE;
	}
	if (a->result == CTL_NO_ANSWER) {
		ctl_complain(c, "no server answered");
		return CTL_EXIT_NO_SERVER;
	}
	if (a->result == CTL_LOST) {
		ctl_complain(c, "the answer was lost; the outcome is unknown");
		return CTL_EXIT_UNKNOWN;
	}
	if (c->json && a->body.len > 0)
		(void)fprintf(c->out, "%s\n", a->body.data);
	ctl_complain(c, "refused with status %d: %s: %s", a->status,
	    ctl_answer_code(a), answer_error(a, "message"));
	problems =
	    json_object_get(json_object_get(a->json, "error"), "problems");
	json_array_foreach(problems, i, item)(void)
	    fprintf(c->err, "  %s: found %s, allowed: %s\n",
		json_string_value(json_object_get(item, "path")),
		json_string_value(json_object_get(item, "found")),
		json_string_value(json_object_get(item, "allowed")));
	return strcmp(ctl_answer_outcome(a), "unknown") == 0 ? CTL_EXIT_UNKNOWN
							     : CTL_EXIT_REFUSED;
}

bool
ctl_get(struct ctl *c, struct ctl_answer *out, const char *path, int *code)
{
	ctl_call(c, out, "GET", path, NULL, true);
	if (out->result == CTL_LOST)
		out->result = CTL_NO_ANSWER;
	if (out->result == CTL_ANSWERED && out->status == 200 &&
	    out->json != NULL) {
		*code = CTL_EXIT_DONE;
		return true;
	}
	*code = ctl_refused(c, out);
	return false;
}

/* ---- the loop --------------------------------------------------------------
 */

static void
on_pause(uv_timer_t *timer)
{
	*(bool *)timer->data = true;
}

void
ctl_pause(struct ctl *c, uint64_t ms)
{
	uv_timer_t timer;
	bool over = false, closed = false;

	(void)uv_timer_init(c->loop, &timer);
	timer.data = &over;
	(void)uv_timer_start(&timer, on_pause, ms, 0);
	while (!over)
		(void)uv_run(c->loop, UV_RUN_ONCE);
	timer.data = &closed;
	uv_close((uv_handle_t *)&timer, NULL);
	(void)uv_run(c->loop, UV_RUN_NOWAIT);
}

static void
on_closed(void *ctx)
{
	*(bool *)ctx = true;
}

void
ctl_http_close(struct ctl *c)
{
	bool closed = false;

	if (c->client == NULL)
		return;
	http_client_destroy(c->client, on_closed, &closed);
	c->client = NULL;
	while (!closed)
		(void)uv_run(c->loop, UV_RUN_ONCE);
}
