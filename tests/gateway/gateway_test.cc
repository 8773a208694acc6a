#include "guard_off.h"
#include "node/node_guard.h"
#include "gateway_sim.h"

/* Founding, configuration, endpoints and placing over several instances. */
class Gateway : public ::testing::Test {
      protected:
	std::unique_ptr<GatewaySim> w;

	void
	Begin(int cores = 5, int entries = 2, bool start = true)
	{
		w = std::make_unique<GatewaySim>(cores, entries);
		for (int i = 0; start && i < cores + entries; i++)
			w->start(i);
	}

	/* A cluster with a configuration in force and two endpoints. */
	void
	Serve(int cores = 5, int entries = 2)
	{
		Begin(cores, entries);
		ASSERT_TRUE(
		    w->run_until([&] { return w->leader() >= 0; }, 8000));
		ASSERT_EQ(Put(w->leader(), 1).status, 200);
		ASSERT_EQ(w->announce(w->leader(), "e1").status, 200);
		ASSERT_EQ(w->announce(w->leader(), "e2").status, 200);
		ASSERT_TRUE(
		    w->run_until([&] { return w->all_entries_ready(); }, 5000));
		w->run_for_ms(2000); /* all cores have joined */
	}

	Reply
	Put(int i, int version, const std::string &service = "app")
	{
		return w->request_and_wait(i, NODE_LISTEN_CONTROL, "PUT",
		    "/api/configuration", config_text(version, service));
	}

	Reply
	Get(int i)
	{
		return w->request_and_wait(
		    i, NODE_LISTEN_CONTROL, "GET", "/api/configuration");
	}

	/* Put until it is acknowledged, as an operator does. */
	bool
	PutAtLast(int version, uint64_t ms = 15000)
	{
		for (uint64_t end = w->now_us + ms * MS; w->now_us < end;) {
			for (size_t i = 0; i < w->instances.size(); i++)
				if (w->instances[i]->alive &&
				    w->instances[i]->core &&
				    Put((int)i, version).status == 200)
					return true;
			w->run_for_ms(100);
		}
		return false;
	}

	/* A caller's request at an entry; its call to an endpoint. */
	uint64_t
	Request(int entry)
	{
		return w->send_request(entry, NODE_LISTEN_FRONT, "POST", "/p/x",
		    "body",
		    {{"Host", "h.example"}, {"Mulberrypath-Attempt-Id", "7"},
			{"Mulberrypath-Deadline-Ms", "1500"}});
	}

	/* Whether a request reaches an endpoint within a time. */
	bool
	Reaches(int entry, std::string *endpoint = nullptr, uint64_t ms = 1000)
	{
		size_t before = w->endpoint_calls.size();

		(void)Request(entry);
		if (!w->run_until(
			[&] { return w->endpoint_calls.size() > before; }, ms))
			return false;
		if (endpoint != nullptr)
			*endpoint =
			    w->endpoint_calls.back()
				.headers["Mulberrypath-Expected-Instance"];
		w->answer_call(w->endpoint_calls.back(), 200, "answer");
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
			w->run_for_ms(70);
		}
		w->start(5);
		ASSERT_TRUE(PutAtLast(1));
		EXPECT_TRUE(
		    w->run_until([&] { return w->all_entries_ready(); }, 8000));
		int founded = 0;
		for (auto &m : w->instances)
			founded += m->event_counts["log-founded"] > 0;
		EXPECT_LE(founded, 3) << "no other than a seed";
	}
}

/* A lost disk comes back where the cluster was founded long ago. */
TEST_F(Gateway, a_wiped_instance_never_founds_again)
{
	Begin(3, 0, false);
	w->founding_allowed = false;
	for (int i = 0; i < 3; i++)
		w->start(i);
	w->run_for_ms(10000);
	for (auto &m : w->instances)
		EXPECT_EQ(m->event_counts["log-founded"], 0);
	EXPECT_EQ(Put(0, 1).status, 503);
}

TEST_F(Gateway, a_wiped_core_rejoins_and_the_cluster_survives_another_loss)
{
	Serve(3, 1);
	w->founding_allowed = false;
	for (int lost : {0, 1, 2}) {
		w->kill(lost);
		w->wipe_disk(lost);
		w->run_for_ms(500);
		w->start(lost);
		w->run_for_ms(4000);
		ASSERT_TRUE(PutAtLast(10 + lost)) << lost;
		EXPECT_EQ(Get((lost + 1) % 3).body, config_text(10 + lost));
	}
}

TEST_F(Gateway, a_replaced_core_joins_at_another_address)
{
	int fresh;

	Serve(3, 1);
	w->founding_allowed = false;
	for (int lost : {0, 1, 2}) {
		w->kill(lost);
		fresh = w->add_instance(true);
		w->seeds[(size_t)lost] =
		    w->instances[(size_t)fresh]->ip + ":8000";
		w->run_for_ms(1000);
		w->start(fresh);
		w->run_for_ms(5000);
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
TEST_F(Gateway, a_voter_removed_while_frozen_rejoins)
{
	for (int cores : {4, 5}) {
		Serve(cores, 2);
		int frozen = w->leader();
		w->freeze(frozen, true);
		w->run_for_ms(6000);
		w->freeze(frozen, false);
		w->run_for_ms(6000);
		ASSERT_TRUE(PutAtLast(40)) << cores;
		EXPECT_EQ(Get(frozen).body, config_text(40)) << cores;
		EXPECT_EQ(w->instances[(size_t)frozen]
			      ->event_counts["config-in-force"],
		    2)
		    << cores;
		int other = (frozen + 1) % cores;
		w->kill(other);
		ASSERT_TRUE(PutAtLast(41)) << cores << ": it votes again";
	}
}

/* Voters that have not joined as members yet are no dead ones. */
TEST_F(Gateway, no_voter_is_removed_while_the_cluster_forms)
{
	Begin(4, 2);
	w->run_for_ms(8000);
	for (auto &m : w->instances)
		EXPECT_LE(m->event_counts["voters-changed"], 2)
		    << "one learner, one promotion";
}

/* An entry that follows a core cut off from the leader hears of it in time. */
TEST_F(Gateway, an_entry_leaves_a_core_that_is_cut_off_from_the_leader)
{
	for (int stale = 0; stale < 5; stale++)
		for (uint64_t ms : {100, 400, 800, 1200, 1500, 2000, 3000}) {
			Serve(5, 2);
			if (stale == w->leader())
				continue;
			for (int k = 0; k < 5; k++) {
				w->cut_links.insert({stale, k});
				w->cut_links.insert({k, stale});
			}
			w->run_for_ms(ms);
			ASSERT_EQ(Put(w->leader(), 50).status, 200);
			w->run_for_ms(1200);
			for (size_t i = 5; i < 7; i++)
				EXPECT_EQ(w->instances[i]
					      ->event_counts["config-in-force"],
				    2)
				    << stale << " " << ms;
		}
}

/* Nor with a leader that the other cores have left. */
TEST_F(Gateway, an_entry_leaves_a_leader_that_is_cut_off)
{
	for (uint64_t ms : {0, 300, 700, 1500}) {
		int old;

		Serve(5, 2);
		old = w->leader();
		for (int k = 0; k < 5; k++) {
			w->cut_links.insert({old, k});
			w->cut_links.insert({k, old});
		}
		ASSERT_TRUE(w->run_until([&] {
			int now = w->leader();

			return now >= 0 && now != old;
		}));
		w->run_for_ms(ms);
		ASSERT_EQ(Put(w->leader(), 50).status, 200);
		w->run_for_ms(1900);
		for (size_t i = 5; i < 7; i++)
			EXPECT_EQ(
			    w->instances[i]->event_counts["config-in-force"], 2)
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
							w->cut_links.insert(
							    {i, k});
				ASSERT_TRUE(w->run_until([&] {
					int now = w->leader();

					return now >= 0 && !few.count(now);
				}));
				w->run_for_ms(ms);
				ASSERT_EQ(Put(w->leader(), 50).status, 200);
				w->run_for_ms(1900);
				for (size_t i = 5; i < 9; i++)
					EXPECT_EQ(w->instances[i]->event_counts
						      ["config-in-force"],
					    2)
					    << "with " << with << ", after "
					    << ms << " ms, members for relays "
					    << many;
			}
	node_direct_members_max = small;
}

/* ---- configuration ---- */

TEST_F(Gateway, every_core_accepts_changes_and_reads_the_latest)
{
	Serve();
	for (int i = 0; i < 5; i++) {
		EXPECT_EQ(Put(i, 10 + i).status, 200) << i;
		EXPECT_EQ(Get((i + 2) % 5).body, config_text(10 + i)) << i;
	}
}

TEST_F(Gateway, the_higher_version_wins_and_resends_are_acknowledged)
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
TEST_F(Gateway, of_two_concurrent_changes_the_higher_version_wins)
{
	int at;

	Serve();
	at = w->leader();
	(void)w->send_request(at, NODE_LISTEN_CONTROL, "PUT",
	    "/api/configuration", config_text(7, "app"));
	(void)w->send_request(at, NODE_LISTEN_CONTROL, "PUT",
	    "/api/configuration", config_text(6, "other"));
	w->run_for_ms(1000);
	for (int i = 0; i < 3; i++)
		EXPECT_NE(
		    Get(i).body.find("\"service\":\"app\""), std::string::npos)
		    << i;
}

/* A core cut off can't know the newest, and doesn't say otherwise. */
TEST_F(Gateway, a_core_that_is_cut_off_returns_no_stale_configuration)
{
	int cut;

	Serve();
	cut = w->leader();
	w->isolate(cut, true);
	w->run_for_ms(1200);
	EXPECT_EQ(Get(cut).status, 503);
	ASSERT_TRUE(PutAtLast(7));
	EXPECT_EQ(Get(cut).status, 503);
	EXPECT_EQ(Put(cut, 8).status, 503);
	w->isolate(cut, false);
	w->run_for_ms(2000);
	EXPECT_EQ(Get(cut).body, config_text(7));
}

TEST_F(Gateway, a_resumed_leader_returns_no_stale_configuration)
{
	int frozen;

	Serve();
	frozen = w->leader();
	w->freeze(frozen, true);
	w->run_for_ms(1500);
	ASSERT_TRUE(PutAtLast(7, 8000));
	w->freeze(frozen, false);
	Reply r = Get(frozen);
	EXPECT_TRUE(r.status == 503 || r.body == config_text(7)) << r.status;
}

TEST_F(Gateway, acknowledged_changes_survive_the_loss_of_all_processes)
{
	Serve();
	w->founding_allowed = false;
	for (int version = 30; version < 33; version++) {
		ASSERT_EQ(Put(version % 5, version).status, 200);
		for (int i = 0; i < 5; i++)
			w->kill(i);
		w->run_for_ms(300);
		for (int i = 0; i < 5; i++)
			w->start(i);
		ASSERT_TRUE(w->run_until([&] { return Get(0).status == 200; }));
		EXPECT_EQ(Get(1).body, config_text(version));
	}
}

/* In force everywhere soon after the acknowledgement, and never back. */
TEST_F(Gateway, a_route_changes_at_every_entry)
{
	Serve(5, 3);
	ASSERT_EQ(Put(0, 5, "other").status, 200);
	w->run_for_ms(300);
	for (int i = 5; i < 8; i++)
		EXPECT_FALSE(Reaches(i, nullptr, 200))
		    << "no endpoint of the other service is there";
}

/* ---- endpoints ---- */

TEST_F(Gateway, requests_reach_endpoints_announced_at_any_core)
{
	std::string endpoint;

	Begin();
	ASSERT_TRUE(w->run_until([&] { return w->leader() >= 0; }, 8000));
	ASSERT_EQ(Put(w->leader(), 1).status, 200);
	w->run_for_ms(3000);
	ASSERT_EQ(w->announce((w->leader() + 1) % 5, "e1").status, 200);
	ASSERT_TRUE(w->run_until([&] { return w->all_entries_ready(); }, 5000));
	ASSERT_TRUE(Reaches(5, &endpoint));
	EXPECT_EQ(endpoint, "e1");
	EXPECT_EQ(w->endpoint_calls.back().address, "10.1.0.1:80");
	EXPECT_EQ(w->endpoint_calls.back().body, "body");
}

TEST_F(Gateway, malformed_announcements_are_refused_and_change_nothing)
{
	Serve();
	for (const char *body : {"", "\xff", "{}", "[]"})
		EXPECT_EQ(w->request_and_wait(0, NODE_LISTEN_CONTROL, "PUT",
			       "/api/instances/e1", body)
			      .status,
		    400);
	EXPECT_TRUE(Reaches(5));
}

/*
 * A placer that told an endpoint that it may leave is lost at once: the next
 * one gives that endpoint nothing, though it never hears of it again.
 */
TEST_F(Gateway, a_leaving_endpoint_gets_no_work_from_the_next_placer)
{
	std::string endpoint;
	int first;

	Serve();
	first = w->leader();
	ASSERT_EQ(w->announce(first, "e1", "draining").status, 200);
	w->kill(first);
	ASSERT_TRUE(w->run_until(
	    [&] { return w->leader() >= 0 && w->leader() != first; }, 8000));
	for (int i = 0; i < 8; i++) {
		ASSERT_TRUE(Reaches(5 + i % 2, &endpoint));
		EXPECT_EQ(endpoint, "e2");
	}
}

TEST_F(Gateway, a_deregistered_endpoint_gets_no_new_requests)
{
	std::string endpoint;

	Serve();
	ASSERT_EQ(w->request_and_wait(
		       1, NODE_LISTEN_CONTROL, "DELETE", "/api/instances/e1")
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
	w->run_for_ms(2000);
	for (int i = 0; i < 6; i++)
		EXPECT_TRUE(Reaches(5 + i % 2)) << i;
	EXPECT_EQ(w->request_and_wait(
		       5, NODE_LISTEN_READINESS, "GET", "/api/readiness")
		      .status,
	    200);
}

/* Requests that were on their way to a placer that died are placed soon. */
TEST_F(Gateway, a_request_is_placed_after_its_placer_is_lost)
{
	size_t before;

	Serve();
	w->kill(w->leader());
	before = w->endpoint_calls.size();
	(void)Request(5);
	EXPECT_TRUE(w->run_until(
	    [&] { return w->endpoint_calls.size() > before; }, 600));
}

/*
 * The pattern: a burst beyond what the placer's processor bears. The entry
 * places the rest itself as far as there are slots and refuses what is beyond,
 * so that what waits at the placer is bounded and nobody waits in vain.
 */
TEST_F(Gateway, an_entry_bounds_its_asks_at_an_overloaded_placer)
{
	const size_t burst = 100, at_the_placer = 16, slots = 12;
	std::vector<uint64_t> asked;
	size_t before;
	auto decided = [&] {
		size_t n = w->endpoint_calls.size() - before;

		for (uint64_t r : asked)
			n += w->replies.count(r) && w->replies[r].status == 503;
		return n;
	};

	Serve();
	w->freeze(w->leader(), true);
	before = w->endpoint_calls.size();
	for (size_t i = 0; i < burst; i++)
		asked.push_back(Request(5));
	w->run_for_ms(10);
	EXPECT_EQ(w->endpoint_calls.size() - before, slots);
	EXPECT_EQ(w->instances[5]->event_counts["placer-busy"], 1);
	w->run_for_ms(300);
	EXPECT_GE(decided(), burst - 2 * at_the_placer)
	    << "one window asked for again, and one in its turn";
	EXPECT_TRUE(w->run_until([&] { return decided() == burst; }, 3000))
	    << "the next placer decides on those that were asked for there";
	EXPECT_GE(w->endpoint_calls.size() - before, slots);
}

/* Packets are lost on the way: what found the window full is asked for later.
 */
TEST_F(Gateway, asks_beyond_the_window_are_sent_later)
{
	const size_t burst = 40;
	std::vector<uint64_t> asked;

	Serve();
	ASSERT_TRUE(Reaches(5));
	w->delayed_sender = w->leader();
	w->delay_us = 100 * MS;
	for (size_t i = 0; i < burst; i++)
		asked.push_back(Request(5));
	w->run_for_ms(400);
	for (uint64_t r : asked)
		EXPECT_NE(w->replies[r].status, 503)
		    << "its caller waits for 1.5 s";
}

/*
 * The pattern: high load, with calls of a plain service among model requests.
 * They need no order, and don't wait for a placer that has been late.
 */
TEST_F(Gateway, plain_calls_bypass_a_slow_placer)
{
	size_t before;

	Serve();
	ASSERT_TRUE(Reaches(5)) << "quickly: a long way is no sign of load";
	w->delayed_sender = w->leader();
	w->delay_us = 100 * MS;
	for (int i = 0; i < 8; i++) {
		EXPECT_TRUE(Reaches(5));
		w->run_for_ms(50);
	}
	before = w->endpoint_calls.size();
	(void)Request(5);
	w->run_for_ms(10);
	EXPECT_EQ(w->endpoint_calls.size(), before + 1)
	    << "placed by the entry itself";
}

/*
 * Guards against: an ask that was answered late is counted as without an answer
 * for ever, until the entry asks that placer no more.
 */
TEST_F(Gateway, an_ask_sent_elsewhere_leaves_the_window)
{
	Reply metrics;

	Serve();
	ASSERT_TRUE(Reaches(5));
	w->delayed_sender = w->leader();
	w->delay_us = 200 * MS;
	for (int i = 0; i < 30; i++) {
		(void)Request(5);
		w->run_for_ms(30);
	}
	w->delayed_sender = -1;
	w->run_for_ms(2000);
	metrics = w->request_and_wait(5, NODE_LISTEN_API, "GET", "/metrics");
	EXPECT_NE(metrics.body.find("\nmulberrypath_gate_asks_at_placer 0\n"),
	    std::string::npos)
	    << metrics.body.substr(
		   metrics.body.find("\nmulberrypath_gate_asks_at_placer"), 60);
}

TEST_F(Gateway, an_entry_without_configuration_is_not_ready)
{
	uint64_t id;

	Begin(3, 1);
	w->run_for_ms(3000);
	EXPECT_EQ(w->request_and_wait(
		       3, NODE_LISTEN_READINESS, "GET", "/api/readiness")
		      .status,
	    503);
	id = Request(3);
	EXPECT_EQ(w->replies[id].status, 503);
}

/*
 * Guards against: an endpoint that was cut off for a while is refused for ever
 * by the next placer, which had only heard that it was removed.
 */
TEST_F(Gateway, an_endpoint_removed_for_silence_returns_at_the_next_placer)
{
	int first;

	Serve();
	ASSERT_TRUE(Reaches(5));
	w->run_for_ms(8000); /* no announcement for longer than it is kept */
	EXPECT_FALSE(Reaches(5));
	first = w->leader();
	w->kill(first);
	ASSERT_TRUE(w->run_until(
	    [&] { return w->leader() >= 0 && w->leader() != first; }, 8000));
	ASSERT_EQ(w->announce(w->leader(), "e1").status, 200);
	EXPECT_TRUE(Reaches(5));
}

/* ---- addresses and stopping ---- */

TEST_F(Gateway, lookups_omit_stopping_entries)
{
	Serve();
	Reply r = w->request_and_wait(
	    2, NODE_LISTEN_REGISTRY, "GET", "/api/resolution");
	EXPECT_NE(r.body.find("10.0.0.6:9000"), std::string::npos) << r.body;
	EXPECT_NE(r.body.find("10.0.0.7:9000"), std::string::npos) << r.body;
	w->stop(5);
	w->run_for_ms(500);
	r = w->request_and_wait(
	    2, NODE_LISTEN_REGISTRY, "GET", "/api/resolution");
	EXPECT_EQ(r.body.find("10.0.0.6:9000"), std::string::npos) << r.body;
	EXPECT_EQ(w->request_and_wait(
		       5, NODE_LISTEN_READINESS, "GET", "/api/readiness")
		      .status,
	    503);
	EXPECT_TRUE(Reaches(5)) << "it serves until the lists have lapsed";
}

TEST_F(Gateway, a_stopping_entry_waits_for_open_requests)
{
	size_t before;

	Serve();
	before = w->endpoint_calls.size();
	(void)Request(5);
	ASSERT_TRUE(w->run_until(
	    [&] { return w->endpoint_calls.size() > before; }, 500));
	w->stop(5);
	w->run_for_ms(1400);
	EXPECT_FALSE(w->instances[5]->exited);
	w->answer_call(w->endpoint_calls.back(), 200, "late");
	EXPECT_TRUE(
	    w->run_until([&] { return w->instances[5]->exited; }, 6500));
}

TEST_F(Gateway, a_stopping_leader_transfers_leadership_and_exits)
{
	int first;

	Serve();
	first = w->leader();
	w->stop(first);
	EXPECT_TRUE(w->run_until(
	    [&] { return w->instances[(size_t)first]->exited; }, 7000));
	EXPECT_TRUE(w->run_until(
	    [&] { return w->leader() >= 0 && w->leader() != first; }, 4000));
	EXPECT_TRUE(Reaches(5));
}

static const bool switched_off = guard_off({
    {"node.gate_highest", &node_guards.gate_highest},
    {"node.gate_leased", &node_guards.gate_leased},
    {"node.gate_active", &node_guards.gate_active},
});
