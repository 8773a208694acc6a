#ifndef MP_PLACE_PLACE_POPULARITY_H
#define MP_PLACE_PLACE_POPULARITY_H

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
struct place_popularity;

struct place_popularity *place_popularity_create(void);
void place_popularity_destroy(struct place_popularity *h);

/* Count a request for a key; the key's share of all, 0 to 1. */
double place_popularity_record(
    struct place_popularity *h, uint64_t now_us, uint64_t key);

#ifdef __cplusplus
}
#endif

#endif
