#include "engine_world.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <string>

#include "place/place.h"
#include "util/mem.h"
#include "util/rng.h"

namespace {

const uint64_t kMs = 1000;
const uint32_t kMaxTokens = 80;
const double kTokenMs = 10; /* to generate one */

struct Request {
	uint64_t id = 0, first_asked_ms = 0, deadline_ms = 0, target_ms = 0;
	uint32_t priority = 0, tokens = 0, urgency = 0, attempt = 0;
	int adapter = -1, document = -1; /* none */
	double left = -1; /* tokens; below 0: not begun */
	double generates_ms = 0;
	uint64_t sent_ms = 0;
	bool waited_for_load = false;

	std::string
	Adapter() const
	{
		return adapter < 0 ? "" : "r" + std::to_string(adapter);
	}
};

/* Parts: a preamble of 300 tokens, then the document. */
struct Cached {
	uint64_t used_ms;
	uint32_t tokens;
};

struct Engine {
	std::string id;
	double work_time = 1, pace = 1;
	uint64_t pace_ends_ms = 0;
	std::vector<Request> unread, running;
	std::map<std::string, double> loading; /* ms left */
	std::set<std::string> loaded;
	std::map<uint64_t, Cached> cache;
	uint64_t orders = 0;
	uint64_t busy_ms = 0;
};

struct Message {
	uint64_t at_ms, ask;
	place_result result;
};

class World {
      public:
	explicit World(const EngineLoad &l) : load(l)
	{
		place_options options = {200, 50, 10000, 5000, 1100,
		    (uint32_t)std::max(1.0, l.engines * 8 / 60.0), 250, 1200,
		    !l.cache};

		rng_seed(&rng, l.seed);
		rng_seed(&arrivals, l.seed + 1000);
		Configure();
		p = place_create(&options);
		place_set_prefetch(p, l.prefetch);
		place_configure(p, &config);
		for (uint32_t i = 0; i < l.engines; i++) {
			Engine e;

			e.id = "e" + std::to_string(100 + i);
			e.work_time = l.work_time[i % l.work_time.size()];
			engines.push_back(e);
		}
		double sum = 0;

		for (uint32_t i = 1; i <= l.adapters; i++) {
			sum += 1 / std::pow(i, l.zipf);
			popularity.push_back(sum);
		}
	}

	~World()
	{
		place_destroy(p);
	}

	EngineResult
	Run()
	{
		for (ms = 0; ms < load.ms + 5000; ms++) {
			if (ms < load.ms)
				Arrive();
			if (ms == load.ms)
				CountPrefetches();
			if (ms % 1000 == 0)
				Announce();
			Deliver();
			Load();
			Place();
			for (auto &e : engines)
				Work(e);
		}
		Summarize();
		return result;
	}

      private:
	EngineLoad load;
	EngineResult result;
	struct rng rng, arrivals;
	place *p;
	uint64_t ms = 0, last_id = 0;
	double due = 0;
	gw_config config = {};
	gw_service service = {}, *service_list[1] = {&service};
	gw_model model = {};
	std::vector<Engine> engines;
	std::vector<double> popularity, first;
	std::map<uint64_t, Request> asked;
	std::vector<Message> messages;

	uint64_t
	NowUs() const
	{
		return 1000000000ULL + ms * kMs;
	}

	bool
	IsMeasured(const Request &r) const
	{
		return r.first_asked_ms >= load.measure_from_ms;
	}

	void
	Configure()
	{
		model.name = (char *)"m";
		model.weights_kb = 60000000;
		service.name = (char *)"lm";
		service.has_engine = true;
		service.engine.seats = 64;
		service.engine.kv_tokens = load.kv_tokens;
		service.engine.adapter_slots = load.adapter_slots;
		service.engine.has_memory = true;
		service.engine.memory_kb = 66000000;
		service.engine.loads_per_s_milli = 4800;
		service.engine.models = &model;
		service.engine.nmodels = 1;
		config.version = 1;
		config.services = service_list;
		config.nservices = 1;
	}

	Engine &
	Find(const char *id)
	{
		return *std::find_if(engines.begin(), engines.end(),
		    [id](const Engine &e) { return e.id == id; });
	}

	void
	Announce()
	{
		for (auto &e : engines) {
			gw_announcement a = {};
			std::vector<gw_loaded_model> loaded = {
			    {"m", nullptr, 1}};

			for (auto &name : e.loaded)
				loaded.push_back({"m", name.c_str(), 1});
			a.id = a.address = e.id.c_str();
			a.service = "lm";
			a.data_centre = "z";
			a.born_ms = 1;
			a.sequence = ms + 1;
			a.slots = 64;
			a.has_models = true;
			a.loaded = loaded.data();
			a.nloaded = loaded.size();
			(void)place_announce(p, NowUs(), &a, true);
		}
	}

	double
	PerMs() const
	{
		double rate = load.per_s * load.engines / 1000;

		return rate *
		    (1 +
			load.wave *
			    std::sin(6.283 * (double)ms / load.wave_ms));
	}

	void
	Arrive()
	{
		if (rng_unit(&arrivals) >= PerMs() / load.clump)
			return;
		for (uint32_t i = 0; i < load.clump; i++) {
			Request r;
			double at = rng_unit(&arrivals) * popularity.back();
			bool has_adapter =
			    rng_unit(&arrivals) < load.with_adapter;
			bool has_parts = rng_unit(&arrivals) < load.with_parts;
			/* half of the requests are for a tenth of them */
			double document = std::pow(rng_unit(&arrivals), 3.3);

			r.first_asked_ms = ms;
			if (has_adapter)
				r.adapter =
				    (int)(std::lower_bound(popularity.begin(),
					      popularity.end(), at) -
					popularity.begin());
			r.tokens = (uint32_t)(500 *
			    std::exp(rng_unit(&arrivals) * 2.5));
			if (has_parts) {
				r.document = (int)(document * load.documents);
				r.tokens += 300 + load.document_tokens;
			}
			r.priority = (uint32_t)rng_below(&arrivals, 3);
			r.generates_ms =
			    kTokenMs * kMaxTokens * rng_unit(&arrivals);
			r.target_ms = ms + 500 + 500 * r.priority;
			r.deadline_ms = ms + 5000;
			result.asked += IsMeasured(r);
			Ask(r);
		}
	}

	/* What the parts of a prompt depend on, as hashes. */
	static std::vector<gw_prompt_part>
	Parts(const Request &r, uint32_t document_tokens)
	{
		if (r.document < 0)
			return {};
		return {{1, 300}, {(uint64_t)r.document + 2, document_tokens}};
	}

	void
	Ask(Request r)
	{
		place_request q = {};
		std::string adapter = r.Adapter();
		auto parts = Parts(r, load.document_tokens);

		r.id = ++last_id;
		r.left = -1;
		asked[r.id] = r;
		q.id = {7, r.id};
		q.kind = GW_STREAM;
		q.service = "lm";
		q.model = "m";
		q.adapter = adapter.empty() ? nullptr : adapter.c_str();
		q.prompt_tokens = r.tokens;
		q.max_tokens = kMaxTokens;
		q.parts = parts.data();
		q.nparts = parts.size();
		q.deadline_us = 1000000000ULL + r.deadline_ms * kMs;
		q.target_us = 1000000000ULL + r.target_ms * kMs;
		q.priority = r.priority;
		q.attempt = r.attempt;
		place_ask(p, NowUs(), &q);
	}

	/* Most results arrive soon, a few late. */
	void
	Send(const Engine &e, const Request &r, place_outcome outcome)
	{
		Message m = {};
		double delay = rng_unit(&rng) < 0.98 ? 2 + rng_unit(&rng) * 6
						     : rng_unit(&rng) * 300;

		m.at_ms = ms + (uint64_t)delay;
		m.ask = r.id;
		m.result.outcome = outcome;
		m.result.first_ms = (uint32_t)(ms - r.sent_ms) + 1;
		m.result.load_told = outcome == PLACE_FIRST_BYTE;
		m.result.running = (uint32_t)e.running.size();
		m.result.waiting = (uint32_t)e.unread.size();
		m.result.slots = 64;
		m.result.work_percent = (uint32_t)(100 * e.pace);
		messages.push_back(m);
	}

	void
	Deliver()
	{
		for (size_t i = 0; i < messages.size();) {
			if (messages[i].at_ms > ms) {
				i++;
				continue;
			}
			Message m = messages[i];

			messages.erase(messages.begin() + (long)i);
			place_done(p, NowUs(), {7, m.ask}, &m.result);
			if (m.result.outcome == PLACE_STATE_MISMATCH) {
				Request again = asked[m.ask];

				again.attempt++;
				result.repeats += IsMeasured(again);
				Ask(again);
			}
		}
	}

	/* More loads than the store serves at full speed take longer. */
	void
	Load()
	{
		double active = 0;

		for (auto &e : engines)
			active += (double)e.loading.size();
		result.most_loads =
		    std::max(result.most_loads, (uint32_t)active);
		for (auto &e : engines)
			for (auto i = e.loading.begin();
			     i != e.loading.end();) {
				i->second -=
				    std::min(1.0, load.store_max / active);
				if (i->second > 0) {
					++i;
					continue;
				}
				e.loaded.insert(i->first);
				i = e.loading.erase(i);
			}
	}

	void
	Order(const place_decision &d)
	{
		Engine &e = Find(d.endpoint);
		gw_order_result answer = GW_ORDER_STARTED;

		e.orders++;
		if (d.order.type == GW_ORDER_LOAD) {
			e.loading[d.order.adapter] = load.load_ms;
			result.loads += ms >= load.measure_from_ms;
		} else {
			e.loaded.erase(d.order.adapter);
			answer = GW_ORDER_DONE;
		}
		place_on_order_result(p, NowUs(), d.endpoint, answer, false);
	}

	void
	Report(const place_decision &d)
	{
		Engine &e = Find(d.endpoint);
		gw_report report = {};
		std::vector<gw_loaded_model> loaded = {{"m", nullptr, 1}};
		std::vector<gw_loaded_model> pending;

		for (auto &name : e.loaded)
			loaded.push_back({"m", name.c_str(), 1});
		for (auto &l : e.loading)
			pending.push_back({"m", l.first.c_str(), 1});
		report.accepted_orders = e.orders;
		report.loaded = loaded.data();
		report.nloaded = loaded.size();
		report.pending = pending.data();
		report.npending = pending.size();
		place_on_report(p, NowUs(), d.endpoint, &report);
	}

	void
	Grant(const place_decision &d)
	{
		Engine &e = Find(d.endpoint);
		Request &r = asked[d.id.ask];

		r.urgency = d.urgency;
		r.sent_ms = ms;
		if (IsMeasured(r))
			CompareQueues(e, r, d.basis.saving_ms);
		if (d.basis.load_wait_ms > 0 && IsMeasured(r)) {
			result.waited_for_load += !r.waited_for_load;
			result.load_wait_ms += d.basis.load_wait_ms;
			r.waited_for_load = true;
		}
		if (r.adapter >= 0 && e.loaded.count(r.Adapter()) == 0)
			Send(e, r, PLACE_STATE_MISMATCH);
		else
			e.unread.push_back(r);
	}

	double
	QueueMs(const Engine &e, uint32_t urgency) const
	{
		double tokens = 0;

		for (auto &r : e.unread)
			if (r.urgency <= urgency)
				tokens += r.left < 0 ? r.tokens : r.left;
		return tokens * e.work_time / load.tokens_per_ms;
	}

	void
	CompareQueues(const Engine &e, const Request &r, double saving_ms)
	{
		double shortest = 1e9, longer;

		result.expected += saving_ms * load.tokens_per_ms / e.work_time;
		if (saving_ms < 1 || r.adapter >= 0)
			return;
		for (auto &other : engines)
			shortest =
			    std::min(shortest, QueueMs(other, r.urgency));
		longer = QueueMs(e, r.urgency) - shortest - saving_ms;
		result.for_cached++;
		result.queued_longer += longer > 0;
		result.queued_longer_ms += std::max(longer, 0.0);
	}

	void
	Place()
	{
		place_decision d;

		if (place_next_run_us(p) > NowUs())
			return;
		place_run(p, NowUs(), true);
		while (place_pop_decision(p, &d)) {
			if (d.type == PLACE_GRANT)
				Grant(d);
			else if (d.type == PLACE_REFUSE)
				result.refused += IsMeasured(asked[d.id.ask]);
			else if (d.type == PLACE_ORDER)
				Order(d);
			else if (d.type == PLACE_REPORT)
				Report(d);
		}
	}

	/* ---- an engine -------------------------------------------------- */

	static uint64_t
	PartKey(const Request &r, uint64_t part)
	{
		return (uint64_t)(r.adapter + 1) * 100000 + part;
	}

	/* Evict parts, the least recently used first, until the rest fits. */
	void
	Evict(Engine &e)
	{
		double used = 0;

		for (auto &r : e.running)
			used += r.tokens;
		for (auto &c : e.cache)
			used += c.second.tokens;
		while (used > load.kv_tokens && !e.cache.empty()) {
			auto oldest = std::min_element(e.cache.begin(),
			    e.cache.end(), [](const auto &a, const auto &b) {
				    return a.second.used_ms < b.second.used_ms;
			    });

			used -= oldest->second.tokens;
			e.cache.erase(oldest);
		}
	}

	/* Returns the tokens of the prompt that have to be read. */
	double
	Begin(Engine &e, const Request &r)
	{
		double cached = 0;

		for (auto &part : Parts(r, load.document_tokens)) {
			auto found = e.cache.find(PartKey(r, part.hash));

			if (found == e.cache.end())
				break;
			found->second.used_ms = ms;
			cached += part.tokens;
		}
		if (IsMeasured(r)) {
			result.found += cached;
			result.tokens_read += r.tokens - cached;
		}
		return r.tokens - cached;
	}

	/* One ms; the most urgent prompt is read first. */
	void
	Work(Engine &e)
	{
		double tokens;

		while (e.pace_ends_ms <= ms) {
			e.pace = rng_unit(&rng) < 0.15 ? load.pace_max : 1;
			e.pace_ends_ms =
			    ms + 300 + (uint64_t)(rng_unit(&rng) * 600);
		}
		tokens = load.tokens_per_ms / e.work_time / e.pace;
		e.busy_ms += !e.unread.empty() && ms >= load.measure_from_ms;
		while (tokens > 0 && !e.unread.empty()) {
			auto next = std::min_element(e.unread.begin(),
			    e.unread.end(), [](const auto &a, const auto &b) {
				    return a.urgency < b.urgency;
			    });

			if (next->left < 0)
				next->left = Begin(e, *next);
			double read = std::min(tokens, next->left);

			tokens -= read;
			next->left -= read;
			if (next->left > 0)
				break;
			Request r = *next;

			e.unread.erase(next);
			First(e, r);
		}
		for (size_t i = 0; i < e.running.size();) {
			e.running[i].generates_ms -= 1;
			if (e.running[i].generates_ms > 0) {
				i++;
				continue;
			}
			Send(e, e.running[i], PLACE_SERVED);
			asked.erase(e.running[i].id);
			e.running.erase(e.running.begin() + (long)i);
		}
	}

	void
	First(Engine &e, const Request &r)
	{
		for (auto &part : Parts(r, load.document_tokens))
			e.cache[PartKey(r, part.hash)] = {ms, part.tokens};
		e.running.push_back(r);
		Evict(e);
		Send(e, r, PLACE_FIRST_BYTE);
		if (!IsMeasured(r))
			return;
		result.served++;
		result.timely += ms <= r.target_ms;
		first.push_back((double)(ms - r.first_asked_ms));
	}

	void
	CountPrefetches()
	{
		place_totals totals;

		place_get_totals(p, &totals);
		result.prefetches = totals.prefetches;
		result.prefetches_used = totals.prefetches_used;
	}

	void
	Summarize()
	{
		std::sort(first.begin(), first.end());
		for (double f : first)
			result.first_ms += f / (double)first.size();
		if (!first.empty()) {
			result.first_p50 = first[first.size() / 2];
			result.first_p99 = first[first.size() * 99 / 100];
		}
		for (auto &e : engines)
			result.busy += (double)e.busy_ms /
			    (load.ms - load.measure_from_ms) /
			    (double)engines.size();
	}
};

} // namespace

EngineResult
RunEngines(const EngineLoad &load)
{
	return World(load).Run();
}
