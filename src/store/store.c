#include "store/store.h"

#include <errno.h>
#include <fcntl.h>
#include <libgen.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/random.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#include <xxhash.h>

#include "base/error.h"
#include "base/log.h"
#include "store/snapshot.h"
#include "store/wal.h"

#define STORE_DISK_FILE	 "disk-id"
#define STORE_DISK_MAGIC UINT64_C(0x3144494b53494454)
#define STORE_VOTE_FILE	 "vote"
#define STORE_VOTE_MAGIC UINT64_C(0x3145544f564d54)
/** Size of a file with a magic, two numbers and a checksum. */
#define STORE_PAIR_FILE_BYTES 32
/** Time between two attempts of store_open_wait(): doubled from the first to the
 * last one. A node whose disk is well again is soon back, and the log of a long
 * failure stays short. */
#define STORE_RETRY_MIN_MS 100
#define STORE_RETRY_MAX_MS 1000

struct store {
	int dir_fd;
	store_faults_t *faults;
	uint64_t disk_id;
	uint64_t initial_disk_id;
	wal_t *wal;
	raft_log_t log; /* as opened; see store_release_restore() */
	raft_restore_t restore;
};

static int
store_write_pair(store_t *store, const char *name, uint64_t magic,
    uint64_t first, uint64_t second)
{
	uint8_t bytes[STORE_PAIR_FILE_BYTES];
	uint8_t *at = bytes;

	at = store_put_u64(at, magic);
	at = store_put_u64(at, first);
	at = store_put_u64(at, second);
	store_put_u64(at, XXH64(bytes, STORE_PAIR_FILE_BYTES - 8, 0));
	return (store_io_replace(
	    store->faults, store->dir_fd, name, bytes, sizeof(bytes), NULL, 0));
}

static int
store_read_pair(store_t *store, const char *name, uint64_t magic,
    uint64_t *first, uint64_t *second)
{
	uint8_t *bytes;
	size_t len;
	int valid;
	int err = store_io_read(store->dir_fd, name, &bytes, &len);

	if (err != TM_OK)
		return (err);
	valid = len == STORE_PAIR_FILE_BYTES && store_get_u64(bytes) == magic &&
	    store_get_u64(bytes + 24) ==
		XXH64(bytes, STORE_PAIR_FILE_BYTES - 8, 0);
	if (valid) {
		*first = store_get_u64(bytes + 8);
		*second = store_get_u64(bytes + 16);
	}
	free(bytes);
	return (valid ? TM_OK : store_report_corrupt(name, 0));
}

static void
store_detect_data(void *ctx, const char *name)
{
	int *found = ctx;

	if (strncmp(name, "wal-", 4) == 0 ||
	    strncmp(name, "snapshot-", 9) == 0 ||
	    strcmp(name, STORE_VOTE_FILE) == 0)
		*found = 1;
}

static const char *
store_format_id(uint64_t id, char text[17])
{
	snprintf(text, 17, "%016llx", (unsigned long long)id);
	return (text);
}

static int
store_create_disk_id(store_t *store)
{
	int used = 0;
	char id[17];
	int err = store_io_list(store->dir_fd, store_detect_data, &used);

	if (err != TM_OK)
		return (err);
	/*
	 * The folder holds data, so its disk id was lost. With a new id the
	 * node would appear to have a replaced disk, which hides the damage.
	 */
	if (used)
		return (store_report_corrupt(STORE_DISK_FILE, 0));
	store->disk_id = store->initial_disk_id;
	while (store->disk_id == RAFT_DISK_NONE) {
		if (getrandom(&store->disk_id, sizeof(store->disk_id), 0) !=
		    (ssize_t)sizeof(store->disk_id))
			return (TM_EIO);
	}
	err = store_write_pair(
	    store, STORE_DISK_FILE, STORE_DISK_MAGIC, store->disk_id, 0);
	if (err == TM_OK)
		LOG_EVENT(222, LOG_LEVEL_INFO, "a new data folder is set up",
		    LOG_TEXT("disk_id", store_format_id(store->disk_id, id)));
	return (err);
}

static int
store_load_disk_id(store_t *store)
{
	uint64_t unused;
	int err = store_read_pair(
	    store, STORE_DISK_FILE, STORE_DISK_MAGIC, &store->disk_id, &unused);

	if (err == TM_ENOENT)
		return (store_create_disk_id(store));
	if (err == TM_OK && store->disk_id == RAFT_DISK_NONE)
		return (store_report_corrupt(STORE_DISK_FILE, 8));
	return (err);
}

static int
store_load_vote(store_t *store)
{
	int err = store_read_pair(store, STORE_VOTE_FILE, STORE_VOTE_MAGIC,
	    &store->restore.term, &store->restore.vote);

	return (err == TM_ENOENT ? TM_OK : err);
}

/* Writes the vote anew: its file may come from a sync that failed before the
 * last end of the process. */
static int
store_sync_vote(store_t *store)
{
	if (store->restore.term == 0)
		return (TM_OK);
	return (store_write_pair(store, STORE_VOTE_FILE, STORE_VOTE_MAGIC,
	    store->restore.term, store->restore.vote));
}

static int
store_load_log(store_t *store, size_t segment_bytes)
{
	wal_options_t options = {
		.dir_fd = store->dir_fd,
		.disk_id = store->disk_id,
		.snapshot_index = store->restore.snapshot.index,
		.snapshot_term = store->restore.snapshot.term,
		.segment_bytes = segment_bytes,
		.faults = store->faults,
	};
	int err = wal_open(&store->wal, &options, &store->log);

	if (err != TM_OK)
		return (err);
	store->restore.entries = store->log.entries;
	store->restore.entry_count = store->log.count;
	return (TM_OK);
}

static int
store_sync_parent(store_t *store, const char *path)
{
	char copy[STORE_PATH_MAX];
	int err;
	int fd;

	snprintf(copy, sizeof(copy), "%s", path);
	fd = open(dirname(copy), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	if (fd < 0)
		return (TM_EIO);
	err = store_io_sync(store->faults, fd);
	close(fd);
	return (err);
}

/* Logs why the folder cannot be used. @return TM_EIO if the disk failed;
 * TM_EINVAL if only an operator can mend it, as for a path that does not exist */
static int
store_report_dir(const char *operation)
{
	int failure = errno;

	store_report_io(operation);
	return (failure == EIO || failure == ENOSPC || failure == EDQUOT
		? TM_EIO
		: TM_EINVAL);
}

static int
store_open_dir(store_t *store, const char *path)
{
	if (strlen(path) >= STORE_PATH_MAX)
		return (TM_EINVAL);
	if (mkdir(path, 0700) == 0) {
		if (store_sync_parent(store, path) != TM_OK)
			return (TM_EIO);
	} else if (errno != EEXIST) {
		return (store_report_dir("create folder"));
	}
	store->dir_fd = open(path, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	if (store->dir_fd < 0)
		return (store_report_dir("open folder"));
	if (flock(store->dir_fd, LOCK_EX | LOCK_NB) != 0)
		return (TM_EINUSE);
	return (TM_OK);
}

static int
store_load(store_t *store, const store_options_t *options)
{
	int err = store_open_dir(store, options->path);

	/* The sync of a name may have failed before the last end of the
	 * process. */
	if (err == TM_OK)
		err = store_io_sync(store->faults, store->dir_fd);
	if (err == TM_OK)
		err = store_load_disk_id(store);
	if (err == TM_OK)
		err = store_load_vote(store);
	if (err == TM_OK)
		err = store_sync_vote(store);
	if (err == TM_OK)
		err = snapshot_load(
		    store->faults, store->dir_fd, &store->restore.snapshot);
	if (err == TM_OK)
		err = store_load_log(store, options->segment_bytes);
	return (err);
}

int
store_open(store_t **out, const store_options_t *options)
{
	store_t *store = calloc(1, sizeof(*store));
	int err;

	if (store == NULL)
		return (TM_ENOMEM);
	store->dir_fd = -1;
	store->faults = options->faults;
	store->initial_disk_id = options->initial_disk_id;
	err = store_load(store, options);
	if (err != TM_OK) {
		store_close(store);
		return (err);
	}
	*out = store;
	return (TM_OK);
}

int
store_open_wait(store_t **out, const store_options_t *options)
{
	struct timespec pause = { .tv_sec = 0 };
	int64_t pause_ms = STORE_RETRY_MIN_MS;
	int err = store_open(out, options);

	if (err != TM_EIO)
		return (err);
	LOG_EVENT(224, LOG_LEVEL_ERROR,
	    "the disk of the data folder fails, waiting for it",
	    LOG_TEXT("data_dir", options->path));
	while (err == TM_EIO) {
		pause.tv_sec = pause_ms / 1000;
		pause.tv_nsec = pause_ms % 1000 * 1000000;
		nanosleep(&pause, NULL);
		pause_ms = pause_ms * 2 < STORE_RETRY_MAX_MS
		    ? pause_ms * 2
		    : STORE_RETRY_MAX_MS;
		err = store_open(out, options);
	}
	LOG_EVENT(225, LOG_LEVEL_INFO,
	    "the disk of the data folder no longer fails",
	    LOG_TEXT("outcome", error_get_text(err)));
	return (err);
}

void
store_close(store_t *store)
{
	if (store == NULL)
		return;
	store_release_restore(store);
	wal_close(store->wal);
	if (store->dir_fd >= 0)
		close(store->dir_fd);
	free(store);
}

uint64_t
store_get_disk_id(const store_t *store)
{
	return (store->disk_id);
}

const raft_restore_t *
store_get_restore(const store_t *store)
{
	return (&store->restore);
}

void
store_release_restore(store_t *store)
{
	free((void *)store->restore.snapshot.data);
	raft_log_free(&store->log);
	store->restore = (raft_restore_t){ .term = 0 };
}

static int
store_append(void *ctx, const raft_entry_t *entries, size_t count)
{
	store_t *store = ctx;

	return (wal_append(store->wal, entries, count));
}

static int
store_truncate(void *ctx, uint64_t from)
{
	store_t *store = ctx;

	return (wal_truncate(store->wal, from));
}

static int
store_save_vote(void *ctx, uint64_t term, node_id_t vote)
{
	return (store_write_pair(
	    ctx, STORE_VOTE_FILE, STORE_VOTE_MAGIC, term, vote));
}

static int
store_save_snapshot(void *ctx, const raft_snapshot_t *snapshot)
{
	store_t *store = ctx;
	int err = snapshot_save(store->faults, store->dir_fd, snapshot);

	if (err != TM_OK)
		return (err);
	return (wal_remove_segments(store->wal, snapshot->index));
}

raft_storage_t
store_get_storage(store_t *store)
{
	return ((raft_storage_t){
	    .append = store_append,
	    .truncate = store_truncate,
	    .save_vote = store_save_vote,
	    .save_snapshot = store_save_snapshot,
	    .ctx = store,
	});
}

int
store_get_segment_count(const store_t *store)
{
	return (wal_get_segment_count(store->wal));
}
