#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <vector>

#include "gate/gate_route_index.h"

/* Routes that the index finds must be those that a search of all would find. */
class RouteIndex : public ::testing::Test {
      protected:
	gw_route_index *index = gw_route_index_create();
	std::vector<gw_route> routes;

	void
	TearDown() override
	{
		gw_route_index_destroy(index);
	}

	void
	Add(std::vector<std::pair<const char *, const char *>> keys)
	{
		routes.resize(keys.size());
		for (size_t i = 0; i < keys.size(); i++) {
			routes[i].host = (char *)keys[i].first;
			routes[i].prefix = (char *)keys[i].second;
			EXPECT_EQ(
			    gw_route_index_add(index, &routes[i]), nullptr);
		}
	}

	int
	Find(const char *host, const char *path)
	{
		const gw_route *r = gw_route_index_find(index, host, path);

		return r == nullptr ? -1 : (int)(r - routes.data());
	}
};

TEST_F(RouteIndex, finds_the_longest_prefix)
{
	static const struct {
		const char *host, *path;
		int route; /* -1: none */
	} rows[] = {{"a.example", "/", 0}, {"A.EXAMPLE", "/x", 0},
	    {"a.example", "/x/", 1}, {"a.example", "/x/y", 1},
	    {"a.example", "/x/y/z/", 2}, {"b.example", "/x/", -1},
	    {"b.example", "/xy", 3}, {"b.example", "/xyz/a", 3},
	    {"b.example", "/x", -1}, {"c.example", "/anything", 4},
	    {"c.example", "", 4}, {"a.example", "", -1}, {"d.example", "/", -1},
	    {"", "/", -1}};

	Add({{"a.example", "/"}, {"a.example", "/x/"}, {"A.example", "/x/y/"},
	    {"b.example", "/xy"}, {"c.example", ""}});
	for (auto &row : rows)
		EXPECT_EQ(Find(row.host, row.path), row.route)
		    << row.host << row.path;
}

TEST_F(RouteIndex, has_one_route_of_a_host_and_prefix)
{
	gw_route same = {};

	Add({{"a.example", "/x/"}});
	same.host = (char *)"A.Example";
	same.prefix = (char *)"/x/";
	EXPECT_EQ(gw_route_index_add(index, &same), &routes[0]);
	EXPECT_FALSE(gw_route_index_remove(index, &same));
	EXPECT_EQ(Find("a.example", "/x/"), 0);
	EXPECT_TRUE(gw_route_index_remove(index, &routes[0]));
	EXPECT_FALSE(gw_route_index_remove(index, &routes[0]));
	EXPECT_EQ(Find("a.example", "/x/"), -1);
	EXPECT_EQ(gw_route_index_add(index, &same), nullptr);
}

TEST_F(RouteIndex, a_removed_route_uncovers_a_shorter_one)
{
	std::string host(1000, 'h');

	Add({{host.c_str(), "/"}, {host.c_str(), "/x/"}});
	EXPECT_EQ(Find(host.c_str(), "/x/"), 1);
	EXPECT_TRUE(gw_route_index_remove(index, &routes[1]));
	EXPECT_EQ(Find(host.c_str(), "/x/"), 0);
}
