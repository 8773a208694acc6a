#include "fair/fair_internal.h"
#include "util/mem.h"

/* Charges of this instance and of other owners. */

#define MEAN_WEIGHT 0.05 /* of the newest value in a mean */
#define MILLI	    1000.0

/* In deficit bounds: how far a counter may lie below a served account's. */
#define CREDIT_BOUNDS_MAX 8.0

double
fair_bound(const struct fair *f)
{
	return f->options.bound_requests * f->mean_charge;
}

bool
fair_may_go_first(
    const struct fair *f, const struct fair_account *a, double least)
{
	return !f->options.guards->bound || a->counter <= least + fair_bound(f);
}

/*
 * Limit the credit of accounts that could not be served.
 *
 * counter: of an account that was served.
 */
static void
limit_credit(struct fair *f, double counter)
{
	double least = counter - CREDIT_BOUNDS_MAX * fair_bound(f);
	uint32_t i;

	for (i = 0; i < f->nactive; i++)
		if (f->active[i]->counter < least)
			f->active[i]->counter = least;
}

static void
raise(double *largest, double value)
{
	if (value > *largest)
		*largest = value;
}

void
fair_charge(struct fair *f, struct fair_account *a, double charge)
{
	double part = charge / a->weight;

	a->counter += part;
	a->service += part;
	a->provisional += charge;
	if (charge <= 0.0)
		return;
	f->mean_charge += f->mean_charge == 0.0
	    ? part
	    : MEAN_WEIGHT * (part - f->mean_charge);
	raise(&f->largest_part, part);
	raise(&f->largest_bound, fair_bound(f));
	raise(&f->largest_unsettled, a->provisional / a->weight);
	if (f->options.guards->bound)
		limit_credit(f, a->counter);
}

void
fair_settle(
    struct fair *f, struct fair_account *a, double provisional, double final)
{
	(void)f;
	a->counter += (final - provisional) / a->weight;
	a->service += (final - provisional) / a->weight;
	a->provisional -= provisional;
	a->charge_milli += (uint64_t)(final * MILLI + 0.5);
}

static struct fair_remote *
find_remote(struct fair_account *a, uint32_t owner)
{
	size_t i;

	for (i = 0; i < a->nremotes; i++)
		if (a->remotes[i].owner == owner)
			return &a->remotes[i];
	return NULL;
}

static struct fair_remote *
add_remote(struct fair_account *a, uint32_t owner)
{
	struct fair_remote *r;

	a->remotes =
	    mem_resize(a->remotes, a->nremotes + 1, sizeof(*a->remotes));
	r = &a->remotes[a->nremotes++];
	r->owner = owner;
	return r;
}

/* Raise a counter by a remote charge, to at most a limit above the least. */
static void
add_remote_part(struct fair *f, struct fair_account *a, double part)
{
	double least = 0.0, limit;

	if (!fair_least_counter(f, &least) || least < f->counter_floor)
		least = f->counter_floor;
	limit = least + REMOTE_BOUNDS_MAX * fair_bound(f);
	if (f->options.guards->remote && a->counter + part > limit)
		part = a->counter < limit ? limit - a->counter : 0.0;
	a->counter += part;
}

void
fair_set_remote_charge(struct fair *f, uint32_t owner, uint64_t process,
    struct fair_account *a, uint64_t total_milli)
{
	struct fair_remote *r = find_remote(a, owner);
	uint64_t before;

	if (r == NULL || r->process != process) {
		r = r == NULL ? add_remote(a, owner) : r;
		r->process = process;
		r->total_milli = total_milli;
		return;
	}
	f->has_remote = true;
	before = r->total_milli;
	r->total_milli = total_milli;
	if (total_milli > before)
		add_remote_part(
		    f, a, (double)(total_milli - before) / MILLI / a->weight);
}
