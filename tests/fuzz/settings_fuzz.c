#include "fuzz/node_harness.h"

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct settings_problems problems = {0};
	struct settings *settings = NULL;
	struct mp_error err;

	if (settings_parse(
		&settings, (const char *)data, size, &problems, &err) == MP_OK)
		settings_destroy(settings);
	settings_problems_free(&problems);
	return 0;
}
