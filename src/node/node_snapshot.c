#include <xxhash.h>

#include "node/node_internal.h"

/*
 * Snapshots of the replicated state for followers that need entries which are
 * not kept any more. A snapshot is sent in parts, one for each pull, so that no
 * heartbeat or lease waits behind more than one part. All followers of an
 * instance pull the same packed snapshot.
 */

/* A part that a repeated pull asks for again is not resent earlier. */
#define PART_RESEND_US (250 * 1000ULL)
/* While parts were pulled within this time, the snapshot is not replaced, */
#define SNAPSHOT_BUSY_US (1000 * 1000ULL)
/* unless it is older than this. */
#define SNAPSHOT_AGE_MAX_US (10 * 1000 * 1000ULL)
/* The memory limit divided by this is the largest snapshot accepted, */
#define SNAPSHOT_MEMORY_DIVISOR 2
/* but no less than this. */
#define SNAPSHOT_BYTES_MIN (16ULL << 20)

/* ---- at the source ------------------------------------------------------ */

void
node_snapshot_free(struct node *n)
{
	buf_free(&n->snapshot_source.bytes);
	buf_free(&n->snapshot_incoming.bytes);
}

static void
source_pack(struct node *n)
{
	struct node_snapshot_source *s = &n->snapshot_source;

	node_replica_snapshot(n, &s->bytes);
	s->index = n->applied;
	s->hash = XXH64(s->bytes.data, s->bytes.len, 0);
	s->packed_us = n->now;
	s->partial_us = 0;
	n->counters.follow_snapshots++;
}

/*
 * Whether a new snapshot is due. One from which a follower could not continue
 * by the entries kept here is replaced, but not while others pull it: with
 * changes that arrive faster than a snapshot is sent they would never end.
 */
static bool
source_is_outdated(const struct node *n, const Wire__FollowPull *pull)
{
	const struct node_snapshot_source *s = &n->snapshot_source;
	bool is_busy = s->partial_us != 0 &&
	    n->now < s->partial_us + SNAPSHOT_BUSY_US &&
	    n->now < s->packed_us + SNAPSHOT_AGE_MAX_US;

	if (s->bytes.len == 0)
		return true;
	if (s->index + 1 >= n->recent_first || pull->snapshot_index == s->index)
		return false;
	return !is_busy || pull->next > s->index;
}

/* Whether the part was sent so recently that it may be on its way still. */
static bool
part_is_in_flight(const struct node *n, const struct node_peer *peer,
    uint64_t offset, size_t len)
{
	uint64_t whole_us =
	    len > NODE_SNAPSHOT_PART_BYTES ? len * NODE_SEND_BYTE_US : 0;

	return peer->part_sent_us != 0 &&
	    peer->part_index == n->snapshot_source.index &&
	    peer->part_offset == offset &&
	    n->now < peer->part_sent_us + PART_RESEND_US + whole_us;
}

/* Sends len bytes of the snapshot; whole: in the form without parts. */
static void
send_part(struct node *n, struct node_peer *peer, uint64_t offset, size_t len,
    bool whole)
{
	const struct node_snapshot_source *s = &n->snapshot_source;
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__FollowPush push = WIRE__FOLLOW_PUSH__INIT;

	push.commit = n->applied;
	push.snapshot_index = s->index;
	push.snapshot.data = (uint8_t *)s->bytes.data + offset;
	push.snapshot.len = len;
	if (!whole) {
		push.snapshot_offset = offset;
		push.snapshot_total = s->bytes.len;
		push.snapshot_hash = s->hash;
	}
	envelope.body_case = WIRE__ENVELOPE__BODY_PUSH;
	envelope.push = &push;
	node_peer_send(n, peer->id, &envelope);
	peer->part_index = s->index;
	peer->part_offset = offset;
	peer->part_sent_us = n->now;
	n->counters.follow_parts++;
}

void
node_snapshot_send(
    struct node *n, struct node_peer *peer, const Wire__FollowPull *pull)
{
	struct node_snapshot_source *s = &n->snapshot_source;
	uint64_t offset = 0;
	size_t len;

	if (source_is_outdated(n, pull))
		source_pack(n);
	s->pulled_us = n->now;
	if (pull->snapshot_index == s->index &&
	    pull->snapshot_offset < s->bytes.len)
		offset = pull->snapshot_offset;
	len = s->bytes.len - (size_t)offset;
	if (pull->parts && len > NODE_SNAPSHOT_PART_BYTES) {
		len = NODE_SNAPSHOT_PART_BYTES;
		s->partial_us = n->now;
	}
	if (!part_is_in_flight(n, peer, offset, len))
		send_part(n, peer, offset, len, !pull->parts);
}

/* ---- at the follower ---------------------------------------------------- */

static void
incoming_drop(struct node *n)
{
	buf_free(&n->snapshot_incoming.bytes);
	n->snapshot_incoming.index = 0;
}

void
node_snapshot_tick(struct node *n)
{
	struct node_snapshot_source *s = &n->snapshot_source;

	if (s->bytes.data != NULL &&
	    n->now >= s->pulled_us + NODE_SNAPSHOT_IDLE_US)
		buf_free(&s->bytes);
	/* One that was being received when this instance became a voter. */
	if (n->snapshot_incoming.bytes.data != NULL &&
	    n->snapshot_incoming.index <= n->applied)
		incoming_drop(n);
}

uint32_t
node_snapshot_incoming_source(const struct node *n)
{
	return n->snapshot_incoming.bytes.len > 0 ? n->snapshot_incoming.source
						  : 0;
}

void
node_snapshot_fill_pull(struct node *n, uint32_t source, Wire__FollowPull *pull)
{
	struct node_snapshot_incoming *in = &n->snapshot_incoming;

	if (source != in->source || in->index <= n->applied)
		incoming_drop(n);
	in->source = source;
	pull->parts = true;
	pull->snapshot_index = in->index;
	pull->snapshot_offset = in->bytes.len;
}

static size_t
incoming_bytes_max(const struct node *n)
{
	size_t share = ((size_t)n->settings->memory_limit_mb << 20) /
	    SNAPSHOT_MEMORY_DIVISOR;

	return share > SNAPSHOT_BYTES_MIN ? share : SNAPSHOT_BYTES_MIN;
}

static bool
part_is_valid(const struct node *n, const Wire__FollowPush *push)
{
	return push->snapshot_total <= incoming_bytes_max(n) &&
	    push->snapshot.len > 0 &&
	    push->snapshot.len <= push->snapshot_total &&
	    push->snapshot_offset <= push->snapshot_total - push->snapshot.len;
}

/*
 * Starts again with the snapshot that a part belongs to. Parts of an older
 * snapshot of the same source are late ones and are ignored.
 */
static bool
incoming_begin(struct node *n, const Wire__FollowPush *push)
{
	struct node_snapshot_incoming *in = &n->snapshot_incoming;

	if (push->snapshot_index < in->index ||
	    (push->snapshot_index > in->index && push->snapshot_offset != 0))
		return false;
	n->counters.follow_restarts += in->index != 0 ? 1 : 0;
	incoming_drop(n);
	in->index = push->snapshot_index;
	in->hash = push->snapshot_hash;
	in->total = push->snapshot_total;
	in->started_us = n->now;
	return true;
}

static void
reject(struct node *n, uint32_t from, uint64_t index, size_t len)
{
	n->counters.malformed++;
	node_log(n, NODE_LOG_STATE_REJECTED,
	    "{\"from\": %u, \"index\": %llu, \"bytes\": %zu}", from,
	    (unsigned long long)index, len);
}

static bool
restore_whole(
    struct node *n, uint32_t from, uint64_t index, struct node_bytes bytes)
{
	uint64_t before = n->applied;

	if (node_replica_restore(n, index, bytes) != 0)
		reject(n, from, index, bytes.len);
	return n->applied > before;
}

/* All parts are received: checks the hash and takes over the state. */
static bool
incoming_complete(struct node *n)
{
	struct node_snapshot_incoming *in = &n->snapshot_incoming;
	struct node_bytes bytes = {in->bytes.data, in->bytes.len};
	bool restored = false;

	if (XXH64(bytes.data, bytes.len, 0) != in->hash)
		reject(n, in->source, in->index, bytes.len);
	else
		restored = restore_whole(n, in->source, in->index, bytes);
	if (restored)
		node_log(n, NODE_LOG_STATE_RECEIVED,
		    "{\"from\": %u, \"index\": %llu, \"bytes\": %zu, "
		    "\"tookMs\": %llu}",
		    in->source, (unsigned long long)in->index, bytes.len,
		    (unsigned long long)(n->now - in->started_us) / 1000);
	incoming_drop(n);
	return restored;
}

static bool
receive_part(struct node *n, uint32_t from, const Wire__FollowPush *push)
{
	struct node_snapshot_incoming *in = &n->snapshot_incoming;
	bool is_other = push->snapshot_index != in->index ||
	    push->snapshot_hash != in->hash ||
	    push->snapshot_total != in->total;

	if (from != in->source || push->snapshot_index <= n->applied)
		return false;
	if (!part_is_valid(n, push)) {
		reject(n, from, push->snapshot_index, push->snapshot.len);
		return false;
	}
	if (is_other && !incoming_begin(n, push))
		return false;
	if (push->snapshot_offset != in->bytes.len)
		return false;
	buf_append(&in->bytes, push->snapshot.data, push->snapshot.len);
	if (in->bytes.len < in->total)
		return true;
	return incoming_complete(n);
}

bool
node_snapshot_receive(
    struct node *n, uint32_t from, const Wire__FollowPush *push)
{
	struct node_bytes bytes = {
	    (const char *)push->snapshot.data, push->snapshot.len};

	if (push->snapshot_index == 0)
		return false;
	if (push->snapshot_total != 0)
		return receive_part(n, from, push);
	/* The form without parts, of an older version of the program. */
	return restore_whole(n, from, push->snapshot_index, bytes);
}
