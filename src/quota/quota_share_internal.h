#ifndef MP_QUOTA_QUOTA_SHARE_INTERNAL_H
#define MP_QUOTA_QUOTA_SHARE_INTERNAL_H

#include "quota/quota_share.h"
#include "util/map.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Shared by the files of the entry's side, see quota_share.h. */

#define US_PER_S  1000000.0
#define US_PER_MS 1000ULL

/* Tokens that end at the same time. */
struct quota_lot {
	uint64_t tokens, expires_us;
	bool is_ahead;
};
#define QUOTA_LOTS_MAX 8u

/* A request that waits. */
struct quota_waiter {
	struct quota_waiter *next;
	uint64_t request, tokens, arrived_us;
	uint64_t ends_us; /* it is refused then */
};

struct quota_holding {
	char *name;
	struct quota_limit limit;
	bool is_set; /* since the last sweep */
	bool is_active; /* listed in quota_share.active */
	/* what is held, in order of the end */
	struct quota_lot lots[QUOTA_LOTS_MAX];
	uint32_t nlots;
	/* requests that wait, in order of arrival */
	struct quota_waiter *first, **end;
	size_t nwaiters;
	uint64_t waiting_tokens;
	/* demand */
	double rate_per_us; /* smoothed */
	double slow_rate_per_us; /* smoothed over some seconds */
	double typical; /* tokens of a request, smoothed */
	uint64_t demand_us; /* time of the last request */
	/* the ask under way; number 0: none */
	struct quota_ask ask;
	uint64_t first_sent_us, sent_us;
	bool is_recalled; /* what was granted ahead is to be returned */
	uint64_t ahead_us; /* to ask before all is used; 0: never */
	uint64_t settle_due_us; /* to tell the owner what is held; 0: never */
	/* over the quota */
	uint64_t retry_us; /* no ask for waiting requests before */
	uint64_t refused_until_us; /* new requests are refused without an ask */
	uint64_t promised_us; /* time told to the caller refused last */
	uint64_t used, refunded, refused, unknown, asks;
};

struct quota_share {
	struct map *holdings;
	/* those with something due, so that idle accounts cost nothing */
	struct quota_holding **active;
	size_t nactive, active_size;
	uint64_t last_number;
	bool has_answer; /* an owner has answered an ask */
	/* decisions not returned yet */
	struct quota_decision *decisions;
	size_t ndecisions, next_decision, decisions_size;
};

/* ---- quota_held.c: what is held ---- */
void quota_held_expire(struct quota_holding *h, uint64_t now_us);
uint64_t quota_held(const struct quota_holding *h);
uint64_t quota_held_ahead(const struct quota_holding *h);
void quota_held_add(struct quota_holding *h, uint64_t tokens,
    uint64_t expires_us, bool is_ahead);
/* Takes all that was granted ahead; returns how much. */
uint64_t quota_held_take_ahead(struct quota_holding *h);
/* Takes tokens that are there, those that end first before others. */
void quota_held_take(struct quota_holding *h, uint64_t tokens);
/* Records a request for the forecast. */
void quota_demand_record(
    struct quota_holding *h, uint64_t now_us, uint64_t tokens);
/* Tokens for the demand of the next 300 ms. */
uint64_t quota_demand_forecast(const struct quota_holding *h, uint64_t now_us);
/* Tokens for the demand of the next seconds; 0: there is too little. */
uint64_t quota_demand_ahead(const struct quota_holding *h, uint64_t now_us);
bool quota_demand_is_active(const struct quota_holding *h, uint64_t now_us);

/* ---- quota_share.c ---- */
void quota_share_activate(struct quota_share *s, struct quota_holding *h);

/* ---- quota_share_ask.c ---- */
/* Has tokens asked for before all are used, if that pays: at high rates. */
void quota_ask_ahead(struct quota_holding *h, uint64_t now_us);
/* When an ask is due, or the ask under way is to be sent again. */
uint64_t quota_ask_due_us(const struct quota_holding *h);

#ifdef __cplusplus
}
#endif

#endif
