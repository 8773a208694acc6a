#include <gtest/gtest.h>
#include <jansson.h>

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <unistd.h>
#include <vector>

#include "mulberrypath/settings.h"

static const char key_a[] = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa";
static const char key_b[] = "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb";

static const char valid_settings[] = R"({
 "cluster": "kuuldeallikas",
 "instance": {"id": 1, "name": "ee-tln-a-1", "dataCentre": "ee-tln-a",
  "region": "ee-north"},
 "http": {"listen": "127.0.0.1:8001"},
 "bus": {"listen": "127.0.0.1:9001"},
 "dataFolder": "data",
 "peers": [{"id": 1, "bus": "127.0.0.1:9001", "voter": true},
  {"id": 2, "bus": "127.0.0.1:9002"}],
 "operators": [{"name": "ops", "teams": ["*"], "tokenHash":
  "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"}]
})";

/*
 * Returns the valid settings with the value at a dotted path replaced, or
 * removed if value is empty.
 */
static std::string
change_setting(const char *pointer, const char *value)
{
	json_t *root = json_loads(valid_settings, 0, nullptr);
	json_t *parent = root;
	std::string remaining = pointer;
	char *text;
	std::string out;

	for (;;) {
		size_t dot = remaining.find('.');
		std::string step = remaining.substr(0, dot);
		bool last = dot == std::string::npos;
		json_t *v = last && *value != '\0'
		    ? json_loads(value, JSON_DECODE_ANY, nullptr)
		    : nullptr;

		if (last && json_is_array(parent))
			v ? json_array_set_new(parent, atoi(step.c_str()), v)
			  : json_array_remove(parent, atoi(step.c_str()));
		else if (last)
			v ? json_object_set_new(parent, step.c_str(), v)
			  : json_object_del(parent, step.c_str());
		else
			parent = json_is_array(parent)
			    ? json_array_get(parent, atoi(step.c_str()))
			    : json_object_get(parent, step.c_str());
		if (last)
			break;
		remaining = remaining.substr(dot + 1);
	}
	text = json_dumps(root, 0);
	out = text;
	free(text);
	json_decref(root);
	return out;
}

static std::vector<std::string>
problem_paths(const std::string &text)
{
	struct settings *s = nullptr;
	struct settings_problems problems = {};
	struct mp_error err = {};
	std::vector<std::string> paths;
	int code =
	    settings_parse(&s, text.data(), text.size(), &problems, &err);

	EXPECT_EQ(code, problems.count == 0 ? MP_OK : MP_ERR_INVALID);
	EXPECT_EQ(s == nullptr, problems.count > 0);
	for (size_t i = 0; i < problems.count; i++) {
		paths.push_back(problems.items[i].path);
		EXPECT_NE(problems.items[i].found[0], '\0');
		EXPECT_NE(problems.items[i].allowed[0], '\0');
	}
	settings_problems_free(&problems);
	settings_destroy(s);
	return paths;
}

/* Guards against an invalid value that is accepted or reported elsewhere. */
TEST(settings, each_fault_is_reported_with_its_path)
{
	std::string k(key_a);
	struct {
		const char *setting, *value, *path;
	} cases[] = {
	    {"cluster", "", "$.cluster"},
	    {"cluster", "\"a b\"", "$.cluster"},
	    {"cluster", "7", "$.cluster"},
	    {"instance", "", "$.instance"},
	    {"instance", "[]", "$.instance"},
	    {"instance.id", "", "$.instance.id"},
	    {"instance.id", "0", "$.instance.id"},
	    {"instance.id", "65536", "$.instance.id"},
	    {"instance.id", "1.5", "$.instance.id"},
	    {"instance.id", "3", "$.peers"},
	    {"instance.region", "\"\"", "$.instance.region"},
	    {"http.listen", "\"127.0.0.1\"", "$.http.listen"},
	    {"http.listen", "\"127.0.0.1:0\"", "$.http.listen"},
	    {"http.listen", "\"127.0.0.1:65536\"", "$.http.listen"},
	    {"http.listen", "\"127.0.0.1:80x\"", "$.http.listen"},
	    {"http.listen", "\"localhost:80\"", "$.http.listen"},
	    {"http.listen", "\"::1:80\"", "$.http.listen"},
	    {"http.listen", "\"[::1]:80\"", "$.http.listen"},
	    {"http.listen", "\"127.0.0.256:80\"", "$.http.listen"},
	    {"http.listen", "\"127.0.0.1:8\\u0000\"", "$.http.listen"},
	    {"http.listen", "\"0.0.0.0:80\"", "$.http.advertise"},
	    {"http.tls", "{\"certificate\": \"c\"}", "$.http.tls.key"},
	    {"http.tls", "{\"key\": \"c\"}", "$.http.tls.certificate"},
	    {"http.tls", "{\"key\": \"\"}", "$.http.tls.key"},
	    {"http.limits", "{\"bodyBytes\": -1}", "$.http.limits.bodyBytes"},
	    {"http.limits", "{\"idle\": 1}", "$.http.limits.idle"},
	    {"bus.listen", "\"127.0.0.1:8001\"", "$.bus.listen"},
	    {"bus.advertise", "\"127.0.0.2:9001\"", "$.peers[0].bus"},
	    {"bus.secretKey", "\"short\"", "$.bus.secretKey"},
	    {"dataFolder", "", "$.dataFolder"},
	    {"peers", "[]", "$.peers"},
	    {"peers.0.voter", "false", "$.peers[0].voter"},
	    {"peers.0.voter", "1", "$.peers[0].voter"},
	    {"peers.1", "3", "$.peers[1]"},
	    {"peers.1.id", "1", "$.peers[1].id"},
	    {"peers.1.bus", "\"127.0.0.1:9001\"", "$.peers[1].bus"},
	    {"peers.1.publicKey", "\"x\"", "$.peers[1].publicKey"},
	    {"peers.1.extra", "1", "$.peers[1].extra"},
	    {"operators.0.tokenHash", "\"abc\"", "$.operators[0].tokenHash"},
	    {"operators.0.teams", "[]", "$.operators[0].teams"},
	    {"operators.0.teams.0", "\"a/b\"", "$.operators[0].teams[0]"},
	    {"endpoints", "{\"tokenHash\": 1}", "$.endpoints.tokenHash"},
	    {"scheduling", "{\"objective\": \"x\"}", "$.scheduling.objective"},
	    {"scheduling", "{\"charge\": null}", "$.scheduling.charge"},
	    {"scheduling", "{\"policy\": 1}", "$.scheduling.policy"},
	    {"store", "{\"loadsPerSecond\": 0}", "$.store.loadsPerSecond"},
	    {"store", "{\"inFlight\": \"8\"}", "$.store.inFlight"},
	    {"log", "{\"level\": \"loud\"}", "$.log.level"},
	    {"a.b", "1", "$[\"a.b\"]"},
	};

	for (auto &c : cases) {
		std::string text;
		std::vector<std::string> paths;

		if (std::string(c.setting) == "a.b") {
			text = change_setting("cluster", "\"c\"");
			text.insert(1, "\"a.b\": 1, ");
		} else {
			text = change_setting(c.setting, c.value);
		}
		paths = problem_paths(text);
		EXPECT_FALSE(paths.empty()) << c.setting << " = " << c.value;
		bool is_reported = false;
		for (auto &p : paths)
			is_reported = is_reported || p == c.path;
		EXPECT_TRUE(is_reported)
		    << c.setting << " = " << c.value << ": "
		    << (paths.empty() ? "" : paths[0]);
	}
}

/* Guards against a reader that stops at the first fault. */
TEST(settings, all_faults_are_reported_at_once)
{
	std::string text = change_setting("instance.region", "5");

	text.insert(1, "\"zz\": 1, \"store\": {\"inFlight\": 0}, ");
	EXPECT_EQ(problem_paths(text),
	    (std::vector<std::string>{
		"$.zz", "$.instance.region", "$.store.inFlight"}));
}

TEST(settings, broken_json_is_one_problem)
{
	for (const char *text : {"", "{", "[]", "{\"a\":1,\"a\":2}", "\xff"})
		EXPECT_EQ(problem_paths(text), (std::vector<std::string>{"$"}))
		    << text;
}

/* Guards against a cluster in which only some peers use encryption. */
TEST(settings, keys_are_set_for_all_peers_or_none)
{
	std::string bus = std::string("{\"listen\": \"127.0.0.1:9001\", "
				      "\"publicKey\": \"") +
	    key_a + "\", \"secretKey\": \"" + key_b + "\"}";

	EXPECT_EQ(problem_paths(change_setting("bus", bus.c_str())),
	    (std::vector<std::string>{
		"$.peers[0].publicKey", "$.peers[1].publicKey"}));
	EXPECT_EQ(problem_paths(change_setting("bus.publicKey",
		      ("\"" + std::string(key_a) + "\"").c_str())),
	    (std::vector<std::string>{"$.bus.secretKey", "$.peers[0].publicKey",
		"$.peers[1].publicKey"}));
}

/* Guards against printing a secret with the report of its fault. */
TEST(settings, secrets_are_not_shown)
{
	struct settings *s = nullptr;
	struct settings_problems problems = {};
	std::string text = change_setting("bus.secretKey", "\"hush-hush\"");

	settings_parse(&s, text.data(), text.size(), &problems, nullptr);
	ASSERT_GT(problems.count, 0u);
	for (size_t i = 0; i < problems.count; i++)
		EXPECT_EQ(std::string(problems.items[i].found).find("hush"),
		    std::string::npos);
	settings_problems_free(&problems);
}

TEST(settings, defaults_and_given_values)
{
	struct settings *s = nullptr;
	struct settings_problems problems = {};
	std::string text = change_setting("store", "{\"loadsPerSecond\": 2.5}");

	ASSERT_EQ(
	    settings_parse(&s, text.data(), text.size(), &problems, nullptr),
	    MP_OK);
	EXPECT_STREQ(s->http_advertise, "127.0.0.1:8001");
	EXPECT_STREQ(s->bus_advertise, "127.0.0.1:9001");
	EXPECT_EQ(s->store_loads_per_second_milli, 2500u);
	EXPECT_EQ(s->store_in_flight, 8u);
	EXPECT_EQ(s->body_limit_bytes, 1048576u);
	EXPECT_EQ(s->request_timeout_ms, 30000u);
	EXPECT_STREQ(s->policy, "fair");
	EXPECT_STREQ(s->log_format, "text");
	EXPECT_EQ(s->objective, SETTINGS_LOAD_STALL);
	EXPECT_EQ(s->npeers, 2u);
	EXPECT_TRUE(s->peers[0].voter);
	EXPECT_FALSE(s->peers[1].voter);
	EXPECT_STREQ(s->operators[0].teams[0], "*");
	EXPECT_EQ(s->public_key, nullptr);
	EXPECT_TRUE(s->gateway.kept_prompts);
	EXPECT_TRUE(s->gateway.prefetch_adapters);
	EXPECT_FALSE(s->gateway.fenced);
	settings_destroy(s);
	text = change_setting(
	    "gateway", "{\"keptPrompts\": false, \"prefetchAdapters\": false}");
	ASSERT_EQ(
	    settings_parse(&s, text.data(), text.size(), &problems, nullptr),
	    MP_OK);
	EXPECT_FALSE(s->gateway.kept_prompts);
	EXPECT_FALSE(s->gateway.prefetch_adapters);
	settings_destroy(s);
}

/* Guards against paths that depend on the daemon's working directory. */
TEST(settings, relative_paths_are_resolved_from_the_settings_folder)
{
	char folder[] = "/tmp/mp-settings-XXXXXX";
	struct settings *s = nullptr;
	struct settings_problems problems = {};
	struct mp_error err = {};
	std::string file;
	FILE *f;

	ASSERT_NE(mkdtemp(folder), nullptr);
	file = std::string(folder) + "/settings.json";
	EXPECT_EQ(settings_load(&s, file.c_str(), &problems, &err), MP_ERR_IO);
	EXPECT_EQ(err.layer, MP_LAYER_CONF);
	f = fopen(file.c_str(), "w");
	fputs(valid_settings, f);
	fclose(f);
	ASSERT_EQ(settings_load(&s, file.c_str(), &problems, &err), MP_OK);
	EXPECT_EQ(s->data_folder, std::string(folder) + "/data");
	settings_destroy(s);
	unlink(file.c_str());
	rmdir(folder);
}
