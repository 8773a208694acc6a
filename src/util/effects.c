#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mulberrypath/node.h"
#include "util/mem.h"

/*
 * The list of effects of one or more steps of the reducer. Effects and the data
 * that they point to are allocated from an arena, which is freed as a whole.
 */

#define ARENA_BLOCK_BYTES 16384
#define ARENA_ALIGN	  16

/*
 * One block of the arena. node_effects_clear() keeps the newest block for reuse
 * unless it is larger than ARENA_BLOCK_BYTES.
 */
struct arena_block {
	struct arena_block *next;
	size_t used, size; /* bytes of data */
	_Alignas(ARENA_ALIGN) char data[];
};

struct node_effects {
	struct arena_block *block; /* newest first */
	struct node_effect **items;
	size_t count, cap;
};

struct node_effects *
node_effects_create(void)
{
	return mem_alloc(1, sizeof(struct node_effects));
}

static void
arena_free(struct arena_block *block)
{
	struct arena_block *next;

	for (; block != NULL; block = next) {
		next = block->next;
		free(block);
	}
}

void
node_effects_destroy(struct node_effects *fx)
{
	if (fx == NULL)
		return;
	arena_free(fx->block);
	free(fx->items);
	free(fx);
}

void
node_effects_clear(struct node_effects *fx)
{
	struct arena_block *newest_block = fx->block;

	fx->count = 0;
	if (newest_block == NULL)
		return;
	arena_free(newest_block->next);
	newest_block->next = NULL;
	newest_block->used = 0;
	if (newest_block->size <= ARENA_BLOCK_BYTES)
		return;
	free(newest_block);
	fx->block = NULL;
}

/* Returns len bytes of the arena, not zeroed, aligned to ARENA_ALIGN. */
static void *
arena_alloc(struct node_effects *fx, size_t len)
{
	struct arena_block *block = fx->block;
	size_t size = ARENA_BLOCK_BYTES;
	void *p;

	len = (len + ARENA_ALIGN - 1) / ARENA_ALIGN * ARENA_ALIGN;
	if (block == NULL || block->size - block->used < len) {
		if (size < len)
			size = len;
		block = mem_alloc(1, sizeof(*block) + size);
		block->size = size;
		block->next = fx->block;
		fx->block = block;
	}
	p = block->data + block->used;
	block->used += len;
	return p;
}

size_t
node_effects_count(const struct node_effects *fx)
{
	return fx->count;
}

const struct node_effect *
node_effects_at(const struct node_effects *fx, size_t i)
{
	return fx->items[i];
}

struct node_effect *
node_effects_add(struct node_effects *fx, enum node_effect_type type)
{
	struct node_effect *effect = arena_alloc(fx, sizeof(*effect));

	memset(effect, 0, sizeof(*effect));
	effect->type = type;
	if (fx->count == fx->cap) {
		fx->cap = fx->cap == 0 ? 16 : fx->cap * 2;
		fx->items = mem_resize(fx->items, fx->cap, sizeof(*fx->items));
	}
	fx->items[fx->count++] = effect;
	return effect;
}

char *
node_effects_copy(struct node_effects *fx, const void *p, size_t len)
{
	char *copy = arena_alloc(fx, len + 1);

	if (len > 0)
		memcpy(copy, p, len);
	copy[len] = '\0';
	return copy;
}

char *
node_effects_printf(struct node_effects *fx, const char *format, ...)
{
	va_list args, args_copy;
	char *text;
	int n;

	va_start(args, format);
	va_copy(args_copy, args);
	n = vsnprintf(NULL, 0, format, args);
	va_end(args);
	if (n < 0)
		n = 0;
	text = arena_alloc(fx, (size_t)n + 1);
	text[0] = '\0';
	(void)vsnprintf(text, (size_t)n + 1, format, args_copy);
	va_end(args_copy);
	return text;
}

void *
node_effects_alloc(struct node_effects *fx, size_t len)
{
	void *p = arena_alloc(fx, len);

	memset(p, 0, len);
	return p;
}

struct node_header *
node_effects_headers(
    struct node_effects *fx, const struct node_header *headers, size_t count)
{
	struct node_header *copy =
	    node_effects_alloc(fx, count * sizeof(*copy));
	size_t i;

	for (i = 0; i < count; i++) {
		copy[i].name = node_effects_copy(
		    fx, headers[i].name, strlen(headers[i].name));
		copy[i].value = node_effects_copy(
		    fx, headers[i].value, strlen(headers[i].value));
	}
	return copy;
}
