#include "forward/forward_guard.h"

struct forward_guards forward_guards = {true, true, true, true, true, true};
