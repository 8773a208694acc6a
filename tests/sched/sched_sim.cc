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

constexpr uint64_t kSecond = kSimSecond;
constexpr uint64_t kReportUs = kSecond, kLagUs = 250000;
constexpr uint64_t kAtOnceUs = 50000;
constexpr uint64_t kEvictUs = 5000, kFirstTokenUs = 50000;

struct Running {
	uint64_t id;
	std::string adapter;
	uint64_t started;
};

struct Engine {
	std::string id;
	uint64_t incarnation = 1;
	std::set<std::string> held, loading;
	std::map<uint64_t, Running> running;
	uint64_t since = 0; /* of the integrals */
};

struct Asked {
	size_t team;
	uint64_t at, deadline;
	std::string adapter;
	bool counted;
	double service_s;
	uint32_t priority = 0;
	bool back = false; /* comes for the second time */
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
	At(uint64_t when, std::function<void()> what)
	{
		events_.emplace(std::make_pair(when, order_++), what);
	}

	void Arrive(size_t team);
	void Ask(Asked a);
	void Return(Asked a, uint32_t after_ms);
	void Report(size_t e);
	void Decide();
	void Take(const sched_decision &d);
	void Grant(const sched_decision &d);
	void Refuse(const sched_decision &d);
	void Load(const std::string &endpoint, const std::string &adapter);
	void Evict(const std::string &endpoint, const std::string &adapter);
	void Finish(size_t e, uint64_t incarnation, uint64_t id);
	void Restart(size_t e);
	void Count(Engine *e);
	void CountPacked();
	std::string Pick(const SimTeam &t);
	Engine &
	Find(const std::string &id)
	{
		return engines_[std::stoul(id.substr(1))];
	}

	const SimOptions &o_;
	struct sched *s_ = nullptr;
	struct rng rng_;
	std::vector<struct rng> arrivals_;
	uint64_t now_ = 1, order_ = 0, next_id_ = 1;
	std::map<std::pair<uint64_t, uint64_t>, std::function<void()>> events_;
	std::vector<Engine> engines_;
	std::map<uint64_t, Asked> asked_;
	std::vector<std::vector<double>> zipf_;
	uint32_t in_flight_ = 0;
	double tokens_ = 1.0;
	uint64_t tokens_at_ = 0;
	std::vector<SimCall> trace_;
	uint64_t packed_since_ = 0;
	double packed_busy_ = 0.0;
	double busy_ = 0.0, sequences_ = 0.0, distinct_ = 0.0;
	double flip_stall_[10] = {};
	uint64_t flip_count_[10] = {};
	SimResult r_;
};

std::string
Sim::Pick(const SimTeam &t)
{
	std::vector<double> &sums = zipf_[&t - o_.teams.data()];
	double sum = 0.0;
	uint32_t k;

	for (k = 0; sums.size() < t.adapters; k++)
		sums.push_back(
		    sum += std::pow(t.first + k * (double)t.stride, -t.zipf));
	k = (uint32_t)(std::lower_bound(sums.begin(), sums.end(),
			   rng_unit(&arrivals_[&t - o_.teams.data()]) *
			       sums.back()) -
	    sums.begin());
	if (o_.flip_s > 0.0 && now_ >= o_.flip_s * kSecond)
		k = t.adapters - 1 - k;
	return t.name + "/a" + std::to_string(k) + "@1";
}

void
Sim::Arrive(size_t team)
{
	const SimTeam &t = o_.teams[team];
	struct rng *rng = &arrivals_[team];
	double gap = -std::log(1.0 - rng_unit(rng)) / t.rate;
	Asked a;

	/* Own numbers, so that all policies see the same requests. */
	At(now_ + (uint64_t)(gap * kSecond) + 1, [=] { Arrive(team); });
	if (now_ >= o_.end_s * kSecond)
		return;
	a.team = team;
	a.at = now_;
	a.deadline = now_ + (uint64_t)(o_.deadline_s * kSecond);
	a.adapter = Pick(t);
	a.counted = now_ >= o_.warm_s * kSecond;
	a.service_s = o_.service_s * (0.5 + rng_unit(rng));
	a.priority = rng_below(rng, 100) < t.priority_high_percent ? 0 : 2;
	if (t.priority_high_percent == 0)
		a.priority = 0;
	if (a.counted) {
		r_.offered++;
		r_.teams[t.name].offered++;
	}
	trace_.push_back({a.at, a.deadline, a.adapter, a.counted});
	Ask(a);
}

void
Sim::Ask(Asked a)
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
	r.deadline_us = a.deadline;
	r.prompt_tokens = 100;
	r.max_tokens = 400;
	asked_[r.id] = a;
	sched_enqueue(s_, now_, &r);
}

/* A refused caller, with the patience that it had. */
void
Sim::Return(Asked a, uint32_t after_ms)
{
	if (!o_.retry || a.back)
		return;
	At(now_ + after_ms * (kSecond / 1000), [=] {
		Asked again = a;

		again.deadline += now_ - a.at;
		again.at = now_;
		again.back = true;
		r_.back += a.counted;
		Ask(again);
	});
}

/* The state of now is told a lag later. */
void
Sim::Report(size_t i)
{
	Engine copy = engines_[i];
	uint64_t as_of = now_;

	At(now_ + kReportUs, [=] { Report(i); });
	At(now_ + kLagUs, [=] {
		std::vector<sched_slot> slots;
		struct sched_report r = {};

		for (const std::string &a : copy.held) {
			uint32_t n = 0;

			for (auto &run : copy.running)
				n += run.second.adapter == a;
			slots.push_back({a.c_str(), false, o_.lying ? 0 : n});
		}
		for (const std::string &a : copy.loading)
			slots.push_back({a.c_str(), true, 0});
		r.id = copy.id.c_str();
		r.incarnation = copy.incarnation;
		r.base_model = "base";
		r.slot_capacity = o_.slots;
		r.seats = o_.seats;
		r.running = o_.lying ? 0 : (uint32_t)copy.running.size();
		r.as_of_us = as_of;
		r.slots = slots.data();
		r.slot_count = slots.size();
		sched_report(s_, now_, &r);
	});
}

/* How many engines would do for all that runs. */
void
Sim::CountPacked()
{
	std::set<std::string> adapters;
	size_t n = 0, engines;
	double dt = (double)(now_ - packed_since_);

	packed_since_ = now_;
	if (now_ < o_.warm_s * kSecond || now_ > o_.end_s * kSecond)
		return;
	for (const Engine &e : engines_) {
		n += e.running.size();
		for (auto &run : e.running)
			adapters.insert(run.second.adapter);
	}
	engines = std::max((n + o_.seats - 1) / o_.seats,
	    (adapters.size() + o_.slots - 1) / o_.slots);
	packed_busy_ += dt * (double)engines;
}

/* Integrate sequences and adapters of a busy engine's batch. */
void
Sim::Count(Engine *e)
{
	std::set<std::string> adapters;
	double dt = (double)(now_ - e->since);

	CountPacked();
	e->since = now_;
	if (e->running.empty() || now_ < o_.warm_s * kSecond ||
	    now_ > o_.end_s * kSecond)
		return;
	for (auto &run : e->running)
		adapters.insert(run.second.adapter);
	busy_ += dt;
	sequences_ += dt * (double)e->running.size();
	distinct_ += dt * (double)adapters.size();
}

void
Sim::Finish(size_t i, uint64_t incarnation, uint64_t id)
{
	Engine &e = engines_[i];
	sched_usage u = {};
	Asked &a = asked_[id];

	Count(&e);
	u.outcome =
	    e.incarnation == incarnation ? SCHED_DELIVERED : SCHED_FAILED;
	if (u.outcome == SCHED_DELIVERED) {
		u.tokens_in = 100;
		u.tokens_out = (uint32_t)(a.service_s * 25.0);
		u.first_us = kFirstTokenUs;
		u.total_us = now_ - e.running[id].started;
		r_.worked +=
		    now_ >= o_.warm_s * kSecond && now_ < o_.end_s * kSecond;
		if (a.counted && a.back) {
			r_.back_delivered++;
		} else if (a.counted) {
			r_.delivered++;
			r_.teams[o_.teams[a.team].name].delivered++;
		}
	}
	e.running.erase(id);
	sched_finish_request(s_, now_, id, &u);
	asked_.erase(id);
}

void
Sim::Grant(const sched_decision &d)
{
	size_t i = std::stoul(std::string(d.endpoint).substr(1));
	Engine &e = engines_[i];
	Asked &a = asked_[d.request];
	uint64_t id = d.request, incarnation = e.incarnation;
	SimTeamResult &t = r_.teams[o_.teams[a.team].name];
	double flip = ((double)now_ / kSecond - o_.flip_s) / 30.0;

	if (e.held.count(a.adapter) == 0) {
		sched_usage u = {};

		u.outcome = SCHED_NOT_LOADED;
		At(now_, [=] {
			sched_finish_request(s_, now_, id, &u);
			asked_.erase(id);
		});
		return;
	}
	Count(&e);
	e.running[id] = {id, a.adapter, now_};
	if (e.running.size() > o_.seats)
		r_.beyond_seats++;
	if (a.counted && !a.back) {
		t.waits_s.push_back((double)d.wait_us / kSecond);
		t.late += now_ > a.deadline;
		r_.stall_s += (double)d.stall_us / kSecond;
		r_.stall_all_s += (double)d.stall_us / kSecond;
	}
	if (flip >= 0.0 && flip < 10.0) {
		flip_stall_[(int)flip] += (double)d.stall_us / kSecond;
		flip_count_[(int)flip]++;
	}
	At(now_ + (uint64_t)(a.service_s * kSecond),
	    [=] { Finish(i, incarnation, id); });
}

void
Sim::Refuse(const sched_decision &d)
{
	Asked &a = asked_[d.request];

	r_.refused_late += now_ > a.deadline;
	r_.no_retry_after += d.retry_after_ms == 0;
	if (a.counted && !a.back) {
		r_.refused++;
		r_.refused_at_once += now_ - a.at <= kAtOnceUs;
		r_.teams[o_.teams[a.team].name].refused++;
		r_.stall_all_s += (double)(now_ - a.at) / kSecond;
	}
	Return(a, d.retry_after_ms);
	asked_.erase(d.request);
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
	tokens_ += (double)(now_ - tokens_at_) * o_.store_rate_milli / 1e9;
	tokens_ = std::min(tokens_, 1.0) - 1.0;
	tokens_at_ = now_;
	if (in_flight_ > o_.store_in_flight || tokens_ < -1e-3)
		r_.beyond_permits++;
	if (in_flight_ > 8)
		us = us * in_flight_ / 8;
	e.loading.insert(adapter);
	At(now_ + us, [=] {
		Engine &to = Find(endpoint);

		in_flight_--;
		if (to.incarnation != incarnation)
			return;
		to.loading.erase(adapter);
		if (ok)
			to.held.insert(adapter);
		sched_load_result(
		    s_, now_, endpoint.c_str(), adapter.c_str(), ok);
	});
}

void
Sim::Evict(const std::string &endpoint, const std::string &adapter)
{
	Engine &e = Find(endpoint);

	for (auto &run : e.running)
		r_.evicted_in_use += run.second.adapter == adapter;
	e.held.erase(adapter);
	At(now_ + kEvictUs, [=] {
		sched_evict_result(
		    s_, now_, endpoint.c_str(), adapter.c_str(), true);
	});
}

void
Sim::Take(const sched_decision &d)
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

	Count(&e);
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
	    (uint64_t)((o_.end_s + o_.deadline_s + 3 * o_.service_s) * kSecond);
	sched_decision d;
	size_t i;

	engines_.resize(o_.engines);
	zipf_.resize(o_.teams.size());
	arrivals_.resize(o_.teams.size());
	for (i = 0; i < o_.teams.size(); i++)
		rng_seed(&arrivals_[i], o_.seed * 1000 + i);
	for (i = 0; i < engines_.size(); i++) {
		engines_[i].id = "e" + std::to_string(i);
		At(i + 1, [=] { Report(i); });
	}
	for (i = 0; i < o_.teams.size(); i++)
		At(kSecond, [=] { Arrive(i); });
	if (o_.cold_s > 0.0)
		At((uint64_t)(o_.cold_s * kSecond), [=] { Restart(0); });
	while (now_ < end) {
		auto first = events_.begin();
		uint64_t wake = sched_next_run_us(s_);

		if (wake < first->first.first) {
			now_ = std::max(now_, wake);
		} else {
			std::function<void()> what = first->second;

			now_ = std::max(now_, first->first.first);
			events_.erase(first);
			what();
		}
		sched_run(s_, now_, true);
		while (sched_take_decision(s_, &d))
			Take(d);
	}
	r_.batch = busy_ > 0.0 ? sequences_ / busy_ / o_.seats : 0.0;
	r_.packed =
	    packed_busy_ > 0.0 ? sequences_ / packed_busy_ / o_.seats : 0.0;
	r_.adapters_a_batch = busy_ > 0.0 ? distinct_ / busy_ : 0.0;
	for (i = 0; i < 10; i++)
		r_.stall_after_flip_s[i] = flip_count_[i] == 0
		    ? 0.0
		    : flip_stall_[i] / (double)flip_count_[i];
	sched_get_totals(s_, now_, &r_.totals);
	SimLimit(o_, trace_, &r_);
	return r_;
}

} /* namespace */

SimResult
SimRun(const SimOptions &options)
{
	return Sim(options).Run();
}
