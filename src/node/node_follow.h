#ifndef MP_NODE_NODE_FOLLOW_H
#define MP_NODE_NODE_FOLLOW_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "mulberrypath/node.h"
#include "util/buf.h"
#include "wire/peer.pb-c.h"

/*
 * What an instance retains for its followers: the latest applied entries,
 * bounded in number and bytes, and one packed snapshot for those that need
 * older ones. On the follower: the parts of a snapshot received so far. The
 * limits of what is sent and kept of the log are here as well.
 */

struct node;
struct node_peer;

/* Applied entries that are kept in memory for followers. */
#define NODE_RECENT_ENTRIES 1024
/* The memory limit divided by this is the limit of their bytes, */
#define NODE_RECENT_MEMORY_DIVISOR 64
/* but no less than this. */
#define NODE_RECENT_BYTES_MIN (1024 * 1024)
/* Size of one part of a snapshot. */
#define NODE_SNAPSHOT_PART_BYTES (64 * 1024)
/* A packed snapshot that nobody pulls for this time is freed. */
#define NODE_SNAPSHOT_IDLE_US (5 * 1000 * 1000ULL)
/* Entries in one push to a follower. */
#define NODE_PUSH_ENTRIES_MAX 256
/* Bytes of entries in one push; a larger entry is sent alone. */
#define NODE_PUSH_BYTES_MAX (64 * 1024)
/*
 * While this many bytes of entries are not confirmed by the follower, no more
 * are pushed. No more than one large entry is thus on its way, and none is
 * overtaken by the entries after it, which a follower would drop.
 */
#define NODE_PUSH_WINDOW_BYTES (64 * 1024)
/*
 * A message of the log or a relayed call with more bytes than this is sent
 * over the connection for bulk messages, see node_send.
 */
#define NODE_BULK_BYTES (72 * 1024)
/*
 * The log is compacted at a number of entries or at a size: a multiple of the
 * last snapshot, so that packing and syncing snapshots costs little beside the
 * entries themselves, within a part of the memory limit.
 */
#define NODE_COMPACT_ENTRIES	    4096
#define NODE_COMPACT_BYTES	    (4 * 1024 * 1024)
#define NODE_COMPACT_SNAPSHOTS	    16
#define NODE_COMPACT_MEMORY_DIVISOR 16
/*
 * Size of one append of the replicated log, and of one part of its snapshot. A
 * heartbeat waits behind RAFT_INFLIGHT_MAX of them at most, 80 ms at 25 Mbit/s.
 */
#define NODE_RAFT_BATCH_BYTES (64 * 1024)
/*
 * Time allowed for each byte on its way to another instance, before it counts
 * as lost: 2 Mbit/s, a quarter of the slowest link.
 */
#define NODE_SEND_BYTE_US 4

/* An applied log entry. */
struct node_recent_entry {
	uint64_t index, term;
	char *bytes;
	size_t len;
};

/* The packed snapshot that followers pull. */
struct node_snapshot_source {
	struct buf bytes; /* empty: none is packed */
	uint64_t index, hash;
	uint64_t packed_us, pulled_us;
	uint64_t partial_us; /* time of the last pull that is not the last */
};

/* A snapshot that is being received. */
struct node_snapshot_incoming {
	uint32_t source; /* the instance that the last pull was sent to */
	uint64_t index, hash, total;
	uint64_t started_us;
	struct buf bytes;
};

/* node_recent.c: the latest applied entries */
void node_recent_create(struct node *n);
void node_recent_destroy(struct node *n);

/* Adds the entry after the last applied one; evicts the oldest beyond limits.
 */
void node_recent_add(
    struct node *n, uint64_t index, uint64_t term, struct node_bytes command);

/* Drops all entries; the next one to be added is next. */
void node_recent_reset(struct node *n, uint64_t next);

/* The entry at an index; NULL if it is not kept. */
const struct node_recent_entry *node_recent_get(
    const struct node *n, uint64_t index);

/* node_snapshot.c: snapshots for followers, in parts */

/* Sends the part that a pull requests, unless it is on its way already. */
void node_snapshot_send(
    struct node *n, struct node_peer *peer, const Wire__FollowPull *pull);

/* Frees the snapshots that nobody needs any more. */
void node_snapshot_tick(struct node *n);

/*
 * Notes which instance is asked next, and states in the pull what is received
 * already. Parts received from another source before are dropped.
 */
void node_snapshot_fill_pull(
    struct node *n, uint32_t source, Wire__FollowPull *pull);

/* The source of a snapshot of which some parts are received; 0: none. */
uint32_t node_snapshot_incoming_source(const struct node *n);

/*
 * Takes the snapshot, or the part of one, in a push.
 *
 * Returns whether there was progress.
 */
bool node_snapshot_receive(
    struct node *n, uint32_t from, const Wire__FollowPush *push);
void node_snapshot_free(struct node *n);

#endif
