#include "sched_sim.h"

#include <algorithm>

namespace {

/* The store: starts loads one after the other within the permits. */
class LoadQueue {
      public:
	explicit LoadQueue(const SimOptions &o) : o_(o)
	{
	}

	/* Starts a load as soon as the permits allow. Returns its end. */
	uint64_t
	LoadEnd(uint64_t now)
	{
		uint64_t start = std::max(now, next_start_us_);

		if (ends_us_.size() >= o_.store_in_flight) {
			start = std::max(start, ends_us_.top());
			ends_us_.pop();
		}
		next_start_us_ =
		    start + 1000 * kSimSecondUs / o_.store_rate_milli;
		ends_us_.push(start + o_.load_ms * 1000);
		return start + o_.load_ms * 1000;
	}

      private:
	const SimOptions &o_;
	uint64_t next_start_us_ = 0; /* by the permitted rate */
	std::priority_queue<uint64_t, std::vector<uint64_t>,
	    std::greater<uint64_t>>
	    ends_us_;
};

} /* namespace */

/* The adapter whose next use is latest is evicted. */
void
SimOptimalEviction(
    const SimOptions &o, const std::vector<SimCall> &trace, SimResult *r)
{
	std::map<std::string, std::vector<uint64_t>> uses;
	std::map<std::string, uint64_t> ready;
	LoadQueue store(o);

	for (const SimCall &a : trace)
		uses[a.adapter].push_back(a.at_us);
	for (const SimCall &a : trace) {
		auto next = [&](const std::string &key) {
			std::vector<uint64_t> &u = uses[key];
			auto at = std::lower_bound(u.begin(), u.end(), a.at_us);

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
			ready[a.adapter] = store.LoadEnd(a.at_us);
			r->optimal_loads += a.counted;
		}
		if (a.counted && ready[a.adapter] > a.at_us)
			r->optimal_stall_s +=
			    (double)(std::min(ready[a.adapter], a.deadline_us) -
				a.at_us) /
			    kSimSecondUs;
	}
}
