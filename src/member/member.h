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

/* ---- replicated: who is a member -------------------------------------- */

struct member {
	uint32_t id;
	uint64_t incarnation;
	char *name, *data_centre, *region, *http, *bus;
	uint64_t voter; /* raft id of its data folder, 0 without one */
	bool leaving; /* drains; owns nothing new */
	uint64_t joined; /* log index */
};

/* All members and the epoch: the log index of the last change of them. */
struct member_view;

struct member_view *member_view_create(void);
void member_view_destroy(struct member_view *v);

/* Apply committed changes; true when the view (and so the epoch) changed. */
bool member_view_apply_up(
    struct member_view *v, uint64_t index, const Wire__MemberInfo *info);
bool member_view_apply_down(
    struct member_view *v, uint64_t index, uint32_t id, uint64_t incarnation);
bool member_view_apply_leave(
    struct member_view *v, uint64_t index, uint32_t id, uint64_t incarnation);

uint64_t member_view_epoch(const struct member_view *v);

/*
 * Supporters are the members whose support counts where there is no leader:
 * all of them, or in a large cluster those with a data folder.
 */
#define MEMBER_ALL_SUPPORT_MAX 16 /* members up to which all support */

bool member_view_is_supporter(
    const struct member_view *v, const struct member *m);

/* Ids of the supporters of the epoch before this one. */
const uint32_t *member_view_earlier_supporters(
    const struct member_view *v, size_t *n);
size_t member_view_count(const struct member_view *v);
const struct member *member_view_at(const struct member_view *v, size_t i);
const struct member *member_view_find(const struct member_view *v, uint32_t id);
void member_view_save(const struct member_view *v, struct buf *out);
int member_view_restore(
    struct member_view *v, const char *data, size_t len, struct mp_error *err);

/*
 * The owner of an endpoint: rendezvous hashing over members of its region
 * (of all members where the region has none) that are not leaving. 0 when
 * there is no such member.
 */
uint32_t member_owner_of(
    const struct member_view *v, const char *region, const char *endpoint);

/*
 * Owners in order of preference for a key: weighted rendezvous hashing.
 *
 * weight: capacity of a member, 0 leaves it out.
 * out: at most max ids; the number written is returned.
 */
size_t member_rank(const struct member_view *v, const char *key,
    double (*weight)(void *ctx, const struct member *m), void *ctx,
    uint32_t *out, size_t max);

/* ---- shards ---------------------------------------------------------------
 */

#define MEMBER_SHARDS_MAX 128

/*
 * The endpoints of a large cluster in shards, each of which one instance owns.
 * Owners are members without a data folder; a small cluster has one shard,
 * which is the leader's. They follow the changes of the members, so that all
 * instances agree on them with the epoch: a shard keeps its owner until that
 * leaves, and the number of shards changes after many members have come or
 * gone.
 */
struct member_shards {
	uint32_t count; /* at least 1 */
	uint32_t owners[MEMBER_SHARDS_MAX]; /* 0: the leader */
};

const struct member_shards *member_view_shards(const struct member_view *v);

/* Follow a change of the members. */
void member_shards_update(struct member_shards *s, const struct member_view *v);

/* The shard of a key. */
uint32_t member_shard_of(const struct member_shards *s, const char *key);

/*
 * Shards in order of preference for a key: weighted rendezvous hashing.
 *
 * weights: of each shard; 0 leaves it out.
 * out: room for all shards; the number written is returned.
 */
size_t member_shard_rank(const struct member_shards *s, uint64_t key,
    const uint32_t *weights, uint32_t *out);

/* ---- timing of leases --------------------------------------------------- */

#define MEMBER_LEASE_US		       (2000 * 1000ULL)
#define MEMBER_RENEW_INTERVAL_US       (250 * 1000ULL)
#define MEMBER_RENEW_LARGE_INTERVAL_US (600 * 1000ULL) /* in a cluster over */
#define MEMBER_LARGE_THRESHOLD	       100 /* so many members */
#define MEMBER_PING_INTERVAL_US	       (300 * 1000ULL)
#define MEMBER_FLIGHT_MAX_US	       (300 * 1000ULL) /* longest way of an order */
#define MEMBER_LOAD_MAX_US	       (1000 * 1000ULL) /* longest usual adapter load */
#define MEMBER_DRIFT_PERMILLE	       50 /* clocks differ by at most */
#define MEMBER_APPLY_LAG_MAX_US	       (2000 * 1000ULL) /* no lease when staler */

/* ---- on every instance: may I act? -------------------------------------- */

/*
 * The holder's side of leases. An instance may act (grant, order, accept
 * new requests) while it holds the leader's lease and has applied what the
 * lease requires, or, without a leader, while more than half of its epoch's
 * members (itself counted) say in answer to its pings that they are in the
 * same epoch and hold no leader's lease either. A member that said so
 * promises not to acknowledge a newer epoch before that support has ended,
 * and a new epoch's owners act only after a majority acknowledged it: so
 * two owners never act at once. The lease counts from the sending of the
 * renewal or ping.
 */
struct member_holder;

struct member_holder *member_holder_create(uint32_t self, uint64_t incarnation);
void member_holder_destroy(struct member_holder *h);

/*
 * Tell of the view whenever it changed: what the holder may promise to its
 * peers depends on it, and a new epoch is acknowledged at once.
 */
void member_holder_on_view(
    struct member_holder *h, const struct member_view *v);

/*
 * Is a renewal or ping round due? Marks it sent. Pings go to all members
 * that member_view_is_supporter() names.
 */
bool member_holder_renew_due(struct member_holder *h, uint64_t now_us);
bool member_holder_ping_due(struct member_holder *h, uint64_t now_us);
uint64_t member_holder_next_due_us(const struct member_holder *h);

/* Time between renewals, for the size of the cluster. */
uint64_t member_holder_renew_interval_us(const struct member_holder *h);

/* Has the cluster over MEMBER_LARGE_THRESHOLD members? */
bool member_holder_is_large(const struct member_holder *h);

/*
 * Fill the lease part of a renewal: sent_us, applied, epoch, promise_over,
 * got_us and the permits held. The rest stays as it is.
 */
void member_holder_fill_renew(struct member_holder *h, uint64_t now_us,
    uint64_t applied, uint64_t epoch, Wire__LeaseRenew *out);

void member_holder_on_lease(
    struct member_holder *h, uint64_t now_us, const Wire__LeaseReply *reply);

/* Answer a ping; records the promise when it says leaderless. */
void member_holder_on_ping(struct member_holder *h, uint64_t now_us,
    uint64_t applied, const Wire__Ping *ping, Wire__Pong *out);

/* from_epoch: Envelope.epoch of the pong. */
void member_holder_on_pong(struct member_holder *h, uint64_t now_us,
    uint32_t from, uint64_t from_epoch, const Wire__Pong *pong);

enum member_standing {
	MEMBER_LEASED, /* holds a leader's lease */
	MEMBER_SUPPORTED, /* no leader; a majority of peers supports it */
	MEMBER_ALONE, /* hears too few: refuse new work */
	MEMBER_CATCHING_UP /* has not applied what its lease requires */
};

enum member_standing member_holder_standing(const struct member_holder *h,
    const struct member_view *v, uint64_t now_us, uint64_t applied);

/* LEASED or SUPPORTED. */
bool member_holder_may_act(const struct member_holder *h,
    const struct member_view *v, uint64_t now_us, uint64_t applied);

/* Until when may_act can stay true without further messages; 0 if not. */
uint64_t member_holder_act_until_us(const struct member_holder *h,
    const struct member_view *v, uint64_t now_us, uint64_t applied);

/* Largest epoch whose owners may act, and index in force, as told. */
uint64_t member_holder_active_epoch(const struct member_holder *h);
uint64_t member_holder_in_force(const struct member_holder *h);
uint32_t member_holder_leader(const struct member_holder *h); /* 0 unknown */

/*
 * The share of the weight store's permits. Without a lease it stays the last
 * one told; like every order, a load needs member_holder_may_act() as well.
 */
uint32_t member_holder_permit_in_flight(const struct member_holder *h);
uint32_t member_holder_permit_rate_milli(const struct member_holder *h);

/* ---- on the leader: who holds what -------------------------------------- */

/*
 * The leader's side. It asks for MemberDown only for members whose lease,
 * also one given by an earlier leader, has surely ended, and only while it
 * hears from a majority of the members.
 */
struct member_lessor;

struct member_lessor *member_lessor_create(
    uint32_t store_in_flight, uint32_t store_rate_milli);
void member_lessor_destroy(struct member_lessor *ls);

/*
 * Leadership of a term began: leases of earlier leaders may still run.
 *
 * election_us: how long an earlier leader may not know that it is deposed.
 */
void member_lessor_reset(struct member_lessor *ls, uint64_t now_us,
    uint64_t election_us, uint64_t term);

/*
 * Take a renewal and fill the answer. A lease is granted to a member of the
 * same incarnation that has kept up, while authority_until_us lies ahead.
 *
 * authority_until_us: 0 as long as the leader has not applied an entry of its
 * own term; then the end of its lease over the voters.
 * from: the instance; incarnation: of its process (Envelope).
 * commit: the leader's commit index.
 * out: initialised and filled, but for leader.
 */
void member_lessor_on_renew(struct member_lessor *ls,
    const struct member_view *v, uint64_t now_us, uint64_t authority_until_us,
    uint32_t from, uint64_t incarnation, uint64_t commit,
    const Wire__LeaseRenew *renew, Wire__LeaseReply *out);

/* A new entry was committed: renewals that miss it are behind from now. */
void member_lessor_on_commit(
    struct member_lessor *ls, uint64_t now_us, uint64_t commit);

enum member_change_type {
	MEMBER_CHANGE_UP, /* propose MemberUp with info */
	MEMBER_CHANGE_DOWN, /* propose MemberDown of id, incarnation */
	MEMBER_CHANGE_LEAVE
};

struct member_change {
	enum member_change_type type;
	uint32_t id;
	uint64_t incarnation;
	const Wire__MemberInfo *info; /* UP; lives until the next call */
};

/*
 * The next command the leader should propose; false when there is none.
 * A wish is repeated after a second unless it was applied.
 */
bool member_lessor_next_change(struct member_lessor *ls,
    const struct member_view *v, uint64_t now_us, struct member_change *out);

/*
 * The newest epoch whose owners may act: every member of the epochs before
 * has acknowledged it or its lease has ended, and a majority of the members
 * has acknowledged it with its promises over.
 */
uint64_t member_lessor_active_epoch(const struct member_lessor *ls,
    const struct member_view *v, uint64_t now_us);

/*
 * Fill what tells a member, beside the answers to its renewals, that an epoch
 * is active: the newest renewal is answered once more, without a lease.
 *
 * epoch: as member_lessor_active_epoch() gave it.
 * out: initialised and filled, but for leader; false: it was never heard.
 */
bool member_lessor_fill_active(const struct member_lessor *ls,
    const struct member *m, uint64_t epoch, Wire__LeaseReply *out);

/*
 * No instance acts, or will act, with less applied than this index. Like
 * the active epoch it stays as it was while the leader has no authority.
 */
uint64_t member_lessor_in_force(const struct member_lessor *ls,
    const struct member_view *v, uint64_t now_us);

/* JSON array: each member with applied index, age of its last renewal. */
void member_lessor_report(const struct member_lessor *ls,
    const struct member_view *v, uint64_t now_us, struct buf *out);

#ifdef __cplusplus
}
#endif

#endif
