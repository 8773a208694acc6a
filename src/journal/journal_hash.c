#include <string.h>
#define XXH_STATIC_LINKING_ONLY /* for XXH64_state_t on the stack */
#include <xxhash.h>

#include "journal/journal.h"
#include "journal/journal_frame.h"

uint32_t
journal_frame_hash(const void *bytes, uint32_t len)
{
	return XXH32(bytes, len, len);
}

/*
 * Numbers are hashed in the byte order of the machine. Texts, byte strings and
 * lists are preceded by their length, so that it is covered by the hash.
 */
static void
hash_number(XXH64_state_t *state, uint64_t number)
{
	(void)XXH64_update(state, &number, sizeof(number));
}

static void
hash_bytes(XXH64_state_t *state, struct node_bytes bytes)
{
	hash_number(state, bytes.len);
	if (bytes.len > 0)
		(void)XXH64_update(state, bytes.data, bytes.len);
}

static void
hash_text(XXH64_state_t *state, const char *text)
{
	hash_number(state, text != NULL);
	if (text != NULL)
		hash_bytes(state, (struct node_bytes){text, strlen(text)});
}

static void
hash_headers(
    XXH64_state_t *state, const struct node_header *headers, size_t count)
{
	size_t i;

	hash_number(state, count);
	for (i = 0; i < count; i++) {
		hash_text(state, headers[i].name);
		hash_text(state, headers[i].value);
	}
}

static void
hash_reply(XXH64_state_t *state, const struct node_reply *reply)
{
	hash_number(state, reply->request);
	hash_number(state, (uint64_t)reply->status);
	hash_text(state, reply->content_type);
	hash_headers(state, reply->headers, reply->nheaders);
	hash_headers(state, reply->extra_headers, reply->nextra_headers);
	hash_bytes(state, reply->body);
	hash_number(state, reply->more);
	hash_number(state, reply->has_length ? reply->length + 1 : 0);
}

static void
hash_call(XXH64_state_t *state, const struct node_call *call)
{
	hash_number(state, call->call);
	hash_text(state, call->address);
	hash_text(state, call->method);
	hash_text(state, call->path);
	hash_headers(state, call->headers, call->nheaders);
	hash_headers(state, call->extra_headers, call->nextra_headers);
	hash_bytes(state, call->body);
	hash_number(state, call->not_after_us);
	hash_number(state, call->silence_us);
	hash_number(state, call->first_byte_silence_us);
	hash_number(state, call->fresh_connection);
	hash_number(state, call->close_delimited);
	hash_number(state, call->idle_limit_ms);
}

static void
hash_save(XXH64_state_t *state, const struct node_save *save)
{
	hash_number(state, save->kind);
	hash_number(state, save->ticket);
	hash_number(state, save->index);
	hash_number(state, save->term);
	hash_number(state, save->vote);
	hash_number(state, save->count);
	hash_bytes(state, save->data);
}

static void
hash_effect(XXH64_state_t *state, const struct node_effect *fx)
{
	hash_number(state, fx->type);
	switch (fx->type) {
	case NODE_FX_SEND:
		hash_number(state, fx->u.send.to);
		hash_text(state, fx->u.send.address);
		hash_bytes(state, fx->u.send.bytes);
		break;
	case NODE_FX_REPLY:
		hash_reply(state, &fx->u.reply);
		break;
	case NODE_FX_REPLY_DATA:
		hash_number(state, fx->u.reply_data.request);
		hash_bytes(state, fx->u.reply_data.data);
		break;
	case NODE_FX_REPLY_END:
		hash_number(state, fx->u.reply_end.request);
		hash_number(state, fx->u.reply_end.aborted);
		break;
	case NODE_FX_CALL:
		hash_call(state, &fx->u.call);
		break;
	case NODE_FX_CALL_CANCEL:
		hash_number(state, fx->u.cancelled_call);
		break;
	case NODE_FX_SAVE:
		hash_save(state, &fx->u.save);
		break;
	case NODE_FX_LOG:
		hash_number(state, (uint64_t)fx->u.log.number);
		hash_text(state, fx->u.log.fields);
		break;
	case NODE_FX_LIMITS:
		hash_number(state, fx->u.limits.header_bytes);
		hash_number(state, fx->u.limits.body_bytes);
		hash_number(state, fx->u.limits.header_timeout_ms);
		hash_number(state, fx->u.limits.idle_timeout_ms);
		break;
	case NODE_FX_FRONT_CLOSING:
	case NODE_FX_FRONT_CLOSED:
	case NODE_FX_EXIT:
		break;
	}
}

uint64_t
journal_hash_effects(const struct node_effects *fx)
{
	XXH64_state_t state;
	size_t i, count = node_effects_count(fx);

	if (count == 0)
		return 0;
	(void)XXH64_reset(&state, 0);
	for (i = 0; i < count; i++)
		hash_effect(&state, node_effects_at(fx, i));
	return XXH64_digest(&state);
}
