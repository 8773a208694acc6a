#include <stdlib.h>
#include <string.h>

#include "gate/gate_account.h"
#include "gate/gate_config.h"
#include "gate/gate_update.h"
#include "util/mem.h"

/* Changes of a configuration in place, see gate_update.h. */

/* Elements of one kind. */
struct list {
	void **items;
	size_t count, cap;
};

struct gw_update {
	struct gw_config *config;
	/* the members that the configuration does not have at this time: the
	 * new ones until the update is applied, then the earlier ones */
	struct gw_config other;
	struct list added[GW_ELEMENT_KINDS], removed[GW_ELEMENT_KINDS];
	bool is_applied;
	struct gw_update_work work;
};

/* Where the reading of the texts is. */
struct cursor {
	const struct gw_codec *codec;
	struct gw_update *update;
	const struct gw_text *next;
	const struct gw_text_array *base_arrays, *arrays;
	size_t nbase_arrays, narrays;
	size_t at; /* segment of next */
	struct list lists[GW_ELEMENT_KINDS]; /* of next, up to here */
	size_t base_count[GW_ELEMENT_KINDS]; /* elements read of base */
};

/* An array of which segments are read, and the place in it. */
struct place_in_array {
	enum gw_element_kind kind;
	size_t offset; /* from the first element; even: an element */
	size_t left; /* segments up to the end of the last element */
};

static void
list_add(struct list *list, void *const *items, size_t count)
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

/* ---- decoding ----------------------------------------------------------- */

/*
 * Finds the array that has a segment; false: it is outside. Segments are looked
 * for in ascending order, so arrays that end before are dropped.
 */
static bool
find_array(const struct cursor *c, const struct gw_text_array **arrays,
    size_t *narrays, size_t segment, struct place_in_array *out)
{
	const struct gw_text_array *a;
	size_t end;

	while (*narrays > 0) {
		a = *arrays;
		end = a->first + 2 * a->count - 1;
		if (segment < a->first)
			return false;
		if (segment < end) {
			out->kind = c->codec->find_element_kind(a->key);
			out->offset = segment - a->first;
			out->left = end - segment;
			return true;
		}
		(*arrays)++;
		(*narrays)--;
	}
	return false;
}

static int
decode(
    struct cursor *c, const struct place_in_array *place, struct mp_error *err)
{
	struct node_bytes bytes = gw_text_segment(c->next, c->at);
	struct gw_update *u = c->update;
	void *item;
	int rc = c->codec->read_element(
	    &item, place->kind, place->offset / 2, bytes, err);

	if (rc != MP_OK)
		return rc;
	u->work.decoded++;
	u->work.decoded_bytes += bytes.len;
	if (item != NULL) {
		list_add(&c->lists[place->kind], &item, 1);
		list_add(&u->added[place->kind], &item, 1);
	}
	return MP_OK;
}

/* Reads new segments. */
static int
read_new(struct cursor *c, size_t count, struct mp_error *err)
{
	struct place_in_array place;
	size_t i;
	int rc = MP_OK;

	for (i = 0; i < count && rc == MP_OK; i++, c->at++)
		if (gw_text_kind(c->next, c->at) == GW_SEGMENT_ELEMENT &&
		    find_array(c, &c->arrays, &c->narrays, c->at, &place))
			rc = decode(c, &place, err);
	return rc;
}

/* Elements of base before this one that were not kept are removed. */
static void
remove_before(struct cursor *c, enum gw_element_kind kind, size_t index)
{
	size_t count, *read = &c->base_count[kind];
	void **items = gw_config_get_elements(c->update->config, kind, &count);

	if (index > *read)
		list_add(
		    &c->update->removed[kind], items + *read, index - *read);
	*read = index;
}

/* Takes the elements of a run of segments over. */
static void
keep_run(struct cursor *c, const struct place_in_array *place, size_t segments)
{
	size_t first = (place->offset + 1) / 2, total;
	size_t end = (place->offset + segments + 1) / 2;
	enum gw_element_kind kind = place->kind;
	void **items = gw_config_get_elements(c->update->config, kind, &total);

	if (items == NULL || first == end)
		return;
	remove_before(c, kind, first);
	list_add(&c->lists[kind], items + first, end - first);
	c->base_count[kind] = end;
}

/*
 * Reads segments that both texts have. An element that is in an array of
 * another kind now is decoded as if it were new.
 */
static int
read_kept(struct cursor *c, size_t from, size_t count, struct mp_error *err)
{
	struct place_in_array was = {0}, is = {0};
	size_t done, run;
	int rc = MP_OK;

	for (done = 0; done < count && rc == MP_OK; done += run) {
		run = 1;
		if (!find_array(c, &c->arrays, &c->narrays, c->at, &is)) {
			c->at++;
			continue;
		}
		if (!find_array(c, &c->base_arrays, &c->nbase_arrays,
			from + done, &was) ||
		    was.kind != is.kind) {
			rc = read_new(c, 1, err);
			continue;
		}
		run = count - done;
		run = was.left < run ? was.left : run;
		run = is.left < run ? is.left : run;
		keep_run(c, &was, run);
		c->at += run;
	}
	return rc;
}

/* Decodes the text between elements. */
static int
read_rest(struct cursor *c, struct mp_error *err)
{
	struct gw_update *u = c->update;
	struct buf rest = {0};
	struct node_bytes bytes;
	size_t i = 0, k;
	int rc;

	for (k = 0; k <= c->narrays; k++) {
		bytes = gw_text_segment(c->next, i);
		buf_append(&rest, bytes.data, bytes.len);
		if (k < c->narrays)
			i = c->arrays[k].first + 2 * c->arrays[k].count - 1;
	}
	u->work.decoded_bytes += rest.len;
	rc = c->codec->read_rest(
	    &u->other, (struct node_bytes){rest.data, rest.len}, err);
	buf_free(&rest);
	return rc;
}

static int
read_pieces(
    struct cursor *c, const struct gw_text_delta *delta, struct mp_error *err)
{
	const struct gw_text_piece *p;
	size_t i, count;
	int rc = MP_OK, kind;

	for (i = 0; i < delta->npieces && rc == MP_OK; i++) {
		p = &delta->pieces[i];
		rc = read_kept(c, p->from, p->count, err);
		if (rc == MP_OK)
			rc = read_new(c, p->ninserted, err);
	}
	for (kind = 0; kind < GW_ELEMENT_KINDS && rc == MP_OK; kind++) {
		(void)gw_config_get_elements(
		    c->update->config, (enum gw_element_kind)kind, &count);
		remove_before(c, (enum gw_element_kind)kind, count);
	}
	return rc;
}

int
gw_update_prepare(struct gw_update **out, const struct gw_codec *codec,
    struct gw_config *config, const struct gw_text *base,
    const struct gw_text *next, const struct gw_text_delta *delta,
    struct mp_error *err)
{
	struct cursor c = {.codec = codec, .next = next};
	struct gw_update *u = mem_alloc(1, sizeof(*u));
	int rc, kind;

	u->config = config;
	c.update = u;
	c.base_arrays = gw_text_arrays(base, &c.nbase_arrays);
	c.arrays = gw_text_arrays(next, &c.narrays);
	rc = read_rest(&c, err);
	if (rc == MP_OK)
		rc = read_pieces(&c, delta, err);
	for (kind = 0; kind < GW_ELEMENT_KINDS; kind++)
		gw_config_set_elements(&u->other, (enum gw_element_kind)kind,
		    c.lists[kind].items, c.lists[kind].count);
	if (rc != MP_OK) {
		gw_update_destroy(u);
		u = NULL;
	}
	*out = u;
	return rc;
}

/* ---- applying ----------------------------------------------------------- */

/* Exchanges the members, not the indexes, which are updated. */
static void
swap_members(struct gw_update *u)
{
	struct gw_config_index *index = u->config->index;
	struct gw_account_index *accounts = u->config->account_index;
	struct gw_config other = u->other;

	u->other = *u->config;
	*u->config = other;
	u->config->index = index;
	u->config->account_index = accounts;
	u->other.index = NULL;
	u->other.account_index = NULL;
	u->is_applied = !u->is_applied;
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

/*
 * Updates the index; false: two routes have the same host and prefix.
 *
 * gone, come: the elements that leave the configuration, and those that join.
 */
static bool
update_index(
    struct gw_update *u, const struct list *gone, const struct list *come)
{
	struct gw_route_index *routes = u->config->index->routes;
	bool are_distinct = true;
	size_t i;

	for (i = 0; i < gone[GW_ELEMENT_ROUTE].count; i++)
		(void)gw_route_index_remove(
		    routes, gone[GW_ELEMENT_ROUTE].items[i]);
	for (i = 0; i < come[GW_ELEMENT_ROUTE].count; i++)
		if (gw_route_index_add(
			routes, come[GW_ELEMENT_ROUTE].items[i]) != NULL)
			are_distinct = false;
	if (has_changed(u, GW_ELEMENT_SERVICE))
		gw_config_index_services(u->config);
	return are_distinct;
}

/* Whether a service is gone that unchanged routes may name. */
static bool
has_lost_service(const struct gw_update *u)
{
	const struct list *removed = &u->removed[GW_ELEMENT_SERVICE];
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
	const struct list *added = &u->added[GW_ELEMENT_ROUTE];

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
	swap_members(update);
	update_accounts(update);
	if (update->config->index != NULL &&
	    update_index(update, update->removed, update->added) &&
	    is_valid(update))
		return MP_OK;
	/* Makes a new index, and names the first fault. */
	return gw_config_check(update->config, err);
}

void
gw_update_revert(struct gw_update *update)
{
	if (!update->is_applied)
		return;
	swap_members(update);
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
	const struct list *gone;
	size_t i;
	int kind;

	if (update == NULL)
		return;
	for (kind = 0; kind < GW_ELEMENT_KINDS; kind++) {
		gone = update->is_applied ? &update->removed[kind]
					  : &update->added[kind];
		for (i = 0; i < gone->count; i++)
			gw_element_destroy(
			    (enum gw_element_kind)kind, gone->items[i]);
		free(update->added[kind].items);
		free(update->removed[kind].items);
	}
	free(update->other.routes);
	free(update->other.services);
	free(update->other.accounts);
	free(update);
}
