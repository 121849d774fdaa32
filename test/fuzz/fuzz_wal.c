/* A segment of the write-ahead log with a valid header and valid checksums. */
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <xxhash.h>

#include "fuzz.h"
#include "store/wal.h"

#define SEGMENT	    "wal-0000000000000001"
#define SEGMENT_MAX 65536
#define MAGIC	    UINT64_C(0x314c41574d54)
#define FRAME_MAGIC 0x4d464c57u
#define DISK_ID	    7

static int dir_fd = -1;
static char dir_name[] = "/tmp/tm-fuzz-wal.XXXXXX";

static void
remove_folder(void)
{
	unlinkat(dir_fd, SEGMENT, 0);
	rmdir(dir_name);
}

static void
make_folder(void)
{
	if (dir_fd >= 0)
		return;
	if (mkdtemp(dir_name) == NULL)
		abort();
	dir_fd = open(dir_name, O_RDONLY | O_DIRECTORY);
	atexit(remove_folder);
}

static uint8_t *
put_head(uint8_t *at)
{
	uint8_t *start = at;

	at = store_put_u64(at, MAGIC);
	at = store_put_u64(at, 1);
	at = store_put_u64(at, DISK_ID);
	return (store_put_u64(at, XXH64(start, 24, 0)));
}

static uint8_t *
put_frame(uint8_t *at, const uint8_t *payload, size_t len)
{
	at = store_put_u32(at, FRAME_MAGIC);
	at = store_put_u32(at, (uint32_t)len);
	at = store_put_u64(at, XXH64(payload, len, UINT64_C(1) ^ len));
	memcpy(at, payload, len);
	return (at + len);
}

/* A message of type 0 is written as it is; others become valid frames. */
static size_t
make_segment(uint8_t *out, const uint8_t *data, size_t size)
{
	fuzz_message_t msg;
	uint8_t *at = put_head(out);

	while (fuzz_next_message(&data, &size, &msg)) {
		if ((size_t)(at - out) + msg.len + 64 > SEGMENT_MAX)
			break;
		if (msg.type != 0) {
			at = put_frame(at, msg.payload, msg.len);
		} else {
			memcpy(at, msg.payload, msg.len);
			at += msg.len;
		}
	}
	return ((size_t)(at - out));
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static uint8_t segment[SEGMENT_MAX];
	wal_options_t options = { .disk_id = DISK_ID };
	raft_log_t log = { .entries = NULL };
	wal_t *wal = NULL;
	uint64_t last;
	uint64_t index;
	size_t len;
	int fd;

	make_folder();
	options.dir_fd = dir_fd;
	if (size > 0)
		options.snapshot_index = data[0] % 4;
	len = make_segment(segment, data, size);
	fd = openat(dir_fd, SEGMENT, O_WRONLY | O_CREAT | O_TRUNC, 0600);
	if (fd < 0 || write(fd, segment, len) != (ssize_t)len)
		abort();
	close(fd);
	if (wal_open(&wal, &options, &log) == 0) {
		last = raft_log_get_last(&log);
		for (index = log.base_index + 1; index <= last; index++) {
			if (raft_log_get(&log, index) == NULL)
				abort();
		}
		wal_close(wal);
	}
	raft_log_free(&log);
	return (0);
}
