/* The message bus: instances with and without keys on one loop. */

#include <gtest/gtest.h>
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
static bool
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

TEST_F(BusTest, messages_pass_both_ways_with_the_senders_id)
{
	/* Ids whose bytes are only 0x00, 0x01 and 0xff. */
	Instance a(&loop, 256), b(&loop, 65535);

	ASSERT_EQ(a.start(), MP_OK) << a.err.message;
	ASSERT_EQ(b.start(), MP_OK) << b.err.message;
	EXPECT_TRUE(is_delivered(a, b, b.port(), "hello"));
	EXPECT_TRUE(is_delivered(b, a, a.port(), "world"));
	EXPECT_EQ(b.in[0].from, 256u);
	EXPECT_EQ(b.in[0].text, "hello");
	EXPECT_EQ(a.in[0].from, 65535u);
	EXPECT_GE(a.counters().messages_out, 1u);
	EXPECT_GE(b.counters().bytes_in, 5u);
	a.stop();
	b.stop();
}

TEST_F(BusTest, an_address_in_use_is_an_error)
{
	Instance a(&loop, 1), b(&loop, 2);

	ASSERT_EQ(a.start(), MP_OK);
	EXPECT_EQ(b.start(a.port()), MP_ERR_IO);
	EXPECT_EQ(b.err.layer, MP_LAYER_BUS);
	a.stop();
}

/* Messages sent while a peer is absent are not delivered after its start. */
TEST_F(BusTest, messages_to_an_absent_peer_are_dropped)
{
	Instance a(&loop, 1), b(&loop, 2);
	int port;

	ASSERT_EQ(a.start(), MP_OK);
	ASSERT_EQ(b.start(), MP_OK);
	port = b.port();
	b.stop();
	for (int i = 0; i < 1000; i++)
		a.send(2, port, "stale");
	EXPECT_EQ(a.counters().dropped, 1000u);
	ASSERT_EQ(b.start(port), MP_OK) << b.err.message;
	EXPECT_TRUE(is_delivered(a, b, port, "fresh"));
	EXPECT_EQ(b.in[0].text, "fresh");
	a.stop();
	b.stop();
}

/* A peer that restarts on the same port is reached within 3 s both ways. */
TEST_F(BusTest, a_restarted_peer_is_reconnected)
{
	Keys ka, kb;

	for (bool keyed : {false, true}) {
		Instance a(&loop, 1, keyed ? &ka : nullptr);
		Instance b(&loop, 2, keyed ? &kb : nullptr);
		int port;

		for (Instance *i : {&a, &b}) {
			if (!keyed)
				continue;
			i->list_peer(1, ka);
			i->list_peer(2, kb);
		}
		ASSERT_EQ(a.start(), MP_OK) << a.err.message;
		ASSERT_EQ(b.start(), MP_OK) << b.err.message;
		port = b.port();
		EXPECT_TRUE(is_delivered(a, b, port, "1"));
		EXPECT_TRUE(is_delivered(b, a, a.port(), "1"));
		for (int round = 0; round < 3; round++) {
			b.stop();
			b.in.clear();
			ASSERT_EQ(b.start(port), MP_OK) << b.err.message;
			EXPECT_TRUE(is_delivered(a, b, port, "2", 3000));
			EXPECT_TRUE(is_delivered(b, a, a.port(), "2", 3000));
		}
		a.stop();
		b.stop();
	}
}

/*
 * A connection that no longer carries bytes, as after a middlebox has dropped
 * its state, is detected by the heartbeat and replaced.
 */
TEST_F(BusTest, a_stalled_connection_is_replaced)
{
	Instance a(&loop, 1), b(&loop, 2);
	Forwarder *f;

	ASSERT_EQ(a.start(), MP_OK);
	ASSERT_EQ(b.start(), MP_OK);
	f = new Forwarder(&loop, b.port());
	EXPECT_TRUE(is_delivered(a, b, f->port, "before"));
	f->stall();
	/* "before" may still be in transit; "after" needs a new connection */
	EXPECT_TRUE(run_until(
	    &loop, [&] { a.send(2, f->port, "after"); },
	    [&] { return b.in.back().text == "after"; }, 5000));
	EXPECT_EQ(f->accepted, 2);
	a.stop();
	b.stop();
	f->close();
	uv_run(&loop, UV_RUN_DEFAULT);
	delete f;
}

/*
 * Guards against queueing messages on a connection whose peer accepts but does
 * not complete the handshake: they would be delivered late.
 */
TEST_F(BusTest, no_messages_are_queued_before_the_handshake)
{
	Instance a(&loop, 1);
	Forwarder *f;

	ASSERT_EQ(a.start(), MP_OK);
	/* the target port has no listener: accepts, then sends no bytes */
	f = new Forwarder(&loop, 1);
	EXPECT_TRUE(run_until(
	    &loop, [&] { a.send(2, f->port, "x"); },
	    [&] { return f->accepted >= 2; }));
	EXPECT_EQ(a.counters().messages_out, 0u);
	a.stop();
	f->close();
	uv_run(&loop, UV_RUN_DEFAULT);
	delete f;
}

/*
 * With keys the sender's id follows from its key: an instance cannot send
 * under the id of another one.
 */
TEST_F(BusTest, the_key_determines_the_senders_id)
{
	Keys ka, kb, unknown;
	Instance a(&loop, 1, &ka), b(&loop, 2, &kb), c(&loop, 2, &unknown);
	Instance impostor(&loop, 2, &ka);

	for (Instance *i : {&a, &b, &c, &impostor}) {
		i->list_peer(1, ka);
		i->list_peer(2, kb);
		ASSERT_EQ(i->start(), MP_OK) << i->err.message;
	}
	EXPECT_TRUE(is_delivered(a, b, b.port(), "hello"));
	EXPECT_EQ(b.in[0].from, 1u);

	/* The impostor states id 2, but its key belongs to instance 1. */
	b.in.clear();
	EXPECT_TRUE(run_until(
	    &loop, [&] { impostor.send(2, b.port(), "lie"); },
	    [&] { return !b.in.empty() && b.in.back().text == "lie"; }));
	for (auto &m : b.in)
		EXPECT_EQ(m.from, 1u);

	/* c states id 2 and has a key that b does not know. */
	b.in.clear();
	EXPECT_TRUE(run_until(
	    &loop, [&] { c.send(2, b.port(), "x"); },
	    [&] { return b.counters().refused > 0; }));
	/* The impostor sent its message repeatedly; a copy may come late. */
	for (auto &m : b.in) {
		EXPECT_EQ(m.text, "lie");
		EXPECT_EQ(m.from, 1u);
	}
	EXPECT_EQ(c.counters().messages_out, 0u);
	for (Instance *i : {&a, &b, &c, &impostor})
		i->stop();
}

TEST_F(BusTest, a_sender_without_keys_is_refused)
{
	Keys kb;
	Instance a(&loop, 1), b(&loop, 2, &kb);

	b.list_peer(2, kb);
	ASSERT_EQ(a.start(), MP_OK);
	ASSERT_EQ(b.start(), MP_OK) << b.err.message;
	EXPECT_FALSE(is_delivered(a, b, b.port(), "x", 500));
	EXPECT_EQ(a.counters().messages_out, 0u);
	a.stop();
	b.stop();
}

/* The key that b has is not the one that a expects of instance 2. */
TEST_F(BusTest, no_message_is_sent_to_a_peer_with_another_key)
{
	Keys ka, kb, other;
	Instance a(&loop, 1, &ka), b(&loop, 2, &other);

	for (Instance *i : {&a, &b})
		i->list_peer(1, ka);
	a.list_peer(2, kb);
	b.list_peer(2, other);
	ASSERT_EQ(a.start(), MP_OK);
	ASSERT_EQ(b.start(), MP_OK);
	EXPECT_FALSE(is_delivered(a, b, b.port(), "x", 500));
	EXPECT_EQ(a.counters().messages_out, 0u);
	a.stop();
	b.stop();
}

TEST_F(BusTest, a_key_pair_that_does_not_match_is_refused)
{
	Keys ka, kb, mixed;
	Instance a(&loop, 1, &mixed);

	memcpy(mixed.public_key, ka.public_key, sizeof(mixed.public_key));
	a.list_peer(1, ka);
	EXPECT_EQ(a.start(), MP_ERR_INVALID);
}

TEST_F(BusTest, a_changed_address_replaces_the_connection)
{
	Instance a(&loop, 1), b(&loop, 2), moved(&loop, 2);

	ASSERT_EQ(a.start(), MP_OK);
	ASSERT_EQ(b.start(), MP_OK);
	ASSERT_EQ(moved.start(), MP_OK);
	EXPECT_TRUE(is_delivered(a, b, b.port(), "1"));
	EXPECT_TRUE(is_delivered(a, moved, moved.port(), "2"));
	EXPECT_EQ(moved.in[0].text, "2");
	for (Instance *i : {&a, &b, &moved})
		i->stop();
}

/* A message of the maximum size is delivered; one byte more is dropped. */
TEST_F(BusTest, messages_up_to_the_size_limit_are_delivered)
{
	Instance a(&loop, 1), b(&loop, 2);
	std::string large(64 * 1024 * 1024, 'x');
	uint64_t dropped;

	ASSERT_EQ(a.start(), MP_OK);
	ASSERT_EQ(b.start(), MP_OK);
	EXPECT_TRUE(is_delivered(a, b, b.port(), "first"));
	b.in.clear();
	a.send(2, b.port(), large);
	EXPECT_TRUE(run_until(
	    &loop, [] {},
	    [&] {
		    return !b.in.empty() &&
			b.in.back().text.size() == large.size();
	    }));
	EXPECT_EQ(b.in.back().text, large);
	dropped = a.counters().dropped;
	large.push_back('y');
	a.send(2, b.port(), large);
	EXPECT_EQ(a.counters().dropped, dropped + 1);
	a.stop();
	b.stop();
}

/* All messages that were accepted are delivered, in the order of sending. */
TEST_F(BusTest, a_burst_is_delivered_completely_and_in_order)
{
	Instance a(&loop, 1), b(&loop, 2);
	size_t accepted;

	ASSERT_EQ(a.start(), MP_OK);
	ASSERT_EQ(b.start(), MP_OK);
	EXPECT_TRUE(is_delivered(a, b, b.port(), "first"));
	b.in.clear();
	accepted = a.counters().messages_out;
	for (int i = 0; i < 2000; i++)
		a.send(2, b.port(), std::to_string(i));
	accepted = a.counters().messages_out - accepted;
	ASSERT_GT(accepted, 100u);
	EXPECT_TRUE(run_until(
	    &loop, [] {}, [&] { return b.in.size() >= accepted; }));
	for (size_t i = 0, last = 0; i < b.in.size(); i++) {
		size_t n = strtoul(b.in[i].text.c_str(), nullptr, 10);

		if (b.in[i].text == "first")
			continue;
		EXPECT_TRUE(n > last || last == 0);
		last = n;
	}
	a.stop();
	b.stop();
}

/* Establishes both connections between two instances through a forwarder. */
static void
connect_both(uv_loop_t *loop, Instance &a, Instance &b, Forwarder *f)
{
	ASSERT_TRUE(run_until(
	    loop,
	    [&] {
		    a.send(2, f->port, "small");
		    a.send(2, f->port, "bulk", true);
	    },
	    [&] { return f->accepted == 2 && b.in.size() > 100; }));
	/* what is on its way still */
	(void)run_until(
	    loop, [] {}, [] { return false; }, 100);
	b.in.clear();
}

/* Guards against heartbeats that wait behind the body of a large call. */
TEST_F(BusTest, a_bulk_message_does_not_delay_others)
{
	Keys ka, kb;

	for (bool keyed : {false, true}) {
		Instance a(&loop, 1, keyed ? &ka : nullptr);
		Instance b(&loop, 2, keyed ? &kb : nullptr);
		std::string large(2500 * 1000, 'x');
		Forwarder *f;

		for (Instance *i : {&a, &b}) {
			if (keyed) {
				i->list_peer(1, ka);
				i->list_peer(2, kb);
			}
			ASSERT_EQ(i->start(), MP_OK);
		}
		f = new Forwarder(&loop, b.port());
		connect_both(&loop, a, b, f);
		f->slow(30 * 1000); /* the large one takes 0.8 s */
		a.send(2, f->port, large, true);
		(void)run_until(
		    &loop, [] {}, [] { return false; }, 50);
		a.send(2, f->port, "heartbeat");
		EXPECT_TRUE(run_until(
		    &loop, [] {}, [&] { return !b.in.empty(); }, 400));
		ASSERT_FALSE(b.in.empty());
		EXPECT_EQ(b.in[0].text, "heartbeat");
		EXPECT_EQ(b.in[0].from, 1u);
		EXPECT_TRUE(run_until(
		    &loop, [] {}, [&] { return b.in.size() == 2; }));
		EXPECT_EQ(b.in.back().text, large);
		EXPECT_EQ(b.in.back().from, 1u);
		a.stop();
		b.stop();
		f->close();
		uv_run(&loop, UV_RUN_DEFAULT);
		delete f;
	}
}

/*
 * Guards against a first bulk message that takes the connection of the
 * heartbeats because its own is not up.
 */
TEST_F(BusTest, the_bulk_connection_is_made_in_advance)
{
	Instance a(&loop, 1), b(&loop, 2);
	Forwarder *f;

	ASSERT_EQ(a.start(), MP_OK);
	ASSERT_EQ(b.start(), MP_OK);
	f = new Forwarder(&loop, b.port());
	EXPECT_TRUE(is_delivered(a, b, f->port, "1"));
	(void)run_until(
	    &loop, [] {}, [] { return false; }, 100);
	EXPECT_EQ(f->accepted, 1);
	a.expects_bulk = true;
	EXPECT_TRUE(is_delivered(a, b, f->port, "2"));
	EXPECT_TRUE(run_until(
	    &loop, [] {}, [&] { return f->accepted == 2; }));
	a.stop();
	b.stop();
	f->close();
	uv_run(&loop, UV_RUN_DEFAULT);
	delete f;
}

/* Guards against a queue of large messages that is bounded in number only. */
TEST_F(BusTest, few_bulk_messages_are_queued_for_a_peer_that_reads_nothing)
{
	Instance a(&loop, 1), b(&loop, 2);
	std::string large(2500 * 1000, 'x');
	uint64_t before;
	Forwarder *f;

	ASSERT_EQ(a.start(), MP_OK);
	ASSERT_EQ(b.start(), MP_OK);
	f = new Forwarder(&loop, b.port());
	connect_both(&loop, a, b, f);
	f->slow(0);
	before = a.counters().messages_out;
	for (int i = 0; i < 100; i++)
		a.send(2, f->port, large, true);
	/* Those in the queue, and what the kernel's buffers hold. */
	EXPECT_LE(a.counters().messages_out - before, 8u);
	EXPECT_GE(a.counters().dropped, 92u);
	a.stop();
	b.stop();
	f->close();
	uv_run(&loop, UV_RUN_DEFAULT);
	delete f;
}
