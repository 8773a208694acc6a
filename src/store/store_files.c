#include <fcntl.h>
#include <stdlib.h>

#include "store/store_files.h"
#include "util/mem.h"

#define READ_CHUNK_BYTES (256 * 1024)
#define FILE_MODE	 0600
#define FOLDER_MODE	 0700

static int
files_write(const struct store_files *files, uv_file fd, const void *p,
    size_t len, int64_t offset)
{
	const char *from = p;
	uv_fs_t req;
	uv_buf_t b;
	int n;

	(void)files;
	while (len > 0) {
		b = uv_buf_init((char *)from, (unsigned int)len);
		n = uv_fs_write(NULL, &req, fd, &b, 1, offset, NULL);
		uv_fs_req_cleanup(&req);
		if (n <= 0)
			return n < 0 ? n : UV_EIO;
		from += n;
		len -= (size_t)n;
		offset += n;
	}
	return 0;
}

static int
files_sync(const struct store_files *files, uv_file fd)
{
	uv_fs_t req;
	int code;

	(void)files;
	code = uv_fs_fdatasync(NULL, &req, fd, NULL);
	uv_fs_req_cleanup(&req);
	return code;
}

static int
files_rename(const struct store_files *files, const char *from, const char *to)
{
	uv_fs_t req;
	int code;

	(void)files;
	code = uv_fs_rename(NULL, &req, from, to, NULL);
	uv_fs_req_cleanup(&req);
	return code;
}

const struct store_files store_files_default = {
    .write = files_write,
    .sync = files_sync,
    .rename = files_rename,
};

int
store_file_open(uv_file *out, const char *path, bool create)
{
	uv_fs_t req;
	int code;

	code = uv_fs_open(NULL, &req, path,
	    O_RDWR | O_CLOEXEC | (create ? O_CREAT : 0), FILE_MODE, NULL);
	uv_fs_req_cleanup(&req);
	*out = code;
	return code < 0 ? code : 0;
}

void
store_file_close(uv_file fd)
{
	uv_fs_t req;

	if (fd < 0)
		return;
	(void)uv_fs_close(NULL, &req, fd, NULL);
	uv_fs_req_cleanup(&req);
}

int
store_file_read(const char *path, struct buf *out)
{
	char *chunk;
	uv_fs_t req;
	uv_file fd;
	uv_buf_t b;
	int n;

	n = store_file_open(&fd, path, false);
	if (n < 0)
		return n;
	chunk = mem_alloc(READ_CHUNK_BYTES, 1);
	do {
		b = uv_buf_init(chunk, READ_CHUNK_BYTES);
		n = uv_fs_read(NULL, &req, fd, &b, 1, -1, NULL);
		uv_fs_req_cleanup(&req);
		if (n > 0)
			buf_append(out, chunk, (size_t)n);
	} while (n > 0);
	free(chunk);
	store_file_close(fd);
	return n;
}

int
store_folder_sync(const struct store_files *files, const char *path)
{
	uv_fs_t req;
	int code;
	uv_file fd;

	fd = uv_fs_open(
	    NULL, &req, path, O_RDONLY | O_DIRECTORY | O_CLOEXEC, 0, NULL);
	uv_fs_req_cleanup(&req);
	if (fd < 0)
		return fd;
	code = files->sync(files, fd);
	store_file_close(fd);
	return code;
}

int
store_file_replace(const struct store_files *files, const char *folder,
    const char *name, const void *p, size_t len)
{
	char *path = store_path_join(folder, name);
	char *tmp = store_path_join(folder, "new.tmp");
	uv_file fd = -1;
	int code;

	code = store_file_open(&fd, tmp, true);
	if (code == 0)
		code = store_file_truncate(fd, 0);
	if (code == 0)
		code = files->write(files, fd, p, len, 0);
	if (code == 0)
		code = files->sync(files, fd);
	store_file_close(fd);
	if (code == 0)
		code = files->rename(files, tmp, path);
	if (code == 0)
		code = store_folder_sync(files, folder);
	free(tmp);
	free(path);
	return code;
}

int
store_file_truncate(uv_file fd, int64_t size)
{
	uv_fs_t req;
	int code;

	code = uv_fs_ftruncate(NULL, &req, fd, size, NULL);
	uv_fs_req_cleanup(&req);
	return code;
}

int
store_file_remove(const char *path)
{
	uv_fs_t req;
	int code;

	code = uv_fs_unlink(NULL, &req, path, NULL);
	uv_fs_req_cleanup(&req);
	return code;
}

int
store_folder_create(const char *path)
{
	uv_fs_t req;
	int code;

	code = uv_fs_mkdir(NULL, &req, path, FOLDER_MODE, NULL);
	uv_fs_req_cleanup(&req);
	return code == UV_EEXIST ? 0 : code;
}

char *
store_path_join(const char *folder, const char *name)
{
	struct buf b = {0};

	buf_printf(&b, "%s/%s", folder, name);
	return b.data;
}
