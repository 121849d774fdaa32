/**
 * @file
 * File operations of the store. All writes and syncs go through these
 * functions, so that tests can inject faults. Keeps no state; failed operations
 * are logged.
 */
#ifndef TM_STORE_STORE_IO_H
#define TM_STORE_STORE_IO_H

#include <stddef.h>
#include <stdint.h>

/** Size of a buffer for a path, with the final zero. */
#define STORE_PATH_MAX 512

/** Faults that tests inject; NULL stands for none. */
typedef struct store_faults {
	int64_t writable_bytes; /**< then writes are short; -1: no limit */
	int64_t syncs_until_failure; /**< then fsync fails; -1: never */
	uint64_t sync_count; /**< calls of store_io_sync(), failed ones too */
	uint64_t call_count; /**< calls that change files or folders */
	uint64_t failing_call; /**< the call that fails, from 1 on; 0: none */
	int is_lasting; /**< the calls after it fail, too */
	/** Called instead of fsync(); NULL: fsync() is called. */
	void (*sync)(void *ctx, int fd);
	void *ctx;
} store_faults_t;

/** Writes all bytes. @return 0 or TM_EIO */
int store_io_write(
    store_faults_t *faults, int fd, const void *data, size_t len);

/** Flushes a file or folder to disk. @return 0 or TM_EIO */
int store_io_sync(store_faults_t *faults, int fd);

/** Cuts a file. @return 0 or TM_EIO */
int store_io_truncate(store_faults_t *faults, int fd, size_t len);

/** Removes a file. @return 0 or TM_EIO */
int store_io_remove(store_faults_t *faults, int dir_fd, const char *name);

/**
 * Replaces a file atomically: temporary file, fsync, rename, fsync of the
 * folder. The content is head followed by body.
 *
 * @return 0 or TM_EIO
 */
int store_io_replace(store_faults_t *faults, int dir_fd, const char *name,
    const void *head, size_t head_len, const void *body, size_t body_len);

/**
 * Reads a whole file.
 *
 * @param data  content, freed by the caller
 * @param len   its length in bytes
 * @return      0; TM_ENOENT; TM_EIO; TM_ENOMEM
 */
int store_io_read(int dir_fd, const char *name, uint8_t **data, size_t *len);

/** Calls found for each name in a folder, hidden ones left out.
 * @return 0 or TM_EIO */
int store_io_list(
    int dir_fd, void (*found)(void *ctx, const char *name), void *ctx);

/** Writes a little-endian number. @return the position after it */
uint8_t *store_put_u64(uint8_t *at, uint64_t value);

/** Writes a little-endian number. @return the position after it */
uint8_t *store_put_u32(uint8_t *at, uint32_t value);

/** @return the little-endian number at a position */
uint64_t store_get_u64(const uint8_t *at);

/** @return the little-endian number at a position */
uint32_t store_get_u32(const uint8_t *at);

/** Logs a failed operation with errno. @return TM_EIO */
int store_report_io(const char *operation);

/** Logs that a file is corrupt. @return TM_ECORRUPT */
int store_report_corrupt(const char *file, uint64_t offset);

#endif
