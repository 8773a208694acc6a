/* Packs and queues messages to members; dispatches those received. */

#include <stdlib.h>
#include <string.h>

#include "raft/raft_internal.h"
#include "util/mem.h"

void
raft_message_init(
    const struct raft *r, Raft__Message *m, Raft__Message__BodyCase body)
{
	raft__message__init(m);
	m->group = r->options.group;
	m->term = r->term;
	m->body_case = body;
}

/*
 * Queue a message. It can be taken only after the current term and vote are
 * saved: a crash must not revoke a vote or term that was sent.
 */
void
raft_message_send(struct raft *r, uint64_t to, Raft__Message *m)
{
	struct raft_outgoing *o;

	if (r->halted)
		return;
	if (r->noutgoing == r->outgoing_cap) {
		r->outgoing_cap =
		    r->outgoing_cap == 0 ? 16 : r->outgoing_cap * 2;
		r->outgoing = mem_resize(
		    r->outgoing, r->outgoing_cap, sizeof(*r->outgoing));
	}
	m->to = to;
	o = &r->outgoing[r->noutgoing++];
	o->to = to;
	o->after_ticket = RAFT_FAULT(vote_before_save) ? 0 : r->state_ticket;
	o->len = raft__message__get_packed_size(m);
	o->bytes = mem_alloc(o->len + 1, 1);
	raft__message__pack(m, (uint8_t *)o->bytes);
}

void
raft_message_drop_all(struct raft *r)
{
	size_t i;

	for (i = 0; i < r->noutgoing; i++)
		free(r->outgoing[i].bytes);
	r->noutgoing = 0;
}

bool
raft_take_message(struct raft *r, struct raft_message *out)
{
	free(r->taken_message);
	r->taken_message = NULL;
	if (r->halted || r->noutgoing == 0 ||
	    r->outgoing[0].after_ticket > r->saved_ticket)
		return false;
	r->taken_message = r->outgoing[0].bytes;
	out->to = r->outgoing[0].to;
	out->bytes.data = r->taken_message;
	out->bytes.len = r->outgoing[0].len;
	r->noutgoing--;
	memmove(
	    r->outgoing, r->outgoing + 1, r->noutgoing * sizeof(*r->outgoing));
	return true;
}

/* Follow the newer term of a message; appends come from its leader. */
static void
message_adopt_term(struct raft *r, uint64_t from, const Raft__Message *m,
    struct node_effects *fx)
{
	bool from_leader = m->body_case == RAFT__MESSAGE__BODY_APPEND ||
	    m->body_case == RAFT__MESSAGE__BODY_INSTALL;

	raft_become_follower(r, m->term, from_leader ? from : 0, fx);
}

static void
message_dispatch(struct raft *r, uint64_t from, const Raft__Message *m,
    struct node_effects *fx)
{
	switch (m->body_case) {
	case RAFT__MESSAGE__BODY_APPEND:
		raft_handle_append(r, from, m->term, m->append, fx);
		break;
	case RAFT__MESSAGE__BODY_INSTALL:
		raft_handle_install(r, from, m->term, m->install, fx);
		break;
	case RAFT__MESSAGE__BODY_APPEND_REPLY:
		if (m->term == r->term && r->role == RAFT_LEADER)
			raft_handle_append_reply(r, from, m->append_reply, fx);
		break;
	case RAFT__MESSAGE__BODY_HAND:
		raft_handle_hand(r, m->term, fx);
		break;
	case RAFT__MESSAGE__BODY_INSTALL_REPLY:
		if (m->term == r->term && r->role == RAFT_LEADER)
			raft_handle_install_reply(r, from, m->install_reply);
		break;
	default:
		break;
	}
}

void
raft_receive(struct raft *r, uint64_t now_us, uint64_t from,
    struct node_bytes bytes, struct node_effects *fx)
{
	Raft__Message *m;

	r->now_us = now_us;
	if (r->halted || from == r->options.self || from == 0)
		return;
	m = raft__message__unpack(NULL, bytes.len, (const uint8_t *)bytes.data);
	if (m == NULL)
		return;
	if (m->group != r->options.group || m->to != r->options.self)
		goto cleanup;
	/*
	 * Vote messages do not change the term here: their handlers first
	 * check for a pre-vote and for a live leader.
	 */
	if (m->body_case == RAFT__MESSAGE__BODY_VOTE) {
		raft_handle_vote_ask(r, from, m->term, m->vote, fx);
	} else if (m->body_case == RAFT__MESSAGE__BODY_VOTE_REPLY) {
		raft_handle_vote_reply(r, from, m->term, m->vote_reply, fx);
	} else if (m->body_case != RAFT__MESSAGE__BODY__NOT_SET) {
		if (m->term > r->term)
			message_adopt_term(r, from, m, fx);
		message_dispatch(r, from, m, fx);
	}
cleanup:
	raft__message__free_unpacked(m, NULL);
}
