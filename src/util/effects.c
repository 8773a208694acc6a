#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mulberrypath/node.h"
#include "util/mem.h"

/* The list of effects and the memory that they point to. */
struct node_effects {
	struct node_effect *items;
	size_t count, cap;
	char **blocks;
	size_t nblocks, blocks_cap;
};

struct node_effects *
node_effects_create(void)
{
	return mem_alloc(1, sizeof(struct node_effects));
}

void
node_effects_clear(struct node_effects *fx)
{
	size_t i;

	for (i = 0; i < fx->nblocks; i++)
		free(fx->blocks[i]);
	fx->nblocks = 0;
	fx->count = 0;
}

void
node_effects_destroy(struct node_effects *fx)
{
	if (fx == NULL)
		return;
	node_effects_clear(fx);
	free(fx->items);
	free(fx->blocks);
	free(fx);
}

size_t
node_effects_count(const struct node_effects *fx)
{
	return fx->count;
}

const struct node_effect *
node_effects_at(const struct node_effects *fx, size_t i)
{
	return &fx->items[i];
}

struct node_effect *
node_effects_add(struct node_effects *fx, enum node_effect_type type)
{
	struct node_effect *e;

	if (fx->count == fx->cap) {
		fx->cap = fx->cap == 0 ? 16 : fx->cap * 2;
		fx->items = mem_resize(fx->items, fx->cap, sizeof(*fx->items));
	}
	e = &fx->items[fx->count++];
	memset(e, 0, sizeof(*e));
	e->type = type;
	return e;
}

static char *
effects_keep(struct node_effects *fx, char *block)
{
	if (fx->nblocks == fx->blocks_cap) {
		fx->blocks_cap = fx->blocks_cap == 0 ? 16 : fx->blocks_cap * 2;
		fx->blocks =
		    mem_resize(fx->blocks, fx->blocks_cap, sizeof(*fx->blocks));
	}
	fx->blocks[fx->nblocks++] = block;
	return block;
}

char *
node_effects_copy(struct node_effects *fx, const void *p, size_t len)
{
	return effects_keep(fx, mem_copy(p, len));
}

char *
node_effects_printf(struct node_effects *fx, const char *format, ...)
{
	va_list args, again;
	char *text;
	int n;

	va_start(args, format);
	va_copy(again, args);
	n = vsnprintf(NULL, 0, format, args);
	va_end(args);
	text = mem_alloc((size_t)(n < 0 ? 0 : n) + 1, 1);
	if (n > 0)
		(void)vsnprintf(text, (size_t)n + 1, format, again);
	va_end(again);
	return effects_keep(fx, text);
}
