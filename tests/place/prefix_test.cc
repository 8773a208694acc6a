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
