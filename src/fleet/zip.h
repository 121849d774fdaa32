/**
 * @file
 * Compression of byte strings with zlib. Keeps no state.
 */
#ifndef TM_FLEET_ZIP_H
#define TM_FLEET_ZIP_H

#include <stddef.h>
#include <stdint.h>

/** Longest plain text that zip_unpack() accepts. */
#define ZIP_PLAIN_MAX_BYTES (64 * 1024 * 1024)

/** Compresses. @return bytes from malloc(), or NULL if memory is exhausted */
uint8_t *zip_pack(const void *plain, size_t len, size_t *out_len);

/**
 * Decompresses.
 *
 * @param plain_len  length of the plain text
 * @return           text from malloc() with a NUL after its end, or NULL
 */
char *zip_unpack(const uint8_t *zipped, size_t len, size_t plain_len);

#endif
