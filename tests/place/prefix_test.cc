#include "place_fixture.h"

/*
 * Requests whose prompts begin alike, at engines that keep parts of prompts in
 * the memory that running requests leave: 100,000 tokens in all.
 */
class PlacePrefix : public PlaceTest {
      protected:
	/* Ask for a prompt of shared parts, each of part_tokens, and 200 more.
	 */
	uint64_t
	AskParts(std::vector<uint64_t> parts, uint32_t part_tokens,
	    const char *avoid = nullptr)
	{
		place_request r = {};
		std::vector<gw_prompt_part> list;

		for (auto hash : parts)
			list.push_back({hash, part_tokens});
		r.id = {7, ++last_ask};
		r.kind = GW_STREAM;
		r.service = "lm";
		r.model = "m";
		r.parts = list.data();
		r.nparts = list.size();
		r.prompt_tokens = part_tokens * (uint32_t)parts.size() + 200;
		r.max_tokens = 80;
		r.deadline_us = now + 60000 * MS;
		r.target_us = now + 30000 * MS;
		if (avoid != nullptr)
			r.avoid[r.navoid++] = avoid;
		place_ask(p, now, &r);
		Run();
		return last_ask;
	}

	const char *
	EndpointOf(uint64_t ask)
	{
		auto *d = DecisionOn(ask);

		return d == nullptr || d->endpoint == nullptr ? ""
							      : d->endpoint;
	}

	uint32_t
	EstimateOf(uint64_t ask)
	{
		auto *d = DecisionOn(ask);

		return d == nullptr ? 0 : d->basis.estimate_ms;
	}

	/* A request that has been served by an engine. */
	void
	Serve(std::vector<uint64_t> parts, uint32_t part_tokens,
	    const char *avoid)
	{
		Engines(avoid == nullptr ? 1 : 2); /* they are heard */
		uint64_t ask = AskParts(parts, part_tokens, avoid);

		/* at 18 tokens per ms, as engines begin with */
		now += (part_tokens * parts.size() + 200) * MS / 18;
		Done(ask, PLACE_FIRST_BYTE);
		now += 100 * MS;
		Done(ask, PLACE_SERVED);
	}
};

/* Guards against a prompt that is processed again where another has its part.
 */
TEST_F(PlacePrefix, a_cached_part_draws_requests_until_the_wait_is_longer)
{
	uint64_t ask;
	int to_other = 0;

	Engines(2);
	Serve({1}, 3000, "e2");
	ask = AskParts({1}, 3000);
	EXPECT_STREQ(EndpointOf(ask), "e1");
	EXPECT_LT(EstimateOf(ask), 50u);
	for (int i = 0; i < 30; i++) {
		ask = AskParts({1}, 3000);
		to_other += strcmp(EndpointOf(ask), "e2") == 0;
	}
	EXPECT_GT(to_other, 5) << "the queue costs more than is saved";
}

/*
 * What is cached is bounded by the memory that running requests leave. Guards
 * against savings that are expected of parts which an engine has evicted.
 */
TEST_F(PlacePrefix, the_least_recently_used_part_is_evicted_first)
{
	Engines(1);
	for (uint64_t part = 1; part <= 4; part++)
		Serve({part}, 22000, nullptr); /* 88,000 of 100,000 */
	Serve({5}, 22000, nullptr); /* evicts 1 */
	EXPECT_GT(EstimateOf(AskParts({1}, 22000)), 1000u);
	Done(last_ask, PLACE_ABANDONED); /* evicted 2 */
	EXPECT_LT(EstimateOf(AskParts({5}, 22000)), 500u);
	Done(last_ask, PLACE_ABANDONED);
	EXPECT_GT(EstimateOf(AskParts({2}, 22000)), 1000u);
}

/* A part that a running request uses stays, and is not counted twice. */
TEST_F(PlacePrefix, a_part_in_use_is_not_evicted)
{
	uint64_t running;

	Engines(1);
	running = AskParts({1}, 40000);
	now += 2300 * MS;
	Done(running, PLACE_FIRST_BYTE);
	for (uint64_t part = 2; part <= 5; part++)
		Serve({part}, 20000, nullptr);
	EXPECT_LT(EstimateOf(AskParts({1}, 40000)), 300u);
}

/*
 * The engine's own account differs from this one. Guards against a part that is
 * relied on like a fresh one although much has been evicted since its last use.
 */
TEST_F(PlacePrefix, a_part_is_less_certain_the_more_has_been_evicted)
{
	uint32_t fresh, used_before;

	Engines(1);
	Serve({100}, 20000, nullptr);
	fresh = EstimateOf(AskParts({100}, 20000));
	now += 1200 * MS;
	Done(last_ask, PLACE_SERVED);
	for (uint64_t part = 1; part <= 5; part++) /* evicts 40,000 */
		Serve({part}, 15000, nullptr);
	Serve({6}, 15000, nullptr);
	used_before = EstimateOf(AskParts({100}, 20000));
	EXPECT_GT(used_before, fresh + 200);
}

/*
 * Guards against a saving that is expected of a prompt which the engine has
 * refused or whose caller left before it was read, and against the loss of a
 * part that another request has had read.
 */
TEST_F(PlacePrefix, a_prompt_that_was_not_read_is_not_cached)
{
	for (auto outcome : {PLACE_STATE_MISMATCH, PLACE_ENDPOINT_FULL,
		 PLACE_NOT_SENT, PLACE_ABANDONED}) {
		SCOPED_TRACE(outcome);
		TearDown();
		memory = node_effects_create();
		SetUp();
		decisions.clear();
		Engines(2);
		uint64_t unread = AskParts({1}, 3000, "e2");

		ASSERT_STREQ(EndpointOf(unread), "e1");
		EXPECT_LT(EstimateOf(AskParts({1}, 3000, "e2")), 220u)
		    << "it is read there first";
		Done(last_ask, PLACE_ABANDONED);
		Done(unread, outcome);
		now += 2000 * MS;
		Engines(2);
		EXPECT_GT(EstimateOf(AskParts({1}, 3000, "e2")), 150u);
		now += 200 * MS;
		Done(last_ask, PLACE_FIRST_BYTE);
		Done(last_ask, PLACE_SERVED);
		Done(AskParts({1}, 3000, "e2"), outcome);
		now += 2000 * MS;
		Engines(2);
		EXPECT_LT(EstimateOf(AskParts({1}, 3000, "e2")), 50u);
		Done(last_ask, PLACE_ABANDONED);
	}
}

/*
 * Two engines are busy half of the time, one after the other. Now one has a
 * part cached and a queue of 150 ms, and the other is idle. Guards against a
 * request that waits there longer than it saves, as if later requests had to
 * wait wherever they go; and against a saving that is counted or told wrongly.
 */
TEST_F(PlacePrefix, a_saving_counts_once_while_another_engine_is_idle)
{
	place_totals totals;
	uint64_t ask;

	Engines(2);
	Serve({1}, 1800, "e2"); /* 100 ms */
	for (int i = 0; i < 60; i++) {
		if (i % 10 == 0)
			Engines(2);
		ask = AskParts({}, 0, i % 2 == 0 ? "e2" : "e1");
		now += 100 * MS;
		Done(ask, PLACE_FIRST_BYTE);
		Done(ask, PLACE_SERVED);
	}
	ask = AskParts({7}, 2500, "e2"); /* 150 ms */
	EXPECT_STREQ(EndpointOf(ask), "e1");
	place_get_totals(p, &totals);
	EXPECT_EQ(totals.prefix_grants, 0u);
	ask = AskParts({1}, 1800);
	EXPECT_STREQ(EndpointOf(ask), "e2");
	EXPECT_EQ(DecisionOn(ask)->basis.saving_ms, 0u);
	Done(ask, PLACE_ABANDONED);
	place_get_totals(p, &totals);
	EXPECT_EQ(totals.prefix_grants, 0u);
	ask = AskParts({1}, 1800, "e2");
	EXPECT_NEAR(DecisionOn(ask)->basis.saving_ms, 100, 20);
	place_get_totals(p, &totals);
	EXPECT_EQ(totals.prefix_grants, 1u);
	EXPECT_EQ(totals.prefix_tokens, 1800u);
}

/* The setting gateway.keptPrompts turns it off. */
TEST_F(PlacePrefix, nothing_is_saved_when_it_is_turned_off)
{
	options.ignores_kept_prompts = true;
	place_destroy(p);
	p = place_create(&options);
	place_configure(p, &config);
	Engines(1);
	Serve({1}, 3000, nullptr);
	EXPECT_GT(EstimateOf(AskParts({1}, 3000)), 150u);
}

/* An engine of another owner may have evicted anything meanwhile. */
TEST_F(PlacePrefix, an_engine_that_is_given_up_is_forgotten)
{
	static bool is_owned;
	auto ownership = [](void *, const char *, const char *) {
		return place_ownership{is_owned, 0};
	};

	is_owned = true;
	Engines(1);
	place_set_ownership_fn(p, ownership, nullptr);
	place_update_ownership(p, now);
	Serve({1}, 3000, nullptr);
	EXPECT_LT(EstimateOf(AskParts({1}, 3000)), 50u);
	Done(last_ask, PLACE_SERVED);
	is_owned = false;
	place_update_ownership(p, now);
	is_owned = true;
	place_update_ownership(p, now);
	EXPECT_GT(EstimateOf(AskParts({1}, 3000)), 150u);
}
