#include "route/route_guard.h"

struct route_guards route_guards = {true, true, true, true, true, true, true};
