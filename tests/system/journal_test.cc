#include "system/system.h"

/*
 * Guards against journals that do not reproduce the run of an instance, and
 * against damage that replay does not report. Every instance runs with a
 * journal, which mulberryctl then replays.
 */
class Recorded : public System {
      protected:
	void
	SetUp() override
	{
		records_journal = true;
		System::SetUp();
	}
};

TEST_F(Recorded, a_stopped_instance_completes_streams_and_journals_replay_equal)
{
	const int tokens = 60;
	std::string at_owner, elsewhere;
	int owner, other, s, t;

	start_serving(2, {"--step-ms", "30"});
	owner = owner_of("e1");
	ASSERT_GE(owner, 0);
	other = (owner + 1) % instance_count;
	s = begin_stream(owner, tokens, "a1", &at_owner);
	t = begin_stream(other, tokens, "a1", &elsewhere);
	instances[owner]->send_signal(SIGTERM);
	EXPECT_TRUE(
	    contains(call(other, "POST /v1/services/orders/book", "{}", "k1"),
		"\"ran\":1"));
	at_owner += read_answer(s);
	elsewhere += read_answer(t);
	close(s);
	close(t);
	EXPECT_TRUE(is_complete_stream(at_owner, tokens));
	EXPECT_TRUE(is_complete_stream(elsewhere, tokens));
	EXPECT_EQ(instances[owner]->wait_exit(), 0) << instances[owner]->output;
	EXPECT_EQ(call(other, completion_line,
		      R"({"model":"a1","prompt":"x","max_tokens":1})")
		      .find("HTTP/1.1 200"),
	    0u);
	/*
	 * The stop took longer than the flush interval of a journal, so that
	 * the journals are flushed. The other instances are killed.
	 */
	for (int i = 0; i < instance_count; i++)
		kill_instance(i);
	for (int i = 0; i < instance_count; i++) {
		Process replay(
		    {"replay", journal_file(i)}, false, MP_MULBERRYCTL);

		EXPECT_EQ(replay.wait_exit(), 0) << replay.output;
		EXPECT_TRUE(contains(replay.output, "equal: "))
		    << replay.output;
		EXPECT_TRUE(contains(replay.output, "t1 1")) << replay.output;
	}
	{
		std::fstream f(journal_file(2),
		    std::ios::in | std::ios::out | std::ios::binary);

		f.seekp(20000);
		f.put('\x55');
		f.put('\xaa');
	}
	Process damaged({"replay", journal_file(2)}, false, MP_MULBERRYCTL);
	EXPECT_EQ(damaged.wait_exit(), 1) << damaged.output;
	EXPECT_TRUE(contains(damaged.output, "damaged at byte"))
	    << damaged.output;
}
