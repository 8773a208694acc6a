#include "sched_fixture.h"

class SchedPath : public SchedTest {};

TEST_F(SchedPath, UnknownPolicyIsRefused)
{
	sched_options options = {};
	struct sched *none;
	mp_error err;

	options.policy = "wise";
	EXPECT_EQ(MP_ERR_NOT_FOUND, sched_create(&none, &options, &err));
	EXPECT_EQ(MP_LAYER_SCHED, err.layer);
	EXPECT_EQ(nullptr, none);
}

TEST_F(SchedPath, EveryPolicyLoadsGrantsAndFinishes)
{
	for (const char *policy :
	    {"fair", "fifo", "least-loaded", "round-robin"}) {
		SCOPED_TRACE(policy);
		Create(policy, SETTINGS_LOAD_STALL, SETTINGS_CHARGE_TOKENS);
		Engine("e1");
		Ask(1, "t", "t/a@1");
		EXPECT_EQ("L:t/a@1@e1", Short());
		EXPECT_EQ("", Short());
		now += 250000;
		sched_load_result(s, now, "e1", "t/a@1", true);
		std::vector<Decision> d = Run();
		ASSERT_EQ(1u, d.size());
		EXPECT_EQ(SCHED_GRANT, d[0].type);
		EXPECT_EQ(250000u, d[0].wait_us);
		EXPECT_EQ(250000u, d[0].stall_us);
		EXPECT_FALSE(sched_is_idle(s));
		Done(1);
		EXPECT_TRUE(sched_is_idle(s));
		EXPECT_EQ("", Short());
		EXPECT_EQ(UINT64_MAX, sched_next_run_us(s));
	}
}

TEST_F(SchedPath, LoadedAdapterIsGrantedAtOnceUpToTheSeats)
{
	Engine("e1", {"t/a@1"}, 4, 2);
	Ask(1, "t", "t/a@1");
	Ask(2, "t", "t/a@1");
	Ask(3, "t", "t/a@1");
	EXPECT_EQ("G1@e1 G2@e1", Short());
	Done(2);
	EXPECT_EQ("G3@e1", Short());
}

TEST_F(SchedPath, ServiceCallsNeedNoLoad)
{
	Service("s1", 1);
	Ask(1, "t", nullptr);
	Ask(2, "t", nullptr);
	EXPECT_EQ("G1@s1", Short());
	Done(1);
	EXPECT_EQ("G2@s1", Short());
	ASSERT_EQ(1u, sched_service_count(s));
	EXPECT_STREQ("orders", sched_service_at(s, 0));
}

TEST_F(SchedPath, NothingFitsGoesElsewhere)
{
	sched_request r = Request(2, "t", "t/a@1");

	Ask(1, "t", nullptr);
	EXPECT_EQ("X1", Short());
	Engine("e1", {"t/a@1"});
	r.avoid[0] = "e1";
	r.navoid = 1;
	sched_enqueue(s, now, &r);
	r = Request(3, "t", "t/b@1");
	r.base_model = "other";
	sched_enqueue(s, now, &r);
	EXPECT_EQ("X3 X2", Short());
	Ask(4, "t", "t/c@1");
	EXPECT_EQ("L:t/c@1@e1", Short());
	sched_endpoint_remove(s, now, "e1");
	EXPECT_EQ("X4", Short());
	EXPECT_TRUE(sched_is_idle(s));
}

TEST_F(SchedPath, WithoutTheRightToOrderOnlyRefusalsAreMade)
{
	Engine("e1", {"t/a@1"});
	Ask(1, "t", "t/a@1");
	Ask(2, "t", "t/b@1", now);
	EXPECT_EQ("R2:deadline", Short(false));
	EXPECT_EQ("G1@e1", Short(true));
}
