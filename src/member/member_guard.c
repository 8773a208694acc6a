/* The guards of member_guard.h, all on. */
#include "member/member.h"
#include "member/member_guard.h"

struct member_guards member_guards = {.lease_from_send = true,
    .lease_margin = true,
    .lease_required = true,
    .lease_wait = true,
    .earlier_leases = true,
    .flight = true,
    .promise = true,
    .seal = true,
    .same_epoch = true,
    .support_required = true,
    .in_force_leases = true,
    .in_force_support = true,
    .leader_by_authority = true,
    .known_commit = true,
    .found_ended = true,
    .all_can_read = true,
    .permit_hold = true};

size_t member_large_threshold = MEMBER_LARGE_THRESHOLD;
