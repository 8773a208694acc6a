#include "prove/workload.h"

#include <cstring>

/* Intervals in virtual time: of each kind of request and of the checks. */
static const uint64_t kCompletionUs = 60000;
static const uint64_t kBookingUs = 250000;
static const uint64_t kChangeUs = 700000;
static const uint64_t kCheckUs = 50000;
/* The load and the end condition are evaluated once per slice. */
static const uint64_t kSliceUs = 1000;
/* Time in which the owners must learn of all cached prefixes. */
static const uint64_t kCacheSettleUs = 10000000;

int
Workload::pick_instance()
{
	return (int)rng_below(&c.rng, (uint32_t)c.instances.size());
}

/*
 * Resends unconfirmed bookings with the same key, each to an instance picked
 * at random. A booking without an answer is resent after 12 s.
 */
void
Workload::resend_bookings()
{
	std::vector<Request *> unconfirmed;

	for (Request *r : unconfirmed_bookings) {
		if (!r->done && c.now < r->sent_us + 12000000) {
			unconfirmed.push_back(r);
			continue;
		}
		if (r->status == 200 ||
		    r->answer.find("outcome-unknown") != std::string::npos)
			continue;
		unconfirmed.push_back(c.book(pick_instance(), r->key));
	}
	unconfirmed_bookings = unconfirmed;
	/* A repeated key must not run again, confirmed or not. */
	if (serial > 0)
		(void)c.book(pick_instance(),
		    "b" +
			std::to_string(
			    1 + rng_below(&c.rng, (uint32_t)serial)));
}

/* Returns the revision in an answer, 0 if it has none. */
static uint64_t
revision_of(const Request *r)
{
	size_t at = r->answer.find("\"revision\": ");

	return at == std::string::npos
	    ? 0
	    : strtoull(r->answer.c_str() + at + 12, nullptr, 10);
}

/* Resends any earlier change, as an operator does that lost its answer. */
void
Workload::resend_any_change()
{
	std::vector<Request *> changes;

	for (auto &r : c.requests)
		if (r->method == "PUT")
			changes.push_back(r.get());
	if (changes.empty())
		return;
	Request *old = changes[rng_below(&c.rng, (uint32_t)changes.size())];
	(void)c.send(pick_instance(), "PUT", old->path, "op", old->body);
}

/*
 * Sends two concurrent changes that replace the same revision, once both
 * earlier ones are answered or have timed out after 8 s.
 */
void
Workload::send_changes()
{
	for (Request *r : concurrent_changes) {
		if (r == nullptr)
			continue;
		if (!r->done && c.now < r->sent_us + 8000000)
			return;
		uint64_t answered = revision_of(r);
		if (answered > revision)
			revision = answered;
		/* The answer may be lost: resend half of such changes. */
		if (r->status != 200 && r->status != 409 &&
		    rng_below(&c.rng, 2) == 0)
			(void)c.send(
			    pick_instance(), "PUT", r->path, "op", r->body);
	}
	resend_any_change();
	serial++;
	for (int k = 0; k < 2; k++)
		concurrent_changes[k] =
		    c.put_document(pick_instance(), "t1", revision,
			"c" + std::to_string(serial) + "-" + std::to_string(k),
			Cluster::document("t1", serial * 2 + k));
	last_change = concurrent_changes[0];
	if (rng_below(&c.rng, 2) == 0) /* a concurrent duplicate */
		(void)c.send(pick_instance(), "PUT", last_change->path, "op",
		    last_change->body);
}

void
Workload::send_due_requests()
{
	if (c.now >= next_completion) {
		next_completion = c.now + kCompletionUs;
		last_completion = c.complete(pick_instance(),
		    "a" +
			std::to_string(rng_below(
			    &c.rng, rng_below(&c.rng, 3) == 0 ? 24 : 4)),
		    rng_below(&c.rng, 2) == 0, 4 + (int)rng_below(&c.rng, 8));
	}
	if (sends_bookings && c.now >= next_booking) {
		next_booking = c.now + kBookingUs;
		last_booking =
		    c.book(pick_instance(), "b" + std::to_string(++serial));
		unconfirmed_bookings.push_back(last_booking);
		resend_bookings();
	}
	if (sends_changes && c.now >= next_change) {
		next_change = c.now + kChangeUs;
		send_changes();
	}
}

void
Workload::run(uint64_t us, const std::function<bool()> &until)
{
	uint64_t end = c.now + us;

	while (c.now < end && violation.empty() && !until()) {
		send_due_requests();
		c.run_for(kSliceUs);
		if (c.now >= next_check) {
			next_check = c.now + kCheckUs;
			violation = c.check();
		}
	}
}

/* Prints the state of all instances to stderr if CLUSTER_LOG is set. */
void
Workload::print_status()
{
	struct buf out = {};

	if (getenv("CLUSTER_LOG") == nullptr)
		return;
	for (auto &in : c.instances) {
		if (!in->alive)
			continue;
		node_report_status(in->node, &out);
		sched_endpoints_to_json(in->node->sched, &out);
		fprintf(stderr, "%s\n", out.data);
		buf_clear(&out);
	}
	buf_free(&out);
}

std::string
Workload::check_recovery()
{
	Request *r;

	if (!violation.empty())
		return violation;
	if (!c.wait_ready(12000000))
		return "not every instance became ready again";
	for (size_t i = 0; i < c.instances.size(); i++) {
		if (!c.instances[i]->alive || c.instances[i]->exited ||
		    c.instances[i]->node->stopping)
			continue;
		r = c.complete((int)i, "a1");
		bool done = c.wait(r);
		if (!done || r->status != 200)
			print_status();
		if (!done || r->status != 200)
			return "no completion at instance " +
			    std::to_string(i + 1) + ": " + r->answer;
		r = c.book((int)i, "settle" + std::to_string(i));
		if (!c.wait(r) || r->status != 200)
			return "no booking at instance " +
			    std::to_string(i + 1) + ": " + r->answer;
	}
	if (!c.run_until(
		kCacheSettleUs, [this] { return c.check_caches().empty(); }))
		return c.check_caches();
	return c.check();
}
