#include <string.h>

#include "base/error.h"
#include "base/test_hooks.h"
#include "config/config_internal.h"
#include "store/store_io.h"

/** Bytes of the count, and of each recovery. */
#define EPOCH_COUNT_BYTES 8
#define EPOCH_ITEM_BYTES  16

void
config_state_begin_epoch(config_state_t *state, uint64_t epoch, uint64_t index)
{
	config_epochs_t *epochs = &state->epochs;

	if (epochs->count == CONFIG_EPOCHS_MAX) {
		epochs->count--;
		memmove(epochs->items, epochs->items + 1,
		    sizeof(epochs->items[0]) * (size_t)epochs->count);
	}
	epochs->items[epochs->count++] = (config_epoch_t){
		.epoch = epoch,
		.base_index = state->index,
		.first_index = index,
	};
	state->index = index;
}

const config_epochs_t *
config_state_get_epochs(const config_state_t *state)
{
	return (&state->epochs);
}

size_t
config_epochs_get_bytes(const config_epochs_t *epochs)
{
	return (EPOCH_COUNT_BYTES + EPOCH_ITEM_BYTES * (size_t)epochs->count);
}

void
config_epochs_write(const config_epochs_t *epochs, uint8_t *out)
{
	int i;

	out = store_put_u64(out, (uint64_t)epochs->count);
	for (i = 0; i < epochs->count; i++) {
		out = store_put_u64(out, epochs->items[i].base_index);
		out = store_put_u64(out, epochs->items[i].first_index);
	}
}

int
config_epochs_read(config_epochs_t *epochs, const uint8_t *bytes, size_t len)
{
	uint64_t last = 0;
	uint64_t count;
	int i;

	memset(epochs, 0, sizeof(*epochs));
	if (len < EPOCH_COUNT_BYTES)
		return (TM_EFORMAT);
	count = store_get_u64(bytes);
	if (count == 0 || count > CONFIG_EPOCHS_MAX ||
	    len < EPOCH_COUNT_BYTES + EPOCH_ITEM_BYTES * (size_t)count)
		return (TM_EFORMAT);
	bytes += EPOCH_COUNT_BYTES;
	for (i = 0; i < (int)count; i++, bytes += EPOCH_ITEM_BYTES) {
		epochs->items[i].base_index = store_get_u64(bytes);
		epochs->items[i].first_index = store_get_u64(bytes + 8);
		epochs->items[i].epoch =
		    epochs->items[i].first_index >> CONFIG_EPOCH_SHIFT;
		if (epochs->items[i].base_index < last ||
		    epochs->items[i].first_index <= epochs->items[i].base_index)
			return (TM_EFORMAT);
		last = epochs->items[i].first_index;
	}
	epochs->count = (int)count;
	return (TM_OK);
}

/*
 * A state at an index below the first index of a recovery belongs to the log
 * that the recovery continued, up to its base. A higher index stands for an
 * accepted change that the recovered configuration lacks.
 */
int
config_epochs_check(const config_epochs_t *epochs, uint64_t index)
{
	int i;

	if (test_hooks_is_off("config_epoch"))
		return (TM_OK);
	for (i = 0; i < epochs->count; i++) {
		if (index < epochs->items[i].first_index)
			return (index > epochs->items[i].base_index ? TM_EEPOCH
								    : TM_OK);
	}
	return (TM_OK);
}
