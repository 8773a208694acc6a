#include <gtest/gtest.h>

#include "node/node_fixture.h"
#include "node/node_guard.h"

/*
 * 27 instances without the log form a tree of fan-out 4 below a voter. The root
 * of the tree dies; a change must still reach all others.
 */
TEST(relay, a_change_reaches_all_members_despite_a_dead_relay)
{
	ClusterOptions options = with_seed(32);
	options.instances = 30;
	Cluster c(options);
	ASSERT_TRUE(c.begin());
	ASSERT_TRUE(c.run_until(60000000, [&] {
		return member_view_count(c.instances[0]->node->view) == 30;
	}));
	struct {
		int instance;
		uint32_t parent;
	} cases[] = {{0, 0}, {2, 0}, {3, 0}, {4, 4}, {7, 4}, {8, 5}, {29, 10}};

	for (auto &t : cases)
		EXPECT_EQ(
		    node_follow_parent(c.instances[(size_t)t.instance]->node),
		    t.parent)
		    << t.instance;
	c.run_for(2000000);
	c.kill(3);
	Request *put =
	    c.put_document(9, "t1", 1, "x", Cluster::document("t1", 1));
	ASSERT_TRUE(c.wait(put));
	EXPECT_EQ(put->status, 200);
	uint64_t index =
	    doc_table_find(c.instances[0]->node->book, "t1")->index;
	EXPECT_TRUE(c.run_until(3000000, [&] {
		for (auto &in : c.instances)
			if (in->alive && in->node->applied < index)
				return false;
		return true;
	}));
	EXPECT_EQ(c.check(), "");
}

/* The number of members in the leader's answer; -1: it sends none. */
static int
answered(Cluster &c, int leader, Wire__RenewBatch &batch)
{
	struct node_effects *fx = node_effects_create();
	struct node *n = c.instances[(size_t)leader]->node;
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	struct node_event ev = {};
	std::string bytes;
	int count = -1;

	envelope.version = NODE_WIRE_VERSION;
	envelope.body_case = WIRE__ENVELOPE__BODY_RENEWS;
	envelope.renews = &batch;
	bytes.resize(wire__envelope__get_packed_size(&envelope));
	wire__envelope__pack(&envelope, (uint8_t *)&bytes[0]);
	ev.type = NODE_EV_MESSAGE;
	ev.u.message.from = 4;
	ev.u.message.bytes = {bytes.data(), bytes.size()};
	node_step(n, n->now, &ev, fx);
	for (size_t i = 0; i < node_effects_count(fx); i++) {
		const struct node_effect *effect = node_effects_at(fx, i);
		const struct node_bytes *sent = &effect->u.send.bytes;

		if (effect->type != NODE_FX_SEND)
			continue;
		Wire__Envelope *e = wire__envelope__unpack(
		    nullptr, sent->len, (const uint8_t *)sent->data);
		if (e->body_case == WIRE__ENVELOPE__BODY_LEASES)
			count = (int)e->leases->n_permit_in_flight;
		wire__envelope__free_unpacked(e, nullptr);
	}
	node_effects_destroy(fx);
	return count;
}

/*
 * The leader must reject a batch with a process or member it does not know; it
 * would otherwise grant a lease to a process that has not renewed.
 */
TEST(relay, renewals_count_only_for_the_processes_that_sent_them)
{
	ClusterOptions options = with_seed(34);
	options.large = true;
	options.instances = 7;
	Cluster c(options);
	ASSERT_TRUE(c.begin());
	c.run_for(3000000);
	EXPECT_GT(c.instances[3]->node->relay.last_number, 0u);
	int leader = c.leader();
	ASSERT_GE(leader, 0);
	const struct node *n = c.instances[(size_t)leader]->node;
	uint64_t times[] = {1000000000000, 1000000000000};

	for (int round = 0; round < 2; round++) {
		struct {
			uint32_t ids[2];
			size_t nids, ntimes;
			uint64_t add;
			int answered;
		} cases[] = {{{5, 6}, 2, 2, 0, 2}, {{5, 6}, 2, 1, 0, -1},
		    {{5, 99}, 2, 2, 0, -1},
		    {{5, 6}, 2, 2, 1, round == 0 ? -1 : 2}};

		node_guards.relay_process = round == 0;
		for (auto &t : cases) {
			Wire__RenewBatch batch = WIRE__RENEW_BATCH__INIT;

			batch.applied = n->applied;
			batch.epoch = member_view_epoch(n->view);
			batch.ids = t.ids;
			batch.n_ids = t.nids;
			batch.sent_us = times;
			batch.n_sent_us = t.ntimes;
			batch.incarnations = t.add;
			for (size_t i = 0; i < t.nids; i++)
				if (t.ids[i] < 8)
					batch.incarnations +=
					    c.instances[t.ids[i] - 1]
						->node->incarnation;
			times[0]++;
			times[1]++;
			EXPECT_EQ(answered(c, leader, batch), t.answered)
			    << t.ids[1] << " " << t.add << " " << round;
		}
	}
	node_guards.relay_process = true;
}

/* The follower receives from all voters, but one receives nothing from it. */
TEST(follow, a_source_that_does_not_answer_is_replaced)
{
	for (int unreachable = 0; unreachable < 3; unreachable++) {
		Cluster c(with_seed(11));
		ASSERT_TRUE(c.begin());
		struct node *follower = c.instances[4]->node;

		c.cut(4, unreachable, true);
		c.run_for(3000000);
		Request *put =
		    c.put_document(0, "t1", 1, "x", Cluster::document("t1", 1));
		ASSERT_TRUE(c.wait(put));
		EXPECT_TRUE(c.run_until(5000000, [&] {
			return doc_table_find(follower->book, "t1")->revision ==
			    2;
		})) << unreachable;
	}
}
