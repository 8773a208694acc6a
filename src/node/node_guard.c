#include "node/node_guard.h"
#include "node/node_gate.h"
#include "node/node_internal.h"

struct node_guards node_guards = {.takeover_wait = true,
    .active_epoch = true,
    .act_until = true,
    .relay_round = true,
    .relay_process = true,
    .orphan_pins = true,
    .cache_resync = true,
    .gate_highest = true,
    .gate_confirmed = true,
    .gate_leave_logged = true,
    .gate_checked = true,
    .gate_verdict = true,
    .gate_base = true,
    .gate_capable = true,
    .renew_at_leader = true,
    .gate_active = true,
    .gate_leased = true,
    .reply_process = true};

size_t node_direct_members_max = NODE_DIRECT_MEMBERS_MAX;
size_t node_decode_slice_bytes = GATE_DECODE_SLICE_BYTES;
bool (*node_is_earlier_version)(uint32_t id);
