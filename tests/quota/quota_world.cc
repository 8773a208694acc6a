#include "quota/quota_world.h"

#include <algorithm>

static const uint64_t kMs = 1000;
/* Upper bound of the true lifetime of a grant. */
static const uint64_t kLifeUs = 1120 * kMs;
static const uint64_t kAheadLifeUs = 5600 * kMs;
static const uint64_t kRefundUs = 400 * kMs;

QuotaWorld::QuotaWorld(const Options &o) : options(o), random(o.seed)
{
	owners.resize(3);
	for (auto &owner_state : owners) {
		owner_state.ledger = quota_ledger_create();
		owner_state.clock_us = (double)(now_us + below(100000000));
		if (o.faults)
			owner_state.clock_rate =
			    0.95 + (double)below(101) / 1000;
	}
	for (int i = 0; i < o.accounts; i++) {
		Account a;
		a.name = "account-" + std::to_string(names++);
		a.limit = {0, o.rate, o.burst, o.usual};
		accounts.push_back(a);
		record_rates(a);
	}
	entries.resize((size_t)(o.entries + o.hoarders));
	for (size_t i = 0; i < entries.size(); i++) {
		entries[i].is_hoarder = (int)i >= o.entries;
		entries[i].clock_us = (double)(now_us + below(100000000));
		if (o.faults)
			entries[i].clock_rate =
			    0.95 + (double)below(101) / 1000;
		start_entry(entries[i]);
	}
	for (auto &owner_state : owners)
		configure_owner(owner_state);
	owners[0].authority = last_authority;
	owners[0].since_us = (uint64_t)owners[0].clock_us;
	load = [](int, int, uint64_t) { return 0.6; };
	size = [](std::mt19937_64 &) { return (uint64_t)1; };
}

QuotaWorld::~QuotaWorld()
{
	for (auto &e : entries)
		quota_share_destroy(e.share);
	for (auto &o : owners)
		quota_ledger_destroy(o.ledger);
}

void
QuotaWorld::start_entry(Entry &e)
{
	quota_share_destroy(e.share);
	e.share = quota_share_create();
	e.process = ++last_process;
	e.last_number = e.stopped_number = 0;
	e.hoards.clear();
	e.open.clear();
	e.late.clear();
	e.refunds.clear();
	configure_entry(e);
}

/* After a change of the unit, or a lower quota, some of it may not be used. */
void
QuotaWorld::apply_limit(Hoard &h, const quota_limit &limit)
{
	bool is_other = limit.unit != h.limit.unit;
	bool is_lower = limit.units_per_s < h.limit.units_per_s ||
	    limit.burst < h.limit.burst;

	h.limit = limit;
	if (!is_other && !is_lower)
		return;
	h.ask.number = 0;
	h.lots.erase(
	    std::remove_if(h.lots.begin(), h.lots.end(),
		[&](const Lot &lot) { return is_other || lot.is_ahead; }),
	    h.lots.end());
}

void
QuotaWorld::configure_entry(Entry &e)
{
	std::map<std::string, Hoard> kept;

	for (auto &a : accounts) {
		if (!a.exists)
			continue;
		quota_share_set(e.share, a.name.c_str(), &a.limit);
		kept[a.name] = e.hoards[a.name];
		apply_limit(kept[a.name], a.limit);
	}
	quota_share_sweep(e.share);
	e.hoards = kept;
	/* Requests of accounts without a quota are of no interest. */
	for (auto open = e.open.begin(); open != e.open.end();)
		if (kept.count(open->second.account) == 0)
			open = e.open.erase(open);
		else
			++open;
	e.config_due_us = 0;
}

void
QuotaWorld::configure_owner(Owner &o)
{
	for (auto &a : accounts)
		if (a.exists)
			quota_ledger_set(o.ledger, (uint64_t)o.clock_us,
			    a.name.c_str(), &a.limit);
	quota_ledger_sweep(o.ledger);
}

void
QuotaWorld::configure_all()
{
	for (auto &o : owners)
		configure_owner(o);
	for (auto &e : entries)
		e.config_due_us = now_us + 1 + below(300 * kMs);
}

void
QuotaWorld::record_rates(const Account &a)
{
	records[record_name(a.name, a.limit.unit)].rates.push_back(
	    {now_us, (double)a.limit.units_per_s, (double)a.limit.burst});
}

void
QuotaWorld::use(const std::string &account, uint64_t tokens)
{
	totals.used += tokens;
	records[account].uses.push_back({now_us, tokens});
}

void
QuotaWorld::slack(const std::string &account, uint64_t from_us, uint64_t to_us,
    uint64_t tokens)
{
	records[account].slacks.push_back({from_us, to_us, tokens});
}

void
QuotaWorld::forget_totals()
{
	totals = Totals();
}

/* ---- messages ----------------------------------------------------------- */

void
QuotaWorld::send(const Message &m)
{
	uint64_t at_us = now_us + options.one_way_us;
	int copies = 1;

	totals.messages++;
	if (options.faults) {
		if (now_us < entries[(size_t)m.entry].cut_until_us ||
		    chance(0.03))
			return;
		copies += chance(options.double_share);
	}
	while (copies-- > 0) {
		if (options.faults && chance(options.late_share))
			at_us += below(1500 * kMs);
		network.insert({at_us, m});
	}
}

void
QuotaWorld::deliver(const Message &m)
{
	Entry &e = entries[(size_t)m.entry];
	Owner &o = owners[(size_t)m.owner];
	Message reply = m;

	if (!m.is_ask) {
		if (m.process != e.process)
			return;
		if (now_us < e.paused_until_us)
			e.late.push_back({m.account, m.grant});
		else
			on_grant(e, m.account, m.grant);
		return;
	}
	if (now_us < o.paused_until_us) {
		network.insert({o.paused_until_us, m});
		return;
	}
	if (o.authority == 0)
		return;
	quota_ledger_begin(
	    o.ledger, m.account.c_str(), o.authority, o.since_us);
	reply.is_ask = false;
	if (quota_ledger_ask(o.ledger, (uint64_t)o.clock_us, m.account.c_str(),
		{m.process, (uint32_t)m.entry}, &m.ask, &reply.grant))
		send(reply);
	send_recalls(m);
}

void
QuotaWorld::send_recalls(const Message &ask)
{
	quota_ledger *ledger = owners[(size_t)ask.owner].ledger;
	Message recall = ask;
	quota_entry to;

	recall.is_ask = false;
	recall.grant = {};
	while (quota_ledger_next_recall(ledger, ask.account.c_str(), &to)) {
		recall.entry = (int)to.instance;
		recall.process = to.process;
		send(recall);
	}
}

void
QuotaWorld::on_grant(Entry &e, const std::string &account, const quota_grant &g)
{
	auto clock_us = (uint64_t)e.clock_us;

	if (g.number <= e.stopped_number)
		slack(record_name(account, unit_at(e, account)), now_us,
		    now_us + kAheadLifeUs, g.tokens + g.ahead);
	if (!e.is_hoarder) {
		quota_share_on_grant(e.share, clock_us, account.c_str(), &g);
		take_decisions(e);
		return;
	}
	auto h = e.hoards.find(account);
	/* It never returns what is recalled: the owner may not rely on that. */
	if (h == e.hoards.end() || h->second.ask.number != g.number ||
	    g.number == 0)
		return;
	h->second.ask.number = 0;
	h->second.lots.push_back({g.tokens,
	    h->second.first_sent_us + (uint64_t)g.lifetime_ms * 950, false});
	h->second.lots.push_back({g.ahead,
	    h->second.first_sent_us + (uint64_t)g.ahead_lifetime_ms * 950,
	    true});
}

/* ---- entries ------------------------------------------------------------ */

void
QuotaWorld::admitted(Entry &e, const std::string &account, int unit,
    uint64_t tokens, uint64_t waited_us)
{
	totals.waits_us.push_back((uint32_t)waited_us);
	if (chance(options.refund_share))
		e.refunds.push_back({now_us + below(700 * kMs), account, unit,
		    tokens, e.process});
	else
		use(record_name(account, unit), tokens);
}

void
QuotaWorld::take_decisions(Entry &e)
{
	quota_decision d;

	while (quota_share_next_decision(e.share, (uint64_t)e.clock_us, &d)) {
		auto open = e.open.find(d.request);
		if (open == e.open.end())
			continue;
		if (d.verdict == QUOTA_ADMITTED)
			admitted(e, open->second.account, open->second.unit,
			    open->second.tokens,
			    now_us - open->second.since_us);
		else if (d.verdict == QUOTA_UNKNOWN ||
		    d.verdict == QUOTA_UNIT_CHANGED)
			totals.unknown++;
		else
			totals.refused++;
		if (d.verdict == QUOTA_EXHAUSTED)
			totals.retry_ms.push_back(d.wait_ms);
		e.open.erase(open);
	}
}

void
QuotaWorld::arrive(size_t i, size_t account)
{
	Entry &e = entries[i];
	Account &a = accounts[account];
	uint64_t tokens = size(random), request = ++last_request;
	int unit = unit_at(e, a.name);

	if (e.hoards.count(a.name) == 0)
		return; /* not known there yet */
	tokens *= units(unit);
	totals.offered += tokens;
	quota_decision d = quota_share_acquire(
	    e.share, (uint64_t)e.clock_us, a.name.c_str(), request, tokens);
	if (d.verdict == QUOTA_ADMITTED) {
		admitted(e, a.name, unit, tokens, 0);
	} else if (d.verdict == QUOTA_WAITING) {
		e.open[request] = {a.name, unit, tokens, now_us};
	} else {
		totals.refused++;
		if (d.verdict == QUOTA_EXHAUSTED)
			totals.retry_ms.push_back(d.wait_ms);
	}
}

void
QuotaWorld::hoard_ask(size_t i, const std::string &name, Hoard &h)
{
	Entry &e = entries[i];
	auto clock_us = (uint64_t)e.clock_us;
	bool is_open = h.ask.number != 0;
	Message m = {};

	if (is_open && clock_us < h.sent_us + 100 * kMs)
		return;
	if (is_open && chance(0.5)) {
		h.sent_us = clock_us;
	} else {
		uint64_t factor = units(h.limit.unit);

		h.ask = {};
		h.ask.unit = h.limit.unit;
		h.ask.number = ++e.last_number;
		for (auto &lot : h.lots)
			h.ask.held += lot.tokens;
		if (!h.lots.empty() && chance(0.2)) {
			h.ask.returned = h.lots.back().tokens;
			h.ask.held -= h.ask.returned;
			h.lots.pop_back();
		}
		h.ask.wanted = 1 +
		    below(factor *
			(chance(0.3) ? options.burst : options.burst / 4 + 1));
		if (options.hoards_forecasts)
			h.ask.wanted = 1;
		h.ask.first = 1;
		if (chance(0.3)) /* only says what it holds */
			h.ask.wanted = h.ask.first = 0;
		h.ask.forecast =
		    h.ask.wanted == 0 ? 0 : below(factor * options.burst);
		h.ask.ahead = h.ask.wanted > 0 && options.hoards_ahead
		    ? below(factor * options.burst)
		    : 0;
		h.first_sent_us = h.sent_us = clock_us;
	}
	m.entry = (int)i;
	m.owner = e.owner;
	m.is_ask = true;
	m.process = e.process;
	m.account = name;
	m.ask = h.ask;
	send(m);
	if (m.ask.wanted + m.ask.forecast == 0)
		h.ask.number = 0; /* not answered */
}

/* Keeps the contract of an entry, and uses all that it holds at once. */
void
QuotaWorld::step_hoarder(size_t i)
{
	Entry &e = entries[i];
	auto clock_us = (uint64_t)e.clock_us;

	for (auto &item : e.hoards) {
		Hoard &h = item.second;
		uint64_t phase = now_us / kMs % options.hoard_period_ms;
		bool spends = phase - options.hoard_phase_ms < 3;
		uint64_t sum = 0;

		h.lots.erase(std::remove_if(h.lots.begin(), h.lots.end(),
				 [&](const Lot &lot) {
					 return lot.tokens == 0 ||
					     clock_us >= lot.end_us;
				 }),
		    h.lots.end());
		for (auto &lot : h.lots)
			if (spends || lot.end_us <= clock_us + 3 * kMs) {
				sum += lot.tokens;
				lot.tokens = 0;
			}
		if (sum > 0)
			use(record_name(item.first, h.limit.unit), sum);
		/* With tokens in hand it seldom says so. */
		if (chance(h.lots.size() < 2 ? 0.05 : 0.002) ||
		    h.ask.number != 0)
			hoard_ask(i, item.first, h);
	}
}

void
QuotaWorld::step_entry(size_t i)
{
	Entry &e = entries[i];
	const char *name;
	Message m = {};

	if (e.config_due_us != 0 && now_us >= e.config_due_us)
		configure_entry(e);
	if (now_us >= e.knows_owner_from_us)
		e.owner = owner;
	for (auto &late : e.late)
		on_grant(e, late.first, late.second);
	e.late.clear();
	if (e.is_hoarder) {
		step_hoarder(i);
		return;
	}
	for (size_t k = e.refunds.size(); k-- > 0;) {
		Refund r = e.refunds[k];
		if (now_us < r.at_us)
			continue;
		quota_share_refund(e.share, (uint64_t)e.clock_us,
		    r.account.c_str(), r.unit, r.tokens);
		slack(record_name(r.account, r.unit), now_us,
		    now_us + kRefundUs, r.tokens);
		e.refunds.erase(e.refunds.begin() + (long)k);
	}
	for (size_t k = 0; k < accounts.size(); k++)
		for (double p = load((int)i, (int)k, now_us / kMs) / 1000;
		     p > 0 && accounts[k].exists; p -= 1)
			if (chance(p))
				arrive(i, k);
	take_decisions(e);
	while (quota_share_next_ask(
	    e.share, (uint64_t)e.clock_us, &name, &m.ask)) {
		m.entry = (int)i;
		m.owner = e.owner;
		m.is_ask = true;
		m.process = e.process;
		m.account = name;
		e.last_number = m.ask.number;
		send(m);
	}
}

/* ---- trouble ------------------------------------------------------------ */

void
QuotaWorld::change_owner()
{
	Owner &before = owners[(size_t)owner];
	uint64_t gap_us = below(300) * kMs;

	/* The former owner may act until its authority ends, heard or not. */
	before.until_true_us = now_us + gap_us;
	owner = (owner + 1) % (int)owners.size();
	owner_change_us = now_us + gap_us;
	for (auto &e : entries)
		e.knows_owner_from_us = now_us + below(500) * kMs;
}

void
QuotaWorld::pause(Entry &e)
{
	e.paused_until_us = now_us + (50 + below(2500)) * kMs;
	e.clock_stops = chance(options.stopped_clock_share);
	if (!e.clock_stops)
		return;
	/* Its clock does not count: what it holds is as good as before. */
	uint64_t to_us = e.paused_until_us + kAheadLifeUs;
	for (size_t k = 0; k < quota_share_count(e.share); k++) {
		quota_share_state s = quota_share_at(e.share, k);
		slack(record_name(s.account, unit_at(e, s.account)),
		    e.paused_until_us, to_us, s.held);
	}
	for (auto &item : e.hoards)
		for (auto &lot : item.second.lots)
			slack(record_name(item.first, item.second.limit.unit),
			    e.paused_until_us, to_us, lot.tokens);
}

/* The former unit has no quota any more, the other one a similar one. */
void
QuotaWorld::change_unit(Account &a)
{
	Account former = a;

	former.limit.units_per_s = 0;
	record_rates(former);
	a.limit.unit = 1 - a.limit.unit;
	a.limit.units_per_s = a.limit.units_per_s * units(a.limit.unit) /
	    units(former.limit.unit);
	a.limit.burst =
	    a.limit.burst * units(a.limit.unit) / units(former.limit.unit);
	a.limit.usual = options.usual * units(a.limit.unit);
	record_rates(a);
}

void
QuotaWorld::change_quota(Account &a)
{
	if (options.unit_share > 0 && chance(options.unit_share)) {
		change_unit(a);
	} else if (chance(0.25) && a.exists) {
		a.exists = false;
		a.add_us = now_us + below(1500) * kMs;
		if (chance(0.5)) { /* renamed */
			a.name = "account-" + std::to_string(names++);
			a.add_us = now_us;
		}
	} else {
		uint64_t factor = units(a.limit.unit);

		a.limit.units_per_s =
		    factor * (options.rate / 3 + below(options.rate * 2) + 1);
		a.limit.burst =
		    factor * (options.burst / 3 + below(options.burst * 2) + 1);
		record_rates(a);
	}
	configure_all();
}

void
QuotaWorld::trouble()
{
	Owner &current = owners[(size_t)owner];

	for (auto &o : owners)
		if (o.until_true_us != 0 && now_us >= o.until_true_us) {
			o.authority = 0;
			o.until_true_us = 0;
		}
	if (owner_change_us != 0 && now_us >= owner_change_us) {
		owner_change_us = 0;
		current.authority = ++last_authority;
		current.since_us = (uint64_t)current.clock_us;
	}
	for (auto &a : accounts)
		if (!a.exists && now_us >= a.add_us) {
			a.exists = true;
			record_rates(a);
			configure_all();
		}
	if (options.owner_period_ms != 0 &&
	    now_us / kMs % options.owner_period_ms == 0)
		change_owner();
	if (!options.trouble)
		return;
	Entry &e = entries[below(entries.size())];
	if (now_us < e.paused_until_us)
		return;
	if (chance(0.0006))
		start_entry(e);
	if (chance(0.0010))
		pause(e);
	if (chance(0.0008))
		e.cut_until_us = now_us + below(2000) * kMs;
	if (chance(0.0004))
		e.clock_us += (double)(below(2000) * kMs);
	if (chance(0.0004))
		current.paused_until_us = now_us + below(800) * kMs;
	if (chance(0.0006) && owner_change_us == 0)
		change_owner();
	if (chance(options.unit_share > 0 ? 0.0012 : 0.0004))
		change_quota(accounts[below(accounts.size())]);
}

void
QuotaWorld::step()
{
	now_us += kMs;
	for (auto &o : owners)
		o.clock_us += (double)kMs * o.clock_rate;
	for (auto &e : entries)
		if (now_us > e.paused_until_us || !e.clock_stops)
			e.clock_us += (double)kMs * e.clock_rate;
	trouble();
	while (!network.empty() && network.begin()->first <= now_us) {
		Message m = network.begin()->second;
		network.erase(network.begin());
		deliver(m);
	}
	for (size_t i = 0; i < entries.size(); i++)
		if (now_us >= entries[i].paused_until_us) {
			/* Grants of earlier asks count as held before. */
			if (entries[i].clock_stops)
				entries[i].stopped_number =
				    entries[i].last_number;
			entries[i].clock_stops = false;
			step_entry(i);
		}
}

void
QuotaWorld::run_ms(uint64_t ms)
{
	while (ms-- > 0)
		step();
}

/* ---- the checker -------------------------------------------------------- */

double
QuotaWorld::worst_excess(uint64_t window_ms) const
{
	double drift = 1, worst = -1e18;
	uint64_t window_us = window_ms * kMs;

	/* An owner whose clock is fast adds that much more. */
	for (auto &o : owners)
		drift = std::max(drift, o.clock_rate);
	for (auto &item : records) {
		const Record &r = item.second;
		uint64_t sum = 0;
		size_t end = 0;

		for (size_t i = 0; i < r.uses.size(); i++) {
			uint64_t from = r.uses[i].us, to = from + window_us;
			double allowed = 0, burst = 0;

			for (; end < r.uses.size() && r.uses[end].us <= to;
			     end++)
				sum += r.uses[end].tokens;
			for (size_t k = 0; k < r.rates.size(); k++) {
				uint64_t a = std::max(r.rates[k].from_us, from);
				uint64_t b = k + 1 < r.rates.size()
				    ? r.rates[k + 1].from_us
				    : UINT64_MAX;
				if (b + kLifeUs >= from || b == UINT64_MAX)
					if (r.rates[k].from_us <= to)
						burst = std::max(
						    burst, r.rates[k].burst);
				b = std::min(b, to);
				if (a < b)
					allowed += (double)(b - a) / 1e6 *
					    r.rates[k].rate * drift;
			}
			for (auto &s : r.slacks)
				if (s.to_us >= from && s.from_us <= to)
					burst += (double)s.tokens;
			worst = std::max(worst, (double)sum - allowed - burst);
			sum -= r.uses[i].tokens;
		}
	}
	return worst;
}
