#include <stdlib.h>
#include <string.h>

#include "gate/gate_account.h"
#include "gate/gate_config.h"
#include "gate/gate_update_internal.h"
#include "util/mem.h"

/* Changes of a configuration in place, see gate_update.h. */

void
gw_list_add(struct gw_list *list, void *const *items, size_t count)
{
	if (count == 0)
		return;
	if (list->count + count > list->cap) {
		list->cap = (list->count + count) * 2;
		list->items =
		    mem_resize(list->items, list->cap, sizeof(*list->items));
	}
	memcpy(list->items + list->count, items, count * sizeof(*items));
	list->count += count;
}

struct gw_config *
gw_config_create(void)
{
	struct gw_config *config = mem_alloc(1, sizeof(*config));

	config->index = gw_config_index_create();
	return config;
}

/* ---- applying ----------------------------------------------------------- */

/*
 * Exchanges the members, not the indexes and the arrays of elements, which are
 * updated.
 */
static void
swap_members(struct gw_update *u)
{
	struct gw_config was = *u->config, *config = u->config;
	size_t count;
	void **items;
	int kind;

	*config = u->other;
	config->index = was.index;
	config->account_index = was.account_index;
	for (kind = 0; kind < GW_ELEMENT_KINDS; kind++) {
		items = gw_config_get_elements(
		    &was, (enum gw_element_kind)kind, &count);
		gw_config_set_elements(
		    config, (enum gw_element_kind)kind, items, count);
		gw_config_set_elements(
		    &was, (enum gw_element_kind)kind, NULL, 0);
	}
	was.index = NULL;
	was.account_index = NULL;
	u->other = was;
	u->is_applied = !u->is_applied;
}

/* Whether each element that goes is replaced by one that comes. */
static bool
keeps_places(const struct gw_splices *splices)
{
	size_t i;

	for (i = 0; i < splices->count; i++)
		if (splices->items[i].nremoved != splices->items[i].nadded)
			return false;
	return true;
}

static void
replace_in_place(
    const struct gw_splices *splices, void **items, void *const *come)
{
	const struct gw_splice *s;
	size_t i;

	for (i = 0; i < splices->count; i++) {
		s = &splices->items[i];
		memcpy(items + s->at, come, s->nadded * sizeof(*items));
		come += s->nadded;
	}
}

/*
 * Writes the array after the splices, or before them if they are undone, into
 * other memory.
 */
static void
write_spliced(const struct gw_splices *splices, bool undo, void *const *items,
    size_t count, void *const *come, struct gw_list *out)
{
	const struct gw_splice *s;
	size_t i, read = 0, shift = 0, at, ngone, ncome;

	for (i = 0; i < splices->count; i++) {
		s = &splices->items[i];
		ngone = undo ? s->nadded : s->nremoved;
		ncome = undo ? s->nremoved : s->nadded;
		/* Modulo SIZE_MAX + 1: the splices before may remove more. */
		at = undo ? s->at + shift : s->at;
		shift += s->nadded - s->nremoved;
		gw_list_add(out, items + read, at - read);
		gw_list_add(out, come, ncome);
		read = at + ngone;
		come += ncome;
	}
	gw_list_add(out, items + read, count - read);
}

static void
update_elements(struct gw_update *u, enum gw_element_kind kind, bool undo)
{
	const struct gw_splices *splices = &u->splices[kind];
	void *const *come = (undo ? u->removed : u->added)[kind].items;
	struct gw_list out = {0};
	size_t count;
	void **items = gw_config_get_elements(u->config, kind, &count);

	if (keeps_places(splices)) {
		replace_in_place(splices, items, come);
		return;
	}
	out.cap = count + u->added[kind].count + u->removed[kind].count;
	out.items = mem_resize(NULL, out.cap, sizeof(*out.items));
	write_spliced(splices, undo, items, count, come, &out);
	free(items);
	gw_config_set_elements(u->config, kind, out.items, out.count);
}

/* Exchanges the members and the elements. */
static void
change_members(struct gw_update *u, bool undo)
{
	int kind;

	swap_members(u);
	for (kind = 0; kind < GW_ELEMENT_KINDS; kind++)
		update_elements(u, (enum gw_element_kind)kind, undo);
}

static bool
has_changed(const struct gw_update *u, enum gw_element_kind kind)
{
	return u->added[kind].count > 0 || u->removed[kind].count > 0;
}

/* Hashes the keys of new accounts, and updates the index of accounts. */
static void
update_accounts(struct gw_update *u)
{
	if (has_changed(u, GW_ELEMENT_ACCOUNT))
		gw_config_index_accounts(u->config);
}

bool
gw_update_has_services(const struct gw_update *update)
{
	return has_changed(update, GW_ELEMENT_SERVICE);
}

bool
gw_update_has_priorities(const struct gw_update *update)
{
	return update->has_priorities;
}

/* Counts the priorities of the routes anew where they change. */
static void
update_priorities(
    struct gw_update *u, const struct gw_list *gone, const struct gw_list *come)
{
	struct gw_config_index *index = u->config->index;
	const struct gw_list *list = &come[GW_ELEMENT_ROUTE];
	size_t i;

	for (i = 0; i < list->count; i++)
		if (gw_config_index_count_priority(index, list->items[i], 1))
			u->has_priorities = true;
	list = &gone[GW_ELEMENT_ROUTE];
	for (i = 0; i < list->count; i++)
		if (gw_config_index_count_priority(index, list->items[i], -1))
			u->has_priorities = true;
}

/*
 * Updates the index; false: two routes have the same host and prefix.
 *
 * gone, come: the elements that leave the configuration, and those that join.
 */
static bool
update_index(
    struct gw_update *u, const struct gw_list *gone, const struct gw_list *come)
{
	struct gw_route_index *routes = u->config->index->routes;
	bool are_distinct = true;
	const struct gw_list *list;
	size_t i;

	list = &gone[GW_ELEMENT_ROUTE];
	for (i = 0; i < list->count; i++)
		(void)gw_route_index_remove(routes, list->items[i]);
	list = &come[GW_ELEMENT_ROUTE];
	for (i = 0; i < list->count; i++)
		if (gw_route_index_add(routes, list->items[i]) != NULL)
			are_distinct = false;
	update_priorities(u, gone, come);
	if (has_changed(u, GW_ELEMENT_SERVICE))
		gw_config_index_services(u->config);
	return are_distinct;
}

/* Whether a service is gone that unchanged routes may name. */
static bool
has_lost_service(const struct gw_update *u)
{
	const struct gw_list *removed = &u->removed[GW_ELEMENT_SERVICE];
	const struct gw_service *s;
	size_t i;

	for (i = 0; i < removed->count; i++) {
		s = removed->items[i];
		if (gw_config_find_service(u->config, s->name) == NULL)
			return true;
	}
	return false;
}

static bool
are_routes_valid(
    struct gw_update *u, struct gw_route *const *routes, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++) {
		u->work.checked++;
		if (gw_config_check_route(u->config, routes[i], i, NULL) !=
		    MP_OK)
			return false;
	}
	return true;
}

static bool
is_valid(struct gw_update *u)
{
	const struct gw_list *added = &u->added[GW_ELEMENT_ROUTE];

	if (has_changed(u, GW_ELEMENT_ACCOUNT) &&
	    gw_config_check_accounts(u->config, NULL) != MP_OK)
		return false;
	if (has_lost_service(u))
		return are_routes_valid(
		    u, u->config->routes, u->config->nroutes);
	return are_routes_valid(
	    u, (struct gw_route *const *)added->items, added->count);
}

int
gw_update_apply(struct gw_update *update, struct mp_error *err)
{
	change_members(update, false);
	update_accounts(update);
	update->has_priorities = has_changed(update, GW_ELEMENT_ACCOUNT) ||
	    update->config->has_accounts != update->other.has_accounts;
	if (update->config->index != NULL &&
	    update_index(update, update->removed, update->added) &&
	    is_valid(update))
		return MP_OK;
	/* Makes a new index, and names the first fault. */
	update->has_priorities = true;
	return gw_config_check(update->config, err);
}

void
gw_update_revert(struct gw_update *update)
{
	if (!update->is_applied)
		return;
	change_members(update, true);
	update_accounts(update);
	if (update->config->index != NULL)
		(void)update_index(update, update->added, update->removed);
	else
		(void)gw_config_check(update->config, NULL);
}

uint64_t
gw_update_version(const struct gw_update *update)
{
	return update->is_applied ? update->config->version
				  : update->other.version;
}

struct gw_update_work
gw_update_get_work(const struct gw_update *update)
{
	return update->work;
}

void
gw_update_destroy(struct gw_update *update)
{
	const struct gw_list *gone;
	size_t i;
	int kind;

	if (update == NULL)
		return;
	gw_update_cursor_destroy(update->cursor);
	for (kind = 0; kind < GW_ELEMENT_KINDS; kind++) {
		gone = update->is_applied ? &update->removed[kind]
					  : &update->added[kind];
		for (i = 0; i < gone->count; i++)
			gw_element_destroy(
			    (enum gw_element_kind)kind, gone->items[i]);
		free(update->added[kind].items);
		free(update->removed[kind].items);
		free(update->splices[kind].items);
	}
	free(update);
}
