#include <stdlib.h>
#include <string.h>

#include "mulberrypath/settings.h"
#include "util/mem.h"

void
settings_problems_add(struct settings_problems *p, const char *path,
    const char *found, const char *allowed)
{
	struct settings_problem *problem;

	/* The allocation doubles when the count reaches a power of two. */
	if ((p->count & (p->count - 1)) == 0)
		p->items = mem_resize(p->items,
		    p->count == 0 ? 1 : p->count * 2, sizeof(*p->items));
	problem = &p->items[p->count++];
	problem->path = mem_string(path);
	problem->found = mem_string(found);
	problem->allowed = mem_string(allowed);
}

void
settings_problems_free(struct settings_problems *p)
{
	size_t i;

	for (i = 0; i < p->count; i++) {
		free(p->items[i].path);
		free(p->items[i].found);
		free(p->items[i].allowed);
	}
	free(p->items);
	memset(p, 0, sizeof(*p));
}
