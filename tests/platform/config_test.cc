/*
 * Decoding of the gateway's configuration. A malformed configuration must be
 * refused as a whole, with an error that starts with the JSON path of the
 * fault.
 */

#include <cstring>

#include "codec_fixture.h"

class Configs : public CodecTest {
      protected:
	gw_config *config = nullptr;

	void
	TearDown() override
	{
		gw_config_destroy(config);
		CodecTest::TearDown();
	}

	/* Decodes and checks a configuration; replaces the one before. */
	int
	Read(const std::string &text)
	{
		int rc;

		gw_config_destroy(config);
		config = nullptr;
		err = {};
		rc = platform_codec.read_config(
		    &config, {text.data(), text.size()}, &err);
		if (rc == MP_OK)
			rc = gw_config_check(config, &err);
		return rc;
	}
};

#define SERVICES                                                               \
	"\"services\":[{\"name\":\"s\",\"health_path\":\"/h\","                \
	"\"max_connections\":9,\"engine\":{\"slots\":64,"                      \
	"\"kv_capacity_tokens\":1000,\"adapter_slots\":5,"                     \
	"\"weights_mb\":66500.0,\"loads_per_s\":4.8,\"models\":[{"             \
	"\"name\":\"m\",\"weights_mb\":65099.99,\"load_s\":2.5,"               \
	"\"adapters\":3000,\"adapter_size_mb\":12.0}]}},{\"name\":\"t\"}]"
#define ROUTE(more)                                                            \
	"{\"host\":\"a.example\",\"path_prefix\":\"/p/\","                     \
	"\"type\":\"streaming\",\"timeout_ms\":4000" more "}"
#define CONFIG(routes) "{\"version\":7,\"routes\":[" routes "]," SERVICES "}"

TEST_F(Configs, complete_configuration_is_read)
{
	ASSERT_EQ(
	    Read("{\"version\":7,\"routes\":[" ROUTE(
		",\"name\":\"r\",\"target_latency_ms\":800,\"priority\":1,"
		"\"max_attempts\":2,\"sticky\":true,\"resumable\":true,"
		"\"target_gap_ms\":300,\"split\":[{\"service\":\"s\","
		"\"weight\":90},{\"service\":\"t\",\"weight\":10}]") "]"
								     "," SERVICES
								     ",\"limits"
								     "\":{"
								     "\"max_"
								     "header_"
								     "bytes\":"
								     "1,"
								     "\"max_"
								     "body_"
								     "bytes\":"
								     "2,"
								     "\"header_"
								     "timeout_"
								     "ms\":3,"
								     "\"idle_"
								     "timeout_"
								     "ms\":4},"
								     "\"more\":"
								     "{}}"),
	    MP_OK)
	    << err.message;
	EXPECT_EQ(config->version, 7u);
	const gw_route &r = *config->routes[0];
	EXPECT_EQ(r.kind, GW_STREAM);
	EXPECT_EQ(r.target_ms, 800u);
	EXPECT_EQ(r.max_attempts, 2u);
	EXPECT_TRUE(r.resumable && r.has_prompt_affinity);
	EXPECT_EQ(r.weight, 100u);
	const gw_engine &e = config->services[0]->engine;
	EXPECT_TRUE(e.has_memory);
	EXPECT_EQ(e.memory_kb, 66500000u);
	EXPECT_EQ(e.models[0].weights_kb, 65099990u);
	EXPECT_EQ(e.models[0].adapter_kb, 12000u);
	EXPECT_EQ(e.loads_per_s_milli, 4800u);
	EXPECT_EQ(e.models[0].store_load_ms, 2500u);
	EXPECT_FALSE(config->services[1]->has_engine);
	EXPECT_EQ(config->limits.idle_timeout_ms, 4u);
}

/*
 * Guards against an engine that is believed to hold more than it does, or a
 * model that fits exactly and is believed not to: sizes are fractions of a MB.
 */
TEST_F(Configs, sizes_are_rounded_up_and_memory_down)
{
	static const struct {
		const char *text;
		uint64_t size_kb, memory_kb;
	} rows[] = {
	    {"66500", 66500000, 66500000},
	    {"66500.0", 66500000, 66500000},
	    {"0.1", 100, 100},
	    {"72700.1", 72700100, 72700100},
	    {"400.5", 400500, 400500},
	    {"400.0004", 400001, 400000},
	    {"400.9996", 401000, 400999},
	    {"0", 0, 0},
	};

	for (auto &row : rows) {
		std::string text = CONFIG(ROUTE(",\"service\":\"s\""));

		for (const char *old : {"66500.0", "65099.99", "12.0"})
			text.replace(text.find(old), strlen(old), row.text);
		ASSERT_EQ(Read(text), MP_OK) << err.message;
		const gw_engine &e = config->services[0]->engine;
		EXPECT_TRUE(e.has_memory);
		EXPECT_EQ(e.memory_kb, row.memory_kb) << row.text;
		EXPECT_EQ(e.models[0].weights_kb, row.size_kb) << row.text;
		EXPECT_EQ(e.models[0].adapter_kb, row.size_kb) << row.text;
	}
	std::string text = CONFIG(ROUTE(",\"service\":\"s\""));

	text.replace(text.find("66500.0"), 7, "null");
	ASSERT_EQ(Read(text), MP_OK) << err.message;
	EXPECT_FALSE(config->services[0]->engine.has_memory);
	for (const char *bad : {"-1", "\"12\"", "1e300", "[]"}) {
		text = CONFIG(ROUTE(",\"service\":\"s\""));
		text.replace(text.find("12.0"), 4, bad);
		EXPECT_NE(Read(text), MP_OK) << bad;
	}
}

TEST_F(Configs, error_of_a_malformed_configuration_names_the_json_path)
{
	static const struct {
		const char *text, *path;
	} rows[] = {
	    {"", "$:"},
	    {"{\"version\":7,\"routes\":[", "$:"},
	    {"{}", "$.version:"},
	    {"{\"version\":\"7\"}", "$.version:"},
	    {"{\"version\":7}", "$.routes:"},
	    {"{\"version\":7,\"routes\":[]}", "$.services:"},
	    {CONFIG("{}"), "$.routes[0].host:"},
	    {CONFIG("7"), "$.routes[0].host:"},
	    {CONFIG(ROUTE("")), "$.routes[0].service:"},
	    {CONFIG(ROUTE(",\"service\":\"nobody\"")), "$.routes[0]:"},
	    {CONFIG(ROUTE(",\"split\":[]")), "$.routes[0]:"},
	    {CONFIG(ROUTE(",\"split\":[{\"service\":\"s\",\"weight\":0}]")),
		"$.routes[0]:"},
	    {CONFIG(ROUTE(",\"split\":[{\"service\":\"s\",\"weight\":-1}]")),
		"$.routes[0].split[0].weight:"},
	    {CONFIG(ROUTE(",\"split\":[{\"weight\":1}]")),
		"$.routes[0].split[0].service:"},
	    {CONFIG(
		 ROUTE(",\"service\":\"s\"") "," ROUTE(",\"service\":\"t\"")),
		"$.routes[1]:"},
	    {CONFIG("{\"host\":\"a\",\"path_prefix\":\"/\",\"type\":"
		    "\"idempotent\",\"timeout_ms\":0,\"service\":\"s\"}"),
		"$.routes[0]:"},
	    {CONFIG("{\"host\":\"a\",\"path_prefix\":\"/\",\"type\":"
		    "\"idempotent\",\"service\":\"s\"}"),
		"$.routes[0].timeout_ms:"},
	    {CONFIG("{\"host\":\"a\",\"path_prefix\":\"/\",\"type\":"
		    "\"often\",\"timeout_ms\":1,\"service\":\"s\"}"),
		"$.routes[0].type:"},
	    {CONFIG(ROUTE(",\"service\":\"s\",\"max_attempts\":\"2\"")),
		"$.routes[0].max_attempts:"},
	    {CONFIG(ROUTE(",\"service\":\"s\",\"resumable\":1")),
		"$.routes[0].resumable:"},
	    {"{\"version\":7,\"routes\":[],\"services\":[{\"name\":\"s\","
	     "\"engine\":{\"models\":[{}]}}]}",
		"$.services[0].engine.models[0].name:"},
	    {"{\"version\":7,\"routes\":[],\"services\":[{}]}",
		"$.services[0].name:"},
	    {"{\"version\":7,\"routes\":[],\"services\":[],\"limits\":{"
	     "\"max_body_bytes\":[]}}",
		"$.limits.max_body_bytes:"},
	};

	for (auto &row : rows) {
		EXPECT_EQ(Read(row.text), MP_ERR_INVALID) << row.text;
		EXPECT_EQ(std::string(err.message).find(row.path), 0u)
		    << row.text << ": " << err.message;
	}
}

TEST_F(Configs, arrays_are_known_by_name)
{
	static const struct {
		const char *key;
		gw_element_kind kind;
	} rows[] = {{"\"routes\"", GW_ELEMENT_ROUTE},
	    {"\"services\"", GW_ELEMENT_SERVICE},
	    {"\"rou\\u0074es\"", GW_ELEMENT_ROUTE},
	    {"\"route\"", GW_ELEMENT_OTHER}, {"\"routes \"", GW_ELEMENT_OTHER},
	    {"\"\"", GW_ELEMENT_OTHER}, {"\"\\\"", GW_ELEMENT_OTHER},
	    {"", GW_ELEMENT_OTHER}};

	for (auto &row : rows)
		EXPECT_EQ(platform_codec.find_element_kind(
			      {row.key, strlen(row.key)}),
		    row.kind)
		    << row.key;
}

TEST_F(Configs, single_elements_are_read)
{
	static const struct {
		gw_element_kind kind;
		const char *text, *error; /* NULL: none */
	} rows[] = {{GW_ELEMENT_ROUTE, ROUTE(",\"service\":\"s\""), nullptr},
	    {GW_ELEMENT_SERVICE, "{\"name\":\"s\"}", nullptr},
	    {GW_ELEMENT_OTHER, "[1,{\"a\":null}]", nullptr},
	    {GW_ELEMENT_OTHER, "7", nullptr},
	    {GW_ELEMENT_ROUTE, ROUTE(""),
		"$.routes[3].service: must be a text"},
	    {GW_ELEMENT_ROUTE,
		ROUTE(",\"split\":[{\"service\":\"s\",\"weight\":-1}]"),
		"$.routes[3].split[0].weight: must be a number, not negative"},
	    {GW_ELEMENT_ROUTE, "7", "$.routes[3].host: must be a text"},
	    {GW_ELEMENT_SERVICE,
		"{\"name\":\"s\",\"engine\":{\"models\":[{}]}}",
		"$.services[3].engine.models[0].name: must be a text"},
	    {GW_ELEMENT_ROUTE, "{", "$: line 1"},
	    {GW_ELEMENT_ROUTE, "{} {}", "$: line 1"},
	    {GW_ELEMENT_OTHER, "{\"a\":1,\"a\":2}", "$: line 1"},
	    {GW_ELEMENT_OTHER, "", "$: line 1"}};

	for (auto &row : rows) {
		void *element = nullptr;
		int rc;

		err = {};
		rc = platform_codec.read_element(
		    &element, row.kind, 3, {row.text, strlen(row.text)}, &err);
		EXPECT_EQ(rc, row.error == nullptr ? MP_OK : MP_ERR_INVALID)
		    << row.text;
		EXPECT_EQ(element != nullptr,
		    rc == MP_OK && row.kind != GW_ELEMENT_OTHER)
		    << row.text;
		if (row.error != nullptr) {
			EXPECT_EQ(std::string(err.message).find(row.error), 0u)
			    << row.text << ": " << err.message;
		}
		gw_element_destroy(row.kind, element);
	}
}

TEST_F(Configs, the_text_between_elements_is_read)
{
	gw_config rest = {};
	static const char text[] =
	    "{\"version\":7,\"routes\":[],\"services\":[],"
	    "\"limits\":{\"max_body_bytes\":2}}";

	ASSERT_EQ(
	    platform_codec.read_rest(&rest, {text, strlen(text)}, &err), MP_OK);
	EXPECT_EQ(rest.version, 7u);
	EXPECT_EQ(rest.limits.body_bytes, 2u);
	EXPECT_EQ(rest.routes, nullptr);
	EXPECT_EQ(platform_codec.read_rest(
		      &rest, {"{\"version\":7,\"routes\":[]}", 25}, &err),
	    MP_ERR_INVALID);
	EXPECT_STREQ(err.message, "$.services: must be an array");
}

/* A configuration with these elements of "tenants" and a route. */
#define ACCOUNTS(accounts)                                                     \
	"{\"version\":7,\"routes\":[" ROUTE(                                   \
	    ",\"service\":\"s\"") "]," SERVICES ",\"tenants\":[" accounts "]}"

TEST_F(Configs, accounts_are_read)
{
	ASSERT_EQ(Read(ACCOUNTS(
		      "{\"name\":\"a\",\"api_keys\":[\"k1\",\"k2\"],"
		      "\"priority\":2,\"unit\":\"tokens\",\"base_tokens\":40,"
		      "\"rate_per_s\":1200.2,\"burst\":4000.5,\"more\":1},"
		      "{\"name\":\"b\",\"api_keys\":[]},"
		      "{\"name\":\"c\",\"unit\":\"requests\","
		      "\"rate_per_s\":1e30,\"burst\":0}")),
	    MP_OK)
	    << err.message;
	EXPECT_TRUE(config->has_accounts);
	ASSERT_EQ(config->naccounts, 3u);
	const gw_account &a = *config->accounts[0], &b = *config->accounts[1],
			 &c = *config->accounts[2];
	EXPECT_STREQ(a.name, "a");
	ASSERT_EQ(a.nkeys, 2u);
	EXPECT_STREQ(a.plain_keys[1], "k2");
	EXPECT_EQ(a.priority, 2u);
	EXPECT_EQ(a.quota.unit, GW_QUOTA_TOKENS);
	EXPECT_EQ(a.quota.default_tokens, 40u);
	EXPECT_EQ(a.quota.units_per_s, 1201u);
	EXPECT_EQ(a.quota.burst, 4001u);
	EXPECT_EQ(b.nkeys, 0u);
	EXPECT_EQ(b.priority, 0u);
	EXPECT_EQ(b.quota.unit, GW_QUOTA_REQUESTS);
	EXPECT_EQ(b.quota.units_per_s, 0u);
	EXPECT_EQ(c.quota.units_per_s, 1000000000000u);
}

TEST_F(Configs, accounts_and_public_routes_are_distinguished_from_none)
{
	ASSERT_EQ(Read(CONFIG(ROUTE(",\"service\":\"s\""))), MP_OK);
	EXPECT_FALSE(config->has_accounts);
	EXPECT_FALSE(config->routes[0]->is_public);
	ASSERT_EQ(
	    Read(CONFIG(ROUTE(",\"service\":\"s\",\"public\":true"))), MP_OK);
	EXPECT_TRUE(config->routes[0]->is_public);
	ASSERT_EQ(Read(ACCOUNTS("")), MP_OK);
	EXPECT_TRUE(config->has_accounts);
	EXPECT_EQ(config->naccounts, 0u);
}

/* Guards also against a message that shows a key to who reads the answer. */
TEST_F(Configs, error_of_a_malformed_account_names_the_json_path)
{
	static const struct {
		const char *text, *path;
	} rows[] = {
	    {ACCOUNTS("7"), "$.tenants[0].name:"},
	    {ACCOUNTS("{\"api_keys\":[\"k\"]}"), "$.tenants[0].name:"},
	    {ACCOUNTS("{\"name\":\"\"}"), "$.tenants[0].name:"},
	    {ACCOUNTS("{\"name\":7}"), "$.tenants[0].name:"},
	    {ACCOUNTS("{\"name\":\"a\\u0000b\"}"), "$: line 1"},
	    {ACCOUNTS("{\"name\":\"a\\nb\"}"), "$.tenants[0].name:"},
	    {ACCOUNTS("{\"name\":\"a\",\"api_keys\":\"secret\"}"),
		"$.tenants[0].api_keys:"},
	    {ACCOUNTS("{\"name\":\"a\",\"api_keys\":[\"secret\",\"\"]}"),
		"$.tenants[0].api_keys[1]:"},
	    {ACCOUNTS("{\"name\":\"a\",\"api_keys\":[5]}"),
		"$.tenants[0].api_keys[0]:"},
	    {ACCOUNTS("{\"name\":\"a\",\"api_keys\":[\"secret\\u0000\"]}"),
		"$: line 1"},
	    {ACCOUNTS("{\"name\":\"a\",\"unit\":\"bytes\"}"),
		"$.tenants[0].unit:"},
	    {ACCOUNTS("{\"name\":\"a\",\"unit\":1}"), "$.tenants[0].unit:"},
	    {ACCOUNTS("{\"name\":\"a\",\"rate_per_s\":-1}"),
		"$.tenants[0].rate_per_s:"},
	    {ACCOUNTS("{\"name\":\"a\",\"rate_per_s\":\"5\"}"),
		"$.tenants[0].rate_per_s:"},
	    {ACCOUNTS("{\"name\":\"a\",\"burst\":[]}"), "$.tenants[0].burst:"},
	    {ACCOUNTS("{\"name\":\"a\",\"burst\":-0.5}"),
		"$.tenants[0].burst:"},
	    {ACCOUNTS("{\"name\":\"a\",\"base_tokens\":-1}"),
		"$.tenants[0].base_tokens:"},
	    {ACCOUNTS("{\"name\":\"a\",\"priority\":\"first\"}"),
		"$.tenants[0].priority:"},
	    {ACCOUNTS("{\"name\":\"a\",\"api_keys\":[\"secret\"]},"
		      "{\"name\":\"b\",\"api_keys\":[\"secret\"]}"),
		"$.tenants[1]:"},
	    {ACCOUNTS("{\"name\":\"a\"},{\"name\":\"b\"},{\"name\":\"a\"}"),
		"$.tenants[2]:"},
	    {"{\"version\":7,\"routes\":[],\"services\":[],\"tenants\":{}}",
		"$.tenants:"},
	    {ACCOUNTS("{\"name\":\"a\",\"api_keys\":[\"secret\" \"k\"]}"),
		"$: line 1"},
	    {CONFIG(ROUTE(",\"service\":\"s\",\"public\":1")),
		"$.routes[0].public:"},
	};

	for (auto &row : rows) {
		EXPECT_EQ(Read(row.text), MP_ERR_INVALID) << row.text;
		EXPECT_EQ(std::string(err.message).find(row.path), 0u)
		    << row.text << ": " << err.message;
		EXPECT_EQ(
		    std::string(err.message).find("secret"), std::string::npos)
		    << err.message;
	}
}
