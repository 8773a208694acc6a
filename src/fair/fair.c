#include <stdlib.h>

#include "fair/fair_internal.h"
#include "util/mem.h"

/* Accounts: their list, the return from idle, and the gap in service. */

#define MILLI 1000.0

static void
account_free(struct fair *f, struct fair_account *a)
{
	if (f->options.free_context != NULL && a->context != NULL)
		f->options.free_context(a->context);
	free(a->remotes);
	free(a->name);
	free(a);
}

struct fair *
fair_create(const struct fair_options *options)
{
	struct fair *f = mem_alloc(1, sizeof(*f));

	f->options = *options;
	if (f->options.guards == NULL)
		f->options.guards = &fair_guards;
	f->accounts = map_create();
	return f;
}

void
fair_destroy(struct fair *f)
{
	size_t i;

	if (f == NULL)
		return;
	for (i = 0; i < map_count(f->accounts); i++)
		account_free(f, map_at(f->accounts, i));
	map_destroy(f->accounts);
	free(f->active);
	free(f);
}

struct fair_account *
fair_find(const struct fair *f, const char *name)
{
	return map_get_str(f->accounts, name);
}

struct fair_account *
fair_get(struct fair *f, const char *name)
{
	struct fair_account *a = fair_find(f, name);

	if (a != NULL)
		return a;
	a = mem_alloc(1, sizeof(*a));
	a->name = mem_string(name);
	a->weight = 1.0;
	(void)map_set_str(f->accounts, name, a);
	return a;
}

size_t
fair_count(const struct fair *f)
{
	return map_count(f->accounts);
}

struct fair_account *
fair_at(const struct fair *f, size_t i)
{
	return map_at(f->accounts, i);
}

uint32_t
fair_active_count(const struct fair *f)
{
	return f->nactive;
}

struct fair_account *
fair_active_at(const struct fair *f, uint32_t i)
{
	return f->active[i];
}

bool
fair_may_run(const struct fair_account *a)
{
	return a->max_running == 0 || a->running < a->max_running;
}

static bool
is_busy(const struct fair_account *a)
{
	return a->queued > 0 || a->running > 0;
}

static bool
is_backlogged(const struct fair_account *a)
{
	return a->queued > a->blocked && fair_may_run(a);
}

bool
fair_least_counter(const struct fair *f, double *least)
{
	const struct fair_account *a;
	bool found = false;
	uint32_t i;

	for (i = 0; i < f->nactive; i++) {
		a = f->active[i];
		if (!is_busy(a))
			continue;
		if (!found || a->counter < *least)
			*least = a->counter;
		found = true;
	}
	return found;
}

static void
list_active(struct fair *f, struct fair_account *a)
{
	if (f->nactive == f->active_cap) {
		f->active_cap = f->active_cap == 0 ? 8 : f->active_cap * 2;
		f->active = mem_resize(
		    f->active, f->active_cap, sizeof(struct fair_account *));
	}
	a->is_active = true;
	a->active_index = f->nactive;
	f->active[f->nactive++] = a;
}

void
fair_activate(struct fair *f, struct fair_account *a)
{
	double least = 0.0;

	if (!is_busy(a) && f->options.guards->lift) {
		if (fair_least_counter(f, &least) && least > f->counter_floor)
			f->counter_floor = least;
		if (a->counter < f->counter_floor)
			a->counter = f->counter_floor;
	}
	if (!a->is_active)
		list_active(f, a);
}

void
fair_deactivate(struct fair *f, struct fair_account *a)
{
	uint32_t i = a->active_index;

	if (!a->is_active)
		return;
	a->is_active = false;
	f->active[i] = f->active[--f->nactive];
	f->active[i]->active_index = i;
}

/* When no account is busy any more, the counter of the last is the floor. */
void
fair_note_idle(struct fair *f, const struct fair_account *a)
{
	double least = 0.0;

	if (is_busy(a) || fair_least_counter(f, &least))
		return;
	if (a->counter > f->counter_floor)
		f->counter_floor = a->counter;
}

void
fair_touch(struct fair_account *a, uint64_t now_us)
{
	a->used_us = now_us;
}

void
fair_sweep(struct fair *f, uint64_t now_us)
{
	struct fair_account *a;
	size_t i = map_count(f->accounts);

	while (i-- > 0) {
		a = map_at(f->accounts, i);
		if (is_busy(a) || now_us < a->used_us + FAIR_IDLE_US)
			continue;
		fair_deactivate(f, a);
		(void)map_remove_str(f->accounts, a->name);
		account_free(f, a);
	}
}

/* ---- the gap ------------------------------------------------------------ */

/*
 * Find the least and the most service that backlogged accounts have received;
 * returns their number.
 */
static uint32_t
find_service_range(const struct fair *f, double *least, double *most)
{
	const struct fair_account *a;
	uint32_t i, count = 0;

	for (i = 0; i < f->nactive; i++) {
		a = f->active[i];
		if (!is_backlogged(a))
			continue;
		if (count == 0 || a->service < *least)
			*least = a->service;
		if (count == 0 || a->service > *most)
			*most = a->service;
		count++;
	}
	return count;
}

void
fair_start_backlog(struct fair *f, struct fair_account *a)
{
	double least = 0.0, most = 0.0;

	if (a->queued > a->blocked || find_service_range(f, &least, &most) == 0)
		return;
	if (a->service < least)
		a->service = least;
	if (a->service > most)
		a->service = most;
}

void
fair_update_gap(struct fair *f)
{
	double least = 0.0, most = 0.0, milli;

	f->backlogged = find_service_range(f, &least, &most);
	milli = (most - least) * MILLI;
	f->gap_milli = (uint64_t)milli;
	if (milli > (double)f->largest_gap_milli)
		f->largest_gap_milli = (uint64_t)milli;
}

void
fair_get_gap(const struct fair *f, struct fair_gap *out)
{
	double bound =
	    f->largest_bound + f->largest_part + f->largest_unsettled;

	out->now_milli = f->gap_milli;
	out->largest_milli = f->largest_gap_milli;
	if (f->has_remote)
		bound += REMOTE_BOUNDS_MAX * f->largest_bound;
	out->bound_milli = (uint64_t)(bound * MILLI);
	out->backlogged = f->backlogged;
}
