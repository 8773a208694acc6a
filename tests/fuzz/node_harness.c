#include "fuzz/node_harness.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "doc/doc.h"
#include "util/mem.h"

#define HARNESS_TICK_US	    50000
#define HARNESS_START_TICKS 60 /* founding, election and a lease */
#define HARNESS_TICKETS_MAX 64
#define HARNESS_INCARNATION 7
#define HARNESS_DISK	    9
#define HARNESS_ANNOUNCE    "/v1/endpoints/announce"

static const char settings_format[] =
    "{\"cluster\":\"c\",\"instance\":{\"id\":1,\"name\":\"i1\","
    "\"dataCentre\":\"d\",\"region\":\"r\"},"
    "\"http\":{\"listen\":\"127.0.0.1:1\"},"
    "\"bus\":{\"listen\":\"127.0.0.1:2\"},\"dataFolder\":\"x\",\"peers\":["
    "{\"id\":1,\"bus\":\"127.0.0.1:2\",\"voter\":true},"
    "{\"id\":2,\"bus\":\"127.0.0.1:3\",\"voter\":false},"
    "{\"id\":3,\"bus\":\"127.0.0.1:4\",\"voter\":false}],"
    "\"operators\":[{\"name\":\"op\",\"tokenHash\":\"%s\","
    "\"teams\":[\"*\"]}]}";

static const char document_format[] =
    "{\"team\":\"t1\",\"tokens\":[\"%s\"],\"kinds\":{\"k\":{}},"
    "\"adapters\":{\"a1\":{\"version\":\"1\",\"baseModel\":\"base-1\","
    "\"kind\":\"k\"}},\"services\":{\"orders\":{\"calls\":{"
    "\"GET /status\":{\"idempotent\":true,\"kind\":\"k\"},"
    "\"POST /book\":{\"idempotent\":false,\"kind\":\"k\"}}}}}";

static const char engine[] =
    "{\"id\":\"e1\",\"incarnation\":1,\"address\":\"127.0.0.1:5\","
    "\"region\":\"r\",\"dataCentre\":\"d\",\"type\":\"engine\","
    "\"baseModel\":\"base-1\",\"slots\":2,\"seats\":4,\"role\":\"mixed\","
    "\"fencing\":\"checked\",\"leaving\":false,\"load\":{\"running\":0,"
    "\"queued\":0,\"asOfMs\":0},\"adapters\":[{\"adapter\":\"t1/a1@1\","
    "\"loading\":false,\"running\":0}]}";

static const char service[] =
    "{\"id\":\"s1\",\"incarnation\":1,\"address\":\"127.0.0.1:6\","
    "\"region\":\"r\",\"dataCentre\":\"d\",\"type\":\"service\","
    "\"service\":\"orders\",\"seats\":4,\"fencing\":\"checked\","
    "\"leaving\":false,\"load\":{\"running\":0,\"queued\":0,"
    "\"asOfMs\":0}}";

/* Format with the hash of a token. */
static void
print_hashed(struct buf *out, const char *format, const char *token)
{
	const char *at = strstr(format, "%s");
	char hash[65];

	doc_hash_token(hash, token);
	buf_append(out, format, (size_t)(at - format));
	buf_puts(out, hash);
	buf_puts(out, at + 2);
}

static struct settings *
make_settings(void)
{
	struct settings_problems problems = {0};
	struct settings *settings = NULL;
	struct mp_error err;
	struct buf text = {0};

	print_hashed(&text, settings_format, "op");
	if (settings_parse(&settings, text.data, text.len, &problems, &err) !=
	    MP_OK)
		abort();
	buf_free(&text);
	return settings;
}

bool
harness_create(struct harness *h, const struct node_disk *disk)
{
	struct node_boot boot = {0};

	if (sodium_init() < 0)
		abort();
	memset(h, 0, sizeof(*h));
	h->now_us = 1000000;
	h->settings = make_settings();
	h->fx = node_effects_create();
	boot.settings = h->settings;
	boot.incarnation = HARNESS_INCARNATION;
	boot.seed = 1;
	boot.now_us = h->now_us;
	boot.disk = disk;
	return node_create(&h->node, &boot, NULL) == MP_OK;
}

void
harness_destroy(struct harness *h)
{
	node_destroy(h->node);
	node_effects_destroy(h->fx);
	settings_destroy(h->settings);
}

void
harness_step(struct harness *h, const struct node_event *ev)
{
	uint64_t tickets[HARNESS_TICKETS_MAX];
	struct node_event saved = {.type = NODE_EV_SAVED};
	const struct node_effect *fx;
	size_t count = 0, done = 0, i;

	h->last_status = 0;
	node_step(h->node, h->now_us, ev, h->fx);
	for (;;) {
		for (i = 0; i < node_effects_count(h->fx); i++) {
			fx = node_effects_at(h->fx, i);
			if (fx->type == NODE_FX_REPLY)
				h->last_status = fx->u.reply.status;
			if (fx->type == NODE_FX_SAVE &&
			    fx->u.save.ticket != 0 &&
			    count < HARNESS_TICKETS_MAX)
				tickets[count++] = fx->u.save.ticket;
		}
		node_effects_clear(h->fx);
		if (done == count)
			return;
		saved.u.saved.ticket = tickets[done++];
		saved.u.saved.ok = true;
		node_step(h->node, h->now_us, &saved, h->fx);
	}
}

void
harness_ticks(struct harness *h, unsigned count)
{
	struct node_event ev = {.type = NODE_EV_TICK};

	while (count-- > 0) {
		h->now_us += HARNESS_TICK_US;
		harness_step(h, &ev);
	}
}

void
harness_request(
    struct harness *h, const char *const texts[5], struct node_bytes body)
{
	struct node_event ev = {.type = NODE_EV_REQUEST};
	char *copies[5], *bytes = mem_alloc(body.len + 1, 1);
	size_t i;

	for (i = 0; i < 5; i++)
		copies[i] = texts[i] == NULL || (i > 1 && *texts[i] == '\0')
		    ? NULL
		    : mem_string(texts[i]);
	memcpy(bytes, body.data, body.len);
	ev.u.request.request = ++h->requests;
	ev.u.request.method = copies[0];
	ev.u.request.path = copies[1];
	ev.u.request.authorization = copies[2];
	ev.u.request.idempotency_key = copies[3];
	ev.u.request.timeout = copies[4];
	ev.u.request.body.data = bytes;
	ev.u.request.body.len = body.len;
	harness_step(h, &ev);
	for (i = 0; i < 5; i++)
		free(copies[i]);
	free(bytes);
}

static void
announce(struct harness *h, const char *text)
{
	static const char *const texts[5] = {"POST", HARNESS_ANNOUNCE};

	harness_request(h, texts, (struct node_bytes){text, strlen(text)});
}

void
harness_create_serving(struct harness *h)
{
	static const char *const put[5] = {
	    "PUT", "/v1/documents/t1?revision=0&change=c", "Bearer op"};
	static const char *const ready[5] = {
	    "GET", "/v1/documents/t1", "Bearer op"};
	const struct node_disk disk = {
	    .incarnation = HARNESS_DISK, .fresh = true};
	struct buf text = {0};

	if (!harness_create(h, &disk))
		abort();
	harness_ticks(h, HARNESS_START_TICKS);
	print_hashed(&text, document_format, "caller");
	harness_request(h, put, (struct node_bytes){text.data, text.len});
	buf_free(&text);
	announce(h, engine);
	announce(h, service);
	harness_ticks(h, 1);
	harness_request(h, ready, (struct node_bytes){"", 0});
	if (h->last_status != 200)
		abort();
}
