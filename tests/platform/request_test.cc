/*
 * Decoding of callers' requests and endpoints' responses, and the headers that
 * are forwarded. Guards against hop-by-hop headers that reach the next
 * connection, callers that set headers reserved to the system, and refusals
 * that claim wrongly that a request has not run.
 */

#include "codec_fixture.h"

class Requests : public CodecTest {
      protected:
	gw_request out;

	int
	Read(const Headers &headers)
	{
		node_request r = MakeRequest(
		    NODE_LISTEN_FRONT, "POST", "/a/b", "x", headers);

		return platform_codec.read_request(&out, &r, memory, &err);
	}
};

TEST_F(Requests, all_headers_of_a_model_request_are_read)
{
	ASSERT_EQ(
	    Read({{"Host", "F.example:80"}, {"mulberrypath-attempt-id", "9c41"},
		{"Mulberrypath-Model", "m/a7"},
		{"Mulberrypath-Token-Usage", "1460,80"},
		{"Mulberrypath-Prompt-Prefix", "5c:800,91bd:410"},
		{"Mulberrypath-Deadline-Ms", "4000"}, {"X-Own", "1"}}),
	    MP_OK);
	EXPECT_STREQ(out.host, "F.example");
	EXPECT_STREQ(out.attempt, "9c41");
	EXPECT_STREQ(out.model, "m");
	EXPECT_STREQ(out.adapter, "a7");
	EXPECT_EQ(out.prompt_tokens, 1460u);
	EXPECT_EQ(out.max_tokens, 80u);
	ASSERT_EQ(out.nparts, 2u);
	EXPECT_EQ(out.parts[1].tokens, 410u);
	EXPECT_NE(out.parts[0].hash, out.parts[1].hash);
	EXPECT_EQ(out.deadline_ms, 4000u);
	EXPECT_EQ(FindHeader(out.headers, out.nheaders, "X-Own"), "1");
	EXPECT_EQ(
	    FindHeader(out.headers, out.nheaders, "Host"), "F.example:80");
}

TEST_F(Requests, error_names_the_malformed_header)
{
	static const struct {
		const char *name, *value;
	} rows[] = {{"Mulberrypath-Deadline-Ms", "soon"},
	    {"Mulberrypath-Deadline-Ms", "-4"},
	    {"Mulberrypath-Token-Usage", "many"},
	    {"Mulberrypath-Token-Usage", "1,x"},
	    {"Mulberrypath-Prompt-Prefix", "5c"},
	    {"Mulberrypath-Prompt-Prefix", "5c:x"},
	    {"Mulberrypath-Prompt-Prefix", "5c:1;6d:2"}};

	for (auto &row : rows) {
		EXPECT_EQ(Read({{"Host", "h"}, {row.name, row.value}}),
		    MP_ERR_INVALID)
		    << row.name << ": " << row.value;
		EXPECT_NE(
		    std::string(err.message).find(row.name), std::string::npos);
	}
	EXPECT_EQ(Read({}), MP_ERR_INVALID);
}

/*
 * Hop-by-hop headers end at this connection, and headers reserved to the system
 * must not be taken from a caller.
 */
TEST_F(Requests, hop_by_hop_and_system_headers_are_not_forwarded)
{
	ASSERT_EQ(
	    Read({{"Host", "h"}, {"Connection", "close, X-Hop"}, {"X-Hop", "1"},
		{"Keep-Alive", "timeout=5"}, {"TE", "x"}, {"Trailer", "x"},
		{"Upgrade", "h2c"}, {"Transfer-Encoding", "chunked"},
		{"Content-Length", "3"}, {"Proxy-Authorization", "x"},
		{"Mulberrypath-Expected-Instance", "i"},
		{"Mulberrypath-Expected-Version", "7"},
		{"Mulberrypath-Request-Urgency", "0"},
		{"Mulberrypath-Hold", "h"}, {"Mulberrypath-Pin-Ms", "1"},
		{"Mulberrypath-Kv-Backup", "x"}, {"Kv-From", "x"},
		{"Kv-Fetch", "x"}, {"X-Hope", "2"}, {"Last-Event-Id", "4"}}),
	    MP_OK);
	ASSERT_EQ(out.nheaders, 3u);
	EXPECT_EQ(FindHeader(out.headers, out.nheaders, "X-Hope"), "2");
	EXPECT_EQ(FindHeader(out.headers, out.nheaders, "Last-Event-Id"), "4");
	EXPECT_STREQ(out.resume_after, "4");
}

/*
 * A request can have several Connection headers. Reading only the first one
 * would forward headers named by the others.
 */
TEST_F(Requests, headers_named_by_any_connection_header_are_not_forwarded)
{
	ASSERT_EQ(Read({{"Host", "h"}, {"Connection", "close"},
		      {"connection", "X-Two , x-three"}, {"X-Two", "2"},
		      {"X-Three", "3"}, {"X-Four", "4"}}),
	    MP_OK);
	ASSERT_EQ(out.nheaders, 2u);
	EXPECT_EQ(FindHeader(out.headers, out.nheaders, "X-Four"), "4");
	EXPECT_EQ(FindHeader(out.headers, out.nheaders, "X-Two"), "(none)");
}

TEST_F(Requests, endpoint_request_has_endpoint_version_and_time_left)
{
	gw_endpoint_request send = {};
	node_call call = {};

	ASSERT_EQ(
	    Read({{"Host", "h"}, {"Mulberrypath-Model", "m/a"},
		{"Mulberrypath-Deadline-Ms", "4000"}, {"Last-Event-Id", "4"}}),
	    MP_OK);
	send.request = &out;
	send.endpoint = "i-9";
	send.adapter_version = 3;
	send.deadline_ms = 1200;
	send.urgency = 4;
	send.resume_after = "17";
	platform_codec.write_endpoint_request(&call, &send, memory);
	const struct {
		const char *name, *value;
	} rows[] = {{"Mulberrypath-Deadline-Ms", "1200"},
	    {"Mulberrypath-Expected-Instance", "i-9"},
	    {"Mulberrypath-Expected-Version", "3"},
	    {"Mulberrypath-Request-Urgency", "4"}, {"Last-Event-Id", "17"}};
	for (auto &row : rows)
		EXPECT_EQ(FindHeader(call.headers, call.nheaders, row.name),
		    row.value);
	EXPECT_EQ(FindHeader(
		      call.extra_headers, call.nextra_headers, "Last-Event-Id"),
	    "(none)");
	EXPECT_EQ(FindHeader(call.extra_headers, call.nextra_headers,
		      "Mulberrypath-Deadline-Ms"),
	    "(none)");
}

TEST_F(Requests, endpoint_response_headers_are_read)
{
	static const struct {
		int status;
		const char *name, *value;
		bool not_run, mismatch, is_signed, has_load;
	} rows[] = {
	    {200, "Mulberrypath-Server-Signature", "s", false, false, true,
		false},
	    {503, "Mulberrypath-Not-Executed", "1", true, false, false, false},
	    {503, "Retry-After", "1", false, false, false, false},
	    {421, "X", "1", true, true, false, false},
	    {200, "Mulberrypath-Instance-Load", "3,1,8", false, false, false,
		true},
	    {200, "Mulberrypath-Instance-Load", "3,1", false, false, false,
		false},
	    {200, "Mulberrypath-Instance-Load", "x", false, false, false,
		false},
	};
	gw_endpoint_response a;

	for (auto &row : rows) {
		node_header h = {row.name, row.value};
		node_call_event head = {};

		head.status = row.status;
		head.headers = &h;
		head.nheaders = 1;
		platform_codec.read_endpoint_response(&a, &head, memory);
		EXPECT_EQ(a.not_run, row.not_run) << row.name;
		EXPECT_EQ(a.has_state_mismatch, row.mismatch) << row.name;
		EXPECT_EQ(a.is_signed, row.is_signed) << row.name;
		EXPECT_EQ(a.has_load, row.has_load) << row.value;
	}
}

/*
 * The load that an endpoint tells: the fourth figure is optional. Guards
 * against losing the other figures because of an unreadable fourth one.
 */
TEST_F(Requests, the_load_of_an_endpoint_is_read)
{
	static const struct {
		const char *value;
		bool has_load;
		uint32_t running, waiting, slots, percent;
	} rows[] = {
	    {"3,1,8", true, 3, 1, 8, 0},
	    {"3,1,8,250", true, 3, 1, 8, 250},
	    {"0,0,6,100", true, 0, 0, 6, 100},
	    {"3,1,8,", true, 3, 1, 8, 0},
	    {"3,1,8,x", true, 3, 1, 8, 0},
	    {"3,1,8,-5", true, 3, 1, 8, 0},
	    {"3,1,8,0", true, 3, 1, 8, 0},
	    {"3,1", false, 0, 0, 0, 0},
	};
	gw_endpoint_response a;

	for (auto &row : rows) {
		node_header h = {"Mulberrypath-Instance-Load", row.value};
		node_call_event head = {};

		head.status = 200;
		head.headers = &h;
		head.nheaders = 1;
		platform_codec.read_endpoint_response(&a, &head, memory);
		EXPECT_EQ(a.has_load, row.has_load) << row.value;
		EXPECT_EQ(a.work_percent, row.percent) << row.value;
		if (!row.has_load)
			continue;
		EXPECT_EQ(a.running, row.running) << row.value;
		EXPECT_EQ(a.waiting, row.waiting) << row.value;
		EXPECT_EQ(a.slots, row.slots) << row.value;
	}
}

/*
 * Guards against an endpoint that is sent more requests after it has said that
 * it wants none, and against one that is left alone for rubbish. Only a number
 * of seconds counts, and only in a 503.
 */
TEST_F(Requests, notices_about_further_requests_are_read)
{
	static const struct {
		int status;
		const char *name, *value;
		bool is_leaving;
		uint32_t backoff_ms;
	} rows[] = {{200, "Server-Leaving", "1", true, 0},
	    {503, "server-leaving", "1", true, 0},
	    {200, "Server-Leaving", "0", false, 0},
	    {200, "Server-Leaving", "", false, 0},
	    {503, "Retry-After", "3", false, 3000},
	    {503, "retry-after", "0.25", false, 250},
	    {503, "Retry-After", "2 ", false, 2000},
	    {503, "Retry-After", "0", false, 0},
	    {503, "Retry-After", "-3", false, 0},
	    {503, "Retry-After", "", false, 0},
	    {503, "Retry-After", "soon", false, 0},
	    {503, "Retry-After", "1.2.3", false, 0},
	    {503, "Retry-After", "3 4", false, 0},
	    {503, "Retry-After", "0x10", false, 0},
	    {503, "Retry-After", "1e9", false, 0},
	    {503, "Retry-After", "Fri, 04 Dec 2026 15:00:00 GMT", false, 0},
	    {503, "Retry-After", "99999999999999999999", false, UINT32_MAX},
	    {429, "Retry-After", "3", false, 0},
	    {200, "Retry-After", "3", false, 0}};

	for (auto &row : rows) {
		node_header h = {row.name, row.value};
		node_call_event head = {};
		gw_endpoint_response a;

		head.status = row.status;
		head.headers = &h;
		head.nheaders = 1;
		platform_codec.read_endpoint_response(&a, &head, memory);
		EXPECT_EQ(a.is_leaving, row.is_leaving) << row.value;
		EXPECT_EQ(a.backoff_ms, row.backoff_ms) << row.value;
	}
}

/*
 * Guards against a limit of an endpoint that is not understood, and against odd
 * ones that are.
 */
TEST_F(Requests, rate_limits_of_endpoints_are_read)
{
	static const struct {
		std::vector<node_header> headers;
		gw_rate_limit limit;
		uint32_t milli;
	} rows[] = {{{}, GW_RATE_LIMIT_NONE, 0},
	    {{{"Server-Limit", "1.3"}}, GW_RATE_LIMIT_NAMED, 1300},
	    {{{"server-limit", "12"}}, GW_RATE_LIMIT_NAMED, 12000},
	    {{{"Server-Limit", "0"}}, GW_RATE_LIMIT_NAMED, 0},
	    {{{"Server-Limit", "0.0004"}}, GW_RATE_LIMIT_NAMED, 0},
	    {{{"Server-Limit", "007.50 "}}, GW_RATE_LIMIT_NAMED, 7500},
	    {{{"Server-Limit", "99999999999999"}}, GW_RATE_LIMIT_NAMED,
		UINT32_MAX},
	    {{{"Server-Limit", "2"}, {"Server-Limit", "2.0"}},
		GW_RATE_LIMIT_NAMED, 2000},
	    {{{"Server-Limit", "2"}, {"Server-Limit", "3"}},
		GW_RATE_LIMIT_INVALID, 2000},
	    {{{"Server-Limit", ""}}, GW_RATE_LIMIT_INVALID, 0},
	    {{{"Server-Limit", "."}}, GW_RATE_LIMIT_INVALID, 0},
	    {{{"Server-Limit", "1."}}, GW_RATE_LIMIT_INVALID, 0},
	    {{{"Server-Limit", ".5"}}, GW_RATE_LIMIT_INVALID, 0},
	    {{{"Server-Limit", "1.2.3"}}, GW_RATE_LIMIT_INVALID, 0},
	    {{{"Server-Limit", "-1"}}, GW_RATE_LIMIT_INVALID, 0},
	    {{{"Server-Limit", "+1"}}, GW_RATE_LIMIT_INVALID, 0},
	    {{{"Server-Limit", "nan"}}, GW_RATE_LIMIT_INVALID, 0},
	    {{{"Server-Limit", "inf"}}, GW_RATE_LIMIT_INVALID, 0},
	    {{{"Server-Limit", "1e400"}}, GW_RATE_LIMIT_INVALID, 0},
	    {{{"Server-Limit", "1e3"}}, GW_RATE_LIMIT_INVALID, 0},
	    {{{"Server-Limit", "0x10"}}, GW_RATE_LIMIT_INVALID, 0},
	    {{{"Server-Limit", "1, 2"}}, GW_RATE_LIMIT_INVALID, 0},
	    {{{"Server-Limit", "1;w=4"}}, GW_RATE_LIMIT_INVALID, 0}};

	for (auto &row : rows) {
		node_call_event head = {};
		gw_endpoint_response a;

		head.status = 200;
		head.headers = row.headers.data();
		head.nheaders = row.headers.size();
		platform_codec.read_endpoint_response(&a, &head, memory);
		EXPECT_EQ(a.rate_limit, row.limit)
		    << (head.nheaders == 0 ? "" : head.headers[0].value);
		if (row.limit == GW_RATE_LIMIT_NAMED) {
			EXPECT_EQ(a.requests_per_s_milli, row.milli);
		}
	}
}

/*
 * Callers repeat a request after 503, which states that it has not run. A
 * request that may have run must get 502 or 504.
 */
TEST_F(Requests, refusal_status_tells_whether_the_request_may_have_run)
{
	static const struct {
		gw_refusal refusal;
		int status;
	} rows[] = {{GW_REFUSE_MALFORMED, 400}, {GW_REFUSE_NO_ROUTE, 404},
	    {GW_REFUSE_NOT_READY, 503}, {GW_REFUSE_OVERLOAD, 503},
	    {GW_REFUSE_FAILED, 502}, {GW_REFUSE_TIMEOUT, 504},
	    {GW_REFUSE_QUARANTINED, 503}, {GW_REFUSE_UNAUTHORIZED, 401},
	    {GW_REFUSE_OVER_QUOTA, 429}};

	for (auto &row : rows) {
		node_reply r = {};

		platform_codec.write_refusal(
		    &r, row.refusal, "why", 250, memory);
		EXPECT_EQ(r.status, row.status);
		EXPECT_EQ(
		    FindHeader(r.headers, r.nheaders, "Retry-After"), "0.250");
		EXPECT_EQ(FindHeader(r.headers, r.nheaders, "WWW-Authenticate"),
		    row.status == 401 ? "Token" : "(none)");
	}
}

/* A key in any other form is none, so that no two readers differ on it. */
TEST_F(Requests, a_key_is_read_in_one_form_only)
{
	static const struct {
		Headers headers;
		const char *key; /* NULL: none */
	} rows[] = {
	    {{}, nullptr},
	    {{{"Authorization", "Token k-1"}}, "k-1"},
	    {{{"authorization", "tOKEN   k-1"}}, "k-1"},
	    {{{"AUTHORIZATION", "token k/1=+:,"}}, "k/1=+:,"},
	    {{{"Authorization", "Token k-1 \t"}}, "k-1"},
	    {{{"Authorization", "Token"}}, nullptr},
	    {{{"Authorization", "Token "}}, nullptr},
	    {{{"Authorization", "Tokenk-1"}}, nullptr},
	    {{{"Authorization", "Token\tk-1"}}, nullptr},
	    {{{"Authorization", "Token k-1 k-2"}}, nullptr},
	    {{{"Authorization", "Token k-1,"}}, "k-1,"},
	    {{{"Authorization", "Bearer k-1"}}, nullptr},
	    {{{"Authorization", " Token k-1"}}, nullptr},
	    {{{"Authorization", "k-1"}}, nullptr},
	    {{{"Authorization", ""}}, nullptr},
	    {{{"Authorization", "Token k-1"}, {"authorization", "Token k-1"}},
		nullptr},
	    {{{"Authorization", "Basic x"}, {"Authorization", "Token k-1"}},
		nullptr},
	    {{{"Proxy-Authorization", "Token k-1"}}, nullptr},
	};

	for (auto &row : rows) {
		Headers headers = {{"Host", "h"}};

		headers.insert(
		    headers.end(), row.headers.begin(), row.headers.end());
		ASSERT_EQ(Read(headers), MP_OK);
		EXPECT_STREQ(out.key, row.key)
		    << (row.headers.empty() ? "" : row.headers[0].second);
	}
}

TEST_F(Requests, named_tokens_are_told_from_none)
{
	ASSERT_EQ(Read({{"Host", "h"}}), MP_OK);
	EXPECT_FALSE(out.has_tokens);
	ASSERT_EQ(
	    Read({{"Host", "h"}, {"Mulberrypath-Token-Usage", "0,0"}}), MP_OK);
	EXPECT_TRUE(out.has_tokens);
}

/*
 * Guards against an endpoint that sees a key, or that takes a caller's word
 * for the account that it is charged to.
 */
TEST_F(Requests, an_endpoint_is_told_the_account_by_the_gateway_alone)
{
	static const struct {
		bool has_accounts;
		const char *account;
		std::vector<std::string> expected; /* headers of both names */
	} rows[] = {
	    {true, "a", {"Mulberrypath-Tenant: a"}},
	    {true, nullptr, {}},
	    {false, nullptr,
		{"Authorization: Token k-1", "mulberrypath-tenant: b",
		    "MULBERRYPATH-TENANT: c"}},
	};

	for (auto &row : rows) {
		gw_endpoint_request send = {};
		node_call call = {};
		std::vector<std::string> seen;
		auto collect = [&](const node_header *h, size_t n) {
			for (size_t i = 0; i < n; i++)
				if (strcasecmp(h[i].name, "Authorization") ==
					0 ||
				    strcasecmp(
					h[i].name, "Mulberrypath-Tenant") == 0)
					seen.push_back(std::string(h[i].name) +
					    ": " + h[i].value);
		};

		ASSERT_EQ(Read({{"Host", "h"}, {"Authorization", "Token k-1"},
			      {"mulberrypath-tenant", "b"},
			      {"MULBERRYPATH-TENANT", "c"}, {"X-Own", "1"}}),
		    MP_OK);
		out.has_accounts = row.has_accounts;
		out.account = row.account;
		if (row.has_accounts)
			platform_codec.remove_account_headers(&out, memory);
		send.request = &out;
		send.endpoint = "i-9";
		platform_codec.write_endpoint_request(&call, &send, memory);
		collect(call.extra_headers, call.nextra_headers);
		collect(call.headers, call.nheaders);
		EXPECT_EQ(seen, row.expected);
		EXPECT_EQ(FindHeader(
			      call.extra_headers, call.nextra_headers, "X-Own"),
		    "1");
	}
}

/* A caller can't have the account's name removed on its way. */
TEST_F(Requests, an_account_named_by_connection_is_still_told)
{
	gw_endpoint_request send = {};
	node_call call = {};

	ASSERT_EQ(Read({{"Host", "h"}, {"Mulberrypath-Tenant", "b"},
		      {"Connection", "Mulberrypath-Tenant"}}),
	    MP_OK);
	out.has_accounts = true;
	out.account = "a";
	platform_codec.remove_account_headers(&out, memory);
	send.request = &out;
	send.endpoint = "i-9";
	platform_codec.write_endpoint_request(&call, &send, memory);
	EXPECT_EQ(
	    FindHeader(call.headers, call.nheaders, "Mulberrypath-Tenant"),
	    "a");
	EXPECT_EQ(FindHeader(call.extra_headers, call.nextra_headers,
		      "Mulberrypath-Tenant"),
	    "(none)");
	EXPECT_EQ(
	    FindHeader(call.extra_headers, call.nextra_headers, "Connection"),
	    "(none)");
}
