#include "gateway_sim.h"

#include <random>

/*
 * Endpoints that deregister without having announced that they leave. Once that
 * is acknowledged they get no more requests, although an announcement that was
 * sent before arrives after it; their next process gets requests at once.
 */

/* What happens to an endpoint and to the cores before it deregisters. */
enum Before {
	PRESENT, /* it announces itself to the end */
	SILENT, /* it is removed, as its announcements stay on the way */
	SILENT_NEW_LEADER, /* and the leader is lost after that */
	NEVER_KNOWN, /* none of its announcements has arrived */
	AFTER_A_CRASH, /* nor of it, and another process had the id */
	AFTER_A_DEPARTURE, /* the same, and that one has deregistered */
	CORES_KILLED, /* all cores are killed at once, and are back */
	CORES_KILLED_SILENT, /* after it was removed */
};

/* What happens between its acknowledgement and the late announcement. */
enum After {
	NOTHING,
	LEADER_LOST,
	CORES_RESTARTED, /* one after the other */
	CORES_REPLACED, /* one after the other, with empty disks */
	SNAPSHOT, /* of the log, and all cores restart from it */
};

struct DepartureRow {
	const char *name;
	Before before;
	After after;
	unsigned seed;
};

static const DepartureRow rows[] = {
    {"present", PRESENT, NOTHING, 1},
    {"silent", SILENT, NOTHING, 2},
    {"silent_then_leader_lost", SILENT, LEADER_LOST, 3},
    {"silent_then_cores_restarted", SILENT, CORES_RESTARTED, 4},
    {"silent_then_cores_replaced", SILENT, CORES_REPLACED, 5},
    {"silent_then_snapshot", SILENT, SNAPSHOT, 6},
    {"silent_at_an_earlier_leader", SILENT_NEW_LEADER, NOTHING, 7},
    {"never_known", NEVER_KNOWN, NOTHING, 8},
    {"never_known_then_cores_restarted", NEVER_KNOWN, CORES_RESTARTED, 9},
    {"never_known_then_snapshot", NEVER_KNOWN, SNAPSHOT, 10},
    {"after_a_crash", AFTER_A_CRASH, NOTHING, 11},
    {"after_a_departure", AFTER_A_DEPARTURE, NOTHING, 12},
    {"cores_killed", CORES_KILLED, NOTHING, 13},
    {"cores_killed_silent", CORES_KILLED_SILENT, NOTHING, 14},
    {"present_then_cores_replaced", PRESENT, CORES_REPLACED, 15},
};

class Departure : public ::testing::TestWithParam<DepartureRow> {
      protected:
	static constexpr int kCores = 3, kEntries = 2;
	static constexpr uint64_t kHeartbeatMs = 1200, kDrainMs = 2000;
	std::unique_ptr<GatewaySim> sim;
	std::mt19937_64 random;
	uint64_t born = 0, sequence = 0;
	bool e1_announces = false;

	void
	TearDown() override
	{
		sim.reset();
	}

	int
	draw_core()
	{
		return (int)(random() % kCores);
	}

	/* Sends a call to one core after another until it is acknowledged. */
	bool
	call(const std::string &method, const std::string &path,
	    const std::string &body, uint64_t ms = 12000)
	{
		uint64_t end_us = sim->now_us + ms * MS;

		while (sim->now_us < end_us) {
			int core = draw_core();

			if (!sim->instances[(size_t)core]->alive) {
				sim->run_for_ms(10);
				continue;
			}
			if (sim->request_and_wait(core, NODE_LISTEN_CONTROL,
				   method.c_str(), path, body, 1000)
				.status == 200)
				return true;
			sim->run_for_ms(50);
		}
		return false;
	}

	std::string
	announcement(uint64_t of_born, uint64_t number)
	{
		return "{\"service\":\"app\",\"address\":\"10.1.0.1:80\","
		       "\"zone\":\"z\",\"slots\":6,\"state\":\"ready\","
		       "\"born\":" +
		    std::to_string(of_born) +
		    ",\"sequence\":" + std::to_string(number) + "}";
	}

	bool
	announce_e1()
	{
		return call(
		    "PUT", "/api/instances/e1", announcement(born, ++sequence));
	}

	/* Announcements of the second endpoint, and of e1 while it is present.
	 */
	void
	heartbeat()
	{
		for (int i = 0; i < kCores; i++) {
			if (!sim->instances[(size_t)i]->alive)
				continue;
			sim->send_announcement(i, "e2");
			if (e1_announces)
				(void)sim->send_request(i, NODE_LISTEN_CONTROL,
				    "PUT", "/api/instances/e1",
				    announcement(born, ++sequence));
		}
		sim->schedule(
		    sim->now_us + kHeartbeatMs * MS, [this] { heartbeat(); });
	}

	void
	start_process()
	{
		born = sim->wall_ms();
		sequence = 0;
	}

	/* Whether any of more requests than e2 has slots reaches e1. */
	bool
	e1_gets_requests()
	{
		size_t first = sim->endpoint_calls.size();
		bool is_reached = false;

		for (int i = 0; i < 10; i++) {
			(void)sim->send_request(kCores + i % kEntries,
			    NODE_LISTEN_FRONT, "POST", "/p/x", "body",
			    {{"Host", "h.example"},
				{"Mulberrypath-Attempt-Id", std::to_string(i)},
				{"Mulberrypath-Deadline-Ms", "1500"}});
			sim->run_for_ms(20);
		}
		for (size_t i = first; i < sim->endpoint_calls.size(); i++) {
			auto sent = sim->endpoint_calls[i];

			is_reached |=
			    sent.headers["Mulberrypath-Expected-Instance"] ==
			    "e1";
			sim->answer_call(sent, 200, "answer");
			sim->run_for_ms(20);
		}
		EXPECT_GT(sim->endpoint_calls.size(), first);
		return is_reached;
	}

	void
	restart_cores(bool wiped)
	{
		for (int i = 0; i < kCores; i++) {
			sim->kill(i);
			if (wiped)
				sim->wipe_disk(i);
			sim->start(i);
			sim->run_for_ms(wiped ? 8000 : 2500);
		}
	}

	void
	kill_cores()
	{
		for (int i = 0; i < kCores; i++)
			sim->kill(i);
		sim->run_for_ms(500);
		for (int i = 0; i < kCores; i++)
			sim->start(i);
	}

	void
	lose_leader()
	{
		int first = sim->leader();

		sim->kill(first);
		ASSERT_TRUE(sim->run_until(
		    [&] {
			    return sim->leader() >= 0 && sim->leader() != first;
		    },
		    8000));
		sim->start(first);
	}

	/* More changes than the log keeps before it takes a snapshot. */
	void
	fill_log()
	{
		int at = sim->leader();

		for (int i = 1; i <= 4400; i++) {
			(void)sim->send_request(at, NODE_LISTEN_CONTROL, "POST",
			    "/api/version-put",
			    "{\"model\":\"m\",\"adapter\":\"a" +
				std::to_string(i) + "\",\"version\":1}");
			if (i % 50 == 0)
				sim->run_for_ms(20);
		}
		sim->run_for_ms(1000);
	}

	void
	bring_up(unsigned seed)
	{
		random.seed(seed);
		e1_announces = false;
		sim = std::make_unique<GatewaySim>(kCores, kEntries);
		for (int i = 0; i < kCores + kEntries; i++)
			sim->start(i);
		ASSERT_TRUE(
		    sim->run_until([&] { return sim->leader() >= 0; }, 8000));
		ASSERT_TRUE(call("PUT", "/api/configuration", config_text(1)));
		heartbeat();
		sim->run_for_ms(8000 + random() % 1000);
		ASSERT_TRUE(sim->run_until(
		    [&] { return sim->all_entries_ready(); }, 5000));
	}

	void
	prepare(Before before)
	{
		bool is_known = before != NEVER_KNOWN;

		start_process();
		e1_announces = is_known;
		sim->run_for_ms(5000);
		EXPECT_EQ(e1_gets_requests(), is_known);
		if (before == AFTER_A_CRASH || before == AFTER_A_DEPARTURE) {
			e1_announces = false;
			if (before == AFTER_A_DEPARTURE) {
				ASSERT_TRUE(
				    call("DELETE", "/api/instances/e1", ""));
			}
			sim->run_for_ms(kDrainMs + 1500);
			start_process(); /* which can't announce itself */
			sim->run_for_ms(2000 + random() % 1000);
		}
		if (before == SILENT || before == SILENT_NEW_LEADER ||
		    before == CORES_KILLED_SILENT) {
			e1_announces = false;
			sim->run_for_ms(7500 + random() % 1500);
		}
		if (before == SILENT_NEW_LEADER)
			lose_leader();
		if (before == CORES_KILLED || before == CORES_KILLED_SILENT) {
			e1_announces = false;
			kill_cores();
		}
	}

	void
	proceed(After after)
	{
		if (after == LEADER_LOST)
			lose_leader();
		else if (after == CORES_RESTARTED || after == CORES_REPLACED)
			restart_cores(after == CORES_REPLACED);
		else if (after == SNAPSHOT)
			fill_log();
		if (after == SNAPSHOT)
			kill_cores();
		ASSERT_TRUE(
		    sim->run_until([&] { return sim->leader() >= 0; }, 8000));
	}

	void
	check(const DepartureRow &row, unsigned seed)
	{
		SCOPED_TRACE("seed " + std::to_string(seed));
		bring_up(seed);
		prepare(row.before);
		e1_announces = false;
		ASSERT_TRUE(call("DELETE", "/api/instances/e1", ""));
		proceed(row.after);
		(void)announce_e1(); /* sent before it deregistered */
		sim->run_for_ms(kDrainMs + 300);
		EXPECT_FALSE(e1_gets_requests());
		sim->run_for_ms(1000 + random() % 1000);
		start_process();
		ASSERT_TRUE(announce_e1());
		e1_announces = true;
		sim->run_for_ms(500);
		EXPECT_TRUE(e1_gets_requests());
	}
};

/*
 * Guards against an acknowledged departure that is undone by an announcement
 * which was sent before it and arrives late.
 *
 * DEPARTURE_SEEDS=FIRST:COUNT test_gateway --gtest_filter='*Departure.*'
 */
TEST_P(Departure, holds_whatever_arrives_late_or_is_lost)
{
	const char *text = getenv("DEPARTURE_SEEDS");
	unsigned first = GetParam().seed, count = 1;

	if (text != nullptr && sscanf(text, "%u:%u", &first, &count) != 2)
		FAIL() << "DEPARTURE_SEEDS wants FIRST:COUNT";
	for (unsigned seed = first; seed < first + count; seed++)
		check(GetParam(), seed);
}

INSTANTIATE_TEST_SUITE_P(Rows, Departure, ::testing::ValuesIn(rows),
    [](const auto &info) { return std::string(info.param.name); });
