#include <stdlib.h>
#include <string.h>

#include "forward/forward_internal.h"
#include "util/mem.h"

/*
 * Which endpoints name the attempt in their answers.
 *
 * On a connection that has carried an earlier request, an answer that names no
 * attempt may be a second one to that request, or what a server sends before it
 * closes an idle connection. So it is not known whose it is. On a new
 * connection there is no other request that it could answer; an endpoint that
 * names none there gets a new connection for each request, and loses nothing
 * but kept connections.
 */

/* Endpoints that are remembered; with more of them all are forgotten. */
#define UNNAMED_MAX 1024u

struct fwd_naming {
	struct map *unnamed; /* uint64_t start of the process by endpoint */
};

struct fwd_naming *
fwd_naming_create(void)
{
	struct fwd_naming *naming = mem_alloc(1, sizeof(*naming));

	naming->unnamed = map_create();
	return naming;
}

void
fwd_naming_destroy(struct fwd_naming *naming)
{
	map_destroy_all(naming->unnamed, free);
	free(naming);
}

bool
fwd_naming_is_lacking(
    const struct fwd_naming *naming, const char *endpoint, uint64_t born_ms)
{
	const uint64_t *born = map_get_str(naming->unnamed, endpoint);

	return born != NULL && *born == born_ms;
}

static void
forget_all(struct fwd_naming *naming)
{
	map_destroy_all(naming->unnamed, free);
	naming->unnamed = map_create();
}

void
fwd_naming_record(struct fwd_naming *naming, const char *endpoint,
    uint64_t born_ms, bool is_named)
{
	uint64_t *born;

	if (fwd_naming_is_lacking(naming, endpoint, born_ms) == !is_named)
		return;
	free(map_remove_str(naming->unnamed, endpoint));
	if (is_named)
		return;
	if (map_count(naming->unnamed) >= UNNAMED_MAX)
		forget_all(naming);
	born = mem_alloc(1, sizeof(*born));
	*born = born_ms;
	(void)map_set_str(naming->unnamed, endpoint, born);
}
