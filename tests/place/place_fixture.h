#ifndef MP_TESTS_PLACE_FIXTURE_H
#define MP_TESTS_PLACE_FIXTURE_H

#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <map>
#include <string>
#include <vector>

#include "place/place.h"
#include "util/mem.h"

#define MS 1000ULL

/* A placer with a service of engines, "lm", and a plain service, "app". */
class PlaceTest : public ::testing::Test {
      protected:
	uint64_t now = 1000000000;
	place *p = nullptr;
	gw_config config = {};
	gw_service services[2] = {};
	gw_service *service_list[2] = {&services[0], &services[1]};
	gw_model model = {};
	place_options options = {
	    200, 50, 10000, 5000, 1100, 8, 250, 1200, false};
	node_effects *memory = node_effects_create();
	std::map<std::string, uint64_t> sequences;
	std::vector<place_decision> decisions;
	std::vector<std::string> texts;
	uint64_t last_ask = 0;

	void
	SetUp() override
	{
		if (memory == nullptr)
			memory = node_effects_create();
		model.name = (char *)"m";
		model.weights_kb = 60000000;
		model.store_load_ms = 2000;
		model.disk_load_ms = 1000;
		services[0].name = (char *)"lm";
		services[0].has_engine = true;
		services[0].engine.seats = 64;
		services[0].engine.kv_tokens = 100000;
		services[0].engine.adapter_slots = 5;
		services[0].engine.has_memory = true;
		services[0].engine.memory_kb = 66000000;
		services[0].engine.loads_per_s_milli = 4800;
		services[0].engine.models = &model;
		services[0].engine.nmodels = 1;
		services[1].name = (char *)"app";
		config.version = 1;
		config.services = service_list;
		config.nservices = 2;
		p = place_create(&options);
		place_configure(p, &config);
	}

	void
	TearDown() override
	{
		place_destroy(p);
		p = nullptr;
		node_effects_destroy(memory);
		memory = nullptr;
	}

	struct Engine {
		std::string id, address = "";
		uint64_t born = 1, sequence = 0;
		bool leaving = false, weights = true, copy = false;
		std::string service = "lm";
		uint32_t slots = 64;
	};

	place_announce_result
	Announce(const Engine &e, std::vector<gw_loaded_model> loaded = {})
	{
		gw_announcement a = {};
		std::string address = e.address.empty()
		    ? "10.0.0." + e.id.substr(1) + ":80"
		    : e.address;

		if (e.weights && e.service == "lm")
			loaded.insert(loaded.begin(), {"m", nullptr, 1});
		a.id = e.id.c_str();
		a.service = e.service.c_str();
		a.address = address.c_str();
		a.data_centre = "z";
		a.born_ms = e.born;
		a.sequence = e.sequence != 0 ? e.sequence : ++sequences[e.id];
		a.slots = e.slots;
		a.leaving = e.leaving;
		a.has_models = true;
		a.loaded = loaded.data();
		a.nloaded = loaded.size();
		gw_weights_copy copy = {"m", false};

		a.copies = &copy;
		a.ncopies = e.copy ? 1 : 0;
		return place_announce(p, now, &a, true);
	}

	void
	Engines(int n)
	{
		for (int i = 1; i <= n; i++)
			Announce({"e" + std::to_string(i)});
	}

	void
	Apps(int n)
	{
		for (int i = 1; i <= n; i++) {
			Engine e = {"a" + std::to_string(i)};

			e.service = "app";
			e.slots = 6;
			e.address = "10.0.1." + std::to_string(i) + ":80";
			Announce(e);
		}
	}

	/*
	 * Ask for a model request; adapter "": the model itself. begun: when
	 * the caller sent it; 0: now.
	 */
	uint64_t
	Ask(const std::string &adapter, uint32_t tokens = 2000,
	    uint32_t attempt = 0, const char *avoid = nullptr,
	    uint64_t begun = 0, const char *model_name = "m")
	{
		place_request r = {};

		r.id = {7, ++last_ask};
		r.kind = GW_STREAM;
		r.service = "lm";
		r.model = model_name;
		r.adapter = adapter.empty() ? nullptr : adapter.c_str();
		r.prompt_tokens = tokens;
		r.max_tokens = 80;
		r.deadline_us = (begun == 0 ? now : begun) + 4000 * MS;
		r.target_us = (begun == 0 ? now : begun) + 800 * MS;
		r.attempt = attempt;
		if (avoid != nullptr)
			r.avoid[r.navoid++] = avoid;
		place_ask(p, now, &r);
		return last_ask;
	}

	/* Ask for a call of the plain service. */
	uint64_t
	AskPlain(uint32_t attempt = 0)
	{
		place_request r = {};

		r.id = {7, ++last_ask};
		r.kind = GW_NON_IDEMPOTENT;
		r.service = "app";
		r.deadline_us = now + 4000 * MS;
		r.target_us = now + 300 * MS;
		r.attempt = attempt;
		place_ask(p, now, &r);
		return last_ask;
	}

	/* Run once and append the decisions, with copies of their strings. */
	void
	Run(bool may_order = true)
	{
		place_decision d;

		place_run(p, now, may_order);
		while (place_pop_decision(p, &d)) {
			if (d.endpoint != nullptr)
				d.endpoint = node_effects_printf(
				    memory, "%s", d.endpoint);
			if (d.type == PLACE_ORDER) {
				d.order.model = node_effects_printf(
				    memory, "%s", d.order.model);
				if (d.order.adapter != nullptr)
					d.order.adapter = node_effects_printf(
					    memory, "%s", d.order.adapter);
			}
			decisions.push_back(d);
		}
	}

	/* The grant or refusal of a request; NULL: it is still queued. */
	const place_decision *
	DecisionOn(uint64_t ask) const
	{
		for (auto &d : decisions)
			if ((d.type == PLACE_GRANT || d.type == PLACE_REFUSE) &&
			    d.id.ask == ask)
				return &d;
		return nullptr;
	}

	void
	Done(uint64_t ask, place_outcome outcome, uint32_t first_ms = 0)
	{
		place_result end = {};

		end.outcome = outcome;
		end.first_ms = first_ms;
		place_done(p, now, {7, ask}, &end);
	}
};

/*
 * Simulated engines that carry out the placer's orders. Each has loaded and
 * loading adapters and a count of accepted orders, and crashes when it gets
 * more adapters than it has slots.
 */
class Fleet {
      public:
	struct Engine {
		std::map<std::string, uint64_t> adapters; /* ready at */
		uint64_t orders = 0;
		uint64_t weights_ready_at = 0; /* when its weights are ready */
		bool crashed = false;
	};
	std::map<std::string, Engine> engines;
	int loads = 0, max_concurrent_loads = 0;
	/* loads that the store serves at full speed, more take longer in
	 * proportion; 0: any number */
	int store_max = 0;

	gw_order_result
	Execute(uint64_t now, const gw_order &o, const char *endpoint)
	{
		Engine &e = engines[endpoint];

		if (o.has_expected && o.expected_orders != e.orders)
			return GW_ORDER_BUSY;
		e.orders++;
		if (o.adapter == nullptr) {
			e.weights_ready_at = now + 2000 * MS;
			return GW_ORDER_STARTED;
		}
		if (o.type == GW_ORDER_UNLOAD) {
			e.adapters.erase(o.adapter);
			return GW_ORDER_DONE;
		}
		int ahead = LoadsInProgress(now) + 1;

		e.adapters[o.adapter] = now +
		    250 * MS *
			(store_max == 0
				? 1.0
				: std::max(1.0, (double)ahead / store_max));
		e.crashed |= e.adapters.size() > 5;
		loads++;
		max_concurrent_loads =
		    std::max(max_concurrent_loads, LoadsInProgress(now));
		return GW_ORDER_STARTED;
	}

	int
	LoadsInProgress(uint64_t now) const
	{
		int n = 0;

		for (auto &e : engines)
			for (auto &a : e.second.adapters)
				n += a.second > now;
		return n;
	}

	bool
	Holds(const std::string &engine, const std::string &adapter,
	    uint64_t now) const
	{
		auto e = engines.find(engine);

		return e != engines.end() &&
		    e->second.adapters.count(adapter) > 0 &&
		    e->second.adapters.at(adapter) <= now;
	}
};

#endif
