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

/* Elements that replace others at one place of the configuration's array. */
struct splice {
	size_t at; /* in the array before the update */
	size_t nremoved, nadded;
};
struct splices {
	struct splice *items;
	size_t count, cap;
};

struct gw_update {
	struct gw_config *config;
	/* the members that the configuration does not have at this time: the
	 * new ones until the update is applied, then the earlier ones; the
	 * arrays of elements stay in the configuration */
	struct gw_config other;
	/* in the order of the splices */
	struct list added[GW_ELEMENT_KINDS], removed[GW_ELEMENT_KINDS];
	struct splices splices[GW_ELEMENT_KINDS];
	bool is_applied;
	bool has_priorities;
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

/* Returns the splice at this place of the configuration's array. */
static struct splice *
get_splice(struct splices *splices, size_t at)
{
	struct splice *last;

	if (splices->count > 0) {
		last = &splices->items[splices->count - 1];
		if (last->at + last->nremoved == at)
			return last;
	}
	if (splices->count == splices->cap) {
		splices->cap = splices->cap == 0 ? 8 : splices->cap * 2;
		splices->items = mem_resize(
		    splices->items, splices->cap, sizeof(*splices->items));
	}
	last = &splices->items[splices->count++];
	*last = (struct splice){.at = at};
	return last;
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
		list_add(&u->added[place->kind], &item, 1);
		get_splice(&u->splices[place->kind], c->base_count[place->kind])
		    ->nadded++;
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
	struct gw_update *u = c->update;
	size_t total, count, *read = &c->base_count[kind];
	void **items = gw_config_get_elements(u->config, kind, &total);

	if (index <= *read)
		return;
	count = index - *read;
	list_add(&u->removed[kind], items + *read, count);
	get_splice(&u->splices[kind], *read)->nremoved += count;
	*read = index;
}

/* Takes the elements of a run of segments over. */
static void
keep_run(struct cursor *c, const struct place_in_array *place, size_t segments)
{
	size_t first = (place->offset + 1) / 2, total;
	size_t end = (place->offset + segments + 1) / 2;
	enum gw_element_kind kind = place->kind;

	if (first == end ||
	    gw_config_get_elements(c->update->config, kind, &total) == NULL)
		return;
	remove_before(c, kind, first);
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
	int rc;

	u->config = config;
	c.update = u;
	c.base_arrays = gw_text_arrays(base, &c.nbase_arrays);
	c.arrays = gw_text_arrays(next, &c.narrays);
	rc = read_rest(&c, err);
	if (rc == MP_OK)
		rc = read_pieces(&c, delta, err);
	if (rc != MP_OK) {
		gw_update_destroy(u);
		u = NULL;
	}
	*out = u;
	return rc;
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
keeps_places(const struct splices *splices)
{
	size_t i;

	for (i = 0; i < splices->count; i++)
		if (splices->items[i].nremoved != splices->items[i].nadded)
			return false;
	return true;
}

static void
replace_in_place(const struct splices *splices, void **items, void *const *come)
{
	const struct splice *s;
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
write_spliced(const struct splices *splices, bool undo, void *const *items,
    size_t count, void *const *come, struct list *out)
{
	const struct splice *s;
	size_t i, read = 0, shift = 0, at, ngone, ncome;

	for (i = 0; i < splices->count; i++) {
		s = &splices->items[i];
		ngone = undo ? s->nadded : s->nremoved;
		ncome = undo ? s->nremoved : s->nadded;
		/* Modulo SIZE_MAX + 1: the splices before may remove more. */
		at = undo ? s->at + shift : s->at;
		shift += s->nadded - s->nremoved;
		list_add(out, items + read, at - read);
		list_add(out, come, ncome);
		read = at + ngone;
		come += ncome;
	}
	list_add(out, items + read, count - read);
}

static void
update_elements(struct gw_update *u, enum gw_element_kind kind, bool undo)
{
	const struct splices *splices = &u->splices[kind];
	void *const *come = (undo ? u->removed : u->added)[kind].items;
	struct list out = {0};
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
    struct gw_update *u, const struct list *gone, const struct list *come)
{
	struct gw_config_index *index = u->config->index;
	const struct list *list = &come[GW_ELEMENT_ROUTE];
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
    struct gw_update *u, const struct list *gone, const struct list *come)
{
	struct gw_route_index *routes = u->config->index->routes;
	bool are_distinct = true;
	const struct list *list;
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
		free(update->splices[kind].items);
	}
	free(update);
}
