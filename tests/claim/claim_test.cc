#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "claim/claim.h"
#include "util/rng.h"

/* One change of a table and its expected result. */
struct step {
	enum {
		START,
		END,
		DOWN
	} what;
	const char *key;
	uint64_t proposal; /* for DOWN: the instance */
	uint64_t body;
	enum claim_outcome outcome;
	int want; /* START: verdict; END: took effect; DOWN: count */
	int state; /* of the claim afterwards; -1: no claim */
};

/* Proposal p is of instance p / 100, whose incarnation is 11 times that. */
static struct claim_start
start_of(const char *key, uint64_t proposal, uint64_t body, uint64_t time_ms)
{
	uint32_t instance = (uint32_t)(proposal / 100);

	return {"t", key, body, "orders", "POST /book", instance,
	    instance * 11ULL, proposal, time_ms};
}

static struct claim_end
end_of(const char *key, uint64_t proposal, enum claim_outcome outcome)
{
	uint32_t instance = (uint32_t)(proposal / 100);

	return {"t", key, instance, instance * 11ULL, proposal, outcome, 201,
	    "text/plain", "booked", 6};
}

static std::string
save(const struct claim_table *t)
{
	struct buf out = {};

	claim_save(t, &out);
	std::string s(out.data, out.len);
	buf_free(&out);
	return s;
}

/* Destroys a table and returns one restored from its snapshot. */
static struct claim_table *
save_and_restore(struct claim_table *t)
{
	std::string bytes = save(t);
	struct claim_table *restored_table = claim_table_create();

	EXPECT_EQ(
	    claim_restore(restored_table, bytes.data(), bytes.size(), nullptr),
	    MP_OK);
	EXPECT_EQ(save(restored_table), bytes);
	claim_table_destroy(t);
	return restored_table;
}

/* Runs the steps; if restored, with a snapshot and restore after each. */
static void
run(const std::vector<step> &steps, bool restored)
{
	struct claim_table *t = claim_table_create();
	uint64_t index = 0;

	for (auto &s : steps) {
		const struct claim *c = nullptr;
		int got = 0;
		struct claim_start start =
		    start_of(s.key, s.proposal, s.body, 1000);
		struct claim_end end = end_of(s.key, s.proposal, s.outcome);
		if (s.what == step::START)
			got = claim_apply_start(t, ++index, &start, &c);
		else if (s.what == step::END)
			got = claim_apply_end(t, &end);
		else
			got = (int)claim_apply_down(
			    t, (uint32_t)s.proposal, s.proposal * 11);
		EXPECT_EQ(got, s.want) << &s - steps.data();
		c = claim_find(t, "t", s.key);
		EXPECT_EQ(c == nullptr ? -1 : (int)c->state, s.state)
		    << &s - steps.data();
		if (c != nullptr && c->state == CLAIM_ANSWERED) {
			EXPECT_EQ(
			    std::string(c->answer, c->answer_len), "booked");
		}
		if (restored)
			t = save_and_restore(t);
	}
	claim_table_destroy(t);
}

/*
 * A call that a client repeats must not run twice. Each sequence of changes
 * gives the same results with and without a restore after each change.
 */
TEST(claim, state_transitions)
{
	const auto A = CLAIM_END_ANSWERED, N = CLAIM_END_NOT_RUN,
		   U = CLAIM_END_UNKNOWN;
	const std::vector<std::vector<step>> cases = {
	    /* Repeated calls get the running claim, then the stored answer. */
	    {{step::START, "k", 100, 7, A, CLAIM_GRANTED, CLAIM_RUNNING},
		{step::START, "k", 100, 7, A, CLAIM_GRANTED, CLAIM_RUNNING},
		{step::START, "k", 200, 7, A, CLAIM_DUPLICATE, CLAIM_RUNNING},
		{step::START, "k", 200, 8, A, CLAIM_MISMATCH, CLAIM_RUNNING},
		{step::END, "k", 200, 7, A, 0, CLAIM_RUNNING},
		{step::END, "k", 100, 7, A, 1, CLAIM_ANSWERED},
		{step::END, "k", 100, 7, N, 0, CLAIM_ANSWERED},
		{step::END, "k", 100, 7, A, 0, CLAIM_ANSWERED},
		{step::START, "k", 100, 7, A, CLAIM_DUPLICATE, CLAIM_ANSWERED},
		{step::START, "k", 300, 7, A, CLAIM_DUPLICATE, CLAIM_ANSWERED}},
	    /*
	     * The end of the process makes the claim unknown; only an
	     * answer that arrives late changes that.
	     */
	    {{step::START, "k", 100, 7, A, CLAIM_GRANTED, CLAIM_RUNNING},
		{step::START, "l", 200, 7, A, CLAIM_GRANTED, CLAIM_RUNNING},
		{step::START, "m", 101, 7, A, CLAIM_GRANTED, CLAIM_RUNNING},
		{step::DOWN, "k", 1, 0, A, 2, CLAIM_STATE_UNKNOWN},
		{step::DOWN, "l", 1, 0, A, 0, CLAIM_RUNNING},
		{step::START, "k", 300, 7, A, CLAIM_DUPLICATE,
		    CLAIM_STATE_UNKNOWN},
		{step::END, "k", 100, 7, N, 0, CLAIM_STATE_UNKNOWN},
		{step::END, "k", 100, 7, U, 0, CLAIM_STATE_UNKNOWN},
		{step::END, "k", 100, 7, A, 1, CLAIM_ANSWERED},
		{step::END, "m", 100, 7, A, 0, CLAIM_STATE_UNKNOWN}},
	    /* A call that certainly did not run frees its key. */
	    {{step::START, "k", 100, 7, A, CLAIM_GRANTED, CLAIM_RUNNING},
		{step::END, "k", 100, 7, N, 1, -1},
		{step::END, "k", 100, 7, A, 0, -1},
		{step::START, "k", 200, 8, A, CLAIM_GRANTED, CLAIM_RUNNING},
		{step::END, "k", 100, 7, A, 0, CLAIM_RUNNING},
		{step::END, "k", 200, 7, U, 1, CLAIM_STATE_UNKNOWN}},
	};

	for (auto &steps : cases) {
		run(steps, false);
		run(steps, true);
	}
}

/* Team "a" with key "bk" and team "ab" with key "k" are two claims. */
TEST(claim, keys_of_teams_are_separate)
{
	struct claim_table *t = claim_table_create();
	struct claim_start a = start_of("bk", 100, 1, 1);
	struct claim_start b = start_of("k", 101, 1, 1);
	const struct claim *c;

	a.team = "a";
	b.team = "ab";
	EXPECT_EQ(claim_apply_start(t, 1, &a, &c), CLAIM_GRANTED);
	EXPECT_EQ(claim_apply_start(t, 2, &b, &c), CLAIM_GRANTED);
	EXPECT_EQ(claim_count(t), 2u);
	claim_table_destroy(t);
}

/*
 * The clocks of two proposers differ by a year. If the time of a start expired
 * claims, stored answers would be lost and repeated calls would run again.
 */
TEST(claim, proposer_clocks_do_not_expire_claims)
{
	struct claim_table *t = claim_table_create();
	const struct claim *c;

	for (uint64_t i = 1; i <= 4000; i++) {
		std::string key = "k" + std::to_string(i);
		struct claim_start s = start_of(key.c_str(), i, 1,
		    i % 2 == 1 ? 1000 : 365 * CLAIM_RETENTION_MS);
		struct claim_end e = end_of(key.c_str(), i, CLAIM_END_ANSWERED);

		claim_apply_start(t, i, &s, &c);
		claim_apply_end(t, &e);
	}
	EXPECT_EQ(claim_count(t), 4000u);
	claim_table_destroy(t);
}

/*
 * Ended claims expire after 24 hours of the leaders' clock, at most 16 at each
 * start; running claims do not expire.
 */
TEST(claim, expiry_is_bounded)
{
	struct claim_table *t = claim_table_create();
	const struct claim *c;
	std::string key;
	uint64_t index = 0, now = 1000000;

	for (int i = 0; i < 40; i++) {
		key = "k" + std::to_string(i);
		struct claim_start s = start_of(key.c_str(), 100 + i, 1, now);
		struct claim_end e =
		    end_of(key.c_str(), 100 + i, CLAIM_END_ANSWERED);
		claim_apply_start(t, ++index, &s, &c);
		claim_apply_end(t, &e);
	}
	struct claim_start running = start_of("running", 900, 1, now);
	claim_apply_start(t, ++index, &running, &c);
	EXPECT_EQ(claim_count(t), 41u);
	for (int i = 0; i < 24 * 60; i++) {
		size_t before = claim_count(t);
		claim_apply_clock(t, 60 * 1000);
		struct claim_start s = start_of("running", 900, 1, now);
		EXPECT_EQ(claim_apply_start(t, ++index, &s, &c), CLAIM_GRANTED);
		EXPECT_LE(before - claim_count(t), 16u);
	}
	EXPECT_EQ(claim_count(t), 41u);
	for (int i = 0; i < 3; i++) {
		claim_apply_clock(t, 60 * 1000);
		struct claim_start s = start_of("running", 900, 1, now);
		claim_apply_start(t, ++index, &s, &c);
		t = save_and_restore(t);
	}
	EXPECT_EQ(claim_count(t), 1u) << "running claims never expire";
	claim_table_destroy(t);
}

/* The list filters by state and team, and escapes keys as JSON. */
TEST(claim, list_filters)
{
	struct claim_table *t = claim_table_create();
	struct claim_start a = start_of("a", 100, 1, 5);
	struct claim_start b = start_of("b\"", 200, 1, 6);
	struct buf out = {};
	const struct claim *c;

	claim_apply_start(t, 1, &a, &c);
	claim_apply_start(t, 2, &b, &c);
	claim_apply_down(t, 2, 22);
	claim_list(t, nullptr, true, &out);
	EXPECT_STREQ(out.data,
	    "[{\"team\":\"t\",\"key\":\"b\\\"\",\"state\":\"unknown\","
	    "\"service\":\"orders\",\"call\":\"POST /book\",\"instance\":2,"
	    "\"index\":2,\"timeMs\":6}]");
	buf_clear(&out);
	claim_list(t, "u", false, &out);
	EXPECT_STREQ(out.data, "[]");
	buf_free(&out);
	claim_table_destroy(t);
}

/* A snapshot with a wrong byte is rejected and leaves the table empty. */
TEST(claim, corrupt_snapshots_leave_the_table_empty)
{
	struct claim_table *t = claim_table_create();
	struct claim_start a = start_of("a", 100, 1, 5);
	const struct claim *c;
	struct mp_error err = {};

	claim_apply_start(t, 1, &a, &c);
	std::string bytes = save(t);
	for (size_t i = 0; i < bytes.size(); i++) {
		std::string bad = bytes;
		bad[i] ^= 1;
		EXPECT_EQ(claim_restore(t, bad.data(), bad.size(), &err),
		    MP_ERR_CORRUPT);
		EXPECT_EQ(err.layer, MP_LAYER_CLAIM);
		EXPECT_EQ(claim_count(t), 0u);
	}
	claim_table_destroy(t);
}
