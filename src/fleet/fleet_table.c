#include "fleet/fleet_table.h"

#include <stdlib.h>

#include <xxhash.h>

#include "base/error.h"
#include "fleet/fleet_config.h"
#include "fleet/fleet_defs.h"
#include "fleet/zip.h"

uint32_t
fleet_table_get_bucket(uint64_t key)
{
	return ((uint32_t)(key % FLEET_TABLE_BUCKETS));
}

uint64_t
fleet_table_digest_row(const Tm__Fleet__Target *row)
{
	const uint64_t fields[] = { fleet_name_hash(row->id),
		fleet_name_hash(row->service), fleet_name_hash(row->zone),
		row->born_ms, row->ip, row->port, row->slots, row->state,
		row->warmup_limit };

	return (XXH64(fields, sizeof(fields), 0));
}

uint64_t
fleet_table_digest(const fleet_table_digests_t *digests)
{
	uint64_t digest = XXH64(digests->sums, sizeof(digests->sums), 0);

	return (digest != 0 ? digest : 1);
}

int
fleet_table_zip(const Tm__Fleet__Table *table, Tm__Fleet__Table *out)
{
	size_t len = tm__fleet__table__get_packed_size(table);
	uint8_t *plain = malloc(len + 1);

	if (plain == NULL)
		return (TM_ENOMEM);
	tm__fleet__table__pack(table, plain);
	tm__fleet__table__init(out);
	out->term = table->term;
	out->since = table->since;
	out->sequence = table->sequence;
	out->plain_bytes = (uint32_t)len;
	out->zipped.data = zip_pack(plain, len, &out->zipped.len);
	free(plain);
	return (out->zipped.data != NULL ? TM_OK : TM_ENOMEM);
}

static void
reduce_cold_times(Tm__Fleet__Table *table, uint32_t age_ms)
{
	Tm__Fleet__Target *row;
	size_t i;

	for (i = 0; i < table->n_targets; i++) {
		row = table->targets[i];
		row->cold_left_ms -=
		    row->cold_left_ms < age_ms ? row->cold_left_ms : age_ms;
	}
}

Tm__Fleet__Table *
fleet_table_unpack(const uint8_t *bytes, size_t len)
{
	Tm__Fleet__Table *outer = tm__fleet__table__unpack(NULL, len, bytes);
	Tm__Fleet__Table *table = NULL;
	char *plain;

	if (outer == NULL || outer->zipped.len == 0)
		return (outer);
	plain = zip_unpack(
	    outer->zipped.data, outer->zipped.len, outer->plain_bytes);
	if (plain != NULL)
		table = tm__fleet__table__unpack(
		    NULL, outer->plain_bytes, (const uint8_t *)plain);
	free(plain);
	if (table != NULL)
		reduce_cold_times(table, outer->age_ms);
	tm__fleet__table__free_unpacked(outer, NULL);
	return (table);
}
