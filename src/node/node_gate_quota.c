#include <stdlib.h>
#include <string.h>

#include "gate/gate_account.h"
#include "node/node_gate.h"
#include "quota/quota_ledger.h"
#include "quota/quota_share.h"
#include "util/mem.h"

/*
 * Quotas of client accounts. A request is charged to its account's quota before
 * an ask for a place is sent.
 *
 * The owner of an account's quota (node_gate_quota_owner.c) grants only while
 * no other instance can be the owner. Entries ask it for tokens in batches
 * (quota/quota_share.h). Without an owner that can be reached, an entry uses
 * the tokens that it holds and then refuses requests as not run.
 */

/* Refused without an answer of the owner: when to come again, and its spread.
 */
#define UNKNOWN_RETRY_MS  300u
#define UNKNOWN_SPREAD_MS 200u
/* Interval of looking for new authorities and exhausted quotas to log. */
#define LOG_INTERVAL_US (100 * 1000ULL)
/* Accounts with counters of their own in the metrics. */
#define METRIC_ACCOUNTS_MAX 32u
/* Longest name of an account in the metrics. */
#define METRIC_NAME_MAX 64

/* By what this instance owns the quotas of a partition. */
struct authority {
	uint64_t number; /* of the epoch, or the term of the leader; 0: none */
	uint64_t since_us;
};

struct gate_quotas {
	struct quota_share *share;
	struct quota_ledger *ledger;
	uint64_t accounts_number; /* of those that were applied; 0: none */
	struct authority authorities[GATE_QUOTA_PARTITIONS];
	uint64_t log_due_us;
	uint64_t asks_answered;
};

void
gate_quota_init(struct node *n)
{
	struct gate_quotas *q = mem_alloc(1, sizeof(*q));

	q->share = quota_share_create();
	q->ledger = quota_ledger_create();
	n->gate->quotas = q;
}

void
gate_quota_destroy(struct node_gate *g)
{
	quota_share_destroy(g->quotas->share);
	quota_ledger_destroy(g->quotas->ledger);
	free(g->quotas);
}

/* ---- configuration ------------------------------------------------------ */

/* A quota without a burst may use one second's tokens at once. */
static struct quota_limit
get_limit(const struct gw_quota *quota)
{
	struct quota_limit limit = {(int)quota->unit, quota->units_per_s,
	    quota->burst,
	    quota->unit == GW_QUOTA_REQUESTS ? 1 : quota->default_tokens};

	if (limit.burst == 0)
		limit.burst = limit.units_per_s;
	return limit;
}

static void
apply_config(struct node *n)
{
	const struct gw_config *config = n->gate->config;
	struct gate_quotas *q = n->gate->quotas;
	struct quota_limit limit;
	size_t i;

	if (config == NULL ||
	    q->accounts_number == gw_config_accounts_number(config))
		return;
	q->accounts_number = gw_config_accounts_number(config);
	for (i = 0; i < config->naccounts; i++) {
		if (config->accounts[i]->quota.units_per_s == 0)
			continue;
		limit = get_limit(&config->accounts[i]->quota);
		quota_share_set(q->share, config->accounts[i]->name, &limit);
		quota_ledger_set(
		    q->ledger, n->now, config->accounts[i]->name, &limit);
	}
	quota_share_sweep(q->share);
	quota_ledger_sweep(q->ledger);
}

/* ---- the owner ---------------------------------------------------------- */

/*
 * Records since when this instance owns a partition. Returns NULL if it does
 * not now.
 */
static const struct authority *
update_authority(struct node *n, uint32_t partition)
{
	struct authority *a = &n->gate->quotas->authorities[partition];
	uint64_t number = gate_quota_get_authority(n, partition);

	if (number == 0)
		return NULL;
	if (number != a->number) {
		a->number = number;
		a->since_us = n->now;
	}
	return a;
}

/* Has entries return what they hold ahead. */
static void
send_recalls(struct node *n, const char *account)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__QuotaGrant message = WIRE__QUOTA_GRANT__INIT;
	const struct quota_grant recall = {0, 0, 0, 0, 0, 0};
	struct gate_quotas *q = n->gate->quotas;
	struct quota_entry entry;

	message.account = (char *)account;
	envelope.body_case = WIRE__ENVELOPE__BODY_QUOTA_GRANT;
	envelope.quota_grant = &message;
	while (quota_ledger_next_recall(q->ledger, account, &entry)) {
		if (entry.process == n->incarnation)
			quota_share_on_grant(
			    q->share, n->now, account, &recall);
		else
			node_peer_reply(
			    n, entry.instance, entry.process, &envelope);
	}
}

static bool
answer(struct node *n, const char *account, struct quota_entry entry,
    const struct quota_ask *ask, struct quota_grant *out)
{
	struct gate_quotas *q = n->gate->quotas;
	const struct authority *a;
	bool has_answer;

	apply_config(n);
	a = update_authority(n, gate_quota_get_partition(account));
	if (a == NULL)
		return false;
	if (quota_ledger_begin(q->ledger, account, a->number, a->since_us))
		node_log(n, NODE_LOG_GATE_QUOTA_OWNER,
		    "{\"account\": \"%s\", \"authority\": %llu}", account,
		    (unsigned long long)(a->number >> 1));
	q->asks_answered++;
	has_answer =
	    quota_ledger_ask(q->ledger, n->now, account, entry, ask, out);
	send_recalls(n, account);
	return has_answer;
}

void
gate_quota_on_ask(struct node *n, uint32_t from, uint64_t incarnation,
    const Wire__QuotaAsk *message)
{
	struct quota_ask ask = {(int)message->unit_plus_one - 1,
	    message->number, message->wanted, message->first, message->forecast,
	    message->ahead, message->returned, message->held};
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__QuotaGrant reply = WIRE__QUOTA_GRANT__INIT;
	struct quota_entry entry = {incarnation, from};
	struct quota_grant grant;

	if (!answer(n, message->account, entry, &ask, &grant))
		return; /* the entry asks again, perhaps another owner */
	reply.account = message->account;
	reply.number = grant.number;
	reply.tokens = grant.tokens;
	reply.lifetime_ms = grant.lifetime_ms;
	reply.wait_ms = grant.wait_ms;
	reply.ahead = grant.ahead;
	reply.ahead_lifetime_ms = grant.ahead_lifetime_ms;
	envelope.body_case = WIRE__ENVELOPE__BODY_QUOTA_GRANT;
	envelope.quota_grant = &reply;
	node_peer_reply(n, from, incarnation, &envelope);
}

/* ---- the entry ---------------------------------------------------------- */

static uint64_t
get_charge(const struct gw_quota *quota, const struct gw_request *request)
{
	if (quota->unit == GW_QUOTA_REQUESTS)
		return 1;
	return request->has_tokens
	    ? (uint64_t)request->prompt_tokens + request->max_tokens
	    : quota->default_tokens;
}

/* Refuses a request, and logs it as the placer does (event 130). */
static void
refuse(struct node *n, const struct quota_decision *d, enum gw_refusal refusal,
    const char *reason, uint32_t retry_ms)
{
	node_log(n, NODE_LOG_GATE_REFUSED,
	    "{\"ask\": %llu, \"entry\": %llu, \"reason\": \"%s\", "
	    "\"account\": \"%s\", \"tokens\": %llu, \"retryMs\": %u}",
	    (unsigned long long)d->request, PLACE_LOG_ENTRY_ID(n->incarnation),
	    reason, d->account, (unsigned long long)d->tokens, retry_ms);
	forward_on_refusal(n->gate->forward, n->now, d->request, refusal,
	    reason, retry_ms, n->fx);
}

static void
take_decision(struct node *n, const struct quota_decision *d)
{
	switch (d->verdict) {
	case QUOTA_ADMITTED:
		forward_on_charged(n->gate->forward, n->now, d->request, n->fx);
		break;
	case QUOTA_EXHAUSTED:
		refuse(n, d, GW_REFUSE_OVER_QUOTA, "over-quota", d->wait_ms);
		break;
	case QUOTA_TOO_LARGE:
		refuse(
		    n, d, GW_REFUSE_OVER_QUOTA, "larger-than-quota-burst", 0);
		break;
	case QUOTA_UNKNOWN:
		refuse(n, d, GW_REFUSE_OVERLOAD, "quota-unknown",
		    UNKNOWN_RETRY_MS +
			(uint32_t)(d->request * 37 % UNKNOWN_SPREAD_MS));
		break;
	case QUOTA_UNIT_CHANGED:
		refuse(n, d, GW_REFUSE_NOT_READY, "quota-unit-changed",
		    GATE_RETRY_AFTER_MS);
		break;
	case QUOTA_WAITING:
		break;
	}
}

bool
gate_quota_charge(
    void *ctx, uint64_t ask, const struct gw_request *request, uint64_t *tokens)
{
	struct node *n = ctx;
	const struct gw_account *account = n->gate->config == NULL
	    ? NULL
	    : gw_config_find_account_by_name(n->gate->config, request->account);
	struct quota_decision d;

	*tokens = 0;
	if (account == NULL || account->quota.units_per_s == 0)
		return true;
	apply_config(n);
	*tokens = get_charge(&account->quota, request);
	d = quota_share_acquire(
	    n->gate->quotas->share, n->now, account->name, ask, *tokens);
	if (d.verdict != QUOTA_ADMITTED && d.verdict != QUOTA_WAITING)
		quota_share_add_decision(n->gate->quotas->share, &d);
	return d.verdict == QUOTA_ADMITTED;
}

void
gate_quota_uncharge(void *ctx, uint64_t ask, const struct gw_request *request,
    uint64_t tokens, bool is_waiting)
{
	struct node *n = ctx;

	if (is_waiting)
		quota_share_cancel(
		    n->gate->quotas->share, request->account, ask);
	else if (tokens > 0)
		quota_share_refund(n->gate->quotas->share, n->now,
		    request->account, request->quota_unit_plus_one - 1, tokens);
}

static void
send_ask(struct node *n, uint32_t owner, const char *account,
    const struct quota_ask *ask)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__QuotaAsk message = WIRE__QUOTA_ASK__INIT;

	message.account = (char *)account;
	message.unit_plus_one = (uint32_t)(ask->unit + 1);
	message.number = ask->number;
	message.wanted = ask->wanted;
	message.first = ask->first;
	message.forecast = ask->forecast;
	message.ahead = ask->ahead;
	message.returned = ask->returned;
	message.held = ask->held;
	envelope.body_case = WIRE__ENVELOPE__BODY_QUOTA_ASK;
	envelope.quota_ask = &message;
	node_peer_send(n, owner, &envelope);
}

/* Asks the owner, which may be this instance. */
static void
ask_owner(struct node *n, const char *account, const struct quota_ask *ask)
{
	uint32_t owner = gate_quota_find_owner(n, account);
	struct quota_entry self = {n->incarnation, n->id};
	struct quota_grant grant;

	if (owner == 0)
		return; /* sent again later */
	if (owner != n->id)
		send_ask(n, owner, account, ask);
	else if (answer(n, account, self, ask, &grant))
		quota_share_on_grant(
		    n->gate->quotas->share, n->now, account, &grant);
}

void
gate_quota_on_grant(struct node *n, const Wire__QuotaGrant *message)
{
	struct quota_grant grant = {message->number, message->tokens,
	    message->lifetime_ms, message->wait_ms, message->ahead,
	    message->ahead_lifetime_ms};

	quota_share_on_grant(
	    n->gate->quotas->share, n->now, message->account, &grant);
}

/* ---- time --------------------------------------------------------------- */

static void
log_exhausted(struct node *n)
{
	struct gate_quotas *q = n->gate->quotas;
	struct quota_account_state s;

	while (quota_ledger_next_change(q->ledger, n->now, &s))
		node_log(n, NODE_LOG_GATE_QUOTA,
		    "{\"account\": \"%s\", \"exhausted\": %s, "
		    "\"granted\": %llu, \"returned\": %llu, "
		    "\"refusedAsks\": %llu, \"outstanding\": %llu}",
		    s.account, s.is_exhausted ? "true" : "false",
		    (unsigned long long)s.granted,
		    (unsigned long long)s.returned,
		    (unsigned long long)s.refused_asks,
		    (unsigned long long)s.outstanding);
}

void
gate_quota_tick(struct node *n)
{
	struct gate_quotas *q = n->gate->quotas;
	uint32_t i;

	apply_config(n);
	if (n->now < q->log_due_us || quota_ledger_count(q->ledger) == 0)
		return;
	q->log_due_us = n->now + LOG_INTERVAL_US;
	for (i = 0; i < GATE_QUOTA_PARTITIONS; i++)
		(void)update_authority(n, i);
	log_exhausted(n);
}

void
gate_quota_run(struct node *n)
{
	struct gate_quotas *q = n->gate->quotas;
	struct quota_decision d;
	struct quota_ask ask;
	const char *account;

	for (;;) {
		/* Before the next ask, as this instance may answer itself. */
		while (quota_share_next_decision(q->share, n->now, &d))
			take_decision(n, &d);
		if (!quota_share_next_ask(q->share, n->now, &account, &ask))
			return;
		ask_owner(n, account, &ask);
	}
}

uint64_t
gate_quota_next_us(const struct node *n)
{
	return quota_share_next_us(n->gate->quotas->share);
}

/* ---- metrics ------------------------------------------------------------ */

static bool
is_plain_name(const char *name)
{
	size_t i;

	for (i = 0; name[i] != '\0'; i++)
		if (name[i] < ' ' || name[i] == '"' || name[i] == '\\')
			return false;
	return i <= METRIC_NAME_MAX;
}

static void
put_counter(
    struct buf *out, const char *name, const char *account, uint64_t value)
{
	if (is_plain_name(account))
		buf_printf(out,
		    "mulberrypath_gate_quota_%s_total{account=\"%s\"} %llu\n",
		    name, account, (unsigned long long)value);
}

void
gate_quota_write_metrics(const struct node *n, struct buf *out)
{
	const struct gate_quotas *q = n->gate->quotas;
	struct quota_share_state s;
	struct quota_account_state a;
	size_t i;

	for (i = 0; i < quota_share_count(q->share) && i < METRIC_ACCOUNTS_MAX;
	     i++) {
		s = quota_share_at(q->share, i);
		put_counter(out, "used", s.account, s.used);
		put_counter(out, "refunded", s.account, s.refunded);
		put_counter(out, "refused", s.account, s.refused);
		put_counter(out, "unknown", s.account, s.unknown);
		put_counter(out, "asks", s.account, s.asks);
	}
	for (i = 0;
	     i < quota_ledger_count(q->ledger) && i < METRIC_ACCOUNTS_MAX;
	     i++) {
		a = quota_ledger_at(q->ledger, i);
		put_counter(out, "granted", a.account, a.granted);
		put_counter(out, "returned", a.account, a.returned);
		put_counter(out, "recalls", a.account, a.recalls);
	}
}
