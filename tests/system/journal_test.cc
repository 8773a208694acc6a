#include "system/system.h"

/* Runs of processes, recorded, are stepped through by mulberryctl. */
class Recorded : public System {
      protected:
	void
	SetUp() override
	{
		record = true;
		System::SetUp();
	}
};

TEST_F(Recorded, each_instance_replays_equal_and_a_changed_one_is_noticed)
{
	const int tokens = 10;
	std::string answer;
	int s;

	serve(2, {});
	s = begin_stream(4, tokens, "a2", &answer);
	answer += read_answer(s);
	close(s);
	EXPECT_TRUE(is_whole(answer, tokens));
	EXPECT_TRUE(has(
	    call(3, "POST /v1/services/orders/book", "{}", "k1"), "\"ran\":1"));
	/* one leaves, which takes longer than a journal's flush; the rest die
	 */
	instances[4]->send(SIGTERM);
	EXPECT_EQ(instances[4]->wait_exit(), 0) << instances[4]->text;
	for (int i = 0; i < instance_count; i++)
		crash(i);
	for (int i = 0; i < instance_count; i++) {
		Process replay({"replay", journal(i)}, false, MP_MULBERRYCTL);

		EXPECT_EQ(replay.wait_exit(), 0) << replay.text;
		EXPECT_TRUE(has(replay.text, "equal: ")) << replay.text;
		EXPECT_TRUE(has(replay.text, "t1 1")) << replay.text;
	}
	{
		std::fstream f(journal(2),
		    std::ios::in | std::ios::out | std::ios::binary);

		f.seekp(20000);
		f.put('\x55');
		f.put('\xaa');
	}
	Process damaged({"replay", journal(2)}, false, MP_MULBERRYCTL);
	EXPECT_EQ(damaged.wait_exit(), 1) << damaged.text;
	EXPECT_TRUE(has(damaged.text, "damaged at byte")) << damaged.text;
}
