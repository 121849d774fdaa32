/* Snapshots and entries of the configuration. */
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "config/config_state.h"
#include "fuzz.h"

#define HEAD_BYTES  16
#define MAGIC_BYTES 8

/* Gives the bytes a valid head, so that more than the checksum is tested. */
static void
install_with_head(
    config_state_t *state, int recovered, const uint8_t *data, size_t size)
{
	config_state_t *empty = config_state_create();
	XXH64_canonical_t sum;
	size_t len;
	uint8_t *bytes = malloc(HEAD_BYTES + size);
	uint8_t *valid;

	if (recovered)
		config_state_begin_epoch(empty, 1, 1);
	valid = config_snapshot_encode(empty, &len);
	memcpy(bytes, valid, MAGIC_BYTES);
	memcpy(bytes + HEAD_BYTES, data, size);
	XXH64_canonicalFromHash(&sum, XXH64(bytes + HEAD_BYTES, size, 0));
	memcpy(bytes + MAGIC_BYTES, &sum, sizeof(sum));
	config_snapshot_install(state, bytes, HEAD_BYTES + size);
	free(valid);
	free(bytes);
	config_state_destroy(empty);
}

/* What was installed must be encoded and installed again without change. */
static void
check_round_trip(config_state_t *state)
{
	config_state_t *copy = config_state_create();
	size_t len;
	size_t copy_len;
	uint8_t *bytes = config_snapshot_encode(state, &len);
	uint8_t *again;

	if (config_state_get_index(state) > 0 &&
	    config_snapshot_install(copy, bytes, len) != 0)
		abort();
	again = config_snapshot_encode(copy, &copy_len);
	if (config_state_get_index(state) > 0 &&
	    (copy_len != len || memcmp(bytes, again, len) != 0))
		abort();
	free(bytes);
	free(again);
	config_state_destroy(copy);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	config_state_t *state = config_state_create();
	uint64_t index = 1;
	fuzz_message_t msg;

	config_snapshot_install(state, data, size);
	if (size > 0 && data[0] & 1) {
		install_with_head(state, data[0] & 2, data + 1, size - 1);
	} else {
		while (fuzz_next_message(&data, &size, &msg))
			config_state_apply(
			    state, index++, msg.payload, msg.len, NULL);
	}
	check_round_trip(state);
	config_state_destroy(state);
	return (0);
}
