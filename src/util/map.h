#ifndef MP_UTIL_MAP_H
#define MP_UTIL_MAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * A hash map from byte strings to pointers. It copies keys and does not own
 * values. Items are iterated by index in insertion order, except that a removal
 * moves the last item to the index of the removed one. The order depends only
 * on the sequence of calls, so a replay of the calls iterates in the same
 * order.
 */
struct map;

/* Allocates an empty map; map_destroy() frees it. */
struct map *map_create(void);

/* Frees the map and its keys, not the values. m may be NULL. */
void map_destroy(struct map *m);

/* Calls destroy on each value, then frees the map. m may be NULL. */
void map_destroy_all(struct map *m, void (*destroy)(void *value));

/* Returns the number of items. */
size_t map_count(const struct map *m);

/* Returns the value of a key of len bytes, or NULL if it is not in the map. */
void *map_get(const struct map *m, const void *key, size_t len);

/* Adds or replaces a value (not NULL). Returns the replaced value or NULL. */
void *map_set(struct map *m, const void *key, size_t len, void *value);

/* Removes a key. Returns its value, or NULL if it was not in the map. */
void *map_remove(struct map *m, const void *key, size_t len);

/* Returns the value at index i < map_count(). */
void *map_at(const struct map *m, size_t i);

/*
 * Returns the key at index i < map_count(), zero-terminated and owned by the
 * map. *len is set to its length in bytes, without the terminator; len may be
 * NULL.
 */
const char *map_key_at(const struct map *m, size_t i, size_t *len);

/* The same for string keys, compared without the terminator. */
void *map_get_str(const struct map *m, const char *key);
void *map_set_str(struct map *m, const char *key, void *value);
void *map_remove_str(struct map *m, const char *key);

/* The same for integer keys, in the byte order of the machine. */
void *map_get_u64(const struct map *m, uint64_t key);
void *map_set_u64(struct map *m, uint64_t key, void *value);
void *map_remove_u64(struct map *m, uint64_t key);

#ifdef __cplusplus
}
#endif

#endif
