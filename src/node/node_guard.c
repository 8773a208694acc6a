#include "node/node_guard.h"
#include "node/node_internal.h"

struct node_guards node_guards = {true, true, true, true, true, true, true,
    true, true, true, true, true, true};

size_t node_direct_members_max = NODE_DIRECT_MEMBERS_MAX;
