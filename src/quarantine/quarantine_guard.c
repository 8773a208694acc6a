#include "quarantine/quarantine_guard.h"

struct quarantine_guards quarantine_guards = {
    .refuse = true, .served = true, .separate = true, .explain = true};
