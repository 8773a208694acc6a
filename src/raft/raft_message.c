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

/* Queue a message; it leaves once term and vote are saved. */
void
raft_message_send(struct raft *r, uint64_t to, Raft__Message *m)
{
	struct raft_out *o;

	if (r->halted)
		return;
	if (r->nout == r->out_cap) {
		r->out_cap = r->out_cap == 0 ? 16 : r->out_cap * 2;
		r->out = mem_resize(r->out, r->out_cap, sizeof(*r->out));
	}
	m->to = to;
	o = &r->out[r->nout++];
	o->to = to;
	o->after = RAFT_FAULT(vote_before_save) ? 0 : r->state_ticket;
	o->len = raft__message__get_packed_size(m);
	o->bytes = mem_alloc(o->len + 1, 1);
	raft__message__pack(m, (uint8_t *)o->bytes);
}

void
raft_message_drop_all(struct raft *r)
{
	size_t i;

	for (i = 0; i < r->nout; i++)
		free(r->out[i].bytes);
	r->nout = 0;
}

bool
raft_take_message(struct raft *r, struct raft_message *out)
{
	free(r->taken_message);
	r->taken_message = NULL;
	if (r->halted || r->nout == 0 || r->out[0].after > r->reported_ticket)
		return false;
	r->taken_message = r->out[0].bytes;
	out->to = r->out[0].to;
	out->bytes.data = r->taken_message;
	out->bytes.len = r->out[0].len;
	r->nout--;
	memmove(r->out, r->out + 1, r->nout * sizeof(*r->out));
	return true;
}

static void
message_from_newer_term(struct raft *r, uint64_t from, const Raft__Message *m,
    struct node_effects *fx)
{
	bool leads = m->body_case == RAFT__MESSAGE__BODY_APPEND ||
	    m->body_case == RAFT__MESSAGE__BODY_INSTALL;

	raft_become_follower(r, m->term, leads ? from : 0, fx);
}

static void
message_dispatch(struct raft *r, uint64_t from, const Raft__Message *m,
    struct node_effects *fx)
{
	switch (m->body_case) {
	case RAFT__MESSAGE__BODY_APPEND:
		raft_append_received(r, from, m->term, m->append, fx);
		break;
	case RAFT__MESSAGE__BODY_INSTALL:
		raft_install_received(r, from, m->term, m->install, fx);
		break;
	case RAFT__MESSAGE__BODY_APPEND_REPLY:
		if (m->term == r->term && r->role == RAFT_LEADER)
			raft_append_replied(r, from, m->append_reply, fx);
		break;
	case RAFT__MESSAGE__BODY_HAND:
		raft_hand_received(r, m->term, fx);
		break;
	case RAFT__MESSAGE__BODY_INSTALL_REPLY:
		if (m->term == r->term && r->role == RAFT_LEADER)
			raft_install_replied(r, from, m->install_reply);
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
	/* Votes change the term only once they are found to be due. */
	if (m->body_case == RAFT__MESSAGE__BODY_VOTE) {
		raft_vote_asked(r, from, m->term, m->vote, fx);
	} else if (m->body_case == RAFT__MESSAGE__BODY_VOTE_REPLY) {
		raft_vote_replied(r, from, m->term, m->vote_reply, fx);
	} else if (m->body_case != RAFT__MESSAGE__BODY__NOT_SET) {
		if (m->term > r->term)
			message_from_newer_term(r, from, m, fx);
		message_dispatch(r, from, m, fx);
	}
cleanup:
	raft__message__free_unpacked(m, NULL);
}
