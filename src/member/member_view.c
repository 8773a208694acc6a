/*
 * The view of the members: changes by committed commands, and its saved form,
 * the message View of view.proto.
 */
#include <stdlib.h>
#include <string.h>

#include "member/member.h"
#include "member/view.pb-c.h"
#include "util/mem.h"
#include "wire/seal.h"

#define MEMBER_VIEW_INITIAL_CAP 8

/* Removed members whose capabilities are kept: some times the voters. */
#define MEMBER_REMOVED_MAX 32

struct member_view {
	uint64_t epoch;
	struct member **members; /* in order of id */
	size_t count, cap;
	uint32_t *earlier; /* ids of supporters of the previous epoch */
	size_t nearlier;
	uint32_t *earlier_members; /* ids of all its members */
	size_t nearlier_members;
	struct member_shards shards;
	uint32_t required_capabilities;
	/* Removed members that had a data folder, oldest first. */
	uint32_t removed_ids[MEMBER_REMOVED_MAX];
	uint32_t removed_capabilities[MEMBER_REMOVED_MAX];
	size_t nremoved;
};

struct member_view *
member_view_create(void)
{
	struct member_view *v = mem_alloc(1, sizeof(*v));

	v->shards.count = 1;
	return v;
}

static void
member_destroy(struct member *m)
{
	free(m->name);
	free(m->data_centre);
	free(m->region);
	free(m->http);
	free(m->bus);
	free(m);
}

static void
member_view_clear(struct member_view *v)
{
	size_t i;

	for (i = 0; i < v->count; i++)
		member_destroy(v->members[i]);
	free(v->members);
	free(v->earlier);
	free(v->earlier_members);
	memset(v, 0, sizeof(*v));
	v->shards.count = 1;
}

void
member_view_destroy(struct member_view *v)
{
	if (v == NULL)
		return;
	member_view_clear(v);
	free(v);
}

/* The index of a member, or the one at which it would be inserted. */
static size_t
member_view_index(const struct member_view *v, uint32_t id)
{
	size_t low = 0, high = v->count, middle;

	while (low < high) {
		middle = low + (high - low) / 2;
		if (v->members[middle]->id < id)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static struct member *
member_view_get(const struct member_view *v, uint32_t id)
{
	size_t at = member_view_index(v, id);

	return at < v->count && v->members[at]->id == id ? v->members[at]
							 : NULL;
}

const struct member *
member_view_find(const struct member_view *v, uint32_t id)
{
	return member_view_get(v, id);
}

bool
member_view_is_current(
    const struct member_view *v, uint32_t id, uint64_t incarnation)
{
	const struct member *m = member_view_get(v, id);

	return m != NULL && m->incarnation == incarnation;
}

uint64_t
member_view_epoch(const struct member_view *v)
{
	return v->epoch;
}

bool
member_view_all_have(const struct member_view *v, uint32_t capabilities)
{
	size_t i;

	for (i = 0; i < v->count; i++)
		if ((v->members[i]->capabilities & capabilities) !=
		    capabilities)
			return false;
	return v->count > 0;
}

uint32_t
member_view_required_capabilities(const struct member_view *v)
{
	return v->required_capabilities;
}

const struct member_shards *
member_view_shards(const struct member_view *v)
{
	return &v->shards;
}

size_t
member_view_count(const struct member_view *v)
{
	return v->count;
}

const struct member *
member_view_at(const struct member_view *v, size_t i)
{
	return v->members[i];
}

bool
member_view_is_supporter(const struct member_view *v, const struct member *m)
{
	return v->count <= MEMBER_ALL_SUPPORT_MAX || m->voter != 0;
}

const uint32_t *
member_view_earlier_supporters(const struct member_view *v, size_t *n)
{
	*n = v->nearlier;
	return v->earlier;
}

/* A command that is being applied. */
struct member_command {
	uint64_t index;
	bool changed; /* it has changed the members */
};

/*
 * Begins the epoch of a command, unless it has begun, and records the members
 * and the supporters of the one that ends. Must be called before the members
 * change.
 */
static void
member_view_begin_epoch(struct member_view *v, struct member_command *c)
{
	size_t i;

	if (c->changed)
		return;
	c->changed = true;
	v->epoch = c->index;
	v->earlier = mem_resize(v->earlier, v->count, sizeof(*v->earlier));
	v->earlier_members =
	    mem_resize(v->earlier_members, v->count, sizeof(uint32_t));
	v->nearlier = 0;
	v->nearlier_members = v->count;
	for (i = 0; i < v->count; i++) {
		v->earlier_members[i] = v->members[i]->id;
		if (member_view_is_supporter(v, v->members[i]))
			v->earlier[v->nearlier++] = v->members[i]->id;
	}
}

const uint32_t *
member_view_earlier_members(const struct member_view *v, size_t *n)
{
	*n = v->nearlier_members;
	return v->earlier_members;
}

static void
member_view_insert(struct member_view *v, struct member *m)
{
	size_t at = member_view_index(v, m->id);

	if (v->count == v->cap) {
		v->cap = v->cap == 0 ? MEMBER_VIEW_INITIAL_CAP : v->cap * 2;
		v->members =
		    mem_resize(v->members, v->cap, sizeof(struct member *));
	}
	memmove(&v->members[at + 1], &v->members[at],
	    (v->count - at) * sizeof(struct member *));
	v->members[at] = m;
	v->count++;
}

static void
member_view_remove(struct member_view *v, uint32_t id)
{
	size_t at = member_view_index(v, id);

	member_destroy(v->members[at]);
	v->count--;
	memmove(&v->members[at], &v->members[at + 1],
	    (v->count - at) * sizeof(struct member *));
}

static void
member_view_forget_removed(struct member_view *v, size_t at)
{
	v->nremoved--;
	for (; at < v->nremoved; at++) {
		v->removed_ids[at] = v->removed_ids[at + 1];
		v->removed_capabilities[at] = v->removed_capabilities[at + 1];
	}
}

/* The position of a removed member; nremoved when it is not kept. */
static size_t
member_view_find_removed(const struct member_view *v, uint32_t id)
{
	size_t i = 0;

	while (i < v->nremoved && v->removed_ids[i] != id)
		i++;
	return i;
}

static void
member_view_keep_removed(
    struct member_view *v, uint32_t id, uint32_t capabilities)
{
	if (v->nremoved == MEMBER_REMOVED_MAX)
		member_view_forget_removed(v, 0);
	v->removed_ids[v->nremoved] = id;
	v->removed_capabilities[v->nremoved++] = capabilities;
}

uint32_t
member_view_last_capabilities(const struct member_view *v, uint32_t id)
{
	const struct member *m = member_view_get(v, id);
	size_t i = member_view_find_removed(v, id);

	if (m != NULL)
		return m->capabilities;
	return i < v->nremoved ? v->removed_capabilities[i] : 0;
}

static struct member *
member_from_info(const Wire__MemberInfo *info)
{
	struct member *m = mem_alloc(1, sizeof(*m));

	m->id = info->id;
	m->incarnation = info->incarnation;
	m->name = mem_string(info->name);
	m->data_centre = mem_string(info->data_centre);
	m->region = mem_string(info->region);
	m->http = mem_string(info->http);
	m->bus = mem_string(info->bus);
	m->voter = info->voter;
	m->leaving = info->leaving;
	m->capabilities = info->capabilities;
	return m;
}

/*
 * Whether a member is described by this information. Capabilities are left
 * out: program versions that do not know them must begin the same epochs.
 */
static bool
member_matches(const struct member *m, const Wire__MemberInfo *info)
{
	return strcmp(m->name, info->name) == 0 &&
	    strcmp(m->data_centre, info->data_centre) == 0 &&
	    strcmp(m->region, info->region) == 0 &&
	    strcmp(m->http, info->http) == 0 &&
	    strcmp(m->bus, info->bus) == 0 && m->voter == info->voter &&
	    m->leaving == info->leaving;
}

/*
 * A member of another incarnation is not replaced: its MemberDown must come
 * first, so that the work it ran has been resolved.
 */
static void
member_view_add(struct member_view *v, struct member_command *c,
    const Wire__MemberInfo *info)
{
	struct member *old = member_view_get(v, info->id), *m;
	uint64_t joined = c->index;
	size_t removed = member_view_find_removed(v, info->id);

	if (info->id == 0)
		return;
	if (old != NULL) {
		if (old->incarnation != info->incarnation)
			return;
		if (member_matches(old, info)) {
			old->capabilities = info->capabilities;
			return;
		}
		joined = old->joined;
	}
	member_view_begin_epoch(v, c);
	m = member_from_info(info);
	m->joined = joined;
	if (old != NULL)
		member_view_remove(v, info->id);
	member_view_insert(v, m);
	if (removed < v->nremoved)
		member_view_forget_removed(v, removed);
}

static void
member_view_delete(struct member_view *v, struct member_command *c, uint32_t id,
    uint64_t incarnation)
{
	const struct member *m = member_view_get(v, id);

	if (m == NULL || m->incarnation != incarnation)
		return;
	member_view_begin_epoch(v, c);
	if (m->voter != 0)
		member_view_keep_removed(v, id, m->capabilities);
	member_view_remove(v, id);
}

static void
member_view_mark_leaving(struct member_view *v, struct member_command *c,
    uint32_t id, uint64_t incarnation)
{
	struct member *m = member_view_get(v, id);

	if (m == NULL || m->incarnation != incarnation || m->leaving)
		return;
	member_view_begin_epoch(v, c);
	m->leaving = true;
}

/* Ends a command. Returns whether it changed the members. */
static bool
member_view_end_command(struct member_view *v, const struct member_command *c)
{
	if (c->changed)
		member_shards_update(&v->shards, v);
	return c->changed;
}

bool
member_view_apply_up(
    struct member_view *v, uint64_t index, const Wire__MemberInfo *info)
{
	struct member_command c = {index, false};

	member_view_add(v, &c, info);
	return member_view_end_command(v, &c);
}

bool
member_view_apply_down(
    struct member_view *v, uint64_t index, uint32_t id, uint64_t incarnation)
{
	struct member_command c = {index, false};

	member_view_delete(v, &c, id, incarnation);
	return member_view_end_command(v, &c);
}

bool
member_view_apply_leave(
    struct member_view *v, uint64_t index, uint32_t id, uint64_t incarnation)
{
	struct member_command c = {index, false};

	member_view_mark_leaving(v, &c, id, incarnation);
	return member_view_end_command(v, &c);
}

bool
member_view_apply_changes(
    struct member_view *v, uint64_t index, const Wire__MemberChanges *changes)
{
	struct member_command c = {index, false};
	size_t i;

	v->required_capabilities |= MEMBER_CAN_MANY_CHANGES;
	for (i = 0; i < changes->n_down; i++)
		member_view_delete(
		    v, &c, changes->down[i]->id, changes->down[i]->incarnation);
	for (i = 0; i < changes->n_up; i++)
		member_view_add(v, &c, changes->up[i]);
	for (i = 0; i < changes->n_leave; i++)
		member_view_mark_leaving(v, &c, changes->leave[i]->id,
		    changes->leave[i]->incarnation);
	return member_view_end_command(v, &c);
}

static void
member_pack(View__Member *to, const struct member *m)
{
	view__member__init(to);
	to->id = m->id;
	to->incarnation = m->incarnation;
	to->name = m->name;
	to->data_centre = m->data_centre;
	to->region = m->region;
	to->http = m->http;
	to->bus = m->bus;
	to->voter = m->voter;
	to->leaving = m->leaving;
	to->joined = m->joined;
	to->capabilities = m->capabilities;
}

void
member_view_save(const struct member_view *v, struct buf *out)
{
	View__View view = VIEW__VIEW__INIT;
	View__Member *items = mem_alloc(v->count, sizeof(*items));
	View__Member **refs = mem_alloc(v->count, sizeof(View__Member *));
	size_t i;

	for (i = 0; i < v->count; i++) {
		member_pack(&items[i], v->members[i]);
		refs[i] = &items[i];
	}
	view.epoch = v->epoch;
	view.members = refs;
	view.n_members = v->count;
	view.earlier_supporters = v->earlier;
	view.n_earlier_supporters = v->nearlier;
	view.earlier_members = v->earlier_members;
	view.n_earlier_members = v->nearlier_members;
	view.shard_owners = (uint32_t *)v->shards.owners;
	view.n_shard_owners = v->shards.count;
	view.required_capabilities = v->required_capabilities;
	view.removed_ids = (uint32_t *)v->removed_ids;
	view.removed_capabilities = (uint32_t *)v->removed_capabilities;
	view.n_removed_ids = view.n_removed_capabilities = v->nremoved;
	seal_pack(out, &view.base);
	free(refs);
	free(items);
}

static struct member *
member_unpack(const View__Member *from)
{
	struct member *m = mem_alloc(1, sizeof(*m));

	m->id = from->id;
	m->incarnation = from->incarnation;
	m->name = mem_string(from->name);
	m->data_centre = mem_string(from->data_centre);
	m->region = mem_string(from->region);
	m->http = mem_string(from->http);
	m->bus = mem_string(from->bus);
	m->voter = from->voter;
	m->leaving = from->leaving;
	m->joined = from->joined;
	m->capabilities = from->capabilities;
	return m;
}

static uint32_t *
copy_ids(const uint32_t *ids, size_t n)
{
	uint32_t *copy = mem_alloc(n, sizeof(*copy));
	size_t i;

	for (i = 0; i < n; i++)
		copy[i] = ids[i];
	return copy;
}

int
member_view_restore(
    struct member_view *v, const char *data, size_t len, struct mp_error *err)
{
	ProtobufCMessage *message;
	const View__View *view;
	size_t i;

	member_view_clear(v);
	message = seal_unpack(&view__view__descriptor, data, len,
	    MP_LAYER_MEMBER, "membership", err);
	if (message == NULL)
		return MP_ERR_CORRUPT;
	view = (const View__View *)message;
	v->epoch = view->epoch;
	v->required_capabilities = view->required_capabilities;
	for (i = 0; i < view->n_members; i++)
		if (member_view_get(v, view->members[i]->id) == NULL)
			member_view_insert(v, member_unpack(view->members[i]));
	v->nearlier = view->n_earlier_supporters;
	v->earlier =
	    copy_ids(view->earlier_supporters, view->n_earlier_supporters);
	v->nearlier_members = view->n_earlier_members;
	v->earlier_members =
	    copy_ids(view->earlier_members, view->n_earlier_members);
	for (i = 0; i < view->n_removed_ids &&
	     i < view->n_removed_capabilities && i < MEMBER_REMOVED_MAX;
	     i++)
		member_view_keep_removed(
		    v, view->removed_ids[i], view->removed_capabilities[i]);
	for (i = 0; i < view->n_shard_owners && i < MEMBER_SHARDS_MAX; i++) {
		v->shards.owners[i] = view->shard_owners[i];
		v->shards.count = (uint32_t)i + 1;
	}
	protobuf_c_message_free_unpacked(message, NULL);
	return MP_OK;
}
