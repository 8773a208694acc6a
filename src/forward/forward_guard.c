#include "forward/forward_guard.h"

/* All safety rules are enabled. */
struct forward_guards forward_guards = {.once = true,
    .truth = true,
    .proof = true,
    .match = true,
    .gap = true,
    .timeout = true,
    .whole_events = true,
    .stop = true,
    .attempts = true,
    .account = true};
