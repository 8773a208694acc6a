#include "admit_world_state.h"

#include <algorithm>
#include <cmath>
#include <memory>

#include "util/mem.h"

namespace {

const uint64_t kMs = 1000;
const uint32_t kReportMs = 500;
const uint32_t kAdapterSlots = 5;
/* An engine reloads an adapter that it has unloaded lately this much faster. */
const uint32_t kWarmDivisor = 10;
const size_t kRecentUnloads = 24;
const uint32_t kSendingsMax = 4;

class World {
      public:
	explicit World(const WorldLoad &l) : load(l)
	{
		rng_seed(&rng, l.seed);
		result.accounts.resize(l.accounts.size());
		result.kinds.resize(l.kinds.size());
		result.account_kinds.assign(l.accounts.size(), result.kinds);
		for (uint32_t k = 1; k <= l.adapters; k++)
			popularity.push_back((k == 1 ? 0 : popularity.back()) +
			    std::pow(k, -l.zipf));
		Configure();
		for (uint32_t o = 0; o < l.owners; o++)
			AddOwner((int)o);
	}

	~World()
	{
		for (auto *p : placers)
			place_destroy(p);
	}

	WorldResult
	Run()
	{
		uint32_t end = load.ms + 20000;

		for (ms = 0; ms < end; ms++) {
			if (ms < load.ms)
				Arrive();
			Return();
			if (ms % 1000 == 0)
				Announce();
			if (load.reports && load.owners > 1 &&
			    ms % kReportMs == 0)
				Report();
			for (size_t o = 0; o < placers.size(); o++)
				Place((int)o);
			CarryOut();
			for (auto &e : engines)
				Work(e);
			FinishDecodes();
		}
		for (auto *p : placers) {
			place_gap gap;

			place_get_gap(p, &gap);
			if (gap.largest_milli >= result.gap_milli) {
				result.gap_milli = gap.largest_milli;
				result.gap_bound_milli = gap.bound_milli;
			}
		}
		return result;
	}

      private:
	WorldLoad load;
	WorldResult result;
	struct rng rng;
	uint32_t ms = 0;
	uint64_t last_id = 0;
	gw_config config = {};
	gw_service service = {}, *service_list[1] = {&service};
	gw_model model = {};
	std::vector<gw_account> accounts;
	std::vector<gw_route> routes;
	std::vector<gw_account *> account_list;
	std::vector<gw_route *> route_list;
	std::vector<std::string> names;
	std::vector<place *> placers;
	std::vector<SimEngine> engines;
	std::map<uint64_t, Call> calls;
	std::multimap<uint32_t, Call> returning;
	std::vector<uint64_t> decoding;
	std::vector<double> popularity; /* cumulative */
	std::deque<Order> orders;

	uint64_t
	NowUs() const
	{
		return 1000000000ULL + ms * kMs;
	}

	void
	Configure()
	{
		model.name = (char *)"m";
		model.weights_kb = 60000000;
		service.name = (char *)"lm";
		service.has_engine = true;
		service.engine.seats = load.slots;
		service.engine.adapter_slots = kAdapterSlots;
		service.engine.has_memory = true;
		service.engine.memory_kb = 66000000;
		service.engine.loads_per_s_milli = 4800;
		service.engine.models = &model;
		service.engine.nmodels = 1;
		config.version = 1;
		config.services = service_list;
		config.nservices = 1;
		for (size_t i = 0; i < load.accounts.size(); i++)
			names.push_back("t" + std::to_string(i));
		for (size_t i = 0; i < load.accounts.size(); i++) {
			gw_account a = {};

			a.name = (char *)names[i].c_str();
			a.priority = load.accounts[i].priority;
			a.quota.unit = GW_QUOTA_REQUESTS;
			a.quota.units_per_s = load.accounts[i].quota;
			accounts.push_back(a);
		}
		for (auto &k : load.kinds) {
			gw_route r = {};

			r.priority = k.priority;
			routes.push_back(r);
		}
		for (auto &a : accounts)
			account_list.push_back(&a);
		for (auto &r : routes)
			route_list.push_back(&r);
		config.accounts = account_list.data();
		config.naccounts = accounts.size();
		config.has_accounts = true;
		config.routes = route_list.data();
		config.nroutes = routes.size();
	}

	void
	AddOwner(int owner)
	{
		place_options options = {
		    200, 50, 10000, 5000, 1100, 8, 250, 1200, false};
		place *p = place_create(&options);

		place_configure(p, &config);
		if (load.baseline)
			place_use_baseline_order(p);
		placers.push_back(p);
		for (uint32_t i = 0; i < load.engines / load.owners; i++)
			engines.push_back(
			    {"e" + std::to_string(owner * 1000 + (int)i), owner,
				{}, {}, {}, 0});
	}

	void
	Announce()
	{
		for (auto &e : engines) {
			gw_announcement a = {};
			std::vector<gw_loaded_model> loaded = Loaded(e, true);

			a.id = a.address = e.id.c_str();
			a.service = "lm";
			a.data_centre = "z";
			a.born_ms = 1;
			a.sequence = ms + 1;
			a.slots = load.slots;
			a.has_models = true;
			a.loaded = loaded.data();
			a.nloaded = loaded.size();
			(void)place_announce(
			    placers[(size_t)e.owner], NowUs(), &a, true);
		}
	}

	/* What an engine has loaded, or what it is loading. */
	std::vector<gw_loaded_model>
	Loaded(const SimEngine &e, bool ready) const
	{
		std::vector<gw_loaded_model> out;

		if (ready)
			out.push_back({"m", nullptr, 1});
		for (auto &a : e.adapters)
			if ((a.second <= ms) == ready)
				out.push_back({"m", a.first.c_str(), 1});
		return out;
	}

	SimEngine &
	FindEngine(const std::string &id)
	{
		for (auto &e : engines)
			if (e.id == id)
				return e;
		abort();
	}

	uint32_t
	LoadMs(const SimEngine &e, const std::string &adapter)
	{
		uint32_t loading = 1;

		if (std::count(e.unloaded.begin(), e.unloaded.end(), adapter))
			return load.load_ms / kWarmDivisor;
		for (auto &other : engines)
			for (auto &a : other.adapters)
				loading += a.second > ms;
		result.loads++;
		return (uint32_t)(load.load_ms *
		    std::max(1.0, (double)loading / load.loads_max));
	}

	gw_order_result
	CarryOut(SimEngine &e, const Order &o)
	{
		if (o.expected != e.orders)
			return GW_ORDER_BUSY;
		if (o.unload) {
			e.orders++;
			e.adapters.erase(o.adapter);
			e.unloaded.push_back(o.adapter);
			if (e.unloaded.size() > kRecentUnloads)
				e.unloaded.pop_front();
			return GW_ORDER_DONE;
		}
		if (e.adapters.size() == kAdapterSlots)
			abort(); /* it would crash */
		e.orders++;
		e.adapters[o.adapter] = ms + LoadMs(e, o.adapter);
		return GW_ORDER_STARTED;
	}

	/* Orders that have reached their engines; each is answered at once. */
	void
	CarryOut()
	{
		for (; !orders.empty() && orders.front().at_ms <= ms;
		     orders.pop_front()) {
			const Order &o = orders.front();
			SimEngine &e = FindEngine(o.endpoint);
			place *p = placers[(size_t)o.owner];

			if (!o.is_report) {
				place_on_order_result(p, NowUs(), e.id.c_str(),
				    CarryOut(e, o), false);
				continue;
			}
			auto loaded = Loaded(e, true);
			auto pending = Loaded(e, false);
			gw_report report = {};

			report.accepted_orders = e.orders;
			report.loaded = loaded.data();
			report.nloaded = loaded.size();
			report.pending = pending.data();
			report.npending = pending.size();
			place_on_report(p, NowUs(), e.id.c_str(), &report);
		}
	}

	std::string
	DrawAdapter()
	{
		if (popularity.empty())
			return "";
		auto at = std::lower_bound(popularity.begin(), popularity.end(),
		    rng_unit(&rng) * popularity.back());

		return "l" + std::to_string(at - popularity.begin());
	}

	bool
	IsCounted(uint64_t asked_ms) const
	{
		return asked_ms >= load.count_from_ms &&
		    asked_ms < load.count_to_ms;
	}

	double
	Rate(size_t account, size_t kind) const
	{
		double rate =
		    load.accounts[account].per_s * load.kinds[kind].part;

		for (auto &s : load.surges)
			if ((s.account < 0 || s.account == (int)account) &&
			    (s.kind < 0 || s.kind == (int)kind) &&
			    ms >= s.from_ms && ms < s.to_ms)
				rate *= s.factor;
		return rate;
	}

	void
	Arrive()
	{
		for (size_t a = 0; a < load.accounts.size(); a++)
			for (size_t k = 0; k < load.kinds.size(); k++)
				if (rng_unit(&rng) <
				    Rate(a, k) / 1000 / load.clump)
					for (uint32_t i = 0; i < load.clump;
					     i++)
						Start((int)a, (int)k);
	}

	void
	Start(int account, int kind)
	{
		Call c = {};

		c.account = account;
		c.kind = kind;
		c.first_asked_ms = ms;
		c.adapter = DrawAdapter();
		Ask(c);
		if (!IsCounted(ms))
			return;
		result.all.asked++;
		result.accounts[(size_t)account].asked++;
		result.kinds[(size_t)kind].asked++;
		result.account_kinds[(size_t)account][(size_t)kind].asked++;
	}

	void
	Ask(Call c)
	{
		const WorldKind &k = load.kinds[(size_t)c.kind];
		const WorldAccount &a = load.accounts[(size_t)c.account];
		place_request r = {};

		if (c.sendings == 0)
			c.size = 0.4 + 1.2 * rng_unit(&rng);
		c.id = ++last_id;
		c.asked_ms = ms;
		c.owner =
		    a.owner >= 0 ? a.owner : (int)rng_below(&rng, load.owners);
		r.id = {7, c.id};
		r.kind = k.kind;
		r.service = "lm";
		r.model = "m";
		r.adapter = c.adapter.empty() ? nullptr : c.adapter.c_str();
		r.attempt = c.sendings;
		r.prompt_tokens = (uint32_t)(k.prompt_tokens * c.size);
		r.max_tokens = k.output_tokens;
		/* the caller counts from its first try */
		r.deadline_us = NowUs() + k.deadline_ms * kMs -
		    (ms - c.first_asked_ms) * kMs;
		r.target_us = NowUs() + k.objective_ms * kMs;
		r.priority = k.priority;
		r.account = names[(size_t)c.account].c_str();
		r.account_priority = a.priority;
		c.left_tokens = r.prompt_tokens;
		calls[c.id] = c;
		place_ask(placers[(size_t)c.owner], NowUs(), &r);
	}

	void
	Return()
	{
		while (!returning.empty() && returning.begin()->first <= ms) {
			Call c = returning.begin()->second;

			returning.erase(returning.begin());
			Ask(c);
		}
	}

	void
	Count(const Call &c, int outcome)
	{
		const WorldKind &k = load.kinds[(size_t)c.kind];
		double value = outcome == 0 ? 1
		    : outcome == 1	    ? k.late_value
					    : 0;

		if (!IsCounted(c.first_asked_ms))
			return;
		for (auto *w :
		    {&result.all, &result.accounts[(size_t)c.account],
			&result.kinds[(size_t)c.kind],
			&result.account_kinds[(size_t)c.account]
					     [(size_t)c.kind]}) {
			w->timely += outcome == 0;
			w->late += outcome == 1;
			w->refused += outcome == 2;
			w->value += value;
		}
	}

	void
	Refused(const Call &c, uint32_t retry_ms, const char *reason)
	{
		const WorldKind &k = load.kinds[(size_t)c.kind];
		Call again = c;

		result.held_to_deadline +=
		    (ms - c.asked_ms) * 10 > k.deadline_ms * 9;
		if (k.returns && !c.returned &&
		    ms + retry_ms < c.first_asked_ms + k.deadline_ms) {
			again.returned = true;
			again.sendings = 0;
			returning.insert({ms + retry_ms, again});
			return;
		}
		if (IsCounted(c.first_asked_ms))
			result.reasons[reason]++;
		Count(c, 2);
	}

	/* A granted request reaches its engine. */
	void
	Send(Call c, const place_decision &d)
	{
		SimEngine &e = FindEngine(d.endpoint);
		auto adapter = e.adapters.find(c.adapter);

		c.urgency = d.urgency;
		c.engine = e.id;
		/* it takes a ms */
		if (c.adapter.empty() ||
		    (adapter != e.adapters.end() &&
			adapter->second <= ms + 1)) {
			calls[c.id] = c;
			e.unread.push_back(c.id);
			return;
		}
		Done(c, PLACE_STATE_MISMATCH);
		calls.erase(c.id);
		c.sendings++;
		if (c.sendings == kSendingsMax)
			Refused(c, 0, "endpoint-lacks");
		else
			Ask(c);
	}

	void
	Place(int owner)
	{
		place *p = placers[(size_t)owner];
		place_decision d;

		if (place_next_run_us(p) > NowUs())
			return;
		place_run(p, NowUs(), true);
		while (place_pop_decision(p, &d)) {
			if (d.type == PLACE_REFUSE) {
				Call c = calls[d.id.ask];

				calls.erase(d.id.ask);
				Refused(c, d.retry_after_ms, d.reason);
			} else if (d.type == PLACE_GRANT) {
				Send(calls[d.id.ask], d);
			} else if (d.type == PLACE_REPORT &&
			    load.adapters == 0) {
				place_on_report(
				    p, NowUs(), d.endpoint, nullptr);
			} else if (d.type == PLACE_REPORT) {
				orders.push_back({ms + 3, owner, d.endpoint, "",
				    true, false, 0});
			} else if (d.type == PLACE_ORDER) {
				orders.push_back(
				    {ms + 3, owner, d.endpoint, d.order.adapter,
					false, d.order.type == GW_ORDER_UNLOAD,
					d.order.expected_orders});
			}
		}
	}

	void
	Done(const Call &c, place_outcome outcome)
	{
		place_result r = {};

		r.outcome = outcome;
		place_done(placers[(size_t)c.owner], NowUs(), {7, c.id}, &r);
	}

	/* One ms of an engine: the most urgent prompts first. */
	void
	Work(SimEngine &e)
	{
		double tokens = kWorldTokensPerMs;

		while (tokens > 0 && !e.unread.empty()) {
			size_t best = 0;

			for (size_t i = 1; i < e.unread.size(); i++)
				if (calls[e.unread[i]].urgency <
				    calls[e.unread[best]].urgency)
					best = i;
			Call &c = calls[e.unread[best]];
			double used = std::min(tokens, c.left_tokens);

			tokens -= used;
			c.left_tokens -= used;
			if (c.left_tokens > 0)
				continue;
			e.unread.erase(e.unread.begin() + (long)best);
			First(c);
		}
	}

	void
	First(Call &c)
	{
		const WorldKind &k = load.kinds[(size_t)c.kind];
		uint64_t took = ms - c.first_asked_ms;

		Count(c,
		    took <= k.objective_ms	? 0
			: took <= k.deadline_ms ? 1
						: 2);
		Done(c, PLACE_FIRST_BYTE);
		c.ends_ms = ms + k.output_tokens * 4;
		decoding.push_back(c.id);
	}

	void
	FinishDecodes()
	{
		for (size_t i = 0; i < decoding.size();) {
			Call &c = calls[decoding[i]];

			if (c.ends_ms > ms) {
				i++;
				continue;
			}
			Done(c, PLACE_SERVED);
			calls.erase(c.id);
			decoding[i] = decoding.back();
			decoding.pop_back();
		}
	}

	/* Each owner tells the others its totals. */
	void
	Report()
	{
		place_account_info info;

		for (size_t from = 0; from < placers.size(); from++)
			for (size_t i = 0;
			     i < place_account_count(placers[from]); i++)
				for (size_t to = 0; to < placers.size(); to++) {
					if (to == from)
						continue;
					place_account_get(
					    placers[from], i, &info);
					place_set_remote_charge(placers[to],
					    NowUs(), (uint32_t)from + 1, 1,
					    info.name, info.charge_milli);
				}
	}
};

} // namespace

WorldResult
RunWorld(const WorldLoad &load)
{
	return World(load).Run();
}
