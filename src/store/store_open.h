#ifndef MP_STORE_STORE_OPEN_H
#define MP_STORE_STORE_OPEN_H

#include "store/store_log.h"

/* What lies in a folder, read and checked. */
struct store_content {
	struct node_disk disk;
	struct buf snapshot; /* the file; disk.snapshot points into it */
	struct store_replay replay;
	struct store_log log;
};

#define STORE_FILE_IDENTITY "identity"
#define STORE_FILE_STATE    "state"
#define STORE_FILE_SNAPSHOT "snapshot"
#define STORE_FILE_LOCK	    "lock"

/*
 * Read a locked folder; found it when it is empty, move its content aside
 * and found it anew when that is damaged.
 *
 * Errors: MP_ERR_IO.
 */
int store_content_open(struct store_content *c, const struct store_files *files,
    const char *folder, struct mp_error *err);

/* Free what store_content_open() read, but not the log. */
void store_content_free(struct store_content *c);

/* Write a file that holds one record; 0 or a libuv error. */
int store_record_file_replace(const struct store_files *files,
    const char *folder, const char *name, const struct raft_record *record);

#endif
