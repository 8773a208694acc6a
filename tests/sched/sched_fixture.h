#ifndef MP_TESTS_SCHED_FIXTURE_H
#define MP_TESTS_SCHED_FIXTURE_H

#include <gtest/gtest.h>

#include <cstdint>
#include <string>
#include <vector>

#include "sched/sched.h"
#include "sched/sched_guard.h"

/* A decision with its own strings. */
struct Decision {
	sched_decision_type type;
	uint64_t request;
	std::string endpoint, adapter, reason;
	sched_role role;
	uint32_t retry_after_ms;
	uint64_t wait_us, stall_us;
};

/* A scheduler with short calls for the tests; time is set by hand. */
class SchedTest : public ::testing::Test {
      protected:
	void
	SetUp() override
	{
		guards_ = sched_guards;
		Create("fair", SETTINGS_LOAD_STALL, SETTINGS_CHARGE_REQUESTS);
	}

	void
	TearDown() override
	{
		sched_destroy(s);
		sched_guards = guards_;
	}

	void
	Create(const char *policy, settings_objective objective,
	    settings_charge charge)
	{
		sched_options options = {};
		mp_error err;

		sched_destroy(s);
		options.policy = policy;
		options.objective = objective;
		options.charge = charge;
		options.load_ms = 250;
		options.seed = 7;
		ASSERT_EQ(MP_OK, sched_create(&s, &options, &err));
		sched_set_permits(s, now, 8, 1000000);
	}

	/* An engine holding adapters; running counts per adapter. */
	void
	Engine(const std::string &id,
	    const std::vector<std::string> &adapters = {}, uint32_t slots = 4,
	    uint32_t seats = 8, uint64_t incarnation = 1, uint64_t as_of = 0,
	    const std::vector<uint32_t> &running = {}, bool leaving = false)
	{
		std::vector<sched_slot> held;
		struct sched_report r = {};
		size_t i;

		for (i = 0; i < adapters.size(); i++)
			held.push_back({adapters[i].c_str(), false,
			    i < running.size() ? running[i] : 0});
		for (uint32_t n : running)
			r.running += n;
		r.id = id.c_str();
		r.incarnation = incarnation;
		r.base_model = "base";
		r.slot_capacity = slots;
		r.seats = seats;
		r.as_of_us = as_of;
		r.leaving = leaving;
		r.slots = held.data();
		r.slot_count = held.size();
		sched_report(s, now, &r);
	}

	void
	Service(const std::string &id, uint32_t seats)
	{
		struct sched_report r = {};

		r.id = id.c_str();
		r.incarnation = 1;
		r.is_service = true;
		r.service_name = "orders";
		r.seats = seats;
		sched_report(s, now, &r);
	}

	static sched_request
	Request(uint64_t id, const char *team, const char *adapter)
	{
		sched_request r = {};

		r.id = id;
		r.team = team;
		r.team_weight = 1.0;
		r.kind_weight = 1.0;
		r.adapter = adapter;
		r.base_model = adapter == nullptr ? nullptr : "base";
		r.service = adapter == nullptr ? "orders" : nullptr;
		r.prompt_tokens = 10;
		r.max_tokens = 20;
		return r;
	}

	void
	Ask(uint64_t id, const char *team, const char *adapter,
	    uint64_t deadline_us = 0)
	{
		sched_request r = Request(id, team, adapter);

		r.deadline_us = deadline_us;
		sched_enqueue(s, now, &r);
	}

	void
	Done(uint64_t id, sched_outcome outcome = SCHED_DELIVERED,
	    uint64_t total_us = 1000000)
	{
		sched_usage u = {};

		u.outcome = outcome;
		u.total_us = total_us;
		u.first_us = total_us / 10;
		if (outcome == SCHED_DELIVERED) {
			u.tokens_in = 10;
			u.tokens_out = 20;
		}
		sched_finish_request(s, now, id, &u);
	}

	std::vector<Decision>
	Run(bool may_order = true)
	{
		std::vector<Decision> out;
		sched_decision d;

		sched_run(s, now, may_order);
		while (sched_take_decision(s, &d))
			out.push_back(
			    {d.type, d.request, d.endpoint ? d.endpoint : "",
				d.adapter ? d.adapter : "",
				d.reason ? d.reason : "", d.role,
				d.retry_after_ms, d.wait_us, d.stall_us});
		return out;
	}

	/* Decisions in short: "G1@e1", "L:a@e1", "E:a@e1", "R1", "X1". */
	std::string
	Short(bool may_order = true)
	{
		std::string out;

		for (const Decision &d : Run(may_order)) {
			out += out.empty() ? "" : " ";
			switch (d.type) {
			case SCHED_GRANT:
				out += "G" + std::to_string(d.request) + "@" +
				    d.endpoint;
				break;
			case SCHED_REFUSE:
				out += "R" + std::to_string(d.request) + ":" +
				    d.reason;
				break;
			case SCHED_ELSEWHERE:
				out += "X" + std::to_string(d.request);
				break;
			case SCHED_LOAD:
				out += "L:" + d.adapter + "@" + d.endpoint;
				break;
			case SCHED_EVICT:
				out += "E:" + d.adapter + "@" + d.endpoint;
				break;
			case SCHED_SET_ROLE:
				out += "S" + std::to_string(d.role) + "@" +
				    d.endpoint;
				break;
			}
		}
		return out;
	}

	sched_totals
	Totals()
	{
		sched_totals t;

		sched_get_totals(s, now, &t);
		return t;
	}

	struct sched *s = nullptr;
	uint64_t now = 1000000;

      private:
	struct sched_guards guards_;
};

#endif
