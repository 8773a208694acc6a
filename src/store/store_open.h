#ifndef MP_STORE_STORE_OPEN_H
#define MP_STORE_STORE_OPEN_H

#include "store/store_log.h"

/* The verified content of a data folder. */
struct store_content {
	struct node_disk disk; /* points into snapshot and replay */
	struct buf snapshot; /* content of the snapshot file */
	struct store_replay replay;
	struct store_log log;
};

/* Files in the data folder, besides the log segments. */
#define STORE_FILE_IDENTITY "identity"
#define STORE_FILE_STATE    "state"
#define STORE_FILE_SNAPSHOT "snapshot"
#define STORE_FILE_LOCK	    "lock"

/*
 * Reads the data folder, which the caller has locked. An empty folder is
 * initialised. Damaged content is moved into a subfolder damaged-<n> and the
 * folder is then initialised again.
 *
 * Errors: MP_ERR_IO.
 */
int store_content_open(struct store_content *c, const struct store_files *files,
    const char *folder, struct mp_error *err);

/* Frees the content that was read; the log stays open. */
void store_content_free(struct store_content *c);

/*
 * Replaces a file by one that holds only this record, atomically. Returns 0
 * or a negative libuv error.
 */
int store_record_file_replace(const struct store_files *files,
    const char *folder, const char *name, const struct raft_record *record);

#endif
