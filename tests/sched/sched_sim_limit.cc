#include "sched_sim.h"

#include <algorithm>

namespace {

/* Loads one after the other within the permits. */
class Store {
      public:
	explicit Store(const SimOptions &o) : o_(o)
	{
	}

	/* When a load is done that is asked for now, within the permits. */
	uint64_t
	Ready(uint64_t now)
	{
		uint64_t start = std::max(now, at_);

		if (ends_.size() >= o_.store_in_flight) {
			start = std::max(start, ends_.top());
			ends_.pop();
		}
		at_ = start + 1000 * kSimSecond / o_.store_rate_milli;
		ends_.push(start + o_.load_ms * 1000);
		return start + o_.load_ms * 1000;
	}

      private:
	const SimOptions &o_;
	uint64_t at_ = 0; /* when the next load may start */
	std::priority_queue<uint64_t, std::vector<uint64_t>,
	    std::greater<uint64_t>>
	    ends_;
};

} /* namespace */

/* What is needed again latest is evicted. */
void
SimLimit(const SimOptions &o, const std::vector<SimCall> &trace, SimResult *r)
{
	std::map<std::string, std::vector<uint64_t>> uses;
	std::map<std::string, uint64_t> ready;
	Store store(o);

	for (const SimCall &a : trace)
		uses[a.adapter].push_back(a.at);
	for (const SimCall &a : trace) {
		auto next = [&](const std::string &key) {
			std::vector<uint64_t> &u = uses[key];
			auto at = std::lower_bound(u.begin(), u.end(), a.at);

			return at == u.end() ? UINT64_MAX : *at;
		};

		if (ready.count(a.adapter) == 0) {
			if (ready.size() >= o.engines * o.slots)
				ready.erase(
				    std::max_element(ready.begin(), ready.end(),
					[&](const auto &x, const auto &y) {
						return next(x.first) <
						    next(y.first);
					}));
			ready[a.adapter] = store.Ready(a.at);
			r->limit_loads += a.counted;
		}
		if (a.counted && ready[a.adapter] > a.at)
			r->limit_stall_s +=
			    (double)(std::min(ready[a.adapter], a.deadline) -
				a.at) /
			    kSimSecond;
	}
}
