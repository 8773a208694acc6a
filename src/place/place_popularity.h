#ifndef MP_PLACE_PLACE_POPULARITY_H
#define MP_PLACE_PLACE_POPULARITY_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Popularity of keys (models and adapters) at one entry: the share of a key in
 * the entry's recent requests.
 *
 * A few hot adapters may get more requests than the engines of one owner can
 * take, among thousands that are requested once. The share tells them apart.
 * Keys without recent requests are dropped.
 */
struct place_popularity;

struct place_popularity *place_popularity_create(void);
void place_popularity_destroy(struct place_popularity *pop);

/* Count a request for a key; returns its share of all requests, 0 to 1. */
double place_popularity_record(
    struct place_popularity *pop, uint64_t now_us, uint64_t key);

#ifdef __cplusplus
}
#endif

#endif
