#include "fleet.h"

/* A fleet of engines before instances whose processors are counted. */

/* Processor time of an event, by the slopes of docs/CAPACITY.md; shares. */
static const double kEventUs = 50, kCoreShare = 0.15, kEntryShare = 0.3;
/* The objective of the requests, and what an adapter takes to load. */
static const uint64_t kObjectiveUs = 800 * MS, kLoadUs = 250 * MS;
/* The users' target for days with trouble, here of what is served without. */
static const double kTarget = 0.82;

/* Share of the requests in time over 4 s, after 4 s in which adapters come. */
static double
share_in_time(const Fleet::Options &options, bool processors)
{
	Fleet fleet(options);
	uint64_t from;

	if (!fleet.begin()) {
		ADD_FAILURE() << "the fleet does not begin";
		return 0;
	}
	if (processors) {
		fleet.world.core_event_us = (uint64_t)(kEventUs / kCoreShare);
		fleet.world.entry_event_us = (uint64_t)(kEventUs / kEntryShare);
	}
	fleet.traffic(4000);
	from = fleet.world.now;
	fleet.traffic(4000);
	for (auto &e : fleet.engines)
		EXPECT_FALSE(e.crashed) << e.id;
	EXPECT_EQ(fleet.fences_back, 0);
	return fleet.in_time(
	    from, fleet.world.now - kObjectiveUs, kObjectiveUs);
}

/*
 * Guards against the fault of the incident SHORT: all requests of a fleet wait
 * for one instance, which has no processor time for them.
 */
TEST(Fleet, no_request_waits_for_the_processor_of_one_instance)
{
	Fleet::Options options;

	options.models_per_s = 870;
	options.calls_per_s = 310;
	EXPECT_GE(share_in_time(options, true),
	    kTarget * share_in_time(options, false));
}

/*
 * Guards against the second fault of the incident SHORT: an order whose answer
 * is lost stops its engine for longer than the requests that wait there have.
 */
TEST(Fleet, lost_answers_to_orders_do_not_stop_engines)
{
	Fleet::Options options, sound;

	options.entries = sound.entries = 4;
	options.engines = sound.engines = 24;
	options.models_per_s = sound.models_per_s = 110;
	options.orders_lost = 0.3;
	EXPECT_GE(share_in_time(options, false),
	    kTarget * share_in_time(sound, false));
}

/* The same for one order: what is left of the objective bears the load. */
TEST(Fleet, an_order_without_an_answer_is_given_again_in_time)
{
	Fleet::Options options;
	std::vector<uint64_t> orders;

	options.entries = 1;
	options.engines = 1;
	options.orders_lost = 1;
	Fleet fleet(options);
	ASSERT_TRUE(fleet.begin());
	fleet.on_order_given = [&] { orders.push_back(fleet.world.now); };
	fleet.ask_for("a1");
	fleet.world.run(2000);
	ASSERT_GE(orders.size(), 2U);
	EXPECT_LE(orders[1] - orders[0], kObjectiveUs - kLoadUs);
}
