#include "sched/sched_internal.h"

/* What is loaded here, to be told to the other owners. */

static bool
slot_serves(const struct slot *slot)
{
	return slot->state == SLOT_LOADED && !slot->is_missing &&
	    slot->drained_for == NULL;
}

size_t
sched_list_available_adapters(
    const struct sched *s, const char **out, size_t skip, size_t max)
{
	const struct endpoint *ep;
	size_t i, count = 0;
	uint32_t j;

	for (i = 0; i < map_count(s->endpoints); i++) {
		ep = map_at(s->endpoints, i);
		if (ep->leaving || endpoint_free_seats(ep) == 0)
			continue;
		for (j = 0; j < ep->slot_count; j++) {
			if (!slot_serves(ep->slots[j]))
				continue;
			if (count >= skip && count - skip < max)
				out[count - skip] = ep->slots[j]->adapter->name;
			count++;
		}
	}
	return count;
}

bool
sched_needs_load(const struct sched *s, const char *adapter)
{
	const struct adapter *a = adapter_find(s, false, adapter);
	uint32_t i;

	if (a == NULL)
		return true;
	if (a->pending_loads > 0)
		return false;
	for (i = 0; i < a->nlocations; i++) {
		if (a->locations[i].slot->state == SLOT_LOADING ||
		    slot_serves(a->locations[i].slot))
			return false;
	}
	return true;
}
