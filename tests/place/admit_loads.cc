#include <cmath>

#include "admit_world.h"

/* The loads that the tests of admission and its bench share. */

std::vector<WorldKind>
WorldKinds()
{
	return {
	    {"urgent", 0.65, 0, 1000, 5000, 1500, 60, false, GW_NON_IDEMPOTENT,
		0.33},
	    {"normal", 0.25, 1, 1500, 15000, 1500, 60, true, GW_IDEMPOTENT,
		0.5},
	    {"low", 0.10, 2, 3000, 15000, 1500, 60, true, GW_STREAM, 0.75},
	};
}

std::vector<WorldAccount>
WorldAccounts(int n, double used, const WorldLoad &load)
{
	double tokens = 0, per_s;

	for (auto &k : load.kinds)
		tokens += k.part * k.prompt_tokens;
	per_s = used * load.engines * kWorldTokensPerMs * 1000 / tokens / n;
	return std::vector<WorldAccount>(
	    (size_t)n, {per_s, (uint64_t)std::ceil(per_s * 1.8), 0, -1});
}

/*
 * 60 engines with 5 slots each, 10,000 adapters of which many are cold, and
 * accounts of which three are large. From second 6 one of these sends 7.5 times
 * its load for 6.5 s, and from second 9 all of them 2.5 times as much of the
 * most urgent kind for 3 s.
 */
WorldLoad
WorldHeaviestDay()
{
	WorldLoad load;
	double parts = 0;

	load.engines = 60;
	load.slots = 64;
	load.adapters = 10000;
	load.kinds = WorldKinds();
	for (auto &k : load.kinds)
		k.prompt_tokens = 2400;
	load.accounts = WorldAccounts(16, 0.47, load);
	for (size_t i = 0; i < 16; i++)
		parts += i < 3 ? 4 : 1;
	for (size_t i = 0; i < 16; i++) {
		load.accounts[i].per_s *= 16 * (i < 3 ? 4 : 1) / parts;
		load.accounts[i].quota =
		    (uint64_t)std::ceil(load.accounts[i].per_s * 1.8);
	}
	load.surges = {{0, -1, 7.5, 6000, 12500}, {-1, 0, 2.5, 9000, 12000}};
	load.count_from_ms = 6000;
	load.count_to_ms = 16000;
	return load;
}
