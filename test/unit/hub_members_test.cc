// Failures guarded against: a failed hub stays a member of the log, so that the
// next failure costs the majority; a member is removed although too few alive
// hubs would be left; a hub that is no seed is never found.
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "hub/hub_members.h"
}

namespace {

/* Hubs that exchange hello messages over a network with cuts. */
class HubNetwork {
      public:
	struct Hub {
		HubNetwork *network;
		std::string name;
		hub_members_t *members;
	};

	~HubNetwork()
	{
		for (auto &entry : hubs_)
			hub_members_destroy(entry.second->members);
	}

	void
	Add(const std::string &name, const std::vector<std::string> &seeds,
	    const std::string &data_centre = "")
	{
		auto hub = std::make_unique<Hub>(Hub{ this, name, nullptr });
		std::vector<const char *> texts;
		hub_members_options_t options = {};

		for (const std::string &seed : seeds)
			texts.push_back(seed.c_str());
		options.self = hub->name.c_str();
		options.data_centre = data_centre.c_str();
		options.seeds = texts.data();
		options.seed_count = (int)texts.size();
		options.send = Send;
		options.send_ctx = hub.get();
		options.added = [](void *, const char *) {};
		options.dropped = [](void *ctx, node_id_t) {
			static_cast<Hub *>(ctx)->network->dropped_++;
		};
		options.ctx = hub.get();
		hub->members = hub_members_create(&options);
		hubs_[node_id_from_name(name.c_str())] = std::move(hub);
	}

	static void
	Send(
	    void *ctx, node_id_t to, uint16_t type, const ProtobufCMessage *msg)
	{
		Hub *from = static_cast<Hub *>(ctx);
		HubNetwork *network = from->network;
		auto found = network->hubs_.find(to);
		std::vector<uint8_t> bytes(
		    protobuf_c_message_get_packed_size(msg));

		if (type != MSG_FLEET_HELLO || found == network->hubs_.end() ||
		    network->down_.count(from->name) > 0 ||
		    network->down_.count(found->second->name) > 0)
			return;
		protobuf_c_message_pack(msg, bytes.data());
		hub_members_handle(found->second->members,
		    node_id_from_name(from->name.c_str()), bytes.data(),
		    bytes.size(), network->now_);
	}

	void
	Pass(int64_t ms)
	{
		for (int64_t end = now_ + ms; now_ < end; now_ += 100) {
			for (auto &entry : hubs_) {
				if (down_.count(entry.second->name) == 0)
					hub_members_tick(
					    entry.second->members, now_);
			}
		}
	}

	hub_members_t *
	Get(const std::string &name)
	{
		return (hubs_[node_id_from_name(name.c_str())]->members);
	}

	/* Applies the steps that the leader plans until there are no more. */
	std::vector<std::string>
	Lead(const std::string &leader, int64_t leading_ms)
	{
		std::vector<std::string> steps;
		const char *name;

		for (;;) {
			raft_member_t log_members[RAFT_MEMBERS_MAX] = {};
			hub_members_view_t view = {};
			int count = 0;

			for (const std::string &member : log_members_)
				log_members[count++].node =
				    node_id_from_name(member.c_str());
			view.state = state_;
			view.log_members = log_members;
			view.log_member_count = count;
			view.leading_ms = leading_ms;
			switch (
			    hub_members_plan(Get(leader), &view, now_, &name)) {
			case HUB_STEP_NONE:
				return (steps);
			case HUB_STEP_RECORD:
				Record(name, 0);
				steps.push_back("record " + std::string(name));
				break;
			case HUB_STEP_EXPIRE:
				steps.push_back("forget " + std::string(name));
				Record(std::string(name).c_str(), 1);
				break;
			case HUB_STEP_ADD:
				log_members_.insert(name);
				steps.push_back("seat " + std::string(name));
				break;
			case HUB_STEP_REMOVE:
				steps.push_back("unseat " + std::string(name));
				log_members_.erase(std::string(name));
				break;
			}
		}
	}

	void
	Record(const char *name, int is_lost)
	{
		size_t len;
		uint8_t *bytes = hub_entry_encode_hub(name, is_lost, &len);
		hub_changed_targets_t unused;

		hub_state_apply(state_, bytes, len, &unused);
		free(bytes);
		for (auto &entry : hubs_) {
			if (down_.count(entry.second->name) == 0)
				hub_members_merge(
				    entry.second->members, state_, now_);
		}
	}

	int64_t now_ = 1000000;
	std::set<std::string> down_;
	std::set<std::string> log_members_;
	int dropped_ = 0;
	hub_state_t *state_ = hub_state_create();

      private:
	std::map<node_id_t, std::unique_ptr<Hub>> hubs_;
};

const std::vector<std::string> kSeeds = { "10.0.0.1", "10.0.0.2", "10.0.0.3" };

class HubMembers : public testing::Test {
      protected:
	HubMembers()
	{
		for (int i = 1; i <= 5; i++)
			network_.Add("10.0.0." + std::to_string(i), kSeeds);
		network_.log_members_.insert(kSeeds.begin(), kSeeds.end());
	}

	~HubMembers() override
	{
		hub_state_destroy(network_.state_);
	}

	size_t
	CountKnown(const std::string &name)
	{
		const char *names[FLEET_HUBS_MAX];

		return ((size_t)hub_members_list(network_.Get(name), names));
	}

	HubNetwork network_;
};

} // namespace

TEST_F(HubMembers, AllAreFoundFromTheSeeds)
{
	network_.Pass(2000);
	for (int i = 1; i <= 5; i++)
		EXPECT_EQ(5u, CountKnown("10.0.0." + std::to_string(i)));
}

TEST_F(HubMembers, OneSeedIsEnough)
{
	network_.down_ = { "10.0.0.1", "10.0.0.3" };
	network_.Pass(2000);
	EXPECT_EQ(5u, CountKnown("10.0.0.4"));
	EXPECT_TRUE(hub_members_is_alive(network_.Get("10.0.0.4"),
	    node_id_from_name("10.0.0.5"), network_.now_));
	EXPECT_FALSE(hub_members_is_alive(network_.Get("10.0.0.4"),
	    node_id_from_name("10.0.0.1"), network_.now_));
}

TEST_F(HubMembers, AllBecomeLogMembers)
{
	network_.Pass(2000);
	network_.Lead("10.0.0.1", 2000);
	EXPECT_EQ(5u, network_.log_members_.size());
	EXPECT_EQ(5, network_.state_->hub_count);
}

TEST_F(HubMembers, OnlyARecordedHubBecomesAMember)
{
	network_.Pass(2000);
	std::vector<std::string> steps = network_.Lead("10.0.0.1", 2000);

	for (size_t i = 0; i < steps.size(); i++) {
		if (steps[i].compare(0, 5, "seat ") != 0)
			continue;
		EXPECT_NE(steps.end(),
		    std::find(steps.begin(), steps.begin() + (long)i,
			"record " + steps[i].substr(5)))
		    << steps[i];
	}
}

// Replaced hubs fill the list, and a new hub never becomes a member.
TEST_F(HubMembers, AreFoundAfterManyWereReplaced)
{
	std::vector<std::string> alive = { "10.0.0.1", "10.0.0.2", "10.0.0.3",
		"10.0.0.4", "10.0.0.5" };

	network_.Pass(2000);
	network_.Lead(alive[0], 60000);
	for (int i = 0; i < FLEET_HUBS_MAX + 8; i++) {
		std::string name = "10.0.1." + std::to_string(i);

		network_.Add(name, { alive[1], alive[2] });
		network_.down_.insert(alive[0]);
		alive.erase(alive.begin());
		alive.push_back(name);
		network_.Pass(HUB_EXPIRY_MS + 10000);
		network_.Lead(alive[0], 60000);
		network_.Pass(1000);
		ASSERT_EQ(std::set<std::string>(alive.begin(), alive.end()),
		    network_.log_members_)
		    << name;
	}
	EXPECT_GT(network_.dropped_, 0);
	for (const std::string &from : alive) {
		for (const std::string &to : alive)
			EXPECT_TRUE(hub_members_is_alive(network_.Get(from),
			    node_id_from_name(to.c_str()), network_.now_))
			    << from << " " << to;
	}
}

// The log then survives the failure of a second hub.
TEST_F(HubMembers, UnresponsiveHubIsRemoved)
{
	network_.Pass(2000);
	network_.Lead("10.0.0.1", 2000);
	network_.down_ = { "10.0.0.5" };
	network_.Pass(HUB_REMOVE_TIMEOUT_MS - 1000);
	EXPECT_TRUE(network_.Lead("10.0.0.1", 60000).empty());
	network_.Pass(2000);
	EXPECT_EQ(std::vector<std::string>({ "unseat 10.0.0.5" }),
	    network_.Lead("10.0.0.1", 60000));
	network_.down_.clear();
	network_.Pass(1000);
	EXPECT_EQ(std::vector<std::string>({ "seat 10.0.0.5" }),
	    network_.Lead("10.0.0.1", 60000));
}

TEST_F(HubMembers, ReplacementIsAddedSoon)
{
	network_.Pass(2000);
	network_.Lead("10.0.0.1", 2000);
	network_.down_ = { "10.0.0.2" };
	network_.Add("10.0.0.9", { "10.0.0.2", "10.0.0.3" });
	network_.Pass(HUB_REPLACE_TIMEOUT_MS + 1000);
	network_.Lead("10.0.0.1", 60000);
	EXPECT_EQ(0u, network_.log_members_.count("10.0.0.2"));
	EXPECT_EQ(1u, network_.log_members_.count("10.0.0.9"));
}

TEST_F(HubMembers, NewLeaderWaitsBeforeItRemovesAMember)
{
	network_.Pass(2000);
	network_.Lead("10.0.0.1", 2000);
	network_.down_ = { "10.0.0.5" };
	network_.Pass(HUB_REMOVE_TIMEOUT_MS + 2000);
	EXPECT_TRUE(network_.Lead("10.0.0.1", 1000).empty());
}

// Half of the hubs are cut off: they must stay members.
TEST_F(HubMembers, WithoutAnAliveMajorityNoMemberIsRemoved)
{
	network_.Pass(2000);
	network_.Lead("10.0.0.1", 2000);
	network_.down_ = { "10.0.0.3", "10.0.0.4", "10.0.0.5" };
	network_.Pass(30000);
	network_.Lead("10.0.0.1", 20000);
	EXPECT_EQ(5u, network_.log_members_.size());
}

TEST_F(HubMembers, StoppingHubIsNotAdded)
{
	network_.Pass(2000);
	hub_members_set_stopping(network_.Get("10.0.0.5"));
	network_.Lead("10.0.0.1", 2000);
	EXPECT_EQ(0u, network_.log_members_.count("10.0.0.5"));
}

TEST_F(HubMembers, UnresponsiveHubsExpire)
{
	network_.Pass(2000);
	network_.Lead("10.0.0.1", 2000);
	network_.down_ = { "10.0.0.5" };
	network_.Pass(HUB_EXPIRY_MS + 10000);
	network_.Lead("10.0.0.1", 60000);
	EXPECT_FALSE(hub_state_has_hub(network_.state_, "10.0.0.5"));
}

// Hubs without a seat get nothing of the log: after a power loss they could tell
// neither gates nor targets who leads, until those had asked them all in turn.
TEST_F(HubMembers, EveryHubKnowsTheLeaderAtOnce)
{
	network_.Pass(2000);
	hub_members_set_leading(network_.Get("10.0.0.1"), 3);
	for (int i = 2; i <= 5; i++)
		EXPECT_STREQ("10.0.0.1",
		    hub_members_find_leader(
			network_.Get("10.0.0." + std::to_string(i)),
			network_.now_));
	hub_members_set_leading(network_.Get("10.0.0.1"), 0);
	EXPECT_EQ(nullptr,
	    hub_members_find_leader(network_.Get("10.0.0.5"), network_.now_));
}

// A replaced leader may not know yet that it is one.
TEST_F(HubMembers, TheLeaderOfTheNewestTermCounts)
{
	network_.Pass(2000);
	hub_members_set_leading(network_.Get("10.0.0.2"), 4);
	hub_members_set_leading(network_.Get("10.0.0.1"), 3);
	network_.Pass(2000);
	EXPECT_STREQ("10.0.0.2",
	    hub_members_find_leader(network_.Get("10.0.0.5"), network_.now_));
}

// Callers that are sent to a leader that is gone wait for nothing.
TEST_F(HubMembers, ALeaderThatIsSilentIsForgotten)
{
	network_.Pass(2000);
	hub_members_set_leading(network_.Get("10.0.0.1"), 3);
	network_.down_.insert("10.0.0.1");
	network_.Pass(HUB_LEADER_EXPIRY_MS + 200);
	EXPECT_EQ(nullptr,
	    hub_members_find_leader(network_.Get("10.0.0.5"), network_.now_));
}

// Of a fleet with more hubs than a lease names, gates never learned some; or each
// lease named all of them.
TEST(HubMembersNamed, LeasesNameAllHubsInTurn)
{
	std::vector<std::string> seeds;
	std::vector<const char *> texts;
	hub_members_options_t options = {};
	std::set<std::string> named;
	int leases = 0;

	for (int i = 1; i <= 40; i++)
		seeds.push_back("10.0.0." + std::to_string(i));
	for (const std::string &seed : seeds)
		texts.push_back(seed.c_str());
	options.self = "10.0.0.1";
	options.seeds = texts.data();
	options.seed_count = (int)texts.size();
	options.send = [](void *, node_id_t, uint16_t,
			   const ProtobufCMessage *) {};
	options.added = [](void *, const char *) {};
	options.dropped = [](void *, node_id_t) {};
	hub_members_t *members = hub_members_create(&options);
	for (; named.size() < 40 && leases < 5; leases++) {
		const char *names[HUB_NAMED_MAX];
		int count = hub_members_list_some(members, names);

		ASSERT_EQ(HUB_NAMED_MAX, count);
		EXPECT_STREQ("10.0.0.1", names[0]);
		named.insert(names, names + count);
	}
	EXPECT_EQ(40U, named.size());
	EXPECT_EQ(3, leases);
	hub_members_destroy(members);
}

// Three of five members of the log in one data centre: its loss, or a link that it
// loses, takes the majority, and callers elsewhere get no newer configuration.
TEST(HubMembersSpread, NoDataCentreHasAMajority)
{
	const std::vector<std::string> seeds = { "10.1.0.1", "10.2.0.1",
		"10.3.0.1" };

	for (int first = 1; first <= 3; first++) {
		HubNetwork network;
		std::map<std::string, int> members;

		for (int i = 1; i <= 4; i++)
			for (int j = 0; j < 3; j++) {
				std::string place =
				    std::to_string((first + j - 1) % 3 + 1);

				network.Add(
				    "10." + place + ".0." + std::to_string(i),
				    seeds, "dc" + place);
			}
		network.log_members_.insert(seeds.begin(), seeds.end());
		network.Pass(2000);
		network.Lead("10.1.0.1", 2000);
		EXPECT_EQ(5u, network.log_members_.size());
		for (const std::string &name : network.log_members_)
			members[name.substr(0, 4)]++;
		for (const auto &entry : members)
			EXPECT_LE(entry.second, 2) << entry.first;
		hub_state_destroy(network.state_);
	}
}
