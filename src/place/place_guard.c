#include "place/place_guard.h"

struct place_guards place_guards = {
    true, true, true, true, true, true, true, true, true, true, true, true};
