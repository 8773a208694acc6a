#include "quota/quota_guard.h"
#include "quota/quota_share_internal.h"

/* Asks of an entry to the owners of quotas, and their answers. */

#define RESEND_US (100 * US_PER_MS)
/*
 * Time after an answer at which the owner is told what is still held, if
 * nothing was asked for before: what is used makes room in the bucket, and
 * what is not needed is given back.
 */
#define SETTLE_US (300 * US_PER_MS)
/*
 * Requests go on waiting if the quota has enough for them after this time;
 * otherwise they are refused at once.
 */
#define SHORT_WAIT_MS 100u
/*
 * New requests are refused without an ask for this time after a refusal: 20
 * asks a second of an entry whose account sends too much, and little time in
 * which it uses nothing of its quota.
 */
#define REFUSED_US (50 * US_PER_MS)

/* The end of a grant whose ask was sent at a time, by this entry's clock. */
static uint64_t
grant_end_us(uint64_t sent_us, uint32_t lifetime_ms)
{
	return sent_us + (uint64_t)lifetime_ms * (1000 - QUOTA_DRIFT_PERMILLE);
}

/* Whether tokens for the next 300 ms are worth an ask of their own. */
static bool
is_fast(const struct quota_holding *h, uint64_t forecast)
{
	return (double)forecast >= 2 * h->typical;
}

void
quota_ask_ahead(struct quota_holding *h, uint64_t now_us)
{
	uint64_t forecast = quota_demand_forecast(h, now_us);

	if (is_fast(h, forecast) && quota_held(h) < forecast / 2)
		h->ahead_us = now_us;
}

static uint64_t
later(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

uint64_t
quota_ask_due_us(const struct quota_holding *h)
{
	uint64_t due = UINT64_MAX;

	if (h->ask.number != 0)
		return h->sent_us + RESEND_US;
	if (h->first != NULL)
		due = later(h->retry_us, h->first->arrived_us);
	else if (h->ahead_us != 0)
		due = later(h->retry_us, h->ahead_us);
	if (h->settle_due_us != 0 && h->settle_due_us < due)
		due = h->settle_due_us;
	return due;
}

/*
 * What is held beyond the forecast goes back when it was not used for
 * SETTLE_US, at the latest.
 */
static uint64_t
excess(const struct quota_holding *h, uint64_t now_us)
{
	uint64_t held = quota_held(h);
	uint64_t kept = quota_demand_forecast(h, now_us);
	bool is_settling = h->settle_due_us != 0 && now_us >= h->settle_due_us;

	if (h->first != NULL)
		return 0;
	if (!is_settling)
		kept = kept * 2 + (uint64_t)h->typical;
	else if ((double)kept < h->typical)
		kept = 0; /* no request could use it */
	return held > kept ? held - kept : 0;
}

static uint64_t
missing_forecast(const struct quota_holding *h, uint64_t now_us)
{
	uint64_t wanted = quota_demand_forecast(h, now_us);
	uint64_t held = quota_held(h);

	if (!quota_demand_is_active(h, now_us))
		return 0;
	if ((double)wanted < h->typical)
		wanted = (uint64_t)h->typical;
	return wanted > held ? wanted - held : 0;
}

static void
begin_ask(struct quota_share *s, struct quota_holding *h, uint64_t now_us)
{
	struct quota_ask *ask = &h->ask;
	uint64_t held;

	*ask = (struct quota_ask){
	    .unit = h->limit.unit, .number = ++s->last_number};
	if (h->first != NULL && !is_fast(h, quota_demand_forecast(h, now_us)))
		ask->ahead = quota_demand_ahead(h, now_us);
	if (ask->ahead > 0 || h->is_recalled) {
		/*
		 * A rest that is too small for the waiting request is changed
		 * for a new grant. Used, it would stay outstanding for long.
		 */
		h->is_recalled = false;
		ask->returned = quota_held_take_ahead(h);
	} else {
		ask->returned = excess(h, now_us);
		quota_held_take(h, ask->returned);
	}
	quota_held_expire(h, now_us);
	held = ask->held = quota_held(h);
	if (h->first != NULL) {
		ask->wanted =
		    h->waiting_tokens > held ? h->waiting_tokens - held : 0;
		ask->first =
		    h->first->tokens > held ? h->first->tokens - held : 0;
	}
	if ((ask->returned == 0 || ask->ahead > 0) &&
	    (h->first != NULL || h->ahead_us != 0))
		ask->forecast = missing_forecast(h, now_us);
	h->first_sent_us = h->sent_us = now_us;
	h->settle_due_us = h->ahead_us = 0;
	h->asks++;
}

/*
 * Sends the ask under way once more, or gives it up: a grant for it would have
 * ended.
 */
static bool
resend(struct quota_holding *h, uint64_t now_us)
{
	if (now_us >= grant_end_us(h->first_sent_us, QUOTA_LIFETIME_MS)) {
		h->ask.number = 0;
		return false;
	}
	h->sent_us = now_us;
	h->asks++;
	return true;
}

/* Whether an ask is to be sent now, which is then in h->ask. */
static bool
take_ask(struct quota_share *s, struct quota_holding *h, uint64_t now_us)
{
	if (now_us < quota_ask_due_us(h))
		return false;
	quota_held_expire(h, now_us);
	if (h->ask.number != 0 && resend(h, now_us))
		return true;
	if (h->ask.number != 0 || now_us < quota_ask_due_us(h))
		return false;
	begin_ask(s, h, now_us);
	return true;
}

/*
 * An ask for nothing only tells what is held, and is not answered. If it is
 * lost, the owner takes what was returned as used.
 */
static void
end_settling(struct quota_holding *h, uint64_t now_us)
{
	h->ask.number = 0;
	if (h->ask.held > 0)
		h->settle_due_us = now_us + SETTLE_US;
}

bool
quota_share_next_ask(struct quota_share *s, uint64_t now_us,
    const char **account, struct quota_ask *out)
{
	struct quota_holding *h;
	size_t i;

	for (i = s->nactive; i-- > 0;) {
		h = s->active[i];
		if (take_ask(s, h, now_us)) {
			*account = h->name;
			*out = h->ask;
			if (out->wanted + out->forecast == 0)
				end_settling(h, now_us);
			return true;
		}
		if (h->first == NULL && quota_ask_due_us(h) == UINT64_MAX) {
			h->is_active = false;
			s->active[i] = s->active[--s->nactive];
		}
	}
	return false;
}

static void
note_wait(struct quota_holding *h, uint64_t now_us, uint32_t wait_ms)
{
	h->promised_us = now_us + wait_ms * US_PER_MS;
	if (wait_ms <= SHORT_WAIT_MS) {
		h->retry_us = now_us + wait_ms * US_PER_MS;
		return;
	}
	h->refused_until_us = now_us + REFUSED_US;
	h->retry_us = h->refused_until_us;
}

/*
 * Whether the owner should be told soon what is left of a grant. What waiting
 * requests use of a grant that ends soon anyway, and what was granted ahead,
 * are not worth a message.
 */
static bool
needs_settling(const struct quota_holding *h, const struct quota_grant *grant)
{
	uint64_t held = quota_held(h) - quota_held_ahead(h);

	return held > h->waiting_tokens ||
	    (held > 0 && grant->lifetime_ms > QUOTA_LARGE_LIFETIME_MS);
}

/* The owner wants back what it granted ahead. */
static void
on_recall(struct quota_share *s, struct quota_holding *h, uint64_t now_us)
{
	quota_held_expire(h, now_us);
	if (quota_held_ahead(h) == 0)
		return;
	h->is_recalled = true;
	h->settle_due_us = now_us;
	quota_share_activate(s, h);
}

void
quota_share_on_grant(struct quota_share *s, uint64_t now_us,
    const char *account, const struct quota_grant *grant)
{
	struct quota_holding *h = map_get_str(s->holdings, account);
	uint64_t end_us;

	if (h != NULL && grant->number == 0)
		on_recall(s, h, now_us);
	if (h == NULL ||
	    (quota_guards.late && grant->number != h->ask.number) ||
	    grant->number == 0)
		return;
	h->ask.number = 0;
	s->has_answer = true;
	quota_share_activate(s, h);
	quota_held_expire(h, now_us);
	end_us = grant_end_us(h->first_sent_us, grant->lifetime_ms);
	if (now_us < end_us)
		quota_held_add(h, grant->tokens, end_us, false);
	if (grant->ahead > 0) {
		end_us =
		    grant_end_us(h->first_sent_us, grant->ahead_lifetime_ms);
		quota_held_add(h, grant->ahead, end_us, true);
	}
	h->retry_us = h->refused_until_us = 0;
	if (grant->wait_ms > 0)
		note_wait(h, now_us, grant->wait_ms);
	if (h->is_recalled)
		h->settle_due_us = now_us;
	else if (needs_settling(h, grant))
		h->settle_due_us = now_us + SETTLE_US;
}
