#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "gate/gate_route_index.h"
#include "util/map.h"
#include "util/mem.h"

/* Index of routes by host and prefix, see gate_route_index.h. */

/* How many prefixes of a host have a length. */
struct length_count {
	uint32_t all;
	uint32_t unslashed; /* of these, don't end with a slash */
};

/* The routes of a host. */
struct host {
	struct map *routes; /* struct gw_route by prefix */
	struct length_count *lengths; /* by length, up to max_len */
	size_t max_len;
};

struct gw_route_index {
	struct map *hosts; /* struct host by name in lower case */
};

/* Room for names of hosts in a look-up; longer ones take an allocation. */
#define HOST_BYTES 256

/*
 * Returns the name in lower case: in buffer, or allocated if it is too long,
 * which free_lower() frees.
 */
static char *
make_lower(char buffer[HOST_BYTES], const char *name)
{
	size_t len = strlen(name), i;
	char *out = len < HOST_BYTES ? buffer : mem_alloc(len + 1, 1);

	for (i = 0; i < len; i++)
		out[i] = (char)tolower((unsigned char)name[i]);
	out[len] = '\0';
	return out;
}

static void
free_lower(const char buffer[HOST_BYTES], char *name)
{
	if (name != buffer)
		free(name);
}

static struct host *
find_host(const struct gw_route_index *index, const char *name)
{
	char buffer[HOST_BYTES], *lower = make_lower(buffer, name);
	struct host *h = map_get_str(index->hosts, lower);

	free_lower(buffer, lower);
	return h;
}

static struct host *
add_host(struct gw_route_index *index, const char *name)
{
	char buffer[HOST_BYTES], *lower = make_lower(buffer, name);
	struct host *h = mem_alloc(1, sizeof(*h));

	h->routes = map_create();
	h->lengths = mem_alloc(1, sizeof(*h->lengths));
	(void)map_set_str(index->hosts, lower, h);
	free_lower(buffer, lower);
	return h;
}

static void
host_destroy(void *value)
{
	struct host *h = value;

	map_destroy(h->routes);
	free(h->lengths);
	free(h);
}

static void
remove_host(struct gw_route_index *index, const char *name)
{
	char buffer[HOST_BYTES], *lower = make_lower(buffer, name);

	host_destroy(map_remove_str(index->hosts, lower));
	free_lower(buffer, lower);
}

static bool
ends_with_slash(const char *prefix, size_t len)
{
	return len > 0 && prefix[len - 1] == '/';
}

static void
add_length(struct host *h, const char *prefix, size_t len)
{
	if (len > h->max_len) {
		h->lengths =
		    mem_resize(h->lengths, len + 1, sizeof(*h->lengths));
		memset(h->lengths + h->max_len + 1, 0,
		    (len - h->max_len) * sizeof(*h->lengths));
		h->max_len = len;
	}
	h->lengths[len].all++;
	h->lengths[len].unslashed += !ends_with_slash(prefix, len);
}

struct gw_route_index *
gw_route_index_create(void)
{
	struct gw_route_index *index = mem_alloc(1, sizeof(*index));

	index->hosts = map_create();
	return index;
}

void
gw_route_index_destroy(struct gw_route_index *index)
{
	if (index == NULL)
		return;
	map_destroy_all(index->hosts, host_destroy);
	free(index);
}

struct gw_route *
gw_route_index_add(struct gw_route_index *index, struct gw_route *route)
{
	size_t len = strlen(route->prefix);
	struct host *h = find_host(index, route->host);
	struct gw_route *same;

	if (h == NULL)
		h = add_host(index, route->host);
	same = map_get(h->routes, route->prefix, len);
	if (same != NULL)
		return same;
	(void)map_set(h->routes, route->prefix, len, route);
	add_length(h, route->prefix, len);
	return NULL;
}

bool
gw_route_index_remove(
    struct gw_route_index *index, const struct gw_route *route)
{
	size_t len = strlen(route->prefix);
	struct host *h = find_host(index, route->host);

	if (h == NULL || map_get(h->routes, route->prefix, len) != route)
		return false;
	(void)map_remove(h->routes, route->prefix, len);
	h->lengths[len].all--;
	h->lengths[len].unslashed -= !ends_with_slash(route->prefix, len);
	if (map_count(h->routes) == 0)
		remove_host(index, route->host);
	return true;
}

const struct gw_route *
gw_route_index_find(
    const struct gw_route_index *index, const char *host, const char *path)
{
	const struct host *h = find_host(index, host);
	const struct gw_route *r;
	size_t len;

	if (h == NULL)
		return NULL;
	for (len = strnlen(path, h->max_len) + 1; len-- > 0;) {
		if (h->lengths[len].all == 0 ||
		    (h->lengths[len].unslashed == 0 &&
			!ends_with_slash(path, len)))
			continue;
		r = map_get(h->routes, path, len);
		if (r != NULL)
			return r;
	}
	return NULL;
}
