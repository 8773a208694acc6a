#ifndef MP_TESTS_PROVE_GUARDS_H
#define MP_TESTS_PROVE_GUARDS_H

#include <string>
#include <vector>

/* A guard that can be switched off, and who must notice. */
struct Guard {
	const char *name;
	bool *enabled;
	std::vector<const char *> faults; /* where to look */
	const char *step;
	const char *expected_violation; /* part of the violation expected */
};

extern const std::vector<Guard> all_guards;

#endif
