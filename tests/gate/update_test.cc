/*
 * Changes of a configuration in place. The result must be the configuration
 * that a whole text gives, with the same errors.
 */

#include <algorithm>
#include <random>

#include "config_fixture.h"

static std::string
Route(int number, const std::string &more = ",\"service\":\"s\"")
{
	return "{\"host\":\"h" + std::to_string(number % 5) +
	    ".example\",\"path_prefix\":\"/p" + std::to_string(number) +
	    "/\",\"type\":\"idempotent\",\"timeout_ms\":100" + more + "}";
}

static std::string
Config(int version, const std::string &routes,
    const std::string &services = "{\"name\":\"s\"},{\"name\":\"t\"}")
{
	return "{\"version\":" + std::to_string(version) + ",\"routes\":[" +
	    routes + "],\"services\":[" + services + "]}";
}

TEST(Update, errors_are_those_of_a_whole_text)
{
	static const std::string r1 = Route(1), r2 = Route(2), r3 = Route(3);
	static const std::string r2_upper =
	    "{\"host\":\"H2.example\","
	    "\"path_prefix\":\"/p2/\",\"type\":\"idempotent\",\"timeout_ms\":7,"
	    "\"service\":\"t\"}";
	static const std::string late =
	    "{\"host\":\"h\",\"path_prefix\":\"/\","
	    "\"type\":\"idempotent\",\"timeout_ms\":0,\"service\":\"s\"}";
	static const struct {
		std::string text, error; /* empty: none */
	} rows[] = {
	    {Config(2, r1 + "," + Route(4) + "," + r2 + "," + r3), ""},
	    {Config(2, r1 + "," + r2 + "," + r3, "{\"name\":\"s\"}"), ""},
	    {Config(2, r1 + "," + r2 + "," + r3, "{\"name\":\"t\"}"),
		"$.routes[0]: unknown service \"s\""},
	    {Config(2, r1 + "," + Route(9, ",\"service\":\"u\"")),
		"$.routes[1]: unknown service \"u\""},
	    {Config(2, r1 + "," + late),
		"$.routes[1]: the timeout must not be 0"},
	    {Config(2, Route(9, ",\"split\":[]") + "," + r1),
		"$.routes[0]: the weights must add up to more than 0"},
	    {Config(2, r1 + "," + r2 + "," + r3 + "," + r2_upper),
		"$.routes[3]: the same host and prefix as $.routes[1]"},
	    {Config(2, r2_upper + "," + r1 + "," + r2 + "," + r3),
		"$.routes[2]: the same host and prefix as $.routes[0]"},
	    {Config(2, r1 + "," + r1 + "," + r2),
		"$.routes[1]: the same host and prefix as $.routes[0]"},
	    {Config(2, r1 + "," + r2 + ",{}"),
		"$.routes[2].host: must be a text"},
	    {Config(2, r1 + ",7"), "$.routes[1].host: must be a text"},
	    {Config(2, r1, "{\"name\":\"s\"},{}"),
		"$.services[1].name: must be a text"},
	    {"{\"version\":2,\"routes\":[" + r1 + "]}",
		"$.services: must be an array"},
	    {"{\"version\":2,\"routes\":{},\"services\":[]}",
		"$.routes: must be an array"},
	    {"{\"routes\":[" + r1 + "],\"services\":[]}",
		"$.version: must be a whole number, not negative"},
	    {"{\"version\":2,\"routes\":[],\"services\":[],\"limits\":{"
	     "\"max_body_bytes\":[]}}",
		"$.limits.max_body_bytes: must be a number, not negative"},
	};

	for (auto &row : rows) {
		LiveConfig live;
		gw_config *whole = nullptr;
		mp_error err = {};
		std::string before;

		ASSERT_EQ(
		    live.Change(Config(1, r1 + "," + r2 + "," + r3)), MP_OK);
		before = Describe(live.config);
		EXPECT_EQ(live.Change(row.text),
		    row.error.empty() ? MP_OK : MP_ERR_INVALID)
		    << row.text;
		EXPECT_EQ(std::string(live.err.message), row.error) << row.text;
		(void)ReadWhole(&whole, row.text, &err);
		EXPECT_EQ(std::string(err.message), row.error) << row.text;
		EXPECT_EQ(Describe(live.config),
		    row.error.empty() ? Describe(whole) : before)
		    << row.text;
		EXPECT_NE(live.config->index, nullptr);
		gw_config_destroy(whole);
	}
}

TEST(Update, text_that_is_not_json_is_refused)
{
	static const std::string r1 = Route(1);
	static const std::string rows[] = {Config(2, r1 + ",{\"a\":}"),
	    Config(2, r1 + ",{\"a\":1 \"b\":2}"), Config(2, r1 + ",tru"),
	    Config(2, r1 + ",{\"a\":1,\"a\":2}"), Config(2, r1 + ",[}"),
	    "{\"version\":2,\"routes\":[],\"routes\":[],\"services\":[]}",
	    "{\"version\":2,\"routes\":[],\"rou\\u0074es\":[" + r1 +
		"],\"services\":[]}",
	    "{\"version\":2,\"version\":2,\"routes\":[],\"services\":[]}",
	    "{\"version\":2,\"routes\":[],\"services\":[]}x",
	    "{\"version\":2,\"routes\":[],\"services\":[],}",
	    "{\"version\":2 \"routes\":[],\"services\":[]}",
	    "{\"version\":2,\"routes\":[],\"services\":[],\"more\":[1,{]}]}",
	    "{\"version\":2,\"routes\":[],\"services\":[],\"more\":[nul]}"};

	for (auto &row : rows) {
		LiveConfig live;
		gw_config *whole = nullptr;
		std::string before;

		ASSERT_EQ(live.Change(Config(1, r1)), MP_OK);
		before = Describe(live.config);
		EXPECT_EQ(live.Change(row), MP_ERR_INVALID) << row;
		EXPECT_EQ(std::string(live.err.message).find("$:"), 0u)
		    << row << ": " << live.err.message;
		EXPECT_EQ(ReadWhole(&whole, row, nullptr), MP_ERR_INVALID)
		    << row;
		EXPECT_EQ(Describe(live.config), before);
	}
}

/* Guards against an engine or a request that uses freed memory. */
TEST(Update, kept_elements_keep_their_addresses)
{
	LiveConfig live;
	const gw_route *second, *third;
	const gw_service *service;

	ASSERT_EQ(
	    live.Change(Config(1, Route(1) + "," + Route(2) + "," + Route(3))),
	    MP_OK);
	second = live.config->routes[1];
	third = live.config->routes[2];
	service = live.config->services[1];
	ASSERT_EQ(
	    live.Change(Config(2,
		Route(9) + "," + Route(2) + "," + Route(8) + "," + Route(3),
		"{\"name\":\"s\"},{\"name\":\"u\"},{\"name\":\"t\"}")),
	    MP_OK);
	EXPECT_EQ(live.config->routes[1], second);
	EXPECT_EQ(live.config->routes[3], third);
	EXPECT_EQ(live.config->services[2], service);
	EXPECT_EQ(gw_config_find_service(live.config, "t"), service);
	EXPECT_EQ(live.work.decoded, 3u);
}

/* An array that gets another name has other elements, of the same bytes. */
TEST(Update, elements_of_a_renamed_array_are_decoded_again)
{
	LiveConfig live;

	ASSERT_EQ(
	    live.Change("{\"version\":1,\"routes\":[],\"services\":["
			"{\"name\":\"s\"}],\"other\":[{\"name\":\"t\"}]}"),
	    MP_OK);
	ASSERT_EQ(
	    live.Change("{\"version\":2,\"routes\":[],\"other\":["
			"{\"name\":\"s\"}],\"services\":[{\"name\":\"t\"}]}"),
	    MP_OK);
	ASSERT_EQ(live.config->nservices, 1u);
	EXPECT_STREQ(live.config->services[0]->name, "t");
}

/*
 * Guards against placement that knows other priorities than the configuration
 * has, and against one that reads all routes for each change.
 */
TEST(Update, changed_priorities_are_reported)
{
	static const std::string s = ",\"service\":\"s\"";
	static const std::string first = s + ",\"priority\":1";
	static const std::string second = s + ",\"priority\":2";
	static const struct {
		std::string routes;
		bool is_changed;
		const char *accounts;
	} rows[] = {{Route(1, first), true, ""},
	    {Route(1, first + ",\"public\":true"), false, ""},
	    {Route(1, first) + "," + Route(2, first), false, ""},
	    {Route(1, first) + "," + Route(2, second), true, ""},
	    {Route(2, second) + "," + Route(1, first), false, ""},
	    {Route(1, second) + "," + Route(2, first), false, ""},
	    {Route(2, first), true, ""},
	    {Route(2, first), true, ",\"tenants\":[]"},
	    {Route(2, first), true,
		",\"tenants\":[{\"name\":\"a\",\"api_keys\":[\"k\"]}]"},
	    {Route(2, second), true,
		",\"tenants\":[{\"name\":\"a\",\"api_keys\":[\"k\"]}]"},
	    {Route(2, second), false,
		",\"tenants\":[{\"name\":\"a\",\"api_keys\":[\"k\"]}]"}};
	LiveConfig live;
	int version = 0;

	for (auto &row : rows) {
		std::string text = Config(++version, row.routes);

		text.insert(text.size() - 1, row.accounts);
		ASSERT_EQ(live.Change(text), MP_OK) << live.err.message;
		EXPECT_EQ(live.has_priorities, row.is_changed) << version;
	}
	/* One that is refused and undone leaves the counts as they were. */
	EXPECT_EQ(live.Change(Config(
		      ++version, Route(2, first) + "," + Route(2, first))),
	    MP_ERR_INVALID);
	ASSERT_EQ(live.Change(Config(++version, Route(3, second))), MP_OK);
	ASSERT_EQ(live.Change(Config(++version, Route(4, second))), MP_OK);
	EXPECT_FALSE(live.has_priorities);
}

/* ---- seeded changes ----------------------------------------------------- */

/* A configuration that changes at random, and its text. */
class RandomConfig {
      public:
	std::mt19937 random;
	std::vector<std::string> routes, services, tags;
	int version = 0, next_route = 0, style = 0;
	bool services_first = false;

	explicit RandomConfig(unsigned seed) : random(seed)
	{
		services = {"{\"name\":\"s\"}", "{\"name\":\"t\"}"};
		for (int i = 0; i < 20; i++)
			routes.push_back(NewRoute());
	}

	size_t
	Below(size_t n)
	{
		return random() % n;
	}

	std::string
	NewRoute()
	{
		static const char *const names[] = {"r", "a]}[{", "\\\"],[\\\"",
		    "\\\\", "\\u007b\\n", "\xc3\xa4"};
		int n = next_route++;
		std::string more = Below(3) == 0
		    ? ",\"split\":[{\"service\":\"s\",\"weight\":9},"
		      "{\"service\":\"t\",\"weight\":1}]"
		    : ",\"service\":\"s\"";

		return Route(n, more + ",\"name\":\"" + names[Below(6)] + "\"");
	}

	void
	Change()
	{
		size_t at = Below(routes.size() + 1);

		version++;
		switch (Below(14)) {
		case 0:
		case 1:
		case 2:
			routes.insert(routes.begin() + (long)at, NewRoute());
			break;
		case 3:
		case 4:
			if (at < routes.size())
				routes.erase(routes.begin() + (long)at);
			break;
		case 5:
		case 6:
			if (at < routes.size())
				routes[at].replace(routes[at].find("100"), 3,
				    "1" + std::string("00 "));
			break;
		case 7:
			std::shuffle(routes.begin(), routes.end(), random);
			break;
		case 8:
			if (at < routes.size())
				std::rotate(routes.begin(),
				    routes.begin() + (long)at, routes.end());
			break;
		case 9:
			style = (int)Below(4);
			break;
		case 10:
			services_first = !services_first;
			break;
		case 11:
			services.push_back("{\"name\":\"u" +
			    std::to_string(version) +
			    "\",\"engine\":{\"slots\":" +
			    std::to_string(Below(9)) + "}}");
			break;
		case 12:
			if (services.size() > 2)
				services.erase(services.begin() + 2 +
				    (long)Below(services.size() - 2));
			break;
		default:
			tags.insert(tags.begin() + (long)Below(tags.size() + 1),
			    Below(2) == 0 ? "\"]\"" : "[{\"x\":[]},1]");
			if (tags.size() > 6)
				tags.clear();
			break;
		}
	}

	std::string
	List(const char *name, const std::vector<std::string> &items) const
	{
		static const char *const begin[] = {"[", "[ ", "[\n\t", "["};
		static const char *const comma[] = {
		    ",", ", ", "\n\t,\r\n", " ,"};
		static const char *const end[] = {"]", " ]", "\n]", "]"};
		std::string out =
		    std::string("\"") + name + "\": " + begin[style];

		for (size_t i = 0; i < items.size(); i++)
			out += (i == 0 ? "" : comma[style]) + items[i];
		return out + end[style];
	}

	std::string
	Text() const
	{
		std::string a = List("routes", routes),
			    b = List("services", services);

		if (services_first)
			std::swap(a, b);
		return "{\"version\":" + std::to_string(version) + "," + a +
		    "," + List("tags", tags) + "," + b +
		    ",\"limits\":{\"max_body_bytes\":" +
		    std::to_string(version % 3) + "},\"x\":\"]}\\\"\"}";
	}

	/* The text with a fault. */
	std::string
	FaultyText()
	{
		RandomConfig faulty = *this;
		std::string bad;

		faulty.version++;
		switch (Below(4)) {
		case 0:
			bad = routes.empty() ? "{}"
					     : routes[Below(routes.size())];
			break;
		case 1:
			bad = Route(next_route, ",\"service\":\"nobody\"");
			break;
		case 2:
			faulty.services.erase(faulty.services.begin());
			bad = Route(next_route);
			break;
		default:
			bad = "{\"host\":1}";
			break;
		}
		faulty.routes.insert(
		    faulty.routes.begin() + (long)Below(routes.size() + 1),
		    bad);
		return faulty.Text();
	}
};

/* Compares look-ups by the index with those by a search of all routes. */
static void
CompareLookups(const LiveConfig &live, RandomConfig &made)
{
	gw_config plain = *live.config;

	plain.index = nullptr;
	for (int i = 0; i < 4; i++) {
		int n = (int)made.Below((size_t)made.next_route + 1);
		std::string host = "H" + std::to_string(n % 5) + ".example";
		std::string path = "/p" + std::to_string(n) + "/x/y";

		EXPECT_EQ(gw_config_find_route(
			      live.config, host.c_str(), path.c_str()),
		    gw_config_find_route(&plain, host.c_str(), path.c_str()));
	}
}

TEST(Update, seeded_changes_give_what_a_whole_text_gives)
{
	for (unsigned seed = 1; seed <= 20; seed++) {
		RandomConfig made(seed);
		LiveConfig live;

		for (int step = 0; step < 250; step++) {
			live.step_bytes = (size_t)step % 4 * 100;
			std::string text = made.Text();
			gw_config *whole = nullptr;
			mp_error err = {};

			ASSERT_EQ(live.Change(text), MP_OK)
			    << seed << " " << step << live.err.message << text;
			ASSERT_EQ(ReadWhole(&whole, text, &err), MP_OK)
			    << err.message;
			ASSERT_EQ(Describe(live.config), Describe(whole))
			    << seed << " " << step;
			CompareLookups(live, made);
			gw_config_destroy(whole);
			if (made.Below(5) == 0) {
				text = made.FaultyText();
				live.err = {};
				ASSERT_EQ(live.Change(text), MP_ERR_INVALID)
				    << text;
				ASSERT_EQ(ReadWhole(&whole, text, &err),
				    MP_ERR_INVALID);
				ASSERT_STREQ(live.err.message, err.message)
				    << text;
				CompareLookups(live, made);
			}
			made.Change();
		}
	}
}

/* ---- cost --------------------------------------------------------------- */

/* Work of the change of one route at an instance. */
struct Cost {
	size_t decoded, decoded_bytes, checked, delta_bytes;
	uint64_t hashed_bytes, scanned_bytes;
	uint64_t leader_hashed_bytes, leader_scanned_bytes;
	size_t copied_segments, leader_copied_segments;
};

static Cost
ChangeOneRoute(int nroutes)
{
	LiveConfig live;
	std::string routes[2];

	for (int version = 0; version < 2; version++)
		for (int i = 0; i < nroutes; i++)
			routes[version] += (i == 0 ? "" : ",") +
			    Route(100000 + i,
				version == 1 && i == nroutes / 2
				    ? ",\"service\":\"t\""
				    : ",\"service\":\"s\"");
	EXPECT_EQ(live.Change(Config(1, routes[0])), MP_OK);
	EXPECT_EQ(live.Change(Config(2, routes[1])), MP_OK);
	return {live.work.decoded, live.work.decoded_bytes, live.work.checked,
	    live.delta_bytes, live.text_work.hashed_bytes,
	    live.text_work.scanned_bytes, live.parse_work.hashed_bytes,
	    live.parse_work.scanned_bytes, live.text_work.copied_segments,
	    live.parse_work.copied_segments};
}

/*
 * Guards against an instance that decodes the whole text for each change: its
 * event loop is blocked for a time that grows with the number of routes.
 */
TEST(Update, a_change_of_one_route_costs_the_same_whatever_the_size)
{
	Cost small = ChangeOneRoute(40);

	for (int nroutes : {1440, 10000}) {
		Cost large = ChangeOneRoute(nroutes);

		printf("%d routes: %zu decoded (%zu bytes), %zu checked, "
		       "%zu bytes new, %llu hashed, %llu scanned; leader: "
		       "%llu hashed, %llu scanned; copied %zu, leader %zu\n",
		    nroutes, large.decoded, large.decoded_bytes, large.checked,
		    large.delta_bytes, (unsigned long long)large.hashed_bytes,
		    (unsigned long long)large.scanned_bytes,
		    (unsigned long long)large.leader_hashed_bytes,
		    (unsigned long long)large.leader_scanned_bytes,
		    large.copied_segments, large.leader_copied_segments);
		EXPECT_LE((double)large.decoded, 1.5 * (double)small.decoded);
		EXPECT_LE((double)large.decoded_bytes,
		    1.5 * (double)small.decoded_bytes);
		EXPECT_LE((double)large.checked, 1.5 * (double)small.checked);
		EXPECT_LE(
		    (double)large.delta_bytes, 1.5 * (double)small.delta_bytes);
		EXPECT_LE((double)large.hashed_bytes,
		    1.5 * (double)small.hashed_bytes);
		EXPECT_LE((double)large.scanned_bytes,
		    1.5 * (double)small.scanned_bytes);
		EXPECT_LE((double)large.leader_hashed_bytes,
		    1.5 * (double)small.leader_hashed_bytes);
		EXPECT_LE((double)large.leader_scanned_bytes,
		    1.5 * (double)small.leader_scanned_bytes);
		/* the chunk that has the version, and that of the route */
		EXPECT_LE(large.copied_segments, 2u * 64);
		EXPECT_LE(large.leader_copied_segments, 2u * 64);
	}
}
