#include "guard_off.h"
#include "node/node_guard.h"
#include "gateway_sim.h"
#include "wire/peer.pb-c.h"

/* A little more than half of the deadline of SendRequest(). */
static constexpr uint64_t kHeldMs = 760;

/* Founding, configuration, endpoints and placing with several instances. */
class Gateway : public ::testing::Test {
      protected:
	std::unique_ptr<GatewaySim> sim;

	void
	StartCluster(int cores = 5, int entries = 2, bool start = true)
	{
		sim = std::make_unique<GatewaySim>(cores, entries);
		for (int i = 0; start && i < cores + entries; i++)
			sim->start(i);
	}

	/* Starts a cluster with a configuration in force and two endpoints. */
	void
	StartServing(int cores = 5, int entries = 2)
	{
		StartCluster(cores, entries);
		ASSERT_TRUE(
		    sim->run_until([&] { return sim->leader() >= 0; }, 8000));
		ASSERT_EQ(PutConfig(sim->leader(), 1).status, 200);
		ASSERT_EQ(sim->announce(sim->leader(), "e1").status, 200);
		ASSERT_EQ(sim->announce(sim->leader(), "e2").status, 200);
		ASSERT_TRUE(sim->run_until(
		    [&] { return sim->all_entries_ready(); }, 5000));
		sim->run_for_ms(2000); /* until all cores have joined */
	}

	Reply
	PutConfig(int i, int version, const std::string &service = "app")
	{
		return sim->request_and_wait(i, NODE_LISTEN_CONTROL, "PUT",
		    "/api/configuration", config_text(version, service));
	}

	Reply
	GetConfig(int i)
	{
		return sim->request_and_wait(
		    i, NODE_LISTEN_CONTROL, "GET", "/api/configuration");
	}

	/*
	 * Sends a configuration until it is acknowledged, as an operator does.
	 */
	bool
	PutConfigUntilAccepted(int version, uint64_t ms = 15000)
	{
		for (uint64_t end = sim->now_us + ms * MS; sim->now_us < end;) {
			for (size_t i = 0; i < sim->instances.size(); i++)
				if (sim->instances[i]->alive &&
				    sim->instances[i]->core &&
				    PutConfig((int)i, version).status == 200)
					return true;
			sim->run_for_ms(100);
		}
		return false;
	}

	/* Sends a caller's request to an entry. */
	uint64_t
	SendRequest(int entry)
	{
		return sim->send_request(entry, NODE_LISTEN_FRONT, "POST",
		    "/p/x", "body",
		    {{"Host", "h.example"}, {"Mulberrypath-Attempt-Id", "7"},
			{"Mulberrypath-Deadline-Ms", "1500"}});
	}

	/* What an entry answers at once for a route that it doesn't know. */
	int
	UnknownRouteStatus(int entry)
	{
		uint64_t id = sim->send_request(entry, NODE_LISTEN_FRONT,
		    "POST", "/unknown/x", "body",
		    {{"Host", "h.example"}, {"Mulberrypath-Attempt-Id", "7"},
			{"Mulberrypath-Deadline-Ms", "1500"}});

		return sim->replies[id].status;
	}

	/* The endpoint that the last call went to. */
	std::string
	LastEndpoint()
	{
		return sim->endpoint_calls.back()
		    .headers["Mulberrypath-Expected-Instance"];
	}

	/* Whether a request reaches an endpoint within a time. */
	bool
	IsSent(int entry, uint64_t ms = 1000)
	{
		size_t before = sim->endpoint_calls.size();

		(void)SendRequest(entry);
		return sim->run_until(
		    [&] { return sim->endpoint_calls.size() > before; }, ms);
	}

	/* The same; the request is answered. */
	bool
	ReachesEndpoint(
	    int entry, std::string *endpoint = nullptr, uint64_t ms = 1000)
	{
		if (!IsSent(entry, ms))
			return false;
		if (endpoint != nullptr)
			*endpoint = LastEndpoint();
		sim->answer_call(sim->endpoint_calls.back(), 200, "answer");
		return true;
	}

	/*
	 * Sends requests until one is sent to the endpoint; that one is not
	 * answered. The others are answered after it, as an endpoint with fewer
	 * requests is preferred.
	 */
	bool
	ReachesThisEndpoint(int entry, const std::string &endpoint)
	{
		size_t first = sim->endpoint_calls.size();
		bool is_reached = false;

		for (int i = 0; i < 24 && !is_reached; i++) {
			if (!IsSent(entry))
				return false;
			is_reached = LastEndpoint() == endpoint;
		}
		for (size_t i = first;
		     i + is_reached < sim->endpoint_calls.size(); i++)
			sim->answer_call(sim->endpoint_calls[i], 200, "answer");
		return is_reached;
	}
};

/* ---- founding ---- */

TEST_F(Gateway, three_seeds_found_in_any_order_and_the_others_join)
{
	static const int orders[][5] = {
	    {0, 1, 2, 3, 4}, {4, 3, 2, 1, 0}, {2, 4, 0, 3, 1}};

	for (auto &order : orders) {
		StartCluster(5, 1, false);
		for (int i : order) {
			sim->start(i);
			sim->run_for_ms(70);
		}
		sim->start(5);
		ASSERT_TRUE(PutConfigUntilAccepted(1));
		EXPECT_TRUE(sim->run_until(
		    [&] { return sim->all_entries_ready(); }, 8000));
		int founded = 0;
		for (auto &m : sim->instances)
			founded += m->event_counts["log-founded"] > 0;
		EXPECT_LE(founded, 3) << "only seeds found a cluster";
	}
}

/*
 * Guards against an instance that founds a second cluster after the loss of its
 * disk, long after the first one was founded.
 */
TEST_F(Gateway, a_wiped_instance_never_founds_again)
{
	StartCluster(3, 0, false);
	sim->founding_allowed = false;
	for (int i = 0; i < 3; i++)
		sim->start(i);
	sim->run_for_ms(10000);
	for (auto &m : sim->instances)
		EXPECT_EQ(m->event_counts["log-founded"], 0);
	EXPECT_EQ(PutConfig(0, 1).status, 503);
}

TEST_F(Gateway, a_wiped_core_rejoins_and_the_cluster_survives_another_loss)
{
	StartServing(3, 1);
	sim->founding_allowed = false;
	for (int lost : {0, 1, 2}) {
		sim->kill(lost);
		sim->wipe_disk(lost);
		sim->run_for_ms(500);
		sim->start(lost);
		sim->run_for_ms(4000);
		ASSERT_TRUE(PutConfigUntilAccepted(10 + lost)) << lost;
		EXPECT_EQ(
		    GetConfig((lost + 1) % 3).body, config_text(10 + lost));
	}
}

TEST_F(Gateway, a_replaced_core_joins_at_another_address)
{
	int replacement;

	StartServing(3, 1);
	sim->founding_allowed = false;
	for (int lost : {0, 1, 2}) {
		sim->kill(lost);
		replacement = sim->add_instance(true);
		sim->seeds[(size_t)lost] =
		    sim->instances[(size_t)replacement]->ip + ":8000";
		sim->run_for_ms(1000);
		sim->start(replacement);
		sim->run_for_ms(5000);
		ASSERT_TRUE(PutConfigUntilAccepted(20 + lost)) << lost;
		EXPECT_EQ(GetConfig(replacement).body, config_text(20 + lost));
	}
	ASSERT_EQ(sim->announce(sim->leader(), "e1").status, 200);
	EXPECT_TRUE(ReachesEndpoint(3)) << "the entry follows the new cores";
}

/*
 * Guards against a core that stays out of the cluster. One that was frozen for
 * long is removed as a voter; it must notice that it receives nothing any more,
 * and join again.
 */
TEST_F(Gateway, a_voter_removed_while_frozen_rejoins)
{
	for (int cores : {4, 5}) {
		StartServing(cores, 2);
		int frozen = sim->leader();
		sim->freeze(frozen, true);
		sim->run_for_ms(6000);
		sim->freeze(frozen, false);
		sim->run_for_ms(6000);
		ASSERT_TRUE(PutConfigUntilAccepted(40)) << cores;
		EXPECT_EQ(GetConfig(frozen).body, config_text(40)) << cores;
		EXPECT_EQ(sim->instances[(size_t)frozen]
			      ->event_counts["config-in-force"],
		    2)
		    << cores;
		int other = (frozen + 1) % cores;
		sim->kill(other);
		ASSERT_TRUE(PutConfigUntilAccepted(41))
		    << cores << ": it is a voter again";
	}
}

/*
 * Guards against voters that are removed as dead because they have not joined
 * as members yet.
 */
TEST_F(Gateway, no_voter_is_removed_while_the_cluster_forms)
{
	StartCluster(4, 2);
	sim->run_for_ms(8000);
	for (auto &m : sim->instances)
		EXPECT_LE(m->event_counts["voters-changed"], 2)
		    << "one learner added, one promoted";
}

/*
 * Guards against an entry that keeps an old configuration because it follows a
 * core that is cut off from the leader.
 */
TEST_F(Gateway, an_entry_leaves_a_core_that_is_cut_off_from_the_leader)
{
	for (int cut_off = 0; cut_off < 5; cut_off++)
		for (uint64_t ms : {100, 400, 800, 1200, 1500, 2000, 3000}) {
			StartServing(5, 2);
			if (cut_off == sim->leader())
				continue;
			for (int k = 0; k < 5; k++) {
				sim->cut_links.insert({cut_off, k});
				sim->cut_links.insert({k, cut_off});
			}
			sim->run_for_ms(ms);
			ASSERT_EQ(PutConfig(sim->leader(), 50).status, 200);
			sim->run_for_ms(1200);
			for (size_t i = 5; i < 7; i++)
				EXPECT_EQ(sim->instances[i]
					      ->event_counts["config-in-force"],
				    2)
				    << cut_off << " " << ms;
		}
}

/*
 * Guards against an entry that keeps an old configuration because it follows a
 * leader that the other cores have left.
 */
TEST_F(Gateway, an_entry_leaves_a_leader_that_is_cut_off)
{
	for (uint64_t ms : {0, 300, 700, 1500}) {
		int old;

		StartServing(5, 2);
		old = sim->leader();
		for (int k = 0; k < 5; k++) {
			sim->cut_links.insert({old, k});
			sim->cut_links.insert({k, old});
		}
		ASSERT_TRUE(sim->run_until([&] {
			int leader = sim->leader();

			return leader >= 0 && leader != old;
		}));
		sim->run_for_ms(ms);
		ASSERT_EQ(PutConfig(sim->leader(), 50).status, 200);
		sim->run_for_ms(1900);
		for (size_t i = 5; i < 7; i++)
			EXPECT_EQ(
			    sim->instances[i]->event_counts["config-in-force"],
			    2)
			    << ms;
	}
}

/*
 * Guards against an entry that keeps an old configuration because it stays with
 * a minority of the cores, which answer but know no leader; with and without
 * relays.
 */
TEST_F(Gateway, an_entry_finds_the_leader_of_the_majority)
{
	const size_t default_relay_members = node_direct_members_max;

	for (size_t relay_members : {default_relay_members, (size_t)0})
		for (int offset = 0; offset < 5; offset++)
			for (uint64_t ms : {0, 600, 1500}) {
				std::set<int> minority;
				int old;

				node_direct_members_max = relay_members;
				StartServing(5, 4);
				old = sim->leader();
				minority = {old, (old + 1 + offset) % 5};
				for (int i = 0; i < 5; i++)
					for (int k = 0; k < 5; k++)
						if (minority.count(i) !=
						    minority.count(k))
							sim->cut_links.insert(
							    {i, k});
				ASSERT_TRUE(sim->run_until([&] {
					int leader = sim->leader();

					return leader >= 0 &&
					    !minority.count(leader);
				}));
				sim->run_for_ms(ms);
				ASSERT_EQ(
				    PutConfig(sim->leader(), 50).status, 200);
				sim->run_for_ms(1900);
				for (size_t i = 5; i < 9; i++)
					EXPECT_EQ(
					    sim->instances[i]->event_counts
						["config-in-force"],
					    2)
					    << "offset " << offset << ", after "
					    << ms << " ms, members for relays "
					    << relay_members;
			}
	node_direct_members_max = default_relay_members;
}

/* ---- configuration ---- */

/*
 * Guards against an entry that takes a cut-off core, which answers first, for
 * the one to follow, while the leader of the majority renews its lease: it
 * missed all changes until that lease was refused, and was not aware of it.
 */
TEST_F(Gateway, an_entry_nearest_to_cut_off_cores_follows_the_leader)
{
	for (int offset = 0; offset < 5; offset++)
		for (uint64_t ms : {0, 1500, 3500}) {
			std::set<int> minority;
			int old;

			StartServing(5, 4);
			old = sim->leader();
			minority = {old, (old + offset) % 5};
			for (int i = 0; i < 5; i++)
				for (int k = 0; k < 9; k++) {
					uint64_t us =
					    minority.count(i) ? 200 : 3 * MS;

					sim->link_delays_us[{i, k}] = us;
					sim->link_delays_us[{k, i}] = us;
					if (k < 5 &&
					    minority.count(i) !=
						minority.count(k))
						sim->cut_links.insert({i, k});
				}
			ASSERT_TRUE(sim->run_until([&] {
				int leader = sim->leader();

				return leader >= 0 && !minority.count(leader);
			}));
			sim->run_for_ms(1000 + ms);
			ASSERT_EQ(PutConfig(sim->leader(), 50).status, 200);
			sim->run_for_ms(300);
			for (size_t i = 5; i < 9; i++)
				EXPECT_EQ(sim->instances[i]
					      ->event_counts["config-in-force"],
				    2)
				    << "offset " << offset << ", after " << ms
				    << " ms, entry " << i;
		}
}

/*
 * Guards against a cluster without leases for good: the leader had been removed
 * as a member while it was cut off, none of the others sent it a renewal, and
 * so nobody, it included, became a member again.
 */
TEST_F(Gateway, a_leader_that_is_no_member_grants_leases)
{
	for (int next : {3, 4}) { /* cores that are no seeds */
		int old;
		auto is_removed = [&] {
			return sim->instances[(size_t)old]
				   ->event_counts["member-down"] > 0;
		};

		StartServing(5, 2);
		old = sim->leader();
		if (old == next)
			continue;
		for (int i = 0; i < 7; i++) /* it hears, and is not heard */
			sim->cut_links.insert({next, i});
		ASSERT_TRUE(sim->run_until(is_removed, 10000));
		sim->run_for_ms(100);
		sim->cut_links.clear();
		sim->kill(old);
		/* Only the removed one reaches a majority. */
		for (int i = 0; i < 5; i++)
			for (int k = 0; k < 5; k++)
				if (i != next && k != next)
					sim->cut_links.insert({i, k});
		ASSERT_TRUE(
		    sim->run_until([&] { return sim->leader() == next; }, 8000))
		    << next;
		sim->cut_links.clear();
		sim->start(old);
		sim->kill(5);
		sim->run_for_ms(100);
		sim->start(5);
		EXPECT_TRUE(sim->run_until(
		    [&] { return sim->all_entries_ready(); }, 10000))
		    << next;
		EXPECT_EQ(PutConfig(old, 60).status, 200);
	}
}

/*
 * Guards against an entry that says of a route which was added that there is
 * none, as it has not heard of the newer configuration.
 */
TEST_F(Gateway, an_entry_that_is_cut_off_refuses_no_route_for_good)
{
	StartServing();
	EXPECT_EQ(UnknownRouteStatus(5), 404);
	sim->isolate(5, true);
	for (uint64_t ms : {1600, 2000, 9000}) {
		sim->run_for_ms(ms);
		EXPECT_EQ(UnknownRouteStatus(5), 503) << ms;
		EXPECT_TRUE(IsSent(5)) << ms; /* what it knows is served */
	}
	sim->isolate(5, false);
	sim->run_for_ms(5000);
	EXPECT_EQ(UnknownRouteStatus(5), 404);
}

/*
 * Guards against an entry that serves by a configuration which it knows to be
 * out of date: it hears from the leader what is committed, and doesn't get it.
 */
TEST_F(Gateway, an_entry_that_knows_it_is_behind_serves_nothing)
{
	uint64_t id;

	StartServing();
	sim->is_lost = [](int, int to, const std::string &bytes) {
		Wire__Envelope *e = wire__envelope__unpack(
		    nullptr, bytes.size(), (const uint8_t *)bytes.data());
		bool is_push = e->body_case == WIRE__ENVELOPE__BODY_PUSH;

		wire__envelope__free_unpacked(e, nullptr);
		return to == 5 && is_push;
	};
	ASSERT_EQ(PutConfig(sim->leader(), 50, "other").status, 200);
	sim->run_for_ms(1900);
	id = SendRequest(5);
	sim->run_for_ms(kHeldMs); /* is held for half of its deadline */
	EXPECT_EQ(sim->replies[id].status, 503);
	EXPECT_TRUE(sim->endpoint_calls.empty());
	sim->is_lost = nullptr;
	sim->run_for_ms(500);
	(void)SendRequest(5); /* to a service without endpoints */
	EXPECT_EQ(sim->instances[5]->event_counts["config-in-force"], 2);
}

/*
 * Guards against an entry that goes back after its restart: all that it reaches
 * is a core that was cut off before the change.
 */
TEST_F(Gateway, a_restarted_entry_serves_nothing_older)
{
	int behind;

	StartServing();
	behind = sim->leader() == 0 ? 1 : 0; /* a seed */
	for (int k = 0; k < 5; k++) {
		sim->cut_links.insert({behind, k});
		sim->cut_links.insert({k, behind});
	}
	sim->run_for_ms(500);
	ASSERT_EQ(PutConfig(sim->leader(), 50, "other").status, 200);
	sim->run_for_ms(500);
	sim->kill(5);
	for (int k = 0; k < 5; k++)
		if (k != behind) {
			sim->cut_links.insert({5, k});
			sim->cut_links.insert({k, 5});
		}
	sim->start(5);
	for (int i = 0; i < 12; i++) {
		uint64_t id = sim->next_request_id();

		(void)UnknownRouteStatus(5);
		sim->run_for_ms(kHeldMs); /* is held for half of its deadline */
		EXPECT_EQ(sim->replies[id].status, 503) << i;
	}
	EXPECT_EQ(sim->instances[5]->event_counts["config-in-force"], 3)
	    << "it has got the configuration before";
}

TEST_F(Gateway, every_core_accepts_changes_and_reads_the_latest)
{
	StartServing();
	for (int i = 0; i < 5; i++) {
		EXPECT_EQ(PutConfig(i, 10 + i).status, 200) << i;
		EXPECT_EQ(GetConfig((i + 2) % 5).body, config_text(10 + i))
		    << i;
	}
}

TEST_F(Gateway, the_higher_version_wins_and_resends_are_acknowledged)
{
	static const struct {
		int version;
		const char *service;
		int status;
		const char *held; /* service of the version in force after it */
	} rows[] = {
	    {5, "app", 200, "app"}, {5, "app", 200, "app"}, /* resent */
	    {5, "other", 409, "app"}, /* same version, other content */
	    {4, "other", 200, "app"}, /* older than the version in force */
	    {9, "other", 200, "other"}, {5, "app", 200, "other"},
	    {10, "nobody", 400, "other"}, /* invalid */
	};

	StartServing();
	for (auto &row : rows) {
		EXPECT_EQ(
		    PutConfig(1, row.version, row.service).status, row.status)
		    << row.version << row.service;
		EXPECT_NE(GetConfig(2).body.find(
			      std::string("\"service\":\"") + row.held + "\""),
		    std::string::npos)
		    << row.version << row.service;
	}
	EXPECT_EQ(
	    PutConfig(0, 11, "nobody").body.find("{\"error\":\"$.routes[0]"),
	    0u);
}

/*
 * Guards against an older configuration in force after two concurrent changes,
 * both of which are in the log.
 */
TEST_F(Gateway, of_two_concurrent_changes_the_higher_version_wins)
{
	int at;

	StartServing();
	at = sim->leader();
	(void)sim->send_request(at, NODE_LISTEN_CONTROL, "PUT",
	    "/api/configuration", config_text(7, "app"));
	(void)sim->send_request(at, NODE_LISTEN_CONTROL, "PUT",
	    "/api/configuration", config_text(6, "other"));
	sim->run_for_ms(1000);
	for (int i = 0; i < 3; i++)
		EXPECT_NE(GetConfig(i).body.find("\"service\":\"app\""),
		    std::string::npos)
		    << i;
}

/*
 * Guards against stale reads: a core that is cut off can't know the newest
 * configuration and must not answer with an older one.
 */
/*
 * Guards against two operators who take the same number, both get 200, and one
 * of their configurations is in force nowhere.
 */
TEST_F(Gateway, two_contents_of_one_version_are_not_both_acknowledged)
{
	/* where the second is sent: 0: to the leader, else another core */
	for (int offset = 0; offset < 5; offset++) {
		uint64_t first, second;
		int at;

		StartServing();
		at = sim->leader();
		first = sim->send_request(at, NODE_LISTEN_CONTROL, "PUT",
		    "/api/configuration", config_text(7, "app"));
		second =
		    sim->send_request((at + offset) % 5, NODE_LISTEN_CONTROL,
			"PUT", "/api/configuration", config_text(7, "other"));
		sim->run_for_ms(3000);
		EXPECT_EQ(sim->replies[first].status, 200) << offset;
		EXPECT_EQ(sim->replies[second].status, 409) << offset;
		EXPECT_EQ(GetConfig(at).body, config_text(7, "app")) << offset;
	}
}

TEST_F(Gateway, a_core_that_is_cut_off_returns_no_stale_configuration)
{
	int cut;

	StartServing();
	cut = sim->leader();
	sim->isolate(cut, true);
	sim->run_for_ms(1200);
	EXPECT_EQ(GetConfig(cut).status, 503);
	ASSERT_TRUE(PutConfigUntilAccepted(7));
	EXPECT_EQ(GetConfig(cut).status, 503);
	EXPECT_EQ(PutConfig(cut, 8).status, 503);
	sim->isolate(cut, false);
	sim->run_for_ms(2000);
	EXPECT_EQ(GetConfig(cut).body, config_text(7));
}

TEST_F(Gateway, a_resumed_leader_returns_no_stale_configuration)
{
	int frozen;

	StartServing();
	frozen = sim->leader();
	sim->freeze(frozen, true);
	sim->run_for_ms(1500);
	ASSERT_TRUE(PutConfigUntilAccepted(7, 8000));
	sim->freeze(frozen, false);
	Reply r = GetConfig(frozen);
	EXPECT_TRUE(r.status == 503 || r.body == config_text(7)) << r.status;
}

TEST_F(Gateway, acknowledged_changes_survive_the_loss_of_all_processes)
{
	StartServing();
	sim->founding_allowed = false;
	for (int version = 30; version < 33; version++) {
		ASSERT_EQ(PutConfig(version % 5, version).status, 200);
		for (int i = 0; i < 5; i++)
			sim->kill(i);
		sim->run_for_ms(300);
		for (int i = 0; i < 5; i++)
			sim->start(i);
		ASSERT_TRUE(
		    sim->run_until([&] { return GetConfig(0).status == 200; }));
		EXPECT_EQ(GetConfig(1).body, config_text(version));
	}
}

/*
 * Guards against an entry that routes by an old configuration after a change
 * was acknowledged.
 */
TEST_F(Gateway, a_route_changes_at_every_entry)
{
	StartServing(5, 3);
	ASSERT_EQ(PutConfig(0, 5, "other").status, 200);
	sim->run_for_ms(300);
	for (int i = 5; i < 8; i++)
		EXPECT_FALSE(ReachesEndpoint(i, nullptr, 200))
		    << "the other service has no endpoint";
}

/* ---- endpoints ---- */

TEST_F(Gateway, requests_reach_endpoints_announced_at_any_core)
{
	std::string endpoint;

	StartCluster();
	ASSERT_TRUE(sim->run_until([&] { return sim->leader() >= 0; }, 8000));
	ASSERT_EQ(PutConfig(sim->leader(), 1).status, 200);
	sim->run_for_ms(3000);
	ASSERT_EQ(sim->announce((sim->leader() + 1) % 5, "e1").status, 200);
	ASSERT_TRUE(
	    sim->run_until([&] { return sim->all_entries_ready(); }, 5000));
	ASSERT_TRUE(ReachesEndpoint(5, &endpoint));
	EXPECT_EQ(endpoint, "e1");
	EXPECT_EQ(sim->endpoint_calls.back().address, "10.1.0.1:80");
	EXPECT_EQ(sim->endpoint_calls.back().body, "body");
}

TEST_F(Gateway, malformed_announcements_are_refused_and_change_nothing)
{
	StartServing();
	for (const char *body : {"", "\xff", "{}", "[]"})
		EXPECT_EQ(sim->request_and_wait(0, NODE_LISTEN_CONTROL, "PUT",
				 "/api/instances/e1", body)
			      .status,
		    400);
	EXPECT_TRUE(ReachesEndpoint(5));
}

/*
 * Guards against work for an endpoint that may already have exited: the placer
 * acknowledges that it leaves and is lost at once; the next one never receives
 * an announcement from the endpoint.
 */
TEST_F(Gateway, a_leaving_endpoint_gets_no_work_from_the_next_placer)
{
	std::string endpoint;
	int first;

	StartServing();
	first = sim->leader();
	ASSERT_EQ(sim->announce(first, "e1", "draining").status, 200);
	sim->kill(first);
	ASSERT_TRUE(sim->run_until(
	    [&] { return sim->leader() >= 0 && sim->leader() != first; },
	    8000));
	for (int i = 0; i < 8; i++) {
		ASSERT_TRUE(ReachesEndpoint(5 + i % 2, &endpoint));
		EXPECT_EQ(endpoint, "e2");
	}
}

TEST_F(Gateway, a_deregistered_endpoint_gets_no_new_requests)
{
	std::string endpoint;

	StartServing();
	ASSERT_EQ(sim->request_and_wait(
			 1, NODE_LISTEN_CONTROL, "DELETE", "/api/instances/e1")
		      .status,
	    200);
	for (int i = 0; i < 8; i++) {
		ASSERT_TRUE(ReachesEndpoint(5, &endpoint));
		EXPECT_EQ(endpoint, "e2");
	}
}

/*
 * Guards against requests to an endpoint that has said in a response that it is
 * leaving, and announces nothing of the kind: by the entry that passed that
 * response on, by others, and after the placer is lost. Its next process gets
 * requests again, whatever a late response of the earlier one says.
 */
/*
 * Guards against a resent deregistration that is acknowledged while the first
 * is not in the log yet: a leader that is then lost has promised what its
 * successor doesn't know.
 */
TEST_F(Gateway, a_resent_deregistration_is_acknowledged_by_the_log_alone)
{
	uint64_t first, second;
	int at;

	StartServing();
	at = sim->leader();
	for (int i = 0; i < 8; i++) { /* until it has heard all endpoints */
		(void)sim->announce(at, "e1");
		(void)sim->announce(at, "e2");
		sim->run_for_ms(1000);
	}
	for (int k = 0; k < 5; k++)
		sim->cut_links.insert({at, k});
	first = sim->send_request(
	    at, NODE_LISTEN_CONTROL, "DELETE", "/api/instances/e1");
	sim->run_for_ms(50);
	second = sim->send_request(
	    at, NODE_LISTEN_CONTROL, "DELETE", "/api/instances/e1");
	sim->run_for_ms(100);
	EXPECT_NE(sim->replies[first].status, 200);
	EXPECT_NE(sim->replies[second].status, 200);
	sim->cut_links.clear();
	sim->run_for_ms(1000);
	EXPECT_EQ(sim->replies[first].status, 200);
	EXPECT_EQ(sim->replies[second].status, 200);
}

TEST_F(Gateway, an_endpoint_that_says_it_leaves_gets_no_more_requests)
{
	std::string endpoint;
	GatewaySim::EndpointCall late;

	StartServing();
	ASSERT_TRUE(ReachesThisEndpoint(5, "e1"));
	late = sim->endpoint_calls.back();
	ASSERT_TRUE(ReachesThisEndpoint(5, "e1"));
	sim->answer_call(sim->endpoint_calls.back(), 200, "answer",
	    {{"Server-Leaving", "1"}});
	for (int i = 0; i < 8; i++) {
		ASSERT_TRUE(ReachesEndpoint(5, &endpoint));
		EXPECT_EQ(endpoint, "e2") << "at once, where it was received";
	}
	sim->run_for_ms(500);
	ASSERT_EQ(sim->announce(sim->leader(), "e1").status, 200);
	for (int i = 0; i < 8; i++) {
		ASSERT_TRUE(ReachesEndpoint(6, &endpoint));
		EXPECT_EQ(endpoint, "e2") << "soon, at other entries";
	}
	sim->kill(sim->leader());
	ASSERT_TRUE(sim->run_until([&] { return sim->leader() >= 0; }, 8000));
	for (int i = 0; i < 8; i++) {
		ASSERT_TRUE(ReachesEndpoint(5 + i % 2, &endpoint));
		EXPECT_EQ(endpoint, "e2") << "after the loss of the placer";
	}
	ASSERT_EQ(
	    sim->announce(sim->leader(), "e1", "ready", 0, 2).status, 200);
	sim->run_for_ms(500);
	sim->answer_call(late, 200, "answer", {{"Server-Leaving", "1"}});
	EXPECT_TRUE(ReachesThisEndpoint(5, "e1")) << "a new process";
}

/*
 * Guards against requests to an endpoint that has turned a request of this
 * entry away for some time, also while the entry places them by itself.
 */
TEST_F(Gateway, an_endpoint_gets_no_requests_of_an_entry_that_it_turned_away)
{
	std::string endpoint;
	uint64_t until_us;

	StartServing();
	ASSERT_TRUE(ReachesThisEndpoint(5, "e1"));
	sim->answer_call(sim->endpoint_calls.back(), 503, "",
	    {{"Mulberrypath-Not-Executed", "1"}, {"Retry-After", "3"}});
	until_us = sim->now_us + 3000 * MS;
	ASSERT_TRUE(sim->run_until([&] { return LastEndpoint() == "e2"; }, 500))
	    << "the request goes elsewhere";
	sim->answer_call(sim->endpoint_calls.back(), 200, "answer");
	EXPECT_TRUE(ReachesThisEndpoint(6, "e1"))
	    << "the other entry was not turned away";
	sim->answer_call(sim->endpoint_calls.back(), 200, "answer");
	for (int i = 0; i < 4; i++) {
		ASSERT_TRUE(ReachesEndpoint(5, &endpoint));
		EXPECT_EQ(endpoint, "e2");
	}
	for (int i = 0; i < 5; i++)
		sim->kill(i);
	while (sim->now_us + 400 * MS < until_us) {
		ASSERT_TRUE(ReachesEndpoint(5, &endpoint));
		EXPECT_EQ(endpoint, "e2") << "placed by the entry";
		sim->run_for_ms(100);
	}
	sim->run_for_ms(500);
	EXPECT_TRUE(ReachesThisEndpoint(5, "e1")) << "the time has passed";
}

/* ---- without a placer ---- */

TEST_F(Gateway, entries_serve_while_there_is_no_placer)
{
	StartServing();
	for (int i = 0; i < 5; i++)
		sim->kill(i);
	sim->run_for_ms(2000);
	for (int i = 0; i < 6; i++)
		EXPECT_TRUE(ReachesEndpoint(5 + i % 2)) << i;
	EXPECT_EQ(sim->request_and_wait(
			 5, NODE_LISTEN_READINESS, "GET", "/api/readiness")
		      .status,
	    200);
}

/*
 * Guards against requests that are lost because they were sent to a placer that
 * has died.
 */
TEST_F(Gateway, a_request_is_placed_after_its_placer_is_lost)
{
	size_t before;

	StartServing();
	sim->kill(sim->leader());
	before = sim->endpoint_calls.size();
	(void)SendRequest(5);
	EXPECT_TRUE(sim->run_until(
	    [&] { return sim->endpoint_calls.size() > before; }, 600));
}

/*
 * Guards against a queue without limit at the placer, under a burst that
 * exceeds its processor time. The entry places requests by itself while there
 * are slots and refuses the rest, so that no request waits in vain.
 */
TEST_F(Gateway, an_entry_bounds_its_asks_at_an_overloaded_placer)
{
	const size_t request_count = 100, window = 16, slots = 12;
	std::vector<uint64_t> requests;
	size_t before;
	auto decided = [&] {
		size_t n = sim->endpoint_calls.size() - before;

		for (uint64_t r : requests)
			n += sim->replies.count(r) &&
			    sim->replies[r].status == 503;
		return n;
	};

	StartServing();
	sim->freeze(sim->leader(), true);
	before = sim->endpoint_calls.size();
	for (size_t i = 0; i < request_count; i++)
		requests.push_back(SendRequest(5));
	sim->run_for_ms(10);
	EXPECT_EQ(sim->endpoint_calls.size() - before, slots);
	EXPECT_EQ(sim->instances[5]->event_counts["placer-busy"], 1);
	sim->run_for_ms(300);
	EXPECT_GE(decided(), request_count - 2 * window)
	    << "one window is retried, and one is sent later";
	EXPECT_TRUE(
	    sim->run_until([&] { return decided() == request_count; }, 3000))
	    << "the next placer decides on the asks of the lost one";
	EXPECT_GE(sim->endpoint_calls.size() - before, slots);
}

/*
 * Guards against requests that are refused although the placer is only slow, as
 * when packets are lost: an ask that found the window full is sent later.
 */
TEST_F(Gateway, asks_beyond_the_window_are_sent_later)
{
	const size_t request_count = 40;
	std::vector<uint64_t> requests;

	StartServing();
	ASSERT_TRUE(ReachesEndpoint(5));
	sim->delayed_sender = sim->leader();
	sim->delay_us = 100 * MS;
	for (size_t i = 0; i < request_count; i++)
		requests.push_back(SendRequest(5));
	sim->run_for_ms(400);
	for (uint64_t r : requests)
		EXPECT_NE(sim->replies[r].status, 503)
		    << "its deadline is 1.5 s";
}

/*
 * Guards against plain calls that wait for a placer that has been slow to
 * answer, under high load of model requests. Plain calls need no order, so the
 * entry places them itself.
 */
TEST_F(Gateway, plain_calls_bypass_a_slow_placer)
{
	size_t before;

	StartServing();
	ASSERT_TRUE(ReachesEndpoint(5))
	    << "fast at first: a long network path is no sign of load";
	sim->delayed_sender = sim->leader();
	sim->delay_us = 100 * MS;
	for (int i = 0; i < 8; i++) {
		EXPECT_TRUE(ReachesEndpoint(5));
		sim->run_for_ms(50);
	}
	before = sim->endpoint_calls.size();
	(void)SendRequest(5);
	sim->run_for_ms(10);
	EXPECT_EQ(sim->endpoint_calls.size(), before + 1)
	    << "placed by the entry";
}

/*
 * Guards against an ask that was answered late and is counted as outstanding
 * for ever, until the window is full and the entry sends that placer nothing.
 */
TEST_F(Gateway, an_ask_sent_elsewhere_leaves_the_window)
{
	Reply metrics;

	StartServing();
	ASSERT_TRUE(ReachesEndpoint(5));
	sim->delayed_sender = sim->leader();
	sim->delay_us = 200 * MS;
	for (int i = 0; i < 30; i++) {
		(void)SendRequest(5);
		sim->run_for_ms(30);
	}
	sim->delayed_sender = -1;
	sim->run_for_ms(2000);
	metrics = sim->request_and_wait(5, NODE_LISTEN_API, "GET", "/metrics");
	EXPECT_NE(metrics.body.find("\nmulberrypath_gate_asks_at_placer 0\n"),
	    std::string::npos)
	    << metrics.body.substr(
		   metrics.body.find("\nmulberrypath_gate_asks_at_placer"), 60);
}

TEST_F(Gateway, an_entry_without_configuration_is_not_ready)
{
	uint64_t id;

	StartCluster(3, 1);
	sim->run_for_ms(3000);
	EXPECT_EQ(sim->request_and_wait(
			 3, NODE_LISTEN_READINESS, "GET", "/api/readiness")
		      .status,
	    503);
	id = SendRequest(3);
	sim->run_for_ms(kHeldMs); /* is held for half of its deadline */
	EXPECT_EQ(sim->replies[id].status, 503);
}

/*
 * Guards against an endpoint that was cut off for a while and is refused for
 * ever by the next placer, which had only been sent that it was removed.
 */
TEST_F(Gateway, an_endpoint_removed_for_silence_returns_at_the_next_placer)
{
	int first;

	StartServing();
	ASSERT_TRUE(ReachesEndpoint(5));
	/* Longer than an endpoint is kept without announcements. */
	sim->run_for_ms(8000);
	EXPECT_FALSE(ReachesEndpoint(5));
	first = sim->leader();
	sim->kill(first);
	ASSERT_TRUE(sim->run_until(
	    [&] { return sim->leader() >= 0 && sim->leader() != first; },
	    8000));
	ASSERT_EQ(sim->announce(sim->leader(), "e1").status, 200);
	EXPECT_TRUE(ReachesEndpoint(5));
}

/* ---- addresses and stopping ---- */

/*
 * Guards against entries that receive no callers because a list has room for
 * fewer addresses than there are entries.
 */
TEST_F(Gateway, lookups_name_all_entries_in_turn)
{
	const int cores = 3, entries = 70;
	const size_t list_max = 64;
	std::map<std::string, int> named;

	StartCluster(cores, entries);
	ASSERT_TRUE(sim->run_until([&] { return sim->leader() >= 0; }, 8000));
	sim->run_for_ms(15000); /* until all have joined */
	for (int i = 0; i < 60; i++) {
		Reply r = sim->request_and_wait(
		    i % cores, NODE_LISTEN_REGISTRY, "GET", "/api/resolution");
		size_t count = 0;

		for (int e = cores; e < cores + entries; e++) {
			std::string address =
			    "\"" + sim->instances[e]->ip + ":9000\"";
			bool is_named =
			    r.body.find(address) != std::string::npos;

			count += is_named;
			named[address] += is_named;
		}
		EXPECT_EQ(count, list_max);
	}
	for (auto &e : named)
		EXPECT_GT(e.second, 0) << e.first;
}

TEST_F(Gateway, lookups_omit_stopping_entries)
{
	StartServing();
	Reply r = sim->request_and_wait(
	    2, NODE_LISTEN_REGISTRY, "GET", "/api/resolution");
	EXPECT_NE(r.body.find("10.0.0.6:9000"), std::string::npos) << r.body;
	EXPECT_NE(r.body.find("10.0.0.7:9000"), std::string::npos) << r.body;
	sim->stop(5);
	sim->run_for_ms(500);
	r = sim->request_and_wait(
	    2, NODE_LISTEN_REGISTRY, "GET", "/api/resolution");
	EXPECT_EQ(r.body.find("10.0.0.6:9000"), std::string::npos) << r.body;
	EXPECT_EQ(sim->request_and_wait(
			 5, NODE_LISTEN_READINESS, "GET", "/api/readiness")
		      .status,
	    503);
	EXPECT_TRUE(ReachesEndpoint(5)) << "it serves until the lists expire";
}

TEST_F(Gateway, a_stopping_entry_waits_for_open_requests)
{
	size_t before;

	StartServing();
	before = sim->endpoint_calls.size();
	(void)SendRequest(5);
	ASSERT_TRUE(sim->run_until(
	    [&] { return sim->endpoint_calls.size() > before; }, 500));
	sim->stop(5);
	sim->run_for_ms(1400);
	EXPECT_FALSE(sim->instances[5]->exited);
	sim->answer_call(sim->endpoint_calls.back(), 200, "late");
	EXPECT_TRUE(
	    sim->run_until([&] { return sim->instances[5]->exited; }, 6500));
}

TEST_F(Gateway, a_stopping_leader_transfers_leadership_and_exits)
{
	int first;

	StartServing();
	first = sim->leader();
	sim->stop(first);
	EXPECT_TRUE(sim->run_until(
	    [&] { return sim->instances[(size_t)first]->exited; }, 7000));
	EXPECT_TRUE(sim->run_until(
	    [&] { return sim->leader() >= 0 && sim->leader() != first; },
	    4000));
	EXPECT_TRUE(ReachesEndpoint(5));
}

static const bool switched_off = guard_off({
    {"node.gate_highest", &node_guards.gate_highest},
    {"node.gate_leased", &node_guards.gate_leased},
    {"node.gate_active", &node_guards.gate_active},
    {"node.renew_at_leader", &node_guards.renew_at_leader},
    {"node.gate_confirmed", &node_guards.gate_confirmed},
    {"node.gate_leave_logged", &node_guards.gate_leave_logged},
    {"node.gate_checked", &node_guards.gate_checked},
    {"node.gate_verdict", &node_guards.gate_verdict},
    {"node.gate_base", &node_guards.gate_base},
    {"node.gate_capable", &node_guards.gate_capable},
    {"node.reply_process", &node_guards.reply_process},
});
