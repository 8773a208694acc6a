#include "path/path_fixture.h"

/*
 * An endpoint answers with a status that is no number from 200 to 599. From the
 * endpoint's bytes to the caller's: no part of such a response gets there.
 */

class InvalidStatus : public PathTest,
		      public ::testing::WithParamInterface<const char *> {
      protected:
	/* What a caller gets for a request of a kind. */
	std::string
	Ask(gw_kind kind, const std::string &response)
	{
		RawSocket caller, peer(-1);
		std::string received, request;
		bool closed = false;

		route.kind = kind;
		caller.Connect(front_server_get_port(front));
		caller.Write("POST /x HTTP/1.1\r\nHost: h\r\n"
			     "Mulberrypath-Attempt-Id: 7\r\n"
			     "Connection: close\r\n"
			     "Content-Length: 1\r\n\r\nq");
		EXPECT_TRUE(Until([&] { return peer.Accept(listener.fd); }));
		EXPECT_TRUE(Until([&] {
			request += peer.Poll();
			return request.find("\r\n\r\nq") != std::string::npos;
		}));
		peer.Write(response);
		EXPECT_TRUE(Until([&] {
			received += caller.Poll(&closed);
			return closed;
		})) << received;
		return received;
	}
};

TEST_P(InvalidStatus, GivesTheCaller502)
{
	for (gw_kind kind : {GW_NON_IDEMPOTENT, GW_STREAM, GW_IDEMPOTENT}) {
		std::string received = Ask(kind,
		    "HTTP/1.1 " + std::string(GetParam()) +
			"\r\nMulberrypath-Attempt-Id: 7\r\n"
			"Mulberrypath-Server-Signature: s\r\n"
			"Mulberrypath-Not-Executed: 1\r\n"
			"Content-Length: 6\r\n\r\nsecret");

		EXPECT_EQ(received.find("HTTP/1.1 502 "), 0u) << received;
		EXPECT_EQ(received.find("secret"), std::string::npos)
		    << received;
		EXPECT_EQ(received.find("Not-Executed"), std::string::npos)
		    << received;
	}
}

INSTANTIATE_TEST_SUITE_P(Statuses, InvalidStatus,
    ::testing::Values("000 X", "099 X", "100 X", "199 X", "600 X", "999 X",
	"1000 X", "+200 OK", "-200 OK", "20 OK", "", " OK", "2OO OK"));
