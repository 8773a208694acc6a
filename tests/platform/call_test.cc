/*
 * Decoding of calls to the system and of endpoints' reports, encoding of
 * replies and orders. Malformed input must be refused with the JSON path of the
 * fault, as endpoints and operators send it unchecked.
 */

#include "codec_fixture.h"

class Calls : public CodecTest {};

TEST_F(Calls, calls_are_identified_by_listener_method_and_path)
{
	static const struct {
		node_listener listener;
		const char *method, *path;
		gw_call_type type;
	} rows[] = {
	    {NODE_LISTEN_READINESS, "GET", "/api/readiness", GW_CALL_READY},
	    {NODE_LISTEN_READINESS, "POST", "/api/readiness", GW_CALL_UNKNOWN},
	    {NODE_LISTEN_READINESS, "GET", "/api/readinessx", GW_CALL_UNKNOWN},
	    {NODE_LISTEN_REGISTRY, "GET", "/api/resolution?name=a&zone=z1",
		GW_CALL_LOOKUP},
	    {NODE_LISTEN_REGISTRY, "GET", "/api/readiness", GW_CALL_UNKNOWN},
	    {NODE_LISTEN_CONTROL, "GET", "/api/configuration",
		GW_CALL_CONFIG_GET},
	    {NODE_LISTEN_CONTROL, "PUT", "/api/configuration",
		GW_CALL_CONFIG_PUT},
	    {NODE_LISTEN_CONTROL, "DELETE", "/api/configuration",
		GW_CALL_UNKNOWN},
	    {NODE_LISTEN_CONTROL, "DELETE", "/api/instances/i-1",
		GW_CALL_LEAVE},
	    {NODE_LISTEN_CONTROL, "GET", "/api/instances/i-1", GW_CALL_UNKNOWN},
	    {NODE_LISTEN_CONTROL, "GET", "/", GW_CALL_UNKNOWN},
	};
	gw_call call;

	for (auto &row : rows) {
		ASSERT_EQ(ReadCall(&call,
			      MakeRequest(row.listener, row.method, row.path)),
		    MP_OK);
		EXPECT_EQ(call.type, row.type) << row.method << row.path;
	}
	ASSERT_EQ(ReadCall(&call,
		      MakeRequest(NODE_LISTEN_REGISTRY, "GET",
			  "/api/resolution?name=a&zone=z%2d1")),
	    MP_OK);
	EXPECT_STREQ(call.data_centre, "z-1");
	ASSERT_EQ(ReadCall(&call,
		      MakeRequest(NODE_LISTEN_CONTROL, "DELETE",
			  "/api/instances/i%2F1%")),
	    MP_OK);
	EXPECT_STREQ(call.endpoint, "i/1%");
}

/* Members of an announcement up to its state. */
#define ANNOUNCEMENT_FIELDS                                                    \
	"\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","        \
	"\"slots\":4,\"sequence\":3,"

TEST_F(Calls, all_fields_of_an_announcement_are_read)
{
	gw_call call;

	ASSERT_EQ(
	    ReadCall(&call,
		MakeRequest(NODE_LISTEN_CONTROL, "PUT", "/api/instances/i-1",
		    "{" ANNOUNCEMENT_FIELDS
		    "\"state\":\"draining\",\"remaining_ms\":1500,"
		    "\"born\":1700000000123,\"version\":\"v1\",\"new\":[{}],"
		    "\"models\":[{\"name\":\"m\",\"version\":2,"
		    "\"adapters\":[\"a7@4\",\"b@x@12\"]}],"
		    "\"available\":{\"resident\":[\"m\",7],"
		    "\"on_disk\":[\"m\",\"n\"]}}")),
	    MP_OK)
	    << err.message;
	const gw_announcement &a = call.announcement;
	EXPECT_STREQ(a.id, "i-1");
	EXPECT_STREQ(a.service, "s");
	EXPECT_STREQ(a.address, "10.0.0.1:80");
	EXPECT_TRUE(a.leaving);
	EXPECT_EQ(a.leaves_in_ms, 1500u);
	EXPECT_EQ(a.born_ms, 1700000000123u);
	EXPECT_EQ(a.sequence, 3u);
	ASSERT_EQ(a.nloaded, 3u);
	EXPECT_EQ(a.loaded[0].adapter, nullptr);
	EXPECT_EQ(a.loaded[0].version, 2u);
	EXPECT_STREQ(a.loaded[1].adapter, "a7");
	EXPECT_EQ(a.loaded[1].version, 4u);
	EXPECT_STREQ(a.loaded[2].adapter, "b@x");
	ASSERT_EQ(a.ncopies, 3u);
	EXPECT_TRUE(a.copies[0].in_memory);
	EXPECT_FALSE(a.copies[1].in_memory);
	EXPECT_STREQ(a.copies[2].model, "n");
}

TEST_F(Calls, error_of_a_malformed_announcement_names_the_json_path)
{
	static const struct {
		const char *body, *path;
	} rows[] = {
	    {"", "$"},
	    {"\xff\xfe", "$"},
	    {"[]", "$"},
	    {"{\"a\":1,\"a\":2}", "$"},
	    {"{}", "$.service"},
	    {"{\"service\":7}", "$.service"},
	    {"{\"service\":\"s\"}", "$.address"},
	    {"{\"service\":\"s\",\"address\":\"host:80\"}", "$.address"},
	    {"{\"service\":\"s\",\"address\":\"10.0.0.1\"}", "$.address"},
	    {"{\"service\":\"s\",\"address\":\"10.0.0.1:8x\"}", "$.address"},
	    {"{\"service\":\"s\",\"address\":\"10.0.0.1:65536\"}", "$.address"},
	    {"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
	     "\"slots\":1.5}",
		"$.slots"},
	    {"{\"service\":\"s\",\"address\":\"10.0.0.1:80\"}", "$.zone"},
	    {"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\"}",
		"$.slots"},
	    {"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
	     "\"slots\":0}",
		"$.slots"},
	    {"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
	     "\"slots\":\"4\"}",
		"$.slots"},
	    {"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
	     "\"slots\":4}",
		"$.sequence"},
	    {"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
	     "\"slots\":4,\"sequence\":-1}",
		"$.sequence"},
	    {"{" ANNOUNCEMENT_FIELDS "\"born\":1.5,\"state\":\"ready\"}",
		"$.born"},
	    {"{" ANNOUNCEMENT_FIELDS "\"state\":null}", "$.state"},
	    {"{" ANNOUNCEMENT_FIELDS "\"state\":\"resting\"}", "$.state"},
	    {"{" ANNOUNCEMENT_FIELDS "\"state\":\"ready\",\"models\":{}}",
		"$.models"},
	    {"{" ANNOUNCEMENT_FIELDS "\"state\":\"ready\",\"models\":[{}]}",
		"$.models"},
	    {"{" ANNOUNCEMENT_FIELDS
	     "\"state\":\"ready\",\"models\":[{\"name\":\"m\","
	     "\"adapters\":[\"a\"]}]}",
		"$.models"},
	    {"{" ANNOUNCEMENT_FIELDS
	     "\"state\":\"ready\",\"models\":[{\"name\":\"m\","
	     "\"adapters\":[7]}]}",
		"$.models"},
	};
	gw_call call;

	for (auto &row : rows) {
		err = {};
		EXPECT_EQ(ReadCall(&call,
			      MakeRequest(NODE_LISTEN_CONTROL, "PUT",
				  "/api/instances/i", row.body)),
		    MP_ERR_INVALID)
		    << row.body;
		EXPECT_EQ(
		    std::string(err.message).find(std::string(row.path) + ":"),
		    0u)
		    << row.body << ": " << err.message;
	}
}

TEST_F(Calls, adapter_version_call_is_read)
{
	gw_call call;

	ASSERT_EQ(
	    ReadCall(&call,
		MakeRequest(NODE_LISTEN_CONTROL, "POST", "/api/version-put",
		    "{\"model\":\"m\",\"adapter\":\"a3\",\"version\":2}")),
	    MP_OK);
	EXPECT_EQ(call.type, GW_CALL_VERSION_PUT);
	EXPECT_STREQ(call.model, "m");
	EXPECT_STREQ(call.adapter, "a3");
	EXPECT_EQ(call.version, 2u);
	for (const char *bad : {"{}", "{\"model\":\"m\"}", "x",
		 "{\"model\":\"m\",\"version\":-2}"})
		EXPECT_EQ(ReadCall(&call,
			      MakeRequest(NODE_LISTEN_CONTROL, "POST",
				  "/api/version-put", bad)),
		    MP_ERR_INVALID)
		    << bad;
}

TEST_F(Calls, replies_are_written)
{
	const char *addresses[] = {"10.0.0.1:1", "10.0.0.2:1"};
	node_reply r = {};

	platform_codec.write_addresses(&r, addresses, 2, 1500, memory);
	EXPECT_EQ(ToString(r.body),
	    "{\"addresses\":[\"10.0.0.1:1\",\"10.0.0.2:1\"],\"ttl_s\":1.5}");
	EXPECT_EQ(r.status, 200);
	platform_codec.write_announce_reply(&r, "10.0.0.3:2", memory);
	EXPECT_EQ(ToString(r.body), "{\"heartbeat_address\":\"10.0.0.3:2\"}");
	platform_codec.write_announce_reply(&r, nullptr, memory);
	EXPECT_EQ(ToString(r.body), "{}");
	platform_codec.write_result(&r, 400, "$.a: \"b\"", memory);
	EXPECT_EQ(ToString(r.body), "{\"error\":\"$.a: \\\"b\\\"\"}");
	EXPECT_EQ(r.status, 400);
}

TEST_F(Calls, orders_are_written_and_their_results_read)
{
	gw_order order = {};
	node_call call = {};

	order.type = GW_ORDER_LOAD;
	order.endpoint = "i-1";
	order.model = "m";
	order.adapter = "a\"3";
	order.version = 2;
	order.expected_orders = 7;
	order.has_expected = true;
	order.holder = "core-1";
	order.fence = 41;
	platform_codec.write_order(&call, &order, memory);
	EXPECT_STREQ(call.method, "POST");
	EXPECT_STREQ(call.path, "/api/order");
	EXPECT_EQ(ToString(call.body),
	    "{\"operation\":\"load\",\"model\":\"m\",\"adapter\":\"a\\\"3\","
	    "\"version\":2,\"expected\":7,\"holder\":\"core-1\","
	    "\"fencing_token\":41}");
	EXPECT_EQ(FindHeader(call.headers, call.nheaders,
		      "Mulberrypath-Expected-Instance"),
	    "i-1");
	static const struct {
		int status;
		gw_order_result result;
	} rows[] = {{200, GW_ORDER_DONE}, {202, GW_ORDER_STARTED},
	    {409, GW_ORDER_BUSY}, {412, GW_ORDER_FENCED},
	    {421, GW_ORDER_WRONG_ENDPOINT}, {400, GW_ORDER_FAILED},
	    {503, GW_ORDER_FAILED}, {0, GW_ORDER_FAILED}};
	for (auto &row : rows)
		EXPECT_EQ(
		    platform_codec.read_order_result(row.status), row.result);
}

TEST_F(Calls, report_is_read_and_a_malformed_one_refused)
{
	std::string text =
	    "{\"phase\":\"combined\",\"models\":[{\"name\":\"m\",\"version\":1,"
	    "\"adapters\":[\"a1@1\"]}],\"busy\":true,\"sequence\":9,"
	    "\"pending\":[\"m/a2@3\",\"nonsense\",7]}";
	gw_report report;

	ASSERT_EQ(platform_codec.read_report(
		      &report, {text.data(), text.size()}, memory),
	    MP_OK);
	EXPECT_EQ(report.accepted_orders, 9u);
	EXPECT_TRUE(report.busy);
	ASSERT_EQ(report.nloaded, 2u);
	ASSERT_EQ(report.npending, 1u);
	EXPECT_STREQ(report.pending[0].adapter, "a2");
	EXPECT_EQ(report.pending[0].version, 3u);
	for (const std::string bad : {"", "{}", "[1]", "{\"sequence\":\"9\"}",
		 "{\"sequence\":9,\"busy\":1}",
		 "{\"sequence\":9,\"models\":[{\"adapters\":[]}]}"})
		EXPECT_NE(platform_codec.read_report(
			      &report, {bad.data(), bad.size()}, memory),
		    MP_OK)
		    << bad;
}
