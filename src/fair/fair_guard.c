#include "fair/fair.h"

struct fair_guards fair_guards = {true, true, true};
