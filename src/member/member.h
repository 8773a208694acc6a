/*
 * Cluster membership and the leases under which instances act.
 *
 * The members are a replicated state: every instance applies the same
 * MemberUp, MemberDown, MemberLeave and MemberChanges commands of the log to
 * its own view. The epoch is the log index of the last command that changed
 * the view. Each endpoint has one owner in an epoch.
 *
 * An instance that owns an endpoint may act for it (grant, order, accept new
 * requests) only under a lease of the leader or, without a leader, under the
 * support of its peers. The holder (struct member_holder) is the side of each
 * instance, the lessor (struct member_lessor) is the side of the leader. The
 * head of member_lessor.c shows why two instances never act for one endpoint
 * at the same time.
 *
 * Times named now_us are those of the calling instance's own clock. None of
 * the functions sends anything: callers pass in the messages that were
 * received and send those that were filled in.
 */
#ifndef MP_MEMBER_MEMBER_H
#define MP_MEMBER_MEMBER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "mulberrypath/error.h"
#include "util/buf.h"
#include "wire/command.pb-c.h"
#include "wire/peer.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

/* ---- replicated view of the members ------------------------------------ */

/*
 * Capabilities: bits for what the program of a member can read. A command that
 * earlier program versions cannot read is proposed only while all members have
 * its bit, see member_view_all_have().
 */
#define MEMBER_CAN_CONFIG_DELTAS (1U << 0) /* GatewayConfig with pieces */
#define MEMBER_CAN_MANY_CHANGES	 (1U << 1) /* MemberChanges */

/* Those of this program. */
#define MEMBER_CAPABILITIES (MEMBER_CAN_CONFIG_DELTAS | MEMBER_CAN_MANY_CHANGES)

/* A member: one process of an instance, known by id and incarnation. */
struct member {
	uint32_t id; /* of the instance; never 0 */
	uint64_t incarnation; /* of its process */
	char *name, *data_centre, *region;
	char *http, *bus; /* addresses */
	uint64_t voter; /* raft id of its data folder, 0 without one */
	bool leaving; /* drains; becomes owner of nothing new */
	uint64_t joined; /* log index of its MemberUp */
	uint32_t capabilities; /* MEMBER_CAN_... */
};

/* All members, the epoch and the shards. */
struct member_view;

/* An empty view of epoch 0, with one shard. */
struct member_view *member_view_create(void);
void member_view_destroy(struct member_view *v);

/*
 * Applies a committed command.
 *
 * index: log index of the command; the new epoch when the view changes.
 * Returns whether the view, and so the epoch, changed.
 */
bool member_view_apply_up(
    struct member_view *v, uint64_t index, const Wire__MemberInfo *info);
bool member_view_apply_down(
    struct member_view *v, uint64_t index, uint32_t id, uint64_t incarnation);
bool member_view_apply_leave(
    struct member_view *v, uint64_t index, uint32_t id, uint64_t incarnation);
bool member_view_apply_changes(
    struct member_view *v, uint64_t index, const Wire__MemberChanges *changes);

uint64_t member_view_epoch(const struct member_view *v);

/*
 * Whether every member has all bits of a set of capabilities. False for a view
 * without members: nothing is known then.
 */
bool member_view_all_have(const struct member_view *v, uint32_t capabilities);

/*
 * Capabilities of the process that is the member or, where there is none, was
 * the last one and had a data folder; 0: not known.
 */
uint32_t member_view_last_capabilities(
    const struct member_view *v, uint32_t id);

/*
 * Capabilities without which a program cannot apply the log: a MemberChanges
 * has been applied. A process without them would see other members in an epoch
 * than the others do, so it must not become a member.
 */
uint32_t member_view_required_capabilities(const struct member_view *v);

/* Number of members up to which all members are supporters. */
#define MEMBER_ALL_SUPPORT_MAX 16

/*
 * Whether a member is a supporter: one whose support counts where there is no
 * leader. In a cluster of more than MEMBER_ALL_SUPPORT_MAX members only those
 * with a data folder are supporters.
 */
bool member_view_is_supporter(
    const struct member_view *v, const struct member *m);

/*
 * Ids of the supporters of the previous epoch; the view owns them and they
 * are valid until its next change.
 */
const uint32_t *member_view_earlier_supporters(
    const struct member_view *v, size_t *n);

/*
 * Ids of all members of the previous epoch, valid as those above. None when
 * they are not known: the view was restored from a snapshot of an earlier
 * program version.
 */
const uint32_t *member_view_earlier_members(
    const struct member_view *v, size_t *n);

/* Members in order of id; pointers are valid until the next change. */
size_t member_view_count(const struct member_view *v);
const struct member *member_view_at(const struct member_view *v, size_t i);

/* The member of this instance id, or NULL. */
const struct member *member_view_find(const struct member_view *v, uint32_t id);

/* Whether this process of the instance is the member. */
bool member_view_is_current(
    const struct member_view *v, uint32_t id, uint64_t incarnation);

/*
 * Appends the view to a buffer, or replaces it by a saved one. A failed
 * restore returns MP_ERR_CORRUPT and leaves the view empty.
 */
void member_view_save(const struct member_view *v, struct buf *out);
int member_view_restore(
    struct member_view *v, const char *data, size_t len, struct mp_error *err);

/*
 * The owner of an endpoint: rendezvous hashing over the members of its region
 * that are not leaving, or over such members of all regions when its own
 * region has none. Returns 0 when there is no such member.
 */
uint32_t member_owner_of(
    const struct member_view *v, const char *region, const char *endpoint);

/*
 * Ranks members for a key by weighted rendezvous hashing, preferred first.
 *
 * weight: capacity of a member; a member of weight 0 or less is left out.
 * out: receives at most max ids; the number written is returned.
 */
size_t member_rank(const struct member_view *v, const char *key,
    double (*weight)(void *ctx, const struct member *m), void *ctx,
    uint32_t *out, size_t max);

/* ---- shards ------------------------------------------------------------ */

#define MEMBER_SHARDS_MAX 128

/*
 * The endpoints of a large cluster are divided into shards, each owned by one
 * instance. Shard owners are members without a data folder; a small cluster
 * has one shard, owned by the leader. The shards are computed from the
 * sequence of membership changes, so that all instances of one epoch agree on
 * them. A shard keeps its owner until that owner leaves, and the number of
 * shards changes only after many members have joined or left.
 */
struct member_shards {
	uint32_t count; /* at least 1 */
	uint32_t owners[MEMBER_SHARDS_MAX]; /* 0: the leader */
};

const struct member_shards *member_view_shards(const struct member_view *v);

/* Updates the shards after a change of the members. */
void member_shards_update(struct member_shards *s, const struct member_view *v);

/*
 * The member for a key by rendezvous hashing, among those that have no data
 * folder and do not leave; 0: there is none.
 */
uint32_t member_view_choose(const struct member_view *v, uint64_t key);

/* The shard of a key. */
uint32_t member_shard_of(const struct member_shards *s, const char *key);

/*
 * Ranks shards for a key by weighted rendezvous hashing, preferred first.
 *
 * weights: of each shard; a shard of weight 0 is left out.
 * out: room for all shards; the number written is returned.
 */
size_t member_shard_rank(const struct member_shards *s, uint64_t key,
    const uint32_t *weights, uint32_t *out);

/* ---- timing of leases -------------------------------------------------- */

#define MEMBER_LEASE_US (2000 * 1000ULL)

/* Number of members above which a cluster counts as large. */
#define MEMBER_LARGE_THRESHOLD 100

/* Interval between renewals, and the longer one of large clusters. */
#define MEMBER_RENEW_INTERVAL_US       (250 * 1000ULL)
#define MEMBER_RENEW_LARGE_INTERVAL_US (600 * 1000ULL)

#define MEMBER_PING_INTERVAL_US	       (300 * 1000ULL)

/* Longest time for which an order is in flight to its receiver. */
#define MEMBER_FLIGHT_MAX_US (300 * 1000ULL)

/* Longest usual time of an adapter load. */
#define MEMBER_LOAD_MAX_US (1000 * 1000ULL)

/* Largest difference between the rates of two clocks. */
#define MEMBER_DRIFT_PERMILLE 50

/* An instance that lags further behind the commit index gets no lease. */
#define MEMBER_APPLY_LAG_MAX_US (2000 * 1000ULL)

/* ---- holder: whether this instance may act ----------------------------- */

/*
 * The side of each instance. An instance may act (grant, order, accept new
 * requests) in two cases:
 *
 * - It holds a lease of the leader and has applied the log index that the
 *   lease requires.
 * - Without a leader, more than half of the supporters of its epoch (itself
 *   counted, where it is one) have answered its pings that they are in the
 *   same epoch and hold no lease of a leader either. A member that answered
 *   so promises that its acknowledgement of a newer epoch does not count
 *   before that support has ended.
 *
 * The owners of a new epoch act only after a majority has acknowledged it, so
 * two owners never act at the same time. Leases and support count from the
 * time at which the renewal or ping was sent.
 */
struct member_holder;

struct member_holder *member_holder_create(uint32_t self, uint64_t incarnation);
void member_holder_destroy(struct member_holder *h);

/*
 * Must be called after each change of the view: the promises that the holder
 * may give depend on the view, and a renewal becomes due at once to
 * acknowledge a new epoch.
 */
void member_holder_on_view(
    struct member_holder *h, const struct member_view *v);

/*
 * Whether a renewal or a round of pings is due. When it is, the next one is
 * scheduled and the caller must send this one. Pings go to all members for
 * which member_view_is_supporter() is true.
 */
bool member_holder_renew_due(struct member_holder *h, uint64_t now_us);
bool member_holder_ping_due(struct member_holder *h, uint64_t now_us);

/* Time at which the next renewal or round of pings is due. */
uint64_t member_holder_next_due_us(const struct member_holder *h);

/* Interval between renewals for the size of the cluster. */
uint64_t member_holder_renew_interval_us(const struct member_holder *h);

/* Whether the cluster is large: over MEMBER_LARGE_THRESHOLD members. */
bool member_holder_is_large(const struct member_holder *h);

/*
 * Fills the lease part of a renewal: sent_us, applied, epoch, promise_over,
 * got_us, the permits held and the earlier process that it replaces. Other
 * fields are left as they are.
 */
void member_holder_fill_renew(struct member_holder *h, uint64_t now_us,
    uint64_t applied, uint64_t epoch, Wire__LeaseRenew *out);

/*
 * Handles the reply to a renewal. Returns false for a reply that does not
 * count: to no known renewal, or later than a lease lasts.
 */
bool member_holder_on_lease(
    struct member_holder *h, uint64_t now_us, const Wire__LeaseReply *reply);

/* Fills the pong for a ping; a leaderless pong also starts a promise. */
void member_holder_on_ping(struct member_holder *h, uint64_t now_us,
    uint64_t applied, const Wire__Ping *ping, Wire__Pong *out);

/*
 * Handles a pong.
 *
 * from: instance id of the sender.
 * from_epoch: Envelope.epoch of the pong.
 */
void member_holder_on_pong(struct member_holder *h, uint64_t now_us,
    uint32_t from, uint64_t from_epoch, const Wire__Pong *pong);

enum member_standing {
	MEMBER_LEASED, /* holds a lease of the leader */
	MEMBER_SUPPORTED, /* no leader; supported by a majority */
	MEMBER_ALONE, /* isolated, without a majority: refuses new work */
	MEMBER_CATCHING_UP /* has not applied what its lease requires */
};

enum member_standing member_holder_standing(const struct member_holder *h,
    const struct member_view *v, uint64_t now_us, uint64_t applied);

/* Whether the standing is MEMBER_LEASED or MEMBER_SUPPORTED. */
bool member_holder_may_act(const struct member_holder *h,
    const struct member_view *v, uint64_t now_us, uint64_t applied);

/*
 * Time until which member_holder_may_act() can stay true without further
 * messages; 0 when it is false now.
 */
uint64_t member_holder_act_until_us(const struct member_holder *h,
    const struct member_view *v, uint64_t now_us, uint64_t applied);

/* Largest active epoch and largest index in force received in replies. */
uint64_t member_holder_active_epoch(const struct member_holder *h);
uint64_t member_holder_in_force(const struct member_holder *h);

/* Instance id of the leader in the newest reply; 0: unknown. */
uint32_t member_holder_leader(const struct member_holder *h);

/*
 * This instance's share of the weight store's permits: loads at the same time,
 * and thousandths of a load per second. Without a lease it stays the share
 * that was received last; like every order, a load also needs
 * member_holder_may_act().
 */
uint32_t member_holder_permit_in_flight(const struct member_holder *h);
uint32_t member_holder_permit_rate_milli(const struct member_holder *h);

/* ---- lessor: the leader's record of the leases ------------------------- */

/*
 * The side of the leader. It requests MemberDown only for members whose lease
 * is certain to have ended, also one granted by an earlier leader, and only
 * while it receives renewals from a majority of the members.
 */
struct member_lessor;

/*
 * store_in_flight, store_rate_milli: the weight store's permits for the whole
 * cluster, in units as for member_holder_permit_in_flight().
 */
struct member_lessor *member_lessor_create(
    uint32_t store_in_flight, uint32_t store_rate_milli);
void member_lessor_destroy(struct member_lessor *ls);

/*
 * Discards all state at the start of this instance's leadership of a term.
 * Leases granted by earlier leaders may still run.
 *
 * election_us: longest time for which an earlier leader may not know that it
 * has been deposed.
 */
void member_lessor_reset(struct member_lessor *ls, uint64_t now_us,
    uint64_t election_us, uint64_t term);

/*
 * Handles a renewal and fills the reply. A lease is granted to a member of
 * the same incarnation that has applied the log recently enough, while
 * authority_until_us lies ahead. LeaseReply.reason says why one is refused.
 *
 * authority_until_us: 0 as long as the leader has not applied an entry of its
 * own term; then the end of its lease over the voters.
 * from: instance id of the sender.
 * incarnation: Envelope.incarnation of the renewal.
 * commit: the leader's commit index.
 * out: initialised and filled, except for its leader.
 */
void member_lessor_on_renew(struct member_lessor *ls,
    const struct member_view *v, uint64_t now_us, uint64_t authority_until_us,
    uint32_t from, uint64_t incarnation, uint64_t commit,
    const Wire__LeaseRenew *renew, Wire__LeaseReply *out);

/*
 * Records a new commit index. Members that have not applied it after
 * MEMBER_APPLY_LAG_MAX_US are behind.
 */
void member_lessor_on_commit(
    struct member_lessor *ls, uint64_t now_us, uint64_t commit);

enum member_change_type {
	MEMBER_CHANGE_UP, /* MemberUp with info */
	MEMBER_CHANGE_DOWN, /* MemberDown of id and incarnation */
	MEMBER_CHANGE_LEAVE, /* MemberLeave of id and incarnation */
	MEMBER_CHANGE_MANY /* MemberChanges */
};

/* A membership change that the leader is to propose. */
struct member_change {
	enum member_change_type type;
	uint32_t id;
	uint64_t incarnation;
	const Wire__MemberInfo *info; /* UP; valid until the next call */
	/* MANY: at least two; valid until the next call. */
	const struct member_change *many;
	size_t nmany;
};

/* Bytes of the changes that one MemberChanges holds. */
#define MEMBER_CHANGES_BYTES_MAX (64 * 1024)

/*
 * Sets whether all voters of the log can read a MemberChanges. A voter may lead
 * without being a member, and one that cannot read it would then lead with
 * another view. It starts as false, and again with each term.
 */
void member_lessor_set_voters_can_read_changes(
    struct member_lessor *ls, bool can);

/*
 * Fills the membership change that the leader should propose now: all changes
 * that are due, if all members and voters can read a MemberChanges, else one. A
 * change that has not been applied within a second is returned again. Returns
 * false when there is nothing to propose.
 */
bool member_lessor_next_change(struct member_lessor *ls,
    const struct member_view *v, uint64_t now_us, struct member_change *out);

/*
 * The newest epoch whose owners may act: every member has acknowledged it or
 * its lease has ended, and the epoch is sealed: no majority of the previous
 * epoch's supporters is left that has not acknowledged it with its promises
 * over.
 */
uint64_t member_lessor_active_epoch(const struct member_lessor *ls,
    const struct member_view *v, uint64_t now_us);

/*
 * Fills a message that notifies a member of an active epoch outside of the
 * replies to its renewals: a second reply to its newest renewal, which grants
 * no lease.
 *
 * epoch: from member_lessor_active_epoch().
 * out: initialised and filled, except for its leader.
 * Returns false when no renewal of the member has been received.
 */
bool member_lessor_fill_active(const struct member_lessor *ls,
    const struct member *m, uint64_t epoch, Wire__LeaseReply *out);

/*
 * The index in force: no instance acts, now or later, with less applied than
 * this log index. Like the active epoch it does not change while the leader
 * has no authority.
 */
uint64_t member_lessor_in_force(const struct member_lessor *ls,
    const struct member_view *v, uint64_t now_us);

/*
 * Appends a JSON array with an object for each member: its lease state, its
 * applied index and epoch and the age of its newest renewal.
 */
void member_lessor_report(const struct member_lessor *ls,
    const struct member_view *v, uint64_t now_us, struct buf *out);

#ifdef __cplusplus
}
#endif

#endif
