#include <cmath>
#include <random>

#include "place_fixture.h"

/*
 * Endpoints of different speed whose pace changes, under demand that varies.
 * The simulated endpoints tell their load and pace with each response, and the
 * placer receives results late.
 */
class PlaceUneven : public PlaceTest {
      protected:
	struct Request {
		uint64_t ask, sent_us;
		double left; /* tokens, or ms of a call */
		uint32_t urgency;
		bool may_repeat;
	};
	struct Endpoint {
		double factor = 1; /* lasting time of work */
		double pace = 1;
		uint64_t pace_ends_us = 0;
		std::vector<Request> unread, running;
		double busy_ms = 0;
		uint64_t stalls_until_us = 0;
		int fail_percent = 0, granted = 0, granted_unsafe = 0;
	};
	struct Message {
		uint64_t at_us, ask;
		place_result result;
	};
	std::map<std::string, Endpoint> endpoints;
	std::map<uint64_t, Request> asked;
	std::vector<Message> messages;
	std::mt19937 random{5};
	double pace_max = 2.5, percent_of_factor = 0;
	/* outcomes in the measured time */
	uint64_t measure_from_us = 0;
	std::map<uint32_t, std::vector<double>> first_ms; /* by urgency */
	std::vector<double> call_ms;
	int refused = 0, failed = 0, late = 0, unsafe_failed = 0;

	double
	Uniform()
	{
		return (double)random() / std::mt19937::max();
	}

	/* 15 in 100 of the time, work takes pace_max times as long. */
	void
	ChangePace(Endpoint &e)
	{
		while (e.pace_ends_us <= now) {
			e.pace = Uniform() < 0.15 ? pace_max : 1;
			e.pace_ends_us =
			    (e.pace_ends_us == 0 ? now : e.pace_ends_us) +
			    (uint64_t)((300 + Uniform() * 600) * MS);
		}
	}

	/* Most results arrive soon, a few late. */
	void
	Send(const Endpoint &e, const Request &r, place_outcome outcome,
	    bool told = true)
	{
		Message m = {};
		double delay_ms =
		    Uniform() < 0.98 ? 2 + Uniform() * 8 : Uniform() * 500;

		m.at_us = now + (uint64_t)(delay_ms * MS);
		m.ask = r.ask;
		m.result.outcome = outcome;
		m.result.first_ms = (uint32_t)((now - r.sent_us) / MS) + 1;
		m.result.load_told = told;
		m.result.running = (uint32_t)e.running.size();
		m.result.waiting = (uint32_t)e.unread.size();
		m.result.slots = 64;
		m.result.work_percent = (uint32_t)(100 * e.pace *
		    (percent_of_factor > 0 ? e.factor : 1));
		messages.push_back(m);
	}

	void
	Deliver()
	{
		std::vector<Message> due;

		for (size_t i = 0; i < messages.size();)
			if (messages[i].at_us <= now) {
				due.push_back(messages[i]);
				messages.erase(messages.begin() + (long)i);
			} else {
				i++;
			}
		for (auto &m : due)
			place_done(p, now, {7, m.ask}, &m.result);
	}

	/* An engine reads the most urgent prompt first. */
	void
	RunEngine(Endpoint &e)
	{
		double tokens = 18 / e.factor / e.pace;

		e.busy_ms += now >= measure_from_us && !e.unread.empty();
		while (tokens > 0 && !e.unread.empty()) {
			auto next =
			    std::min_element(e.unread.begin(), e.unread.end(),
				[](const Request &a, const Request &b) {
					return a.urgency < b.urgency;
				});
			double read = std::min(tokens, next->left);

			tokens -= read;
			next->left -= read;
			if (next->left > 0)
				break;
			if (now >= measure_from_us)
				first_ms[next->urgency].push_back(
				    (double)(now - asked[next->ask].sent_us) /
				    MS);
			Send(e, *next, PLACE_FIRST_BYTE);
			next->left = 200;
			e.running.push_back(*next);
			e.unread.erase(next);
		}
		FinishRunning(e);
	}

	void
	FinishRunning(Endpoint &e)
	{
		for (size_t i = 0; i < e.running.size();) {
			if (--e.running[i].left > 0) {
				i++;
				continue;
			}
			Send(e, e.running[i], PLACE_SERVED, false);
			e.running.erase(e.running.begin() + (long)i);
		}
	}

	/* A plain endpoint runs each call in a slot of its own. */
	void
	RunPlain(Endpoint &e)
	{
		if (now < e.stalls_until_us)
			return;
		for (size_t i = 0; i < e.running.size();) {
			Request &r = e.running[i];

			r.left -= 1 / e.factor / e.pace;
			if (r.left > 0) {
				i++;
				continue;
			}
			bool fails = (int)(Uniform() * 100) < e.fail_percent;

			if (now >= measure_from_us) {
				double ms =
				    (double)(now - asked[r.ask].sent_us) / MS;

				call_ms.push_back(ms);
				late += ms > 300;
				failed += fails;
				unsafe_failed += fails && !r.may_repeat;
			}
			Send(
			    e, r, fails ? PLACE_ENDPOINT_FAILED : PLACE_SERVED);
			e.running.erase(e.running.begin() + (long)i);
		}
	}

	void
	TakeDecisions()
	{
		decisions.clear();
		Run();
		for (auto &d : decisions) {
			if (d.type == PLACE_REFUSE && now >= measure_from_us)
				refused++;
			if (d.type != PLACE_GRANT)
				continue;
			Endpoint &e = endpoints[d.endpoint];
			Request r = asked[d.id.ask];

			r.sent_us = now;
			r.urgency = d.urgency;
			e.granted++;
			e.granted_unsafe += !r.may_repeat;
			(d.endpoint[0] == 'e' ? e.unread : e.running)
			    .push_back(r);
		}
	}

	void
	AskOne(bool plain)
	{
		place_request r = {};
		Request q = {};

		q.may_repeat = Uniform() < 0.5;
		r.id = {7, ++last_ask};
		r.kind = plain
		    ? q.may_repeat ? GW_IDEMPOTENT : GW_NON_IDEMPOTENT
		    : GW_STREAM;
		r.service = plain ? "app" : "lm";
		r.model = plain ? nullptr : "m";
		r.prompt_tokens = (uint32_t)(300 * std::exp(Uniform() * 2.5));
		r.max_tokens = 80;
		r.priority = random() % 3;
		r.deadline_us = now + (plain ? 1500 : 4000) * MS;
		r.target_us = now + (plain ? 300 : 800) * MS;
		q.ask = last_ask;
		q.sent_us = now;
		q.left = plain ? 30 + Uniform() * 30 : r.prompt_tokens;
		asked[last_ask] = q;
		place_ask(p, now, &r);
	}

	/* Requests arrive in clumps of 3 by a wave of 17 s. */
	void
	Simulate(uint64_t ms, double per_ms, double wave, bool plain)
	{
		double due = 0;

		for (uint64_t t = 0; t < ms; t++) {
			now += MS;
			due += per_ms *
			    (1 + wave * std::sin(6.283 * (double)t / 17000));
			for (; due >= 3; due -= 3)
				for (int i = 0; i < 3; i++)
					AskOne(plain);
			if (t % 1000 == 0)
				plain ? Apps((int)endpoints.size())
				      : Engines((int)endpoints.size());
			Deliver();
			TakeDecisions();
			for (auto &e : endpoints) {
				ChangePace(e.second);
				plain ? RunPlain(e.second)
				      : RunEngine(e.second);
			}
		}
	}

	static double
	Mean(const std::vector<double> &values)
	{
		double sum = 0;

		for (double v : values)
			sum += v;
		return values.empty() ? 0 : sum / (double)values.size();
	}

	static double
	Quantile(std::vector<double> values, double q)
	{
		if (values.empty())
			return 0;
		std::sort(values.begin(), values.end());
		return values[(size_t)((double)(values.size() - 1) * q)];
	}
};

/*
 * Engines with 0.7, 0.7 and 1.7 times the work time, of which any may take 2.5
 * times as long for some hundred ms, under a wave of 55% and clumps of 3.
 * Guards against slow engines that get as much work as fast ones: the busiest
 * one is busy at most 1.3 times as long as the mean. Each is run with a pace
 * that tells the moment only, and with one that includes the lasting speed.
 */
TEST_F(PlaceUneven, engines_of_three_speeds_are_evenly_busy)
{
	const int n = 12;

	for (double of_factor : {0.0, 1.0}) {
		percent_of_factor = of_factor;
		endpoints.clear();
		for (int i = 1; i <= n; i++)
			endpoints["e" + std::to_string(i)].factor =
			    i % 3 == 0 ? 1.7 : 0.7;
		measure_from_us = now + 5000 * MS;
		first_ms.clear();
		refused = 0;
		/* 1,340 tokens at 18 tokens per ms: 0.62 of what they do */
		Simulate(39000,
		    0.62 * n * (2 / 0.7 + 1 / 1.7) / 3 / 1.225 * 18 / 1340,
		    0.55, false);
		double busiest = 0, sum = 0;

		for (auto &e : endpoints) {
			busiest = std::max(busiest, e.second.busy_ms);
			sum += e.second.busy_ms;
		}
		EXPECT_LE(busiest / (sum / n), 1.3);
		EXPECT_EQ(refused, 0);
		EXPECT_LT(Mean(first_ms[3]), Mean(first_ms[5]));
		now += 100000 * MS;
		TearDown();
		memory = node_effects_create();
		messages.clear();
		sequences.clear();
		SetUp();
	}
}

/*
 * One of six plain endpoints completes nothing for 3 s. Guards against calls
 * that are sent there meanwhile: more than its slots and a few.
 */
TEST_F(PlaceUneven, a_stalled_plain_endpoint_gets_few_calls)
{
	for (int i = 1; i <= 6; i++)
		endpoints["a" + std::to_string(i)];
	measure_from_us = now + 3000 * MS;
	/* 45 ms in 36 slots with a mean pace of 1.2: 0.5 of them are used */
	Simulate(3000, 0.5 * 36 / 45 / 1.225, 0, true);
	Endpoint &e = endpoints["a3"];
	e.stalls_until_us = now + 3000 * MS;
	e.granted = 0;
	Simulate(3000, 0.5 * 36 / 45 / 1.225, 0, true);
	EXPECT_LE(e.granted, 9);
	EXPECT_LE(late, (int)call_ms.size() / 50);
	EXPECT_EQ(refused, 0);
	e.granted = 0;
	Simulate(5000, 0.5 * 36 / 45 / 1.225, 0, true);
	EXPECT_GT(e.granted, 100) << "it is used again afterwards";
}

/*
 * One of six plain endpoints fails 14 in 100 calls. Guards against calls that
 * may not be repeated which are sent there as often as to the others.
 */
TEST_F(PlaceUneven, unrepeatable_calls_avoid_a_failing_endpoint)
{
	int all = 0, unsafe = 0;

	for (int i = 1; i <= 6; i++)
		endpoints["a" + std::to_string(i)];
	endpoints["a2"].fail_percent = 14;
	Simulate(3000, 0.5 * 36 / 45 / 1.225, 0, true);
	for (auto &e : endpoints)
		e.second.granted = e.second.granted_unsafe = 0;
	measure_from_us = now;
	Simulate(20000, 0.5 * 36 / 45 / 1.225, 0.55, true);
	for (auto &e : endpoints) {
		all += e.second.granted;
		unsafe += e.second.granted_unsafe;
	}
	EXPECT_LE(endpoints["a2"].granted_unsafe, unsafe / 6 / 4);
	EXPECT_LE(unsafe_failed, unsafe / 100);
}

/*
 * One of four plain endpoints takes 1.7 times as long and the others 0.7, near
 * the limit of all. Guards against calls that go to a slow endpoint's free slot
 * although a faster one would complete them earlier, and against one that
 * idles.
 */
TEST_F(PlaceUneven, a_slow_plain_endpoint_gets_its_share_at_most)
{
	const double per_ms = 6 / 45.0 * (3 / 0.7 + 1 / 1.7) / 1.225;
	int all = 0;

	for (int i = 1; i <= 4; i++)
		endpoints["a" + std::to_string(i)].factor = i == 4 ? 1.7 : 0.7;
	Simulate(3000, 0.6 * per_ms, 0, true);
	measure_from_us = now;
	for (auto &e : endpoints)
		e.second.granted = 0;
	Simulate(17000, 0.6 * per_ms, 0, true);
	for (auto &e : endpoints)
		all += e.second.granted;
	EXPECT_LE(endpoints["a4"].granted, all * 0.13);
	EXPECT_GE(endpoints["a4"].granted, all * 0.005);
	EXPECT_LE(late, (int)call_ms.size() / 50);
}

/* ---- single decisions --------------------------------------------------- */

/*
 * An engine with two long prompts of low urgency and one with a shorter one of
 * high urgency. Guards against an urgent request that is kept away from the
 * first, where it is read at once, and against a less urgent one that is sent
 * there to wait behind both.
 */
TEST_F(PlaceUneven, an_urgent_request_waits_for_urgent_prompts_only)
{
	auto ask = [this](uint32_t priority, uint32_t tokens,
		       const char *avoid = nullptr) {
		place_request r = {};

		r.id = {7, ++last_ask};
		r.kind = GW_STREAM;
		r.service = "lm";
		r.model = "m";
		r.prompt_tokens = tokens;
		r.max_tokens = 80;
		r.priority = priority;
		r.deadline_us = now + 4000 * MS;
		r.target_us = now + 2000 * MS;
		if (avoid != nullptr)
			r.avoid[r.navoid++] = avoid;
		place_ask(p, now, &r);
		Run();
		return DecisionOn(last_ask);
	};

	Engines(2);
	ask(3, 9000, "e2");
	ask(3, 9000, "e2");
	ask(0, 6000, "e1");
	auto *urgent = ask(0, 300);
	ASSERT_NE(urgent, nullptr);
	EXPECT_STREQ(urgent->endpoint, "e1");
	EXPECT_LT(urgent->basis.estimate_ms, 100u);
	auto *less_urgent = ask(3, 300);
	ASSERT_NE(less_urgent, nullptr);
	EXPECT_STREQ(less_urgent->endpoint, "e2");
	EXPECT_GT(less_urgent->basis.backlog_ms, 200u);
}

/*
 * Requests of an earlier owner that an engine tells of use its memory and
 * slots. Guards against a request that makes an engine exceed its memory.
 */
TEST_F(PlaceUneven, what_others_run_at_an_engine_takes_its_memory)
{
	place_result first = {};
	uint64_t ask;

	services[0].engine.kv_tokens = 10000;
	Engines(1);
	ask = Ask("", 2000);
	Run();
	ASSERT_NE(DecisionOn(ask), nullptr);
	now += 100 * MS;
	first.outcome = PLACE_FIRST_BYTE;
	first.load_told = true;
	first.running = 4;
	first.slots = 64;
	place_done(p, now, {7, ask}, &first);
	ask = Ask("", 2000);
	Run();
	EXPECT_EQ(DecisionOn(ask), nullptr) << "4 of 2,080 tokens run there";
	now += 3000 * MS;
	Engines(1);
	ask = Ask("", 2000);
	Run();
	ASSERT_NE(DecisionOn(ask), nullptr) << "that account is old";
	EXPECT_EQ(DecisionOn(ask)->type, PLACE_GRANT);
}

/*
 * More calls than endpoints complete before their deadline. Guards against
 * calls that stay queued until then, and callers who all return at one time.
 */
TEST_F(PlaceUneven, calls_that_would_be_too_late_are_refused_at_once)
{
	std::vector<uint64_t> asks;
	std::vector<uint32_t> returns;
	int granted = 0, waiting = 0;

	Apps(1);
	for (int i = 0; i < 100; i++) {
		place_request r = {};

		r.id = {7, ++last_ask};
		r.kind = GW_IDEMPOTENT;
		r.service = "app";
		r.deadline_us = now + 500 * MS;
		r.target_us = now + 150 * MS;
		place_ask(p, now, &r);
		asks.push_back(last_ask);
	}
	for (int i = 0; i < 10; i++, now += 2 * MS)
		Run();
	for (auto ask : asks) {
		auto *d = DecisionOn(ask);

		if (d == nullptr)
			waiting++;
		else if (d->type == PLACE_GRANT)
			granted++;
		else
			returns.push_back(d->retry_after_ms);
	}
	EXPECT_EQ(granted, 6);
	/* 6 calls in 50 ms, 500 ms less the time of the last one */
	EXPECT_GE(waiting, 36);
	EXPECT_LE(waiting, 54);
	ASSERT_GE(returns.size(), 40u);
	std::sort(returns.begin(), returns.end());
	EXPECT_GT(returns.front(), 300u);
	EXPECT_GT(returns.back(), returns.front() + 200);
}

/* An engine that starts has the speed of the others, not a constant one. */
TEST_F(PlaceUneven, a_new_engine_starts_at_the_mean_of_the_others)
{
	const place_decision *d;
	uint64_t ask;

	Engines(1);
	for (int i = 0; i < 60; i++) {
		ask = Ask("", 1800);
		Run();
		now += 300 * MS;
		Done(ask, PLACE_SERVED, 300);
		if (i % 10 == 0)
			Engines(1);
	}
	Announce({"e2"});
	ask = Ask("", 1800, 0, "e1");
	Run();
	d = DecisionOn(ask);
	ASSERT_NE(d, nullptr);
	EXPECT_STREQ(d->endpoint, "e2");
	EXPECT_NEAR(d->basis.estimate_ms, 300, 40);
}

/* The limit of loads at the placer follows loads that are late. */
TEST_F(PlaceUneven, late_loads_lower_the_limit_and_raise_the_time)
{
	gw_report report = {};
	gw_loaded_model loaded[] = {{"m", nullptr, 1}};
	std::map<uint64_t, std::string> adapters;
	place_state before, after;
	int orders = 0;

	Engines(60);
	Run();
	report.loaded = loaded;
	report.nloaded = 1;
	for (int i = 1; i <= 60; i++)
		place_on_report(
		    p, now, ("e" + std::to_string(i)).c_str(), &report);
	place_get_state(p, &before);
	EXPECT_EQ(before.loading_max, 27u);
	for (int i = 0; i < 40; i++) {
		std::string adapter = "r" + std::to_string(i);

		adapters[Ask(adapter, 500)] = adapter;
	}
	for (int ms = 0; ms < 700; ms++, now += MS) {
		decisions.clear();
		Run();
		for (auto &d : decisions) {
			if (d.type == PLACE_REPORT)
				place_on_report(p, now, d.endpoint, &report);
			if (d.type == PLACE_ORDER) {
				orders++;
				place_on_order_result(p, now, d.endpoint,
				    GW_ORDER_STARTED, false);
			}
			/* the first requests find their adapters missing */
			if (d.type == PLACE_GRANT && ms < 290) {
				Done(d.id.ask, PLACE_STATE_MISMATCH);
				adapters[Ask(adapters[d.id.ask], 500)] =
				    adapters[d.id.ask];
			} else if (d.type == PLACE_GRANT) {
				Done(d.id.ask, PLACE_SERVED);
			}
		}
	}
	place_get_state(p, &after);
	EXPECT_GE(orders, 27);
	EXPECT_GT(after.loads_late, 0u);
	EXPECT_LT(after.loading_max, before.loading_max);
}
