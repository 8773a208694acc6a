#include "fleet.h"

/*
 * Requests with a part in their prompts that ends each engine which begins to
 * answer them, beside sound requests that share the rest of their prompts.
 */

/* Ends of engines under a part after which its requests must be refused. */
static const size_t kEndsMax = 5;
/* By then, and from the last fault of an instance, all instances know. */
static const uint64_t kContactUs = 3000 * MS;
/* Requests with the part that may reach engines later, over all instances. */
static const int kLateArrivalsMax = 3;
/* Sound requests of the same callers: of what is usual, at least. */
static const double kMinShareOfUsual = 0.5;
static const uint64_t kObjectiveUs = 800 * MS;

struct FatalCase {
	const char *name;
	int entries, engines;
	double requests_per_s, fatal_per_s;
	int parts;
	bool resumable;
	/* 1.5 s after the first request with a fatal part */
	void (*fault)(Fleet &fleet);
	/* 3 s later */
	void (*recover)(Fleet &fleet);
	int common_parts = 0; /* of all prompts, before the fatal one */
};

static void
kill_all(Fleet &f)
{
	f.sim.founding_allowed = false;
	for (size_t i = 0; i < f.sim.instances.size(); i++)
		f.sim.kill((int)i);
}

static void
start_dead(Fleet &f)
{
	for (size_t i = 0; i < f.sim.instances.size(); i++)
		if (!f.sim.instances[i]->alive)
			f.sim.start((int)i);
}

/* The instance that gave the newest order, in a large fleet an owner. */
static void
kill_newest_holder(Fleet &f)
{
	const Fleet::Engine *newest = nullptr;

	for (auto &e : f.engines)
		if (e.last_holder >= 0 &&
		    (newest == nullptr ||
			e.last_order_us > newest->last_order_us))
			newest = &e;
	if (newest != nullptr)
		f.sim.kill(newest->last_holder);
}

static void
restart_entries(Fleet &f)
{
	for (size_t i = 0; i < f.sim.instances.size(); i += 2)
		if (!f.sim.instances[i]->core) {
			f.sim.kill((int)i);
			f.sim.start((int)i);
		}
}

static void
do_nothing(Fleet &)
{
}

static const FatalCase cases[] = {
    {"small", 4, 40, 60, 3, 1, false, do_nothing, do_nothing},
    {"small_resumable_streams", 4, 40, 60, 3, 1, true, do_nothing, do_nothing},
    {"small_many_requests", 4, 40, 60, 12, 1, false, do_nothing, do_nothing},
    {"small_few_requests", 4, 40, 60, 0.8, 1, false, do_nothing, do_nothing},
    {"small_three_parts", 4, 40, 60, 5, 3, false, do_nothing, do_nothing},
    {"small_entries_restarted", 4, 40, 60, 3, 1, false, restart_entries,
	do_nothing},
    {"small_leader_killed", 4, 40, 60, 3, 1, false,
	[](Fleet &f) { f.sim.kill(f.sim.leader()); }, start_dead},
    {"small_leader_cut_off", 4, 40, 60, 3, 1, false,
	[](Fleet &f) { f.sim.isolate(f.sim.leader(), true); },
	[](Fleet &f) { f.sim.cut_links.clear(); }},
    {"small_all_killed", 4, 40, 60, 3, 1, false, kill_all, start_dead},
    /* the fatal part is the tenth, the sixtieth, the three hundredth */
    {"small_behind_nine", 4, 40, 60, 3, 1, false, do_nothing, do_nothing, 7},
    {"small_behind_59", 4, 40, 60, 3, 1, false, do_nothing, do_nothing, 57},
    {"small_behind_299", 4, 40, 60, 3, 1, false, do_nothing, do_nothing, 297},
    {"small_behind_299_leader_killed", 4, 40, 60, 3, 1, false,
	[](Fleet &f) { f.sim.kill(f.sim.leader()); }, start_dead, 297},
    {"large_behind_59", 23, 140, 300, 3, 1, false, do_nothing, do_nothing, 57},
    {"large", 23, 140, 300, 3, 1, false, do_nothing, do_nothing},
    {"large_three_parts", 23, 140, 300, 6, 3, false, do_nothing, do_nothing},
    {"large_owner_killed", 23, 140, 300, 3, 1, false, kill_newest_holder,
	start_dead},
    {"large_leader_killed", 23, 140, 300, 3, 1, false,
	[](Fleet &f) { f.sim.kill(f.sim.leader()); }, start_dead},
};

static Fleet::Options
options_of(const FatalCase &c, unsigned seed)
{
	Fleet::Options options;

	options.entries = c.entries;
	options.engines = c.engines;
	options.model_requests_per_s = c.requests_per_s;
	options.fatal_requests_per_s = c.fatal_per_s;
	options.fatal_parts = c.parts;
	options.common_parts = c.common_parts;
	options.resumable = c.resumable;
	options.answer_us = 200 * MS;
	options.seed = seed;
	return options;
}

/* The share of the callers' sound requests served in time without the part. */
static double
usual_share(const FatalCase &c, unsigned seed)
{
	Fleet::Options options = options_of(c, seed);
	uint64_t from;

	options.fatal_requests_per_s = 1e-9; /* the prompts have parts */
	Fleet fleet(options);
	EXPECT_TRUE(fleet.bring_up());
	fleet.run_traffic(3000);
	from = fleet.sim.now_us;
	fleet.run_traffic(6000);
	return fleet.fraction_of_shared_callers(
	    from, fleet.sim.now_us - kObjectiveUs, kObjectiveUs);
}

/* Arrivals of a part after its fifth end, or the last fault, was known. */
static int
count_late_arrivals(const Fleet &fleet, int part, uint64_t fault_us)
{
	auto ends = fleet.fatal_ends_us.find(part);
	auto arrivals = fleet.fatal_arrivals_us.find(part);
	int late = 0;

	if (ends == fleet.fatal_ends_us.end() || ends->second.size() < kEndsMax)
		return 0;
	for (uint64_t us : arrivals->second)
		late += us >
		    kContactUs + std::max(ends->second[kEndsMax - 1], fault_us);
	return late;
}

/* Sound requests sent from a time on that are refused for their prompts. */
static int
count_sound_refusals(const Fleet &fleet, uint64_t from_us)
{
	int refused = 0;

	for (auto &r : fleet.requests)
		refused += !r.second.is_fatal && r.second.sent_us >= from_us &&
		    r.second.body.find("quarantine") != std::string::npos;
	return refused;
}

static void
run_fatal_case(const FatalCase &c, unsigned seed)
{
	Fleet fleet(options_of(c, seed));
	uint64_t fault_us, from;

	SCOPED_TRACE(std::string(c.name) + ", seed " + std::to_string(seed));
	ASSERT_TRUE(fleet.bring_up());
	fleet.run_traffic(1500);
	c.fault(fleet);
	fleet.run_traffic(3000);
	c.recover(fleet);
	fault_us = c.fault == do_nothing ? 0 : fleet.sim.now_us;
	fleet.run_traffic(2 * kContactUs / MS);
	from = fleet.sim.now_us;
	fleet.run_traffic(8000);
	for (int part = 0; part < c.parts; part++)
		EXPECT_LE(count_late_arrivals(fleet, part, fault_us),
		    kLateArrivalsMax)
		    << "part " << part << ", ends "
		    << fleet.fatal_ends_us[part].size();
	EXPECT_GE(fleet.fraction_of_shared_callers(
		      from, fleet.sim.now_us - kObjectiveUs, kObjectiveUs),
	    kMinShareOfUsual * usual_share(c, seed))
	    << "sound requests of the same callers";
	EXPECT_EQ(count_sound_refusals(fleet, from), 0);
}

class FatalPart : public ::testing::TestWithParam<FatalCase> {};

/*
 * Guards against the fault of the incident BUDGET: requests with a part under
 * which engines have ended are sent to engine after engine. To run other seeds:
 * FATAL_SEEDS=FIRST:COUNT test_gateway --gtest_filter='*FatalPart.requests*'
 */
TEST_P(FatalPart, requests_with_it_are_refused_and_sound_ones_served)
{
	const char *text = getenv("FATAL_SEEDS");
	unsigned first = 1, count = 1;

	if (text != nullptr) {
		ASSERT_EQ(sscanf(text, "%u:%u", &first, &count), 2);
	}
	for (unsigned seed = first; seed < first + count; seed++)
		run_fatal_case(GetParam(), seed);
}

INSTANTIATE_TEST_SUITE_P(Fleets, FatalPart, ::testing::ValuesIn(cases),
    [](const auto &info) { return std::string(info.param.name); });

/*
 * Guards against a verdict on a part that is not to blame: whole racks of
 * engines end at once, or engine after engine, under sound requests alone.
 */
TEST(EndedEngines, for_other_reasons_quarantine_no_part)
{
	static const struct {
		const char *name;
		size_t engines_per_rack;
		uint64_t gap_ms;
	} rows[] = {{"racks", 10, 1500}, {"one by one", 1, 400}};

	for (auto &row : rows) {
		FatalCase c = {
		    "", 4, 40, 100, 1e-9, 1, false, do_nothing, do_nothing};
		Fleet fleet(options_of(c, 5));
		size_t next = 0;

		SCOPED_TRACE(row.name);
		ASSERT_TRUE(fleet.bring_up());
		fleet.run_traffic(2000);
		for (int round = 0; round < 12; round++) {
			for (size_t i = 0; i < row.engines_per_rack; i++)
				fleet.end_engine(next++ % 40);
			fleet.run_traffic(row.gap_ms);
		}
		EXPECT_EQ(count_sound_refusals(fleet, 0), 0);
	}
}

/*
 * An operator sees the parts that are quarantined and can lift a quarantine,
 * at any instance; requests with the part are sent again then.
 */
TEST(QuarantineOperator, sees_and_lifts_a_quarantine_anywhere)
{
	FatalCase c = {"", 4, 40, 60, 3, 1, false, do_nothing, do_nothing};
	Fleet fleet(options_of(c, 3));
	size_t arrivals, at;
	std::string list, part;
	Reply r;

	ASSERT_TRUE(fleet.bring_up());
	fleet.run_traffic(5000);
	EXPECT_EQ(
	    fleet.sim
		.request_and_wait(1, NODE_LISTEN_API, "GET", "/v1/quarantine")
		.status,
	    401);
	list = fleet.sim.ask_as_operator(1, "GET", "/v1/quarantine").body;
	at = list.find("\"part\": \"");
	ASSERT_NE(at, std::string::npos) << list;
	part = list.substr(at + 9, 16);
	EXPECT_EQ(list.find("\"part\"", at + 1), std::string::npos) << list;
	arrivals = fleet.fatal_arrivals_us[0].size();
	fleet.run_traffic(2000);
	EXPECT_EQ(fleet.fatal_arrivals_us[0].size(), arrivals);
	EXPECT_EQ(
	    fleet.sim
		.ask_as_operator(1, "DELETE", "/v1/quarantine/0000000000000000")
		.status,
	    404);
	EXPECT_EQ(fleet.sim.ask_as_operator(1, "POST", "/v1/quarantine/" + part)
		      .status,
	    405);
	r = fleet.sim.ask_as_operator(6, "DELETE", "/v1/quarantine/" + part);
	EXPECT_EQ(r.status, 200) << r.body;
	fleet.sim.run_for_ms(200);
	list = fleet.sim.ask_as_operator(1, "GET", "/v1/quarantine").body;
	EXPECT_EQ(list.find("\"part\""), std::string::npos) << list;
	fleet.run_traffic(2000);
	EXPECT_GT(fleet.fatal_arrivals_us[0].size(), arrivals);
}
