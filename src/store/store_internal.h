#ifndef MP_STORE_STORE_INTERNAL_H
#define MP_STORE_STORE_INTERNAL_H

/* Functions of the store for its tests. */

#include "store/store.h"
#include "store/store_files.h"

#ifdef __cplusplus
extern "C" {
#endif

/* As store_open(), but with other file calls; files must outlive the store. */
int store_open_with(struct store **out, const struct store_files *files,
    uv_loop_t *loop, const char *folder, store_saved_cb cb, void *ctx,
    const struct node_disk **disk, struct mp_error *err);

#ifdef __cplusplus
}
#endif

#endif
