// Scripted scenarios of shard groups, claims and rates. Each mechanism is
// proved twice: with it, the output is the expected one; with its switch off,
// the same script breaks the invariant that it names.
#include <gtest/gtest.h>

#include <cstring>

#include "script.h"
#include "shards_fleet.h"

namespace {

struct Scenario {
	std::unique_ptr<Fleet> fleet;
	Switches off;
	FILE *out = nullptr;
	int64_t start_ms = 0;
};

std::vector<int>
get_list(const script_line_t *line, const char *name)
{
	std::vector<int> list;
	const char *text = script_get_text(line, name, "");
	int first, last, used;

	while (sscanf(text, "%d%n", &first, &used) == 1) {
		text += used;
		last = first;
		if (*text == '-' && sscanf(text, "-%d%n", &last, &used) == 1)
			text += used;
		for (int i = first; i <= last; i++)
			list.push_back(i);
		text += *text == ',';
	}
	return list;
}

int
get_vm(const script_line_t *line)
{
	int vm = (int)script_get_number(line, "vm", 0);
	return vm;
}

int
cmd_fleet(void *ctx, const script_line_t *line)
{
	Scenario *s = (Scenario *)ctx;
	FILE *out = line->out;

	s->fleet =
	    std::make_unique<Fleet>((int)script_get_number(line, "vms", 8), 1,
		(uint64_t)script_get_number(line, "seed", 1), s->off,
		script_get_number(line, "delay", 3));
	Fleet *fleet = s->fleet.get();
	s->start_ms = fleet->now();
	int64_t start_ms = s->start_ms;
	fleet->print = [out, fleet, start_ms](const std::string &text) {
		fprintf(out, "%6lld %s\n", (long long)(fleet->now() - start_ms),
		    text.c_str());
	};
	fleet->assign(0, get_list(line, "holders"));
	return TM_OK;
}

int
cmd_run(void *ctx, const script_line_t *line)
{
	int64_t ms = line->argc > 1 ? script_parse_ms(line->argv[1]) : -1;

	if (ms < 0)
		return TM_EINVAL;
	((Scenario *)ctx)->fleet->run(ms);
	return TM_OK;
}

int
cmd_kill(void *ctx, const script_line_t *line)
{
	((Scenario *)ctx)->fleet->kill(get_vm(line));
	return TM_OK;
}

int
cmd_restart(void *ctx, const script_line_t *line)
{
	Fleet &fleet = *((Scenario *)ctx)->fleet;

	if (fleet.vm(get_vm(line)).alive)
		fleet.kill(get_vm(line));
	fleet.start(get_vm(line));
	return TM_OK;
}

int
cmd_freeze(void *ctx, const script_line_t *line)
{
	((Scenario *)ctx)
	    ->fleet->freeze(get_vm(line), strcmp(line->argv[0], "freeze") == 0);
	return TM_OK;
}

int
cmd_cut(void *ctx, const script_line_t *line)
{
	Fleet &fleet = *((Scenario *)ctx)->fleet;
	int cut = strcmp(line->argv[0], "cut") == 0;

	for (int from : get_list(line, "from")) {
		for (int to : get_list(line, "to")) {
			if (from != to)
				fakenet_set_cut(fleet.net, fleet.vm(from).id,
				    fleet.vm(to).id, cut);
		}
	}
	return TM_OK;
}

// Messages on these links wait for the sender's next tick.
int
cmd_lag(void *ctx, const script_line_t *line)
{
	Fleet &fleet = *((Scenario *)ctx)->fleet;

	for (int from : get_list(line, "from")) {
		for (int to : get_list(line, "to"))
			fleet.vm(from).lags.push_back(fleet.vm(to).id);
	}
	return TM_OK;
}

int
cmd_replace(void *ctx, const script_line_t *line)
{
	((Scenario *)ctx)
	    ->fleet->replace(0, (int)script_get_number(line, "old", 0),
		(int)script_get_number(line, "new", 0), get_list(line, "only"));
	return TM_OK;
}

int
cmd_quarantine(void *ctx, const script_line_t *line)
{
	((Scenario *)ctx)->fleet->assign(0, get_list(line, "holders"), true);
	return TM_OK;
}

int
cmd_claim(void *ctx, const script_line_t *line)
{
	Fleet &fleet = *((Scenario *)ctx)->fleet;
	int64_t work = script_parse_ms(script_get_text(line, "work", "50ms"));

	for (int vm : get_list(line, "vm"))
		fleet.claim(vm, script_get_text(line, "id", "a"),
		    (uint64_t)script_get_number(line, "hash", 1), work,
		    script_get_number(line, "manual", 0) != 0,
		    script_parse_ms(script_get_text(line, "wait", "10s")));
	return TM_OK;
}

// Dispatches the last granted manual claim of a VM.
int
cmd_dispatch(void *ctx, const script_line_t *line)
{
	Fleet &fleet = *((Scenario *)ctx)->fleet;

	for (auto &request : fleet.requests) {
		if (request.vm == get_vm(line) && request.manual) {
			request.manual = false;
			fleet.dispatch(request);
			return TM_OK;
		}
	}
	return TM_ENOENT;
}

int
cmd_show(void *ctx, const script_line_t *line)
{
	Fleet &fleet = *((Scenario *)ctx)->fleet;
	int leader = fleet.leader_of(0);
	std::string text = "leader " +
	    (leader ? "vm" + std::to_string(leader) : std::string("none")) +
	    ", ready";

	for (int i = 1; i < (int)fleet.vms.size(); i++) {
		if (fleet.usable(i) && group_is_ready(fleet.vm(i).group, 0))
			text += " vm" + std::to_string(i);
	}
	fleet.print(text);
	return TM_OK;
}

// Number of VMs that believe to hold the lease; above 1 breaks the lease.
int
cmd_leaders(void *ctx, const script_line_t *line)
{
	Fleet &fleet = *((Scenario *)ctx)->fleet;
	int count = 0;

	for (int i = 1; i < (int)fleet.vms.size(); i++)
		count += fleet.vm(i).alive &&
		    group_is_leader(fleet.vm(i).group, 0, fleet.now());
	fleet.print("leases " + std::to_string(count));
	return TM_OK;
}

// Runs and reports the largest number of leases at any millisecond.
int
cmd_watch(void *ctx, const script_line_t *line)
{
	Fleet &fleet = *((Scenario *)ctx)->fleet;
	int64_t ms = line->argc > 1 ? script_parse_ms(line->argv[1]) : 0;
	int most = 0;

	for (int64_t t = 0; t < ms; t++) {
		int count = 0;
		fleet.run(1);
		for (int i = 1; i < (int)fleet.vms.size(); i++)
			count += fleet.usable(i) &&
			    group_is_leader(fleet.vm(i).group, 0, fleet.now());
		most = std::max(most, count);
	}
	fleet.print("most leases at once " + std::to_string(most));
	return TM_OK;
}

// Acts on the leader: kill, freeze, stop; mute and deafen cut one direction,
// shun cuts it from one follower.
int
cmd_leader(void *ctx, const script_line_t *line)
{
	Fleet &fleet = *((Scenario *)ctx)->fleet;
	const char *what = line->argc > 1 ? line->argv[1] : "";
	int leader = fleet.leader_of(0);

	if (leader == 0)
		return TM_ENOENT;
	fleet.print(std::string(what) + " leader");
	if (strcmp(what, "kill") == 0)
		fleet.kill(leader);
	else if (strcmp(what, "freeze") == 0)
		fleet.freeze(leader, true);
	else if (strcmp(what, "stop") == 0)
		rate_leader_stop(fleet.vm(leader).leader, fleet.now());
	for (int i = 1; i < (int)fleet.vms.size(); i++) {
		if (i != leader && strcmp(what, "isolate") == 0) {
			fakenet_set_cut(
			    fleet.net, fleet.vm(leader).id, fleet.vm(i).id, 1);
			fakenet_set_cut(
			    fleet.net, fleet.vm(i).id, fleet.vm(leader).id, 1);
		}
		if (i != leader && strcmp(what, "mute") == 0)
			fakenet_set_cut(
			    fleet.net, fleet.vm(leader).id, fleet.vm(i).id, 1);
		if (i == leader % 5 + 1 && strcmp(what, "shun") == 0)
			fakenet_set_cut(
			    fleet.net, fleet.vm(leader).id, fleet.vm(i).id, 1);
		if (i != leader && strcmp(what, "deafen") == 0)
			fakenet_set_cut(
			    fleet.net, fleet.vm(i).id, fleet.vm(leader).id, 1);
	}
	for (int i = 0; i < 20 && strcmp(what, "stop") == 0; i++) {
		if (group_hand_over(fleet.vm(leader).group, fleet.now()) == 0)
			break;
		fleet.run(10);
	}
	return TM_OK;
}

int
cmd_thaw_all(void *ctx, const script_line_t *line)
{
	Fleet &fleet = *((Scenario *)ctx)->fleet;

	for (int i = 1; i < (int)fleet.vms.size(); i++) {
		if (fleet.vm(i).alive && fleet.vm(i).frozen)
			fleet.freeze(i, false);
	}
	return TM_OK;
}

int
cmd_workspace(void *ctx, const script_line_t *line)
{
	((Scenario *)ctx)
	    ->fleet->add_workspace(script_get_text(line, "name", "a"),
		strtod(script_get_text(line, "rate", "1"), nullptr),
		strtod(script_get_text(line, "burst", "1"), nullptr));
	return TM_OK;
}

// Poisson traffic of one workspace, spread evenly over the named VMs.
int
cmd_traffic(void *ctx, const script_line_t *line)
{
	Fleet &fleet = *((Scenario *)ctx)->fleet;
	double rate = strtod(script_get_text(line, "rate", "1"), nullptr);
	int64_t ms = script_parse_ms(script_get_text(line, "for", "1s"));
	std::vector<int> vms = get_list(line, "vms");
	rng_t rng;

	/* Arrivals do not depend on what the modules draw. */
	rng_init(&rng, (uint64_t)line->number);
	for (int64_t t = 0; t < ms; t++) {
		for (double left = rate / 1000; left > 0; left -= 1) {
			if (rng_unit(&rng) >= left)
				continue;
			int vm = vms[rng_below(&rng, vms.size())];
			if (fleet.usable(vm))
				fleet.acquire(
				    vm, script_get_text(line, "name", "a"));
		}
		fleet.run(1);
	}
	return TM_OK;
}

// Requests at once, each at the next of the named VMs.
int
cmd_burst(void *ctx, const script_line_t *line)
{
	Fleet &fleet = *((Scenario *)ctx)->fleet;
	std::vector<int> vms = get_list(line, "vms");
	int64_t count = script_get_number(line, "count", 1);

	for (int64_t i = 0; i < count; i++)
		fleet.acquire(vms[(size_t)i % vms.size()],
		    script_get_text(line, "name", "a"));
	return TM_OK;
}

int
cmd_rates(void *ctx, const script_line_t *line)
{
	Fleet &fleet = *((Scenario *)ctx)->fleet;
	std::string name = script_get_text(line, "name", "a");
	auto &space = fleet.spaces[name];
	auto &results = fleet.rate_results;
	bool bound =
	    fleet.record.excess(name, space.first, space.second) <= 1e-6;

	fleet.print("granted " + std::to_string(results[RATE_GRANTED]) +
	    ", refused " + std::to_string(results[RATE_REFUSED]) +
	    ", unavailable " + std::to_string(results[RATE_UNAVAILABLE]) +
	    ", bound " + (bound ? "kept" : "BROKEN"));
	results.clear();
	return TM_OK;
}

int
cmd_runs(void *ctx, const script_line_t *line)
{
	Fleet &fleet = *((Scenario *)ctx)->fleet;

	for (auto &run : fleet.record.runs)
		fleet.print("target ran " + run.first + " " +
		    std::to_string(run.second) + " times");
	if (fleet.record.runs.empty())
		fleet.print("target ran nothing");
	return TM_OK;
}

const script_command_t commands[] = { { "fleet", cmd_fleet },
	{ "run", cmd_run }, { "kill", cmd_kill }, { "restart", cmd_restart },
	{ "freeze", cmd_freeze }, { "thaw", cmd_freeze }, { "cut", cmd_cut },
	{ "heal", cmd_cut }, { "lag", cmd_lag }, { "replace", cmd_replace },
	{ "quarantine", cmd_quarantine }, { "claim", cmd_claim },
	{ "dispatch", cmd_dispatch }, { "show", cmd_show },
	{ "leaders", cmd_leaders }, { "watch", cmd_watch },
	{ "leader", cmd_leader }, { "thawall", cmd_thaw_all },
	{ "workspace", cmd_workspace }, { "traffic", cmd_traffic },
	{ "burst", cmd_burst }, { "rates", cmd_rates }, { "runs", cmd_runs },
	{ nullptr, nullptr } };

std::string
run_file(const std::string &name, const Switches &off, Scenario &s)
{
	std::string path = "test/scenario/" + name + ".scn";
	char *output = nullptr;

	s.off = off;
	EXPECT_EQ(script_run(path.c_str(), commands, &s, &output), TM_OK);
	std::string text(output != nullptr ? output : "");
	free(output);
	return text;
}

class Shards : public testing::TestWithParam<const char *> {};

TEST_P(Shards, MatchesExpectedOutput)
{
	Scenario s;
	std::string name = GetParam();
	std::string output = run_file(name, {}, s);

	EXPECT_EQ(script_compare(("test/scenario/" + name + ".scn").c_str(),
		      output.c_str()),
	    TM_OK);
	EXPECT_LE(s.fleet->record.most_runs(), 1);
	for (auto &space : s.fleet->spaces)
		EXPECT_LE(s.fleet->record.excess(space.first,
			      space.second.first, space.second.second),
		    1e-6);
}

INSTANTIATE_TEST_SUITE_P(Scenario, Shards,
    testing::Values("claim_two_vms", "claim_vm_killed", "claim_vm_frozen",
	"claim_holders_lost", "claim_split_vote", "claim_holder_restarted",
	"claim_group_lost", "claim_reused", "group_leader_killed",
	"group_leader_frozen", "group_leader_one_way", "group_hand_over",
	"group_no_majority", "rate_frozen_tokens", "rate_burst_many_vms",
	"rate_traffic_moves", "rate_leader_killed", "rate_leader_frozen",
	"rate_changed", "rate_queue", "rate_relay"));

// A proof: with a mechanism off, the script breaks what it guards.
struct Proof {
	const char *name;
	const char *scenario;
	std::function<void(Switches &)> set;
	std::function<bool(Scenario &, const std::string &)> breaks;
};

bool
runs_twice(Scenario &s, const std::string &)
{
	return s.fleet->record.most_runs() > 1;
}

bool
breaks_bound(Scenario &s, const std::string &)
{
	for (auto &space : s.fleet->spaces) {
		if (s.fleet->record.excess(space.first, space.second.first,
			space.second.second) > 1e-6)
			return true;
	}
	return false;
}

bool
has_two_leases(Scenario &, const std::string &output)
{
	return output.find("at once 2") != std::string::npos;
}

class ShardsProof : public testing::TestWithParam<Proof> {};

TEST_P(ShardsProof, FailsWithTheMechanismOff)
{
	Scenario s;
	Switches off;

	GetParam().set(off);
	std::string output = run_file(GetParam().scenario, off, s);
	Scenario whole;
	std::string sound = run_file(GetParam().scenario, {}, whole);
	EXPECT_FALSE(GetParam().breaks(whole, sound)) << sound;
	EXPECT_TRUE(GetParam().breaks(s, output))
	    << GetParam().name << " off does not break " << GetParam().scenario
	    << "\n"
	    << output;
}

INSTANTIATE_TEST_SUITE_P(Proof, ShardsProof,
    testing::Values(Proof{ "claim_quorum", "claim_two_vms",
			[](Switches &s) { s.skip_quorum = true; }, runs_twice },
	Proof{ "claim_validity", "claim_vm_frozen",
	    [](Switches &s) { s.skip_validity = true; }, runs_twice },
	Proof{ "claim_incarnation", "claim_holder_restarted",
	    [](Switches &s) { s.group.ignore_incarnation = 1; }, runs_twice },
	Proof{ "group_transfer", "claim_holders_lost",
	    [](Switches &s) { s.group.skip_transfer = 1; }, runs_twice },
	Proof{ "group_quarantine", "claim_group_lost",
	    [](Switches &s) { s.group.skip_quarantine = 1; }, runs_twice },
	Proof{ "claim_retry_random", "claim_split_vote",
	    [](Switches &s) { s.fixed_retry = true; },
	    [](Scenario &s, const std::string &) {
		    return s.fleet->record.most_runs() == 0;
	    } },
	Proof{ "group_lease", "group_leader_frozen",
	    [](Switches &s) { s.group.ignore_lease = 1; }, has_two_leases },
	Proof{ "group_vote_wait", "group_leader_one_way",
	    [](Switches &s) { s.group.vote_early = 1; }, has_two_leases },
	Proof{ "rate_expiry", "rate_frozen_tokens",
	    [](Switches &s) { s.skip_expiry = true; }, breaks_bound },
	Proof{ "rate_floors", "rate_leader_killed",
	    [](Switches &s) { s.skip_floors = true; }, breaks_bound },
	Proof{ "rate_store", "rate_leader_killed",
	    [](Switches &s) { s.group.skip_store = 1; }, breaks_bound },
	Proof{ "rate_outstanding", "rate_traffic_moves",
	    [](Switches &s) { s.skip_outstanding = true; }, breaks_bound },
	Proof{ "rate_queue", "rate_queue",
	    [](Switches &s) { s.skip_queue = true; },
	    [](Scenario &, const std::string &output) {
		    return output.find("refused 0, unavailable 0") ==
			std::string::npos;
	    } },
	Proof{ "rate_relay", "rate_relay",
	    [](Switches &s) { s.skip_relay = true; },
	    [](Scenario &, const std::string &output) {
		    return output.find("refused 0, unavailable 0") ==
			std::string::npos;
	    } },
	Proof{ "rate_recall", "rate_traffic_moves",
	    [](Switches &s) { s.skip_recall = true; },
	    [](Scenario &, const std::string &output) {
		    return output.find("granted 97, refused 0") ==
			std::string::npos;
	    } }),
    [](const testing::TestParamInfo<Proof> &info) {
	    return std::string(info.param.name);
    });

} // namespace
