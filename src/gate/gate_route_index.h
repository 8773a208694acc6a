#ifndef MP_GATE_GATE_ROUTE_INDEX_H
#define MP_GATE_GATE_ROUTE_INDEX_H

#include "mulberrypath/gateway.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Finds routes by host, without regard to case, and path prefix. A look-up
 * tries the prefixes of the path whose lengths occur among those of the host,
 * longest first, so its cost does not depend on the number of routes. Routes
 * must not change while they are in the index, which does not own them.
 */
struct gw_route_index;

struct gw_route_index *gw_route_index_create(void);
/* Frees the index. NULL is allowed. */
void gw_route_index_destroy(struct gw_route_index *index);

/*
 * Adds a route. Returns the one that has the same host and prefix already, in
 * which case nothing changes, or NULL.
 */
struct gw_route *gw_route_index_add(
    struct gw_route_index *index, struct gw_route *route);
/* Removes a route; false: it is not in the index. */
bool gw_route_index_remove(
    struct gw_route_index *index, const struct gw_route *route);
/* Finds the route with the longest prefix of the path, or NULL. */
const struct gw_route *gw_route_index_find(
    const struct gw_route_index *index, const char *host, const char *path);

#ifdef __cplusplus
}
#endif

#endif
