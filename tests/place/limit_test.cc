#include "place/place_guard.h"
#include "place_fixture.h"

/* Endpoints that name how many requests a second they take. */
class PlaceLimit : public PlaceTest {
      protected:
	place_limit_share share = {1, 0};

	/* A new placer. */
	void
	Restart()
	{
		decisions.clear();
		sequences.clear();
		place_destroy(p);
		p = place_create(&options);
		place_configure(p, &config);
	}

	static place_limit_share
	GetShare(void *ctx, const char *, const char *)
	{
		return static_cast<PlaceLimit *>(ctx)->share;
	}

	static place_limit
	Limit(int milli)
	{
		place_limit l = {milli >= 0, milli < 0 ? 0u : (uint32_t)milli};

		return l;
	}

	/* The response to a request; milli < 0: it names no limit. */
	void
	DoneTelling(uint64_t ask, int milli)
	{
		place_result end = {};

		end.outcome = PLACE_SERVED;
		end.limit_told = true;
		end.limit = Limit(milli);
		place_done(p, now, {7, ask}, &end);
	}

	uint64_t
	Granted()
	{
		uint64_t ask = AskPlain();

		Run();
		return ask;
	}

	place_limit
	Known(const char *id)
	{
		place_limit_info info;
		size_t i;

		EXPECT_TRUE(place_endpoint_index(p, id, &i));
		place_limit_get(p, i, &info);
		return info.limit;
	}

	/* Grants of a1 while calls queue up for some time. */
	int
	GrantsIn(uint64_t ms, int calls_per_100_ms = 2)
	{
		int granted = 0;

		for (uint64_t t = 0; t < ms; t += 10, now += 10 * MS) {
			for (int i = 0; t % 100 == 0 && i < calls_per_100_ms;
			     i++)
				(void)AskPlain();
			if (t % 1000 == 0)
				Apps(1);
			decisions.clear();
			Run();
			for (auto &d : decisions)
				if (d.type == PLACE_GRANT) {
					granted++;
					Done(d.id.ask, PLACE_SERVED);
				}
		}
		return granted;
	}
};

/* Each row: a limit is known, a response to a request says another one. */
TEST_F(PlaceLimit, a_higher_limit_is_believed_of_later_requests_only)
{
	static const struct {
		const char *what;
		int known, said;
		bool granted_before; /* the known one was named */
		int then;
	} rows[] = {
	    {"none, then named", -1, 2000, true, 2000},
	    {"lower", 2000, 1000, true, 1000},
	    {"lower, later", 2000, 1000, false, 1000},
	    {"higher, earlier request", 2000, 9000, true, 2000},
	    {"higher, later request", 2000, 9000, false, 9000},
	    {"lifted, earlier request", 2000, -1, true, 2000},
	    {"lifted, later request", 2000, -1, false, -1},
	    {"zero", 2000, 0, false, 0},
	};

	for (auto &row : rows) {
		uint64_t teller, early, late;

		SCOPED_TRACE(row.what);
		Restart();
		Apps(1);
		teller = Granted();
		early = Granted();
		now += 10 * MS;
		DoneTelling(teller, row.known);
		now += 2000 * MS; /* there is a token */
		late = Granted();
		DoneTelling(row.granted_before ? early : late, row.said);
		EXPECT_EQ(Known("a1").is_limited, row.then >= 0);
		if (row.then >= 0) {
			EXPECT_EQ(Known("a1").requests_per_s_milli,
			    (uint32_t)row.then);
		}
	}
}

/*
 * Guards against more requests than an endpoint takes, against one that gets
 * much less, and against one at zero of which nothing is learnt any more.
 */
TEST_F(PlaceLimit, grants_follow_the_limit)
{
	static const struct {
		int milli;
		double fraction, min, max; /* of 10 s */
	} rows[] = {{2000, 1, 18, 21}, {8000, 1, 75, 83}, {1300, 1, 11, 14},
	    {0, 1, 1, 3}, {2000, 0.25, 4, 6}, {2000, 0, 0, 0}};

	for (auto &row : rows) {
		int granted;

		Restart();
		place_set_limit_share_fn(p, GetShare, this);
		share = {row.fraction, 0};
		Apps(1);
		DoneTelling(Granted(), row.milli);
		granted = GrantsIn(10000);
		EXPECT_GE(granted, row.min) << row.milli;
		EXPECT_LE(granted, row.max) << row.milli;
	}
}

TEST_F(PlaceLimit, a_limit_holds_for_its_process)
{
	Engine next = {"a1"};
	uint64_t ask;

	Apps(1);
	ask = Granted();
	DoneTelling(ask, 1000);
	EXPECT_TRUE(Known("a1").is_limited);
	next.service = "app";
	next.address = "10.0.1.1:80";
	next.born = 2;
	Announce(next);
	EXPECT_FALSE(Known("a1").is_limited);
	place_limit limit = Limit(1000);
	place_apply_limit(p, now, "a1", 1, &limit, true);
	EXPECT_FALSE(Known("a1").is_limited) << "of the earlier process";
	place_apply_limit(p, now, "a1", 2, &limit, true);
	EXPECT_TRUE(Known("a1").is_limited);
}

/* Each row: what this instance was told, then what the table says later. */
TEST_F(PlaceLimit, the_table_yields_to_what_this_instance_is_told)
{
	static const struct {
		const char *what;
		int told, table;
		double fraction;
		uint64_t later_ms;
		int then;
		bool is_published;
	} rows[] = {
	    {"the placer", 2000, -1, 1, 60000, 2000, true},
	    {"the placer, alike", 2000, 2000, 1, 60000, 2000, false},
	    {"an entry, recently", 2000, -1, 0.1, 500, 2000, true},
	    {"an entry, long ago", 2000, -1, 0.1, 2000, -1, false},
	    {"an entry, another limit", 2000, 3000, 0.1, 2000, 3000, false},
	};

	for (auto &row : rows) {
		place_limit table = Limit(row.table);
		place_limit_info info;

		SCOPED_TRACE(row.what);
		Restart();
		place_set_limit_share_fn(p, GetShare, this);
		share = {row.fraction, 0};
		Apps(1);
		DoneTelling(Granted(), row.told);
		now += row.later_ms * MS;
		place_apply_limit(p, now, "a1", 1, &table, true);
		EXPECT_EQ(Known("a1").is_limited, row.then >= 0);
		if (row.then >= 0) {
			EXPECT_EQ(Known("a1").requests_per_s_milli,
			    (uint32_t)row.then);
		}
		EXPECT_EQ(place_next_unpublished_limit(p, now, &info),
		    row.is_published);
		EXPECT_FALSE(place_next_unpublished_limit(p, now, &info))
		    << "at intervals";
	}
}

/* A call goes to another endpoint, and none waits while one has room. */
TEST_F(PlaceLimit, other_endpoints_take_what_is_beyond_it)
{
	Apps(2);
	for (int i = 0; i < 4; i++)
		(void)AskPlain();
	Run();
	for (auto &d : std::vector<place_decision>(decisions)) {
		if (strcmp(d.endpoint, "a1") == 0)
			DoneTelling(d.id.ask, 1000);
		else
			Done(d.id.ask, PLACE_SERVED);
	}
	decisions.clear();
	for (int i = 0; i < 6; i++)
		(void)AskPlain();
	Run();
	EXPECT_EQ(decisions.size(), 6u);
	for (auto &d : decisions)
		EXPECT_STREQ(d.endpoint, "a2");
}

/*
 * Guards against calls that are held until their deadline in vain, and against
 * refused callers who are all asked to return at the same time.
 */
TEST_F(PlaceLimit, calls_beyond_all_limits_are_refused_at_once)
{
	std::vector<uint32_t> return_ms;

	Apps(1);
	DoneTelling(Granted(), 2000);
	decisions.clear();
	for (int i = 0; i < 12; i++)
		(void)AskPlain(); /* each has 4 s */
	Run();
	for (auto &d : decisions)
		if (d.type == PLACE_REFUSE) {
			EXPECT_STREQ(d.reason, "endpoints-limited");
			return_ms.push_back(d.retry_after_ms);
		}
	EXPECT_GE(return_ms.size(), 4u);
	EXPECT_LE(return_ms.size(), 6u);
	for (size_t i = 0; i < return_ms.size(); i++) {
		EXPECT_GE(return_ms[i], 3000u) << "tokens before are taken";
		EXPECT_EQ(std::count(
			      return_ms.begin(), return_ms.end(), return_ms[i]),
		    1);
	}
}

/*
 * Guards against a call that waits until its deadline at an instance that may
 * use none of the limits, as another one may.
 */
TEST_F(PlaceLimit, calls_that_another_instance_should_place_do_not_wait_long)
{
	uint64_t ask;

	place_set_limit_share_fn(p, GetShare, this);
	share = {0, 0};
	Apps(2);
	for (int i = 0; i < 2; i++)
		(void)AskPlain();
	Run();
	for (auto &d : std::vector<place_decision>(decisions))
		DoneTelling(d.id.ask, 2000);
	place_limit limit = Limit(2000);
	for (const char *id : {"a1", "a2"})
		place_apply_limit(p, now, id, 1, &limit, false);
	ask = Granted(); /* has 4 s */
	EXPECT_EQ(DecisionOn(ask), nullptr);
	now += 240 * MS;
	Run();
	EXPECT_EQ(DecisionOn(ask), nullptr);
	now += 10 * MS;
	Run();
	ASSERT_NE(DecisionOn(ask), nullptr);
	EXPECT_EQ(DecisionOn(ask)->type, PLACE_REFUSE);
	EXPECT_STREQ(DecisionOn(ask)->reason, "endpoints-limited");
	share = {1, 1};
	now += 500 * MS;
	EXPECT_EQ(DecisionOn(Granted())->type, PLACE_GRANT);
}

/*
 * Guards against a refusal for limits where the service has no endpoint for the
 * time being: others may be about to replace those that leave.
 */
TEST_F(PlaceLimit, a_service_without_endpoints_is_not_limited)
{
	uint64_t ask;

	Apps(2);
	DoneTelling(Granted(), 1000);
	Announce({"e1"}, {{"m", "x", 1}});
	ask = Ask("x");
	Run();
	DoneTelling(ask, 1000); /* a limit that concerns another service */
	place_set_leaving(p, now, "a1", 1);
	place_set_leaving(p, now, "a2", 1);
	ask = Granted(); /* has 4 s */
	now += 1000 * MS;
	Run();
	EXPECT_EQ(DecisionOn(ask), nullptr) << "it waits";
	Engine next = {"a3"};
	next.service = "app";
	next.slots = 6;
	next.address = "10.0.1.3:80";
	Announce(next);
	Run();
	ASSERT_NE(DecisionOn(ask), nullptr);
	EXPECT_EQ(DecisionOn(ask)->type, PLACE_GRANT);
}

/* A model request waits for its engine's limit, unless another engine takes it.
 */
TEST_F(PlaceLimit, model_requests_go_to_other_engines)
{
	int at_e1 = 0, refused = 0;

	Announce({"e1"}, {{"m", "x", 1}});
	uint64_t first = Ask("x");
	Run();
	DoneTelling(first, 1000);
	Announce({"e2"}, {{"m", "x", 1}});
	for (int i = 0; i < 40; i++, now += 100 * MS) {
		uint64_t ask = Ask("x", 100);

		Run();
		const place_decision *d = DecisionOn(ask);
		ASSERT_NE(d, nullptr) << "it does not wait";
		refused += d->type == PLACE_REFUSE;
		at_e1 +=
		    d->type == PLACE_GRANT && strcmp(d->endpoint, "e1") == 0;
		if (d->type == PLACE_GRANT)
			Done(ask, PLACE_SERVED, 20);
	}
	EXPECT_EQ(refused, 0);
	EXPECT_LE(at_e1, 5);
}

TEST_F(PlaceLimit, unreadable_limits_are_reported_once_a_process)
{
	EXPECT_TRUE(place_record_invalid_limit(p, "e1", 1));
	EXPECT_FALSE(place_record_invalid_limit(p, "e1", 1));
	EXPECT_TRUE(place_record_invalid_limit(p, "e1", 2));
	EXPECT_TRUE(place_record_invalid_limit(p, "e2", 1));
	place_totals t;
	place_get_totals(p, &t);
	EXPECT_EQ(t.invalid_limits, 4u);
}
