#include "fleet/fleet_table.h"

#include <xxhash.h>

#include "fleet/fleet_config.h"
#include "fleet/fleet_defs.h"

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
