#include "node/node_guard.h"

struct node_guards node_guards = {true, true, true, true, true};
