#include "path/path_fixture.h"

/*
 * An endpoint stops in the middle of its response and closes the connection.
 * Each row is a whole response, of which every prefix is sent.
 */

#define SIGNED                                                                 \
	"Mulberrypath-Attempt-Id: 7\r\nMulberrypath-Server-Signature: s\r\n"
#define FIRST_EVENT "id: 1\ndata: x\n\n"

struct CutRow {
	const char *name;
	gw_kind kind;
	bool resumable;
	/* sent in full before, in answer to an earlier request or attempt */
	const char *earlier;
	const char *head, *body;
	/* its end is marked by the close alone: cut in the head only */
	bool is_close_delimited;
};

static const CutRow rows[] = {
    {"length", GW_NON_IDEMPOTENT, false, "",
	"HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 2\r\n\r\n", "ab", false},
    {"bare line ends, no length", GW_NON_IDEMPOTENT, false, "",
	"HTTP/1.1 200 OK\n"
	"Mulberrypath-Attempt-Id: 7\nMulberrypath-Server-Signature: s\n\n",
	"ab", true},
    {"no length", GW_NON_IDEMPOTENT, false, "",
	"HTTP/1.1 200 OK\r\n" SIGNED "\r\n", "ab", true},
    {"interim response, chunks", GW_NON_IDEMPOTENT, false, "",
	"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	"HTTP/1.1 200 OK\r\n" SIGNED "Transfer-Encoding: chunked\r\n\r\n",
	"2\r\nab\r\n0\r\n\r\n", false},
    {"failure", GW_NON_IDEMPOTENT, false, "",
	"HTTP/1.1 500 Internal Server Error\r\n" SIGNED
	"Content-Length: 2\r\n\r\n",
	"ab", false},
    {"kept connection", GW_NON_IDEMPOTENT, false,
	"HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 2\r\n\r\n", "ab", false},
    {"stream", GW_STREAM, false, "",
	"HTTP/1.1 200 OK\r\n" SIGNED "Transfer-Encoding: chunked\r\n\r\n",
	"e\r\nid: 1\ndata: x\n\r\n1\r\n\n\r\n0\r\n\r\n", false},
    {"stream, no length", GW_STREAM, false, "",
	"HTTP/1.1 200 OK\r\n" SIGNED "\r\n", FIRST_EVENT, true},
    {"resumed stream", GW_STREAM, true,
	"HTTP/1.1 200 OK\r\n" SIGNED "Transfer-Encoding: chunked\r\n\r\n"
	"f\r\n" FIRST_EVENT "\r\n",
	"HTTP/1.1 200 OK\r\n" SIGNED "Transfer-Encoding: chunked\r\n\r\n",
	"f\r\nid: 2\ndata: y\n\n\r\n0\r\n\r\n", false},
    {"resumed stream, no length", GW_STREAM, true,
	"HTTP/1.1 200 OK\r\n" SIGNED "Transfer-Encoding: chunked\r\n\r\n"
	"f\r\n" FIRST_EVENT "\r\n",
	"HTTP/1.1 200 OK\r\n" SIGNED "\r\n", "id: 2\ndata: y\n\n", true},
};

/* Whether bytes are a whole response by their framing. */
static bool
is_whole(const std::string &bytes)
{
	size_t head = bytes.find("\r\n\r\n");
	size_t length = bytes.find("Content-Length: ");
	std::string body;

	if (head == std::string::npos)
		return false;
	body = bytes.substr(head + 4);
	if (length < head)
		return body.size() >= std::stoul(bytes.substr(length + 16));
	return body.size() >= 5 && body.substr(body.size() - 5) == "0\r\n\r\n";
}

class Cut : public PathTest, public ::testing::WithParamInterface<CutRow> {
      protected:
	RawSocket peer{-1};
	std::string received; /* by the caller, of the last response */

	void
	SendRequest(RawSocket &caller, int port)
	{
		if (caller.fd == -1)
			caller.fd = socket(AF_INET, SOCK_STREAM, 0);
		caller.Connect(port);
		caller.Write("POST /x HTTP/1.1\r\nHost: h\r\n"
			     "Mulberrypath-Attempt-Id: 7\r\n"
			     "Mulberrypath-Deadline-Ms: 6000\r\n"
			     "Content-Length: 1\r\n\r\nq");
	}

	/* Waits for a request at the endpoint, on a kept connection or not. */
	void
	AwaitRequest()
	{
		std::string received;

		ASSERT_TRUE(Until(
		    [&] { return peer.fd != -1 || peer.Accept(listener.fd); }));
		ASSERT_TRUE(Until([&] {
			received += peer.Poll();
			return received.find("\r\n\r\nq") != std::string::npos;
		}));
	}

	/* Reads what the caller gets, until it is whole or ends. */
	std::string
	Receive(RawSocket &caller)
	{
		bool closed = false;

		EXPECT_TRUE(Until([&] {
			received += caller.Poll(&closed);
			return closed || is_whole(received);
		})) << received;
		return received;
	}

	/* An earlier response on the connection, or attempt of a stream. */
	void
	PlayEarlier(const CutRow &row, RawSocket &caller)
	{
		AwaitRequest();
		peer.Write(row.earlier);
		if (row.kind == GW_STREAM) {
			ASSERT_TRUE(Until([&] {
				received += caller.Poll();
				return received.find("data: x") !=
				    std::string::npos;
			}));
			peer.Close();
			return;
		}
		EXPECT_TRUE(is_whole(Receive(caller)));
		received.clear();
		caller.Close();
		SendRequest(caller, front_server_get_port(front));
	}

	std::string
	Play(const CutRow &row, const std::string &prefix)
	{
		RawSocket caller;

		received.clear();
		peer.Close();
		SendRequest(caller, front_server_get_port(front));
		if (*row.earlier != '\0')
			PlayEarlier(row, caller);
		AwaitRequest();
		peer.Write(prefix);
		peer.Close();
		return Receive(caller);
	}
};

/*
 * Guards against a cut response that reaches the caller as a whole one, or as
 * one that says that the request has not run.
 */
TEST_P(Cut, at_each_position_no_response_looks_complete)
{
	const CutRow &row = GetParam();
	std::string whole = std::string(row.head) + row.body;
	size_t end = row.is_close_delimited ? strlen(row.head) : whole.size();

	route.kind = row.kind;
	route.resumable = row.resumable;
	route.max_attempts = row.resumable ? 2 : 1;
	for (size_t cut = *row.earlier == '\0' ? 0 : 1; cut < end; cut++) {
		std::string got = Play(row, whole.substr(0, cut));

		SCOPED_TRACE("cut after " + std::to_string(cut) + " bytes: " +
		    whole.substr(cut > 20 ? cut - 20 : 0, cut > 20 ? 20 : cut) +
		    "|, the caller got " + got);
		if (got.rfind("HTTP/1.1 2", 0) == 0) {
			EXPECT_FALSE(is_whole(got));
		} else if (!got.empty()) {
			EXPECT_EQ(got.rfind("HTTP/1.1 502", 0), 0u);
		}
		if (HasFailure())
			return;
	}
	std::string got = Play(row, whole);
	EXPECT_TRUE(is_whole(got)) << got;
}

INSTANTIATE_TEST_SUITE_P(
    Responses, Cut, ::testing::ValuesIn(rows), [](const auto &info) {
	    std::string name = info.param.name;

	    for (auto &c : name)
		    c = isalnum((unsigned char)c) ? c : '_';
	    return name;
    });
