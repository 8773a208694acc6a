#include "mulberryctl/load_check.h"

#include <jansson.h>
#include <string.h>
#include <xxhash.h>

#define PROMPT_HASH_MASK 0xffffu

void
load_prompt(struct buf *out, const struct trace_request *r)
{
	json_t *messages, *item;
	size_t i;

	buf_puts(out, "");
	if (r->session == NULL) {
		buf_puts(out, r->prompt);
		return;
	}
	messages = json_loads(r->session, 0, NULL);
	json_array_foreach(messages, i, item) buf_printf(out, "%s: %s\n",
	    json_string_value(json_object_get(item, "role")),
	    json_string_value(json_object_get(item, "content")));
	json_decref(messages);
}

void
load_expect(struct buf *out, const struct trace_request *r)
{
	struct buf key = {0}, prompt = {0};
	unsigned key_hash, prompt_hash;
	uint32_t i;

	buf_printf(&key, "%s/%s@%s", r->team, r->adapter,
	    r->version == NULL ? "" : r->version);
	load_prompt(&prompt, r);
	key_hash = (unsigned)XXH32(key.data, key.len, 0);
	prompt_hash =
	    (unsigned)XXH32(prompt.data, prompt.len, 0) & PROMPT_HASH_MASK;
	for (i = 0; i < r->max_tokens; i++)
		buf_printf(out, "%08x.%04x-%u ", key_hash, prompt_hash, i);
	buf_free(&key);
	buf_free(&prompt);
}

static bool
is_model(const struct trace_request *r, const char *model)
{
	size_t len = strlen(r->adapter);

	return strncmp(model, r->adapter, len) == 0 && model[len] == '@' &&
	    (r->version == NULL || strcmp(model + len + 1, r->version) == 0);
}

enum load_verdict
load_check(const struct trace_request *r, const char *model, const char *text,
    size_t len)
{
	struct trace_request asked = *r;
	struct buf want = {0};
	enum load_verdict verdict = LOAD_WRONG;

	if (model == NULL || !is_model(r, model))
		return LOAD_WRONG;
	asked.version = (char *)model + strlen(r->adapter) + 1;
	load_expect(&want, &asked);
	if (len <= want.len && (len == 0 || memcmp(text, want.data, len) == 0))
		verdict = len == want.len ? LOAD_WHOLE : LOAD_CUT;
	buf_free(&want);
	return verdict;
}
