#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "raft/raft_record.h"
#include "store/store_open.h"
#include "util/mem.h"

/* Subfolders damaged-<n> hold damaged content that was moved aside. */
#define DAMAGED_PREFIX	    "damaged-"
#define DAMAGED_FOLDERS_MAX 10000
#define DAMAGED_NAME_BYTES  32

int
store_record_file_replace(const struct store_files *files, const char *folder,
    const char *name, const struct raft_record *record)
{
	struct buf b = {0};
	int code;

	raft_record_pack(&b, record);
	code = store_file_replace(files, folder, name, b.data, b.len);
	buf_free(&b);
	return code;
}

static int
set_io_error(struct mp_error *err, const char *what, int code)
{
	return mp_error_set(
	    err, MP_LAYER_STORE, MP_ERR_IO, "%s: %s", what, uv_strerror(code));
}

/*
 * Reads a file that holds exactly one record of the given type.
 *
 * out: its data points into content.
 * Errors: MP_ERR_NOT_FOUND (no such file), MP_ERR_CORRUPT, MP_ERR_IO.
 */
static int
record_file_read(const char *folder, const char *name, uint32_t type,
    struct raft_record *out, struct buf *content, struct mp_error *err)
{
	char *path = store_path_join(folder, name);
	struct node_bytes bytes;
	size_t used = 0;
	int code;

	code = store_file_read(path, content);
	free(path);
	if (code == UV_ENOENT)
		return MP_ERR_NOT_FOUND;
	if (code < 0)
		return set_io_error(err, name, code);
	bytes.data = content->data;
	bytes.len = content->len;
	if (raft_record_read(out, &used, bytes) != MP_OK || used != bytes.len ||
	    out->type != type)
		return mp_error_set(err, MP_LAYER_STORE, MP_ERR_CORRUPT,
		    "the file %s is damaged", name);
	return MP_OK;
}

/*
 * Initialises an empty folder: writes the state file, then the identity file
 * with a new random incarnation. The identity file is written last, so that
 * its presence shows that both files are complete.
 */
static int
folder_init(struct store_content *c, const struct store_files *files,
    const char *folder, struct mp_error *err)
{
	struct raft_record state = {.type = RAFT_RECORD_STATE};
	struct raft_record identity = {.type = RAFT_RECORD_IDENTITY};
	int code;

	while (identity.index == 0)
		randombytes_buf(&identity.index, sizeof(identity.index));
	code =
	    store_record_file_replace(files, folder, STORE_FILE_STATE, &state);
	if (code == 0)
		code = store_record_file_replace(
		    files, folder, STORE_FILE_IDENTITY, &identity);
	if (code != 0)
		return set_io_error(
		    err, "cannot initialise the data folder", code);
	c->disk.incarnation = identity.index;
	return store_log_open(&c->log, files, folder, &c->replay, err);
}

/* Whether a name in the folder is neither the lock nor a damaged-<n>. */
static bool
name_is_content(const char *name)
{
	return strcmp(name, STORE_FILE_LOCK) != 0 &&
	    strncmp(name, DAMAGED_PREFIX, strlen(DAMAGED_PREFIX)) != 0;
}

static bool
name_is_tmp(const char *name)
{
	size_t len = strlen(name);

	return len > 4 && strcmp(name + len - 4, ".tmp") == 0;
}

/* Moves the content into a subfolder, which is created. */
static int
folder_move_content(
    const struct store_files *files, const char *folder, const char *subfolder)
{
	char *to_folder = store_path_join(folder, subfolder);
	uv_dirent_t entry;
	uv_fs_t req;
	int code;

	code = store_folder_create(to_folder);
	if (code == 0)
		code = uv_fs_scandir(NULL, &req, folder, 0, NULL);
	if (code < 0) {
		free(to_folder);
		return code;
	}
	code = 0;
	while (code == 0 && uv_fs_scandir_next(&req, &entry) != UV_EOF) {
		char *from, *to;

		if (!name_is_content(entry.name))
			continue;
		from = store_path_join(folder, entry.name);
		to = store_path_join(to_folder, entry.name);
		code = files->rename(files, from, to);
		free(from);
		free(to);
	}
	uv_fs_req_cleanup(&req);
	if (code == 0)
		code = store_folder_sync(files, to_folder);
	if (code == 0)
		code = store_folder_sync(files, folder);
	free(to_folder);
	return code;
}

/* Moves the content into the first damaged-<n> that does not exist. */
static int
folder_move_damaged(
    const struct store_files *files, const char *folder, struct mp_error *err)
{
	char name[DAMAGED_NAME_BYTES];
	uv_fs_t req;
	char *path;
	int n, code = 0;

	for (n = 1; n < DAMAGED_FOLDERS_MAX && code == 0; n++) {
		(void)snprintf(name, sizeof(name), DAMAGED_PREFIX "%d", n);
		path = store_path_join(folder, name);
		code = uv_fs_stat(NULL, &req, path, NULL);
		uv_fs_req_cleanup(&req);
		free(path);
	}
	code = folder_move_content(files, folder, name);
	if (code != 0)
		return set_io_error(
		    err, "cannot move damaged content aside", code);
	return MP_OK;
}

/*
 * Looks through the folder and removes temporary files.
 *
 * has_content: whether there is any other file of the store.
 * has_other_files: whether there is one besides the state file.
 */
static int
folder_scan(const char *folder, bool *has_content, bool *has_other_files,
    struct mp_error *err)
{
	uv_dirent_t entry;
	uv_fs_t req;
	char *path;
	int code;

	*has_content = false;
	*has_other_files = false;
	code = uv_fs_scandir(NULL, &req, folder, 0, NULL);
	while (code >= 0 && uv_fs_scandir_next(&req, &entry) != UV_EOF) {
		if (!name_is_content(entry.name))
			continue;
		if (name_is_tmp(entry.name)) {
			path = store_path_join(folder, entry.name);
			(void)store_file_remove(path);
			free(path);
			continue;
		}
		*has_content = true;
		if (strcmp(entry.name, STORE_FILE_STATE) != 0)
			*has_other_files = true;
	}
	uv_fs_req_cleanup(&req);
	return code < 0 ? set_io_error(err, "cannot read the data folder", code)
			: MP_OK;
}

static int
content_read_state(
    struct store_content *c, const char *folder, struct mp_error *err)
{
	struct raft_record rec = {0};
	struct buf b = {0};
	int code;

	code = record_file_read(
	    folder, STORE_FILE_STATE, RAFT_RECORD_STATE, &rec, &b, err);
	if (code == MP_OK) {
		c->disk.term = rec.term;
		c->disk.vote = rec.index;
	} else if (code == MP_ERR_NOT_FOUND) {
		code = mp_error_set(err, MP_LAYER_STORE, MP_ERR_CORRUPT,
		    "the state file is missing");
	}
	buf_free(&b);
	return code;
}

static int
content_read_snapshot(
    struct store_content *c, const char *folder, struct mp_error *err)
{
	struct raft_record rec = {0};
	int code;

	code = record_file_read(folder, STORE_FILE_SNAPSHOT,
	    RAFT_RECORD_SNAPSHOT, &rec, &c->snapshot, err);
	if (code == MP_ERR_NOT_FOUND)
		return MP_OK;
	if (code != MP_OK)
		return code;
	c->disk.snapshot_index = rec.index;
	c->disk.snapshot_term = rec.term;
	c->disk.snapshot = rec.data;
	c->replay.snapshot_index = rec.index;
	return MP_OK;
}

static int
content_read(struct store_content *c, const struct store_files *files,
    const char *folder, struct mp_error *err)
{
	struct raft_record rec = {0};
	struct buf b = {0};
	int code;

	code = record_file_read(
	    folder, STORE_FILE_IDENTITY, RAFT_RECORD_IDENTITY, &rec, &b, err);
	buf_free(&b);
	if (code == MP_ERR_NOT_FOUND)
		return mp_error_set(err, MP_LAYER_STORE, MP_ERR_CORRUPT,
		    "the identity file is missing");
	if (code != MP_OK)
		return code;
	c->disk.incarnation = rec.index;
	code = content_read_state(c, folder, err);
	if (code == MP_OK)
		code = content_read_snapshot(c, folder, err);
	c->replay.is_log_required =
	    c->disk.term != 0 || c->disk.snapshot_index != 0;
	if (code == MP_OK)
		code = store_log_open(&c->log, files, folder, &c->replay, err);
	if (code != MP_OK)
		return code;
	c->disk.first_index = c->replay.first_index;
	c->disk.record_count = c->replay.count;
	c->disk.records.data = c->replay.records.data;
	c->disk.records.len = c->replay.records.len;
	return MP_OK;
}

int
store_content_open(struct store_content *c, const struct store_files *files,
    const char *folder, struct mp_error *err)
{
	bool has_content, has_other_files;
	bool was_init_interrupted = false, is_damaged = false;
	int code;

	memset(c, 0, sizeof(*c));
	c->log.fd = -1;
	code = folder_scan(folder, &has_content, &has_other_files, err);
	if (code != MP_OK)
		return code;
	if (has_content) {
		code = content_read(c, files, folder, err);
		if (code != MP_ERR_CORRUPT)
			return code;
		/*
		 * A state file with term 0 and no other file are left
		 * if a crash interrupted folder_init().
		 */
		was_init_interrupted = !has_other_files &&
		    content_read_state(c, folder, NULL) == MP_OK &&
		    c->disk.term == 0;
		is_damaged = !was_init_interrupted;
		store_log_close(&c->log);
		store_content_free(c);
		if (is_damaged)
			code = folder_move_damaged(files, folder, err);
		else
			code = MP_OK;
		if (code != MP_OK)
			return code;
	}
	code = folder_init(c, files, folder, err);
	c->disk.fresh = !is_damaged;
	c->disk.damaged = is_damaged;
	return code;
}

void
store_content_free(struct store_content *c)
{
	buf_free(&c->snapshot);
	store_replay_free(&c->replay);
	memset(&c->disk, 0, sizeof(c->disk));
}
