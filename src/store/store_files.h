#ifndef MP_STORE_STORE_FILES_H
#define MP_STORE_STORE_FILES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "util/buf.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * File operations of the store. All calls block and, unless stated otherwise,
 * return 0 or a negative libuv error.
 */

/*
 * The calls whose failures are tested: tests replace them by ones that fail.
 * write() writes all len bytes at offset.
 */
struct store_files {
	int (*write)(const struct store_files *files, uv_file fd, const void *p,
	    size_t len, int64_t offset);
	int (*sync)(const struct store_files *files, uv_file fd);
	int (*rename)(
	    const struct store_files *files, const char *from, const char *to);
};

extern const struct store_files store_files_default;

/* Opens a file for reading and writing; creates it if create is true. */
int store_file_open(uv_file *out, const char *path, bool create);

/* Closes a file; a negative fd is ignored. */
void store_file_close(uv_file fd);

/* Appends the content of a file to out; UV_ENOENT if it does not exist. */
int store_file_read(const char *path, struct buf *out);

/* Syncs a folder, so that files created or renamed in it survive a crash. */
int store_folder_sync(const struct store_files *files, const char *path);

/*
 * Replaces a file atomically: writes and syncs a temporary file, renames it
 * and syncs the folder.
 */
int store_file_replace(const struct store_files *files, const char *folder,
    const char *name, const void *p, size_t len);

int store_file_truncate(uv_file fd, int64_t size);

int store_file_remove(const char *path);

/* Creates a folder, readable to its owner only; it may exist already. */
int store_folder_create(const char *path);

/* Returns the path of a file in a folder; the caller frees it. */
char *store_path_join(const char *folder, const char *name);

#ifdef __cplusplus
}
#endif

#endif
