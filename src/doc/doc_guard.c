#include "doc/doc_guard.h"

struct doc_guards doc_guards = {true, true};
