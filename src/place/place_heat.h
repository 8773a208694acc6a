#ifndef MP_PLACE_PLACE_HEAT_H
#define MP_PLACE_PLACE_HEAT_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * How hot a key is, as an entry sees it: its share of the requests lately.
 *
 * The pattern it answers: a few adapters that take more requests than the
 * engines of one owner bear, among thousands that are asked for once. Keys that
 * grow cold are forgotten.
 */
struct place_heat;

struct place_heat *place_heat_create(void);
void place_heat_destroy(struct place_heat *h);

/* Count a request for a key; the key's share of all, 0 to 1. */
double place_heat_note(struct place_heat *h, uint64_t now_us, uint64_t key);

#ifdef __cplusplus
}
#endif

#endif
