#include <gtest/gtest.h>

#include <vector>

#include "guard_off.h"
#include "quarantine/quarantine_evidence.h"
#include "quarantine/quarantine_guard.h"

static const uint64_t kMs = 1000, kSecond = 1000 * kMs;
/* Prompt parts: of a caller, which sound requests share; and a fatal one. */
static const uint64_t kCaller = 11, kFatal = 22, kOther = 33;

/* Evidence and the quarantine; the test acts as the entries and the log. */
class Evidence : public ::testing::Test {
      protected:
	quarantine *q = quarantine_create();
	quarantine_evidence *e = quarantine_evidence_create();
	uint64_t now_us = 1000 * kSecond;
	uint64_t last_process = 0;
	std::vector<uint64_t> inquired, blamed;

	static void
	SetUpTestSuite()
	{
		(void)guard_off(
		    {{"quarantine.refuse", &quarantine_guards.refuse},
			{"quarantine.served", &quarantine_guards.served},
			{"quarantine.separate", &quarantine_guards.separate},
			{"quarantine.explain", &quarantine_guards.explain}});
	}

	void
	TearDown() override
	{
		quarantine_evidence_destroy(e);
		quarantine_destroy(q);
	}

	/* A process ends that has begun a request with these parts, in order.
	 */
	void
	End(const std::vector<uint64_t> &parts, uint64_t process = 0)
	{
		std::vector<quarantine_suspect> suspects;
		quarantine_end end = {};

		for (uint32_t i = 0; i < parts.size(); i++)
			suspects.push_back({parts[i], i});
		end.process = process == 0 ? ++last_process : process;
		end.at_us = now_us;
		end.suspects = suspects.data();
		end.nsuspects = suspects.size();
		quarantine_evidence_add_end(e, q, &end);
	}

	/* The same several times, apart from each other. */
	void
	EndSeveral(int count, const std::vector<uint64_t> &parts)
	{
		for (int i = 0; i < count; i++) {
			End(parts);
			now_us += kSecond;
		}
	}

	/* Takes the findings, and puts a verdict into force. */
	void
	Run()
	{
		quarantine_finding finding;

		while (quarantine_evidence_next(e, q, now_us, &finding)) {
			if (finding.type == QUARANTINE_INQUIRE) {
				inquired.push_back(finding.hash);
				continue;
			}
			quarantine_update update = {finding.hash,
			    QUARANTINE_START, finding.ends,
			    finding.last_end_us};

			blamed.push_back(finding.hash);
			(void)quarantine_apply(q, now_us, &update);
			quarantine_evidence_explain(e, finding.hash);
		}
	}

	/* Findings now, and those after the answers to inquiries. */
	void
	RunWithoutAnswers()
	{
		Run();
		now_us += kSecond;
		Run();
	}
};

TEST_F(Evidence, several_ends_one_after_the_other_blame_a_part)
{
	EndSeveral(2, {kFatal});
	RunWithoutAnswers();
	EXPECT_TRUE(blamed.empty()) << "two are not enough";
	EndSeveral(1, {kFatal});
	Run();
	EXPECT_EQ(inquired, std::vector<uint64_t>{kFatal});
	EXPECT_TRUE(blamed.empty()) << "the entries are asked first";
	now_us += kSecond;
	Run();
	EXPECT_EQ(blamed, std::vector<uint64_t>{kFatal});
	EXPECT_TRUE(quarantine_is_active(q, kFatal));
}

TEST_F(Evidence, reports_of_one_end_are_merged)
{
	for (int i = 0; i < 5; i++) {
		End({kFatal}, 7);
		now_us += kSecond;
	}
	RunWithoutAnswers();
	EXPECT_TRUE(inquired.empty());
}

/* Guards against the refusal of sound requests that share a first part. */
TEST_F(Evidence, a_part_that_was_answered_since_is_not_to_blame)
{
	EndSeveral(3, {kCaller, kFatal});
	Run();
	EXPECT_EQ(inquired.size(), 2U);
	quarantine_evidence_add_served(e, kCaller, now_us);
	RunWithoutAnswers();
	EXPECT_EQ(blamed, std::vector<uint64_t>{kFatal});
	EXPECT_FALSE(quarantine_is_active(q, kCaller));
}

TEST_F(Evidence, an_answer_before_the_ends_says_nothing)
{
	quarantine_evidence_add_served(e, kFatal, now_us - kSecond);
	EndSeveral(3, {kFatal});
	Run();
	quarantine_evidence_add_served(e, kFatal, now_us - 100 * kSecond);
	RunWithoutAnswers();
	EXPECT_EQ(blamed, std::vector<uint64_t>{kFatal});
}

/* Guards against a verdict on whatever ran on a rack that lost its power. */
TEST_F(Evidence, processes_that_end_together_count_once)
{
	for (int i = 0; i < 10; i++)
		End({kFatal});
	RunWithoutAnswers();
	EXPECT_TRUE(inquired.empty());
}

TEST_F(Evidence, ends_of_racks_do_not_count_against_a_rare_part)
{
	for (int rack = 0; rack < 6; rack++) {
		End({kOther});
		for (uint64_t i = 1; i < 10; i++)
			End({1000 + 10 * (uint64_t)rack + i});
		now_us += 2 * kSecond;
		Run();
	}
	now_us += kSecond;
	Run();
	EXPECT_TRUE(blamed.empty());
}

/* Guards against a verdict that takes a neighbour of the requests along. */
TEST_F(Evidence, an_end_counts_against_one_part_only)
{
	End({kFatal});
	now_us += kSecond;
	for (int i = 0; i < 3; i++) {
		End({kOther, kFatal});
		now_us += kSecond;
	}
	RunWithoutAnswers();
	now_us += 10 * kSecond;
	Run();
	EXPECT_EQ(blamed, std::vector<uint64_t>{kFatal})
	    << "the other one has the fewer ends, and they are explained";
	End({kOther, kFatal});
	now_us += kSecond;
	End({kOther, kFatal});
	now_us += kSecond;
	End({kOther, kFatal});
	RunWithoutAnswers();
	EXPECT_EQ(blamed.size(), 1U) << "ends under a quarantined part";
}

TEST_F(Evidence, of_equal_evidence_the_latest_part_is_to_blame)
{
	EndSeveral(3, {kCaller, kFatal});
	RunWithoutAnswers();
	EXPECT_EQ(blamed, std::vector<uint64_t>{kFatal});
}

TEST_F(Evidence, several_fatal_parts_are_found_one_after_the_other)
{
	for (int i = 0; i < 4; i++) {
		End({kCaller, kFatal});
		now_us += 400 * kMs;
		End({kCaller, kOther});
		now_us += 400 * kMs;
		quarantine_evidence_add_served(e, kCaller, now_us);
		Run();
	}
	now_us += kSecond;
	Run();
	EXPECT_EQ(blamed.size(), 2U);
	EXPECT_TRUE(quarantine_is_active(q, kFatal));
	EXPECT_TRUE(quarantine_is_active(q, kOther));
}

TEST_F(Evidence, many_ends_at_a_high_rate_are_separated)
{
	for (int i = 0; i < 100; i++) {
		End({kFatal});
		now_us += 20 * kMs;
		Run();
	}
	EXPECT_EQ(blamed, std::vector<uint64_t>{kFatal});
}

TEST_F(Evidence, a_verdict_that_is_not_in_force_is_given_again)
{
	quarantine_finding finding;

	EndSeveral(3, {kFatal});
	Run();
	now_us += kSecond;
	for (int i = 0; i < 2; i++) {
		ASSERT_TRUE(quarantine_evidence_next(e, q, now_us, &finding));
		EXPECT_EQ(finding.type, QUARANTINE_BLAME);
		EXPECT_FALSE(quarantine_evidence_next(e, q, now_us, &finding));
		now_us += 5 * kSecond;
	}
}

TEST_F(Evidence, a_part_that_was_quarantined_before_needs_one_end)
{
	quarantine_update expire = {kFatal, QUARANTINE_EXPIRE, 0, 0};

	EndSeveral(3, {kFatal});
	RunWithoutAnswers();
	ASSERT_TRUE(quarantine_apply(q, now_us, &expire));
	End({kFatal});
	RunWithoutAnswers();
	EXPECT_EQ(blamed.size(), 2U);
	EXPECT_EQ(quarantine_find(q, kFatal)->strikes, 2U);
}

/* Guards against exhaustion of memory by parts that an attacker invents. */
TEST_F(Evidence, the_number_of_parts_is_bounded)
{
	for (uint64_t part = 100; part < 40000; part++) {
		End({part});
		now_us += 10 * kMs;
	}
	EXPECT_LE(quarantine_evidence_count(e), 16384U);
	EXPECT_GE(quarantine_evidence_count(e), 8192U);
}

/*
 * Guards against a part that ends processes and is forgotten among many
 * harmless ones: each end is under thousands of parts that no other is under.
 */
TEST_F(Evidence, a_fatal_part_is_found_among_thousands_of_others)
{
	uint64_t other = 100;

	for (int end = 0; end < 3; end++) {
		std::vector<uint64_t> parts;

		for (int i = 0; i < 8191; i++) {
			if (i == 4000)
				parts.push_back(kFatal);
			parts.push_back(other++);
		}
		End(parts);
		now_us += 1000 * kMs;
	}
	RunWithoutAnswers();
	EXPECT_EQ(blamed, std::vector<uint64_t>{kFatal});
}
