/* Bulk messages, which have a connection of their own. */

#include "bus/bus_fixture.h"

class BulkTest : public BusTest {};

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
TEST_F(BulkTest, a_bulk_message_does_not_delay_others)
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
TEST_F(BulkTest, the_bulk_connection_is_made_in_advance)
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

/* Guards against a first large call that delays heartbeats, or is lost. */
TEST_F(BulkTest, a_first_bulk_message_waits_for_its_connection)
{
	Instance a(&loop, 1), b(&loop, 2);
	std::string large(2500 * 1000, 'x');
	Forwarder *f;

	ASSERT_EQ(a.start(), MP_OK);
	ASSERT_EQ(b.start(), MP_OK);
	f = new Forwarder(&loop, b.port());
	EXPECT_TRUE(is_delivered(a, b, f->port, "1"));
	(void)run_until(
	    &loop, [] {}, [] { return false; }, 100);
	b.in.clear();
	uint64_t dropped = a.counters().dropped;
	f->slow(30 * 1000); /* the large one takes 0.8 s */
	a.send(2, f->port, large, true);
	(void)run_until(
	    &loop, [] {}, [] { return false; }, 100);
	a.send(2, f->port, "heartbeat");
	EXPECT_TRUE(run_until(
	    &loop, [] {}, [&] { return !b.in.empty(); }, 400));
	ASSERT_FALSE(b.in.empty());
	EXPECT_EQ(b.in[0].text, "heartbeat");
	EXPECT_TRUE(run_until(
	    &loop, [] {}, [&] { return b.in.size() == 2; }));
	EXPECT_EQ(b.in.back().text, large);
	EXPECT_EQ(f->accepted, 2);
	EXPECT_EQ(a.counters().dropped, dropped);
	a.stop();
	b.stop();
	f->close();
	uv_run(&loop, UV_RUN_DEFAULT);
	delete f;
}

/*
 * Guards against a bulk message to a process that has just restarted, dropped
 * because its connection is not there again: a large log entry is not sent
 * again for seconds.
 */
TEST_F(BulkTest, a_bulk_message_waits_for_a_connection_that_is_made_again)
{
	Instance a(&loop, 1), b(&loop, 2);
	uint64_t dropped;
	int port;

	ASSERT_EQ(a.start(), MP_OK);
	ASSERT_EQ(b.start(), MP_OK);
	port = b.port();
	a.send(2, port, "first", true);
	EXPECT_TRUE(run_until(
	    &loop, [] {}, [&] { return b.in.size() == 1; }));
	b.stop();
	/* Until a connection that is gone is noticed. */
	(void)run_until(
	    &loop, [] {}, [] { return false; }, 100);
	dropped = a.counters().dropped;
	b.in.clear();
	a.send(2, port, "second", true);
	ASSERT_EQ(b.start(port), MP_OK) << b.err.message;
	EXPECT_TRUE(run_until(
	    &loop, [] {}, [&] { return b.in.size() == 1; }, 2000));
	EXPECT_EQ(a.counters().dropped, dropped);
	a.stop();
	b.stop();
}

/* Guards against bulk messages that wait without a bound, and come stale. */
TEST_F(BulkTest, few_bulk_messages_wait_for_a_connection_and_not_for_long)
{
	Instance a(&loop, 1), b(&loop, 2);
	int port;

	ASSERT_EQ(a.start(), MP_OK);
	ASSERT_EQ(b.start(), MP_OK);
	port = b.port();
	b.stop();
	for (int i = 0; i < 10; i++)
		a.send(2, port, "stale", true);
	EXPECT_EQ(a.counters().dropped, 6u);
	EXPECT_TRUE(run_until(
	    &loop, [] {}, [&] { return a.counters().dropped == 10; }, 4000));
	EXPECT_EQ(a.counters().messages_out, 0u);
	ASSERT_EQ(b.start(port), MP_OK) << b.err.message;
	EXPECT_TRUE(is_delivered(a, b, port, "fresh"));
	EXPECT_EQ(b.in[0].text, "fresh");
	a.send(2, port, "waits", true);
	a.stop(); /* what waits is freed */
	b.stop();
}

/*
 * Guards against a bulk connection that is closed during a transfer, because
 * the answer to a ping behind it comes late: 2.5 MB on a link of 7.5 Mbit/s.
 */
TEST_F(BulkTest, a_bulk_message_passes_a_slow_link)
{
	Instance a(&loop, 1), b(&loop, 2);
	std::string large(2500 * 1000, 'x');
	Forwarder *f;

	ASSERT_EQ(a.start(), MP_OK);
	ASSERT_EQ(b.start(), MP_OK);
	f = new Forwarder(&loop, b.port());
	connect_both(&loop, a, b, f);
	f->slow(9 * 1000);
	a.send(2, f->port, large, true);
	EXPECT_TRUE(run_until(
	    &loop, [&] {}, [&] { return !b.in.empty(); }));
	ASSERT_FALSE(b.in.empty());
	EXPECT_EQ(b.in[0].text, large);
	EXPECT_EQ(f->accepted, 2);
	a.stop();
	b.stop();
	f->close();
	uv_run(&loop, UV_RUN_DEFAULT);
	delete f;
}

/* Guards against a queue of large messages that is bounded in number only. */
TEST_F(BulkTest, few_bulk_messages_are_queued_for_a_peer_that_reads_nothing)
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
