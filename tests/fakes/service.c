/*
 * The plain service: answers every call after --service-ms with JSON that names
 * the service, the path, the idempotency key and how many calls carried this
 * key. More than --seats concurrent calls are refused with 503 "busy".
 */

#include <stdlib.h>
#include <string.h>

#include "fakes/endpoint.h"
#include "util/mem.h"

/* A call in progress; freed when its timer is closed. */
struct service_call {
	uv_timer_t timer;
	struct endpoint *endpoint;
	uint64_t request;
	char *path;
	char *idempotency_key; /* NULL: none */
	char *content_type; /* of the request, repeated in the response */
	unsigned ncalls; /* calls with this key, including this one */
};

static void
on_service_closed(uv_handle_t *handle)
{
	struct service_call *call = handle->data;

	free(call->path);
	free(call->idempotency_key);
	free(call->content_type);
	free(call);
}

static void
on_service_timer(uv_timer_t *timer)
{
	struct service_call *call = timer->data;
	struct endpoint *e = call->endpoint;

	e->nrunning--;
	if (e->faults.break_after > 0)
		http_server_end(e->server, call->request, true);
	else if (!control_is_silent(e, call->request))
		fake_reply_typed(e->server, call->request, 200,
		    call->content_type,
		    json_pack("{s:s, s:s, s:i, s:s?}", "service", e->service,
			"path", call->path, "ran", (int)call->ncalls, "key",
			call->idempotency_key));
	uv_close((uv_handle_t *)timer, on_service_closed);
}

void
service_call(struct endpoint *e, const struct node_request *r)
{
	const char *id = http_server_get_header(
	    e->server, r->request, "mulberrypath-request");
	struct service_call *call;

	if ((double)e->nrunning >= e->seats) {
		e->counts.refused++;
		fake_reply_error(e->server, r->request, 503, "busy");
		return;
	}
	call = mem_alloc(1, sizeof(*call));
	call->endpoint = e;
	call->request = r->request;
	call->path = mem_string(r->path);
	call->content_type = mem_string(
	    r->content_type == NULL ? "text/plain" : r->content_type);
	if (r->idempotency_key != NULL)
		call->idempotency_key = mem_string(r->idempotency_key);
	call->ncalls = counter_add(e->calls_by_key,
	    call->idempotency_key == NULL ? "" : call->idempotency_key);
	if (id != NULL)
		(void)counter_add(e->runs_by_id, id);
	e->nrunning++;
	(void)uv_timer_init(&e->loop, &call->timer);
	call->timer.data = call;
	(void)uv_timer_start(
	    &call->timer, on_service_timer, (uint64_t)e->service_ms, 0);
}
