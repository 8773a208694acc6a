#ifndef MP_GATE_GATE_CONFIG_H
#define MP_GATE_GATE_CONFIG_H

#include "gate/gate_route_index.h"
#include "mulberrypath/gateway.h"
#include "util/map.h"

/* Declarations shared by the files of the gateway's configuration. */

struct gw_config_index {
	struct gw_route_index *routes;
	struct map *services; /* struct gw_service by name; of several with
			       * one name, the first */
	struct map *priorities; /* number of routes by priority, as uintptr_t */
};

struct gw_config_index *gw_config_index_create(void);
void gw_config_index_destroy(struct gw_config_index *index);
/* Fills the map of services anew. */
void gw_config_index_services(struct gw_config *config);
/*
 * Counts a route for its priority; true: it is the first, or the last is gone.
 *
 * change: 1: the route is added, -1: removed.
 */
bool gw_config_index_count_priority(
    struct gw_config_index *index, const struct gw_route *route, int change);

/*
 * Checks a route apart from others: its timeout, services and weights, whose
 * sum it stores.
 *
 * index: of the route, for the error message.
 */
int gw_config_check_route(const struct gw_config *config, struct gw_route *r,
    size_t index, struct mp_error *err);

#endif
