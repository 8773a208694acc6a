/* The message bus: instances with and without keys on one loop. */

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "bus/bus_fixture.h"

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

/* A port on which connection attempts are lost, as to an instance that is down:
 * the queue of a socket that accepts none is full. */
class LossyPort {
      public:
	int port;

	LossyPort()
	{
		struct sockaddr_in address = {};
		socklen_t len = sizeof(address);
		int on = 1;

		address.sin_family = AF_INET;
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		fds.push_back(socket(AF_INET, SOCK_STREAM, 0));
		setsockopt(fds[0], SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
		EXPECT_EQ(bind(fds[0], (struct sockaddr *)&address, len), 0);
		EXPECT_EQ(listen(fds[0], 0), 0);
		getsockname(fds[0], (struct sockaddr *)&address, &len);
		port = ntohs(address.sin_port);
		for (int i = 0; i < 4; i++) {
			fds.push_back(
			    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
			(void)connect(
			    fds.back(), (struct sockaddr *)&address, len);
		}
	}

	void
	close_all()
	{
		for (int fd : fds)
			close(fd);
	}

      private:
	std::vector<int> fds;
};

/*
 * Guards against a connection attempt to an instance that is down which is
 * repeated only a second later, although the instance is up by then: after a
 * loss of power nothing else reaches it.
 */
TEST_F(BusTest, an_instance_that_starts_is_reached_soon)
{
	Instance a(&loop, 1), b(&loop, 2);
	LossyPort down;
	uint64_t up_ms;

	ASSERT_EQ(a.start(), MP_OK);
	(void)run_until(
	    &loop, [&] { a.send(2, down.port, "early"); }, [] { return false; },
	    300);
	down.close_all();
	ASSERT_EQ(b.start(down.port), MP_OK) << b.err.message;
	up_ms = uv_hrtime() / 1000000;
	EXPECT_TRUE(is_delivered(a, b, down.port, "hello"));
	EXPECT_LE(uv_hrtime() / 1000000, up_ms + 600);
	a.stop();
	b.stop();
}
