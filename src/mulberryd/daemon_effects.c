/* Execution of the node's effects. */

#include "mulberryd/daemon_internal.h"

/*
 * Returns the gateway server that received a request, according to the
 * listener number in its id; NULL for mulberrypath's own HTTP API.
 */
static struct front_server *
find_gateway_server(const struct daemon *d, uint64_t request)
{
	uint64_t listener = request >> DAEMON_REQUEST_LISTENER_SHIFT;

	return listener < NODE_LISTENERS ? d->gateway[listener] : NULL;
}

static void
send_reply(struct daemon *d, const struct node_reply *reply)
{
	struct front_server *front = find_gateway_server(d, reply->request);
	bool known = true;

	if (front != NULL)
		known = front_server_reply(front, reply);
	else if (d->api_server != NULL)
		known = http_server_reply(d->api_server, reply);
	d->undelivered_replies += known ? 0 : 1;
}

static void
execute_reply(struct daemon *d, const struct node_reply *reply)
{
	struct node_reply full_reply = *reply;
	struct buf text = {0};

	if (!reply->add_process_metrics) {
		send_reply(d, reply);
		return;
	}
	buf_append(&text, reply->body.data, reply->body.len);
	daemon_append_metrics(d, &text);
	full_reply.body.data = text.data;
	full_reply.body.len = text.len;
	send_reply(d, &full_reply);
	buf_free(&text);
}

static void
execute_reply_data(struct daemon *d, uint64_t request, struct node_bytes data)
{
	struct front_server *front = find_gateway_server(d, request);

	if (front != NULL)
		front_server_send(front, request, data);
	else if (d->api_server != NULL)
		http_server_send(d->api_server, request, data);
}

static void
execute_reply_end(struct daemon *d, uint64_t request, bool aborted)
{
	struct front_server *front = find_gateway_server(d, request);

	if (front != NULL)
		front_server_end(front, request, aborted);
	else if (d->api_server != NULL)
		http_server_end(d->api_server, request, aborted);
}

/* Without a data folder, reports the save as failed. */
static void
execute_save(struct daemon *d, const struct node_save *save)
{
	struct node_event ev = {.type = NODE_EV_SAVED};

	if (d->store != NULL) {
		store_save(d->store, save);
		return;
	}
	if (save->ticket == 0)
		return;
	ev.u.saved.ticket = save->ticket;
	ev.u.saved.reason = "no data folder";
	daemon_process_event(d, &ev);
}

static void
execute_effect(struct daemon *d, const struct node_effect *fx)
{
	switch (fx->type) {
	case NODE_FX_SEND:
		bus_send(d->bus, &fx->u.send);
		break;
	case NODE_FX_REPLY:
		execute_reply(d, &fx->u.reply);
		break;
	case NODE_FX_REPLY_DATA:
		execute_reply_data(
		    d, fx->u.reply_data.request, fx->u.reply_data.data);
		break;
	case NODE_FX_REPLY_END:
		execute_reply_end(
		    d, fx->u.reply_end.request, fx->u.reply_end.aborted);
		break;
	case NODE_FX_CALL:
		http_client_start(d->client, &fx->u.call);
		break;
	case NODE_FX_CALL_CANCEL:
		http_client_cancel(d->client, fx->u.cancelled_call);
		break;
	case NODE_FX_SAVE:
		execute_save(d, &fx->u.save);
		break;
	case NODE_FX_LOG:
		log_output_write(d->log, &fx->u.log);
		break;
	case NODE_FX_LIMITS:
		if (d->gateway[NODE_LISTEN_FRONT] != NULL)
			front_server_set_limits(
			    d->gateway[NODE_LISTEN_FRONT], &fx->u.limits);
		break;
	case NODE_FX_FRONT_CLOSING:
		if (d->gateway[NODE_LISTEN_FRONT] != NULL)
			front_server_drain(d->gateway[NODE_LISTEN_FRONT]);
		break;
	case NODE_FX_FRONT_CLOSED:
		if (d->gateway[NODE_LISTEN_FRONT] != NULL)
			front_server_close_listener(
			    d->gateway[NODE_LISTEN_FRONT]);
		break;
	case NODE_FX_EXIT:
		daemon_close(d);
		break;
	}
}

void
daemon_execute_effects(struct daemon *d, const struct node_effects *effects)
{
	size_t i;

	for (i = 0; i < node_effects_count(effects); i++)
		execute_effect(d, node_effects_at(effects, i));
}
