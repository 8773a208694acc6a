#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

#include "doc/doc.h"

static const std::string kHash(64, 'a');

static const std::string kFull =
    R"({"team":"tallinn","tokens":[")" + kHash + R"("],"weight":2,
 "limits":{"requestsPerSecond":50,"concurrent":40},
 "kinds":{"draft":{"weight":1.5,"priority":0,"deadlineMs":10000,
  "maxTokens":256},"booking":{},"lookup":{}},
 "adapters":{"z-last":{"version":"1","baseModel":"base-1","kind":"draft"},
  "order-reader":{"version":"3","versions":["2","3"],"baseModel":"base-1",
   "kind":"draft","pinned":true}},
 "services":{"orders":{"timeoutMs":4000,"calls":{
  "POST /book":{"idempotent":false,"kind":"booking"},
  "GET /status/*":{"idempotent":true,"kind":"lookup"},
  "GET /status/all":{"idempotent":true,"kind":"draft"}}}}})";

static struct doc *
parse(const std::string &text, struct settings_problems *problems)
{
	struct doc *d;
	struct mp_error err = {};

	if (doc_parse(&d, text.data(), text.size(), problems, &err) == MP_OK)
		return d;
	EXPECT_EQ(err.code, MP_ERR_INVALID);
	EXPECT_EQ(d, nullptr);
	return nullptr;
}

/* Every field of a document is parsed, with defaults for missing ones. */
TEST(doc, whole_document)
{
	struct settings_problems problems = {};
	struct doc *d = parse(kFull, &problems);

	ASSERT_NE(d, nullptr);
	EXPECT_EQ(problems.count, 0u);
	EXPECT_STREQ(d->team, "tallinn");
	EXPECT_EQ(d->weight, 2.0);
	EXPECT_EQ(d->requests_per_second, 50u);
	EXPECT_EQ(d->max_concurrent, 40u);
	EXPECT_EQ(d->ntokens, 1u);
	EXPECT_EQ(doc_find_kind(d, "draft")->weight, 1.5);
	EXPECT_EQ(doc_find_kind(d, "booking")->deadline_ms, 30000u);
	EXPECT_EQ(doc_find_kind(d, "none"), nullptr);
	EXPECT_STREQ(d->adapters[0].name, "order-reader");
	EXPECT_TRUE(doc_find_adapter(d, "order-reader")->pinned);
	EXPECT_STREQ(doc_find_adapter(d, "z-last")->versions[0], "1");
	EXPECT_EQ(doc_find_adapter(d, "z-las"), nullptr);
	EXPECT_EQ(doc_find_service(d, "orders")->timeout_ms, 4000u);
	EXPECT_EQ(std::string(d->text, d->text_len), kFull);
	doc_unref(d);
}

/*
 * A path that the service could interpret as another one ("..", "%2e", "//",
 * a backslash) must not match a wildcard: the caller would reach a call that
 * the document does not declare.
 */
TEST(doc, calls_do_not_match_ambiguous_paths)
{
	struct settings_problems problems = {};
	struct doc *d = parse(kFull, &problems);
	struct {
		const char *method, *path, *kind;
	} cases[] = {
	    {"POST", "/book", "booking"},
	    {"POST", "/book?x=1", "booking"},
	    {"POST", "/book/", nullptr},
	    {"POST", "/status/1", nullptr},
	    {"GET", "/status", nullptr},
	    {"GET", "/status/17?a=/..", "lookup"},
	    {"GET", "/status/all", "draft"},
	    {"GET", "/status/../book", nullptr},
	    {"GET", "/status/%2e%2e/book", nullptr},
	    {"GET", "/status//book", nullptr},
	    {"GET", "/status\\..", nullptr},
	};

	ASSERT_NE(d, nullptr);
	for (auto &c : cases) {
		const struct doc_call *call = doc_find_call(
		    doc_find_service(d, "orders"), c.method, c.path);
		EXPECT_EQ(call == nullptr, c.kind == nullptr) << c.path;
		if (call != nullptr && c.kind != nullptr) {
			EXPECT_STREQ(call->kind, c.kind) << c.path;
		}
	}
	doc_unref(d);
}

/* Only declared adapters and versions resolve; no version is the default. */
TEST(doc, resolve_model)
{
	struct settings_problems problems = {};
	struct doc *d = parse(kFull, &problems);
	struct {
		const char *model;
		int code;
		const char *version;
	} cases[] = {
	    {"order-reader", MP_OK, "3"},
	    {"order-reader@2", MP_OK, "2"},
	    {"order-reader@4", MP_ERR_INVALID, nullptr},
	    {"order-reader@", MP_ERR_INVALID, nullptr},
	    {"order", MP_ERR_NOT_FOUND, nullptr},
	    {"", MP_ERR_NOT_FOUND, nullptr},
	    {"@3", MP_ERR_NOT_FOUND, nullptr},
	};

	ASSERT_NE(d, nullptr);
	for (auto &c : cases) {
		const struct doc_adapter *a;
		const char *version;
		EXPECT_EQ(doc_resolve_model(d, c.model, &a, &version, nullptr),
		    c.code)
		    << c.model;
		if (c.version != nullptr) {
			EXPECT_STREQ(version, c.version);
		}
	}
	doc_unref(d);
}

/* Each replacement in the full document gives exactly one fault, this one. */
TEST(doc, each_fault_is_reported_with_its_path)
{
	struct {
		const char *from, *to, *path, *found;
	} cases[] = {
	    {R"("team":"tallinn",)", "", "$.team", "nothing"},
	    {"tallinn", "Tallinn", "$.team", "\"Tallinn\""},
	    {"\"weight\":2", "\"weight\":0", "$.weight", "0"},
	    {"\"weight\":2", "\"wait\":2", "$.wait", "an unknown key"},
	    {"\"weight\":2", "\"weight\":1,\"weight\":2", "$", nullptr},
	    {":50,", ":-1,", "$.limits.requestsPerSecond", "-1"},
	    {":40}", ":1.5}", "$.limits.concurrent", "1.5"},
	    {":256", ":\"256\"", "$.kinds.draft.maxTokens", "\"256\""},
	    {"\"2\",\"3\"", "\"2\"", "$.adapters[\"order-reader\"].versions",
		"an array"},
	    {"\"2\",\"3\"", "\"3\",\"3\"",
		"$.adapters[\"order-reader\"].versions[1]", "\"3\""},
	    {"\"pinned\":true", "\"pinned\":1",
		"$.adapters[\"order-reader\"].pinned", "1"},
	    {"z-last", "z/last", "$.adapters[\"z/last\"]", "\"z/last\""},
	    {"\"lookup\"},", "\"look\"},",
		"$.services.orders.calls[\"GET /status/*\"].kind", "\"look\""},
	    {"POST /book", "BOOK /book",
		"$.services.orders.calls[\"BOOK /book\"]", "\"BOOK /book\""},
	    {"GET /status/*", "GET /s*/a",
		"$.services.orders.calls[\"GET /s*/a\"]", "\"GET /s*/a\""},
	    {"\"idempotent\":false,", "",
		"$.services.orders.calls[\"POST /book\"].idempotent",
		"nothing"},
	    {"aaaa", "AAAA", "$.tokens[0]", nullptr},
	};

	for (auto &c : cases) {
		struct settings_problems problems = {};
		std::string text = kFull;
		text.replace(text.find(c.from), strlen(c.from), c.to);
		EXPECT_EQ(parse(text, &problems), nullptr) << c.to;
		ASSERT_EQ(problems.count, 1u) << c.to;
		EXPECT_STREQ(problems.items[0].path, c.path);
		if (c.found != nullptr) {
			EXPECT_STREQ(problems.items[0].found, c.found);
		}
		EXPECT_GT(strlen(problems.items[0].allowed), 3u);
		settings_problems_free(&problems);
	}
}

/* All faults of a document are reported together, at most 100 of them. */
TEST(doc, up_to_100_faults_are_reported_together)
{
	struct settings_problems problems = {};
	std::string text = R"({"team":"t","team":"u","kinds":{"K":5},"a":1)";

	EXPECT_EQ(parse(text + "}", &problems), nullptr);
	EXPECT_EQ(problems.count, 4u);
	settings_problems_free(&problems);
	EXPECT_EQ(parse(text, &problems), nullptr);
	EXPECT_EQ(problems.count, 2u) << "duplicate key, then the missing end";
	settings_problems_free(&problems);
	text = R"({"team":"t","kinds":{"k":{}})";
	for (int i = 0; i < 300; i++)
		text += ",\"x" + std::to_string(i) + "\":1";
	EXPECT_EQ(parse(text + "}", &problems), nullptr);
	EXPECT_EQ(problems.count, 100u);
	settings_problems_free(&problems);
}

/* A document that is truncated at any byte is rejected without a leak. */
TEST(doc, truncated_documents_are_rejected)
{
	for (size_t len = 0; len < kFull.size(); len++) {
		struct settings_problems problems = {};
		EXPECT_EQ(parse(kFull.substr(0, len), &problems), nullptr);
		EXPECT_GE(problems.count, 1u);
		settings_problems_free(&problems);
	}
}

/* A document of 3000 adapters in no order is parsed; each one is found. */
TEST(doc, three_thousand_adapters)
{
	struct settings_problems problems = {};
	std::string text = R"({"team":"t","kinds":{"k":{}},"adapters":{)";

	for (int i = 0; i < 3000; i++)
		text += std::string(i == 0 ? "" : ",") + "\"adapter-" +
		    std::to_string(i * 7919 % 3000) +
		    R"(":{"version":"1","baseModel":"b","kind":"k"})";
	text += "}}";
	auto begin = std::chrono::steady_clock::now();
	struct doc *d = parse(text, &problems);
	double ms = std::chrono::duration<double, std::milli>(
	    std::chrono::steady_clock::now() - begin)
			.count();
	ASSERT_NE(d, nullptr);
	printf("%zu bytes parsed in %.2f ms\n", text.size(), ms);
	for (int i = 0; i < 3000; i++)
		EXPECT_NE(doc_find_adapter(
			      d, ("adapter-" + std::to_string(i)).c_str()),
		    nullptr);
	doc_unref(d);
}
