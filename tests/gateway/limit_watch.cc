#include "limit_watch.h"

static const uint64_t kWindowUs = 4000 * MS, kToldUs = 500 * MS;
static const double kOverage = 1.5, kExtra = 5;

LimitWatch::LimitWatch(Fleet &fleet)
    : fleet(fleet), endpoints(fleet.engines.size()),
      counted_from_us(fleet.sim.now_us)
{
	fleet.on_limit_told = [this](const Fleet::Engine &e,
				  const GatewaySim::EndpointCall &call,
				  const std::string &limit) {
		on_told(index_of(e), call.instance, limit);
	};
	fleet.on_request_arrived = [this](const Fleet::Engine &e,
				       const GatewaySim::EndpointCall &call) {
		on_arrived(index_of(e), call.instance);
	};
}

size_t
LimitWatch::index_of(const Fleet::Engine &e) const
{
	return (size_t)(&e - fleet.engines.data());
}

void
LimitWatch::set(size_t i, double per_s)
{
	Endpoint &w = endpoints[i];
	char text[32];

	(void)snprintf(text, sizeof(text), "%g", per_s);
	w.counted.clear();
	/* Who knows a lower limit keeps to a higher one as well. */
	if (per_s < 0 || per_s < w.per_s || w.per_s < 0)
		w.told.clear();
	w.per_s = per_s;
	w.text = per_s < 0 ? "" : text;
	w.process = fleet.engines[i].process;
	fleet.engines[i].limit = w.text;
}

void
LimitWatch::set_plain(size_t count, double per_s)
{
	for (size_t i = 0; i < fleet.engines.size() && count > 0; i++)
		if (fleet.engines[i].is_plain) {
			set(i, per_s);
			count--;
		}
}

void
LimitWatch::set_engines(size_t count, double per_s)
{
	for (size_t i = 0; i < count; i++)
		set(i, per_s);
}

void
LimitWatch::on_told(size_t i, int instance, const std::string &limit)
{
	Endpoint &w = endpoints[i];
	uint64_t generation = fleet.sim.instances[(size_t)instance]->generation;
	auto known = w.told.find(instance);

	if (w.per_s < 0 || limit != w.text ||
	    (known != w.told.end() && known->second.generation == generation))
		return;
	w.told[instance] = {fleet.sim.now_us, generation};
}

void
LimitWatch::on_arrived(size_t i, int instance)
{
	Endpoint &w = endpoints[i];
	auto told = w.told.find(instance);
	uint64_t now = fleet.sim.now_us;
	double over;

	w.arrivals++;
	if (w.per_s < 0 || w.process != fleet.engines[i].process ||
	    told == w.told.end() || now < told->second.us + kToldUs ||
	    told->second.generation !=
		fleet.sim.instances[(size_t)instance]->generation ||
	    !fleet.is_connected(instance))
		return;
	w.counted.push_back(now);
	while (w.counted.front() + kWindowUs < now)
		w.counted.pop_front();
	over = (double)w.counted.size() -
	    (kOverage * w.per_s * (double)kWindowUs / 1e6 + kExtra);
	if (over <= excess)
		return;
	excess = over;
	worst_text = fleet.engines[i].id + " with " + w.text + "/s got " +
	    std::to_string(w.counted.size()) + " in 4 s at " +
	    std::to_string(now);
}

double
LimitWatch::worst_excess() const
{
	return excess;
}

const std::string &
LimitWatch::worst() const
{
	return worst_text;
}

void
LimitWatch::restart_count()
{
	for (auto &w : endpoints)
		w.arrivals = 0;
	counted_from_us = fleet.sim.now_us;
}

double
LimitWatch::arrivals_per_s(size_t i) const
{
	return endpoints[i].arrivals * 1e6 /
	    (double)(fleet.sim.now_us - counted_from_us);
}
