#ifndef MP_TESTS_QUOTA_GUARD_NAMES_H
#define MP_TESTS_QUOTA_GUARD_NAMES_H

#include "guard_off.h"

extern "C" {
#include "quota/quota_guard.h"
}

static const std::vector<NamedGuard> kGuards = {
    {"quota.outstanding", &quota_guards.outstanding},
    {"quota.expiry", &quota_guards.expiry},
    {"quota.empty_start", &quota_guards.empty_start},
    {"quota.reserve", &quota_guards.reserve},
    {"quota.repeat", &quota_guards.repeat}, {"quota.late", &quota_guards.late},
    {"quota.unit", &quota_guards.unit}};

#endif
