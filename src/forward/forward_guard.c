#include "forward/forward_guard.h"

/* All safety rules are enabled. */
struct forward_guards forward_guards = {true, true, true, true, true, true};
