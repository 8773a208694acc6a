#ifndef MP_TESTS_BUS_BUS_FIXTURE_H
#define MP_TESTS_BUS_BUS_FIXTURE_H

#include <gtest/gtest.h>
#include <signal.h>
#include <zmq.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "bus/bus.h"
#include "bus/forwarder.h"
#include "util/mem.h"

static const uint64_t deadline_ms = 10000;

struct Keys {
	char public_key[41], secret_key[41];

	Keys()
	{
		EXPECT_EQ(zmq_curve_keypair(public_key, secret_key), 0);
	}
};

/*
 * Run the loop and step() until a condition holds; false after the limit. A
 * timer wakes the loop every 5 ms.
 */
inline bool
run_until(uv_loop_t *loop, const std::function<void()> &step,
    const std::function<bool()> &holds, uint64_t limit_ms = deadline_ms)
{
	uint64_t end = uv_hrtime() / 1000000 + limit_ms;
	uv_timer_t wakeup;
	bool ok;

	uv_timer_init(loop, &wakeup);
	uv_timer_start(
	    &wakeup, [](uv_timer_t *) {}, 5, 5);
	while (!(ok = holds()) && uv_hrtime() / 1000000 < end) {
		step();
		uv_run(loop, UV_RUN_ONCE);
	}
	uv_close((uv_handle_t *)&wakeup, nullptr);
	uv_run(loop, UV_RUN_NOWAIT);
	return ok;
}

/* One instance: its settings, its bus and the messages received. */
struct Instance {
	struct Message {
		uint32_t from;
		std::string text;
	};

	uv_loop_t *loop;
	struct settings s = {};
	std::vector<struct settings_peer> peers;
	std::string listen;
	struct bus *bus = nullptr;
	struct mp_error err = {};
	std::vector<Message> in;
	bool expects_bulk = false; /* of its messages */
	bool closed = false;

	Instance(uv_loop_t *loop, uint32_t id, const Keys *keys = nullptr)
	    : loop(loop)
	{
		s.id = id;
		if (keys != nullptr) {
			s.public_key = (char *)keys->public_key;
			s.secret_key = (char *)keys->secret_key;
		}
	}

	void
	list_peer(uint32_t id, const Keys &keys)
	{
		peers.push_back({id, (char *)"127.0.0.1:1",
		    (char *)keys.public_key, false});
	}

	int
	start(int port = 0)
	{
		listen = "127.0.0.1:" + std::to_string(port);
		s.bus_listen = (char *)listen.c_str();
		s.peers = peers.data();
		s.npeers = peers.size();
		closed = false;
		return bus_create(
		    &bus, loop, &s,
		    [](void *ctx, uint32_t from, struct node_bytes b) {
			    ((Instance *)ctx)
				->in.push_back(
				    {from, std::string(b.data, b.len)});
		    },
		    this, &err);
	}

	void
	send(uint32_t to, int port, const std::string &text, bool bulk = false)
	{
		std::string address = "127.0.0.1:" + std::to_string(port);
		struct node_send m = {to, address.c_str(),
		    {text.data(), text.size()}, bulk, expects_bulk};

		bus_send(bus, &m);
	}

	void
	stop()
	{
		if (bus == nullptr)
			return;
		bus_destroy(
		    bus, [](void *ctx) { ((Instance *)ctx)->closed = true; },
		    this);
		bus = nullptr;
		EXPECT_TRUE(run_until(
		    loop, [] {}, [this] { return closed; }));
	}

	int
	port()
	{
		return bus_get_port(bus);
	}

	struct bus_counters
	counters()
	{
		struct bus_counters c;

		bus_get_counters(bus, &c);
		return c;
	}
};

class BusTest : public ::testing::Test {
      protected:
	void
	SetUp() override
	{
		/*
		 * As the servers of a process do: the forwarder may write to a
		 * bus that has just closed its connection.
		 */
		(void)signal(SIGPIPE, SIG_IGN);
		uv_loop_init(&loop);
	}

	void
	TearDown() override
	{
		uv_run(&loop, UV_RUN_DEFAULT);
		EXPECT_EQ(uv_loop_close(&loop), 0);
	}

	/* Send repeatedly until a message is received; false after the limit.
	 */
	bool
	is_delivered(Instance &a, Instance &b, int port,
	    const std::string &text, uint64_t limit_ms = deadline_ms)
	{
		size_t before = b.in.size();

		return run_until(
		    &loop, [&] { a.send(b.s.id, port, text); },
		    [&] { return b.in.size() > before; }, limit_ms);
	}

	uv_loop_t loop;
};

#endif
