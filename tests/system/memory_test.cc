#include <algorithm>
#include <cstring>

#include "system/gateway_process.h"

/*
 * Peers that send without end or don't read. What a process keeps for all of
 * them together stays within the memory that its settings give it, and sound
 * requests at the same process are served meanwhile.
 */

/* The setting, and so the bound of the resident memory. */
static const long kMemoryMb = 96;
static const char kMemorySetting[] = ",\"memoryMb\":96";
static const int kCallers = 240;
static const int kObservedMs = 1500;

#if defined(__SANITIZE_ADDRESS__)
/* The sanitizer keeps freed memory and adds to what is used. */
static const bool kIsResidentChecked = false;
#else
static const bool kIsResidentChecked = true;
#endif

class Memory : public GatewayProcess {
      protected:
	std::vector<int> callers;

	void
	TearDown() override
	{
		for (int s : callers)
			close(s);
		GatewayProcess::TearDown();
	}

	/* Sound requests are served, and the memory stays within its bound. */
	void
	observe()
	{
		Deadline end(kObservedMs);
		double resident_mb = 0;

		while (end.left_ms() > 0) {
			EXPECT_EQ(call("GET /sound").find("HTTP/1.1 200"), 0u);
			resident_mb = std::max(resident_mb,
			    metric("process_resident_bytes") / (1 << 20));
			poll(nullptr, 0, 20);
		}
		printf("resident at most %.0f MiB, buffered %.1f MiB, %.0f "
		       "pauses, %.0f refusals, %.0f cuts\n",
		    resident_mb, metric("buffered_max_bytes") / (1 << 20),
		    metric("buffer_pauses_total"),
		    metric("buffer_refusals_total"),
		    metric("buffer_cuts_total"));
		if (kIsResidentChecked) {
			EXPECT_LT(resident_mb, kMemoryMb);
		}
		EXPECT_LT(metric("buffered_max_bytes"), kMemoryMb << 20);
		EXPECT_TRUE(instance->send_signal(0)) << "it has ended";
	}
};

/* ---- endpoints ----------------------------------------------------------- */

struct EndlessRow {
	const char *name;
	const char *kind; /* of the route */
	const char *head; /* sent once; %s: the attempt's id */
	const char *piece; /* sent without end */
};

#define SIGNED_HEAD                                                            \
	"HTTP/1.1 200 OK\r\n"                                                  \
	"Mulberrypath-Attempt-Id: %s\r\n"                                      \
	"Mulberrypath-Server-Signature: s\r\n"

static const EndlessRow endless_rows[] = {
    {"status_line", "idempotent", "HTTP/1.1 200 ", "xxxxxxxxxxxxxxxx"},
    {"header_name", "idempotent", SIGNED_HEAD, "xxxxxxxxxxxxxxxx"},
    {"header_lines", "idempotent", SIGNED_HEAD, "X-More: more\r\n"},
    {"interim_answers", "idempotent", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"no_http", "idempotent", "", "\x01\x02\x03zzzzzz"},
    {"length", "non_idempotent",
	SIGNED_HEAD "Content-Length: 999999999999\r\n\r\n", "xxxxxxxxxxxxxxxx"},
    {"no_length", "non_idempotent", SIGNED_HEAD "\r\n", "xxxxxxxxxxxxxxxx"},
    {"chunks", "non_idempotent",
	SIGNED_HEAD "Transfer-Encoding: chunked\r\n\r\n",
	"40\r\n0123456789012345678901234567890123456789012345678901234567890123"
	"\r\n"},
    {"chunk_size_of_zeros", "non_idempotent",
	SIGNED_HEAD "Transfer-Encoding: chunked\r\n\r\n", "00000000"},
    {"chunk_extension", "non_idempotent",
	SIGNED_HEAD "Transfer-Encoding: chunked\r\n\r\n5;", "xxxxxxxx"},
    {"trailers", "non_idempotent",
	SIGNED_HEAD "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n",
	"X-More: more\r\n"},
    {"after_the_answer", "non_idempotent",
	SIGNED_HEAD "Content-Length: 1\r\n\r\nx", "xxxxxxxxxxxxxxxx"},
    {"event", "streaming", SIGNED_HEAD "\r\nid: 1\ndata: ", "xxxxxxxxxxxxxxxx"},
    {"events", "streaming", SIGNED_HEAD "\r\n", "id: 1\ndata: x\n\n"},
};

class EndlessAnswers : public Memory,
		       public ::testing::WithParamInterface<EndlessRow> {};

/*
 * Guards against a process that ends for want of memory, as endpoints send
 * without end for many callers, most of which read nothing.
 */
TEST_P(EndlessAnswers, of_many_requests_are_not_kept)
{
	const EndlessRow &row = GetParam();
	std::string block;

	while (block.size() < 60000)
		block += row.piece;
	start_serving(
	    [row, block](int fd, const std::string &head) {
		    std::string id =
			header_value(head, "Mulberrypath-Attempt-Id");
		    std::string begin = row.head;
		    size_t at = begin.find("%s");

		    if (head.find("/endless") == std::string::npos)
			    return write_all(fd, sound_response(head, "ok"));
		    if (at != std::string::npos)
			    begin.replace(at, 2, id);
		    if (!write_all(fd, begin))
			    return false;
		    while (write_all(fd, block))
			    ;
		    return false;
	    },
	    row.kind, kMemorySetting);
	for (int i = 0; i < kCallers; i++)
		callers.push_back(send_call("POST /endless", 15000));
	observe();
}

INSTANTIATE_TEST_SUITE_P(Shapes, EndlessAnswers,
    ::testing::ValuesIn(endless_rows),
    [](const auto &info) { return std::string(info.param.name); });

/*
 * Guards against the cut of a large sound answer whose caller reads it slowly,
 * and against an endpoint that is read on although its caller doesn't read.
 */
TEST_F(Memory, a_large_answer_is_delivered_to_a_slow_reader)
{
	static const size_t kBytes = 24u << 20;
	std::string answer;
	char chunk[32768];
	ssize_t n;
	int s;

	start_serving(
	    [](int fd, const std::string &head) {
		    return write_all(fd,
			sound_response(head,
			    head.find("/large") == std::string::npos
				? "ok"
				: std::string(kBytes, 'x')));
	    },
	    "non_idempotent", kMemorySetting);
	s = send_call("POST /large", 15000);
	callers.push_back(s);
	for (int i = 0; i < 20; i++) {
		/* It reads nothing; others are served. */
		EXPECT_EQ(call("GET /sound").find("HTTP/1.1 200"), 0u);
		poll(nullptr, 0, 20);
	}
	EXPECT_GT(metric("buffer_pauses_total"), 0);
	while ((n = read(s, chunk, sizeof(chunk))) > 0)
		answer.append(chunk, (size_t)n);
	EXPECT_EQ(answer.find("HTTP/1.1 200"), 0u);
	EXPECT_EQ(answer.size() - answer.find("\r\n\r\n") - 4, kBytes);
	EXPECT_LT(metric("buffered_max_bytes"), 8 << 20);
	EXPECT_EQ(metric("buffered_bytes"), 0);
}

/* ---- callers ------------------------------------------------------------- */

struct CallerRow {
	const char *name;
	const char *head; /* sent once */
	const char *piece; /* many at once */
	bool is_repeated; /* as long as the connection takes them */
};

static const CallerRow caller_rows[] = {
    {"head", "POST /sound HTTP/1.1\r\nHost: x\r\n", "X-More: more\r\n", true},
    {"body_of_a_length",
	"POST /sound HTTP/1.1\r\nHost: x\r\nContent-Length: 2900000\r\n\r\n",
	"xxxxxxxxxxxxxxxx", true},
    {"body_in_chunks",
	"POST /sound HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n",
	"10\r\nxxxxxxxxxxxxxxxx\r\n", true},
    {"requests_whose_answers_it_does_not_read", "",
	"GET /large HTTP/1.1\r\nHost: x\r\nMulberrypath-Attempt-Id: 1\r\n"
	"Mulberrypath-Deadline-Ms: 9000\r\n\r\n",
	false},
};

class EndlessCallers : public Memory,
		       public ::testing::WithParamInterface<CallerRow> {};

/*
 * Guards against a process that ends for want of memory, as callers send
 * without end.
 */
TEST_P(EndlessCallers, are_not_kept)
{
	const CallerRow &row = GetParam();
	std::string block;
	std::vector<std::string> unsent;

	while (block.size() < 60000)
		block += row.piece;
	start_serving(
	    [](int fd, const std::string &head) {
		    return write_all(fd,
			sound_response(head,
			    head.find("/large") == std::string::npos
				? "ok"
				: std::string(250000, 'x')));
	    },
	    "non_idempotent", kMemorySetting);
	for (int i = 0; i < kCallers; i++) {
		int s = connect_to(front_port());

		callers.push_back(s);
		fcntl(s, F_SETFL, fcntl(s, F_GETFL) | O_NONBLOCK);
		unsent.push_back(row.head + block);
	}
	/* Each sends what its connection takes, up to 2.8 MB. */
	for (int round = 0; round < 45; round++)
		for (size_t i = 0; i < callers.size(); i++) {
			ssize_t n = send(callers[i], unsent[i].data(),
			    unsent[i].size(), MSG_NOSIGNAL);

			if (n > 0)
				unsent[i].erase(0, (size_t)n);
			if (unsent[i].empty() && row.is_repeated)
				unsent[i] = block;
		}
	observe();
}

INSTANTIATE_TEST_SUITE_P(Shapes, EndlessCallers,
    ::testing::ValuesIn(caller_rows),
    [](const auto &info) { return std::string(info.param.name); });
