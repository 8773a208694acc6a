#include "quota/quota_guard.h"

struct quota_guards quota_guards = {.outstanding = true,
    .expiry = true,
    .empty_start = true,
    .reserve = true,
    .repeat = true,
    .unit = true,
    .late = true};
