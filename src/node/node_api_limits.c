#include "node/node_gate.h"

/* The HTTP API for operators: rate limits that endpoints name. */

static void
append_limit(
    struct buf *out, const struct place_limit_info *info, uint64_t now_us)
{
	buf_puts(out, "{\"endpoint\": ");
	buf_json_string(out, info->endpoint);
	buf_puts(out, ", \"service\": ");
	buf_json_string(out, info->service);
	buf_printf(out,
	    ", \"requestsPerS\": %.3f, \"usableHerePerS\": %.3f, "
	    "\"grantedHere\": %llu, \"waitingHere\": %u, \"toldMs\": %llu}",
	    info->limit.requests_per_s_milli / 1000.0,
	    info->limit.requests_per_s_milli / 1000.0 * info->fraction,
	    (unsigned long long)info->granted, info->waiting,
	    (unsigned long long)(now_us - info->told_us) / 1000);
}

void
node_api_limits(struct node *n, uint64_t request)
{
	struct place_limit_info info;
	struct buf out = {0};
	size_t i, listed = 0;

	if (n->gate == NULL) {
		node_api_refuse(n, request, 404, "unknown-path",
		    "this instance has no gateway", 0);
		return;
	}
	buf_puts(&out, "{\"limits\": [");
	for (i = 0; i < place_endpoint_count(n->gate->place); i++) {
		place_limit_get(n->gate->place, i, &info);
		if (!info.limit.is_limited)
			continue;
		if (listed++ > 0)
			buf_puts(&out, ", ");
		append_limit(&out, &info, n->now);
	}
	buf_puts(&out, "]}\n");
	route_reply_json(n->fx, request, 200, out.data);
	buf_free(&out);
}
