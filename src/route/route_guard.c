#include "route/route_guard.h"

/* All safety rules are enabled. */
struct route_guards route_guards = {true, true, true, true, true, true, true};
