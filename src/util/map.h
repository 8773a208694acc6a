#ifndef MP_UTIL_MAP_H
#define MP_UTIL_MAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Hash map from byte strings to pointers. Iteration follows the order of
 * insertion with removed places filled from the end, so it depends on the
 * sequence of calls alone and replays alike.
 */
struct map;

struct map *map_create(void);

/* Free the map and its keys; the values stay the caller's. */
void map_destroy(struct map *m);

/* Free the values, too. */
void map_destroy_all(struct map *m, void (*destroy)(void *value));

size_t map_count(const struct map *m);

/* The value under a key, or NULL. */
void *map_get(const struct map *m, const void *key, size_t len);

/* Set or replace a value (not NULL); the old value or NULL is returned. */
void *map_set(struct map *m, const void *key, size_t len, void *value);

/* Remove a key; its value or NULL is returned. */
void *map_remove(struct map *m, const void *key, size_t len);

/* The i-th value, i < map_count(); removal moves the last into its place. */
void *map_at(const struct map *m, size_t i);

/* The key of the i-th value; zero-terminated; len may be NULL. */
const char *map_key_at(const struct map *m, size_t i, size_t *len);

/* The same for string keys. */
void *map_get_str(const struct map *m, const char *key);
void *map_set_str(struct map *m, const char *key, void *value);
void *map_remove_str(struct map *m, const char *key);

/* The same for integer keys. */
void *map_get_u64(const struct map *m, uint64_t key);
void *map_set_u64(struct map *m, uint64_t key, void *value);
void *map_remove_u64(struct map *m, uint64_t key);

#ifdef __cplusplus
}
#endif

#endif
