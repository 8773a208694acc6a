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

#define FLUSH_US 1000000
#define NO_KEY	 "0000000000000000000000000000000000000000"

struct journal_writer {
	struct node_effects *memory; /* of the step that is written */
	FILE *file;
	uint64_t last_us, flushed_us;
	bool failed;
};

static int
io_error(struct mp_error *err, const char *what)
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
	put_u32(head, len);
	put_u32(head + 4, journal_frame_hash(bytes, len));
	put_u32(head + 8, journal_frame_hash(head, 8));
	done = fwrite(head, 1, sizeof(head), w->file);
	done += fwrite(bytes, 1, len, w->file);
	free(bytes);
	return done == sizeof(head) + len ? MP_OK : io_error(err, "write");
}

/* ---- boot -------------------------------------------------------------- */

/* The settings without the secret key; to be freed. NULL: no JSON object. */
static char *
redact(struct node_bytes text)
{
	json_t *settings = json_loadb(text.data, text.len, 0, NULL);
	json_t *bus = json_object_get(settings, "bus");
	char *out = NULL;

	if (json_object_get(bus, "secretKey") != NULL)
		(void)json_object_set_new(
		    bus, "secretKey", json_string(NO_KEY));
	if (json_is_object(settings))
		out = json_dumps(settings, JSON_COMPACT);
	json_decref(settings);
	return out;
}

static void
fill_disk(Journal__Disk *out, const struct node_disk *disk)
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
		fill_disk(&disk, boot->disk);
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
	char *settings = redact(settings_text);
	int fd, code = MP_OK;

	w->memory = node_effects_create();
	w->last_us = w->flushed_us = boot->now_us;
	if (settings == NULL) {
		code = mp_error_set(err, MP_LAYER_STORE, MP_ERR_INVALID,
		    "journal: the settings are no JSON object");
		goto cleanup;
	}
	fd = open(file, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
	if (fd < 0 || (w->file = fdopen(fd, "w")) == NULL ||
	    fputs(JOURNAL_MAGIC, w->file) < 0)
		code = io_error(err, file);
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

static bool
fill_text(ProtobufCBinaryData *out, const char *text)
{
	if (text == NULL)
		return false;
	out->data = (uint8_t *)text;
	out->len = strlen(text);
	return true;
}

static void
fill_bytes(ProtobufCBinaryData *out, struct node_bytes bytes)
{
	out->data = (uint8_t *)bytes.data;
	out->len = bytes.len;
}

/* The headers' messages live as long as the memory. */
static Journal__Header **
fill_headers(struct node_effects *memory, const struct node_header *headers,
    size_t count)
{
	Journal__Header **list =
	    node_effects_alloc(memory, count * sizeof(struct node_header *));
	size_t i;

	for (i = 0; i < count; i++) {
		list[i] = node_effects_alloc(memory, sizeof(**list));
		journal__header__init(list[i]);
		(void)fill_text(&list[i]->name, headers[i].name);
		(void)fill_text(&list[i]->value, headers[i].value);
	}
	return list;
}

static void
fill_request(struct node_effects *memory, Journal__Request *out,
    const struct node_request *r)
{
	out->request = r->request;
	out->method = (char *)r->method;
	out->path = (char *)r->path;
	out->authorized = fill_text(&out->authorization, r->authorization);
	out->keyed = fill_text(&out->key, r->idempotency_key);
	out->timed = fill_text(&out->timeout, r->timeout);
	fill_bytes(&out->body, r->body);
	(void)fill_text(&out->content_type, r->content_type);
	out->listener = r->listener;
	out->n_headers = r->nheaders;
	out->headers = fill_headers(memory, r->headers, r->nheaders);
}

static void
fill_call(struct node_effects *memory, Journal__Call *out,
    const struct node_call_event *ev)
{
	out->call = ev->call;
	out->phase = ev->phase;
	out->status = ev->status;
	out->retry = fill_text(&out->retry_after, ev->retry_after);
	fill_bytes(&out->data, ev->data);
	(void)fill_text(&out->reason, ev->reason);
	(void)fill_text(&out->content_type, ev->content_type);
	out->n_headers = ev->nheaders;
	out->headers = fill_headers(memory, ev->headers, ev->nheaders);
	out->length_and_one = ev->has_length ? ev->length + 1 : 0;
}

/* One of each message, for the step to point to. */
struct parts {
	Journal__Peer peer;
	Journal__Request request;
	Journal__Call call;
	Journal__Saved saved;
	struct node_effects *memory; /* of lists */
};

static void
fill_event(Journal__Step *out, struct parts *parts, const struct node_event *ev)
{
	switch (ev->type) {
	case NODE_EV_TICK:
		break;
	case NODE_EV_MESSAGE:
		out->event_case = JOURNAL__STEP__EVENT_MESSAGE;
		out->message = &parts->peer;
		parts->peer.from = ev->u.message.from;
		fill_bytes(&parts->peer.data, ev->u.message.bytes);
		break;
	case NODE_EV_REQUEST:
		out->event_case = JOURNAL__STEP__EVENT_REQUEST;
		out->request = &parts->request;
		fill_request(parts->memory, &parts->request, &ev->u.request);
		break;
	case NODE_EV_CALLER_GONE:
		out->event_case = JOURNAL__STEP__EVENT_GONE;
		out->gone = ev->u.gone_request;
		break;
	case NODE_EV_CALL:
		out->event_case = JOURNAL__STEP__EVENT_CALL;
		out->call = &parts->call;
		fill_call(parts->memory, &parts->call, &ev->u.call);
		break;
	case NODE_EV_SAVED:
		out->event_case = JOURNAL__STEP__EVENT_SAVED;
		out->saved = &parts->saved;
		parts->saved.ticket = ev->u.saved.ticket;
		parts->saved.failed = !ev->u.saved.ok;
		(void)fill_text(&parts->saved.reason, ev->u.saved.reason);
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
	struct parts parts = {JOURNAL__PEER__INIT, JOURNAL__REQUEST__INIT,
	    JOURNAL__CALL__INIT, JOURNAL__SAVED__INIT, w->memory};
	Journal__Step out = JOURNAL__STEP__INIT;
	int code;

	if (w->failed)
		return mp_error_set(err, MP_LAYER_STORE, MP_ERR_IO,
		    "journal: an earlier write failed");
	out.after_us = now_us - w->last_us;
	out.effects = journal_hash_effects(fx);
	node_effects_clear(w->memory);
	fill_event(&out, &parts, ev);
	w->last_us = now_us;
	code = write_frame(w, &out.base, err);
	if (code == MP_OK && now_us - w->flushed_us >= FLUSH_US) {
		w->flushed_us = now_us;
		if (fflush(w->file) != 0)
			code = io_error(err, "write");
	}
	w->failed = code != MP_OK;
	return code;
}

int
journal_close(struct journal_writer *w, struct mp_error *err)
{
	int code = MP_OK;

	if (w->file != NULL && fclose(w->file) != 0)
		code = io_error(err, "close");
	node_effects_destroy(w->memory);
	free(w);
	return code;
}
