#include "sched_sim.h"

#include <algorithm>
#include <cmath>

double
SimTeamResult::Wait(double q)
{
	if (waits_s.empty())
		return 0.0;
	std::sort(waits_s.begin(), waits_s.end());
	return waits_s[(size_t)(q * (double)(waits_s.size() - 1))];
}

namespace {

constexpr uint64_t kSecondUs = kSimSecondUs;
constexpr uint64_t kReportIntervalUs = kSecondUs, kReportDelayUs = 250000;
constexpr uint64_t kImmediateUs = 50000;
constexpr uint64_t kEvictUs = 5000, kFirstTokenUs = 50000;

/* A request that runs on an engine. */
struct Running {
	uint64_t id;
	std::string adapter;
	uint64_t started_us;
};

struct Engine {
	std::string id;
	uint64_t incarnation = 1;
	std::set<std::string> held, loading;
	std::map<uint64_t, Running> running;
	uint64_t integrated_us = 0; /* up to when it was integrated */
};

/* A request that has not ended. */
struct PendingCall {
	size_t team;
	uint64_t at_us, deadline_us;
	std::string adapter;
	bool counted;
	double service_s;
	uint32_t priority = 0;
	bool is_retry = false;
};

class Sim {
      public:
	explicit Sim(const SimOptions &o) : o_(o)
	{
		sched_options so = {};

		rng_seed(&rng_, o.seed);
		so.policy = o.policy.c_str();
		so.objective = o.objective;
		so.charge = o.charge;
		so.load_ms = o.load_ms;
		so.seed = o.seed;
		sched_create(&s_, &so, nullptr);
		sched_set_permits(s_, 0, o.store_in_flight, o.store_rate_milli);
	}

	~Sim()
	{
		sched_destroy(s_);
	}

	SimResult Run();

      private:
	void
	Schedule(uint64_t when, std::function<void()> what)
	{
		events_.emplace(std::make_pair(when, next_order_++), what);
	}

	void Arrive(size_t team);
	void Enqueue(PendingCall a);
	void ScheduleRetry(PendingCall a, uint32_t after_ms);
	void Report(size_t e);
	void Decide();
	void Apply(const sched_decision &d);
	void Grant(const sched_decision &d);
	void Refuse(const sched_decision &d);
	void Load(const std::string &endpoint, const std::string &adapter);
	void Evict(const std::string &endpoint, const std::string &adapter);
	void Finish(size_t e, uint64_t incarnation, uint64_t id);
	void Restart(size_t e);
	void Integrate(Engine *e);
	void IntegratePacked();
	std::string PickAdapter(const SimTeam &t);
	Engine &
	Find(const std::string &id)
	{
		return engines_[std::stoul(id.substr(1))];
	}

	const SimOptions &o_;
	struct sched *s_ = nullptr;
	struct rng rng_;
	std::vector<struct rng> arrivals_;
	uint64_t now_us_ = 1, next_order_ = 0, next_id_ = 1;
	std::map<std::pair<uint64_t, uint64_t>, std::function<void()>> events_;
	std::vector<Engine> engines_;
	std::map<uint64_t, PendingCall> pending_;
	std::vector<std::vector<double>> zipf_sums_;
	uint32_t in_flight_ = 0;
	double tokens_ = 1.0;
	uint64_t tokens_updated_ = 0;
	std::vector<SimCall> trace_;
	uint64_t packed_integrated_us_ = 0;
	double packed_busy_us_ = 0.0;
	double busy_us_ = 0.0, sequence_us_ = 0.0, adapter_us_ = 0.0;
	double stall_after_flip_[10] = {};
	uint64_t count_after_flip_[10] = {};
	SimResult r_;
};

std::string
Sim::PickAdapter(const SimTeam &t)
{
	std::vector<double> &sums = zipf_sums_[&t - o_.teams.data()];
	double sum = 0.0;
	uint32_t k;

	for (k = 0; sums.size() < t.adapters; k++)
		sums.push_back(
		    sum += std::pow(
			t.first_rank + k * (double)t.rank_stride, -t.zipf));
	k = (uint32_t)(std::lower_bound(sums.begin(), sums.end(),
			   rng_unit(&arrivals_[&t - o_.teams.data()]) *
			       sums.back()) -
	    sums.begin());
	if (o_.popularity_flip_s > 0.0 &&
	    now_us_ >= o_.popularity_flip_s * kSecondUs)
		k = t.adapters - 1 - k;
	return t.name + "/a" + std::to_string(k) + "@1";
}

void
Sim::Arrive(size_t team)
{
	const SimTeam &t = o_.teams[team];
	struct rng *rng = &arrivals_[team];
	double gap = -std::log(1.0 - rng_unit(rng)) / t.rate;
	PendingCall a;

	/*
	 * Each team has its own random numbers, so that all policies get the
	 * same requests.
	 */
	Schedule(
	    now_us_ + (uint64_t)(gap * kSecondUs) + 1, [=] { Arrive(team); });
	if (now_us_ >= o_.end_s * kSecondUs)
		return;
	a.team = team;
	a.at_us = now_us_;
	a.deadline_us = now_us_ + (uint64_t)(o_.deadline_s * kSecondUs);
	a.adapter = PickAdapter(t);
	a.counted = now_us_ >= o_.warm_up_s * kSecondUs;
	a.service_s = o_.service_s * (0.5 + rng_unit(rng));
	a.priority = rng_below(rng, 100) < t.priority_high_percent ? 0 : 2;
	if (t.priority_high_percent == 0)
		a.priority = 0;
	if (a.counted) {
		r_.offered++;
		r_.teams[t.name].offered++;
	}
	trace_.push_back({a.at_us, a.deadline_us, a.adapter, a.counted});
	Enqueue(a);
}

void
Sim::Enqueue(PendingCall a)
{
	const SimTeam &t = o_.teams[a.team];
	sched_request r = {};

	r.id = next_id_++;
	r.team = t.name.c_str();
	r.team_weight = t.weight;
	r.priority = a.priority;
	r.kind_weight = 1.0;
	r.adapter = a.adapter.c_str();
	r.base_model = "base";
	r.deadline_us = a.deadline_us;
	r.prompt_tokens = 100;
	r.max_tokens = 400;
	pending_[r.id] = a;
	sched_enqueue(s_, now_us_, &r);
}

/* Repeats a refused call once, with the same patience. */
void
Sim::ScheduleRetry(PendingCall a, uint32_t after_ms)
{
	if (!o_.callers_retry || a.is_retry)
		return;
	Schedule(now_us_ + after_ms * (kSecondUs / 1000), [=] {
		PendingCall again = a;

		again.deadline_us += now_us_ - a.at_us;
		again.at_us = now_us_;
		again.is_retry = true;
		r_.retried += a.counted;
		Enqueue(again);
	});
}

/* The report of the present state arrives after a delay. */
void
Sim::Report(size_t i)
{
	Engine copy = engines_[i];
	uint64_t as_of = now_us_;

	Schedule(now_us_ + kReportIntervalUs, [=] { Report(i); });
	Schedule(now_us_ + kReportDelayUs, [=] {
		std::vector<sched_slot> slots;
		struct sched_report r = {};

		for (const std::string &a : copy.held) {
			uint32_t n = 0;

			for (auto &run : copy.running)
				n += run.second.adapter == a;
			slots.push_back(
			    {a.c_str(), false, o_.false_reports ? 0 : n});
		}
		for (const std::string &a : copy.loading)
			slots.push_back({a.c_str(), true, 0});
		r.id = copy.id.c_str();
		r.incarnation = copy.incarnation;
		r.base_model = "base";
		r.slot_capacity = o_.slots;
		r.seats = o_.seats;
		r.running =
		    o_.false_reports ? 0 : (uint32_t)copy.running.size();
		r.as_of_us = as_of;
		r.slots = slots.data();
		r.slot_count = slots.size();
		sched_report(s_, now_us_, &r);
	});
}

/* Integrates how many engines would suffice for all that runs. */
void
Sim::IntegratePacked()
{
	std::set<std::string> adapters;
	size_t n = 0, engines;
	double dt = (double)(now_us_ - packed_integrated_us_);

	packed_integrated_us_ = now_us_;
	if (now_us_ < o_.warm_up_s * kSecondUs ||
	    now_us_ > o_.end_s * kSecondUs)
		return;
	for (const Engine &e : engines_) {
		n += e.running.size();
		for (auto &run : e.running)
			adapters.insert(run.second.adapter);
	}
	engines = std::max((n + o_.seats - 1) / o_.seats,
	    (adapters.size() + o_.slots - 1) / o_.slots);
	packed_busy_us_ += dt * (double)engines;
}

/* Integrates the sequences and adapters in a busy engine's batch. */
void
Sim::Integrate(Engine *e)
{
	std::set<std::string> adapters;
	double dt = (double)(now_us_ - e->integrated_us);

	IntegratePacked();
	e->integrated_us = now_us_;
	if (e->running.empty() || now_us_ < o_.warm_up_s * kSecondUs ||
	    now_us_ > o_.end_s * kSecondUs)
		return;
	for (auto &run : e->running)
		adapters.insert(run.second.adapter);
	busy_us_ += dt;
	sequence_us_ += dt * (double)e->running.size();
	adapter_us_ += dt * (double)adapters.size();
}

void
Sim::Finish(size_t i, uint64_t incarnation, uint64_t id)
{
	Engine &e = engines_[i];
	sched_usage u = {};
	PendingCall &a = pending_[id];

	Integrate(&e);
	u.outcome =
	    e.incarnation == incarnation ? SCHED_DELIVERED : SCHED_FAILED;
	if (u.outcome == SCHED_DELIVERED) {
		u.tokens_in = 100;
		u.tokens_out = (uint32_t)(a.service_s * 25.0);
		u.first_us = kFirstTokenUs;
		u.total_us = now_us_ - e.running[id].started_us;
		r_.delivered_in_window += now_us_ >= o_.warm_up_s * kSecondUs &&
		    now_us_ < o_.end_s * kSecondUs;
		if (a.counted && a.is_retry) {
			r_.retried_delivered++;
		} else if (a.counted) {
			r_.delivered++;
			r_.teams[o_.teams[a.team].name].delivered++;
		}
	}
	e.running.erase(id);
	sched_finish_request(s_, now_us_, id, &u);
	pending_.erase(id);
}

void
Sim::Grant(const sched_decision &d)
{
	size_t i = std::stoul(std::string(d.endpoint).substr(1));
	Engine &e = engines_[i];
	PendingCall &a = pending_[d.request];
	uint64_t id = d.request, incarnation = e.incarnation;
	SimTeamResult &t = r_.teams[o_.teams[a.team].name];
	double flip =
	    ((double)now_us_ / kSecondUs - o_.popularity_flip_s) / 30.0;

	if (e.held.count(a.adapter) == 0) {
		sched_usage u = {};

		u.outcome = SCHED_NOT_LOADED;
		Schedule(now_us_, [=] {
			sched_finish_request(s_, now_us_, id, &u);
			pending_.erase(id);
		});
		return;
	}
	Integrate(&e);
	e.running[id] = {id, a.adapter, now_us_};
	if (e.running.size() > o_.seats)
		r_.beyond_seats++;
	if (a.counted && !a.is_retry) {
		t.waits_s.push_back((double)d.wait_us / kSecondUs);
		t.late += now_us_ > a.deadline_us;
		r_.stall_s += (double)d.stall_us / kSecondUs;
		r_.stall_all_s += (double)d.stall_us / kSecondUs;
	}
	if (flip >= 0.0 && flip < 10.0) {
		stall_after_flip_[(int)flip] += (double)d.stall_us / kSecondUs;
		count_after_flip_[(int)flip]++;
	}
	Schedule(now_us_ + (uint64_t)(a.service_s * kSecondUs),
	    [=] { Finish(i, incarnation, id); });
}

void
Sim::Refuse(const sched_decision &d)
{
	PendingCall &a = pending_[d.request];

	r_.refused_late += now_us_ > a.deadline_us;
	r_.no_retry_after += d.retry_after_ms == 0;
	if (a.counted && !a.is_retry) {
		r_.refused++;
		r_.refused_immediately += now_us_ - a.at_us <= kImmediateUs;
		r_.teams[o_.teams[a.team].name].refused++;
		r_.stall_all_s += (double)(now_us_ - a.at_us) / kSecondUs;
	}
	ScheduleRetry(a, d.retry_after_ms);
	pending_.erase(d.request);
}

void
Sim::Load(const std::string &endpoint, const std::string &adapter)
{
	Engine &e = Find(endpoint);
	uint64_t incarnation = e.incarnation;
	bool ok = rng_unit(&rng_) >= o_.load_failures;
	uint64_t us = o_.load_ms * 1000;

	r_.loads++;
	in_flight_++;
	tokens_ +=
	    (double)(now_us_ - tokens_updated_) * o_.store_rate_milli / 1e9;
	tokens_ = std::min(tokens_, 1.0) - 1.0;
	tokens_updated_ = now_us_;
	if (in_flight_ > o_.store_in_flight || tokens_ < -1e-3)
		r_.beyond_permits++;
	if (in_flight_ > 8)
		us = us * in_flight_ / 8;
	e.loading.insert(adapter);
	Schedule(now_us_ + us, [=] {
		Engine &to = Find(endpoint);

		in_flight_--;
		if (to.incarnation != incarnation)
			return;
		to.loading.erase(adapter);
		if (ok)
			to.held.insert(adapter);
		sched_load_result(
		    s_, now_us_, endpoint.c_str(), adapter.c_str(), ok);
	});
}

void
Sim::Evict(const std::string &endpoint, const std::string &adapter)
{
	Engine &e = Find(endpoint);

	for (auto &run : e.running)
		r_.evicted_in_use += run.second.adapter == adapter;
	e.held.erase(adapter);
	Schedule(now_us_ + kEvictUs, [=] {
		sched_evict_result(
		    s_, now_us_, endpoint.c_str(), adapter.c_str(), true);
	});
}

void
Sim::Apply(const sched_decision &d)
{
	switch (d.type) {
	case SCHED_GRANT:
		Grant(d);
		break;
	case SCHED_REFUSE:
	case SCHED_ELSEWHERE:
		Refuse(d);
		break;
	case SCHED_LOAD:
		Load(d.endpoint, d.adapter);
		break;
	case SCHED_EVICT:
		Evict(d.endpoint, d.adapter);
		break;
	case SCHED_SET_ROLE:
		break;
	}
}

void
Sim::Restart(size_t i)
{
	Engine &e = engines_[i];

	Integrate(&e);
	e.incarnation++;
	e.held.clear();
	e.loading.clear();
	while (!e.running.empty())
		Finish(i, 0, e.running.begin()->first);
}

SimResult
Sim::Run()
{
	uint64_t end =
	    (uint64_t)((o_.end_s + o_.deadline_s + 3 * o_.service_s) *
		kSecondUs);
	sched_decision d;
	size_t i;

	engines_.resize(o_.engines);
	zipf_sums_.resize(o_.teams.size());
	arrivals_.resize(o_.teams.size());
	for (i = 0; i < o_.teams.size(); i++)
		rng_seed(&arrivals_[i], o_.seed * 1000 + i);
	for (i = 0; i < engines_.size(); i++) {
		engines_[i].id = "e" + std::to_string(i);
		Schedule(i + 1, [=] { Report(i); });
	}
	for (i = 0; i < o_.teams.size(); i++)
		Schedule(kSecondUs, [=] { Arrive(i); });
	if (o_.restart_s > 0.0)
		Schedule(
		    (uint64_t)(o_.restart_s * kSecondUs), [=] { Restart(0); });
	while (now_us_ < end) {
		auto first = events_.begin();
		uint64_t wake = sched_next_run_us(s_);

		if (wake < first->first.first) {
			now_us_ = std::max(now_us_, wake);
		} else {
			std::function<void()> what = first->second;

			now_us_ = std::max(now_us_, first->first.first);
			events_.erase(first);
			what();
		}
		sched_run(s_, now_us_, true);
		while (sched_take_decision(s_, &d))
			Apply(d);
	}
	r_.batch_fill =
	    busy_us_ > 0.0 ? sequence_us_ / busy_us_ / o_.seats : 0.0;
	r_.packed_batch_fill = packed_busy_us_ > 0.0
	    ? sequence_us_ / packed_busy_us_ / o_.seats
	    : 0.0;
	r_.adapters_per_batch = busy_us_ > 0.0 ? adapter_us_ / busy_us_ : 0.0;
	for (i = 0; i < 10; i++)
		r_.stall_after_flip_s[i] = count_after_flip_[i] == 0
		    ? 0.0
		    : stall_after_flip_[i] / (double)count_after_flip_[i];
	sched_get_totals(s_, now_us_, &r_.totals);
	SimOptimalEviction(o_, trace_, &r_);
	return r_;
}

} /* namespace */

SimResult
SimRun(const SimOptions &options)
{
	return Sim(options).Run();
}
