#include "prove/guards.h"

extern "C" {
#include "doc/doc_guard.h"
#include "member/member_guard.h"
#include "node/node_guard.h"
#include "route/route_guard.h"
#include "sched/sched_guard.h"
}

/*
 * The guards of the program that the fault matrix covers. The faults and the
 * step of a guard are a case in which its absence breaks an invariant.
 */
const std::vector<Guard> all_guards = {
    {"route.match_run", &route_guards.match_run, {"wrong model"}, "stream runs",
	"got"},
    {"route.match_offset", &route_guards.match_offset, {"rewinding engine"},
	"stream runs", "got"},
    {"route.whole", &route_guards.whole, {"broken streams"}, "stream runs",
	"instead of"},
    {"route.may_have_run", &route_guards.may_have_run, {"all streams break"},
	"stream runs", "ran but was refused"},
    {"route.single_attempt", &route_guards.single_attempt, {"cut answers"},
	"booking runs", "times"},
    {"route.claim_first", &route_guards.claim_first, {"kill"}, "booking runs",
	"times"},
    {"route.record_first", &route_guards.record_first, {"cut, then killed"},
	"booking runs", "lost"},
    {"doc.base_revision", &doc_guards.base_revision, {"late messages"},
	"document under way", "replaced twice"},
    {"doc.change_id", &doc_guards.change_id, {"kill"}, "document under way",
	"answered as"},
    {"member.lease_required", &member_guards.lease_required,
	{"follower restarts, late log", "restart, deaf source",
	    "kill, disk lost", "follower restarts, losses"},
	"document under way", "in force"},
    {"member.in_force_leases", &member_guards.in_force_leases,
	{"cut, hears nobody"}, "document under way", "in force"},
    {"member.lease_wait", &member_guards.lease_wait, {"rejoin, other cut"},
	"adapter loads", "two owners"},
    {"member.earlier_leases", &member_guards.earlier_leases,
	{"freeze and wake", "cut both ways"}, "adapter loads", "may act"},
    {"node.active_epoch", &node_guards.active_epoch, {"rejoin, other cut"},
	"adapter loads", "two owners"},
    {"node.act_until", &node_guards.act_until, {"freeze, calls unwritten"},
	"adapter loads", "orders of an old owner"},
    {"node.relay_round", &node_guards.relay_round,
	{"relay: kill", "relay: freeze and wake"}, "steady work",
	"lost its lease"},
    {"node.takeover_wait", &node_guards.takeover_wait,
	{"long streams, old reports"}, "stream runs", "evicted"},
    {"node.cache_resync", &node_guards.cache_resync,
	{"lost cache events", "late, doubled events"}, "steady work",
	"cached prefixes"},
    {"sched.pins", &sched_guards.pins, {"late messages"}, "stream runs",
	"evicted"},
};
