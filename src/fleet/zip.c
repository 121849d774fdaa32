#include "fleet/zip.h"

#include <stdlib.h>

#include <zlib.h>

uint8_t *
zip_pack(const void *plain, size_t len, size_t *out_len)
{
	uLongf capacity = compressBound((uLong)len);
	uint8_t *out = malloc(capacity);

	if (out == NULL)
		return (NULL);
	if (compress2(out, &capacity, plain, (uLong)len, Z_BEST_SPEED) !=
	    Z_OK) {
		free(out);
		return (NULL);
	}
	*out_len = capacity;
	return (out);
}

char *
zip_unpack(const uint8_t *zipped, size_t len, size_t plain_len)
{
	uLongf capacity = (uLongf)plain_len;
	char *out;

	if (plain_len > ZIP_PLAIN_MAX_BYTES)
		return (NULL);
	out = malloc(plain_len + 1);
	if (out == NULL)
		return (NULL);
	if (uncompress((Bytef *)out, &capacity, zipped, (uLong)len) != Z_OK ||
	    capacity != plain_len) {
		free(out);
		return (NULL);
	}
	out[plain_len] = '\0';
	return (out);
}
