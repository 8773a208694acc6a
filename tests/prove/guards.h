#ifndef MP_TESTS_PROVE_GUARDS_H
#define MP_TESTS_PROVE_GUARDS_H

#include <string>
#include <vector>

/*
 * A safety rule that can be disabled, and the run in which the checkers must
 * then report a violation.
 */
struct Guard {
	const char *name;
	bool *enabled;
	std::vector<const char *> faults; /* each is tried with every seed */
	const char *step;
	const char *expected_violation; /* a part of its text */
};

extern const std::vector<Guard> all_guards;

#endif
