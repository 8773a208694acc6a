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
 * Blocking file calls, made on the thread pool. Tests put failing ones in
 * place. All return 0 or a negative libuv error.
 */
struct store_files {
	int (*write)(const struct store_files *files, uv_file fd, const void *p,
	    size_t len, int64_t offset);
	int (*sync)(const struct store_files *files, uv_file fd);
	int (*rename)(
	    const struct store_files *files, const char *from, const char *to);
};

extern const struct store_files store_files_default;

/* Open for reading and writing, making it when create is true. */
int store_file_open(uv_file *out, const char *path, bool create);
void store_file_close(uv_file fd);

/* Append a whole file to out; UV_ENOENT when there is none. */
int store_file_read(const char *path, struct buf *out);

/* Sync a folder, so that new and renamed files in it last. */
int store_folder_sync(const struct store_files *files, const char *path);

/* Write a file whole: another name, sync, rename, sync of the folder. */
int store_file_replace(const struct store_files *files, const char *folder,
    const char *name, const void *p, size_t len);

/* Set the size of a file. */
int store_file_truncate(uv_file fd, int64_t size);

int store_file_remove(const char *path);
int store_folder_create(const char *path);

/* The path of a file in a folder; freed by the caller. */
char *store_path_join(const char *folder, const char *name);

#ifdef __cplusplus
}
#endif

#endif
