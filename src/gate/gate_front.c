#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "base/clock.h"
#include "gate/gate_request.h"

/* Longest deadline header, in digits of milliseconds. */
#define DEADLINE_DIGITS_MAX 9

/* Requests wait at most this long, and at most this many of them, for the first
 * configuration; a starting process gets it within about this time. */
#define WAIT_CONFIG_MS 2500
#define WAITING_MAX    500

/* A request that waits for the first configuration. */
struct gate_waiting {
	h2o_req_t *req; /* NULL: the caller is gone */
	struct gate_waiting_link *link;
	int64_t started_ms;
	gate_waiting_t *prev;
	gate_waiting_t *next;
};

typedef struct gate_waiting_link {
	gate_waiting_t *waiting;
} gate_waiting_link_t;

/* State of the checks of a new request. */
typedef struct front_check {
	gate_t *gate;
	h2o_req_t *req;
	gate_request_options_t options;
	gate_refusal_t refusal;
} front_check_t;

static int
refuse(front_check_t *check, gate_refusal_t refusal)
{
	check->refusal = refusal;
	return (0);
}

/* Refuses what the configuration does not have. A newer one that has not arrived
 * may have it, and callers do not repeat a request after a 401 or 404. */
static int
refuse_unknown(front_check_t *check, gate_refusal_t refusal)
{
	if (!gate_link_is_confirmed(check->gate->link, clock_now_ms()))
		refusal = GATE_REFUSAL_CONFIG_UNSURE;
	return (refuse(check, refusal));
}

static size_t
get_header_bytes(const h2o_req_t *req)
{
	size_t bytes = req->method.len + req->input.path.len;
	size_t i;

	for (i = 0; i < req->headers.size; i++)
		bytes += req->headers.entries[i].name->len +
		    req->headers.entries[i].value.len + 4;
	return (bytes);
}

static int
check_limits(front_check_t *check)
{
	const fleet_limits_t *limits = &check->gate->config->limits;
	size_t max = limits->header_max_bytes > 0 ? limits->header_max_bytes
						  : GATE_HEADERS_MAX_BYTES;

	if (get_header_bytes(check->req) > max)
		return (refuse(check, GATE_REFUSAL_HEADERS_TOO_LARGE));
	if (limits->body_max_bytes > 0 &&
	    check->req->entity.len > limits->body_max_bytes)
		return (refuse(check, GATE_REFUSAL_BODY_TOO_LARGE));
	return (1);
}

static h2o_iovec_t
get_host(const h2o_req_t *req)
{
	h2o_iovec_t host = req->input.authority;
	char *colon = memchr(host.base, ':', host.len);

	if (colon != NULL)
		host.len = (size_t)(colon - host.base);
	return (host);
}

static h2o_iovec_t
get_path(const h2o_req_t *req)
{
	h2o_iovec_t path = req->input.path;
	char *query = memchr(path.base, '?', path.len);

	if (query != NULL)
		path.len = (size_t)(query - path.base);
	return (path);
}

/* Chooses a service of the route at random by the weights.  NULL: none */
static const char *
choose_service(gate_t *gate, const fleet_route_t *route)
{
	double at = rng_unit(&gate->rng) * route->weight_sum;
	size_t i;

	for (i = 0; i < route->part_count; i++) {
		at -= route->parts[i].weight;
		if (at < 0)
			return (route->parts[i].service);
	}
	return (NULL);
}

static int
check_route(front_check_t *check)
{
	h2o_iovec_t host = get_host(check->req);
	h2o_iovec_t path = get_path(check->req);

	check->options.route = fleet_config_find_route(
	    check->gate->config, host.base, host.len, path.base, path.len);
	if (check->options.route == NULL)
		return (refuse_unknown(check, GATE_REFUSAL_NO_ROUTE));
	return (1);
}

static int
check_key(front_check_t *check)
{
	const fleet_config_t *config = check->gate->config;
	h2o_iovec_t key;

	if (!config->needs_keys || check->options.route->is_open)
		return (1);
	key = http_request_get_header(
	    check->req, gate_get_dialect(check->gate)->headers.key);
	if (key.base != NULL)
		check->options.workspace =
		    fleet_config_find_key(config, key.base, key.len);
	if (check->options.workspace == NULL)
		return (refuse_unknown(check, GATE_REFUSAL_KEY_UNKNOWN));
	return (1);
}

int
gate_front_is_allowed(const gate_request_t *request, gate_refusal_t *refusal)
{
	front_check_t check = { .gate = request->gate, .req = request->req };
	const fleet_route_t *route;
	size_t i;

	if (!check_route(&check) || !check_key(&check)) {
		*refusal = check.refusal;
		return (0);
	}
	route = check.options.route;
	*refusal = GATE_REFUSAL_KEY_UNKNOWN;
	if ((check.options.workspace != NULL ? check.options.workspace->id
					     : 0) != request->workspace_id)
		return (0);
	/* The route may lead to another service now; a retry is safe. */
	*refusal = GATE_REFUSAL_OVERLOADED;
	for (i = 0; i < route->part_count; i++) {
		if (route->parts[i].weight > 0 &&
		    strcmp(route->parts[i].service, request->service) == 0)
			return (1);
	}
	return (0);
}

static int
check_service(front_check_t *check)
{
	check->options.service =
	    choose_service(check->gate, check->options.route);
	if (check->options.service == NULL)
		return (refuse(check, GATE_REFUSAL_NO_TARGET));
	return (1);
}

static int
check_form(front_check_t *check)
{
	if (http_request_is_ambiguous(check->req))
		return (refuse(check, GATE_REFUSAL_MALFORMED));
	return (1);
}

/* @return deadline given by the caller in ms; -1 if absent or malformed */
static int64_t
read_deadline_ms(const front_check_t *check)
{
	h2o_iovec_t value = http_request_get_header(
	    check->req, gate_get_dialect(check->gate)->headers.deadline);
	int64_t deadline_ms = 0;
	size_t i;

	if (value.base == NULL || value.len == 0 ||
	    value.len > DEADLINE_DIGITS_MAX)
		return (-1);
	for (i = 0; i < value.len; i++) {
		if (value.base[i] < '0' || value.base[i] > '9')
			return (-1);
		deadline_ms = deadline_ms * 10 + (value.base[i] - '0');
	}
	return (deadline_ms);
}

static void
set_deadline(front_check_t *check)
{
	int64_t timeout_ms = check->options.route->timeout_ms;
	int64_t limit_ms =
	    timeout_ms > 0 ? timeout_ms : GATE_DEADLINE_DEFAULT_MS;
	int64_t requested_ms = read_deadline_ms(check);

	if (requested_ms >= 0 && requested_ms < limit_ms)
		limit_ms = requested_ms;
	check->options.deadline_ms = check->options.started_ms + limit_ms;
}

static void
on_link_disposed(void *memory)
{
	gate_waiting_link_t *link = memory;

	if (link->waiting != NULL)
		link->waiting->req = NULL;
}

/* @return 1 if the request waits; 0 if it must be refused */
static int
wait_for_config(gate_t *gate, h2o_req_t *req)
{
	gate_waiting_t *waiting;
	int count;

	DL_COUNT(gate->waiting, waiting, count);
	if (count >= WAITING_MAX)
		return (0);
	waiting = calloc(1, sizeof(*waiting));
	if (waiting == NULL)
		return (0);
	waiting->req = req;
	waiting->started_ms = clock_now_ms();
	waiting->link = h2o_mem_alloc_shared(
	    &req->pool, sizeof(*waiting->link), on_link_disposed);
	waiting->link->waiting = waiting;
	DL_APPEND(gate->waiting, waiting);
	return (1);
}

static void
handle(gate_t *gate, h2o_req_t *req, int64_t started_ms)
{
	typedef int (*check_fn)(front_check_t *);
	static const check_fn checks[] = { check_form, check_limits,
		check_route, check_key, check_service };
	front_check_t check = {
		.gate = gate,
		.req = req,
		.options.started_ms = started_ms,
	};
	size_t i;

	for (i = 0; i < sizeof(checks) / sizeof(checks[0]); i++) {
		if (!checks[i](&check)) {
			gate_request_refuse_early(gate, req, check.refusal);
			return;
		}
	}
	check.options.id = http_request_get_header(
	    req, gate_get_dialect(check.gate)->headers.request_id);
	set_deadline(&check);
	gate_request_start(gate, req, &check.options);
}

void
gate_front_handle(void *ctx, h2o_req_t *req)
{
	gate_t *gate = ctx;

	/* The process may end before such a request is finished, and holds none
	 * while it stops. */
	if (gate->stop.phase >= GATE_CLOSED ||
	    (gate_stop_is_requested(&gate->stop) && gate->config == NULL))
		gate_request_refuse_early(gate, req, GATE_REFUSAL_DRAINING);
	else if (gate->config != NULL)
		handle(gate, req, clock_now_ms());
	else if (!wait_for_config(gate, req))
		gate_request_refuse_early(gate, req, GATE_REFUSAL_NO_CONFIG);
}

/* @param refusal  sent if there is no configuration yet */
static void
end_wait(gate_t *gate, gate_waiting_t *waiting, gate_refusal_t refusal)
{
	h2o_req_t *req = waiting->req;
	int64_t started_ms = waiting->started_ms;

	DL_DELETE(gate->waiting, waiting);
	if (req != NULL)
		waiting->link->waiting = NULL;
	free(waiting);
	if (req == NULL)
		return;
	if (gate->config != NULL)
		handle(gate, req, started_ms);
	else
		gate_request_refuse_early(gate, req, refusal);
}

void
gate_front_refuse_waiting(gate_t *gate)
{
	gate_waiting_t *waiting;
	gate_waiting_t *next;

	DL_FOREACH_SAFE(gate->waiting, waiting, next)
		end_wait(gate, waiting, GATE_REFUSAL_DRAINING);
}

void
gate_front_tick(gate_t *gate, int64_t now_ms)
{
	gate_waiting_t *waiting;
	gate_waiting_t *next;

	DL_FOREACH_SAFE(gate->waiting, waiting, next) {
		if (gate->config != NULL ||
		    now_ms - waiting->started_ms >= WAIT_CONFIG_MS)
			end_wait(gate, waiting, GATE_REFUSAL_NO_CONFIG);
	}
}
