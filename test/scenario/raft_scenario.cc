// Runs test/scenario/raft_*.scn. Failures guarded against: committed entries
// lost or replaced; two leaders in a term; a leader that stays leader after it
// lost contact to the majority; a replaced disk that votes again in a term;
// nodes with one-way connections that disturb a live leader.
#include <gtest/gtest.h>

#include <cstring>
#include <fstream>
#include <sstream>

extern "C" {
#include "base/error.h"
#include "base/log.h"
}
#include "raft_cluster.h"
#include "script.h"

struct Scenario {
	std::unique_ptr<RaftCluster> cluster;
	uint32_t switches;
	uint64_t marked = 0; /* term */
};

static RaftNode *
get_node(void *ctx, const script_line_t *line, int arg)
{
	Scenario *scenario = (Scenario *)ctx;

	if (arg >= line->argc || !scenario->cluster)
		return (nullptr);
	if (strcmp(line->argv[arg], "leader") == 0)
		return (scenario->cluster->leader());
	return (scenario->cluster->find(line->argv[arg]));
}

static int
run_nodes(void *ctx, const script_line_t *line)
{
	Scenario *scenario = (Scenario *)ctx;
	std::vector<std::string> names;

	for (int i = 1; i < line->argc; i++) {
		if (strchr(line->argv[i], '=') == nullptr)
			names.push_back(line->argv[i]);
	}
	scenario->cluster = std::make_unique<RaftCluster>(names,
	    (uint64_t)script_get_number(line, "seed", 1), scenario->switches,
	    script_get_number(line, "forming", 0) != 0);
	return (TM_OK);
}

static int
run_run(void *ctx, const script_line_t *line)
{
	((Scenario *)ctx)->cluster->run(script_parse_ms(line->argv[1]));
	return (TM_OK);
}

// propose NODE TEXT [count=N]
static int
run_propose(void *ctx, const script_line_t *line)
{
	RaftNode *node = get_node(ctx, line, 1);
	int64_t count = script_get_number(line, "count", 1);
	int err = node == nullptr ? TM_EUNAVAIL : TM_OK;

	for (int64_t i = 1; i <= count && err == TM_OK; i++) {
		std::string text = line->argv[2];
		if (count > 1)
			text += std::to_string(i);
		err = node->cluster->propose(node, text);
	}
	fprintf(line->out, "propose %s %s: %s\n", line->argv[1], line->argv[2],
	    err == TM_OK ? "queued" : error_get_text(err));
	return (TM_OK);
}

static int
run_fault(void *ctx, const script_line_t *line)
{
	RaftNode *node = get_node(ctx, line, 1);
	RaftNode *other = get_node(ctx, line, 2);
	std::string verb = line->argv[0];

	if (node == nullptr)
		return (TM_ENOENT);
	RaftCluster *cluster = node->cluster;
	if (verb == "kill")
		cluster->kill(node);
	else if (verb == "start")
		cluster->start(node);
	else if (verb == "wipe")
		cluster->wipe(node);
	else if (verb == "freeze" || verb == "resume")
		cluster->freeze(node, verb == "freeze");
	else if (verb == "isolate" || verb == "rejoin")
		cluster->isolate(node, verb == "isolate");
	else if (verb == "compact")
		return (raft_compact(
		    node->raft, (uint64_t)script_get_number(line, "keep", 0)));
	else if (verb == "transfer")
		return (raft_transfer_leadership(
		    node->raft, fakenet_now_ms(cluster->net)));
	else if (other != nullptr)
		cluster->cut(node, other, verb == "cut");
	return (TM_OK);
}

// Starts a new epoch from the disk of a node, or prints why it is refused.
static int
run_recover(void *ctx, const script_line_t *line)
{
	RaftNode *node = get_node(ctx, line, 1);
	int lost;
	int err = node->cluster->recover(node, &lost);

	fprintf(line->out, "recover %s: %s, %d accepted entries lost\n",
	    node->name.c_str(), err == TM_OK ? "done" : error_get_text(err),
	    lost);
	return (TM_OK);
}

// Transfers leadership until the given node leads, so that the rest of the file
// can refer to the leader by name.
static int
run_elect(void *ctx, const script_line_t *line)
{
	RaftNode *node = get_node(ctx, line, 1);
	RaftCluster *cluster = node->cluster;

	for (int i = 0; i < 100 && cluster->leader() != node; i++) {
		RaftNode *leader = cluster->leader();
		if (leader != nullptr)
			raft_transfer_leadership(
			    leader->raft, fakenet_now_ms(cluster->net));
		cluster->run(500);
	}
	fprintf(line->out, "elect %s: %s\n", node->name.c_str(),
	    cluster->leader() == node ? "yes" : "no");
	return (TM_OK);
}

static int
run_show(void *ctx, const script_line_t *line)
{
	RaftCluster *cluster = ((Scenario *)ctx)->cluster.get();

	for (auto &node : cluster->nodes) {
		const char *role = "follower";
		if (node->raft == nullptr) {
			fprintf(line->out, "  %s down\n", node->name.c_str());
			continue;
		}
		if (raft_is_leader(node->raft))
			role = "leader";
		raft_stats_t stats;
		raft_get_stats(node->raft, &stats);
		if (raft_get_error(node->raft) == TM_EEPOCH)
			role = "superseded";
		fprintf(line->out,
		    "  %s %s%s applied=%zu last=%s snapshots=%d\n",
		    node->name.c_str(), role,
		    raft_is_voter(node->raft) ? "" : " no-vote",
		    node->state.size(),
		    node->state.empty() ? "-"
					: node->state.rbegin()->second.c_str(),
		    (int)stats.snapshots_installed);
	}
	return (TM_OK);
}

// Prints whether a leader exists and whether its term is still the marked one.
static int
run_leader(void *ctx, const script_line_t *line)
{
	Scenario *scenario = (Scenario *)ctx;
	RaftNode *node = scenario->cluster->leader();
	uint64_t term = node != nullptr ? raft_get_term(node->raft) : 0;

	if (strcmp(line->argv[0], "mark") == 0)
		scenario->marked = term;
	else if (node == nullptr)
		fprintf(line->out, "leader: none\n");
	else if (scenario->marked == 0)
		fprintf(line->out, "leader: yes\n");
	else
		fprintf(line->out, "leader: yes, term %s\n",
		    term == scenario->marked ? "unchanged" : "new");
	return (TM_OK);
}

static int
run_check(void *ctx, const script_line_t *line)
{
	RaftCluster *cluster = ((Scenario *)ctx)->cluster.get();

	if (script_get_number(line, "converged", 0))
		cluster->check_converged();
	for (auto &what : cluster->violations)
		fprintf(line->out, "violation: %s\n", what.c_str());
	if (cluster->violations.empty())
		fprintf(line->out, "safe: %zu entries committed\n",
		    cluster->committed.size());
	return (TM_OK);
}

static const script_command_t commands[] = {
	{ "nodes", run_nodes },
	{ "run", run_run },
	{ "propose", run_propose },
	{ "kill", run_fault },
	{ "start", run_fault },
	{ "wipe", run_fault },
	{ "freeze", run_fault },
	{ "resume", run_fault },
	{ "isolate", run_fault },
	{ "rejoin", run_fault },
	{ "cut", run_fault },
	{ "heal", run_fault },
	{ "compact", run_fault },
	{ "transfer", run_fault },
	{ "elect", run_elect },
	{ "recover", run_recover },
	{ "show", run_show },
	{ "mark", run_leader },
	{ "leader", run_leader },
	{ "check", run_check },
	{ nullptr, nullptr },
};

static std::string
get_path(const std::string &name)
{
	return ("test/scenario/raft_" + name + ".scn");
}

static std::string
run_file(const std::string &name, uint32_t switches)
{
	Scenario scenario = { nullptr, switches };
	char *output = nullptr;

	log_configure(stderr, LOG_LEVEL_ERROR, "test");
	EXPECT_EQ(TM_OK,
	    script_run(get_path(name).c_str(), commands, &scenario, &output));
	std::string text = output != nullptr ? output : "";
	free(output);
	return (text);
}

class RaftScenario : public testing::TestWithParam<const char *> {};

TEST_P(RaftScenario, MatchesExpected)
{
	std::string output = run_file(GetParam(), 0);

	EXPECT_EQ(TM_OK,
	    script_compare(get_path(GetParam()).c_str(), output.c_str()));
	EXPECT_EQ(std::string::npos, output.find("violation"));
}

INSTANTIATE_TEST_SUITE_P(Files, RaftScenario,
    testing::Values("split", "cutoff", "wiped_disk", "catch_up", "second_loss",
	"freeze", "one_way", "transfer", "forming", "late_acks", "recovery",
	"recovery_twice"));

// With its mechanism disabled, the same file must show the failure.
static void
expect_failure(const char *name, uint32_t switches, const char *failure)
{
	std::string output = run_file(name, switches);

	EXPECT_NE(std::string::npos, output.find(failure)) << output;
}

TEST(RaftMechanismOff, VoteWithoutDiskIdLosesCommittedEntry)
{
	expect_failure("wiped_disk", RAFT_TEST_IGNORE_DISK_ID,
	    "violation: c lacks committed entry 4 \"kept\"");
}

TEST(RaftMechanismOff, RecoveryWithoutEpochLetsTheOldMajorityWriteAgain)
{
	expect_failure("recovery", RAFT_TEST_NO_EPOCH, "violation: ");
}

TEST(RaftMechanismOff, LeaderWithoutCheckQuorumStaysLeader)
{
	expect_failure(
	    "cutoff", RAFT_TEST_NO_CHECK_QUORUM, "propose a lost: queued");
}

TEST(RaftMechanismOff, ReturnWithoutPreVoteDisturbsLeader)
{
	expect_failure(
	    "one_way", RAFT_TEST_NO_PRE_VOTE, "leader: yes, term new");
}
