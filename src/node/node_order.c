#include <stdlib.h>
#include <string.h>

#include "node/node_internal.h"
#include "util/mem.h"

/* Orders to endpoints: load or evict an adapter, change the role. */

/* An order fails after this time without a byte from the endpoint. */
#define ORDER_SILENCE_US (30 * 1000 * 1000ULL)

void
node_order_free(struct node_order *o)
{
	free(o->endpoint);
	free(o->adapter);
	free(o);
}

/*
 * Sends a decision of the scheduler to its endpoint. The fencing header carries
 * the epoch, by which the endpoint can reject orders of an earlier owner.
 */
void
node_order_send(struct node *n, const struct sched_decision *d)
{
	static const char *const roles[] = {"mixed", "prefill", "decode"};
	const struct node_endpoint *e = map_get_str(n->endpoints, d->endpoint);
	struct node_order *order;
	struct node_call *call;
	const char *path = "/v1/adapters/load";

	if (e == NULL)
		return;
	order = mem_alloc(1, sizeof(*order));
	order->type = d->type;
	order->endpoint = mem_string(d->endpoint);
	order->adapter = mem_string(d->adapter == NULL ? "" : d->adapter);
	if (d->type == SCHED_EVICT) {
		path = "/v1/adapters/evict";
		node_held_record(n, d->adapter, false);
	}
	if (d->type == SCHED_SET_ROLE)
		path = "/v1/role";

	call = &node_effects_add(n->fx, NODE_FX_CALL)->u.call;
	call->call = ++n->last_call;
	call->address = node_effects_printf(n->fx, "%s", e->address);
	call->method = "POST";
	call->path = path;
	call->headers[0].name = "mulberrypath-fence";
	call->headers[0].value = node_effects_printf(
	    n->fx, "%llu", (unsigned long long)member_view_epoch(n->view));
	call->headers[1].name = "content-type";
	call->headers[1].value = "application/json";
	call->nheaders = 2;
	if (d->type == SCHED_SET_ROLE)
		call->body.data = node_effects_printf(
		    n->fx, "{\"role\": \"%s\"}", roles[d->role]);
	else
		call->body.data = node_effects_printf(
		    n->fx, "{\"adapter\": \"%s\"}", d->adapter);
	call->body.len = strlen(call->body.data);
	call->not_after_us = node_act_until(n);
	call->silence_us = ORDER_SILENCE_US;
	map_set_u64(n->orders, call->call, order);
	n->counters.orders++;
}

/* Cancels the run of an orphan, see node_orphan.c. */
void
node_order_cancel(struct node *n, struct node_grant *g)
{
	const struct node_endpoint *e = map_get_str(n->endpoints, g->endpoint);
	struct node_order *order = mem_alloc(1, sizeof(*order));
	struct node_call *call;

	g->cancel_due_us = UINT64_MAX; /* set again when the call ends */
	order->cancelled_grant = g->id;
	order->endpoint = mem_string(g->endpoint);
	call = &node_effects_add(n->fx, NODE_FX_CALL)->u.call;
	call->call = ++n->last_call;
	call->address = node_effects_printf(n->fx, "%s", e->address);
	call->method = "POST";
	call->path =
	    node_effects_printf(n->fx, "/v1/requests/%s/cancel", g->run);
	call->not_after_us = node_act_until(n);
	call->silence_us = ORDER_SILENCE_US;
	map_set_u64(n->orders, call->call, order);
}

static void
finish_order(struct node *n, uint64_t call, bool ok, const char *reason)
{
	struct node_order *order = map_remove_u64(n->orders, call);

	if (order->cancelled_grant != 0) {
		node_orphan_cancelled(n, order->cancelled_grant, ok);
		node_order_free(order);
		n->sched_run_due = true;
		return;
	}
	if (!ok)
		node_log(n, NODE_LOG_ORDER_FAILED,
		    "{\"endpoint\": \"%s\", \"adapter\": \"%s\", "
		    "\"reason\": \"%s\"}",
		    order->endpoint, order->adapter,
		    reason == NULL ? "refused" : reason);
	if (order->type == SCHED_LOAD && ok)
		node_held_record(n, order->adapter, true);
	if (order->type == SCHED_LOAD)
		sched_load_result(
		    n->sched, n->now, order->endpoint, order->adapter, ok);
	else if (order->type == SCHED_EVICT)
		sched_evict_result(
		    n->sched, n->now, order->endpoint, order->adapter, ok);
	node_order_free(order);
	n->sched_run_due = true;
}

/* Processes the progress of a call; false when it is not an order. */
bool
node_order_on_call(struct node *n, const struct node_call_event *event)
{
	if (map_get_u64(n->orders, event->call) == NULL)
		return false;
	if (event->phase == NODE_CALL_HEAD) {
		finish_order(n, event->call, event->status == 200, NULL);
		return true;
	}
	if (event->phase != NODE_CALL_DATA)
		finish_order(n, event->call, false, event->reason);
	return true;
}
