#include "route/balancer.h"

#include <stdlib.h>

#include <xxhash.h>

#define BALANCER_CONNECTIONS_PERCENT 80
/*
 * X-Tm-Load is valid for about one service time. Many VMs that act on the same
 * older report would all choose the same target.
 */
#define BALANCER_LOAD_EXPIRY_MS 20
/* Baseline: errors in a row before ejection, and its length. */
#define BALANCER_BASELINE_ERRORS_MAX  5
#define BALANCER_BASELINE_EJECTION_MS 10000

void
balancer_init(
    balancer_t *balancer, balancer_mode_t mode, node_id_t self, uint64_t seed)
{
	*balancer = (balancer_t){
		.mode = mode,
		.self = self,
	};
	rng_init(&balancer->rng, seed);
}

typedef struct balancer_rank {
	uint64_t weight;
	uint16_t index;
} balancer_rank_t;

static int
balancer_compare_rank(const void *a, const void *b)
{
	uint64_t x = ((const balancer_rank_t *)a)->weight;
	uint64_t y = ((const balancer_rank_t *)b)->weight;

	return ((x < y) - (x > y));
}

/* Largest subset with vms x subset / targets x connections < 80 % of cap. */
static uint32_t
balancer_get_subset_size(service_endpoint_t *const *endpoints, uint32_t count,
    uint32_t vm_count, uint32_t connections_each)
{
	uint64_t cap = 0;
	uint64_t size;
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (endpoints[i]->connection_cap == 0)
			continue;
		if (cap == 0 || endpoints[i]->connection_cap < cap)
			cap = endpoints[i]->connection_cap;
	}
	if (cap == 0 || vm_count == 0 || connections_each == 0)
		return (count);
	size = cap * BALANCER_CONNECTIONS_PERCENT / 100 * count /
	    ((uint64_t)vm_count * connections_each);
	if (size < 2)
		size = 2;
	return (size < count ? (uint32_t)size : count);
}

void
balancer_update_subset(balancer_t *balancer,
    service_endpoint_t *const *endpoints, uint32_t count, uint32_t vm_count,
    uint32_t connections_each, uint64_t generation)
{
	balancer_rank_t ranks[SERVICE_TARGETS_MAX];
	uint64_t pair[2] = { balancer->self, 0 };
	uint32_t i;

	if (balancer->generation == generation &&
	    balancer->vm_count == vm_count &&
	    balancer->connections_each == connections_each)
		return;
	balancer->generation = generation;
	balancer->vm_count = vm_count;
	balancer->connections_each = connections_each;
	for (i = 0; i < count; i++) {
		pair[1] = endpoints[i]->id;
		ranks[i].weight = XXH64(pair, sizeof(pair), 0);
		ranks[i].index = (uint16_t)i;
	}
	qsort(ranks, count, sizeof(ranks[0]), balancer_compare_rank);
	balancer->subset_size = balancer_get_subset_size(
	    endpoints, count, vm_count, connections_each);
	for (i = 0; i < balancer->subset_size; i++)
		balancer->subset[i] = ranks[i].index;
}

static int
balancer_was_tried(
    const service_endpoint_t *endpoint, const uint64_t *tried, uint32_t count)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (tried[i] == endpoint->id)
			return (1);
	}
	return (0);
}

static double
balancer_get_used_slots(const service_endpoint_t *endpoint, int64_t now_ms)
{
	double used = endpoint->in_flight;

	if (endpoint->load_at_ms == 0 ||
	    now_ms - endpoint->load_at_ms > BALANCER_LOAD_EXPIRY_MS)
		return (used);
	return (used + endpoint->load_others);
}

static double
balancer_get_slots(const service_endpoint_t *endpoint)
{
	double slots_in_share =
	    (double)endpoint->slots * endpoint->share / SERVICE_SHARE_FULL;

	return (slots_in_share > 0.1 ? slots_in_share : 0.1);
}

static int
balancer_is_accepting(const service_endpoint_t *endpoint, int64_t now_ms)
{
	return (endpoint->usable && now_ms >= endpoint->shed_until_ms);
}

static int
balancer_has_slot(const service_endpoint_t *endpoint, int64_t now_ms)
{
	double used = balancer_get_used_slots(endpoint, now_ms);

	return (balancer_is_accepting(endpoint, now_ms) &&
	    used + 1 <= balancer_get_slots(endpoint));
}

/* Conditions on a target, from strict to relaxed; tried in this order. */
typedef enum balancer_filter {
	BALANCER_WITH_FREE_SLOT,
	BALANCER_ACCEPTING,
	BALANCER_USABLE
} balancer_filter_t;

/* Each attempt in flight has a connection of its own. */
static int
balancer_has_connection(
    const balancer_t *balancer, const service_endpoint_t *endpoint)
{
	return (balancer->connections_each == 0 ||
	    endpoint->in_flight < balancer->connections_each);
}

static int
balancer_matches(const balancer_t *balancer, const service_endpoint_t *endpoint,
    balancer_filter_t filter, int64_t now_ms)
{
	if (!balancer_has_connection(balancer, endpoint))
		return (0);
	if (filter == BALANCER_WITH_FREE_SLOT)
		return (balancer_has_slot(endpoint, now_ms));
	if (filter == BALANCER_ACCEPTING)
		return (balancer_is_accepting(endpoint, now_ms));
	return (endpoint->usable);
}

static uint32_t
balancer_collect(balancer_t *balancer, service_endpoint_t *const *endpoints,
    uint32_t count, const uint64_t *tried, uint32_t tried_count,
    balancer_filter_t filter, int whole, int64_t now_ms,
    service_endpoint_t **out)
{
	uint32_t size = whole ? count : balancer->subset_size;
	service_endpoint_t *endpoint;
	uint32_t found = 0;
	uint32_t index;
	uint32_t i;

	for (i = 0; i < size; i++) {
		index = whole ? i : balancer->subset[i];
		if (index >= count)
			continue;
		endpoint = endpoints[index];
		if (balancer_was_tried(endpoint, tried, tried_count) ||
		    !balancer_matches(balancer, endpoint, filter, now_ms))
			continue;
		out[found++] = endpoint;
	}
	return (found);
}

/* Draws targets in proportion to their slots, reduced by a cold share. */
static service_endpoint_t *
balancer_draw(balancer_t *balancer, service_endpoint_t **list, uint32_t count)
{
	double total = 0.0;
	double point;
	uint32_t i;

	for (i = 0; i < count; i++)
		total += balancer_get_slots(list[i]);
	point = rng_unit(&balancer->rng) * total;
	for (i = 0; i + 1 < count; i++) {
		point -= balancer_get_slots(list[i]);
		if (point < 0.0)
			break;
	}
	return (list[i]);
}

static service_endpoint_t *
balancer_pick_fleet(balancer_t *balancer, service_endpoint_t *const *endpoints,
    uint32_t count, const uint64_t *tried, uint32_t tried_count, int64_t now_ms)
{
	service_endpoint_t *list[SERVICE_TARGETS_MAX];
	service_endpoint_t *a;
	service_endpoint_t *b;
	uint32_t found = 0;
	int whole = balancer->subset_size == 0;
	int filter;

	for (filter = BALANCER_WITH_FREE_SLOT;
	     filter <= BALANCER_USABLE && found == 0; filter++)
		found = balancer_collect(balancer, endpoints, count, tried,
		    tried_count, (balancer_filter_t)filter, whole, now_ms,
		    list);
	/* All of a small subset can be ejected while other targets are healthy.
	 */
	if (found == 0 && !whole)
		found = balancer_collect(balancer, endpoints, count, tried,
		    tried_count, BALANCER_USABLE, 1, now_ms, list);
	if (found == 0)
		return (NULL);
	a = balancer_draw(balancer, list, found);
	b = balancer_draw(balancer, list, found);
	if (balancer_get_used_slots(b, now_ms) / balancer_get_slots(b) <
	    balancer_get_used_slots(a, now_ms) / balancer_get_slots(a))
		return (b);
	return (a);
}

static service_endpoint_t *
balancer_pick_baseline(balancer_t *balancer,
    service_endpoint_t *const *endpoints, uint32_t count, const uint64_t *tried,
    uint32_t tried_count, int64_t now_ms)
{
	service_endpoint_t *fallback = NULL;
	service_endpoint_t *endpoint;
	uint32_t i;

	for (i = 0; i < count; i++) {
		endpoint = endpoints[balancer->next++ % count];
		if (endpoint->state != NULL && !endpoint->usable)
			continue;
		if (balancer_was_tried(endpoint, tried, tried_count))
			continue;
		if (now_ms >= endpoint->baseline_until_ms)
			return (endpoint);
		if (fallback == NULL)
			fallback = endpoint;
	}
	return (fallback);
}

service_endpoint_t *
balancer_pick(balancer_t *balancer, service_endpoint_t *const *endpoints,
    uint32_t count, const uint64_t *tried, uint32_t tried_count, int64_t now_ms)
{
	if (balancer->mode == BALANCER_BASELINE)
		return (balancer_pick_baseline(
		    balancer, endpoints, count, tried, tried_count, now_ms));
	return (balancer_pick_fleet(
	    balancer, endpoints, count, tried, tried_count, now_ms));
}

void
balancer_record(balancer_t *balancer, service_endpoint_t *endpoint,
    service_outcome_t outcome, int64_t now_ms)
{
	if (balancer->mode != BALANCER_BASELINE ||
	    outcome == SERVICE_OUTCOME_CANCELED ||
	    outcome == SERVICE_OUTCOME_SUPERSEDED)
		return;
	if (outcome == SERVICE_OUTCOME_OK ||
	    outcome == SERVICE_OUTCOME_REJECTED ||
	    outcome == SERVICE_OUTCOME_SHED) {
		endpoint->consecutive_errors = 0;
		return;
	}
	if (++endpoint->consecutive_errors < BALANCER_BASELINE_ERRORS_MAX)
		return;
	endpoint->consecutive_errors = 0;
	endpoint->baseline_until_ms = now_ms + BALANCER_BASELINE_EJECTION_MS;
}

int
balancer_has_free_slot(const balancer_t *balancer,
    service_endpoint_t *const *endpoints, uint32_t count, int64_t now_ms)
{
	uint32_t i;

	for (i = 0; i < balancer->subset_size; i++) {
		if (balancer->subset[i] < count &&
		    balancer_has_slot(endpoints[balancer->subset[i]], now_ms))
			return (1);
	}
	for (i = 0; balancer->subset_size == 0 && i < count; i++) {
		if (balancer_has_slot(endpoints[i], now_ms))
			return (1);
	}
	return (0);
}
