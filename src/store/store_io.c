#include "store/store_io.h"

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "base/error.h"
#include "base/log.h"

int
store_report_io(const char *operation)
{
	LOG_EVENT(223, LOG_LEVEL_ERROR,
	    "an operation on the data folder failed",
	    LOG_TEXT("operation", operation),
	    LOG_TEXT("error", strerror(errno)));
	return (TM_EIO);
}

int
store_report_corrupt(const char *file, uint64_t offset)
{
	LOG_EVENT(221, LOG_LEVEL_ERROR, "a file of the data folder is corrupt",
	    LOG_TEXT("file", file), LOG_NUM("offset_bytes", offset));
	return (TM_ECORRUPT);
}

/* Counts a call that changes something. @return 1 if it is to fail; sets errno */
static int
store_io_is_failing(store_faults_t *faults)
{
	if (faults == NULL)
		return (0);
	faults->call_count++;
	if (faults->failing_call == 0 ||
	    faults->call_count < faults->failing_call ||
	    (faults->call_count > faults->failing_call && !faults->is_lasting))
		return (0);
	errno = EIO;
	return (1);
}

/* Returns the bytes to write of len; fewer if a short write is injected. */
static size_t
store_io_apply_fault(store_faults_t *faults, size_t len)
{
	if (faults == NULL || faults->writable_bytes < 0)
		return (len);
	if ((uint64_t)faults->writable_bytes < len)
		len = (size_t)faults->writable_bytes;
	faults->writable_bytes -= (int64_t)len;
	return (len);
}

int
store_io_write(store_faults_t *faults, int fd, const void *data, size_t len)
{
	size_t allowed = store_io_apply_fault(faults, len);
	size_t done = 0;
	ssize_t n;

	if (store_io_is_failing(faults))
		allowed /= 2;
	while (done < allowed) {
		n = write(fd, (const uint8_t *)data + done, allowed - done);
		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return (store_report_io("write"));
		done += (size_t)n;
	}
	if (allowed < len) {
		errno = ENOSPC;
		return (store_report_io("write"));
	}
	return (TM_OK);
}

int
store_io_sync(store_faults_t *faults, int fd)
{
	if (faults != NULL) {
		faults->sync_count++;
		if (faults->syncs_until_failure == 0) {
			errno = EIO;
			return (store_report_io("fsync"));
		}
		if (faults->syncs_until_failure > 0)
			faults->syncs_until_failure--;
	}
	if (store_io_is_failing(faults))
		return (store_report_io("fsync"));
	if (faults != NULL && faults->sync != NULL)
		faults->sync(faults->ctx, fd);
	else if (fsync(fd) != 0)
		return (store_report_io("fsync"));
	return (TM_OK);
}

int
store_io_truncate(store_faults_t *faults, int fd, size_t len)
{
	if (store_io_is_failing(faults) || ftruncate(fd, (off_t)len) != 0)
		return (store_report_io("truncate"));
	return (TM_OK);
}

int
store_io_remove(store_faults_t *faults, int dir_fd, const char *name)
{
	if (store_io_is_failing(faults) || unlinkat(dir_fd, name, 0) != 0)
		return (store_report_io("remove"));
	return (TM_OK);
}

static int
store_io_write_new(store_faults_t *faults, int dir_fd, const char *name,
    const void *head, size_t head_len, const void *body, size_t body_len)
{
	int fd = -1;
	int err;

	if (!store_io_is_failing(faults))
		fd = openat(dir_fd, name,
		    O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
	if (fd < 0)
		return (store_report_io("open"));
	err = store_io_write(faults, fd, head, head_len);
	if (err == TM_OK && body_len > 0)
		err = store_io_write(faults, fd, body, body_len);
	if (err == TM_OK)
		err = store_io_sync(faults, fd);
	close(fd);
	return (err);
}

int
store_io_replace(store_faults_t *faults, int dir_fd, const char *name,
    const void *head, size_t head_len, const void *body, size_t body_len)
{
	char temp[STORE_PATH_MAX];
	int err;

	snprintf(temp, sizeof(temp), "%s.tmp", name);
	err = store_io_write_new(
	    faults, dir_fd, temp, head, head_len, body, body_len);
	if (err != TM_OK)
		return (err);
	if (store_io_is_failing(faults) ||
	    renameat(dir_fd, temp, dir_fd, name) != 0)
		return (store_report_io("rename"));
	return (store_io_sync(faults, dir_fd));
}

static int
store_io_read_fd(int fd, uint8_t *data, size_t len)
{
	size_t done = 0;
	ssize_t n;

	while (done < len) {
		n = read(fd, data + done, len - done);
		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return (store_report_io("read"));
		done += (size_t)n;
	}
	return (TM_OK);
}

int
store_io_read(int dir_fd, const char *name, uint8_t **data, size_t *len)
{
	int fd = openat(dir_fd, name, O_RDONLY | O_CLOEXEC);
	struct stat info;
	int err;

	if (fd < 0)
		return (errno == ENOENT ? TM_ENOENT : store_report_io("open"));
	if (fstat(fd, &info) != 0) {
		close(fd);
		return (store_report_io("stat"));
	}
	*len = (size_t)info.st_size;
	*data = malloc(*len + 1);
	if (*data == NULL) {
		close(fd);
		return (TM_ENOMEM);
	}
	err = store_io_read_fd(fd, *data, *len);
	close(fd);
	if (err != TM_OK)
		free(*data);
	return (err);
}

int
store_io_list(int dir_fd, void (*found)(void *ctx, const char *name), void *ctx)
{
	int fd = openat(dir_fd, ".", O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	const struct dirent *item;
	DIR *dir;

	if (fd < 0)
		return (store_report_io("open"));
	dir = fdopendir(fd);
	if (dir == NULL) {
		close(fd);
		return (store_report_io("open"));
	}
	while ((item = readdir(dir)) != NULL) {
		if (item->d_name[0] != '.')
			found(ctx, item->d_name);
	}
	closedir(dir);
	return (TM_OK);
}

uint8_t *
store_put_u64(uint8_t *at, uint64_t value)
{
	int i;

	for (i = 0; i < 8; i++)
		*at++ = (uint8_t)(value >> (8 * i));
	return (at);
}

uint8_t *
store_put_u32(uint8_t *at, uint32_t value)
{
	int i;

	for (i = 0; i < 4; i++)
		*at++ = (uint8_t)(value >> (8 * i));
	return (at);
}

uint64_t
store_get_u64(const uint8_t *at)
{
	uint64_t value = 0;
	int i;

	for (i = 7; i >= 0; i--)
		value = value << 8 | at[i];
	return (value);
}

uint32_t
store_get_u32(const uint8_t *at)
{
	uint32_t value = 0;
	int i;

	for (i = 3; i >= 0; i--)
		value = value << 8 | at[i];
	return (value);
}
