#include <stdlib.h>

#include "node/node_gate.h"
#include "util/mem.h"

/*
 * Shares of accounts over all owners: each owner tells the others what it has
 * charged accounts since it started. Totals are cumulative, so a later message
 * makes up for a lost one. Without messages an owner is fair by its own charges
 * alone.
 */

/* Accounts' totals per second that one instance receives from all others. */
#define ACCOUNTS_PER_SECOND   320u
#define REPORT_INTERVAL_US    (500 * 1000ULL)
#define REPORTS_PER_SECOND    2u
#define STATE_LOG_INTERVAL_US (1000 * 1000ULL)
/* Accounts that have their own counters. */
#define METRICS_ACCOUNTS_MAX 64u

/* ---- messages ----------------------------------------------------------- */

/* Lists the other owners, without repetition; returns their number. */
static size_t
list_owners(const struct node *n, uint32_t owners[MEMBER_SHARDS_MAX])
{
	const struct member_shards *s = &n->gate->shards;
	size_t i, k, count = 0;

	for (i = 0; i < s->count; i++) {
		for (k = 0; k < count && owners[k] != s->owners[i]; k++)
			;
		if (k == count && s->owners[i] != 0 && s->owners[i] != n->id)
			owners[count++] = s->owners[i];
	}
	return count;
}

/*
 * The number of accounts in one report. With more owners than accounts may be
 * reported, reports are less frequent.
 */
static size_t
report_limit(size_t owners, uint64_t *interval_us)
{
	size_t per_report = ACCOUNTS_PER_SECOND / REPORTS_PER_SECOND;

	*interval_us =
	    REPORT_INTERVAL_US * ((owners + per_report - 1) / per_report);
	return owners >= per_report ? 1 : per_report / owners;
}

static void
send_report(
    struct node *n, const uint32_t *owners, size_t nowners, size_t limit)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__AccountCharges message = WIRE__ACCOUNT_CHARGES__INIT;
	struct place_account_info *accounts =
	    mem_alloc(limit, sizeof(*accounts));
	Wire__AccountCharge *charges = mem_alloc(limit, sizeof(*charges));
	Wire__AccountCharge **list = mem_alloc(limit, sizeof(*list));
	size_t i, count = place_take_charges(n->gate->place, accounts, limit);

	for (i = 0; i < count; i++) {
		wire__account_charge__init(&charges[i]);
		charges[i].account = (char *)accounts[i].name;
		charges[i].charge_milli = accounts[i].charge_milli;
		list[i] = &charges[i];
	}
	message.charges = list;
	message.n_charges = count;
	envelope.body_case = WIRE__ENVELOPE__BODY_ACCOUNT_CHARGES;
	envelope.account_charges = &message;
	for (i = 0; count > 0 && i < nowners; i++)
		node_peer_send(n, owners[i], &envelope);
	free(list);
	free(charges);
	free(accounts);
}

static void
report(struct node *n)
{
	uint32_t owners[MEMBER_SHARDS_MAX];
	uint64_t interval_us;
	size_t count, limit;

	if (n->now < n->gate->fair_report_due_us || !gate_owns_shard(n))
		return;
	count = list_owners(n, owners);
	if (count == 0)
		return;
	limit = report_limit(count, &interval_us);
	n->gate->fair_report_due_us = n->now + interval_us;
	send_report(n, owners, count, limit);
}

void
gate_fair_on_charges(struct node *n, uint32_t from, uint64_t incarnation,
    const Wire__AccountCharges *message)
{
	size_t i;

	if (from == n->id || !gate_owns_shard(n) || !gate_is_owner(n, from))
		return;
	for (i = 0; i < message->n_charges; i++)
		place_set_remote_charge(n->gate->place, n->now, from,
		    incarnation, message->charges[i]->account,
		    message->charges[i]->charge_milli);
}

/* ---- log and metrics ---------------------------------------------------- */

static void
log_gap(struct node *n)
{
	struct place_totals t;
	struct place_gap gap;

	if (n->now < n->gate->fair_log_due_us)
		return;
	n->gate->fair_log_due_us = n->now + STATE_LOG_INTERVAL_US;
	place_get_totals(n->gate->place, &t);
	if (t.held == 0)
		return;
	place_get_gap(n->gate->place, &gap);
	node_log(n, NODE_LOG_GATE_SHARES,
	    "{\"backlogged\": %u, \"held\": %u, \"gap\": %llu, "
	    "\"gapMost\": %llu, \"gapBound\": %llu, \"late\": %u, "
	    "\"refused\": %u}",
	    gap.backlogged, t.held, (unsigned long long)gap.now_milli / 1000,
	    (unsigned long long)gap.largest_milli / 1000,
	    (unsigned long long)gap.bound_milli / 1000, t.late_grants,
	    t.share_refusals);
}

void
gate_fair_tick(struct node *n)
{
	report(n);
	log_gap(n);
}

/* Writes a label's value; Prometheus escapes quotes, backslashes and lines. */
static void
put_label(struct buf *out, const char *text)
{
	for (; *text != '\0'; text++) {
		if (*text == '\n') {
			buf_puts(out, "\\n");
			continue;
		}
		if (*text == '"' || *text == '\\')
			buf_puts(out, "\\");
		buf_printf(out, "%c", *text);
	}
}

static void
put_account_counter(
    const struct place *p, struct buf *out, const char *name, bool granted)
{
	struct place_account_info info;
	size_t i;

	if (place_account_count(p) == 0)
		return;
	buf_printf(out, "# TYPE mulberrypath_gate_%s counter\n", name);
	for (i = 0; i < place_account_count(p) && i < METRICS_ACCOUNTS_MAX;
	     i++) {
		place_account_get(p, i, &info);
		buf_printf(out, "mulberrypath_gate_%s{account=\"", name);
		put_label(out, info.name);
		buf_printf(
		    out, "\"} %u\n", granted ? info.granted : info.refused);
	}
}

void
gate_fair_write_metrics(const struct node *n, struct buf *out)
{
	const struct place *p = n->gate->place;
	struct place_gap gap;
	size_t i;

	place_get_gap(p, &gap);
	const struct {
		const char *name;
		double value;
	} gauges[] = {{"accounts_backlogged", gap.backlogged},
	    {"account_gap_tokens", (double)gap.now_milli / 1000},
	    {"account_gap_most_tokens", (double)gap.largest_milli / 1000},
	    {"account_gap_bound_tokens", (double)gap.bound_milli / 1000}};

	for (i = 0; i < sizeof(gauges) / sizeof(gauges[0]); i++)
		buf_printf(out,
		    "# TYPE mulberrypath_gate_%s gauge\n"
		    "mulberrypath_gate_%s %.17g\n",
		    gauges[i].name, gauges[i].name, gauges[i].value);
	put_account_counter(p, out, "account_granted_total", true);
	put_account_counter(p, out, "account_refused_total", false);
}
