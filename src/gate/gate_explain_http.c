#include "gate/gate_explain_http.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <openssl/crypto.h>

#include "base/clock.h"
#include "base/error.h"
#include "gate/gate_choice.h"
#include "gate/gate_explain.h"

#define CALL_PATH	 "/v1/explain"
#define BEARER		 "Bearer "
#define HOST_MAX_BYTES	 255
#define PATH_MAX_BYTES	 1024
#define WORD_MAX_BYTES	 16
#define KEY_MAX_BYTES	 256
#define BYTES_DIGITS_MAX 12
/* Callers of the listener are not known: more calls in a second are refused, so
 * that they neither hold up requests nor try out many keys. */
#define CALLS_PER_S 20
/* Shares and times are shown to this many digits. */
#define REAL_DIGITS 6

/* The request that a call asks about. */
typedef struct call {
	char host[HOST_MAX_BYTES + 1];
	char path[PATH_MAX_BYTES + 1];
	char method[WORD_MAX_BYTES + 1];
	char bytes[WORD_MAX_BYTES + 1];
	char key[KEY_MAX_BYTES + 1]; /* "": none */
} call_t;

int
gate_explain_http_matches(const h2o_req_t *req)
{
	size_t len = sizeof(CALL_PATH) - 1;

	return (req->path.len >= len &&
	    memcmp(req->path.base, CALL_PATH, len) == 0 &&
	    (req->path.len == len || req->path.base[len] == '?'));
}

static int
read_hex(char digit)
{
	if (digit >= '0' && digit <= '9')
		return (digit - '0');
	if (digit >= 'a' && digit <= 'f')
		return (digit - 'a' + 10);
	if (digit >= 'A' && digit <= 'F')
		return (digit - 'A' + 10);
	return (-1);
}

/* Decodes a percent-encoded value of printable characters.
 * @return 0 if it is malformed or too long */
static int
decode(const char *text, size_t len, char *out, size_t size)
{
	size_t used = 0;
	size_t i;
	int value;

	for (i = 0; i < len; i++) {
		value = (unsigned char)text[i];
		if (value == '%') {
			if (i + 2 >= len || read_hex(text[i + 1]) < 0 ||
			    read_hex(text[i + 2]) < 0)
				return (0);
			value =
			    read_hex(text[i + 1]) * 16 + read_hex(text[i + 2]);
			i += 2;
		}
		if (value <= ' ' || value > '~' || used + 1 >= size)
			return (0);
		out[used++] = (char)value;
	}
	out[used] = '\0';
	return (1);
}

/* Reads one "name=value" of the query. */
static int
read_field(call_t *call, const char *text, size_t len)
{
	const struct {
		const char *name;
		char *out;
		size_t size;
	} fields[] = {
		{ "host=", call->host, sizeof(call->host) },
		{ "path=", call->path, sizeof(call->path) },
		{ "method=", call->method, sizeof(call->method) },
		{ "bytes=", call->bytes, sizeof(call->bytes) },
	};
	size_t name_len;
	size_t i;

	for (i = 0; i < sizeof(fields) / sizeof(fields[0]); i++) {
		name_len = strlen(fields[i].name);
		if (len >= name_len &&
		    memcmp(text, fields[i].name, name_len) == 0)
			return (decode(text + name_len, len - name_len,
			    fields[i].out, fields[i].size));
	}
	return (0);
}

static int
read_query(call_t *call, const h2o_req_t *req)
{
	const char *at = req->path.base + sizeof(CALL_PATH) - 1;
	const char *end = req->path.base + req->path.len;
	const char *stop;

	while (at < end) {
		at++; /* '?' or '&' */
		stop = memchr(at, '&', (size_t)(end - at));
		if (stop == NULL)
			stop = end;
		if (!read_field(call, at, (size_t)(stop - at)))
			return (0);
		at = stop;
	}
	return (1);
}

static int
read_key(call_t *call, const h2o_req_t *req)
{
	h2o_iovec_t value = http_request_get_header(req, "authorization");
	size_t skip = sizeof(BEARER) - 1;

	if (value.base == NULL)
		return (1);
	if (value.len <= skip || memcmp(value.base, BEARER, skip) != 0 ||
	    value.len - skip >= sizeof(call->key))
		return (0);
	memcpy(call->key, value.base + skip, value.len - skip);
	return (1);
}

/* @return what is wrong with a call, or NULL */
static const char *
read_call(call_t *call, const h2o_req_t *req)
{
	char *port;
	char *query;

	if (!read_query(call, req))
		return ("the query has an unknown field or a value that is too "
			"long or not printable");
	if (!read_key(call, req))
		return ("Authorization is not a bearer token of 1 to 256 "
			"characters");
	if (call->host[0] == '\0' || call->path[0] != '/')
		return ("host is empty, or path does not begin with /");
	if (strlen(call->bytes) > BYTES_DIGITS_MAX ||
	    strspn(call->bytes, "0123456789") != strlen(call->bytes))
		return ("bytes is not a number of at most 12 digits");
	port = strchr(call->host, ':');
	if (port != NULL)
		*port = '\0';
	query = strchr(call->path, '?');
	if (query != NULL)
		*query = '\0';
	return (NULL);
}

static void
reply(h2o_req_t *req, int status, json_t *body)
{
	char *text = body != NULL
	    ? json_dumps(body, JSON_COMPACT | JSON_REAL_PRECISION(REAL_DIGITS))
	    : NULL;

	if (text != NULL)
		http_request_reply(
		    req, status, "application/json", text, strlen(text));
	else
		http_request_reply(req, 503, "application/json", "{}", 2);
	free(text);
	json_decref(body);
}

static void
refuse(h2o_req_t *req, int status, const char *error, const char *reason,
    const char *remedy)
{
	reply(req, status,
	    json_pack("{s:s, s:s, s:s}", "error", error, "reason", reason,
		"remedy", remedy));
}

static const char *
get_admission_text(gate_explain_admission_t admission)
{
	switch (admission) {
	case GATE_EXPLAIN_BY_LEADER:
		return ("decision of the leader in the last lease");
	case GATE_EXPLAIN_BY_GATE:
		return ("decision of this gate without a leader");
	case GATE_EXPLAIN_BY_UTILIZATION:
		return ("utilization that the leader reported");
	default:
		return ("the service is not full");
	}
}

static const char *
get_key_text(gate_explain_key_t key)
{
	switch (key) {
	case GATE_EXPLAIN_KEY_MISSING:
		return ("missing; the request would be refused");
	case GATE_EXPLAIN_KEY_UNKNOWN:
		return ("unknown; the request would be refused");
	case GATE_EXPLAIN_KEY_KNOWN:
		return ("known");
	default:
		return ("not needed");
	}
}

static const char *
get_verdict_text(fleet_verdict_t verdict)
{
	switch (verdict) {
	case FLEET_VERDICT_HEALTHY:
		return ("healthy");
	case FLEET_VERDICT_EJECTED:
		return ("ejected");
	case FLEET_VERDICT_PROBE_REPEATABLE:
		return ("probe by repeatable requests");
	case FLEET_VERDICT_PROBE:
		return ("probe");
	default:
		return ("unknown");
	}
}

static const char *
get_outcome_text(const gate_explain_part_t *part)
{
	switch (part->outcome) {
	case GATE_EXPLAIN_EVACUATED:
		return ("refused: all targets are evacuated");
	case GATE_EXPLAIN_KEPT_PROBE:
		return ("sent as a probe that the leader has granted");
	case GATE_EXPLAIN_ASK_LEADER:
		return ("the leader is asked for a target");
	case GATE_EXPLAIN_TARGET:
		return (part->needs_permit
			? "the leader is asked for a permit of the target"
			: "sent to the target");
	case GATE_EXPLAIN_RESERVE:
		return ("waits for a permit of a target's limit");
	case GATE_EXPLAIN_PAUSED:
		return ("refused: targets want no request now");
	case GATE_EXPLAIN_NO_SERVICE:
		return ("held, then refused: no target of this service has "
			"announced itself");
	default:
		return ("held, then refused: no target is usable");
	}
}

/* Leaves out what is not known. */
static void
add_real(json_t *object, const char *field, double value, int is_known)
{
	if (is_known)
		json_object_set_new(object, field, json_real(value));
}

static json_t *
describe_candidate(const gate_explain_candidate_t *candidate)
{
	json_t *out =
	    json_pack("{s:s, s:s, s:s, s:f, s:f}", "target", candidate->id,
		"data_centre", candidate->is_same_zone ? "same" : "other",
		"verdict", get_verdict_text(candidate->verdict), "chance",
		candidate->chance, "score", candidate->score);

	json_object_set_new(
	    out, "avoided", json_boolean(candidate->rank == GATE_RANK_HEALTHY));
	json_object_set_new(out, "slots", json_integer(candidate->slots));
	json_object_set_new(
	    out, "in_flight", json_integer(candidate->in_flight));
	if (candidate->load_age_ms >= 0) {
		json_object_set_new(out, "load", json_integer(candidate->load));
		json_object_set_new(
		    out, "load_age_ms", json_integer(candidate->load_age_ms));
	}
	add_real(out, "expected_ms", candidate->expected_ms,
	    candidate->expected_ms > 0);
	add_real(out, "slowness", candidate->slowness, 1);
	add_real(out, "limit_per_s", candidate->limit_per_s,
	    candidate->limit_per_s >= 0);
	add_real(out, "warmup_per_s", candidate->warmup_per_s,
	    candidate->warmup_per_s >= 0);
	json_object_set_new(
	    out, "cold_left_ms", json_integer(candidate->cold_left_ms));
	return (out);
}

static json_t *
describe_counts(const gate_explain_counts_t *counts)
{
	return (json_pack("{s:i, s:i, s:i, s:i, s:i, s:i, s:i}", "total",
	    (int)counts->total, "usable", (int)counts->usable, "avoided",
	    (int)counts->avoided, "ejected", (int)counts->ejected, "evacuated",
	    (int)counts->evacuated, "waiting", (int)counts->waiting, "leaving",
	    (int)counts->leaving));
}

static json_t *
describe_part(const gate_explain_part_t *part)
{
	json_t *candidates = json_array();
	uint32_t i;

	for (i = 0; i < part->candidate_count; i++)
		json_array_append_new(
		    candidates, describe_candidate(&part->candidates[i]));
	return (json_pack("{s:s, s:f, s:f, s:b, s:{s:f, s:f, s:i, s:s}, s:o, "
			  "s:b, s:i, s:s, s:s, s:I, s:o}",
	    "service", part->service, "weight", part->weight, "share",
	    part->share, "evacuated", part->outcome == GATE_EXPLAIN_EVACUATED,
	    "admission", "admitted", part->admitted, "class_share",
	    part->class_share, "class", (int)part->priority_class, "reason",
	    get_admission_text(part->admission), "targets",
	    describe_counts(&part->counts), "prefers_part", part->has_subset,
	    "candidates_total", (int)part->candidate_total, "outcome",
	    get_outcome_text(part), "target", part->target, "pause_ms",
	    (json_int_t)part->pause_ms, "candidates", candidates));
}

static json_t *
describe_route(const gate_explain_t *result)
{
	const fleet_route_t *route = result->route;
	json_t *out =
	    json_pack("{s:s, s:s, s:s, s:i, s:b, s:i, s:b, s:b, s:I, s:I}",
		"name", route->name, "host", route->host, "prefix",
		route->prefix, "priority", (int)route->priority, "may_repeat",
		route->repeat_allowed, "attempts_max", (int)route->attempts_max,
		"upload", route->is_upload, "open", route->is_open,
		"timeout_ms", (json_int_t)result->timeout_ms,
		"soft_deadline_ms", (json_int_t)result->soft_deadline_ms);

	add_real(out, "cost_ms", result->cost_ms, result->cost_ms > 0);
	return (out);
}

static json_t *
describe_workspace(const gate_t *gate, const gate_explain_t *result)
{
	const fleet_workspace_t *workspace = result->workspace;
	json_t *out = json_pack("{s:s, s:i}", "key", get_key_text(result->key),
	    "priority", (int)result->priority);

	if (workspace == NULL)
		return (out);
	json_object_set_new(out, "name", json_string(workspace->name));
	add_real(out, "rate_per_s", workspace->rate_per_s,
	    workspace->rate_per_s > 0);
	json_object_set_new(out, "near_rate_limit",
	    json_boolean(workspace->rate_per_s > 0 &&
		gate_link_is_near_limit(gate->link, workspace->id)));
	json_object_set_new(out, "key_lease",
	    json_boolean(gate_link_has_key_lease(gate->link, clock_now_ms())));
	return (out);
}

static json_t *
describe_gate(const gate_t *gate, int64_t now_ms)
{
	return (json_pack("{s:s, s:s, s:I, s:b, s:I, s:I, s:b, s:I}", "node",
	    gate->settings.node, "data_centre", gate->settings.zone,
	    "config_version", (json_int_t)gate->config->version,
	    "config_confirmed", gate_link_is_confirmed(gate->link, now_ms),
	    "table_term", (json_int_t)gate_table_get_term(gate->table),
	    "table_sequence", (json_int_t)gate_table_get_sequence(gate->table),
	    "has_leader", gate_link_has_leader(gate->link, now_ms),
	    "lease_age_ms",
	    (json_int_t)(gate_link_get_term(gate->link) != 0
		    ? gate_link_get_answer_age_ms(gate->link, now_ms)
		    : -1)));
}

static void
reply_explanation(
    const gate_t *gate, h2o_req_t *req, const gate_explain_t *result)
{
	json_t *services = json_array();
	size_t i;

	for (i = 0; i < result->part_count; i++)
		json_array_append_new(
		    services, describe_part(&result->parts[i]));
	reply(req, 200,
	    json_pack("{s:o, s:o, s:o, s:o}", "gate",
		describe_gate(gate, clock_now_ms()), "route",
		describe_route(result), "workspace",
		describe_workspace(gate, result), "services", services));
}

static void
answer(const gate_t *gate, h2o_req_t *req, const call_t *call)
{
	int64_t now_ms = clock_now_ms();
	const gate_explain_query_t query = {
		.config = gate->config,
		.table = gate->table,
		.cost = gate->cost,
		.features = gate->features,
		.host = call->host,
		.path = call->path,
		.method = call->method[0] != '\0' ? call->method : "GET",
		.key = call->key[0] != '\0' ? call->key : NULL,
		.body_bytes = strtoul(call->bytes, NULL, 10),
		.has_leader = gate_link_has_leader(gate->link, now_ms),
		.is_alone = gate_link_get_answer_age_ms(gate->link, now_ms) >
		    GATE_ELECTION_MAX_MS,
		.lease_ms = gate->lease_ms,
		.now_ms = now_ms,
	};
	gate_explain_t *result = malloc(sizeof(*result));

	if (result == NULL || gate_explain_request(&query, result) != TM_OK)
		refuse(req, 503, "no_memory", "memory is exhausted",
		    "try again, and check the memory of the gate");
	else if (result->problem == GATE_EXPLAIN_NO_CONFIG)
		refuse(req, 409, "no_config",
		    "the gate has no configuration yet",
		    "check that hubs have a configuration and that the gate "
		    "reaches them");
	else if (result->problem == GATE_EXPLAIN_NO_ROUTE)
		refuse(req, 404, "no_route",
		    gate_link_is_confirmed(gate->link, now_ms)
			? "no route has this host and a prefix of this path"
			: "no route has this host and a prefix of this path; "
			  "a newer configuration may have one, as no leader "
			  "has confirmed this one lately",
		    "check host and path, and the routes of the configuration");
	else
		reply_explanation(gate, req, result);
	free(result);
}

/* Counts a call. @return 1 if it may be answered */
static int
take_call(gate_t *gate, int64_t now_ms)
{
	if (now_ms - gate->explained_ms >= MS_PER_SEC) {
		gate->explained_ms = now_ms;
		gate->explained = 0;
	}
	return (gate->explained++ < CALLS_PER_S);
}

void
gate_explain_http_handle(gate_t *gate, h2o_req_t *req)
{
	call_t call = { .host = "" };
	const char *problem;

	if (!h2o_memis(req->method.base, req->method.len, H2O_STRLIT("GET"))) {
		refuse(req, 405, "method_not_allowed", "the call reads only",
		    "use GET");
		return;
	}
	if (!take_call(gate, clock_now_ms())) {
		refuse(req, 429, "too_many_calls",
		    "the gate answers 20 such calls in a second",
		    "wait a second");
		return;
	}
	problem = read_call(&call, req);
	if (problem != NULL)
		refuse(req, 400, "malformed", problem,
		    "use host=NAME&path=/PATH&method=WORD&bytes=NUMBER");
	else
		answer(gate, req, &call);
	OPENSSL_cleanse(call.key, sizeof(call.key));
}
