#include <filesystem>

#include "system/system.h"

/*
 * Guards against failures of instances: a booking that runs twice or changes
 * its outcome after its entry or the leader is killed, orders of an owner whose
 * endpoint has moved while it was frozen, a voter that does not rejoin after it
 * lost its data folder, and a slow catch-up after a restart.
 */

namespace fs = std::filesystem;

static const char booking[] = "POST /v1/services/orders/book";

static std::string
body_of(const std::string &answer)
{
	size_t at = answer.find("\r\n\r\n");

	return at == std::string::npos ? "" : answer.substr(at + 4);
}

TEST_F(System, a_booking_whose_instance_or_leader_is_killed_runs_once)
{
	const std::vector<std::string> keys = {"k1", "k2", "k3"};
	std::vector<int> entries, sockets;
	std::vector<std::string> first_answers;
	int killed;

	start_serving(2, {}, {"--service-ms", "1500"});
	killed = leader();
	ASSERT_GE(killed, 0);
	entries = {killed, (killed + 1) % instance_count,
	    (killed + 2) % instance_count};
	for (size_t i = 0; i < keys.size(); i++)
		sockets.push_back(http_send_request(http_port(entries[i]),
		    booking,
		    caller_header + ("idempotency-key: " + keys[i] + "\r\n"),
		    "{}"));
	for (auto &key : keys)
		ASSERT_TRUE(eventually([&] {
			return json_number(
				   call_endpoint("s1", "GET /fake/state"),
				   key) == 1;
		})) << key;
	kill_instance(killed);
	for (int s : sockets) {
		first_answers.push_back(read_answer(s));
		close(s);
	}
	for (int i = 0; i < instance_count; i++) {
		if (i == killed)
			continue;
		for (size_t k = 0; k < keys.size(); k++) {
			std::string repeated =
			    call_until_final(i, booking, "{}", keys[k]);

			if (contains(repeated, "outcome: unknown"))
				continue;
			EXPECT_EQ(repeated.find("HTTP/1.1 200"), 0u)
			    << repeated;
			EXPECT_TRUE(contains(repeated, "\"ran\":1"))
			    << repeated;
			if (first_answers[k].find("HTTP/1.1 200") == 0) {
				EXPECT_EQ(body_of(repeated),
				    body_of(first_answers[k]));
			}
		}
	}
	/* a confirmed booking is never reported as unknown later */
	for (size_t k = 0; k < keys.size(); k++) {
		std::string repeated =
		    call_until_final(entries[1], booking, "{}", keys[k]);

		if (first_answers[k].find("HTTP/1.1 200") == 0) {
			EXPECT_TRUE(contains(repeated, "outcome: done"))
			    << repeated;
		}
	}
	for (auto &key : keys)
		EXPECT_EQ(
		    json_number(call_endpoint("s1", "GET /fake/state"), key),
		    1);
}

TEST_F(System, a_frozen_owner_sends_no_stale_order_when_it_resumes)
{
	const std::string path = completion_line;
	std::vector<int> sockets;
	std::string state;
	int frozen, next;
	long loads;

	start_serving(
	    1, {"--fencing", "ignored", "--slots", "2", "--load-ms", "200"});
	frozen = owner_of("e1");
	ASSERT_GE(frozen, 0);
	/* calls that wait for loads and evictions when the owner freezes */
	for (int i = 2; i <= 9; i++)
		sockets.push_back(
		    http_send_request(http_port(frozen), path, caller_header,
			R"({"model":"a)" + std::to_string(i) +
			    R"(","prompt":"x","max_tokens":50})"));
	ASSERT_TRUE(eventually([&] {
		return json_number(call_endpoint("e1", "GET /fake/state"),
			   "loads") >= 2;
	}));
	instances[frozen]->send_signal(SIGSTOP);
	next = owner_of("e1", frozen);
	ASSERT_GE(next, 0);
	loads = json_number(call_endpoint("e1", "GET /fake/state"), "loads");
	/* calls for which the new owner sends orders */
	for (int i = 2; i <= 3; i++)
		ASSERT_TRUE(eventually([&] {
			return call(next, path,
				   R"({"model":"a)" + std::to_string(i) +
				       R"(","prompt":"x","max_tokens":2})")
				   .find("HTTP/1.1 200") == 0;
		}));
	EXPECT_GT(json_number(call_endpoint("e1", "GET /fake/state"), "loads"),
	    loads);
	instances[frozen]->send_signal(SIGCONT);
	ASSERT_TRUE(wait_status(http_port(frozen), "/readyz", "200"));
	for (int s : sockets) {
		read_answer(s);
		close(s);
	}
	for (int i = 4; i <= 5; i++)
		EXPECT_TRUE(eventually([&] {
			return call(frozen, path,
				   R"({"model":"a)" + std::to_string(i) +
				       R"(","prompt":"x","max_tokens":2})")
				   .find("HTTP/1.1 200") == 0;
		}));
	state = call_endpoint("e1", "GET /fake/state");
	EXPECT_EQ(json_number(state, "staleOrders"), 0) << state;
	EXPECT_EQ(json_number(state, "evictionsInUse"), 0) << state;
}

TEST_F(System, two_voters_rejoin_in_turn_after_losing_their_data_folder)
{
	int lost = leader();

	start_serving(1, {});
	ASSERT_GE(lost, 0);
	for (int round = 0; round < 2; round++) {
		int other = (lost + 1) % voter_count;

		kill_instance(lost);
		fs::remove_all(data_folder(lost));
		start_instance(lost);
		ASSERT_TRUE(eventually([&] {
			long commit = json_number(status(other), "commit");
			std::string own = status(lost);

			return commit > 0 &&
			    json_number(own, "applied") >= commit &&
			    contains(own, "\"votes\": true") &&
			    json_number(own, "voters") == 3 &&
			    json_number(own, "learners") == 0;
		})) << status(lost);
		EXPECT_TRUE(wait_status(http_port(lost), "/readyz", "200"));
		for (int i = 0; i < instance_count; i++)
			EXPECT_EQ(json_number(http_call(http_port(i),
						  "GET /v1/documents/t1",
						  operator_header),
				      "revision"),
			    round + 1)
			    << i;
		EXPECT_TRUE(contains(put_document(lost, (unsigned)round + 1),
		    "\"accepted\": true"));
		ASSERT_TRUE(eventually([&] {
			for (int i = 0; i < instance_count; i++)
				if (json_number(http_call(http_port(i),
						    "GET /v1/documents/t1",
						    operator_header),
					"revision") != round + 2)
					return false;
			return true;
		}));
		lost = other;
	}
}

TEST_F(System, an_instance_is_in_force_3_s_after_it_missed_600_changes)
{
	const unsigned changes = 600;
	int down = (leader() + 1) % voter_count, entry;
	Deadline limit(0);

	ASSERT_TRUE(contains(put_document(0, 0), "\"accepted\": true"));
	kill_instance(down);
	entry = (down + 1) % voter_count;
	for (unsigned i = 1; i <= changes; i++)
		ASSERT_TRUE(eventually([&] {
			return contains(
			    put_document(entry, i), "\"accepted\": true");
		})) << i;
	start_instance(down);
	limit = Deadline(3000);
	EXPECT_TRUE(wait_status(http_port(down), "/readyz", "200", limit));
	EXPECT_TRUE(eventually(
	    [&] {
		    return json_number(
			       http_call(http_port(down),
				   "GET /v1/documents/t1", operator_header),
			       "revision") == (long)changes + 1;
	    },
	    limit));
	RecordProperty("left_ms", limit.left_ms());
	printf("document in force %d ms after the restart\n",
	    3000 - limit.left_ms());
}
