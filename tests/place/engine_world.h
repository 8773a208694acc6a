#ifndef MP_TESTS_ENGINE_WORLD_H
#define MP_TESTS_ENGINE_WORLD_H

#include <cstdint>
#include <vector>

/*
 * Simulated engines around one placer: speeds that differ and change, adapter
 * slots, loads from a store, and a cache of prompt parts in the memory that
 * running requests leave. Used to measure the placement by cached prompts and
 * the loads of adapters.
 */

struct EngineLoad {
	uint32_t engines = 12;
	double per_s = 3.55; /* model requests per engine */
	double wave = 0, wave_ms = 17000; /* part by which the rate varies */
	uint32_t clump = 1; /* requests that arrive together */
	double tokens_per_ms = 19;
	std::vector<double> work_time = {1}; /* of the engines, in turn */
	double pace_max = 1; /* work time in 15% of the time */
	uint32_t kv_tokens = 60000;
	uint32_t adapters = 2000, adapter_slots = 5;
	double zipf = 1.2;
	double with_adapter = 0.8, with_parts = 0.5; /* of the requests */
	uint32_t documents = 60; /* that prompts share, by model or adapter */
	uint32_t document_tokens = 1000;
	double load_ms = 250, store_max = 5;
	uint32_t ms = 30000, measure_from_ms = 0;
	bool cache = true; /* placing considers cached prompt parts */
	bool prefetch = false; /* load adapters ahead of requests */
	uint64_t seed = 1;
};

struct EngineResult {
	uint32_t asked = 0, served = 0, timely = 0, refused = 0, repeats = 0;
	double first_ms = 0, first_p50 = 0, first_p99 = 0; /* of the served */
	double tokens_read = 0; /* by engines */
	double found = 0, expected = 0; /* tokens cached */
	/* requests placed for a cached part that waited longer for it than it
	 * saves, in relation to the shortest queue; and how much longer */
	uint32_t for_cached = 0, queued_longer = 0;
	double queued_longer_ms = 0;
	uint32_t loads = 0; /* from the store */
	uint32_t prefetches = 0, prefetches_used = 0; /* in all */
	uint32_t most_loads = 0; /* from the store at one time */
	uint32_t waited_for_load = 0; /* requests */
	double load_wait_ms = 0; /* of all of them */
	double busy = 0; /* part of the time, of all engines */
};

EngineResult RunEngines(const EngineLoad &load);

#endif
