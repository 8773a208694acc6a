#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include "journal/journal.h"
#include "journal/journal.pb-c.h"
#include "journal/journal_frame.h"
#include "util/mem.h"

struct journal_reader {
	FILE *file;
	uint8_t key[JOURNAL_KEY_BYTES];
	uint64_t frames; /* read */
	uint64_t read_bytes, total_bytes;
	uint8_t *message; /* packed message of the last frame */
	uint64_t now_us;
	Journal__Boot *boot_message;
	Journal__Step *step;
	struct settings *settings;
	struct node_boot boot;
	struct node_disk disk;
	struct node_effects *arena; /* allocates copies for the last step */
};

static int
set_damage_error(const struct journal_reader *r, struct mp_error *err)
{
	return mp_error_set(err, MP_LAYER_STORE, MP_ERR_CORRUPT,
	    "the journal is damaged at byte %llu",
	    (unsigned long long)r->read_bytes);
}

static uint32_t
get_u32(const unsigned char *in)
{
	return in[0] | (uint32_t)in[1] << 8 | (uint32_t)in[2] << 16 |
	    (uint32_t)in[3] << 24;
}

/*
 * Reads the next frame into r->message.
 *
 * Errors: MP_ERR_NOT_FOUND (end of the file), MP_ERR_UNAVAILABLE (the file
 * ends within the frame), MP_ERR_CORRUPT.
 */
static int
read_frame(struct journal_reader *r, uint32_t *len, struct mp_error *err)
{
	unsigned char head[JOURNAL_FRAME_HEADER_BYTES];
	size_t got = fread(head, 1, sizeof(head), r->file);

	free(r->message);
	r->message = NULL;
	if (got == 0)
		return mp_error_set(err, MP_LAYER_STORE, MP_ERR_NOT_FOUND,
		    "the journal has no more steps");
	*len = got < sizeof(head) ? 0 : get_u32(head);
	if (*len > JOURNAL_MESSAGE_MAX_BYTES ||
	    (got == sizeof(head) &&
		journal_frame_hash(head, JOURNAL_FRAME_HEADER_BYTES - 4) !=
		    get_u32(head + JOURNAL_FRAME_HEADER_BYTES - 4)))
		return set_damage_error(r, err);
	if (got < sizeof(head) ||
	    r->read_bytes + sizeof(head) + *len > r->total_bytes)
		return mp_error_set(err, MP_LAYER_STORE, MP_ERR_UNAVAILABLE,
		    "the journal ends within a step, at byte %llu",
		    (unsigned long long)r->read_bytes);
	r->message = mem_alloc(*len + 1, 1);
	if (fread(r->message, 1, *len, r->file) != *len ||
	    journal_frame_hash(r->message, *len) != get_u32(head + 4))
		return set_damage_error(r, err);
	journal_frame_cipher(r->message, *len, r->frames++, r->key);
	r->read_bytes += sizeof(head) + *len;
	return MP_OK;
}

/* ---- boot -------------------------------------------------------------- */

static void
decode_disk(struct node_disk *out, const Journal__Disk *disk)
{
	out->incarnation = disk->incarnation;
	out->fresh = disk->fresh;
	out->damaged = disk->damaged;
	out->term = disk->term;
	out->vote = disk->vote;
	out->snapshot_index = disk->snapshot_index;
	out->snapshot_term = disk->snapshot_term;
	out->snapshot.data = (const char *)disk->snapshot.data;
	out->snapshot.len = disk->snapshot.len;
	out->first_index = disk->first_index;
	out->record_count = disk->record_count;
	out->records.data = (const char *)disk->records.data;
	out->records.len = disk->records.len;
}

static int
read_boot(struct journal_reader *r, struct mp_error *err)
{
	struct settings_problems problems = {0};
	const Journal__Boot *m;
	uint32_t len = 0;
	int code = read_frame(r, &len, err);

	if (code != MP_OK)
		return code == MP_ERR_NOT_FOUND ? set_damage_error(r, err)
						: code;
	m = r->boot_message = journal__boot__unpack(NULL, len, r->message);
	if (m == NULL)
		return set_damage_error(r, err);
	if (m->version != JOURNAL_VERSION)
		return mp_error_set(err, MP_LAYER_STORE, MP_ERR_INVALID,
		    "the journal has version %u, this program reads %u",
		    m->version, JOURNAL_VERSION);
	code = settings_parse(&r->settings, (const char *)m->settings.data,
	    m->settings.len, &problems, err);
	settings_problems_free(&problems);
	if (code != MP_OK)
		return mp_error_wrap(err, MP_LAYER_STORE, MP_ERR_INVALID,
		    "the settings in the journal");
	r->boot.settings = r->settings;
	r->boot.incarnation = m->incarnation;
	r->boot.seed = m->seed;
	r->boot.now_us = r->now_us = m->now_us;
	r->boot.wall_ms = m->wall_ms;
	if (m->disk != NULL) {
		decode_disk(&r->disk, m->disk);
		r->boot.disk = &r->disk;
	}
	return MP_OK;
}

int
journal_open(
    struct journal_reader **out, const char *file, struct mp_error *err)
{
	struct journal_reader *r = mem_alloc(1, sizeof(*r));
	char magic[sizeof(JOURNAL_MAGIC)] = {0};
	struct stat info;
	int code;

	r->arena = node_effects_create();
	r->file = fopen(file, "re");
	if (r->file == NULL || fstat(fileno(r->file), &info) != 0) {
		code = mp_error_set(err, MP_LAYER_STORE, MP_ERR_IO, "%s: %s",
		    file, strerror(errno));
		goto cleanup;
	}
	r->total_bytes = (uint64_t)info.st_size;
	r->read_bytes = fread(magic, 1, sizeof(magic) - 1, r->file);
	code = strcmp(magic, JOURNAL_MAGIC) == 0
	    ? journal_key_read(r->key, file, err)
	    : mp_error_set(err, MP_LAYER_STORE, MP_ERR_CORRUPT,
		  "%s is not a journal", file);
	if (code == MP_OK)
		code = read_boot(r, err);
cleanup:
	if (code == MP_OK)
		*out = r;
	else
		journal_reader_destroy(r);
	return code;
}

void
journal_reader_destroy(struct journal_reader *r)
{
	if (r->step != NULL)
		journal__step__free_unpacked(r->step, NULL);
	if (r->boot_message != NULL)
		journal__boot__free_unpacked(r->boot_message, NULL);
	settings_destroy(r->settings);
	node_effects_destroy(r->arena);
	free(r->message);
	if (r->file != NULL)
		(void)fclose(r->file);
	free(r);
}

const struct node_boot *
journal_get_boot(const struct journal_reader *r)
{
	return &r->boot;
}

void
journal_get_progress(
    const struct journal_reader *r, uint64_t *read_bytes, uint64_t *total_bytes)
{
	*read_bytes = r->read_bytes;
	*total_bytes = r->total_bytes;
}

/* ---- steps ------------------------------------------------------------- */

static const char *
decode_text(struct journal_reader *r, bool present, ProtobufCBinaryData bytes)
{
	if (!present)
		return NULL;
	return node_effects_copy(r->arena, bytes.data, bytes.len);
}

static struct node_bytes
decode_bytes(ProtobufCBinaryData bytes)
{
	return (struct node_bytes){(const char *)bytes.data, bytes.len};
}

static const struct node_header *
decode_headers(
    struct journal_reader *r, Journal__Header *const *list, size_t count)
{
	struct node_header *headers =
	    node_effects_alloc(r->arena, count * sizeof(*headers));
	size_t i;

	for (i = 0; i < count; i++) {
		headers[i].name = decode_text(r, true, list[i]->name);
		headers[i].value = decode_text(r, true, list[i]->value);
	}
	return headers;
}

static void
decode_request(struct journal_reader *r, struct node_request *out,
    const Journal__Request *m)
{
	out->request = m->request;
	out->method = m->method;
	out->path = m->path;
	out->authorization = decode_text(r, m->authorized, m->authorization);
	out->idempotency_key = decode_text(r, m->keyed, m->key);
	out->timeout = decode_text(r, m->timed, m->timeout);
	out->body = decode_bytes(m->body);
	out->content_type =
	    decode_text(r, m->content_type.len > 0, m->content_type);
	out->listener = (enum node_listener)m->listener;
	out->headers = decode_headers(r, m->headers, m->n_headers);
	out->nheaders = m->n_headers;
}

static void
decode_call(struct journal_reader *r, struct node_call_event *out,
    const Journal__Call *m)
{
	out->call = m->call;
	out->phase = (enum node_call_phase)m->phase;
	out->status = m->status;
	out->retry_after = decode_text(r, m->retry, m->retry_after);
	out->data = decode_bytes(m->data);
	out->reason = decode_text(r, true, m->reason);
	out->content_type =
	    decode_text(r, m->content_type.len > 0, m->content_type);
	out->headers = decode_headers(r, m->headers, m->n_headers);
	out->nheaders = m->n_headers;
	out->has_length = m->length_and_one != 0;
	out->length = out->has_length ? m->length_and_one - 1 : 0;
	out->closed_by_peer = m->closed_by_peer;
	out->is_kept_connection = m->is_kept_connection;
}

static void
decode_event(
    struct journal_reader *r, struct node_event *out, const Journal__Step *m)
{
	switch (m->event_case) {
	case JOURNAL__STEP__EVENT_MESSAGE:
		out->type = NODE_EV_MESSAGE;
		out->u.message.from = m->message->from;
		out->u.message.bytes = decode_bytes(m->message->data);
		break;
	case JOURNAL__STEP__EVENT_REQUEST:
		out->type = NODE_EV_REQUEST;
		decode_request(r, &out->u.request, m->request);
		break;
	case JOURNAL__STEP__EVENT_GONE:
		out->type = NODE_EV_CALLER_GONE;
		out->u.gone_request = m->gone;
		break;
	case JOURNAL__STEP__EVENT_CALL:
		out->type = NODE_EV_CALL;
		decode_call(r, &out->u.call, m->call);
		break;
	case JOURNAL__STEP__EVENT_SAVED:
		out->type = NODE_EV_SAVED;
		out->u.saved.ticket = m->saved->ticket;
		out->u.saved.ok = !m->saved->failed;
		out->u.saved.reason = decode_text(r, true, m->saved->reason);
		break;
	case JOURNAL__STEP__EVENT_STOP:
		out->type = NODE_EV_STOP;
		break;
	default:
		out->type = NODE_EV_TICK;
		break;
	}
}

int
journal_read_step(
    struct journal_reader *r, struct journal_step *out, struct mp_error *err)
{
	uint32_t len = 0;
	int code = read_frame(r, &len, err);

	if (code != MP_OK)
		return code;
	if (r->step != NULL)
		journal__step__free_unpacked(r->step, NULL);
	r->step = journal__step__unpack(NULL, len, r->message);
	if (r->step == NULL)
		return set_damage_error(r, err);
	node_effects_clear(r->arena);
	memset(out, 0, sizeof(*out));
	r->now_us += r->step->after_us;
	out->now_us = r->now_us;
	out->effects_hash = r->step->effects;
	decode_event(r, &out->event, r->step);
	return MP_OK;
}
