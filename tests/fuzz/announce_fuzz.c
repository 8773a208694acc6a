#include <string.h>

#include "fuzz/node_harness.h"

#define REPORTS_MAX 8
#define REPORT_END  '\x1e' /* between two announcements */

/* A first byte '!' marks cache events. */
static void
report(struct harness *h, const char *data, size_t len)
{
	static const char *const announcement[5] = {
	    "POST", "/v1/endpoints/announce"};
	static const char *const events[5] = {
	    "POST", "/v1/endpoints/cache-events"};

	if (len > 0 && *data == '!')
		harness_request(
		    h, events, (struct node_bytes){data + 1, len - 1});
	else
		harness_request(
		    h, announcement, (struct node_bytes){data, len});
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static const char *const list[5] = {
	    "GET", "/v1/endpoints", "Bearer op"};
	const char *at = (const char *)data, *end = at + size, *next;
	struct harness h;
	size_t i;

	harness_create_serving(&h);
	for (i = 0; i < REPORTS_MAX && at < end; i++) {
		next = memchr(at, REPORT_END, (size_t)(end - at));
		if (next == NULL)
			next = end;
		report(&h, at, (size_t)(next - at));
		harness_ticks(&h, 2);
		at = next + 1;
	}
	harness_request(&h, list, (struct node_bytes){"", 0});
	harness_ticks(&h, 20);
	harness_destroy(&h);
	return 0;
}
