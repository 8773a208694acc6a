#include <cstdlib>
#include <random>

#include "gateway_sim.h"

/*
 * Cores lose their disks one after another, each some time after the one
 * before is back, while changes of the configuration are always in progress.
 *
 * The leader must replace the voter of a lost disk within that time, whatever
 * the load of the log: with three cores the next loss would otherwise take the
 * majority for good. So what is checked at each loss is the membership of the
 * log, and at the end that the newest acknowledged configuration is read back.
 */
class DiskLoss {
      public:
	/* Time after a return within which the core is a voter again. */
	static const uint64_t kCatchUpMs = 4000;
	static const uint64_t kDownMs = 500;
	/* Until another process is connected to a new one for bulk messages. */
	static const uint64_t kReconnectMs = 800;
	static const int kChangesInProgress = 8;
	static const uint64_t kChangeGapMs = 60;
	/* An operator waits so long for an answer, and after a refusal. */
	static const uint64_t kAnswerMs = 3000, kRetryMs = 200;

	explicit DiskLoss(unsigned seed, int cores = 3);

	void start();
	/*
	 * Takes the disk of a core, or of two of five at once; they come back
	 * with empty ones. Some losses are right after an acknowledgement.
	 */
	void lose_disks();
	/* Some of the returns are followed by a loss of all power. */
	void lose_power_maybe();
	/* Lets the time pass after which another disk may be lost. */
	void catch_up();
	/* The leader's set of voters is that of the disks in use. */
	void expect_all_vote(const char *when);
	void read_back();
	int read_version(int core);

	GatewaySim sim;
	std::mt19937_64 random;
	std::vector<std::string> violations;

      private:
	/* One change, sent again until it is answered. */
	struct Change {
		int version;
		std::string text;
		uint64_t request; /* under way; 0: none */
		uint64_t due_us; /* when it is sent again */
	};

	unsigned seed;
	int cores;
	int nroutes;
	double whole_share; /* of changes of all routes */
	double loss_share; /* of messages */
	std::map<int, uint64_t> started_us; /* after the loss of its disk */
	int next_version = 1000, acknowledged = 0;
	std::vector<Change> changes;
	bool sends_changes = true;

	uint64_t
	below(uint64_t n)
	{
		return random() % n;
	}
	bool
	chance(double p)
	{
		return (double)below(1000000) < p * 1e6;
	}
	std::string text(int version, bool is_whole);
	int choose_core();
	void wait_for_acknowledgement();
	bool is_lost(int to, size_t bytes);
	void send(Change &c);
	bool take_answer(Change &c);
	void drive_changes();
	void fail(const std::string &what);
	std::string describe(int core);
};

DiskLoss::DiskLoss(unsigned seed, int cores)
    : sim(cores, 1), random(seed * 7919u + 1), seed(seed), cores(cores)
{
	static const double link_byte_us[] = {0, 0.1, 0.5, 1};
	static const int route_counts[] = {60, 600, 1500};

	nroutes = route_counts[below(3)];
	whole_share = chance(0.5) ? 0 : 0.5;
	sim.link_byte_us = link_byte_us[below(4)];
	sim.core_event_us = below(4) * 300;
	for (int a = 0; a <= cores; a++) {
		if (a < cores)
			sim.disk_sync_us[a] = (1 + below(60)) * MS;
		for (int b = 0; b < a; b++) {
			uint64_t us = 100 + below(20000);

			sim.link_delays_us[{a, b}] = us;
			sim.link_delays_us[{b, a}] = us;
		}
	}
	if (getenv("WORLD_LOG") != nullptr)
		fprintf(stderr,
		    "seed %u: %d routes, whole %.1f, %.1f us a byte, "
		    "%llu us an event\n",
		    seed, nroutes, whole_share, sim.link_byte_us,
		    (unsigned long long)sim.core_event_us);
	loss_share = chance(0.5) ? 0.01 : 0;
	sim.is_lost = [this](int, int to, const std::string &bytes) {
		return is_lost(to, bytes.size());
	};
}

/*
 * Some messages are lost, and bulk messages to a process that has just started,
 * as long as their connection is not there again.
 */
bool
DiskLoss::is_lost(int to, size_t bytes)
{
	bool is_bulk = bytes > NODE_BULK_BYTES;

	if (is_bulk && sim.now_us < started_us[to] + kReconnectMs * MS)
		return true;
	return chance(loss_share);
}

void
DiskLoss::fail(const std::string &what)
{
	violations.push_back("seed " + std::to_string(seed) + " at " +
	    std::to_string((double)sim.now_us / 1e6) + " s: " + what);
}

/* A configuration; one timeout, or that of each route, is the version's. */
std::string
DiskLoss::text(int version, bool is_whole)
{
	std::string routes;

	for (int i = 0; i < nroutes; i++)
		routes += (i == 0 ? "" : ",") + std::string("{\"name\":\"r") +
		    std::to_string(i) +
		    "\",\"host\":\"h.example\",\"path_prefix\":\"/r" +
		    std::to_string(i) +
		    "/\",\"type\":\"non_idempotent\",\"timeout_ms\":" +
		    std::to_string(is_whole || i == 0 ? version : 2000) +
		    ",\"service\":\"app\"}";
	return "{\"version\":" + std::to_string(version) + ",\"routes\":[" +
	    routes + "],\"services\":[{\"name\":\"app\"}]}";
}

/* Sends a change to a random core; one that is down does not answer. */
void
DiskLoss::send(Change &c)
{
	int core = (int)below((uint64_t)cores);

	c.request = 0;
	c.due_us = sim.now_us + kRetryMs * MS;
	if (!sim.instances[(size_t)core]->alive)
		return;
	c.request = sim.next_request_id();
	c.due_us = sim.now_us + kAnswerMs * MS;
	(void)sim.send_request(
	    core, NODE_LISTEN_CONTROL, "PUT", "/api/configuration", c.text);
}

/* Whether a change has a clear answer; without one it is sent again. */
bool
DiskLoss::take_answer(Change &c)
{
	auto reply = sim.replies.find(c.request);

	if (c.request == 0 || reply == sim.replies.end())
		return false;
	if (reply->second.status < 500) {
		if (reply->second.status == 200)
			acknowledged = std::max(acknowledged, c.version);
		return true;
	}
	c.request = 0;
	c.due_us = sim.now_us + kRetryMs * MS;
	return false;
}

void
DiskLoss::drive_changes()
{
	for (size_t i = changes.size(); i-- > 0;)
		if (take_answer(changes[i]))
			changes.erase(changes.begin() + (long)i);
	for (auto &c : changes)
		if (sim.now_us >= c.due_us)
			send(c);
	if (!sends_changes)
		return;
	if (changes.size() < (size_t)kChangesInProgress) {
		int version = ++next_version;

		changes.push_back(
		    {version, text(version, chance(whole_share)), 0, 0});
		send(changes.back());
	}
	sim.schedule(
	    sim.now_us + kChangeGapMs * MS, [this] { drive_changes(); });
}

void
DiskLoss::start()
{
	for (int i = 0; i <= cores; i++)
		sim.start(i);
	if (!sim.run_until([&] { return sim.leader() >= 0; }, 10000))
		fail("no leader at the start");
	sim.founding_allowed = false;
	drive_changes();
	sim.run_for_ms(10000);
	expect_all_vote("at the start");
}

/* Who leads is taken as often as any other. */
int
DiskLoss::choose_core()
{
	int leader = sim.leader();

	return leader >= 0 && chance(0.5) ? leader
					  : (int)below((uint64_t)cores);
}

void
DiskLoss::wait_for_acknowledgement()
{
	bool is_acknowledged = false;

	sim.on_reply = [&](uint64_t request) {
		is_acknowledged |= sim.replies[request].status == 200;
	};
	(void)sim.run_until([&] { return is_acknowledged; }, 1000);
	sim.on_reply = nullptr;
}

void
DiskLoss::lose_disks()
{
	std::set<int> lost = {choose_core()};

	if (cores == 5 && chance(0.3))
		lost.insert((int)below((uint64_t)cores));
	if (chance(0.5))
		wait_for_acknowledgement();
	for (int core : lost) {
		sim.kill(core);
		sim.wipe_disk(core);
	}
	sim.run_for_ms(kDownMs);
	for (int core : lost) {
		started_us[core] = sim.now_us;
		sim.start(core);
	}
}

void
DiskLoss::lose_power_maybe()
{
	if (!chance(0.15))
		return;
	sim.run_for_ms(below(1500));
	for (int i = 0; i <= cores; i++)
		sim.kill(i);
	sim.run_for_ms(kDownMs);
	for (int i = 0; i <= cores; i++) {
		started_us[i] = sim.now_us;
		sim.start(i);
	}
}

void
DiskLoss::catch_up()
{
	sim.run_for_ms(kCatchUpMs);
}

/* What the logs of the cores have as voters, for a failure's text. */
std::string
DiskLoss::describe(int core)
{
	GatewayInstance &m = *sim.instances[(size_t)core];
	const struct raft_config *config;
	std::string s = " core " + std::to_string(core) + ":";

	if (!m.alive || m.node->raft == nullptr)
		return s + " down";
	config = raft_get_config(m.node->raft);
	for (size_t i = 0; i < config->nvoters; i++)
		s += " v" + std::to_string(config->voters[i] & 255);
	for (size_t i = 0; i < config->nlearners; i++)
		s += " l" + std::to_string(config->learners[i] & 255);
	return s + (raft_get_role(m.node->raft) == RAFT_LEADER ? " leads" : "");
}

void
DiskLoss::expect_all_vote(const char *when)
{
	const struct raft_config *config = nullptr;
	std::string logs;
	bool all = true;

	for (int i = 0; i < cores; i++) {
		GatewayInstance &m = *sim.instances[(size_t)i];

		logs += describe(i);
		if (m.alive && raft_get_role(m.node->raft) == RAFT_LEADER)
			config = raft_get_config(m.node->raft);
	}
	for (int i = 0; config != nullptr && i < cores; i++) {
		bool votes = false;

		for (size_t k = 0; k < config->nvoters; k++)
			votes |= config->voters[k] ==
			    sim.instances[(size_t)i]->node->voter;
		all &= votes;
	}
	if (config == nullptr || !all || config->nvoters != (size_t)cores)
		fail(std::string(when) + ", not all disks vote:" + logs);
}

/* The version that a core tells; an answer may be lost, 0: none comes. */
int
DiskLoss::read_version(int core)
{
	int version = 0;

	for (int n = 0; n < 3 && version == 0; n++) {
		Reply r = sim.request_and_wait(
		    core, NODE_LISTEN_CONTROL, "GET", "/api/configuration");

		if (r.status == 200)
			(void)sscanf(
			    r.body.c_str(), "{\"version\":%d", &version);
	}
	return version;
}

/* With all cores running for a while, each tells what was acknowledged. */
void
DiskLoss::read_back()
{
	int version;

	sends_changes = false;
	sim.run_for_ms(12000);
	for (int i = 0; i < cores; i++) {
		version = read_version(i);
		if (version < acknowledged)
			fail("core " + std::to_string(i) + " tells version " +
			    std::to_string(version) + ", acknowledged was " +
			    std::to_string(acknowledged));
	}
	if (acknowledged == 0)
		fail("no change was acknowledged");
}

/* The seeds to play: from the environment, as FIRST:COUNT, or the default. */
static std::pair<unsigned, unsigned>
seeds_to_play(unsigned count)
{
	const char *given = getenv("DISK_LOSS_SEEDS");
	unsigned first = 1;

	if (given != nullptr)
		(void)sscanf(given, "%u:%u", &first, &count);
	return {first, count};
}

/*
 * Guards against a core that waits as a learner until the next disk is lost: a
 * majority then hangs on a member that isn't a voter, and no leader is found
 * again.
 */
TEST(DiskLossWorlds, each_lost_voter_is_replaced_before_the_next_loss)
{
	auto seeds = seeds_to_play(6);
	std::vector<std::string> violations;

	for (unsigned s = seeds.first; s < seeds.first + seeds.second; s++) {
		DiskLoss world(s, s % 4 == 0 ? 5 : 3);

		world.start();
		for (int n = 0; n < 6 && world.violations.empty(); n++) {
			world.lose_disks();
			world.lose_power_maybe();
			world.catch_up();
			world.expect_all_vote("before the next loss");
		}
		world.read_back();
		for (auto &v : world.violations)
			violations.push_back(v);
	}
	for (auto &v : violations)
		ADD_FAILURE() << v;
}
