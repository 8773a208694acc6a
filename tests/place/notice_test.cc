#include "place/place_guard.h"
#include "place_fixture.h"

/*
 * Endpoints that say in a response that they are leaving, or that they want no
 * request of an entry for a while.
 */
class PlaceNotice : public PlaceTest {
      protected:
	static const uint64_t kEntry = 7, kOtherEntry = 8;

	void
	Record(const char *endpoint, bool is_leaving, uint32_t backoff_ms,
	    uint64_t born = 1, uint64_t entry = kEntry)
	{
		place_notice notice = {
		    endpoint, born, is_leaving, backoff_ms, false};

		place_record_notice(p, now, entry, &notice);
	}

	bool
	MaySend(
	    const char *endpoint, uint64_t born = 1, uint64_t entry = kEntry)
	{
		place_notice notice;

		return place_may_send(p, now, entry, endpoint, born, &notice);
	}

	uint64_t
	AskPlainFrom(uint64_t entry)
	{
		place_request r = {};

		r.id = {entry, ++last_ask};
		r.kind = GW_NON_IDEMPOTENT;
		r.service = "app";
		r.deadline_us = now + 4000 * MS;
		r.target_us = now + 300 * MS;
		place_ask(p, now, &r);
		return last_ask;
	}

	/* The endpoints that are granted to eight calls of an entry. */
	std::map<std::string, int>
	GrantedTo(uint64_t entry)
	{
		std::map<std::string, int> granted;
		std::vector<uint64_t> asks;

		for (int i = 0; i < 8; i++)
			asks.push_back(AskPlainFrom(entry));
		Run();
		for (auto ask : asks) {
			auto *d = DecisionOn(ask);
			place_result end = {};

			if (d != nullptr && d->type == PLACE_GRANT)
				granted[d->endpoint]++;
			end.outcome = PLACE_SERVED;
			place_done(p, now, {entry, ask}, &end);
		}
		return granted;
	}
};

/* Each row: a notice of e1, then whether it may be sent a request. */
TEST_F(PlaceNotice, a_notice_holds_for_its_process_entry_and_time)
{
	static const struct {
		const char *what;
		bool is_leaving;
		uint32_t backoff_ms;
		uint64_t notice_born, born, entry, after_ms;
		bool may_send;
	} rows[] = {
	    {"leaving", true, 0, 5, 5, kEntry, 60000, false},
	    {"leaving, other entry", true, 0, 5, 5, kOtherEntry, 0, false},
	    {"leaving, next process", true, 0, 5, 6, kEntry, 0, true},
	    {"backoff", false, 2000, 5, 5, kEntry, 1999, false},
	    {"backoff ended", false, 2000, 5, 5, kEntry, 2000, true},
	    {"backoff, other entry", false, 2000, 5, 5, kOtherEntry, 0, true},
	    {"backoff, next process", false, 2000, 5, 6, kEntry, 0, true},
	    {"bounded", false, UINT32_MAX, 5, 5, kEntry,
		PLACE_BACKOFF_MAX_MS - 1, false},
	    {"bounded, ended", false, UINT32_MAX, 5, 5, kEntry,
		PLACE_BACKOFF_MAX_MS, true},
	};

	for (auto &row : rows) {
		place_destroy(p);
		p = place_create(&options);
		Record("e1", row.is_leaving, row.backoff_ms, row.notice_born);
		now += row.after_ms * MS;
		EXPECT_EQ(MaySend("e1", row.born, row.entry), row.may_send)
		    << row.what;
		EXPECT_TRUE(MaySend("e2", row.born, row.entry)) << row.what;
	}
}

TEST_F(PlaceNotice, a_shorter_or_late_notice_does_not_end_a_backoff)
{
	Record("e1", false, 3000, 5);
	Record("e1", false, 100, 5);
	Record("e1", false, 100, 4);
	now += 2900 * MS;
	EXPECT_FALSE(MaySend("e1", 5));
	now += 100 * MS;
	EXPECT_TRUE(MaySend("e1", 5));
}

TEST_F(PlaceNotice, only_the_entry_that_was_told_is_granted_others)
{
	Apps(2);
	Record("a1", false, 2000);
	EXPECT_EQ(GrantedTo(kEntry).count("a1"), 0u);
	EXPECT_EQ(GrantedTo(kOtherEntry).count("a1"), 1u);
	now += 2000 * MS;
	EXPECT_EQ(GrantedTo(kEntry).count("a1"), 1u) << "the time has passed";
}

TEST_F(PlaceNotice, a_leaving_endpoint_is_granted_to_no_entry)
{
	Apps(2);
	Record("a1", true, 0);
	EXPECT_EQ(GrantedTo(kEntry).count("a1"), 0u);
	EXPECT_EQ(GrantedTo(kOtherEntry).count("a1"), 0u);
	Apps(2);
	EXPECT_EQ(GrantedTo(kEntry).count("a1"), 0u)
	    << "its announcements say that it is ready";
	Engine next = {"a1"};
	next.service = "app";
	next.slots = 6;
	next.address = "10.0.1.1:80";
	next.born = 2;
	Announce(next);
	EXPECT_EQ(GrantedTo(kEntry).count("a1"), 1u) << "a new process";
}

/* Engines are chosen by another search than plain endpoints. */
TEST_F(PlaceNotice, an_engine_that_backs_off_is_not_granted)
{
	Engines(2);
	Record("e1", false, 2000);
	for (int i = 0; i < 6; i++) {
		uint64_t ask = Ask("");

		Run();
		ASSERT_NE(DecisionOn(ask), nullptr);
		ASSERT_EQ(DecisionOn(ask)->type, PLACE_GRANT);
		EXPECT_STREQ(DecisionOn(ask)->endpoint, "e2");
	}
}

/* Guards against a call that is held though nobody will take it in time. */
TEST_F(PlaceNotice, a_call_that_no_endpoint_will_take_is_refused_at_once)
{
	uint64_t ask;

	Apps(2);
	Record("a1", false, 5000);
	Record("a2", false, 8000);
	ask = AskPlain();
	Run();
	ASSERT_NE(DecisionOn(ask), nullptr);
	EXPECT_EQ(DecisionOn(ask)->type, PLACE_REFUSE);
	EXPECT_STREQ(DecisionOn(ask)->reason, "endpoints-back-off");
	EXPECT_GE(DecisionOn(ask)->retry_after_ms, 5000u);
	EXPECT_LE(DecisionOn(ask)->retry_after_ms, 5001u);
}

/* Guards against a queued call that is not tried when a backoff ends. */
TEST_F(PlaceNotice, a_queued_call_is_granted_when_the_backoff_ends)
{
	uint64_t ask;

	Apps(1);
	Record("a1", false, 1000);
	ask = AskPlain();
	Run();
	EXPECT_EQ(DecisionOn(ask), nullptr);
	EXPECT_LE(place_next_run_us(p), now + 1000 * MS);
	now += 1000 * MS;
	Run();
	ASSERT_NE(DecisionOn(ask), nullptr);
	EXPECT_EQ(DecisionOn(ask)->type, PLACE_GRANT);
}

TEST_F(PlaceNotice, a_call_that_failed_at_all_endpoints_is_refused_at_once)
{
	place_request r = {};

	Apps(2);
	r.id = {kEntry, ++last_ask};
	r.kind = GW_IDEMPOTENT;
	r.service = "app";
	r.deadline_us = now + 4000 * MS;
	r.target_us = now + 300 * MS;
	r.attempt = 2;
	r.avoid[r.navoid++] = "a1";
	r.avoid[r.navoid++] = "a2";
	place_ask(p, now, &r);
	Run();
	ASSERT_NE(DecisionOn(last_ask), nullptr);
	EXPECT_EQ(DecisionOn(last_ask)->type, PLACE_REFUSE);
	EXPECT_STREQ(DecisionOn(last_ask)->reason, "all-endpoints-failed");
}

/* Guards against state that grows with processes of entries that are gone. */
TEST_F(PlaceNotice, the_backoffs_of_an_entry_end_with_it)
{
	Record("e1", false, 60000);
	Record("e1", false, 60000, 1, kOtherEntry);
	place_drop_entry(p, now, kEntry);
	EXPECT_TRUE(MaySend("e1"));
	EXPECT_FALSE(MaySend("e1", 1, kOtherEntry));
}

/*
 * Guards against a grant that is used although the endpoint's own announcement,
 * which reached the entry with the table, says that it leaves.
 */
TEST_F(PlaceNotice, an_endpoint_that_announces_its_leave_is_sent_nothing)
{
	Engine e = {"a1"};

	Apps(1);
	EXPECT_TRUE(MaySend("a1"));
	e.service = "app";
	e.slots = 6;
	e.address = "10.0.1.1:80";
	e.leaving = true;
	Announce(e);
	EXPECT_FALSE(MaySend("a1"));
	EXPECT_TRUE(MaySend("a1", 2)) << "a new process";
}
