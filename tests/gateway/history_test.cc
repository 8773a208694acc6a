/*
 * Many large changes of the configuration: what instances retain of them, and
 * how the bodies are carried between instances.
 */

#include "gateway_sim.h"

extern "C" {
#include "node/node_gate.h"
}

static const uint64_t kLargeBytes = 370 * 1000;

/* A configuration whose text has so many bytes. */
static std::string
large_text(int version, size_t bytes)
{
	std::string text = config_text(version);

	text.pop_back();
	text += ",\"pad\":\"";
	text.append(bytes - text.size() - 2, (char)('a' + version % 26));
	return text + "\"}";
}

/* Puts a configuration at the leader; returns whether it was accepted. */
static bool
put(GatewaySim &w, int version, size_t bytes)
{
	std::string text = large_text(version, bytes);

	for (int attempt = 0; attempt < 20; attempt++) {
		if (w.leader() >= 0 &&
		    w.request_and_wait(w.leader(), NODE_LISTEN_CONTROL, "PUT",
			 "/api/configuration", text)
			    .status == 200)
			return true;
		w.run_for_ms(100);
	}
	return false;
}

static void
start_all(GatewaySim &w)
{
	for (int i = 0; i < (int)w.instances.size(); i++)
		w.start(i);
	ASSERT_TRUE(w.run_until([&] { return w.leader() >= 0; }, 20000));
	w.run_for_ms(3000);
}

/*
 * Guards against instances that retain whole texts by number, and against
 * snapshots that are packed for every few changes. Of the memory limit of 256
 * MB, 100 MB may be used by the process; the reducer is given 40 MB of them.
 */
TEST(History, memory_stays_flat_while_large_changes_arrive)
{
	const int changes = 620;
	const int64_t most = 40 << 20;
	GatewaySim w(3, 1);

	start_all(w);
	w.counts_memory = true;
	for (int version = 1; version <= changes; version++) {
		ASSERT_TRUE(put(w, version, kLargeBytes)) << version;
		for (auto &m : w.instances)
			ASSERT_LE(m->held_bytes_max, most)
			    << m->ip << " after " << version;
	}
	w.run_for_ms(8000);
	for (auto &m : w.instances) {
		const struct node *n = m->node;

		EXPECT_EQ(n->gate->config->version, (uint64_t)changes) << m->ip;
		EXPECT_LE(m->held_bytes, 24 << 20) << m->ip;
		EXPECT_LE(n->counters.snapshots, (uint64_t)changes / 10);
		printf("%s: %.1f MB, at most %.1f MB, %llu snapshots\n",
		    m->ip.c_str(), (double)m->held_bytes / 1e6,
		    (double)m->held_bytes_max / 1e6,
		    (unsigned long long)n->counters.snapshots);
	}
}

/*
 * Guards against a proposal that is appended to the log again and again while
 * its entry waits for the disks.
 */
TEST(History, a_slow_commit_appends_a_change_once)
{
	GatewaySim w(3, 1);
	int l;
	uint64_t last;

	start_all(w);
	ASSERT_TRUE(put(w, 1, 1000));
	l = w.leader();
	last = raft_get_last_index(w.instances[(size_t)l]->node->raft);
	for (int i = 0; i < 3; i++)
		w.disk_sync_us[i] = 1500 * MS;
	EXPECT_EQ(w.request_and_wait(l, NODE_LISTEN_CONTROL, "PUT",
		       "/api/configuration", large_text(2, kLargeBytes), 6000)
		      .status,
	    200);
	EXPECT_EQ(w.leader(), l);
	EXPECT_LE(
	    raft_get_last_index(w.instances[(size_t)l]->node->raft), last + 1);
}

/*
 * Guards against relayed bodies that pile up while the leader does not answer:
 * a call beyond the bound is refused at once, and a later one is relayed again.
 */
TEST(History, relayed_bodies_are_bounded)
{
	struct {
		size_t bytes;
		int relayed; /* of ten calls */
	} cases[] = {{kLargeBytes, 10}, {900 * 1000, 4}, {2500 * 1000, 1},
	    {6000 * 1000, 1}};

	for (auto &t : cases) {
		GatewaySim w(3, 1);
		std::vector<uint64_t> calls;
		int l, other, refused = 0;

		start_all(w);
		l = w.leader();
		other = l == 0 ? 1 : 0;
		w.is_lost = [&](int from, int to, const std::string &bytes) {
			return from == other && to == l && bytes.size() > 72000;
		};
		for (int i = 0; i < 10; i++)
			calls.push_back(w.send_request(other,
			    NODE_LISTEN_CONTROL, "PUT", "/api/configuration",
			    large_text(i + 1, t.bytes)));
		for (uint64_t call : calls)
			refused += w.replies[call].status == 503;
		EXPECT_EQ(10 - refused, t.relayed) << t.bytes;
		w.run_for_ms(8000);
		EXPECT_EQ(
		    w.instances[(size_t)other]->node->gate->relayed_bytes, 0u);
		w.is_lost = nullptr;
		EXPECT_EQ(w.request_and_wait(other, NODE_LISTEN_CONTROL, "PUT",
			       "/api/configuration", large_text(20, t.bytes))
			      .status,
		    200)
		    << t.bytes;
	}
}

/*
 * Guards against heartbeats, leases and votes that wait behind large bodies: on
 * links of 25 Mbit/s the text below takes 0.8 s, longer than an election waits.
 * An entry that starts late gets the state over the same links.
 */
TEST(History, large_changes_on_slow_links_cost_no_leader_and_no_lease)
{
	GatewaySim w(3, 3);
	std::vector<int> standing;
	uint64_t term;
	int l;

	for (int i = 0; i < 5; i++)
		w.start(i);
	ASSERT_TRUE(w.run_until([&] { return w.leader() >= 0; }, 20000));
	w.run_for_ms(5000);
	l = w.leader();
	term = raft_get_term(w.instances[(size_t)l]->node->raft);
	for (int i = 0; i < 5; i++)
		standing.push_back(
		    w.instances[(size_t)i]->event_counts["standing-changed"]);
	w.link_byte_us = 0.32;
	for (int version = 1; version <= 8; version++) {
		/* at another core, which relays it */
		int at = version % 2 == 0 ? l : (l + 1) % 3;

		EXPECT_EQ(w.request_and_wait(at, NODE_LISTEN_CONTROL, "PUT",
			       "/api/configuration",
			       large_text(version, 2500 * 1000), 10000)
			      .status,
		    200)
		    << version;
		if (version == 4)
			w.start(5);
	}
	EXPECT_TRUE(w.run_until(
	    [&] {
		    for (auto &m : w.instances)
			    if (m->node->gate->config == nullptr ||
				m->node->gate->config->version != 8)
				    return false;
		    return true;
	    },
	    20000));
	EXPECT_EQ(w.leader(), l);
	EXPECT_EQ(raft_get_term(w.instances[(size_t)l]->node->raft), term);
	for (size_t i = 0; i < 5; i++)
		EXPECT_EQ(w.instances[i]->event_counts["standing-changed"],
		    standing[i])
		    << i;
}
