#include <gtest/gtest.h>

#include <map>
#include <string>

#include "mulberrypath/gateway.h"
#include "util/mem.h"

/* Route lookup by host and longest prefix; service selection by weight. */
class GateConfig : public ::testing::Test {
      protected:
	gw_config *config = nullptr;

	void
	SetUp() override
	{
		static const struct {
			const char *host, *prefix;
		} routes[] = {{"a.example", "/"}, {"a.example", "/x/"},
		    {"a.example", "/x/y/"}, {"b.example", "/x/"}};

		config = (gw_config *)mem_alloc(1, sizeof(*config));
		config->services =
		    (gw_service **)mem_alloc(2, sizeof(gw_service *));
		config->nservices = 2;
		for (int i = 0; i < 2; i++)
			config->services[i] =
			    (gw_service *)mem_alloc(1, sizeof(gw_service));
		config->services[0]->name = mem_string("s");
		config->services[1]->name = mem_string("t");
		config->routes = (gw_route **)mem_alloc(4, sizeof(gw_route *));
		for (auto &row : routes) {
			gw_route &r =
			    *(gw_route *)mem_alloc(1, sizeof(gw_route));

			config->routes[config->nroutes++] = &r;

			r.host = mem_string(row.host);
			r.prefix = mem_string(row.prefix);
			r.timeout_ms = 100;
			r.targets =
			    (gw_target *)mem_alloc(2, sizeof(gw_target));
			r.ntargets = 2;
			r.targets[0] = {mem_string("s"), 90};
			r.targets[1] = {mem_string("t"), 10};
		}
	}

	void
	TearDown() override
	{
		gw_config_destroy(config);
	}
};

TEST_F(GateConfig, the_longest_prefix_of_the_host_wins)
{
	static const struct {
		const char *host, *path;
		int route; /* -1: none */
	} rows[] = {{"a.example", "/", 0}, {"a.example", "/x", 0},
	    {"a.example", "/x/", 1}, {"A.Example", "/x/z", 1},
	    {"a.example", "/x/y/z?q=/", 2}, {"b.example", "/x/y/", 3},
	    {"b.example", "/", -1}, {"c.example", "/x/", -1}};

	/* Without the index, then with it. */
	for (int checked = 0; checked < 2; checked++) {
		for (auto &row : rows)
			EXPECT_EQ(
			    gw_config_find_route(config, row.host, row.path),
			    row.route < 0 ? nullptr : config->routes[row.route])
			    << row.host << row.path << checked;
		ASSERT_EQ(gw_config_check(config, nullptr), MP_OK);
		ASSERT_NE(config->index, nullptr);
	}
}

TEST_F(GateConfig, requests_are_split_by_weight)
{
	std::map<std::string, int> requests;

	ASSERT_EQ(gw_config_check(config, nullptr), MP_OK);
	for (uint64_t i = 0; i < 1000; i++)
		requests[gw_route_select_service(config->routes[0], i)]++;
	EXPECT_EQ(requests["s"], 900);
	EXPECT_EQ(requests["t"], 100);
}

TEST_F(GateConfig, a_target_of_weight_0_is_not_selected)
{
	config->routes[0]->targets[0].weight = 0;
	ASSERT_EQ(gw_config_check(config, nullptr), MP_OK);
	for (uint64_t i = 0; i < 100; i++)
		EXPECT_STREQ(
		    gw_route_select_service(config->routes[0], i), "t");
}
