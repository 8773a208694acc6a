#include <stdlib.h>
#include <string.h>

#include "fuzz/node_harness.h"
#include "util/mem.h"

#define REQUESTS_MAX 8
#define REQUEST_END  '\x1e' /* between two requests */

/* Method, path, authorization, key and timeout, a line each, then a body. */
static void
send_request(struct harness *h, const char *data, size_t len)
{
	char *lines[5] = {NULL}, *end;
	const char *const end_of_data = data + len;
	size_t i;

	for (i = 0; i < 5; i++) {
		end = memchr(data, '\n', (size_t)(end_of_data - data));
		if (end == NULL)
			break;
		lines[i] = mem_copy(data, (size_t)(end - data));
		data = end + 1;
	}
	if (i == 5)
		harness_request(h, (const char *const *)lines,
		    (struct node_bytes){data, (size_t)(end_of_data - data)});
	for (i = 0; i < 5; i++)
		free(lines[i]);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const char *at = (const char *)data, *end = at + size, *next;
	struct harness h;
	size_t i;

	harness_create_serving(&h);
	for (i = 0; i < REQUESTS_MAX && at < end; i++) {
		next = memchr(at, REQUEST_END, (size_t)(end - at));
		if (next == NULL)
			next = end;
		send_request(&h, at, (size_t)(next - at));
		harness_ticks(&h, 2);
		at = next + 1;
	}
	harness_ticks(&h, 20);
	harness_destroy(&h);
	return 0;
}
