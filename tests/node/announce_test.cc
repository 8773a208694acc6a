#include <gtest/gtest.h>

#include <jansson.h>

#include "cluster/cluster.h"

/*
 * Full and short announcements: an owner that applied a short one to the wrong
 * base would schedule by a wrong list of adapters.
 */

static std::string
head(int incarnation, int sequence)
{
	return "{\"id\": \"x\", \"incarnation\": " +
	    std::to_string(incarnation) +
	    ", \"sequence\": " + std::to_string(sequence) +
	    ", \"load\": {\"running\": 1, \"queued\": 0, \"asOfMs\": 0}, ";
}

static std::string
full(int incarnation, int sequence)
{
	return head(incarnation, sequence) +
	    "\"address\": \"10.0.1.99:80\", \"region\": \"r\", "
	    "\"dataCentre\": \"dc-0\", \"type\": \"engine\", \"baseModel\": "
	    "\"base\", \"slots\": 3, \"seats\": 4, \"adapters\": "
	    "[{\"adapter\": \"t1/a1@1\", \"loading\": false, \"running\": 1}, "
	    "{\"adapter\": \"t1/a2@1\", \"loading\": true, \"running\": 0}]}";
}

static std::string
change(int incarnation, int sequence, int since, const std::string &rest)
{
	return head(incarnation, sequence) +
	    "\"since\": " + std::to_string(since) + rest + "}";
}

/* The adapters known to the owner: key, "*" while loading, and runs. */
static std::string
adapters_at(const Cluster &c, int owner)
{
	auto *e = (struct node_endpoint *)map_get_str(
	    c.instances[(size_t)owner]->node->endpoints, "x");
	json_t *list = e == nullptr
	    ? nullptr
	    : json_object_get(e->announcement, "adapters");
	const json_t *item;
	std::string out;
	size_t i;

	json_array_foreach(list, i, item)
	{
		out += json_string_value(json_object_get(item, "adapter"));
		out +=
		    json_is_true(json_object_get(item, "loading")) ? "*" : "";
		out += "=" +
		    std::to_string(
			json_integer_value(json_object_get(item, "running"))) +
		    " ";
	}
	return out;
}

TEST(announce, short_ones_update_the_owner_and_gaps_request_a_full_one)
{
	const std::string loads =
	    ", \"dropped\": [\"t1/a1@1\"], \"adapters\": [{\"adapter\": "
	    "\"t1/a3@1\", \"loading\": true, \"running\": 0}, {\"adapter\": "
	    "\"t1/a2@1\", \"loading\": false, \"running\": 0}], \"running\": "
	    "[2, 0]";
	const struct {
		const char *what;
		std::string body;
		const char *answer, *adapters;
	} cases[] = {
	    {"runs", change(1, 2, 1, ", \"running\": [0, 3]"), "owner",
		"t1/a1@1=0 t1/a2@1*=3 "},
	    {"duplicate", change(1, 2, 1, ", \"running\": [9, 9]"), "owner",
		"t1/a1@1=0 t1/a2@1*=3 "},
	    {"delayed full one", full(1, 1), "owner", "t1/a1@1=0 t1/a2@1*=3 "},
	    {"adapters", change(1, 3, 2, loads), "owner",
		"t1/a2@1=2 t1/a3@1*=0 "},
	    {"no change", change(1, 4, 3, ""), "owner",
		"t1/a2@1=2 t1/a3@1*=0 "},
	    {"after a lost one", change(1, 6, 5, ", \"running\": [7, 7]"),
		"sendAll", "t1/a2@1=2 t1/a3@1*=0 "},
	    {"too few runs", change(1, 5, 4, ", \"running\": [7]"),
		"bad-announcement", "t1/a2@1=2 t1/a3@1*=0 "},
	    {"another incarnation", change(2, 5, 4, ""), "sendAll",
		"t1/a2@1=2 t1/a3@1*=0 "},
	    {"full", full(2, 1), "owner", "t1/a1@1=1 t1/a2@1*=0 "},
	    {"short after full", change(2, 2, 1, ", \"running\": [5, 0]"),
		"owner", "t1/a1@1=5 t1/a2@1*=0 "},
	};
	Cluster c((ClusterOptions()));
	ASSERT_TRUE(c.begin());
	Request *r =
	    c.send(0, "POST", "/v1/endpoints/announce", "", full(1, 1));
	ASSERT_TRUE(c.wait(r));
	c.run_for(10000);
	int owner = c.owner_of("x");
	ASSERT_GE(owner, 0);
	for (auto &t : cases) {
		r = c.send(owner, "POST", "/v1/endpoints/announce", "", t.body);
		ASSERT_TRUE(c.wait(r));
		EXPECT_NE(r->answer.find(t.answer), std::string::npos)
		    << t.what << r->answer;
		EXPECT_EQ(r->answer.find("sendAll") != std::string::npos,
		    std::string(t.answer) == "sendAll")
		    << t.what;
		EXPECT_EQ(adapters_at(c, owner), t.adapters) << t.what;
	}
	r = c.send((owner + 1) % 5, "POST", "/v1/endpoints/announce", "",
	    change(2, 3, 2, ""));
	ASSERT_TRUE(c.wait(r));
	EXPECT_NE(r->answer.find("sendAll"), std::string::npos)
	    << "not the owner: " << r->answer;
}
