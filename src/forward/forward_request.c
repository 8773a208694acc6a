#include <string.h>

#include "forward/forward_guard.h"
#include "forward/forward_internal.h"
#include "util/mem.h"

/* Start of a request: what it keeps of the caller's request and its route. */

static const char *
copy_text(struct node_effects *memory, const char *text)
{
	return text == NULL ? NULL : node_effects_printf(memory, "%s", text);
}

static const struct gw_prompt_part *
copy_parts(struct node_effects *memory, const struct gw_request *decoded)
{
	size_t len = decoded->nparts * sizeof(*decoded->parts);
	struct gw_prompt_part *parts;

	if (len == 0)
		return NULL;
	parts = node_effects_alloc(memory, len);
	memcpy(parts, decoded->parts, len);
	return parts;
}

static void
copy_request(struct fwd_request *r, const struct node_request *in,
    const struct gw_request *decoded)
{
	struct node_effects *m = r->memory;

	memset(&r->in, 0, sizeof(r->in));
	r->in.method = copy_text(m, in->method);
	r->in.path = copy_text(m, in->path);
	r->in.body.data = node_effects_copy(m, in->body.data, in->body.len);
	r->in.body.len = in->body.len;
	r->decoded = *decoded;
	r->decoded.host = copy_text(m, decoded->host);
	r->decoded.attempt = copy_text(m, decoded->attempt);
	r->decoded.key = NULL; /* not kept: only its hash is */
	r->decoded.account = copy_text(m, decoded->account);
	r->decoded.model = copy_text(m, decoded->model);
	r->decoded.adapter = copy_text(m, decoded->adapter);
	r->decoded.resume_after = copy_text(m, decoded->resume_after);
	r->decoded.parts = copy_parts(m, decoded);
	r->decoded.headers =
	    node_effects_headers(m, decoded->headers, decoded->nheaders);
}

/*
 * Returns a number that selects the service. It is uniform over requests, and
 * equal for a request that the caller sends again under its attempt id.
 */
static uint64_t
request_selector(const struct gw_request *decoded, uint64_t request)
{
	uint64_t hash = 14695981039346656037ULL; /* FNV-1a */
	const char *s;

	if (decoded->attempt == NULL)
		return request;
	for (s = decoded->attempt; *s != '\0'; s++)
		hash = (hash ^ (unsigned char)*s) * 1099511628211ULL;
	return hash >> 16;
}

static void
set_times(struct fwd_request *r, uint64_t received_us,
    const struct gw_request *decoded, const struct gw_route *route)
{
	uint64_t timeout_us = received_us + route->timeout_ms * US_PER_MS;

	r->started_us = received_us;
	r->caller_deadline_us = decoded->deadline_ms == 0
	    ? timeout_us
	    : received_us + decoded->deadline_ms * US_PER_MS;
	r->deadline_us =
	    r->caller_deadline_us < timeout_us || !forward_guards.timeout
	    ? r->caller_deadline_us
	    : timeout_us;
	r->target_us = received_us +
	    (route->target_ms == 0 ? route->timeout_ms : route->target_ms) *
		US_PER_MS;
}

void
forward_start_request(struct forward *f, uint64_t now_us,
    const struct node_request *in, const struct gw_request *decoded,
    const struct gw_route *route, uint64_t config_version,
    struct node_effects *fx)
{
	struct fwd_request *r = mem_alloc(1, sizeof(*r));

	r->memory = node_effects_create();
	r->response_memory = node_effects_create();
	r->request = in->request;
	copy_request(r, in, decoded);
	r->kind = route->kind;
	r->resumable = route->resumable;
	r->route = mem_string(route->name == NULL ? "" : route->name);
	r->service = mem_string(gw_route_select_service(
	    route, request_selector(decoded, in->request)));
	r->priority = route->priority;
	r->account_priority = decoded->account_priority;
	r->max_attempts = route->max_attempts == 0 ? 1 : route->max_attempts;
	r->config_version = config_version;
	set_times(r, now_us - decoded->waited_us, decoded, route);
	(void)map_set_u64(f->by_request, r->request, r);
	f->stats.asked++;
	if (!fwd_refuse_if_too_long(f, r, now_us, fx) &&
	    !fwd_refuse_if_quarantined(f, r, now_us, false, fx))
		fwd_send_ask(f, r, now_us, fx);
}
