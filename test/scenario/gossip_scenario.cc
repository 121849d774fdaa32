// Runs test/scenario/gossip_*.scn. Failures guarded against: VMs that serve
// with an outdated configuration, or that stop serving without need, when
// connections are cut in one direction or both, control VMs are down or a VM
// was frozen.
#include <gtest/gtest.h>

#include <string>

#include "gossip_world.h"
#include "script.h"

namespace {

struct Scenario {
	std::unique_ptr<GossipWorld> world;
	int changes = 0;
};

// nodes N [seed=S]: N entry VMs n1 to nN and control VMs c1 to c3
int
RunNodes(void *ctx, const script_line_t *line)
{
	auto *scenario = static_cast<Scenario *>(ctx);

	scenario->world = std::make_unique<GossipWorld>(
	    atoi(line->argv[1]), (uint64_t)script_get_number(line, "seed", 1));
	scenario->world->Run(6000);
	return TM_OK;
}

int
RunCut(void *ctx, const script_line_t *line)
{
	static_cast<Scenario *>(ctx)->world->Cut(
	    line->argv[1], line->argv[2], strcmp(line->argv[0], "cut") == 0);
	return TM_OK;
}

int
RunControl(void *ctx, const script_line_t *line)
{
	static_cast<Scenario *>(ctx)->world->SetControl(
	    strcmp(line->argv[1], "up") == 0);
	return TM_OK;
}

// recover NAME: control starts again with the configuration of an entry VM
int
RunRecover(void *ctx, const script_line_t *line)
{
	GossipWorld *world = static_cast<Scenario *>(ctx)->world.get();
	GossipWorld::Entry *entry = world->Find(line->argv[1]);

	if (entry == nullptr)
		return TM_ENOENT;
	world->Recover(*entry);
	return TM_OK;
}

int
RunFreeze(void *ctx, const script_line_t *line)
{
	fakenet_set_frozen(static_cast<Scenario *>(ctx)->world->net,
	    node_id_from_name(line->argv[1]),
	    strcmp(line->argv[0], "freeze") == 0);
	return TM_OK;
}

// issue KEY, withdraw KEY
int
RunKey(void *ctx, const script_line_t *line)
{
	auto *scenario = static_cast<Scenario *>(ctx);
	bool withdrawn = strcmp(line->argv[0], "withdraw") == 0;

	scenario->world->Apply(EntryBuilder::Key(
	    std::to_string(scenario->changes++), line->argv[1], withdrawn));
	return TM_OK;
}

// changes N: N changes of the rate of workspace w
int
RunChanges(void *ctx, const script_line_t *line)
{
	auto *scenario = static_cast<Scenario *>(ctx);

	for (int i = 0; i < atoi(line->argv[1]); i++)
		scenario->world->Apply(
		    EntryBuilder::Workspace(std::to_string(scenario->changes++),
			"w", (uint32_t)(100 + i)));
	return TM_OK;
}

// run DURATION
int
RunRun(void *ctx, const script_line_t *line)
{
	int64_t ms = script_parse_ms(line->argv[1]);

	if (ms < 0)
		return TM_EINVAL;
	static_cast<Scenario *>(ctx)->world->Run(ms);
	return TM_OK;
}

// show KEY: number of VMs that serve, hold KEY as withdrawn and are current
int
RunShow(void *ctx, const script_line_t *line)
{
	GossipWorld *world = static_cast<Scenario *>(ctx)->world.get();
	int serving = 0;
	int withdrawn = 0;
	int current = 0;

	for (auto &entry : world->entries) {
		serving += world->IsServing(*entry);
		withdrawn += world->HasWithdrawn(*entry, line->argv[1]);
		current += config_state_get_index(entry->state) == world->index;
	}
	fprintf(line->out, "serving %d, key withdrawn %d, current %d of %zu\n",
	    serving, withdrawn, current, world->entries.size());
	return TM_OK;
}

// node NAME KEY: state of one VM
int
RunNode(void *ctx, const script_line_t *line)
{
	GossipWorld *world = static_cast<Scenario *>(ctx)->world.get();
	GossipWorld::Entry *entry = world->Find(line->argv[1]);
	gossip_status_t status;

	if (entry == nullptr)
		return TM_ENOENT;
	gossip_get_status(entry->gossip, world->Now(), &status);
	fprintf(line->out, "%s: %s, key %s, %s, snapshots %llu\n",
	    line->argv[1], world->IsServing(*entry) ? "serving" : "not serving",
	    world->HasWithdrawn(*entry, line->argv[2]) ? "withdrawn"
						       : "not withdrawn",
	    status.index == world->index ? "current" : "behind",
	    (unsigned long long)status.snapshots_installed);
	return TM_OK;
}

const script_command_t commands[] = {
	{ "nodes", RunNodes },
	{ "cut", RunCut },
	{ "heal", RunCut },
	{ "control", RunControl },
	{ "recover", RunRecover },
	{ "freeze", RunFreeze },
	{ "resume", RunFreeze },
	{ "issue", RunKey },
	{ "withdraw", RunKey },
	{ "changes", RunChanges },
	{ "run", RunRun },
	{ "show", RunShow },
	{ "node", RunNode },
	{ nullptr, nullptr },
};

class GossipScenario : public testing::TestWithParam<const char *> {};

TEST_P(GossipScenario, MatchesExpectedOutput)
{
	std::string path =
	    std::string("test/scenario/gossip_") + GetParam() + ".scn";
	Scenario scenario;
	char *output = nullptr;

	ASSERT_EQ(
	    script_run(path.c_str(), commands, &scenario, &output), TM_OK);
	EXPECT_EQ(script_compare(path.c_str(), output), TM_OK);
	free(output);
}

INSTANTIATE_TEST_SUITE_P(All, GossipScenario,
    testing::Values("hears_only", "cut_from_control", "one_way_feed",
	"control_down", "isolated", "far_behind", "frozen", "recovered",
	"recovered_behind"),
    [](const testing::TestParamInfo<const char *> &param) {
	    return std::string(param.param);
    });

} // namespace
