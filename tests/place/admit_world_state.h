#ifndef MP_TESTS_ADMIT_WORLD_STATE_H
#define MP_TESTS_ADMIT_WORLD_STATE_H

#include <deque>

#include "admit_world.h"

/* What the simulation of admit_world.cc keeps of calls, engines and orders. */

struct Call {
	int account, kind, owner;
	uint64_t id, first_asked_ms, asked_ms;
	bool returned;
	uint32_t sendings;
	double size;
	std::string adapter;
	/* at its engine */
	uint32_t urgency = 0;
	double left_tokens = 0;
	bool has_first = false;
	uint64_t ends_ms = 0;
	std::string engine;
};

struct SimEngine {
	std::string id;
	int owner;
	std::vector<uint64_t> unread; /* ids, prompts to be processed */
	std::map<std::string, uint32_t> adapters; /* ready at, in ms */
	std::deque<std::string> unloaded; /* lately */
	uint64_t orders = 0; /* accepted */
};

/* An order, or a request for a report, on its way to an engine. */
struct Order {
	uint32_t at_ms;
	int owner;
	std::string endpoint, adapter;
	bool is_report, unload;
	uint64_t expected;
};

#endif
