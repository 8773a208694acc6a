#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "fair/fair.h"
#include "guard_off.h"
#include "util/rng.h"

/* Shares between accounts that all have requests waiting, or return. */
class Fair : public ::testing::Test {
      protected:
	struct fair_guards guards = {true, true, true};
	fair_options options = {4.0, &guards, nullptr};
	fair *f = nullptr;

	void
	SetUp() override
	{
		guard_off(
		    {{"fair.bound", &guards.bound}, {"fair.lift", &guards.lift},
			{"fair.remote", &guards.remote}});
		f = fair_create(&options);
	}

	void
	TearDown() override
	{
		fair_destroy(f);
	}

	fair_account *
	Account(int i, double weight = 1)
	{
		fair_account *a =
		    fair_get(f, ("t" + std::to_string(i)).c_str());

		a->weight = weight;
		return a;
	}

	void
	Queue(fair_account *a, int n = 1)
	{
		for (; n > 0; n--) {
			fair_activate(f, a);
			fair_start_backlog(f, a);
			a->queued++;
		}
	}

	/* Serve one request of an account, which ends at once. */
	void
	Serve(fair_account *a, double charge)
	{
		fair_update_gap(f);
		a->queued--;
		fair_charge(f, a, charge);
		fair_settle(f, a, charge, charge);
		fair_note_idle(f, a);
	}

	/* Serve the account with the least counter. */
	fair_account *
	ServeLeast(double charge)
	{
		fair_account *best = nullptr;

		for (uint32_t i = 0; i < fair_active_count(f); i++) {
			fair_account *a = fair_active_at(f, i);

			if (a->queued > 0 &&
			    (best == nullptr || a->counter < best->counter))
				best = a;
		}
		Serve(best, charge);
		return best;
	}

	fair_gap
	Gap() const
	{
		fair_gap gap;

		fair_get_gap(f, &gap);
		return gap;
	}

	/*
	 * A seeded run: requests arrive at random and the server prefers a
	 * random account as far as the rules allow it.
	 */
	void
	RandomRun(uint64_t seed)
	{
		struct rng rng;

		rng_seed(&rng, seed);
		for (int step = 0; step < 3000; step++) {
			fair_account *a = Account((int)rng_below(&rng, 8), 1.0);

			a->weight = 0.5 + (double)(a->name[1] - '0');
			Queue(a, (int)rng_below(&rng, 3));
			ServeAny(&rng);
		}
	}

	void
	ServeAny(struct rng *rng)
	{
		std::vector<fair_account *> waiting, allowed;
		double least = 0;

		for (uint32_t i = 0; i < fair_active_count(f); i++)
			if (fair_active_at(f, i)->queued > 0)
				waiting.push_back(fair_active_at(f, i));
		if (waiting.empty())
			return;
		least = waiting[0]->counter;
		for (auto *a : waiting)
			least = std::min(least, a->counter);
		for (auto *a : waiting)
			if (fair_may_go_first(f, a, least))
				allowed.push_back(a);
		/* the last one is preferred by affinity, say */
		Serve(rng_below(rng, 4) > 0
			? allowed.back()
			: allowed[rng_below(rng, (uint32_t)allowed.size())],
		    50 + (double)rng_below(rng, 200));
	}
};

/* Guards against shares that don't follow the weights. */
TEST_F(Fair, service_follows_the_weights)
{
	struct {
		double weights[3];
	} cases[] = {{{1, 1, 1}}, {{1, 2, 5}}, {{0.05, 1, 1}}};

	for (auto &c : cases) {
		double sum = 0, served[3] = {};

		TearDown();
		SetUp();
		for (int i = 0; i < 3; i++) {
			Queue(Account(i, c.weights[i]), 5000);
			sum += c.weights[i];
		}
		for (int n = 0; n < 4000; n++)
			served[ServeLeast(100)->name[1] - '0']++;
		for (int i = 0; i < 3; i++)
			EXPECT_NEAR(served[i] / 4000, c.weights[i] / sum, 0.01);
	}
}

/* Guards against an idle account that collects credit and then takes all. */
TEST_F(Fair, an_idle_account_keeps_no_credit)
{
	int served = 0;

	Queue(Account(0), 1000);
	Queue(Account(1), 1);
	for (int n = 0; n < 500; n++)
		ServeLeast(100);
	Queue(Account(1), 100);
	for (int n = 0; n < 20; n++)
		served += ServeLeast(100) == Account(1);
	EXPECT_LE(served, 11);
	EXPECT_GE(served, 9);
}

/* Guards against a gap in service beyond what is reported as its bound. */
TEST_F(Fair, the_gap_stays_within_its_bound)
{
	for (uint64_t seed = 1; seed <= 40; seed++) {
		TearDown();
		SetUp();
		RandomRun(seed);
		EXPECT_GT(Gap().largest_milli, 0u) << "seed " << seed;
		EXPECT_LE(Gap().largest_milli, Gap().bound_milli)
		    << "seed " << seed;
	}
}

/* Guards against a checker of the gap that can't fail. */
TEST_F(Fair, without_the_bound_the_gap_exceeds_it)
{
	guards.bound = false;
	RandomRun(1);
	EXPECT_GT(Gap().largest_milli, Gap().bound_milli);
}

/* Guards against charges of requests that didn't run, or that count twice. */
TEST_F(Fair, a_charge_is_replaced_by_the_final_one)
{
	struct {
		double provisional, final;
	} cases[] = {{100, 100}, {100, 250}, {100, 0}, {0, 40}};

	for (auto &c : cases) {
		fair_account *a = Account(0, 2);
		double counter = a->counter;
		uint64_t total = a->charge_milli;

		fair_charge(f, a, c.provisional);
		EXPECT_DOUBLE_EQ(a->counter - counter, c.provisional / 2);
		EXPECT_DOUBLE_EQ(a->provisional, c.provisional);
		fair_settle(f, a, c.provisional, c.final);
		EXPECT_DOUBLE_EQ(a->counter - counter, c.final / 2);
		EXPECT_EQ(a->charge_milli - total, (uint64_t)(c.final * 1000));
		EXPECT_DOUBLE_EQ(a->provisional, 0);
	}
}

/* Guards against an owner whose reports lock an account out of this one. */
TEST_F(Fair, remote_charges_count_within_bounds)
{
	fair_account *a = Account(0), *b = Account(1);
	double bound;

	Queue(a, 100);
	Queue(b, 100);
	ServeLeast(100);
	ServeLeast(100);
	bound = fair_bound(f);
	fair_set_remote_charge(f, 2, 7, a, 5000000);
	EXPECT_DOUBLE_EQ(a->counter, 100) << "the first total is a base";
	fair_set_remote_charge(f, 2, 7, a, 5200000);
	EXPECT_DOUBLE_EQ(a->counter, 300);
	fair_set_remote_charge(f, 2, 7, a, 5200000);
	EXPECT_DOUBLE_EQ(a->counter, 300) << "a repeated report";
	fair_set_remote_charge(f, 2, 8, a, 9900000);
	EXPECT_DOUBLE_EQ(a->counter, 300) << "a new process";
	fair_set_remote_charge(f, 2, 8, a, 900000);
	EXPECT_DOUBLE_EQ(a->counter, 300) << "an account that was forgotten";
	fair_set_remote_charge(f, 2, 8, a, 90000000000);
	EXPECT_LE(a->counter, b->counter + 8 * bound);
}

/* Guards against memory that grows with each account that ever was. */
TEST_F(Fair, idle_accounts_are_forgotten)
{
	fair_account *busy = Account(0), *idle = Account(1);

	Queue(busy);
	Queue(idle);
	fair_touch(idle, 1000);
	Serve(idle, 10);
	fair_sweep(f, 1000 + FAIR_IDLE_US - 1);
	EXPECT_EQ(fair_count(f), 2u);
	fair_sweep(f, 1000 + FAIR_IDLE_US);
	EXPECT_EQ(fair_count(f), 1u);
	EXPECT_EQ(fair_find(f, "t1"), nullptr);
	EXPECT_EQ(fair_active_count(f), 1u);
}
