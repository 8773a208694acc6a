/*
 * Checks of a gateway configuration's text. What an instance refuses must be
 * an error here, with its JSON path; and no API key may be printed.
 */

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstring>
#include <string>
#include <vector>

#include "mulberryctl/check.h"
#include "mulberryctl/ctl.h"
#include "platform/platform.h"

namespace {

node_bytes
Bytes(const std::string &s)
{
	return {s.data(), s.size()};
}

/* A route to service "s", with further members. */
std::string
Route(const std::string &prefix, const std::string &more = "",
    const std::string &type = "idempotent")
{
	return R"({"host":"h","path_prefix":")" + prefix + R"(","type":")" +
	    type + R"(","timeout_ms":1000,"service":"s")" +
	    (more.empty() ? "" : "," + more) + "}";
}

std::string
Account(const std::string &name, const std::string &key,
    const std::string &more = "")
{
	return R"({"name":")" + name + R"(","api_keys":[")" + key + "\"]" +
	    (more.empty() ? "" : "," + more) + "}";
}

std::string
Config(const std::string &routes,
    const std::string &services = R"({"name":"s"})",
    const std::string &accounts = "", const std::string &more = "")
{
	return R"({"version":1,"routes":[)" + routes + R"(],"services":[)" +
	    services + "]" +
	    (accounts.empty() ? "" : R"(,"tenants":[)" + accounts + "]") +
	    (more.empty() ? "" : "," + more) + "}";
}

struct Found {
	std::vector<std::string> errors, warnings, differences;
};

/* "PATH: TEXT" of errors, "RULE PATH" of warnings. */
Found
Check(const std::string &text, uint32_t retry_extra = 10)
{
	check_findings findings = {};
	check_settings settings = {retry_extra};
	check_config *c = check_config_read(Bytes(text), &findings);
	Found out;

	check_config_warn(c, &settings, &findings);
	check_config_destroy(c);
	for (size_t i = 0; i < findings.count; i++) {
		const check_finding &f = findings.items[i];

		if (f.level == CHECK_ERROR)
			out.errors.push_back(
			    std::string(f.path) + ": " + f.text);
		else
			out.warnings.push_back(
			    std::string(f.rule) + " " + f.path);
	}
	check_findings_free(&findings);
	return out;
}

/* What an instance says of a text; empty: it takes it. */
std::string
Refusal(const std::string &text)
{
	gw_config *config = nullptr;
	mp_error err = {};
	int rc = platform_codec.read_config(&config, Bytes(text), &err);

	if (rc == MP_OK)
		rc = gw_config_check(config, &err);
	gw_config_destroy(config);
	return rc == MP_OK ? "" : err.message;
}

TEST(Check, errors_are_all_reported_with_their_paths)
{
	const struct {
		std::string text;
		std::vector<std::string> errors;
	} cases[] = {{Config(Route("/a/")), {}},
	    {"", {"$: line 1, column 0: '[' or '{' expected near end of file"}},
	    {"[1]", {"$: must be an object"}},
	    {Config(Route("/a/") + "]"),
		{"$: line 1, column 109: '}' expected"}},
	    {"{}", {"$.version: must be a whole number, not negative"}},
	    {R"({"version":1,"services":[]})", {"$.routes: must be an array"}},
	    {R"({"version":1,"version":2,"routes":[],"services":[]})",
		{"$: line 1, column 22: duplicate object key"}},
	    {Config(Route("/a/") + ",7," + Route("/b/", R"("timeout_ms":-1)")),
		{"$.routes[1].host: must be a text",
		    "$: line 1, column 206: duplicate object key"}},
	    {Config("7,{}," + Route("/b/")),
		{"$.routes[0].host: must be a text",
		    "$.routes[1].host: must be a text"}},
	    {Config(Route("/a/") + "," + Route("/a/") + "," + Route("/a/")),
		{"$.routes[1]: the same host and prefix as $.routes[0]",
		    "$.routes[2]: the same host and prefix as $.routes[0]"}},
	    {Config("7," + Route("/a/") + "," + Route("/a/")),
		{"$.routes[0].host: must be a text",
		    "$.routes[2]: the same host and prefix as $.routes[1]"}},
	    {Config(Route("/a/") + "," + Route("/b/"), R"({"name":"t"})"),
		{"$.routes[0]: unknown service \"s\"",
		    "$.routes[1]: unknown service \"s\""}},
	    /* Whether the service is there is not known. */
	    {Config(Route("/a/"), R"({"name":7})"),
		{"$.services[0].name: must be a text"}},
	    {Config(Route("/a/"), R"({"name":"s"})",
		 Account("a", "k1") + "," + Account("a", "k2") + "," +
		     Account("b", "k1")),
		{"$.tenants[1]: the same name as $.tenants[0]",
		    "$.tenants[2]: the same key as $.tenants[0]"}},
	    {Config(Route("/a/"), R"({"name":"s"})",
		 Account("a", "k1") + R"(,{"name":"","api_keys":[]},)" +
		     R"({"name":"\u0001","api_keys":[7]},)" +
		     R"({"name":"\u0001","api_keys":[]})"),
		{"$.tenants[1].name: must not be empty",
		    "$.tenants[2].api_keys[0]: must be a text, not empty",
		    "$.tenants[3].name: has a control character"}},
	    {Config("7", "7", "7", R"("limits":{"max_body_bytes":-1})"),
		{"$.routes[0].host: must be a text",
		    "$.services[0].name: must be a text",
		    "$.tenants[0].name: must be a text",
		    "$.limits.max_body_bytes: must be a number, not "
		    "negative"}}};

	for (const auto &c : cases) {
		EXPECT_EQ(Check(c.text).errors, c.errors) << c.text;
		EXPECT_EQ(Refusal(c.text).empty(), c.errors.empty()) << c.text;
	}
}

TEST(Check, warnings)
{
	const std::string s = R"({"name":"s"})";
	const auto engine = [](const std::string &members) {
		return R"({"name":"s","engine":{)" + members + "}}";
	};
	const struct {
		std::string text;
		std::vector<std::string> warnings;
	} cases[] = {{Config(Route("/a/")), {}},
	    /* never matches */
	    {Config(Route("a/")), {"never-matches $.routes[0].path_prefix"}},
	    {Config(Route("/a?b")), {"never-matches $.routes[0].path_prefix"}},
	    {Config(R"({"host":"h:80","path_prefix":"/","type":"idempotent",)"
		    R"("timeout_ms":1,"service":"s"})"),
		{"never-matches $.routes[0].host"}},
	    {Config(R"({"host":"h","path_prefix":"/","type":"idempotent",)"
		    R"("timeout_ms":1,"split":[{"service":"s","weight":1},)"
		    R"({"service":"t","weight":0}]})",
		 s + R"(,{"name":"t"})"),
		{"never-selected $.routes[0].split[1]"}},
	    {Config(Route("/a/"), s + R"(,{"name":"t"})"),
		{"never-selected $.services[1].name"}},
	    {Config(Route("/a/"), s + "," + s),
		{"never-selected $.services[1].name"}},
	    /* times */
	    {Config(Route("/a/", R"("target_latency_ms":1000)")), {}},
	    {Config(Route("/a/", R"("target_latency_ms":1001)")),
		{"deadline-below-objective $.routes[0].timeout_ms"}},
	    {Config(Route("/a/", R"("target_gap_ms":1001)", "streaming")),
		{"deadline-below-objective $.routes[0].timeout_ms"}},
	    /* attempts */
	    {Config(Route("/a/", R"("max_attempts":3)")), {}},
	    {Config(
		 Route("/a/", R"("max_attempts":3,"target_latency_ms":249)")),
		{}},
	    {Config(
		 Route("/a/", R"("max_attempts":3,"target_latency_ms":250)")),
		{"attempts-over-deadline $.routes[0].max_attempts"}},
	    {Config(Route("/a/", R"("max_attempts":6)")),
		{"attempts-over-budget $.routes[0].max_attempts"}},
	    {Config(Route("/a/", R"("max_attempts":2)", "non_idempotent")),
		{"attempts-without-effect $.routes[0].max_attempts"}},
	    {Config(Route("/a/", R"("max_attempts":2)", "streaming")),
		{"attempts-without-effect $.routes[0].max_attempts"}},
	    {Config(Route(
		 "/a/", R"("max_attempts":2,"resumable":true)", "streaming")),
		{}},
	    /* engines */
	    {Config(Route("/a/"),
		 engine(R"("weights_mb":100,"adapter_slots":2,"models":[)"
			R"({"name":"m","weights_mb":90,"adapters":1,)"
			R"("adapter_size_mb":10}])")),
		{}},
	    {Config(Route("/a/"),
		 engine(R"("weights_mb":100,"adapter_slots":2,"models":[)"
			R"({"name":"m","weights_mb":90,"adapters":1,)"
			R"("adapter_size_mb":11},)"
			R"({"name":"n","weights_mb":101}])")),
		{"does-not-fit $.services[0].engine.models[0].adapter_size_mb",
		    "does-not-fit $.services[0].engine.models[1].weights_mb"}},
	    {Config(Route("/a/"),
		 engine(R"("models":[{"name":"m","adapters":1}])")),
		{"does-not-fit $.services[0].engine.adapter_slots"}},
	    /* quotas */
	    {Config(Route("/a/"), s,
		 Account("a", "k1", R"("rate_per_s":10,"burst":5)") + "," +
		     Account("b", "k2", R"("rate_per_s":10)")),
		{}},
	    {Config(Route("/a/"), s,
		 Account("a", "k1", R"("rate_per_s":11,"burst":5)")),
		{"burst-below-rate $.tenants[0].burst"}},
	    {Config(Route("/a/"), s, Account("a", "k1", R"("burst":5)")),
		{"quota-without-effect $.tenants[0].burst"}},
	    {Config(Route("/a/"), s,
		 Account("a", "k1",
		     R"("unit":"tokens","rate_per_s":9,"burst":9,)"
		     R"("base_tokens":10)") +
		     "," +
		     Account("b", "k2",
			 R"("unit":"tokens","rate_per_s":10,)"
			 R"("base_tokens":10)")),
		{"charge-above-burst $.tenants[0].base_tokens"}},
	    {Config(Route("/a/"), s,
		 Account("a", "k1", R"("rate_per_s":9,"base_tokens":1)")),
		{"quota-without-effect $.tenants[0].base_tokens"}},
	    {Config(Route("/a/"), s, R"({"name":"a"})"),
		{"never-matches $.tenants[0].api_keys"}},
	    /* near duplicates */
	    {Config(Route("/a/") + "," + Route("/A")),
		{"near-duplicate $.routes[1].path_prefix"}},
	    {Config(Route("/a/") + "," + Route("/a/b/")), {}},
	    {Config(Route("/a/"), s,
		 Account("a", "k1") + "," + Account("A ", "K1")),
		{"near-duplicate $.tenants[1].name",
		    "near-duplicate $.tenants[1].api_keys"}},
	    /* What is valid is checked beside an error. */
	    {Config("7," + Route("a/")),
		{"never-matches $.routes[1].path_prefix"}}};

	for (const auto &c : cases)
		EXPECT_EQ(Check(c.text).warnings, c.warnings) << c.text;
	EXPECT_EQ(
	    Check(Config(Route("/a/", R"("max_attempts":3)")), 3).warnings,
	    (std::vector<std::string>{
		"attempts-over-budget $.routes[0].max_attempts"}));
}

/* "CHANGE PATH: TEXT" of each difference. */
std::vector<std::string>
Compare(const std::string &old, const std::string &fresh)
{
	check_findings findings = {}, ignored = {};
	check_config *a = check_config_read(Bytes(old), &ignored);
	check_config *b = check_config_read(Bytes(fresh), &ignored);
	std::vector<std::string> out;

	check_config_compare(a, b, &findings);
	check_config_destroy(a);
	check_config_destroy(b);
	for (size_t i = 0; i < findings.count; i++)
		out.push_back(std::string(findings.items[i].rule) + " " +
		    findings.items[i].path + ": " + findings.items[i].text);
	check_findings_free(&findings);
	check_findings_free(&ignored);
	return out;
}

TEST(Check, differences)
{
	const std::string s = R"({"name":"s"})";
	const struct {
		std::string old, fresh;
		std::vector<std::string> differences;
	} cases[] = {{Config(Route("/a/")), Config(Route("/a/")), {}},
	    {Config(Route("/a/") + "," + Route("/b/")),
		Config(" " + Route("/b/") + " , " + Route("/a/")), {}},
	    {Config(Route("/a/") + "," + Route("/b/")),
		Config(Route("/b/") + "," + Route("/c/")),
		{"removed $.routes[0]: route \"h\" \"/a/\" (index of the "
		 "older one)",
		    "added $.routes[1]: route \"h\" \"/c/\""}},
	    {Config(Route("/a/", R"("priority":1)")),
		Config(Route("/a/", R"("max_attempts":2)")),
		{"removed $.routes[0].priority: route \"h\" \"/a/\": 1 to none",
		    "added $.routes[0].max_attempts: route \"h\" \"/a/\": none "
		    "to 2"}},
	    {Config(Route("/a/"), s),
		Config(Route("/a/"), s + R"(,{"name":"t"})"),
		{"added $.services[1]: service \"t\""}},
	    {Config(Route("/a/"), R"({"name":"s","engine":{"slots":4}})"),
		Config(Route("/a/"), R"({"name":"s","engine":{"slots":8}})"),
		{"changed $.services[0].engine.slots: service \"s\": 4 to 8"}},
	    {Config(Route("/a/"), s, "", R"("limits":{"max_body_bytes":7})"),
		Config(Route("/a/"), s, "", R"("limits":{"max_body_bytes":8})"),
		{"changed $.limits.max_body_bytes: 7 to 8"}},
	    {Config(Route("/a/"), s,
		 Account("a", "k1", R"("rate_per_s":5)") + "," +
		     Account("b", "k2")),
		Config(Route("/a/"), s,
		    Account("c", "k3") + "," +
			Account("a", "k4", R"("rate_per_s":6,"note":"k1")")),
		{"removed $.tenants[1]: account \"b\" (index of the older one)",
		    "added $.tenants[0]: account \"c\"",
		    "changed $.tenants[1].api_keys: account \"a\": 1 keys "
		    "added, 1 removed",
		    "changed $.tenants[1].rate_per_s: account \"a\": 5 to 6",
		    "added $.tenants[1].note: account \"a\": another value"}},
	    /* Elements that are invalid are passed over. */
	    {Config(Route("/a/") + ",7"), Config("7," + Route("/a/")), {}}};

	for (const auto &c : cases)
		EXPECT_EQ(Compare(c.old, c.fresh), c.differences)
		    << c.old << " to " << c.fresh;
}

/* ---- the command -------------------------------------------------------- */

class CheckCommand : public ::testing::Test {
      protected:
	std::string folder, out, err;

	void
	SetUp() override
	{
		char name[] = "/tmp/check-test-XXXXXX";

		ASSERT_NE(mkdtemp(name), nullptr);
		folder = name;
	}

	void
	TearDown() override
	{
		EXPECT_EQ(system(("rm -r " + folder).c_str()), 0);
	}

	std::string
	File(const std::string &name, const std::string &text)
	{
		std::string path = folder + "/" + name;
		FILE *f = fopen(path.c_str(), "w");

		EXPECT_EQ(fwrite(text.data(), 1, text.size(), f), text.size());
		EXPECT_EQ(fclose(f), 0);
		return path;
	}

	int
	Run(std::vector<std::string> words)
	{
		std::vector<char *> argv = {(char *)"mulberryctl"};
		char *texts[2];
		size_t sizes[2];
		FILE *files[2];
		uv_loop_t loop;
		int code;

		for (auto &word : words)
			argv.push_back(&word[0]);
		for (int i = 0; i < 2; i++)
			files[i] = open_memstream(&texts[i], &sizes[i]);
		EXPECT_EQ(uv_loop_init(&loop), 0);
		code = ctl_main(
		    (int)argv.size(), argv.data(), &loop, files[0], files[1]);
		EXPECT_EQ(uv_run(&loop, UV_RUN_DEFAULT), 0);
		EXPECT_EQ(uv_loop_close(&loop), 0);
		for (int i = 0; i < 2; i++) {
			EXPECT_EQ(fclose(files[i]), 0);
			(i == 0 ? out : err) = std::string(texts[i], sizes[i]);
			free(texts[i]);
		}
		return code;
	}
};

TEST_F(CheckCommand, exit_codes_and_output)
{
	std::string good = File("good", Config(Route("/a/")));
	std::string warned = File("warned", Config(Route("a/")));
	std::string bad = File("bad", Config("7," + Route("a/")));

	EXPECT_EQ(Run({"check", good}), 0);
	EXPECT_EQ(out, "0 errors, 0 warnings, 0 differences\n");
	EXPECT_EQ(Run({"check", warned}), 1);
	EXPECT_EQ(out,
	    "warning: never-matches: $.routes[0].path_prefix: no request has a "
	    "path with this prefix: a path begins with a slash, and has no "
	    "white space, query or fragment\n"
	    "0 errors, 1 warnings, 0 differences\n");
	EXPECT_EQ(Run({"check", bad}), 2);
	EXPECT_EQ(
	    out.find("error: invalid: $.routes[0].host: must be a text\n"), 0u);
	EXPECT_EQ(Run({"check", good, "--against", warned}), 0);
	EXPECT_NE(out.find("difference: added: $.routes[0]: route \"h\" "
			   "\"/a/\"\n"),
	    std::string::npos)
	    << out;
	EXPECT_EQ(Run({"check", warned, "--json", "--against", good}), 1);
	json_t *json = json_loads(out.c_str(), 0, nullptr);
	EXPECT_EQ(json_array_size(json_object_get(json, "errors")), 0u);
	EXPECT_EQ(json_array_size(json_object_get(json, "warnings")), 1u);
	EXPECT_EQ(json_array_size(json_object_get(json, "differences")), 2u);
	json_decref(json);
	EXPECT_EQ(Run({"check"}), 2);
	EXPECT_EQ(Run({"check", folder + "/none"}), 2);
	EXPECT_EQ(Run({"check", good, "--against", folder + "/none"}), 2);
	EXPECT_EQ(Run({"check", good, "--against", File("array", "[]")}), 2);
	EXPECT_EQ(Run({"check", good, "--retry-extra", "x"}), 2);
	EXPECT_EQ(Run({"check", File("empty", "")}), 2);
}

/* Guards against keys in messages, also of a JSON parser and in names. */
TEST_F(CheckCommand, keys_are_never_printed)
{
	const std::string key = "SECRET";
	const std::string texts[] = {
	    Config(Route("/a/"), R"({"name":"s"})",
		Account("a", key + "1", R"("burst":1,"rate_per_s":9)") + "," +
		    Account("a", key + "1") + "," + Account("b", "secret1 ")),
	    Config(Route("/a/"), R"({"name":"s"})",
		Account("a", key + "\" \"" + key)),
	    Config(Route("/a/"), R"({"name":"s"})",
		R"({"name":"a","api_keys":")" + key + "\"}"),
	    Config(Route("/a/"), R"({"name":"s"})",
		R"({"name":"a","api_keys":{"k":")" + key + "\"}}"),
	    Config(Route("/a/"), R"({"name":"s"})",
		R"({"name":"a","api_keys":[")" + key + R"(\ud800"]})"),
	    Config(Route("/a/"), R"({"name":"s"})",
		R"({"name":"a","more":{"x":")" + key + "\"}}"),
	    Config(Route("/a/"), R"({"name":"s"})",
		R"({"name":"a","api_keys":[")" + key),
	    Config(Route("/a/"), R"({"name":"s"})",
		R"({"name":"a","api_keys":[")" + key + R"("],"api_keys":[]})")};

	for (auto &text : texts)
		for (auto &other : texts)
			for (bool json : {false, true}) {
				std::vector<std::string> words = {"check",
				    File("x", text), "--against",
				    File("y", other)};

				if (json)
					words.push_back("--json");
				(void)Run(words);
				EXPECT_EQ(
				    (out + err).find(key), std::string::npos)
				    << out << err << text << other;
				EXPECT_EQ((out + err).find("secret1"),
				    std::string::npos);
			}
}

} // namespace
