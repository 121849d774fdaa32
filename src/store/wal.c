#include "store/wal.h"

#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <xxhash.h>

#include "base/error.h"
#include "base/log.h"

#define WAL_MAGIC		 UINT64_C(0x314c41574d54)
#define WAL_HEADER_BYTES	 32
#define WAL_FRAME_MAGIC		 0x4d464c57u
#define WAL_FRAME_HEADER_BYTES	 16
#define WAL_RECORD_HEADER_BYTES	 24
#define WAL_PAYLOAD_TARGET_BYTES (1024 * 1024)
#define WAL_PAYLOAD_MAX_BYTES	 (2 * 1024 * 1024)
#define WAL_NAME_FORMAT		 "wal-%016llx"

/** Kind of a record that removes entries; all other kinds are raft_kind_t. */
#define WAL_KIND_TRUNCATE 0xffu

typedef struct wal_segment {
	uint64_t sequence;
	uint64_t last_index; /* highest index in it; 0 if it is empty */
} wal_segment_t;

struct wal {
	wal_options_t options;
	wal_segment_t *segments; /* by sequence; the last one is active */
	int segment_count;
	int segment_capacity;
	int fd;
	size_t size; /* bytes of the active segment */
	uint8_t *buffer;
	size_t buffer_capacity;
	int failed; /* a write failed; no more are accepted */
};

static void
wal_format_name(uint64_t sequence, char *name, size_t size)
{
	snprintf(name, size, WAL_NAME_FORMAT, (unsigned long long)sequence);
}

static int
wal_add_segment(wal_t *wal, uint64_t sequence)
{
	int capacity = wal->segment_capacity * 2 + 8;
	wal_segment_t *segments;

	if (wal->segment_count == wal->segment_capacity) {
		segments = realloc(
		    wal->segments, sizeof(*segments) * (size_t)capacity);
		if (segments == NULL)
			return (TM_ENOMEM);
		wal->segments = segments;
		wal->segment_capacity = capacity;
	}
	wal->segments[wal->segment_count++] = (wal_segment_t){
		.sequence = sequence,
	};
	return (TM_OK);
}

static wal_segment_t *
wal_get_active(wal_t *wal)
{
	return (&wal->segments[wal->segment_count - 1]);
}

static int
wal_open_active(wal_t *wal)
{
	char name[STORE_PATH_MAX];

	wal_format_name(wal_get_active(wal)->sequence, name, sizeof(name));
	if (wal->fd >= 0)
		close(wal->fd);
	wal->fd =
	    openat(wal->options.dir_fd, name, O_WRONLY | O_APPEND | O_CLOEXEC);
	return (wal->fd >= 0 ? TM_OK : TM_EIO);
}

static int
wal_start_segment(wal_t *wal, uint64_t sequence)
{
	uint8_t head[WAL_HEADER_BYTES];
	char name[STORE_PATH_MAX];
	uint8_t *at = head;
	int err;

	at = store_put_u64(at, WAL_MAGIC);
	at = store_put_u64(at, sequence);
	at = store_put_u64(at, wal->options.disk_id);
	store_put_u64(at, XXH64(head, WAL_HEADER_BYTES - 8, 0));
	wal_format_name(sequence, name, sizeof(name));
	err = store_io_replace(wal->options.faults, wal->options.dir_fd, name,
	    head, sizeof(head), NULL, 0);
	if (err == TM_OK)
		err = wal_add_segment(wal, sequence);
	if (err != TM_OK)
		return (err);
	wal->size = WAL_HEADER_BYTES;
	return (wal_open_active(wal));
}

static int
wal_is_header_valid(
    const wal_t *wal, const uint8_t *data, size_t len, uint64_t seq)
{
	return (len >= WAL_HEADER_BYTES && store_get_u64(data) == WAL_MAGIC &&
	    store_get_u64(data + 8) == seq &&
	    store_get_u64(data + 16) == wal->options.disk_id &&
	    store_get_u64(data + 24) == XXH64(data, WAL_HEADER_BYTES - 8, 0));
}

/* Returns the length of the valid frame that starts at data; 0 if none does. */
static size_t
wal_get_valid_frame_bytes(const uint8_t *data, size_t len, uint64_t seed)
{
	size_t payload;

	if (len < WAL_FRAME_HEADER_BYTES ||
	    store_get_u32(data) != WAL_FRAME_MAGIC)
		return (0);
	payload = store_get_u32(data + 4);
	if (payload > WAL_PAYLOAD_MAX_BYTES ||
	    payload > len - WAL_FRAME_HEADER_BYTES)
		return (0);
	if (store_get_u64(data + 8) !=
	    XXH64(data + WAL_FRAME_HEADER_BYTES, payload, seed ^ payload))
		return (0);
	return (WAL_FRAME_HEADER_BYTES + payload);
}

/* Returns 1 if a valid frame starts anywhere after a position. */
static int
wal_has_later_frame(const uint8_t *data, size_t at, size_t len, uint64_t seed)
{
	for (at++; at + WAL_FRAME_HEADER_BYTES <= len; at++) {
		if (wal_get_valid_frame_bytes(data + at, len - at, seed) > 0)
			return (1);
	}
	return (0);
}

/* Adds an entry that was read. A gap is valid only if a snapshot covers it. */
static int
wal_replay_entry(const wal_t *wal, raft_log_t *log, const raft_entry_t *entry)
{
	uint64_t covered = wal->options.snapshot_index;
	uint64_t next = raft_log_get_last(log) + 1;

	if (entry->index != next) {
		if (entry->index > covered + 1 || entry->index < next)
			return (TM_ECORRUPT);
		raft_log_reset(log, entry->index - 1, 0);
	}
	return (raft_log_append(
	    log, entry->term, entry->kind, entry->data, entry->len));
}

static int
wal_replay_truncate(raft_log_t *log, uint64_t from)
{
	if (from <= log->base_index)
		raft_log_reset(log, from > 0 ? from - 1 : 0, 0);
	else
		raft_log_truncate(log, from);
	return (TM_OK);
}

static int
wal_replay_records(wal_t *wal, const uint8_t *data, size_t len, raft_log_t *log)
{
	wal_segment_t *segment = wal_get_active(wal);
	raft_entry_t entry;
	uint32_t kind;
	int err = TM_OK;

	while (len >= WAL_RECORD_HEADER_BYTES && err == TM_OK) {
		kind = store_get_u32(data);
		entry = (raft_entry_t){
			.len = store_get_u32(data + 4),
			.index = store_get_u64(data + 8),
			.term = store_get_u64(data + 16),
			.kind = (raft_kind_t)kind,
			.data = data + WAL_RECORD_HEADER_BYTES,
		};
		if (entry.len > len - WAL_RECORD_HEADER_BYTES)
			return (TM_ECORRUPT);
		if (kind == WAL_KIND_TRUNCATE)
			err = wal_replay_truncate(log, entry.index);
		else
			err = wal_replay_entry(wal, log, &entry);
		if (kind != WAL_KIND_TRUNCATE &&
		    entry.index > segment->last_index)
			segment->last_index = entry.index;
		data += WAL_RECORD_HEADER_BYTES + entry.len;
		len -= WAL_RECORD_HEADER_BYTES + entry.len;
	}
	return (err == TM_OK && len > 0 ? TM_ECORRUPT : err);
}

static int
wal_truncate_tail(wal_t *wal, const char *name, size_t at, size_t len)
{
	int fd = openat(wal->options.dir_fd, name, O_WRONLY | O_CLOEXEC);
	int err;

	LOG_EVENT(220, LOG_LEVEL_WARN,
	    "an incomplete write at the end of the log is truncated",
	    LOG_TEXT("file", name), LOG_NUM("offset_bytes", at),
	    LOG_NUM("cut_bytes", len - at));
	if (fd < 0)
		return (TM_EIO);
	err = store_io_truncate(wal->options.faults, fd, at);
	if (err == TM_OK)
		err = store_io_sync(wal->options.faults, fd);
	close(fd);
	return (err);
}

/*
 * Writes the last frame once more: its sync may have failed before the last end
 * of the process, and neither reading it nor another sync shows whether it is on
 * disk.
 */
static int
wal_write_last_frame(
    wal_t *wal, const char *name, const uint8_t *data, size_t at, size_t len)
{
	int fd = openat(wal->options.dir_fd, name, O_WRONLY | O_CLOEXEC);
	int err = TM_EIO;

	if (fd >= 0 && lseek(fd, (off_t)at, SEEK_SET) == (off_t)at)
		err = store_io_write(wal->options.faults, fd, data + at, len);
	else
		store_report_io("open");
	if (err == TM_OK)
		err = store_io_sync(wal->options.faults, fd);
	if (fd >= 0)
		close(fd);
	return (err);
}

static int
wal_read_frames(wal_t *wal, const char *name, const uint8_t *data, size_t len,
    int is_last, raft_log_t *log)
{
	uint64_t sequence = wal_get_active(wal)->sequence;
	size_t at = WAL_HEADER_BYTES;
	size_t last = 0; /* length of the last valid frame */
	size_t frame;
	int err = TM_OK;

	if (!wal_is_header_valid(wal, data, len, sequence))
		return (store_report_corrupt(name, 0));
	while (at < len) {
		frame =
		    wal_get_valid_frame_bytes(data + at, len - at, sequence);
		if (frame == 0)
			break;
		err =
		    wal_replay_records(wal, data + at + WAL_FRAME_HEADER_BYTES,
			frame - WAL_FRAME_HEADER_BYTES, log);
		if (err == TM_ECORRUPT)
			return (store_report_corrupt(name, at));
		if (err != TM_OK)
			return (err);
		at += frame;
		last = frame;
	}
	wal->size = at;
	if (at < len &&
	    (!is_last || wal_has_later_frame(data, at, len, sequence)))
		return (store_report_corrupt(name, at));
	if (at < len)
		err = wal_truncate_tail(wal, name, at, len);
	if (err == TM_OK && is_last && last > 0)
		err = wal_write_last_frame(wal, name, data, at - last, last);
	return (err);
}

static int
wal_read_segment(wal_t *wal, uint64_t sequence, int is_last, raft_log_t *log)
{
	char name[STORE_PATH_MAX];
	uint8_t *data;
	size_t len;
	int err = wal_add_segment(wal, sequence);

	if (err != TM_OK)
		return (err);
	wal_format_name(sequence, name, sizeof(name));
	err = store_io_read(wal->options.dir_fd, name, &data, &len);
	if (err == TM_ENOENT)
		return (store_report_corrupt(name, 0));
	if (err != TM_OK)
		return (err);
	err = wal_read_frames(wal, name, data, len, is_last, log);
	free(data);
	return (err);
}

typedef struct wal_range {
	uint64_t first;
	uint64_t last;
	int count;
} wal_range_t;

static void
wal_find_segment(void *ctx, const char *name)
{
	wal_range_t *range = ctx;
	char expected[STORE_PATH_MAX];
	unsigned long long sequence;

	if (sscanf(name, WAL_NAME_FORMAT, &sequence) != 1)
		return;
	wal_format_name(sequence, expected, sizeof(expected));
	if (strcmp(name, expected) != 0)
		return;
	if (range->count == 0 || sequence < range->first)
		range->first = sequence;
	if (range->count == 0 || sequence > range->last)
		range->last = sequence;
	range->count++;
}

static int
wal_read_all(wal_t *wal, raft_log_t *log)
{
	wal_range_t range = { .count = 0 };
	uint64_t sequence;
	int err = store_io_list(wal->options.dir_fd, wal_find_segment, &range);

	if (err != TM_OK)
		return (err);
	if (range.count == 0)
		return (wal_start_segment(wal, 1));
	if (range.last - range.first + 1 != (uint64_t)range.count)
		return (store_report_corrupt("wal", 0));
	for (sequence = range.first; sequence <= range.last; sequence++) {
		err = wal_read_segment(
		    wal, sequence, sequence == range.last, log);
		if (err != TM_OK)
			return (err);
	}
	return (wal_open_active(wal));
}

/* Removes the entries that the snapshot covers and sets the base of the log. */
static void
wal_set_base(const wal_t *wal, raft_log_t *log)
{
	uint64_t index = wal->options.snapshot_index;

	if (raft_log_get_last(log) <= index) {
		raft_log_reset(log, index, wal->options.snapshot_term);
		return;
	}
	raft_log_compact(log, index);
	log->base_term = wal->options.snapshot_term;
}

int
wal_open(wal_t **out, const wal_options_t *options, raft_log_t *log)
{
	wal_t *wal = calloc(1, sizeof(*wal));
	int err;

	if (wal == NULL)
		return (TM_ENOMEM);
	wal->options = *options;
	wal->fd = -1;
	if (wal->options.segment_bytes == 0)
		wal->options.segment_bytes = WAL_SEGMENT_BYTES;
	err = wal_read_all(wal, log);
	if (err != TM_OK) {
		wal_close(wal);
		return (err);
	}
	wal_set_base(wal, log);
	*out = wal;
	return (TM_OK);
}

void
wal_close(wal_t *wal)
{
	if (wal == NULL)
		return;
	if (wal->fd >= 0)
		close(wal->fd);
	free(wal->segments);
	free(wal->buffer);
	free(wal);
}

static int
wal_reserve(wal_t *wal, size_t len)
{
	uint8_t *buffer;

	if (len <= wal->buffer_capacity)
		return (TM_OK);
	buffer = realloc(wal->buffer, len);
	if (buffer == NULL)
		return (TM_ENOMEM);
	wal->buffer = buffer;
	wal->buffer_capacity = len;
	return (TM_OK);
}

/* After a failed sync the next start could read the frame from the page cache,
 * and take it for durable. */
static void
wal_remove_unsynced(wal_t *wal)
{
	store_io_truncate(wal->options.faults, wal->fd, wal->size);
}

static int
wal_write_frame(wal_t *wal, size_t payload)
{
	uint64_t sequence = wal_get_active(wal)->sequence;
	uint8_t *at = wal->buffer;
	int err;

	at = store_put_u32(at, WAL_FRAME_MAGIC);
	at = store_put_u32(at, (uint32_t)payload);
	store_put_u64(at,
	    XXH64(wal->buffer + WAL_FRAME_HEADER_BYTES, payload,
		sequence ^ payload));
	err = store_io_write(wal->options.faults, wal->fd, wal->buffer,
	    WAL_FRAME_HEADER_BYTES + payload);
	if (err == TM_OK)
		err = store_io_sync(wal->options.faults, wal->fd);
	if (err != TM_OK) {
		wal_remove_unsynced(wal);
		return (err);
	}
	wal->size += WAL_FRAME_HEADER_BYTES + payload;
	return (TM_OK);
}

static int
wal_rotate_if_full(wal_t *wal)
{
	if (wal->size < wal->options.segment_bytes)
		return (TM_OK);
	return (wal_start_segment(wal, wal_get_active(wal)->sequence + 1));
}

static int
wal_put_record(wal_t *wal, size_t *payload, uint32_t kind, uint64_t index,
    uint64_t term, const uint8_t *data, size_t len)
{
	size_t used = WAL_FRAME_HEADER_BYTES + *payload;
	uint8_t *at;
	int err = wal_reserve(wal, used + WAL_RECORD_HEADER_BYTES + len);

	if (err != TM_OK)
		return (err);
	at = store_put_u32(wal->buffer + used, kind);
	at = store_put_u32(at, (uint32_t)len);
	at = store_put_u64(at, index);
	at = store_put_u64(at, term);
	if (len > 0)
		memcpy(at, data, len);
	*payload += WAL_RECORD_HEADER_BYTES + len;
	return (TM_OK);
}

/* Writes one frame. @return number of entries, or a negative error number */
static int
wal_append_frame(wal_t *wal, const raft_entry_t *entries, size_t count)
{
	wal_segment_t *segment;
	size_t payload = 0;
	size_t done = 0;
	int err = wal_rotate_if_full(wal);

	while (err == TM_OK && done < count &&
	    (done == 0 ||
		payload + entries[done].len < WAL_PAYLOAD_TARGET_BYTES)) {
		err = wal_put_record(wal, &payload,
		    (uint32_t)entries[done].kind, entries[done].index,
		    entries[done].term, entries[done].data, entries[done].len);
		done++;
	}
	if (err == TM_OK)
		err = wal_write_frame(wal, payload);
	if (err != TM_OK)
		return (err);
	segment = wal_get_active(wal);
	if (entries[done - 1].index > segment->last_index)
		segment->last_index = entries[done - 1].index;
	return ((int)done);
}

int
wal_append(wal_t *wal, const raft_entry_t *entries, size_t count)
{
	int done;

	while (count > 0) {
		if (wal->failed)
			return (TM_EIO);
		/*
		 * Each frame is synced before the next one is written. A crash
		 * therefore never leaves an invalid frame that is followed by a
		 * valid one; wal_read_frames() reports that as corruption.
		 */
		done = wal_append_frame(wal, entries, count);
		if (done < 0) {
			wal->failed = 1;
			return (done);
		}
		entries += done;
		count -= (size_t)done;
	}
	return (TM_OK);
}

int
wal_truncate(wal_t *wal, uint64_t from)
{
	size_t payload = 0;
	int err;

	if (wal->failed)
		return (TM_EIO);
	err = wal_rotate_if_full(wal);
	if (err == TM_OK)
		err = wal_put_record(
		    wal, &payload, WAL_KIND_TRUNCATE, from, 0, NULL, 0);
	if (err == TM_OK)
		err = wal_write_frame(wal, payload);
	if (err != TM_OK)
		wal->failed = 1;
	return (err);
}

int
wal_remove_segments(wal_t *wal, uint64_t to)
{
	char name[STORE_PATH_MAX];
	int drop = 0;

	while (drop < wal->segment_count - 1 &&
	    wal->segments[drop].last_index <= to) {
		wal_format_name(
		    wal->segments[drop].sequence, name, sizeof(name));
		if (store_io_remove(wal->options.faults, wal->options.dir_fd,
			name) != TM_OK)
			break;
		/*
		 * Without a sync after each removal, a crash could leave a gap
		 * in the sequence, which is reported as corruption.
		 */
		if (store_io_sync(wal->options.faults, wal->options.dir_fd) !=
		    TM_OK)
			return (TM_EIO);
		drop++;
	}
	wal->segment_count -= drop;
	memmove(wal->segments, wal->segments + drop,
	    sizeof(wal->segments[0]) * (size_t)wal->segment_count);
	return (TM_OK);
}

int
wal_get_segment_count(const wal_t *wal)
{
	return (wal->segment_count);
}
