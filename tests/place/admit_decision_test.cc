#include <set>

#include "place_fixture.h"

/* Single decisions of admission, in the order in which requests are granted. */

class PlaceAdmit : public PlaceTest {
      protected:
	void
	SetUp() override
	{
		PlaceTest::SetUp();
		config.has_accounts = true;
		place_configure(p, &config);
	}

	uint64_t
	AskAs(const char *account, uint32_t priority, int objective_ms,
	    int deadline_ms, uint32_t tokens = 2000, gw_kind kind = GW_STREAM)
	{
		place_request r = {};

		r.id = {7, ++last_ask};
		r.kind = kind;
		r.service = "lm";
		r.model = "m";
		r.prompt_tokens = tokens;
		r.max_tokens = 10;
		r.deadline_us = now + (uint64_t)deadline_ms * MS;
		r.target_us = now + (uint64_t)objective_ms * MS;
		r.priority = priority;
		r.account = account;
		place_ask(p, now, &r);
		return last_ask;
	}

	/* Fill the only engine with prompts, so that capacity is short. */
	std::vector<uint64_t>
	Fill(int n)
	{
		std::vector<uint64_t> asks;

		for (int i = 0; i < n; i++) {
			asks.push_back(AskAs("big", 1, 1000, 20000));
			Run();
			now += MS;
		}
		return asks;
	}

	bool
	IsGranted(uint64_t ask) const
	{
		const place_decision *d = DecisionOn(ask);

		return d != nullptr && d->type == PLACE_GRANT;
	}

	/* End the granted requests and run until these are decided. */
	std::vector<uint64_t>
	GrantOrder(std::vector<uint64_t> asks, int ms = 6000)
	{
		std::vector<uint64_t> order;
		std::set<uint64_t> done;

		for (int i = 0; i < ms; i++, now += MS) {
			Run();
			if (i % 111 != 0)
				continue;
			for (auto &d : decisions)
				if (d.type == PLACE_GRANT &&
				    done.insert(d.id.ask).second) {
					Done(d.id.ask, PLACE_FIRST_BYTE);
					Done(d.id.ask, PLACE_SERVED);
					if (std::count(asks.begin(), asks.end(),
						d.id.ask) > 0)
						order.push_back(d.id.ask);
					break;
				}
		}
		return order;
	}
};

/* Guards against late requests that delay those that can be in time. */
TEST_F(PlaceAdmit, late_requests_run_after_timely_ones)
{
	uint64_t late, timely, urgent;

	Engines(1);
	Fill(8);
	late = AskAs("a", 1, 1, 20000);
	timely = AskAs("a", 1, 5000, 20000);
	urgent = AskAs("a", 0, 5000, 20000);
	Run();
	ASSERT_FALSE(IsGranted(late));
	std::vector<uint64_t> order = GrantOrder({late, timely, urgent});
	EXPECT_EQ(order, (std::vector<uint64_t>{urgent, timely, late}));
	EXPECT_GT(DecisionOn(late)->urgency, DecisionOn(timely)->urgency)
	    << "at the engine too";
	EXPECT_GT(DecisionOn(timely)->urgency, DecisionOn(urgent)->urgency);
}

/*
 * Guards against room that appears as the engine reads on, and that a new
 * request gets since it is evaluated before those that are held.
 */
TEST_F(PlaceAdmit, a_new_request_does_not_pass_more_urgent_held_ones)
{
	uint64_t urgent, fresh;
	int ms;

	Engines(1);
	Fill(8);
	urgent = AskAs("big", 1, 10000, 20000);
	Run();
	ASSERT_FALSE(IsGranted(urgent));
	for (ms = 0; ms < 1000 && !IsGranted(urgent); ms++, now += MS) {
		fresh = AskAs("big", 2, 10000, 20000, 10);
		Run();
		ASSERT_FALSE(IsGranted(fresh)) << ms;
	}
	EXPECT_LT(ms, 1000);
}

/* Guards against a request that is held until a deadline it can't meet. */
TEST_F(PlaceAdmit, what_cant_meet_its_deadline_is_refused_at_once)
{
	uint32_t last = 0;

	Engines(1);
	Fill(60);
	for (int i = 0; i < 5; i++) {
		uint64_t ask = AskAs("big", 2, 500, 2000);

		now += 5 * MS;
		Run();
		ASSERT_NE(DecisionOn(ask), nullptr) << i;
		EXPECT_EQ(DecisionOn(ask)->type, PLACE_REFUSE);
		EXPECT_GT(DecisionOn(ask)->retry_after_ms, last)
		    << "callers return one after another";
		last = DecisionOn(ask)->retry_after_ms;
	}
}

/*
 * Guards against a refusal because of requests ahead that are refused as well:
 * they take no time.
 */
TEST_F(PlaceAdmit, refused_requests_do_not_delay_those_behind)
{
	std::vector<uint64_t> hopeless;
	uint64_t last;

	Engines(1);
	Fill(60);
	for (int i = 0; i < 40; i++)
		hopeless.push_back(AskAs("big", 2, 100, 1000));
	last = AskAs("big", 2, 8000, 9000, 2000, GW_NON_IDEMPOTENT);
	now += 5 * MS;
	Run();
	for (auto ask : hopeless) {
		ASSERT_NE(DecisionOn(ask), nullptr);
		EXPECT_EQ(DecisionOn(ask)->type, PLACE_REFUSE);
	}
	EXPECT_EQ(DecisionOn(last), nullptr);
}

/*
 * Guards against a refusal since timely requests before a late one are taken to
 * run at the rate of late ones.
 */
TEST_F(PlaceAdmit, timely_requests_delay_a_late_one_at_full_speed)
{
	uint64_t late;

	Engines(1);
	Fill(8);
	for (int i = 0; i < 40; i++)
		(void)AskAs("big", 0, 8000, 20000);
	/* 80,000 tokens before it take less than 5 s */
	late = AskAs("big", 0, 1, 7000, 2000, GW_NON_IDEMPOTENT);
	now += 5 * MS;
	Run();
	EXPECT_EQ(DecisionOn(late), nullptr);
}

/* Guards against a refusal of an account below its share for one above it. */
TEST_F(PlaceAdmit, an_account_over_its_share_is_refused_first)
{
	uint64_t over, below;

	Engines(1);
	Fill(60);
	over = AskAs("big", 2, 500, 2500);
	below = AskAs("small", 2, 500, 2500);
	now += 5 * MS;
	Run();
	ASSERT_NE(DecisionOn(over), nullptr);
	EXPECT_EQ(DecisionOn(over)->type, PLACE_REFUSE);
	EXPECT_STREQ(DecisionOn(over)->basis.account, "big");
	EXPECT_EQ(DecisionOn(below), nullptr);
}

/*
 * Guards against the refusal of a request that has one try only, at an estimate
 * that leaves it a chance.
 */
TEST_F(PlaceAdmit, a_request_that_must_not_run_twice_is_refused_later)
{
	uint64_t once, repeatable;
	int decided_once = 0, decided_repeatable = 0;

	for (int deadline_ms = 200; deadline_ms <= 12000; deadline_ms += 100) {
		TearDown();
		SetUp();
		decisions.clear();
		Engines(1);
		Fill(60);
		once =
		    AskAs("big", 2, 100, deadline_ms, 2000, GW_NON_IDEMPOTENT);
		now += 5 * MS;
		Run();
		decided_once += DecisionOn(once) != nullptr;
		repeatable =
		    AskAs("big", 2, 100, deadline_ms, 2000, GW_IDEMPOTENT);
		now += 5 * MS;
		Run();
		decided_repeatable += DecisionOn(repeatable) != nullptr;
	}
	EXPECT_GT(decided_once, 0);
	EXPECT_GT(decided_repeatable, decided_once);
}

/* Guards against another order where nothing is short. */
TEST_F(PlaceAdmit, without_a_shortage_the_order_is_by_due_time)
{
	place_totals totals;
	uint64_t later, sooner;

	Engines(3);
	later = AskAs("a", 0, 5000, 8000);
	sooner = AskAs("b", 5, 500, 8000);
	Run();
	ASSERT_EQ(decisions.size(), 2u);
	EXPECT_EQ(decisions[0].id.ask, sooner);
	EXPECT_EQ(decisions[1].id.ask, later);
	place_get_totals(p, &totals);
	EXPECT_EQ(totals.held, 0u);
}

/* Guards against charges of requests that did not run. */
TEST_F(PlaceAdmit, a_request_that_did_not_run_costs_nothing)
{
	struct {
		place_outcome outcome;
		bool is_charged;
	} cases[] = {
	    {PLACE_SERVED, true},
	    {PLACE_ENDPOINT_FAILED, true},
	    {PLACE_ENDPOINT_FULL, false},
	    {PLACE_STATE_MISMATCH, false},
	    {PLACE_NOT_SENT, false},
	    {PLACE_ABANDONED, false},
	};
	place_account_info info[4];

	for (auto &c : cases) {
		SCOPED_TRACE(c.outcome);
		TearDown();
		SetUp();
		decisions.clear();
		Engines(1);
		uint64_t ask = AskAs("a", 0, 1000, 4000);

		Run();
		ASSERT_TRUE(IsGranted(ask));
		EXPECT_EQ(place_take_charges(p, info, 4), 0u);
		Done(ask, c.outcome);
		ASSERT_EQ(place_take_charges(p, info, 4), c.is_charged);
		if (c.is_charged) {
			EXPECT_STREQ(info[0].name, "a");
			/* 2 for each of half of 10 output tokens */
			EXPECT_EQ(info[0].charge_milli, 2010000u);
		}
		EXPECT_EQ(place_take_charges(p, info, 4), 0u) << "told once";
	}
}

/* Guards against reports that leave out the accounts that changed most. */
TEST_F(PlaceAdmit, the_largest_unsent_charges_are_reported_first)
{
	place_account_info info[2];
	const char *names[] = {"a", "b", "c", "d"};

	Engines(4);
	for (uint32_t i = 0; i < 4; i++) {
		uint64_t ask = AskAs(names[i], 0, 1000, 4000, 500 + 100 * i);

		Run();
		Done(ask, PLACE_SERVED);
	}
	ASSERT_EQ(place_take_charges(p, info, 2), 2u);
	EXPECT_STREQ(info[0].name, "d");
	EXPECT_STREQ(info[1].name, "c");
	ASSERT_EQ(place_take_charges(p, info, 2), 2u);
	EXPECT_STREQ(info[0].name, "b");
	EXPECT_STREQ(info[1].name, "a");
}

/*
 * Guards against an urgency at the engine that ranks a route's priority before
 * the account's, or maps two pairs of priorities to one level.
 */
TEST_F(PlaceAdmit, urgency_is_monotone_in_both_priorities)
{
	gw_account accounts[3] = {}, *account_list[3];
	gw_route routes[3] = {}, *route_list[3];
	uint32_t last = 0;

	Engines(1);
	for (uint32_t i = 0; i < 3; i++) {
		accounts[i].name = (char *)(i == 0 ? "a0"
			: i == 1		   ? "a1"
						   : "a2");
		accounts[i].priority = i;
		routes[i].priority = 2 * i;
		account_list[i] = &accounts[i];
		route_list[i] = &routes[i];
	}
	config.accounts = account_list;
	config.naccounts = 3;
	config.routes = route_list;
	config.nroutes = 3;
	place_configure(p, &config);
	for (uint32_t i = 0; i < 9; i++) {
		place_request r = {};

		r.id = {7, ++last_ask};
		r.kind = GW_STREAM;
		r.service = "lm";
		r.model = "m";
		r.prompt_tokens = 10;
		r.deadline_us = now + 4000 * MS;
		r.target_us = now + 2000 * MS;
		r.account = accounts[i / 3].name;
		r.account_priority = i / 3;
		r.priority = 2 * (i % 3);
		place_ask(p, now, &r);
		Run();
		ASSERT_TRUE(IsGranted(last_ask));
		EXPECT_EQ(DecisionOn(last_ask)->urgency, i);
		EXPECT_GE(DecisionOn(last_ask)->urgency, last);
		last = DecisionOn(last_ask)->urgency;
	}
	place_configure(p, nullptr);
}

/*
 * Guards against adapter loads of an account over its share that go before
 * those of one below it, and of less urgent requests before urgent ones. The
 * baseline orders them by age.
 */
TEST_F(PlaceAdmit, loads_go_by_share_then_urgency)
{
	for (bool baseline : {true, false}) {
		SCOPED_TRACE(baseline);
		std::vector<std::string> order;
		place_request r = {};
		uint64_t orders = 0;

		TearDown();
		options.max_adapter_loads = 1;
		SetUp();
		decisions.clear();
		if (baseline)
			place_use_baseline_order(p);
		Engines(1);
		AskAs("small", 1, 1000, 20000, 10); /* keeps it busy */
		Run();
		for (int i = 0; i < 10; i++) {
			uint64_t ask = AskAs("big", 1, 1000, 20000, 1000);

			Run();
			Done(ask, PLACE_SERVED);
		}
		const struct {
			const char *account, *adapter;
			uint32_t priority;
		} asks[] = {{"big", "b0", 1}, {"big", "b1", 1},
		    {"big", "b2", 0}, {"small", "s1", 1}};

		for (auto &a : asks) {
			r.id = {7, ++last_ask};
			r.kind = GW_STREAM;
			r.service = "lm";
			r.model = "m";
			r.adapter = a.adapter;
			r.prompt_tokens = 10;
			r.deadline_us = now + 20000 * MS;
			r.target_us = now + 8000 * MS;
			r.priority = a.priority;
			r.account = a.account;
			place_ask(p, now, &r);
			Run();
			now += MS;
		}
		for (int ms = 0; ms < 4000; ms++, now += MS) {
			std::vector<place_decision> all;

			Run();
			all.swap(decisions);
			for (auto &d : all) {
				gw_report report = {};
				gw_loaded_model loaded = {"m", nullptr, 1};

				report.accepted_orders = orders;
				report.loaded = &loaded;
				report.nloaded = 1;
				if (d.type == PLACE_REPORT)
					place_on_report(
					    p, now, d.endpoint, &report);
				if (d.type != PLACE_ORDER)
					continue;
				orders++;
				order.push_back(d.order.adapter);
				place_on_order_result(p, now, d.endpoint,
				    GW_ORDER_STARTED, false);
			}
		}
		ASSERT_EQ(order.size(), 4u);
		if (baseline)
			EXPECT_EQ(order,
			    (std::vector<std::string>{"b0", "b1", "b2", "s1"}));
		else
			EXPECT_EQ(order,
			    (std::vector<std::string>{"b0", "s1", "b2", "b1"}));
	}
}
