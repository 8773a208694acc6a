/*
 * Client accounts: which requests run, what endpoints are told, and how a
 * change of keys takes effect.
 */

#include "gateway_sim.h"
#include "guard_off.h"

struct KeyChange;

class Accounts : public ::testing::Test {
      protected:
	std::unique_ptr<GatewaySim> sim;
	int version = 0;
	const int entry = 3;

	/* Starts a cluster whose configuration has these accounts. */
	void
	StartServing(const std::string &accounts)
	{
		sim = std::make_unique<GatewaySim>(3, 1);
		for (int i = 0; i < 4; i++)
			sim->start(i);
		ASSERT_TRUE(
		    sim->run_until([&] { return sim->leader() >= 0; }, 8000));
		Configure(accounts);
		ASSERT_EQ(sim->announce(sim->leader(), "e1").status, 200);
		ASSERT_TRUE(sim->run_until(
		    [&] { return sim->all_entries_ready(); }, 5000));
		sim->run_for_ms(2000); /* until all cores have joined */
	}

	static std::string
	Route(const std::string &prefix, const std::string &more = "",
	    const std::string &service = "app")
	{
		return "{\"host\":\"h.example\",\"path_prefix\":\"" + prefix +
		    "\",\"type\":\"idempotent\",\"timeout_ms\":8000,"
		    "\"service\":\"" +
		    service + "\"" + more + "}";
	}

	static std::string
	Account(const std::string &name, const std::string &key)
	{
		return "{\"name\":\"" + name + "\",\"api_keys\":[\"" + key +
		    "\"]}";
	}

	void ChangeWhileWaiting(const std::string &accounts,
	    const std::vector<KeyChange> &changes, bool at_once);

	/* accounts: elements of the list; "none": there is no list. */
	void
	Configure(const std::string &accounts,
	    const std::string &routes = Route("/p/") + "," +
		Route("/open/", ",\"public\":true"))
	{
		std::string text = "{\"version\":" + std::to_string(++version) +
		    ",\"routes\":[" + routes +
		    "],\"services\":[{\"name\":\"app\"},{\"name\":\"b\"}]" +
		    (accounts == "none" ? ""
					: ",\"tenants\":[" + accounts + "]") +
		    "}";

		ASSERT_EQ(
		    sim->request_and_wait(sim->leader(), NODE_LISTEN_CONTROL,
			   "PUT", "/api/configuration", text)
			.status,
		    200);
		sim->run_for_ms(300); /* until the entry has applied it */
	}

	uint64_t
	Send(const std::string &path, const std::string &authorization)
	{
		std::vector<std::pair<std::string, std::string>> headers = {
		    {"Host", "h.example"}, {"Mulberrypath-Attempt-Id", "7"},
		    {"Mulberrypath-Tenant", "forged"}};

		if (!authorization.empty())
			headers.push_back({"Authorization", authorization});
		return sim->send_request(
		    entry, NODE_LISTEN_FRONT, "POST", path, "body", headers);
	}

	/*
	 * The status of a request's refusal, or the account and the key that
	 * the endpoint was told.
	 */
	std::string
	Ask(const std::string &path, const std::string &authorization)
	{
		size_t before = sim->endpoint_calls.size();
		uint64_t id = Send(path, authorization);
		std::string seen;

		(void)sim->run_until(
		    [&] {
			    return sim->endpoint_calls.size() > before ||
				sim->replies.count(id) > 0;
		    },
		    1000);
		if (sim->endpoint_calls.size() == before)
			return std::to_string(sim->replies[id].status);
		auto &headers = sim->endpoint_calls.back().headers;
		seen = "ran";
		if (headers.count("Mulberrypath-Tenant") > 0)
			seen += " for " + headers["Mulberrypath-Tenant"];
		if (headers.count("Authorization") > 0)
			seen += " with " + headers["Authorization"];
		sim->answer_call(sim->endpoint_calls.back(), 200, "answer");
		return seen;
	}
};

TEST_F(Accounts, a_request_runs_for_the_account_of_its_key)
{
	static const struct {
		const char *path, *authorization, *seen;
	} rows[] = {
	    {"/p/x", "Token k1", "ran for a"},
	    {"/p/x", "token  k2", "ran for b"},
	    {"/p/x", "Token k3", "401"},
	    {"/p/x", "Token K1", "401"},
	    {"/p/x", "Bearer k1", "401"},
	    {"/p/x", "", "401"},
	    {"/open/x", "Token k1", "ran for a"},
	    {"/open/x", "Token k3", "ran"},
	    {"/open/x", "", "ran"},
	    {"/unknown/x", "Token k1", "404"},
	    {"/unknown/x", "Token k3", "404"},
	};

	ASSERT_NO_FATAL_FAILURE(
	    StartServing(Account("a", "k1") + "," + Account("b", "k2")));
	for (auto &row : rows)
		EXPECT_EQ(Ask(row.path, row.authorization), row.seen)
		    << row.path << " " << row.authorization;
}

TEST_F(Accounts, without_accounts_both_headers_are_passed_on)
{
	ASSERT_NO_FATAL_FAILURE(StartServing("none"));
	EXPECT_EQ(Ask("/p/x", "Token k1"), "ran for forged with Token k1");
	EXPECT_EQ(Ask("/p/x", ""), "ran for forged");
	Configure("");
	EXPECT_EQ(Ask("/p/x", "Token k1"), "401");
	EXPECT_EQ(Ask("/open/x", "Token k1"), "ran");
}

/*
 * The configuration of an entry that is cut off may lack a new key, so a caller
 * with such a key must come back instead of giving up.
 */
TEST_F(Accounts, only_a_confirmed_configuration_refuses_a_key_for_good)
{
	ASSERT_NO_FATAL_FAILURE(StartServing(Account("a", "k1")));
	sim->isolate(entry, true);
	EXPECT_EQ(Ask("/p/x", "Token k2"), "401"); /* still confirmed */
	sim->run_for_ms(2500);
	EXPECT_EQ(Ask("/p/x", "Token k2"), "503");
	EXPECT_EQ(Ask("/p/x", ""), "503");
	EXPECT_EQ(Ask("/p/x", "Token k1"), "ran for a");
	EXPECT_EQ(Ask("/open/x", ""), "ran");
	sim->isolate(entry, false);
	sim->run_for_ms(3000);
	EXPECT_EQ(Ask("/p/x", "Token k2"), "401");
}

/* An entry that starts, or was cut off, gets the accounts with the state. */
TEST_F(Accounts, an_entry_that_starts_or_returns_knows_the_keys)
{
	ASSERT_NO_FATAL_FAILURE(StartServing(Account("a", "k1")));
	sim->kill(entry);
	Configure(Account("a", "k2"));
	sim->start(entry);
	ASSERT_TRUE(
	    sim->run_until([&] { return sim->all_entries_ready(); }, 5000));
	ASSERT_EQ(sim->announce(sim->leader(), "e1").status, 200);
	sim->run_for_ms(1000);
	EXPECT_EQ(Ask("/p/x", "Token k1"), "401");
	EXPECT_EQ(Ask("/p/x", "Token k2"), "ran for a");
	sim->isolate(entry, true);
	Configure(Account("a", "k3"));
	sim->run_for_ms(1000);
	sim->isolate(entry, false);
	ASSERT_EQ(sim->announce(sim->leader(), "e1").status, 200);
	sim->run_for_ms(2500);
	EXPECT_EQ(Ask("/p/x", "Token k2"), "401");
	EXPECT_EQ(Ask("/p/x", "Token k3"), "ran for a");
}

TEST_F(Accounts, new_moved_and_revoked_keys_take_effect_with_the_configuration)
{
	ASSERT_NO_FATAL_FAILURE(
	    StartServing(Account("a", "k1") + "," + Account("b", "k2")));
	Configure(Account("a", "k2") + "," + Account("c", "k3"));
	EXPECT_EQ(Ask("/p/x", "Token k1"), "401");
	EXPECT_EQ(Ask("/p/x", "Token k2"), "ran for a");
	EXPECT_EQ(Ask("/p/x", "Token k3"), "ran for c");
	Configure("none");
	EXPECT_EQ(Ask("/p/x", "Token k1"), "ran for forged with Token k1");
}

/* A change of the configuration while a request waits. */
struct KeyChange {
	const char *what, *path, *authorization;
	std::string accounts, routes;
	int status; /* 0: sent */
};

/*
 * Has a request wait while the slots of e1 are taken, changes the
 * configuration, and frees the slots.
 *
 * at_once: it is refused without waiting any longer.
 */
void
Accounts::ChangeWhileWaiting(const std::string &accounts,
    const std::vector<KeyChange> &changes, bool at_once)
{
	for (auto &row : changes) {
		std::vector<GatewaySim::EndpointCall> running;
		uint64_t id;
		size_t before;

		ASSERT_EQ(sim->announce(sim->leader(), "e1").status, 200);
		Configure(accounts);
		before = sim->endpoint_calls.size();
		for (int i = 0; i < 6; i++)
			(void)Send("/p/x", "Token k1");
		ASSERT_TRUE(sim->run_until(
		    [&] { return sim->endpoint_calls.size() == before + 6; },
		    1000));
		running.assign(sim->endpoint_calls.begin() + (long)before,
		    sim->endpoint_calls.end());
		id = Send(row.path, row.authorization);
		sim->run_for_ms(200);
		ASSERT_EQ(sim->endpoint_calls.size(), before + 6)
		    << row.what << ": it did not wait";
		Configure(row.accounts, row.routes);
		EXPECT_EQ(sim->replies.count(id),
		    row.status != 0 && at_once ? 1u : 0u)
		    << row.what;
		for (auto &call : running)
			sim->answer_call(call, 200, "answer");
		sim->run_for_ms(300);
		EXPECT_EQ(sim->replies[id].status, row.status) << row.what;
		EXPECT_EQ(sim->endpoint_calls.size(),
		    before + (row.status == 0 ? 7 : 6))
		    << row.what;
		if (row.status == 0)
			sim->answer_call(
			    sim->endpoint_calls.back(), 200, "answer");
	}
}

/*
 * Guards against a request that is sent although what it was accepted for has
 * changed while it waited: for another account's money, or to a service that
 * its route no longer names.
 */
TEST_F(Accounts, a_request_that_waited_is_checked_again)
{
	ASSERT_NO_FATAL_FAILURE(StartServing(Account("a", "k1")));
	ChangeWhileWaiting(Account("a", "k1"),
	    {
		{"nothing concerns it", "/p/x", "Token k1",
		    Account("a", "k1") + "," + Account("b", "k2"),
		    Route("/p/") + "," + Route("/q/"), 0},
		{"its account's other key", "/p/x", "Token k1",
		    "{\"name\":\"a\",\"api_keys\":[\"k1\",\"k9\"],"
		    "\"priority\":1}",
		    Route("/p/"), 0},
		{"revoked key", "/p/x", "Token k1", Account("a", "k9"),
		    Route("/p/"), 401},
		{"moved key", "/p/x", "Token k1", Account("b", "k1"),
		    Route("/p/"), 503},
		{"no accounts", "/p/x", "Token k1", "none", Route("/p/"), 503},
		{"route gone", "/p/x", "Token k1", Account("a", "k1"),
		    Route("/q/"), 404},
		{"route to other services", "/p/x", "Token k1",
		    Account("a", "k1"), Route("/p/", "", "b"), 503},
		{"no longer public", "/open/x", "", Account("a", "k1"),
		    Route("/open/"), 401},
		{"revoked, now public", "/p/x", "Token k1", Account("a", "k9"),
		    Route("/p/", ",\"public\":true"), 503},
		{"still public", "/open/x", "", Account("b", "k9"),
		    Route("/open/", ",\"public\":true"), 0},
	    },
	    true);
}

TEST_F(Accounts, without_accounts_a_request_is_checked_when_it_is_sent)
{
	ASSERT_NO_FATAL_FAILURE(StartServing("none"));
	ChangeWhileWaiting("none",
	    {
		{"nothing concerns it", "/p/x", "", "none",
		    Route("/p/") + "," + Route("/q/"), 0},
		{"route gone", "/p/x", "", "none", Route("/q/"), 404},
		{"route to other services", "/p/x", "", "none",
		    Route("/p/", "", "b"), 503},
		{"route also to others", "/p/x", "", "none",
		    "{\"host\":\"h.example\",\"path_prefix\":\"/p/\","
		    "\"type\":\"idempotent\",\"timeout_ms\":8000,"
		    "\"split\":[{\"service\":\"b\",\"weight\":9},"
		    "{\"service\":\"app\",\"weight\":1}]}",
		    0},
	    },
	    false);
}

/*
 * Guards against sending a request to an endpoint that is leaving: an entry
 * that is paused reads a grant after the endpoint was deregistered.
 */
TEST_F(Accounts, a_grant_that_is_read_late_is_not_used)
{
	size_t before;

	ASSERT_NO_FATAL_FAILURE(StartServing("none"));
	sim->keep_messages_of_frozen = true;
	before = sim->endpoint_calls.size();
	(void)Send("/p/x", "");
	ASSERT_EQ(sim->endpoint_calls.size(), before);
	sim->freeze(entry, true);
	sim->run_for_ms(200);
	ASSERT_EQ(sim->announce(sim->leader(), "e2").status, 200);
	ASSERT_EQ(sim->request_and_wait(sim->leader(), NODE_LISTEN_CONTROL,
			 "DELETE", "/api/instances/e1")
		      .status,
	    200);
	sim->run_for_ms(2400);
	sim->freeze(entry, false);
	ASSERT_TRUE(sim->run_until(
	    [&] { return sim->endpoint_calls.size() > before; }, 3000));
	EXPECT_EQ(sim->endpoint_calls.back()
		      .headers["Mulberrypath-Expected-Instance"],
	    "e2");
}
