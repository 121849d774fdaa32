/**
 * @file
 * Entry point of the fuzz targets and the reading of inputs that hold several
 * messages.
 */
#ifndef TM_TEST_FUZZ_FUZZ_H
#define TM_TEST_FUZZ_FUZZ_H

#include <stddef.h>
#include <stdint.h>

/** One input; called by libFuzzer or by fuzz_driver.c. @return 0 */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/** A message of an input. */
typedef struct fuzz_message {
	uint8_t type; /**< offset from the first type of the module */
	uint8_t from; /**< sender, 0 to 7 */
	uint8_t wait; /**< time before it in units of 10 ms */
	const uint8_t *payload;
	size_t len;
} fuzz_message_t;

/**
 * Takes the next message: type, sender, wait, two bytes of length, payload.
 *
 * @return 1, or 0 at the end
 */
static inline int
fuzz_next_message(const uint8_t **data, size_t *size, fuzz_message_t *out)
{
	size_t len;

	if (*size < 5)
		return (0);
	out->type = (*data)[0];
	out->from = (*data)[1] & 7;
	out->wait = (*data)[2];
	len = (size_t)(*data)[3] | (size_t)(*data)[4] << 8;
	*data += 5;
	*size -= 5;
	if (len > *size)
		len = *size;
	out->payload = *data;
	out->len = len;
	*data += len;
	*size -= len;
	return (1);
}

#endif
