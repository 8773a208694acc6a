#include <random>

#include "gateway_sim.h"
#include "wire/peer.pb-c.h"

/*
 * Odd requests of callers and odd messages of instances: whatever a decoder
 * lets through must not end a process.
 */
class HostileInput : public ::testing::Test {
      protected:
	GatewaySim sim{3, 2};
	static const int kEntry = 3;
	typedef std::vector<std::pair<std::string, std::string>> Headers;

	void
	SetUp() override
	{
		for (int i = 0; i < 5; i++)
			sim.start(i);
		ASSERT_TRUE(
		    sim.run_until([&] { return sim.leader() >= 0; }, 8000));
		ASSERT_EQ(
		    sim.request_and_wait(sim.leader(), NODE_LISTEN_CONTROL,
			   "PUT", "/api/configuration", config())
			.status,
		    200);
		ASSERT_EQ(sim.announce(sim.leader(), "e1").status, 200);
		ASSERT_EQ(AnnounceEngine(), 200);
		ASSERT_TRUE(sim.run_until(
		    [&] { return sim.all_entries_ready(); }, 5000));
		sim.run_for_ms(1000);
	}

	static std::string
	config()
	{
		return R"({"version":1,"routes":[
		{"name":"r","host":"h.example","path_prefix":"/p/",
		 "type":"non_idempotent","timeout_ms":2000,"service":"app"},
		{"name":"s","host":"h.example","path_prefix":"/lm/",
		 "type":"streaming","timeout_ms":2000,"sticky":true,
		 "service":"lm"}],
		"services":[{"name":"app"},{"name":"lm","engine":{"slots":8,
		 "kv_capacity_tokens":90000,"adapter_slots":4,
		 "weights_mb":900,"loads_per_s":4,"models":[{"name":"m",
		 "weights_mb":100,"load_s":1,"adapters":9,
		 "adapter_size_mb":9}]}}]})";
	}

	int
	AnnounceEngine()
	{
		return sim
		    .request_and_wait(sim.leader(), NODE_LISTEN_CONTROL, "PUT",
			"/api/instances/i9",
			R"({"service":"lm","address":"10.1.9.9:80","zone":"z",
			"slots":8,"state":"ready","born":1,"sequence":1,
			"models":[{"name":"m","version":1,"adapters":[]}]})")
		    .status;
	}

	void
	SendRequest(const char *path, const Headers &odd)
	{
		Headers headers = {{"Host", "h.example"},
		    {"Mulberrypath-Attempt-Id", "7"},
		    {"Mulberrypath-Deadline-Ms", "1500"}};

		headers.insert(headers.end(), odd.begin(), odd.end());
		(void)sim.send_request(
		    kEntry, NODE_LISTEN_FRONT, "POST", path, "body", headers);
	}

	/* Whether a proper request still reaches its endpoint. */
	bool
	ReachesEndpoint()
	{
		size_t before;

		EXPECT_EQ(sim.announce(sim.leader(), "e2").status, 200);
		sim.run_for_ms(500);
		before = sim.endpoint_calls.size();
		SendRequest("/p/x", {});
		return sim.run_until(
		    [&] { return sim.endpoint_calls.size() > before; }, 3000);
	}

	void
	SendMessage(int from, int to, Wire__Envelope *envelope)
	{
		std::string bytes;

		envelope->version = 2;
		envelope->incarnation = 77;
		bytes.resize(wire__envelope__get_packed_size(envelope));
		(void)wire__envelope__pack(envelope, (uint8_t *)&bytes[0]);
		sim.deliver(from, to, bytes);
	}
};

static std::string
many_parts(int count)
{
	std::string parts;

	for (int i = 0; i < count; i++)
		parts += "a" + std::to_string(i) + ":800,";
	return parts + "b:1";
}

/*
 * Guards against a caller that ends processes of ours by one request: its
 * prompt has parts, but it names no model for which they are.
 */
TEST_F(HostileInput, odd_headers_of_requests_end_no_process)
{
	static const char *const values[] = {"", " ", "0", "-1", "a", "/", "m",
	    "m/", "/a1", "m/a1", "m//", "4294967295", "4294967296",
	    "99999999999999999999", "1,2", "1,", ",", ":", "a0:800,b0:100",
	    "a0:4294967295,b0:4294967295", "\"", "\\", "%s%n"};
	static const char *const names[] = {"Mulberrypath-Model",
	    "Mulberrypath-Token-Usage", "Mulberrypath-Prompt-Prefix",
	    "Mulberrypath-Deadline-Ms", "Last-Event-Id"};

	SendRequest("/p/x", {{"Mulberrypath-Prompt-Prefix", many_parts(1)}});
	SendRequest("/lm/x", {{"Mulberrypath-Prompt-Prefix", many_parts(20)}});
	SendRequest("/lm/x",
	    {{"Mulberrypath-Model", ""},
		{"Mulberrypath-Prompt-Prefix", many_parts(2)}});
	sim.run_for_ms(100);
	for (const char *path : {"/p/x", "/lm/x"})
		for (const char *first : names)
			for (const char *second : names)
				for (const char *value : values) {
					SendRequest(path,
					    {{first, value},
						{second, "a0:8,b0:1"}});
					sim.run_for_ms(1);
				}
	sim.run_for_ms(3000);
	EXPECT_TRUE(ReachesEndpoint());
}

/*
 * Guards against an odd entry in the table of endpoints, which another writer
 * announces or another instance has accepted.
 */
TEST_F(HostileInput, odd_endpoints_are_not_taken_into_the_table)
{
	static const char *const members[] = {
	    R"("address":"10.1.0.1:99999")",
	    R"("address":"10.1.0.9:65536")",
	    R"("address":"10.1.0.1:0")",
	    R"("address":"999.1.1.1:80")",
	    R"("address":"1:80")",
	    R"("service":"")",
	    R"("slots":4294967295)",
	    R"("slots":1.5)",
	    R"("born":9223372036854775807)",
	    R"("born":4102444800000)", /* the year 2100 */
	    R"("sequence":9223372036854775807)",
	};

	for (const char *odd : members) {
		std::string body = "{";

		for (const char *member :
		    {R"("service":"app")", R"("address":"10.1.0.77:80")",
			R"("slots":6)", R"("born":1)", R"("sequence":9)"})
			if (strncmp(member, odd, strcspn(odd, ":")) != 0)
				body += std::string(member) + ",";
		body += std::string(odd) + R"(,"zone":"z","state":"ready"})";
		EXPECT_EQ(
		    sim.request_and_wait(sim.leader(), NODE_LISTEN_CONTROL,
			   "PUT", "/api/instances/odd", body)
			.status,
		    400)
		    << body;
	}
	for (const std::string &body :
	    {std::string("{}"), std::string(300000, '['),
		R"({"born":)" + std::string(400, '9') + "}",
		std::string(R"({"slots":1e999})")})
		EXPECT_EQ(
		    sim.request_and_wait(sim.leader(), NODE_LISTEN_CONTROL,
			   "PUT", "/api/instances/odd", body)
			.status,
		    400)
		    << body.substr(0, 40);
	/* a table with such entries, of a placer that takes them */
	for (const char *address : {"10.1.0.1:99999", "1:80", ""}) {
		Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
		Wire__EndpointTable table = WIRE__ENDPOINT_TABLE__INIT;
		Wire__EndpointInfo odd = WIRE__ENDPOINT_INFO__INIT;
		Wire__EndpointInfo *list[] = {&odd};

		odd.id = (char *)"odd";
		odd.service = (char *)"app";
		odd.address = (char *)address;
		odd.slots = 4;
		table.whole = true;
		table.term = 1000;
		table.endpoints = list;
		table.n_endpoints = 1;
		envelope.body_case = WIRE__ENVELOPE__BODY_ENDPOINT_TABLE;
		envelope.endpoint_table = &table;
		SendMessage(sim.leader(), kEntry, &envelope);
		EXPECT_NE(sim.request_and_wait(
				 kEntry, NODE_LISTEN_API, "GET", "/metrics")
			      .body.find("mulberrypath_gate_endpoints 0\n"),
		    std::string::npos)
		    << "the table has an entry of address " << address;
	}
	SendRequest("/p/x", {});
	sim.run_for_ms(300);
	for (auto &call : sim.endpoint_calls)
		EXPECT_EQ(call.address, "10.1.0.1:80");
}

/* The same for messages that an instance sends by mistake. */
TEST_F(HostileInput, odd_messages_of_instances_end_no_process)
{
	std::mt19937_64 random(3);
	static const char *const texts[] = {"", "m", "app", "lm", "i9", "a1"};
	auto text = [&] { return (char *)texts[random() % 6]; };
	auto number = [&] {
		static const uint64_t numbers[] = {
		    0, 1, 7, UINT32_MAX, UINT64_MAX};
		return numbers[random() % 5];
	};

	for (int round = 0; round < 2000; round++) {
		Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
		Wire__PlaceAsk ask = WIRE__PLACE_ASK__INIT;
		Wire__PlaceDone done = WIRE__PLACE_DONE__INIT;
		Wire__EndpointEnded ended = WIRE__ENDPOINT_ENDED__INIT;
		Wire__PartsServed served = WIRE__PARTS_SERVED__INIT;
		Wire__PromptPart parts[20], *part_list[20];
		Wire__EndedPart ended_parts[100], *ended_list[100];
		Wire__PartServed served_parts[20], *served_list[20];
		char *avoid[20];

		for (int i = 0; i < 20; i++) {
			wire__prompt_part__init(&parts[i]);
			parts[i].hash = number();
			parts[i].tokens = (uint32_t)number();
			part_list[i] = &parts[i];
			wire__part_served__init(&served_parts[i]);
			served_parts[i].hash = number();
			served_parts[i].age_ms = (uint32_t)number();
			served_list[i] = &served_parts[i];
			avoid[i] = text();
		}
		for (int i = 0; i < 100; i++) {
			wire__ended_part__init(&ended_parts[i]);
			ended_parts[i].hash = random() % 3;
			ended_parts[i].position = (uint32_t)number();
			ended_list[i] = &ended_parts[i];
		}
		ask.ask = done.ask = random() % 4;
		ask.service = text();
		ask.model = text();
		ask.adapter = text();
		ask.prompt_tokens = (uint32_t)number();
		ask.max_tokens = (uint32_t)number();
		ask.parts = part_list;
		ask.n_parts = random() % 21;
		ask.left_ms = (uint32_t)number();
		ask.target_left_ms = (uint32_t)number();
		ask.priority = (uint32_t)number();
		ask.kind = (uint32_t)number();
		ask.attempt = (uint32_t)number();
		ask.avoid = avoid;
		ask.n_avoid = random() % 21;
		done.outcome = (Wire__PlaceOutcome)(random() % 9);
		done.first_ms = (uint32_t)number();
		ended.process = number();
		ended.age_ms = (uint32_t)number();
		ended.parts = ended_list;
		ended.n_parts = random() % 101;
		served.parts = served_list;
		served.n_parts = random() % 21;
		switch (random() % 4) {
		case 0:
			envelope.body_case = WIRE__ENVELOPE__BODY_PLACE_ASK;
			envelope.place_ask = &ask;
			break;
		case 1:
			envelope.body_case = WIRE__ENVELOPE__BODY_PLACE_DONE;
			envelope.place_done = &done;
			break;
		case 2:
			envelope.body_case =
			    WIRE__ENVELOPE__BODY_ENDPOINT_ENDED;
			envelope.endpoint_ended = &ended;
			break;
		default:
			envelope.body_case = WIRE__ENVELOPE__BODY_PARTS_SERVED;
			envelope.parts_served = &served;
			break;
		}
		SendMessage(kEntry + 1, sim.leader(), &envelope);
		sim.run_for_ms(1);
	}
	sim.run_for_ms(10000);
	EXPECT_TRUE(ReachesEndpoint());
}
