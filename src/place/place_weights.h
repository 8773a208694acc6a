#ifndef MP_PLACE_PLACE_WEIGHTS_H
#define MP_PLACE_PLACE_WEIGHTS_H

#include "place/place_internal.h"

/* Weights of models at engines: their choice, and loads from the weight store.
 */

/* Duration of a load at the engine, by the copies that it keeps; 0: not told.
 */
uint32_t place_weights_load_ms(
    const struct place_endpoint *e, const struct place_adapter *weights);
/*
 * Whether the weights may be loaded now. A load that the engine has no copy for
 * comes from the store, within the rate that the engine's service allows.
 */
bool place_weights_take_permit(struct place *p, const struct place_endpoint *e,
    struct place_adapter *weights, const struct gw_engine *engine);
/*
 * Adds the weights with the fewest copies to an engine without any; NULL: none
 * fit it.
 */
struct place_adapter *place_weights_choose(
    struct place *p, struct place_endpoint *e, const struct gw_engine *engine);

#endif
