#include "guard_off.h"
#include "node/node_guard.h"
#include "world.h"

/* Founding, configuration, endpoints and placing over several instances. */
class Gateway : public ::testing::Test {
      protected:
	std::unique_ptr<World> w;

	void
	Begin(int cores = 5, int entries = 2, bool start = true)
	{
		w = std::make_unique<World>(cores, entries);
		for (int i = 0; start && i < cores + entries; i++)
			w->start(i);
	}

	/* A cluster with a configuration in force and two endpoints. */
	void
	Serve(int cores = 5, int entries = 2)
	{
		Begin(cores, entries);
		ASSERT_TRUE(w->until([&] { return w->leader() >= 0; }, 8000));
		ASSERT_EQ(Put(w->leader(), 1).status, 200);
		ASSERT_EQ(w->announce(w->leader(), "e1").status, 200);
		ASSERT_EQ(w->announce(w->leader(), "e2").status, 200);
		ASSERT_TRUE(w->until([&] { return w->ready(); }, 5000));
		w->run(2000); /* all cores have joined */
	}

	Reply
	Put(int i, int version, const std::string &service = "app")
	{
		return w->ask(i, NODE_LISTEN_CONTROL, "PUT",
		    "/api/configuration", config_text(version, service));
	}

	Reply
	Get(int i)
	{
		return w->ask(
		    i, NODE_LISTEN_CONTROL, "GET", "/api/configuration");
	}

	/* Put until it is acknowledged, as an operator does. */
	bool
	PutAtLast(int version, uint64_t ms = 15000)
	{
		for (uint64_t end = w->now + ms * MS; w->now < end;) {
			for (size_t i = 0; i < w->machines.size(); i++)
				if (w->machines[i]->alive &&
				    w->machines[i]->core &&
				    Put((int)i, version).status == 200)
					return true;
			w->run(100);
		}
		return false;
	}

	/* A caller's request at an entry; its call to an endpoint. */
	uint64_t
	Request(int entry)
	{
		return w->request(entry, NODE_LISTEN_FRONT, "POST", "/p/x",
		    "body",
		    {{"Host", "h.example"}, {"Mulberrypath-Attempt-Id", "7"},
			{"Mulberrypath-Deadline-Ms", "1500"}});
	}

	/* Whether a request reaches an endpoint within a time. */
	bool
	Reaches(int entry, std::string *endpoint = nullptr, uint64_t ms = 1000)
	{
		size_t before = w->sent.size();

		(void)Request(entry);
		if (!w->until([&] { return w->sent.size() > before; }, ms))
			return false;
		if (endpoint != nullptr)
			*endpoint =
			    w->sent.back()
				.headers["Mulberrypath-Expected-Instance"];
		w->answer(w->sent.back(), 200, "answer");
		return true;
	}
};

/* ---- founding ---- */

TEST_F(Gateway, three_seeds_found_in_any_order_and_the_others_join)
{
	static const int orders[][5] = {
	    {0, 1, 2, 3, 4}, {4, 3, 2, 1, 0}, {2, 4, 0, 3, 1}};

	for (auto &order : orders) {
		Begin(5, 1, false);
		for (int i : order) {
			w->start(i);
			w->run(70);
		}
		w->start(5);
		ASSERT_TRUE(PutAtLast(1));
		EXPECT_TRUE(w->until([&] { return w->ready(); }, 8000));
		int founded = 0;
		for (auto &m : w->machines)
			founded += m->logs["log-founded"] > 0;
		EXPECT_LE(founded, 3) << "no other than a seed";
	}
}

/* A lost disk comes back where the cluster was founded long ago. */
TEST_F(Gateway, a_wiped_instance_never_founds_again)
{
	Begin(3, 0, false);
	w->first_start = false;
	for (int i = 0; i < 3; i++)
		w->start(i);
	w->run(10000);
	for (auto &m : w->machines)
		EXPECT_EQ(m->logs["log-founded"], 0);
	EXPECT_EQ(Put(0, 1).status, 503);
}

TEST_F(Gateway, a_wiped_core_comes_back_and_another_may_then_be_lost)
{
	Serve(3, 1);
	w->first_start = false;
	for (int lost : {0, 1, 2}) {
		w->kill(lost);
		w->wipe(lost);
		w->run(500);
		w->start(lost);
		w->run(4000);
		ASSERT_TRUE(PutAtLast(10 + lost)) << lost;
		EXPECT_EQ(Get((lost + 1) % 3).body, config_text(10 + lost));
	}
}

TEST_F(Gateway, a_replaced_core_joins_at_another_address)
{
	int fresh;

	Serve(3, 1);
	w->first_start = false;
	for (int lost : {0, 1, 2}) {
		w->kill(lost);
		fresh = w->add(true);
		w->seeds[(size_t)lost] =
		    w->machines[(size_t)fresh]->ip + ":8000";
		w->run(1000);
		w->start(fresh);
		w->run(5000);
		ASSERT_TRUE(PutAtLast(20 + lost)) << lost;
		EXPECT_EQ(Get(fresh).body, config_text(20 + lost));
	}
	ASSERT_EQ(w->announce(w->leader(), "e1").status, 200);
	EXPECT_TRUE(Reaches(3)) << "the entry has followed them";
}

/*
 * A core that was frozen for long is dropped as a voter; it must notice that
 * it gets nothing any more, and join again.
 */
TEST_F(Gateway, a_core_that_was_dropped_joins_again)
{
	for (int cores : {4, 5}) {
		Serve(cores, 2);
		int frozen = w->leader();
		w->freeze(frozen, true);
		w->run(6000);
		w->freeze(frozen, false);
		w->run(6000);
		ASSERT_TRUE(PutAtLast(40)) << cores;
		EXPECT_EQ(Get(frozen).body, config_text(40)) << cores;
		EXPECT_EQ(
		    w->machines[(size_t)frozen]->logs["config-in-force"], 2)
		    << cores;
		int other = (frozen + 1) % cores;
		w->kill(other);
		ASSERT_TRUE(PutAtLast(41)) << cores << ": it votes again";
	}
}

/* Voters that have not joined as members yet are no dead ones. */
TEST_F(Gateway, no_voter_is_dropped_while_the_cluster_begins)
{
	Begin(4, 2);
	w->run(8000);
	for (auto &m : w->machines)
		EXPECT_LE(m->logs["voters-changed"], 2)
		    << "one learner, one promotion";
}

/* An entry that follows a core cut off from the leader hears of it in time. */
TEST_F(Gateway, an_entry_does_not_stay_behind_with_its_core)
{
	for (int stale = 0; stale < 5; stale++)
		for (uint64_t ms : {100, 400, 800, 1200, 1500, 2000, 3000}) {
			Serve(5, 2);
			if (stale == w->leader())
				continue;
			for (int k = 0; k < 5; k++) {
				w->cuts.insert({stale, k});
				w->cuts.insert({k, stale});
			}
			w->run(ms);
			ASSERT_EQ(Put(w->leader(), 50).status, 200);
			w->run(1200);
			for (size_t i = 5; i < 7; i++)
				EXPECT_EQ(
				    w->machines[i]->logs["config-in-force"], 2)
				    << stale << " " << ms;
		}
}

/* Nor with a leader that the other cores have left. */
TEST_F(Gateway, an_entry_does_not_stay_with_a_leader_that_is_cut_off)
{
	for (uint64_t ms : {0, 300, 700, 1500}) {
		int old;

		Serve(5, 2);
		old = w->leader();
		for (int k = 0; k < 5; k++) {
			w->cuts.insert({old, k});
			w->cuts.insert({k, old});
		}
		ASSERT_TRUE(w->until([&] {
			int now = w->leader();

			return now >= 0 && now != old;
		}));
		w->run(ms);
		ASSERT_EQ(Put(w->leader(), 50).status, 200);
		w->run(1900);
		for (size_t i = 5; i < 7; i++)
			EXPECT_EQ(w->machines[i]->logs["config-in-force"], 2)
			    << ms;
	}
}

/*
 * Nor with a minority of the cores, which answer but know no leader; in a small
 * fleet and in a large one.
 */
TEST_F(Gateway, an_entry_finds_the_leader_of_the_majority)
{
	const size_t small = node_direct_members_max;

	for (size_t many : {small, (size_t)0})
		for (int with = 0; with < 5; with++)
			for (uint64_t ms : {0, 600, 1500}) {
				std::set<int> few;
				int old;

				node_direct_members_max = many;
				Serve(5, 4);
				old = w->leader();
				few = {old, (old + 1 + with) % 5};
				for (int i = 0; i < 5; i++)
					for (int k = 0; k < 5; k++)
						if (few.count(i) !=
						    few.count(k))
							w->cuts.insert({i, k});
				ASSERT_TRUE(w->until([&] {
					int now = w->leader();

					return now >= 0 && !few.count(now);
				}));
				w->run(ms);
				ASSERT_EQ(Put(w->leader(), 50).status, 200);
				w->run(1900);
				for (size_t i = 5; i < 9; i++)
					EXPECT_EQ(w->machines[i]
						      ->logs["config-in-force"],
					    2)
					    << "with " << with << ", after "
					    << ms << " ms, members for relays "
					    << many;
			}
	node_direct_members_max = small;
}

/* ---- configuration ---- */

TEST_F(Gateway, every_core_takes_a_change_and_reads_the_newest)
{
	Serve();
	for (int i = 0; i < 5; i++) {
		EXPECT_EQ(Put(i, 10 + i).status, 200) << i;
		EXPECT_EQ(Get((i + 2) % 5).body, config_text(10 + i)) << i;
	}
}

TEST_F(Gateway, versions_decide_and_resends_are_acknowledged)
{
	static const struct {
		int version;
		const char *service;
		int status;
		const char *held; /* service of the version held after it */
	} rows[] = {
	    {5, "app", 200, "app"}, {5, "app", 200, "app"}, /* sent again */
	    {5, "other", 409, "app"}, /* other content */
	    {4, "other", 200, "app"}, /* overtaken */
	    {9, "other", 200, "other"}, {5, "app", 200, "other"},
	    {10, "nobody", 400, "other"}, /* invalid */
	};

	Serve();
	for (auto &row : rows) {
		EXPECT_EQ(Put(1, row.version, row.service).status, row.status)
		    << row.version << row.service;
		EXPECT_NE(Get(2).body.find(
			      std::string("\"service\":\"") + row.held + "\""),
		    std::string::npos)
		    << row.version << row.service;
	}
	EXPECT_EQ(
	    Put(0, 11, "nobody").body.find("{\"error\":\"$.routes[0]"), 0u);
}

/* Two operators at once: both are in the log, the highest stays in force. */
TEST_F(Gateway, of_two_changes_under_way_the_highest_stays)
{
	int at;

	Serve();
	at = w->leader();
	(void)w->request(at, NODE_LISTEN_CONTROL, "PUT", "/api/configuration",
	    config_text(7, "app"));
	(void)w->request(at, NODE_LISTEN_CONTROL, "PUT", "/api/configuration",
	    config_text(6, "other"));
	w->run(1000);
	for (int i = 0; i < 3; i++)
		EXPECT_NE(
		    Get(i).body.find("\"service\":\"app\""), std::string::npos)
		    << i;
}

/* A core cut off can't know the newest, and doesn't say otherwise. */
TEST_F(Gateway, a_core_cut_off_reads_nothing_old)
{
	int cut;

	Serve();
	cut = w->leader();
	w->cut(cut, true);
	w->run(1200);
	EXPECT_EQ(Get(cut).status, 503);
	ASSERT_TRUE(PutAtLast(7));
	EXPECT_EQ(Get(cut).status, 503);
	EXPECT_EQ(Put(cut, 8).status, 503);
	w->cut(cut, false);
	w->run(2000);
	EXPECT_EQ(Get(cut).body, config_text(7));
}

TEST_F(Gateway, a_frozen_leader_wakes_and_reads_nothing_old)
{
	int frozen;

	Serve();
	frozen = w->leader();
	w->freeze(frozen, true);
	w->run(1500);
	ASSERT_TRUE(PutAtLast(7, 8000));
	w->freeze(frozen, false);
	Reply r = Get(frozen);
	EXPECT_TRUE(r.status == 503 || r.body == config_text(7)) << r.status;
}

TEST_F(Gateway, what_was_acknowledged_survives_the_loss_of_all_processes)
{
	Serve();
	w->first_start = false;
	for (int version = 30; version < 33; version++) {
		ASSERT_EQ(Put(version % 5, version).status, 200);
		for (int i = 0; i < 5; i++)
			w->kill(i);
		w->run(300);
		for (int i = 0; i < 5; i++)
			w->start(i);
		ASSERT_TRUE(w->until([&] { return Get(0).status == 200; }));
		EXPECT_EQ(Get(1).body, config_text(version));
	}
}

/* In force everywhere soon after the acknowledgement, and never back. */
TEST_F(Gateway, a_route_changes_at_every_entry)
{
	Serve(5, 3);
	ASSERT_EQ(Put(0, 5, "other").status, 200);
	w->run(300);
	for (int i = 5; i < 8; i++)
		EXPECT_FALSE(Reaches(i, nullptr, 200))
		    << "no endpoint of the other service is there";
}

/* ---- endpoints ---- */

TEST_F(Gateway, requests_reach_endpoints_announced_at_any_core)
{
	std::string endpoint;

	Begin();
	ASSERT_TRUE(w->until([&] { return w->leader() >= 0; }, 8000));
	ASSERT_EQ(Put(w->leader(), 1).status, 200);
	w->run(3000);
	ASSERT_EQ(w->announce((w->leader() + 1) % 5, "e1").status, 200);
	ASSERT_TRUE(w->until([&] { return w->ready(); }, 5000));
	ASSERT_TRUE(Reaches(5, &endpoint));
	EXPECT_EQ(endpoint, "e1");
	EXPECT_EQ(w->sent.back().address, "10.1.0.1:80");
	EXPECT_EQ(w->sent.back().body, "body");
}

TEST_F(Gateway, garbage_names_no_endpoint_and_the_others_hold)
{
	Serve();
	for (const char *body : {"", "\xff", "{}", "[]"})
		EXPECT_EQ(w->ask(0, NODE_LISTEN_CONTROL, "PUT",
			       "/api/instances/e1", body)
			      .status,
		    400);
	EXPECT_TRUE(Reaches(5));
}

/*
 * A placer that told an endpoint that it may leave is lost at once: the next
 * one gives that endpoint nothing, though it never hears of it again.
 */
TEST_F(Gateway, a_leaving_endpoint_is_remembered_by_the_next_placer)
{
	std::string endpoint;
	int first;

	Serve();
	first = w->leader();
	ASSERT_EQ(w->announce(first, "e1", "draining").status, 200);
	w->kill(first);
	ASSERT_TRUE(w->until(
	    [&] { return w->leader() >= 0 && w->leader() != first; }, 8000));
	for (int i = 0; i < 8; i++) {
		ASSERT_TRUE(Reaches(5 + i % 2, &endpoint));
		EXPECT_EQ(endpoint, "e2");
	}
}

TEST_F(Gateway, one_that_leaves_without_a_word_gets_nothing_more)
{
	std::string endpoint;

	Serve();
	ASSERT_EQ(w->ask(1, NODE_LISTEN_CONTROL, "DELETE", "/api/instances/e1")
		      .status,
	    200);
	for (int i = 0; i < 8; i++) {
		ASSERT_TRUE(Reaches(5, &endpoint));
		EXPECT_EQ(endpoint, "e2");
	}
}

/* ---- without a placer ---- */

TEST_F(Gateway, entries_serve_while_there_is_no_placer)
{
	Serve();
	for (int i = 0; i < 5; i++)
		w->kill(i);
	w->run(2000);
	for (int i = 0; i < 6; i++)
		EXPECT_TRUE(Reaches(5 + i % 2)) << i;
	EXPECT_EQ(
	    w->ask(5, NODE_LISTEN_READINESS, "GET", "/api/readiness").status,
	    200);
}

/* Requests that were on their way to a placer that died are placed soon. */
TEST_F(Gateway, a_request_outlives_its_placer)
{
	size_t before;

	Serve();
	w->kill(w->leader());
	before = w->sent.size();
	(void)Request(5);
	EXPECT_TRUE(w->until([&] { return w->sent.size() > before; }, 600));
}

/*
 * The pattern: a burst beyond what the placer's processor bears. The entry
 * places the rest itself as far as there are slots and refuses what is beyond,
 * so that what waits at the placer is bounded and nobody waits in vain.
 */
TEST_F(Gateway, an_entry_does_not_wait_for_a_placer_that_has_no_time)
{
	const size_t burst = 100, at_the_placer = 16, slots = 12;
	std::vector<uint64_t> asked;
	size_t before;
	auto decided = [&] {
		size_t n = w->sent.size() - before;

		for (uint64_t r : asked)
			n += w->replies.count(r) && w->replies[r].status == 503;
		return n;
	};

	Serve();
	w->freeze(w->leader(), true);
	before = w->sent.size();
	for (size_t i = 0; i < burst; i++)
		asked.push_back(Request(5));
	w->run(10);
	EXPECT_EQ(w->sent.size() - before, slots);
	EXPECT_EQ(w->machines[5]->logs["placer-busy"], 1);
	w->run(300);
	EXPECT_GE(decided(), burst - 2 * at_the_placer)
	    << "one window asked for again, and one in its turn";
	EXPECT_TRUE(w->until([&] { return decided() == burst; }, 3000))
	    << "the next placer decides on those that were asked for there";
	EXPECT_GE(w->sent.size() - before, slots);
}

/* Packets are lost on the way: what found the window full is asked for later.
 */
TEST_F(Gateway, what_the_placer_had_no_time_for_has_its_turn)
{
	const size_t burst = 40;
	std::vector<uint64_t> asked;

	Serve();
	ASSERT_TRUE(Reaches(5));
	w->late = w->leader();
	w->late_us = 100 * MS;
	for (size_t i = 0; i < burst; i++)
		asked.push_back(Request(5));
	w->run(400);
	for (uint64_t r : asked)
		EXPECT_NE(w->replies[r].status, 503)
		    << "its caller waits for 1.5 s";
}

/*
 * The pattern: high load, with calls of a plain service among model requests.
 * They need no order, and don't wait for a placer that has been late.
 */
TEST_F(Gateway, plain_calls_go_without_a_placer_that_is_late)
{
	size_t before;

	Serve();
	ASSERT_TRUE(Reaches(5)) << "quickly: a long way is no sign of load";
	w->late = w->leader();
	w->late_us = 100 * MS;
	for (int i = 0; i < 8; i++) {
		EXPECT_TRUE(Reaches(5));
		w->run(50);
	}
	before = w->sent.size();
	(void)Request(5);
	w->run(10);
	EXPECT_EQ(w->sent.size(), before + 1) << "placed by the entry itself";
}

/*
 * Guards against: an ask that was answered late is counted as without an answer
 * for ever, until the entry asks that placer no more.
 */
TEST_F(Gateway, what_was_asked_elsewhere_is_out_no_more)
{
	Reply metrics;

	Serve();
	ASSERT_TRUE(Reaches(5));
	w->late = w->leader();
	w->late_us = 200 * MS;
	for (int i = 0; i < 30; i++) {
		(void)Request(5);
		w->run(30);
	}
	w->late = -1;
	w->run(2000);
	metrics = w->ask(5, NODE_LISTEN_API, "GET", "/metrics");
	EXPECT_NE(metrics.body.find("\nmulberrypath_gate_asks_at_placer 0\n"),
	    std::string::npos)
	    << metrics.body.substr(
		   metrics.body.find("\nmulberrypath_gate_asks_at_placer"), 60);
}

TEST_F(Gateway, an_entry_that_knows_no_configuration_says_so)
{
	uint64_t id;

	Begin(3, 1);
	w->run(3000);
	EXPECT_EQ(
	    w->ask(3, NODE_LISTEN_READINESS, "GET", "/api/readiness").status,
	    503);
	id = Request(3);
	EXPECT_EQ(w->replies[id].status, 503);
}

/*
 * Guards against: an endpoint that was cut off for a while is refused for ever
 * by the next placer, which had only heard that it was removed.
 */
TEST_F(Gateway, an_endpoint_that_was_silent_comes_back_at_the_next_placer)
{
	int first;

	Serve();
	ASSERT_TRUE(Reaches(5));
	w->run(8000); /* no announcement for longer than it is kept */
	EXPECT_FALSE(Reaches(5));
	first = w->leader();
	w->kill(first);
	ASSERT_TRUE(w->until(
	    [&] { return w->leader() >= 0 && w->leader() != first; }, 8000));
	ASSERT_EQ(w->announce(w->leader(), "e1").status, 200);
	EXPECT_TRUE(Reaches(5));
}

/* ---- addresses and stopping ---- */

TEST_F(Gateway, lookups_name_the_entries_that_stay)
{
	Serve();
	Reply r = w->ask(2, NODE_LISTEN_REGISTRY, "GET", "/api/resolution");
	EXPECT_NE(r.body.find("10.0.0.6:9000"), std::string::npos) << r.body;
	EXPECT_NE(r.body.find("10.0.0.7:9000"), std::string::npos) << r.body;
	w->stop(5);
	w->run(500);
	r = w->ask(2, NODE_LISTEN_REGISTRY, "GET", "/api/resolution");
	EXPECT_EQ(r.body.find("10.0.0.6:9000"), std::string::npos) << r.body;
	EXPECT_EQ(
	    w->ask(5, NODE_LISTEN_READINESS, "GET", "/api/readiness").status,
	    503);
	EXPECT_TRUE(Reaches(5)) << "it serves until the lists have lapsed";
}

TEST_F(Gateway, a_stopping_entry_waits_for_its_answers_within_its_time)
{
	size_t before;

	Serve();
	before = w->sent.size();
	(void)Request(5);
	ASSERT_TRUE(w->until([&] { return w->sent.size() > before; }, 500));
	w->stop(5);
	w->run(1400);
	EXPECT_FALSE(w->machines[5]->exited);
	w->answer(w->sent.back(), 200, "late");
	EXPECT_TRUE(w->until([&] { return w->machines[5]->exited; }, 6500));
}

TEST_F(Gateway, a_stopping_leader_hands_over_and_ends)
{
	int first;

	Serve();
	first = w->leader();
	w->stop(first);
	EXPECT_TRUE(
	    w->until([&] { return w->machines[(size_t)first]->exited; }, 7000));
	EXPECT_TRUE(w->until(
	    [&] { return w->leader() >= 0 && w->leader() != first; }, 4000));
	EXPECT_TRUE(Reaches(5));
}

static const bool switched_off = guard_off({
    {"node.gate_highest", &node_guards.gate_highest},
    {"node.gate_leased", &node_guards.gate_leased},
    {"node.gate_active", &node_guards.gate_active},
});
