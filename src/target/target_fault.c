#include "target/target_fault.h"

#include <stdio.h>

static const struct {
	const char *field;
	const char *outcome;
} acts[TARGET_ACTS] = {
	[TARGET_ACT_NONE] = { NULL, "ok" },
	[TARGET_ACT_ERROR] = { "error_share", "error" },
	[TARGET_ACT_WRONG] = { "wrong_share", "wrong" },
	[TARGET_ACT_TRUNCATE] = { "truncate_share", "truncated" },
	[TARGET_ACT_CLOSE] = { "close_share", "closed" },
	[TARGET_ACT_STALL_HEAD] = { "stall_head_share", "stalled_head" },
	[TARGET_ACT_STALL_BODY] = { "stall_body_share", "stalled_body" },
	[TARGET_ACT_LATE] = { "late_share", "late" },
	[TARGET_ACT_EXTRA] = { "extra_share", "extra" },
};

static const char *const health_words[] = { "true", "ok", "bad", NULL };
static const char *const load_words[] = { "true", "idle", "busy", NULL };

void
target_fault_reset(target_fault_t *fault)
{
	*fault = (target_fault_t){ .slow_factor = 1,
		.error_status = 500,
		.stall_ms = 5000,
		.late_ms = 1000,
		.extra_bytes = 64,
		.crash_on_mark = 1 };
}

int
target_fault_parse(json_check_t *check, const char *text, size_t len,
    int64_t now_ms, target_fault_t *fault)
{
	target_fault_t next;
	json_node_t root;
	double sum = 0;
	char found[64];
	int i;

	target_fault_reset(&next);
	json_check_load_text(check, "faults", text, len, &root);
	next.slow_factor =
	    json_opt_real(&root, "slow_factor", 0.01, 10000, "", 1);
	for (i = 1; i < TARGET_ACTS; i++) {
		next.share[i] =
		    json_opt_real(&root, acts[i].field, 0, 1, "", 0);
		sum += next.share[i];
	}
	if (sum > 1.0 + 1e-9) {
		snprintf(found, sizeof(found), "shares that add up to %g", sum);
		json_node_add_error(&root, NULL, found, "a sum of at most 1",
		    "lower some *_share fields");
	}
	next.error_status =
	    (int)json_opt_int(&root, "error_status", 400, 599, "", 500);
	next.stall_ms =
	    (int)json_opt_int(&root, "stall_ms", 1, 3600000, "ms", 5000);
	next.late_ms =
	    (int)json_opt_int(&root, "late_ms", 0, 3600000, "ms", 1000);
	next.extra_bytes =
	    (int)json_opt_int(&root, "extra_bytes", 1, 65536, "bytes", 64);
	next.flap_period_ms =
	    (int)json_opt_int(&root, "flap_period_ms", 0, 3600000, "ms", 0);
	next.health = (target_lie_t)json_opt_enum(
	    &root, "health", health_words, TARGET_LIE_TRUE);
	next.load = (target_lie_t)json_opt_enum(
	    &root, "load", load_words, TARGET_LIE_TRUE);
	next.load_lag_ms =
	    (int)json_opt_int(&root, "load_lag_ms", 0, 3600000, "ms", 0);
	next.crash_on_mark = json_opt_bool(&root, "crash_on_mark", 1);
	next.since_ms = now_ms;
	json_node_finish(&root);
	if (json_check_get_error_count(check) == 0)
		*fault = next;
	return (json_check_get_error_count(check));
}

json_t *
target_fault_to_json(const target_fault_t *fault)
{
	json_t *out = json_pack(
	    "{s:f, s:i, s:i, s:i, s:i, s:i, s:s, s:s, s:i, s:b}", "slow_factor",
	    fault->slow_factor, "error_status", fault->error_status, "stall_ms",
	    fault->stall_ms, "late_ms", fault->late_ms, "extra_bytes",
	    fault->extra_bytes, "flap_period_ms", fault->flap_period_ms,
	    "health", health_words[fault->health], "load",
	    load_words[fault->load], "load_lag_ms", fault->load_lag_ms,
	    "crash_on_mark", fault->crash_on_mark);
	int i;

	for (i = 1; i < TARGET_ACTS && out != NULL; i++)
		json_object_set_new(
		    out, acts[i].field, json_real(fault->share[i]));
	return (out);
}

int
target_fault_is_on(const target_fault_t *fault, int64_t now_ms)
{
	if (fault->flap_period_ms == 0)
		return (1);
	return ((now_ms - fault->since_ms) % fault->flap_period_ms <
	    (fault->flap_period_ms + 1) / 2);
}

target_act_t
target_fault_draw(const target_fault_t *fault, rng_t *rng, int64_t now_ms)
{
	double draw = rng_unit(rng);
	int i;

	if (!target_fault_is_on(fault, now_ms))
		return (TARGET_ACT_NONE);
	for (i = 1; i < TARGET_ACTS; i++) {
		if (draw < fault->share[i])
			return ((target_act_t)i);
		draw -= fault->share[i];
	}
	return (TARGET_ACT_NONE);
}

const char *
target_act_get_name(target_act_t act)
{
	return (acts[act].outcome);
}
