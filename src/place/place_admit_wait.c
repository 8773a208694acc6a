#include "place/place_admit.h"

/*
 * When a queued request will get room at an engine, and which requests are
 * refused because that is too late.
 */

/* The rate of grants is known after a shortage of this time. */
#define MEASURED_AFTER_US (500 * US_PER_MS)
/* Lower bound of the measured capacity, as a fraction of engine speed. */
#define RATE_PART_MIN 0.05
/*
 * Late requests get at least this part of the capacity, in an estimate: a burst
 * may end before their deadlines.
 */
#define LATE_RATE_PART_MIN 0.25
/*
 * The part of the time to the deadline within which a request must be expected
 * to run. One that must not run twice may use all of it: its caller has no
 * other attempt, so that a wrong refusal costs more.
 */
#define WAIT_PART_REPEATABLE 0.8
#define WAIT_PART_ONCE	     1.0
/* Callers that are refused are asked to return within this time. */
#define RETURN_SPREAD_US (2000 * US_PER_MS)
#define RETURN_MAX_US	 (5000 * US_PER_MS)

double
place_admit_engine_speed(const struct place *p, double *unread_tokens)
{
	const struct place_endpoint *e;
	double speed = 0;
	size_t i;

	*unread_tokens = 0;
	for (i = 0; i < map_count(p->endpoints); i++) {
		e = map_at(p->endpoints, i);
		if (e->engine == NULL || e->is_foreign || e->leaving)
			continue;
		speed += place_endpoint_tokens_per_ms(p, e);
		*unread_tokens += (double)e->unread_tokens;
	}
	return speed;
}

/*
 * Once a shortage of engines has lasted, what was granted tells the capacity,
 * whether prompts, memory or slots limit it. Before that it is the engines'
 * speed.
 */
double
place_admit_capacity(const struct place *p)
{
	const struct place_admit *m = p->admit;
	double unread, speed = place_admit_engine_speed(p, &unread);
	double measured = place_rate_get(&m->grants, p->now_us);

	if (!m->are_engines_short ||
	    p->now_us < m->engines_short_since_us + MEASURED_AFTER_US)
		return speed;
	if (measured < speed * RATE_PART_MIN)
		measured = speed * RATE_PART_MIN;
	return measured < speed ? measured : speed;
}

/*
 * The rate at which late requests of an account run. They come after those in
 * time, and new ones of these keep arriving: what is left is the account's
 * share, or what the others leave if that is more, less its own arrivals.
 */
static double
late_rate(const struct place *p, const struct fair_account *f, double capacity,
    double all_arrivals, double all_weights)
{
	const struct place_admit_account *t = f->context;
	double own = place_rate_get(&t->arrivals, p->now_us);
	double share = capacity * f->weight / all_weights;
	double rest = capacity - (all_arrivals - own);
	double rate = (rest > share ? rest : share) - own;

	return rate > capacity * LATE_RATE_PART_MIN
	    ? rate
	    : capacity * LATE_RATE_PART_MIN;
}

/*
 * Will a queued request probably get no room before its deadline? Not said of a
 * repeat: a late answer is better than a failure.
 */
static bool
misses_deadline(const struct place *p, const struct place_ask *a)
{
	double part =
	    a->kind == GW_IDEMPOTENT ? WAIT_PART_REPEATABLE : WAIT_PART_ONCE;

	if (a->key == NULL || a->endpoint != NULL || a->attempt > 0 ||
	    p->now_us >= a->deadline_us)
		return false;
	return a->room_wait_ms >=
	    (double)(a->deadline_us - p->now_us) / US_PER_MS * part;
}

/*
 * Timely requests before a late one run at the full capacity; its rate is for
 * late ones, and has the timely ones that keep arriving subtracted. One that is
 * going to be refused takes no room from those behind it.
 */
void
place_admit_estimate_waits(struct place *p)
{
	const struct fair_account *f;
	const struct place_admit_account *t;
	double capacity = place_admit_capacity(p);
	double arrivals = 0, weights = 0, timely = 0, late = 0;
	struct place_ask *a;
	uint32_t i;

	for (i = 0; i < fair_active_count(p->admit->fair); i++) {
		f = fair_active_at(p->admit->fair, i);
		t = f->context;
		if (f->queued + f->running == 0)
			continue;
		weights += f->weight;
		arrivals += place_rate_get(&t->arrivals, p->now_us);
	}
	for (a = p->queue_head; a != NULL && capacity > 0; a = a->next) {
		if (a->key == NULL || a->endpoint != NULL)
			continue;
		a->room_wait_ms = a->is_late ? timely / capacity +
			late /
			    late_rate(p, a->share, capacity, arrivals, weights)
					     : (timely + late) / capacity;
		if (misses_deadline(p, a))
			continue;
		*(a->is_late ? &late : &timely) += place_admit_charge(a);
	}
	p->admit->capacity = capacity;
	p->admit->held_ms = capacity > 0 ? (timely + late) / capacity : 0;
}

bool
place_admit_is_hopeless(
    struct place *p, const struct place_ask *a, uint64_t *return_us)
{
	double objective_ms = 0;

	if (!p->admit->is_short || !misses_deadline(p, a))
		return false;
	if (a->target_us > a->asked_us)
		objective_ms = (double)(a->target_us - a->asked_us) / US_PER_MS;
	*return_us = p->now_us;
	if (a->room_wait_ms > objective_ms)
		*return_us +=
		    (uint64_t)((a->room_wait_ms - objective_ms) * US_PER_MS);
	*return_us = place_admit_return_us(p, a, *return_us);
	return true;
}

uint64_t
place_admit_return_us(
    struct place *p, const struct place_ask *a, uint64_t from_us)
{
	struct place_admit *m = p->admit;

	if (from_us > p->now_us + RETURN_MAX_US)
		from_us = p->now_us + RETURN_MAX_US;
	if (m->return_us < from_us || m->return_us > from_us + RETURN_SPREAD_US)
		m->return_us = from_us;
	if (m->capacity > 0)
		m->return_us +=
		    (uint64_t)(place_admit_charge(a) / m->capacity * US_PER_MS);
	return m->return_us;
}
