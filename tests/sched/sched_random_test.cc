#include <map>
#include <set>

#include "sched_fixture.h"
#include "util/rng.h"

/*
 * Random calls, also senseless ones, against every policy: nothing crashes,
 * each request gets one answer, pins and seats hold, and all ends idle.
 */
class SchedRandom : public SchedTest {
      protected:
	static constexpr uint32_t kEngines = 5, kAdapters = 12, kSeats = 3;

	struct Grant {
		std::string endpoint, adapter;
		uint64_t incarnation;
	};

	uint32_t
	Below(uint32_t n)
	{
		return rng_below(&rng_, n);
	}

	std::string
	AnyEngine()
	{
		return "e" + std::to_string(Below(kEngines));
	}

	std::string
	AnyAdapter()
	{
		return "t/a" + std::to_string(Below(kAdapters)) + "@1";
	}

	void
	AskAny()
	{
		const char *teams[] = {"t", "u", "v"};
		std::string adapter = AnyAdapter(), avoid = AnyEngine();
		sched_request r = Request(next_++, teams[Below(3)],
		    Below(10) == 0 ? nullptr : adapter.c_str());

		r.team_weight = Below(3);
		r.team_max_concurrent = Below(4) == 0 ? 2 : 0;
		r.priority = Below(3);
		r.pinned = Below(20) == 0;
		r.prefix = Below(5);
		r.deadline_us = Below(3) == 0 ? 0 : now + Below(20000000);
		r.navoid = Below(4) == 0;
		r.avoid[0] = avoid.c_str();
		asked_[r.id] = r.adapter == nullptr ? "" : adapter;
		sched_enqueue(s, now, &r);
	}

	void
	ReportAny()
	{
		std::vector<std::string> held;
		std::vector<uint32_t> running;
		std::string id = AnyEngine();

		if (Below(20) == 0)
			incarnation_[id]++;
		for (uint32_t n = Below(5); n > 0; n--) {
			held.push_back(AnyAdapter());
			running.push_back(Below(3) == 0);
		}
		Engine(id, held, 3, kSeats, incarnation_[id] + 1,
		    now - Below(500000), running, Below(20) == 0);
	}

	void
	DoneAny()
	{
		auto it = granted_.begin();

		if (granted_.empty())
			return;
		std::advance(it, Below((uint32_t)granted_.size()));
		Done(it->first, (sched_outcome)Below(6), Below(5000000));
		granted_.erase(it);
	}

	void
	ResultAny()
	{
		std::string e = AnyEngine(), a = AnyAdapter();
		bool ok = Below(3) > 0;

		if (!orders_.empty() && Below(10) > 0) {
			e = orders_.back().endpoint;
			a = orders_.back().adapter;
			if (orders_.back().type == SCHED_LOAD)
				sched_load_result(
				    s, now, e.c_str(), a.c_str(), ok);
			else
				sched_evict_result(
				    s, now, e.c_str(), a.c_str(), ok);
			orders_.pop_back();
			return;
		}
		sched_load_result(s, now, e.c_str(), a.c_str(), ok);
		sched_evict_result(s, now, e.c_str(), a.c_str(), ok);
	}

	void
	OwnerAny()
	{
		std::string id = AnyEngine(), adapter = AnyAdapter();
		sched_cache_event ev = {};
		uint64_t prefix = Below(5);

		switch (Below(6)) {
		case 0:
			sched_endpoint_remove(s, now, id.c_str());
			for (auto &g : granted_)
				if (g.second.endpoint == id)
					g.second.endpoint = "";
			break;
		case 1:
			sched_endpoint_takeover(
			    s, now, id.c_str(), now + Below(1000000));
			break;
		case 2:
			sched_adopt_grant(
			    s, now, next_, "t", id.c_str(), adapter.c_str());
			granted_[next_++] = {"", adapter, 0};
			break;
		case 3:
			sched_set_permits(s, now, Below(4), Below(100000));
			break;
		case 4:
			sched_set_remote_charge(s, Below(3), "u", Below(90000));
			break;
		case 5:
			ev.sequence = Below(10);
			ev.is_resync = Below(4) == 0;
			ev.prefixes = &prefix;
			ev.count = 1;
			sched_apply_cache_event(s, now, id.c_str(), &ev);
			break;
		}
	}

	void
	Check(const Decision &d)
	{
		switch (d.type) {
		case SCHED_GRANT:
			ASSERT_EQ(1u, asked_.count(d.request));
			granted_[d.request] = {d.endpoint, asked_[d.request],
			    incarnation_[d.endpoint]};
			asked_.erase(d.request);
			break;
		case SCHED_REFUSE:
			EXPECT_GE(d.retry_after_ms, 1u);
			ASSERT_EQ(1u, asked_.erase(d.request));
			break;
		case SCHED_ELSEWHERE:
			ASSERT_EQ(1u, asked_.erase(d.request));
			break;
		case SCHED_EVICT:
			for (auto &g : granted_)
				EXPECT_FALSE(g.second.endpoint == d.endpoint &&
				    g.second.adapter == d.adapter &&
				    g.second.incarnation ==
					incarnation_[d.endpoint]);
			orders_.push_back(d);
			break;
		case SCHED_LOAD:
			orders_.push_back(d);
			break;
		case SCHED_SET_ROLE:
			break;
		}
	}

	void
	Play(uint64_t seed, const char *policy)
	{
		Create(policy, seed % 2 ? SETTINGS_BATCH : SETTINGS_LOAD_STALL,
		    seed % 3 ? SETTINGS_CHARGE_TOKENS
			     : SETTINGS_CHARGE_REQUESTS);
		rng_seed(&rng_, seed);
		asked_.clear();
		granted_.clear();
		orders_.clear();
		incarnation_.clear();
		now = 100000000;
		Service("s1", 2);
		for (int step = 0; step < 3000; step++) {
			now += Below(50000);
			switch (Below(8)) {
			case 0:
			case 1:
				AskAny();
				break;
			case 2:
				ReportAny();
				break;
			case 3:
			case 4:
				DoneAny();
				break;
			case 5:
			case 6:
				ResultAny();
				break;
			case 7:
				if (Below(4) == 0)
					OwnerAny();
				break;
			}
			for (const Decision &d : Run(Below(10) > 0))
				Check(d);
		}
		for (auto &g : granted_)
			Done(g.first);
		for (auto &a : asked_)
			Done(a.first, SCHED_CANCELLED);
		Run();
		EXPECT_TRUE(sched_is_idle(s));
		EXPECT_EQ(0u, Totals().running);
		EXPECT_EQ(0u, Totals().queued);
		struct buf json = {};
		sched_endpoints_to_json(s, &json);
		buf_free(&json);
	}

      private:
	struct rng rng_;
	uint64_t next_ = 1;
	std::map<uint64_t, std::string> asked_;
	std::map<uint64_t, Grant> granted_;
	std::map<std::string, uint64_t> incarnation_;
	std::vector<Decision> orders_;
};

TEST_F(SchedRandom, OneAnswerEachAndPinsHold)
{
	for (const char *policy :
	    {"fair", "fifo", "least-loaded", "round-robin"})
		for (uint64_t seed = 1; seed <= 20; seed++) {
			SCOPED_TRACE(
			    policy + std::string(" ") + std::to_string(seed));
			Play(seed, policy);
			if (HasFailure())
				return;
		}
}
