#include "gateway_sim.h"

/*
 * Requests that arrive while an entry stops, on connections that callers have
 * kept. The entry exits some time after the request to stop, whether or not
 * they have ended.
 */

static const char config[] =
    R"({"version":1,"routes":[
	{"name":"once","host":"h.example","path_prefix":"/once/",
	 "type":"non_idempotent","timeout_ms":12000,"target_latency_ms":300,
	 "service":"app"},
	{"name":"safe","host":"h.example","path_prefix":"/safe/",
	 "type":"idempotent","timeout_ms":12000,"target_latency_ms":300,
	 "max_attempts":1,"service":"app"},
	{"name":"stream","host":"h.example","path_prefix":"/stream/",
	 "type":"streaming","timeout_ms":12000,"target_latency_ms":300,
	 "target_gap_ms":300,"max_attempts":1,"service":"app"},
	{"name":"resumable","host":"h.example","path_prefix":"/resumable/",
	 "type":"streaming","timeout_ms":12000,"target_latency_ms":300,
	 "target_gap_ms":300,"resumable":true,"max_attempts":1,
	 "service":"app"}],"services":[{"name":"app"}]})";

/* gateway.stopMs by default: the process is killed then. */
static const uint64_t kStopMs = 8000;
/* A refusal "at once" comes within this time. */
static const uint64_t kAtOnceMs = 100;

enum AnswerKind {
	SILENT, /* never answers */
	SOON, /* answers in 100 ms */
	BEGINS /* sends the first event and no more */
};

enum RequestEnd {
	SERVED,
	REFUSED, /* 503 at once, and not sent to an endpoint */
	FAILED, /* 502 or 504 before the exit; it was sent to an endpoint */
	ABORTED /* a stream that breaks off before the exit */
};

struct StopRow {
	const char *what, *path;
	int after_ms, deadline_ms; /* of its caller; sent so long after */
	AnswerKind endpoint;
	RequestEnd end;
};

void
PrintTo(const StopRow &row, std::ostream *out)
{
	*out << row.what;
}

/* All addresses are out of use 3.5 s after the request to stop. */
static const StopRow rows[] = {
    {"early", "/once/x", 1000, 12000, SOON, SERVED},
    {"early, no answer", "/once/x", 1000, 12000, SILENT, FAILED},
    {"early, stream", "/stream/x", 1000, 12000, BEGINS, ABORTED},
    {"early, no answer, later", "/once/x", 2500, 12000, SILENT, FAILED},
    {"early, just before", "/once/x", 3200, 12000, SILENT, FAILED},
    {"late, short deadline", "/once/x", 3600, 2000, SOON, SERVED},
    {"late, short deadline, no answer", "/once/x", 3600, 2000, SILENT, FAILED},
    {"late, may run once", "/once/x", 3600, 12000, SOON, REFUSED},
    {"late, stream", "/stream/x", 3700, 12000, BEGINS, REFUSED},
    {"late, repeatable", "/safe/x", 4500, 12000, SOON, SERVED},
    {"late, repeatable, no answer", "/safe/x", 4500, 12000, SILENT, FAILED},
    {"late, resumable", "/resumable/x", 4500, 12000, BEGINS, ABORTED},
    {"late, resumable, no answer", "/resumable/x", 4500, 12000, SILENT, FAILED},
    {"very late, may run once", "/once/x", 6000, 2000, SOON, REFUSED},
    {"very late, stream", "/stream/x", 6000, 2000, BEGINS, REFUSED},
    {"at the end", "/safe/x", 6950, 12000, SOON, REFUSED},
    {"at the end, short deadline", "/once/x", 6990, 500, SOON, REFUSED},
};

class Stop : public ::testing::Test {
      protected:
	GatewaySim sim{5, 2};
	const int entry = 5;
	size_t arrived = 0;
	uint64_t given_ms = 0; /* the deadline that the endpoint got */

	bool
	Serve()
	{
		for (int i = 0; i < 7; i++)
			sim.start(i);
		if (!sim.run_until([&] { return sim.leader() >= 0; }, 8000))
			return false;
		if (sim.request_and_wait(sim.leader(), NODE_LISTEN_CONTROL,
			   "PUT", "/api/configuration", config)
			.status != 200)
			return false;
		AnnounceFrom(sim.now_us);
		return sim.run_until(
		    [&] { return sim.all_entries_ready(); }, 5000);
	}

	uint64_t
	Send(const std::string &path, int deadline_ms)
	{
		return sim.send_request(entry, NODE_LISTEN_FRONT, "POST", path,
		    "body",
		    {{"Host", "h.example"}, {"Mulberrypath-Attempt-Id", "7"},
			{"Mulberrypath-Deadline-Ms",
			    std::to_string(deadline_ms)}});
	}

	/* Both endpoints announce themselves each second. */
	void
	AnnounceFrom(uint64_t at_us)
	{
		sim.schedule(at_us, [this, at_us] {
			for (const char *id : {"e1", "e2"})
				sim.send_announcement(0, id);
			AnnounceFrom(at_us + 1000 * MS);
		});
	}

	void
	Answer(const GatewaySim::EndpointCall &call, AnswerKind endpoint)
	{
		if (call.path == "/safe/open")
			return;
		arrived++;
		given_ms = std::stoull(
		    call.headers.find("Mulberrypath-Deadline-Ms")->second);
		if (endpoint == SILENT)
			return;
		sim.schedule(sim.now_us + 100 * MS, [this, call, endpoint] {
			if (endpoint == SOON)
				sim.answer_call(call, 200, "done");
			else
				sim.answer_call_part(
				    call, true, "id: 1\ndata: x\n\n");
		});
	}

	void
	RunRow(const StopRow &row)
	{
		uint64_t request, stop_us, sent_us;
		Reply r;

		SCOPED_TRACE(row.what);
		ASSERT_TRUE(Serve());
		sim.on_call = [&](const GatewaySim::EndpointCall &call) {
			Answer(call, row.endpoint);
		};
		/* Open until the end, so that the entry does not exit early. */
		(void)Send("/safe/open", 12000);
		sim.run_for_ms(200);
		stop_us = sim.now_us;
		sim.stop(entry);
		sim.run_for_ms((uint64_t)row.after_ms);
		sent_us = sim.now_us;
		ASSERT_FALSE(sim.instances[(size_t)entry]->exited);
		request = Send(row.path, row.deadline_ms);
		sim.run_until(
		    [&] { return sim.instances[(size_t)entry]->exited; },
		    kStopMs);
		r = sim.replies[request];
		EXPECT_TRUE(sim.instances[(size_t)entry]->exited);
		EXPECT_LE(sim.now_us, stop_us + kStopMs * MS);
		EXPECT_EQ(arrived, row.end == REFUSED ? 0u : 1u);
		EXPECT_GT(r.ended_us, 0u) << "no answer at all";
		if (arrived > 0) {
			EXPECT_LE(
			    sent_us + given_ms * MS, stop_us + kStopMs * MS)
			    << "the endpoint has more time than the entry";
		}
		CheckEnd(row, r, sent_us);
	}

	static void
	CheckEnd(const StopRow &row, const Reply &r, uint64_t sent_us)
	{
		switch (row.end) {
		case SERVED:
			EXPECT_EQ(r.status, 200);
			EXPECT_TRUE(r.is_complete);
			break;
		case REFUSED:
			EXPECT_EQ(r.status, 503);
			EXPECT_LE(r.ended_us, sent_us + kAtOnceMs * MS);
			break;
		case FAILED:
			EXPECT_TRUE(r.status == 502 || r.status == 504)
			    << r.status;
			break;
		case ABORTED:
			EXPECT_EQ(r.status, 200);
			EXPECT_TRUE(r.is_aborted);
			break;
		}
	}
};

class StopRows : public Stop, public ::testing::WithParamInterface<StopRow> {};

/*
 * Guards against requests that an entry takes in the course of a planned stop
 * and whose connections end with the process, without an answer.
 */
TEST_P(StopRows, late_requests_get_a_definite_answer)
{
	RunRow(GetParam());
}

INSTANTIATE_TEST_SUITE_P(
    Requests, StopRows, ::testing::ValuesIn(rows), [](const auto &info) {
	    std::string name = info.param.what;

	    for (auto &c : name)
		    c = isalnum((unsigned char)c) ? c : '_';
	    return name;
    });
