#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "journal/journal.h"
#include "journal/journal.pb-c.h"
#include "journal/journal_frame.h"
#include "util/mem.h"

#define FLUSH_INTERVAL_US 1000000
/*
 * Written instead of the secret key. It has the form of a key, as
 * settings_parse() refuses an invalid key and a public key without one.
 */
#define REDACTED_KEY "0000000000000000000000000000000000000000"

struct journal_writer {
	struct node_effects *arena; /* allocations for the current step */
	FILE *file;
	uint8_t key[JOURNAL_KEY_BYTES];
	uint64_t frames; /* written */
	uint64_t last_step_us, last_flush_us;
	bool failed; /* a write failed; all later ones fail */
};

static int
set_io_error(struct mp_error *err, const char *what)
{
	return mp_error_set(err, MP_LAYER_STORE, MP_ERR_IO, "journal: %s: %s",
	    what, strerror(errno));
}

static void
put_u32(unsigned char *out, uint32_t n)
{
	size_t i;

	for (i = 0; i < sizeof(n); i++)
		out[i] = (unsigned char)(n >> 8 * i);
}

static int
write_frame(
    struct journal_writer *w, const ProtobufCMessage *m, struct mp_error *err)
{
	uint32_t len = (uint32_t)protobuf_c_message_get_packed_size(m);
	unsigned char head[JOURNAL_FRAME_HEADER_BYTES];
	uint8_t *bytes = mem_alloc(len + 1, 1);
	size_t done;

	(void)protobuf_c_message_pack(m, bytes);
	journal_frame_cipher(bytes, len, w->frames++, w->key);
	put_u32(head, len);
	put_u32(head + 4, journal_frame_hash(bytes, len));
	put_u32(head + 8, journal_frame_hash(head, 8));
	done = fwrite(head, 1, sizeof(head), w->file);
	done += fwrite(bytes, 1, len, w->file);
	free(bytes);
	return done == sizeof(head) + len ? MP_OK : set_io_error(err, "write");
}

/* ---- boot -------------------------------------------------------------- */

/*
 * Returns the settings with the secret key replaced; the caller frees them.
 * NULL if text is not a JSON object.
 */
static char *
redact_settings(struct node_bytes text)
{
	json_t *settings = json_loadb(text.data, text.len, 0, NULL);
	json_t *bus = json_object_get(settings, "bus");
	char *out = NULL;

	if (json_object_get(bus, "secretKey") != NULL)
		(void)json_object_set_new(
		    bus, "secretKey", json_string(REDACTED_KEY));
	if (json_is_object(settings))
		out = json_dumps(settings, JSON_COMPACT);
	json_decref(settings);
	return out;
}

static void
encode_disk(Journal__Disk *out, const struct node_disk *disk)
{
	out->incarnation = disk->incarnation;
	out->fresh = disk->fresh;
	out->damaged = disk->damaged;
	out->term = disk->term;
	out->vote = disk->vote;
	out->snapshot_index = disk->snapshot_index;
	out->snapshot_term = disk->snapshot_term;
	out->snapshot.data = (uint8_t *)disk->snapshot.data;
	out->snapshot.len = disk->snapshot.len;
	out->first_index = disk->first_index;
	out->record_count = disk->record_count;
	out->records.data = (uint8_t *)disk->records.data;
	out->records.len = disk->records.len;
}

static int
write_boot(struct journal_writer *w, const struct node_boot *boot,
    char *settings, struct mp_error *err)
{
	Journal__Boot out = JOURNAL__BOOT__INIT;
	Journal__Disk disk = JOURNAL__DISK__INIT;

	out.version = JOURNAL_VERSION;
	out.settings.data = (uint8_t *)settings;
	out.settings.len = strlen(settings);
	out.incarnation = boot->incarnation;
	out.seed = boot->seed;
	out.now_us = boot->now_us;
	out.wall_ms = boot->wall_ms;
	if (boot->disk != NULL) {
		encode_disk(&disk, boot->disk);
		out.disk = &disk;
	}
	return write_frame(w, &out.base, err);
}

int
journal_create(struct journal_writer **out, const char *file,
    const struct node_boot *boot, struct node_bytes settings_text,
    struct mp_error *err)
{
	struct journal_writer *w = mem_alloc(1, sizeof(*w));
	char *settings = redact_settings(settings_text);
	int fd, code = MP_OK;

	w->arena = node_effects_create();
	w->last_step_us = w->last_flush_us = boot->now_us;
	if (settings == NULL) {
		code = mp_error_set(err, MP_LAYER_STORE, MP_ERR_INVALID,
		    "journal: the settings are not a JSON object");
		goto cleanup;
	}
	code = journal_key_create(w->key, file, err);
	if (code != MP_OK)
		goto cleanup;
	fd = open(file, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
	if (fd < 0 || (w->file = fdopen(fd, "w")) == NULL ||
	    fputs(JOURNAL_MAGIC, w->file) < 0)
		code = set_io_error(err, file);
	else
		code = write_boot(w, boot, settings, err);
cleanup:
	free(settings);
	if (code == MP_OK)
		*out = w;
	else
		(void)journal_close(w, NULL);
	return code;
}

/* ---- steps ------------------------------------------------------------- */

/* Returns whether text is present, that is not NULL. */
static bool
encode_text(ProtobufCBinaryData *out, const char *text)
{
	if (text == NULL)
		return false;
	out->data = (uint8_t *)text;
	out->len = strlen(text);
	return true;
}

static void
encode_bytes(ProtobufCBinaryData *out, struct node_bytes bytes)
{
	out->data = (uint8_t *)bytes.data;
	out->len = bytes.len;
}

/* Packs headers into messages that are allocated from the arena. */
static Journal__Header **
encode_headers(
    struct node_effects *arena, const struct node_header *headers, size_t count)
{
	Journal__Header **list =
	    node_effects_alloc(arena, count * sizeof(struct node_header *));
	size_t i;

	for (i = 0; i < count; i++) {
		list[i] = node_effects_alloc(arena, sizeof(**list));
		journal__header__init(list[i]);
		(void)encode_text(&list[i]->name, headers[i].name);
		(void)encode_text(&list[i]->value, headers[i].value);
	}
	return list;
}

static void
encode_request(struct node_effects *arena, Journal__Request *out,
    const struct node_request *r)
{
	out->request = r->request;
	out->method = (char *)r->method;
	out->path = (char *)r->path;
	out->authorized = encode_text(&out->authorization, r->authorization);
	out->keyed = encode_text(&out->key, r->idempotency_key);
	out->timed = encode_text(&out->timeout, r->timeout);
	encode_bytes(&out->body, r->body);
	(void)encode_text(&out->content_type, r->content_type);
	out->listener = r->listener;
	out->n_headers = r->nheaders;
	out->headers = encode_headers(arena, r->headers, r->nheaders);
}

static void
encode_call(struct node_effects *arena, Journal__Call *out,
    const struct node_call_event *ev)
{
	out->call = ev->call;
	out->phase = ev->phase;
	out->status = ev->status;
	out->retry = encode_text(&out->retry_after, ev->retry_after);
	encode_bytes(&out->data, ev->data);
	(void)encode_text(&out->reason, ev->reason);
	(void)encode_text(&out->content_type, ev->content_type);
	out->n_headers = ev->nheaders;
	out->headers = encode_headers(arena, ev->headers, ev->nheaders);
	out->length_and_one = ev->has_length ? ev->length + 1 : 0;
	out->closed_by_peer = ev->closed_by_peer;
	out->is_kept_connection = ev->is_kept_connection;
}

/* The messages that a Journal__Step can point to. */
struct step_messages {
	Journal__Peer peer;
	Journal__Request request;
	Journal__Call call;
	Journal__Saved saved;
	struct node_effects *arena; /* allocates lists */
};

static void
encode_event(Journal__Step *out, struct step_messages *messages,
    const struct node_event *ev)
{
	switch (ev->type) {
	case NODE_EV_TICK:
		break;
	case NODE_EV_MESSAGE:
		out->event_case = JOURNAL__STEP__EVENT_MESSAGE;
		out->message = &messages->peer;
		messages->peer.from = ev->u.message.from;
		encode_bytes(&messages->peer.data, ev->u.message.bytes);
		break;
	case NODE_EV_REQUEST:
		out->event_case = JOURNAL__STEP__EVENT_REQUEST;
		out->request = &messages->request;
		encode_request(
		    messages->arena, &messages->request, &ev->u.request);
		break;
	case NODE_EV_CALLER_GONE:
		out->event_case = JOURNAL__STEP__EVENT_GONE;
		out->gone = ev->u.gone_request;
		break;
	case NODE_EV_CALL:
		out->event_case = JOURNAL__STEP__EVENT_CALL;
		out->call = &messages->call;
		encode_call(messages->arena, &messages->call, &ev->u.call);
		break;
	case NODE_EV_SAVED:
		out->event_case = JOURNAL__STEP__EVENT_SAVED;
		out->saved = &messages->saved;
		messages->saved.ticket = ev->u.saved.ticket;
		messages->saved.failed = !ev->u.saved.ok;
		(void)encode_text(&messages->saved.reason, ev->u.saved.reason);
		break;
	case NODE_EV_STOP:
		out->event_case = JOURNAL__STEP__EVENT_STOP;
		out->stop = true;
		break;
	}
}

int
journal_write_step(struct journal_writer *w, uint64_t now_us,
    const struct node_event *ev, const struct node_effects *fx,
    struct mp_error *err)
{
	struct step_messages messages = {JOURNAL__PEER__INIT,
	    JOURNAL__REQUEST__INIT, JOURNAL__CALL__INIT, JOURNAL__SAVED__INIT,
	    w->arena};
	Journal__Step out = JOURNAL__STEP__INIT;
	int code;

	if (w->failed)
		return mp_error_set(err, MP_LAYER_STORE, MP_ERR_IO,
		    "journal: an earlier write failed");
	out.after_us = now_us - w->last_step_us;
	out.effects = journal_hash_effects(fx);
	node_effects_clear(w->arena);
	encode_event(&out, &messages, ev);
	w->last_step_us = now_us;
	code = write_frame(w, &out.base, err);
	if (code == MP_OK && now_us - w->last_flush_us >= FLUSH_INTERVAL_US) {
		w->last_flush_us = now_us;
		if (fflush(w->file) != 0)
			code = set_io_error(err, "write");
	}
	w->failed = code != MP_OK;
	return code;
}

int
journal_close(struct journal_writer *w, struct mp_error *err)
{
	int code = MP_OK;

	if (w->file != NULL && fclose(w->file) != 0)
		code = set_io_error(err, "close");
	node_effects_destroy(w->arena);
	free(w);
	return code;
}
