#include "fleet.h"

/*
 * What owners of shards tell each other of accounts. Requests have no account
 * here, so that all belong to the default one, whose name is empty.
 */

static const uint64_t kObjectiveUs = 800 * MS;

/* The reports between instances. */
struct Reports {
	std::map<std::pair<int, int>, int> by_link;
	std::map<int, size_t> accounts; /* received, by instance */
	std::map<std::pair<int, int>, uint64_t> totals;
	bool is_lost = false;

	bool
	Watch(int from, int to, const std::string &bytes)
	{
		Wire__Envelope *e = wire__envelope__unpack(
		    nullptr, bytes.size(), (const uint8_t *)bytes.data());
		bool is_report =
		    e->body_case == WIRE__ENVELOPE__BODY_ACCOUNT_CHARGES;

		if (is_report) {
			const Wire__AccountCharges *c = e->account_charges;

			by_link[{from, to}]++;
			accounts[to] += c->n_charges;
			EXPECT_EQ(c->n_charges, 1u);
			EXPECT_GT(
			    c->charges[0]->charge_milli, (totals[{from, to}]))
			    << "only what has changed is told";
			totals[{from, to}] = c->charges[0]->charge_milli;
		}
		wire__envelope__free_unpacked(e, nullptr);
		return is_report && is_lost;
	}
};

/*
 * Guards against owners that report their charges less or more often than twice
 * a second, and against fewer requests in time when all reports are lost.
 */
TEST(Fair, owners_report_charges_twice_a_second)
{
	double in_time[2];

	for (bool lost : {false, true}) {
		SCOPED_TRACE(lost);
		Fleet::Options options;
		const int seconds = 5;
		uint64_t from_us;
		Reports reports;

		options.model_requests_per_s = 300;
		Fleet fleet(options);
		ASSERT_TRUE(fleet.bring_up());
		fleet.run_traffic(2000);
		reports.is_lost = lost;
		fleet.sim.is_lost = [&](int from, int to,
					const std::string &bytes) {
			return reports.Watch(from, to, bytes);
		};
		from_us = fleet.sim.now_us;
		fleet.run_traffic(seconds * 1000);
		EXPECT_GE(reports.by_link.size(), 12u);
		for (auto &r : reports.by_link) {
			EXPECT_GE(r.second, 2 * seconds - 2);
			EXPECT_LE(r.second, 2 * seconds + 1);
		}
		for (auto &r : reports.accounts)
			EXPECT_LE(r.second, 320u * seconds);
		in_time[lost] = fleet.fraction_in_time(
		    from_us, fleet.sim.now_us - kObjectiveUs, kObjectiveUs);
	}
	EXPECT_GE(in_time[true], in_time[false] - 0.05);
}
