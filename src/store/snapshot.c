#include "store/snapshot.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <xxhash.h>

#include "base/error.h"

#define SNAPSHOT_MAGIC	     UINT64_C(0x31504e534d54)
#define SNAPSHOT_NAME_FORMAT "snapshot-%016llx"
/** Magic, index, term, number of members, length of the data, members. */
#define SNAPSHOT_FIELDS_BYTES (5 * 8 + RAFT_MEMBERS_MAX * 16)
#define SNAPSHOT_HEADER_BYTES (SNAPSHOT_FIELDS_BYTES + 8)

static void
snapshot_format_name(uint64_t index, char *name, size_t size)
{
	snprintf(name, size, SNAPSHOT_NAME_FORMAT, (unsigned long long)index);
}

static uint64_t
snapshot_checksum(const uint8_t *fields, const uint8_t *data, size_t len)
{
	return (XXH64(data, len, XXH64(fields, SNAPSHOT_FIELDS_BYTES, 0)));
}

typedef struct snapshot_scan {
	store_faults_t *faults;
	int dir_fd;
	uint64_t newest;
	uint64_t remove_below; /* index; 0 removes none */
} snapshot_scan_t;

static void
snapshot_scan_name(void *ctx, const char *name)
{
	snapshot_scan_t *scan = ctx;
	char expected[STORE_PATH_MAX];
	unsigned long long index;
	size_t len = strlen(name);

	if (len > 4 && strcmp(name + len - 4, ".tmp") == 0) {
		store_io_remove(scan->faults, scan->dir_fd, name);
		return;
	}
	if (sscanf(name, SNAPSHOT_NAME_FORMAT, &index) != 1)
		return;
	snapshot_format_name(index, expected, sizeof(expected));
	if (strcmp(name, expected) != 0)
		return;
	if (index > scan->newest)
		scan->newest = index;
	if (index < scan->remove_below)
		store_io_remove(scan->faults, scan->dir_fd, name);
}

int
snapshot_save(
    store_faults_t *faults, int dir_fd, const raft_snapshot_t *snapshot)
{
	snapshot_scan_t scan = {
		.faults = faults,
		.dir_fd = dir_fd,
		.remove_below = snapshot->index,
	};
	uint8_t head[SNAPSHOT_HEADER_BYTES] = { 0 };
	char name[STORE_PATH_MAX];
	uint8_t *at = head;
	int err;
	int i;

	at = store_put_u64(at, SNAPSHOT_MAGIC);
	at = store_put_u64(at, snapshot->index);
	at = store_put_u64(at, snapshot->term);
	at = store_put_u64(at, (uint64_t)snapshot->voter_count);
	at = store_put_u64(at, snapshot->len);
	for (i = 0; i < snapshot->voter_count; i++) {
		at = store_put_u64(at, snapshot->voters[i].node);
		at = store_put_u64(at, snapshot->voters[i].disk_id);
	}
	store_put_u64(head + SNAPSHOT_FIELDS_BYTES,
	    snapshot_checksum(head, snapshot->data, snapshot->len));
	snapshot_format_name(snapshot->index, name, sizeof(name));
	err = store_io_replace(faults, dir_fd, name, head, sizeof(head),
	    snapshot->data, snapshot->len);
	if (err != TM_OK)
		return (err);
	return (store_io_list(dir_fd, snapshot_scan_name, &scan));
}

static int
snapshot_parse(const uint8_t *file, size_t len, raft_snapshot_t *snapshot)
{
	const uint8_t *at = file + 5 * 8;
	uint64_t count;
	int i;

	if (len < SNAPSHOT_HEADER_BYTES ||
	    store_get_u64(file) != SNAPSHOT_MAGIC)
		return (TM_ECORRUPT);
	count = store_get_u64(file + 24);
	snapshot->index = store_get_u64(file + 8);
	snapshot->term = store_get_u64(file + 16);
	snapshot->len = store_get_u64(file + 32);
	if (count > RAFT_MEMBERS_MAX ||
	    snapshot->len != len - SNAPSHOT_HEADER_BYTES)
		return (TM_ECORRUPT);
	if (store_get_u64(file + SNAPSHOT_FIELDS_BYTES) !=
	    snapshot_checksum(
		file, file + SNAPSHOT_HEADER_BYTES, snapshot->len))
		return (TM_ECORRUPT);
	snapshot->voter_count = (int)count;
	for (i = 0; i < snapshot->voter_count; i++) {
		snapshot->voters[i].node = store_get_u64(at);
		snapshot->voters[i].disk_id = store_get_u64(at + 8);
		at += 16;
	}
	return (TM_OK);
}

int
snapshot_load(store_faults_t *faults, int dir_fd, raft_snapshot_t *snapshot)
{
	snapshot_scan_t scan = { .faults = faults, .dir_fd = dir_fd };
	char name[STORE_PATH_MAX];
	uint8_t *file;
	size_t len;
	int err = store_io_list(dir_fd, snapshot_scan_name, &scan);

	memset(snapshot, 0, sizeof(*snapshot));
	if (err != TM_OK || scan.newest == 0)
		return (err);
	snapshot_format_name(scan.newest, name, sizeof(name));
	err = store_io_read(dir_fd, name, &file, &len);
	if (err != TM_OK)
		return (err);
	err = snapshot_parse(file, len, snapshot);
	if (err == TM_OK && snapshot->index != scan.newest)
		err = TM_ECORRUPT;
	if (err != TM_OK) {
		free(file);
		memset(snapshot, 0, sizeof(*snapshot));
		return (store_report_corrupt(name, 0));
	}
	memmove(file, file + SNAPSHOT_HEADER_BYTES, snapshot->len);
	snapshot->data = file;
	return (TM_OK);
}
