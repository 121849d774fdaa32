// Failures guarded against: a hub that is gone keeps its seat, so that the next
// loss costs the majority; a seat is taken although too few hubs would be left;
// a hub that nobody was told of is never found.
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

/* Hubs that greet each other over a network with cuts. */
class HubWorld {
      public:
	struct Hub {
		HubWorld *world;
		std::string name;
		hub_members_t *members;
	};

	~HubWorld()
	{
		for (auto &entry : hubs_)
			hub_members_destroy(entry.second->members);
	}

	void
	Add(const std::string &name, const std::vector<std::string> &seeds)
	{
		auto hub = std::make_unique<Hub>(Hub{ this, name, nullptr });
		std::vector<const char *> texts;
		hub_members_options_t options = {};

		for (const std::string &seed : seeds)
			texts.push_back(seed.c_str());
		options.self = hub->name.c_str();
		options.seeds = texts.data();
		options.seed_count = (int)texts.size();
		options.send = Send;
		options.send_ctx = hub.get();
		options.added = [](void *, const char *) {};
		hub->members = hub_members_create(&options);
		hubs_[node_id_from_name(name.c_str())] = std::move(hub);
	}

	static void
	Send(
	    void *ctx, node_id_t to, uint16_t type, const ProtobufCMessage *msg)
	{
		Hub *from = static_cast<Hub *>(ctx);
		HubWorld *world = from->world;
		auto found = world->hubs_.find(to);
		std::vector<uint8_t> bytes(
		    protobuf_c_message_get_packed_size(msg));

		if (type != MSG_FLEET_HELLO || found == world->hubs_.end() ||
		    world->down_.count(from->name) > 0 ||
		    world->down_.count(found->second->name) > 0)
			return;
		protobuf_c_message_pack(msg, bytes.data());
		hub_members_handle(found->second->members,
		    node_id_from_name(from->name.c_str()), bytes.data(),
		    bytes.size(), world->now_);
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

	/* What the leader would do, applied until nothing is left to do. */
	std::vector<std::string>
	Lead(const std::string &leader, int64_t leading_ms)
	{
		std::vector<std::string> steps;
		const char *name;

		for (;;) {
			raft_voter_t log_members[RAFT_VOTERS_MAX] = {};
			hub_members_view_t view = {};
			int count = 0;

			for (const std::string &seat : seats_)
				log_members[count++].node =
				    node_id_from_name(seat.c_str());
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
				seats_.insert(name);
				steps.push_back("seat " + std::string(name));
				break;
			case HUB_STEP_REMOVE:
				steps.push_back("unseat " + std::string(name));
				seats_.erase(std::string(name));
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
	}

	int64_t now_ = 1000000;
	std::set<std::string> down_;
	std::set<std::string> seats_;
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
			world_.Add("10.0.0." + std::to_string(i), kSeeds);
		world_.seats_.insert(kSeeds.begin(), kSeeds.end());
	}

	~HubMembers() override
	{
		hub_state_destroy(world_.state_);
	}

	size_t
	CountKnown(const std::string &name)
	{
		const char *names[FLEET_HUBS_MAX];

		return ((size_t)hub_members_list(world_.Get(name), names));
	}

	HubWorld world_;
};

} // namespace

TEST_F(HubMembers, AllAreFoundFromTheSeeds)
{
	world_.Pass(2000);
	for (int i = 1; i <= 5; i++)
		EXPECT_EQ(5u, CountKnown("10.0.0." + std::to_string(i)));
}

TEST_F(HubMembers, OneSeedIsEnough)
{
	world_.down_ = { "10.0.0.1", "10.0.0.3" };
	world_.Pass(2000);
	EXPECT_EQ(5u, CountKnown("10.0.0.4"));
	EXPECT_TRUE(hub_members_is_alive(world_.Get("10.0.0.4"),
	    node_id_from_name("10.0.0.5"), world_.now_));
	EXPECT_FALSE(hub_members_is_alive(world_.Get("10.0.0.4"),
	    node_id_from_name("10.0.0.1"), world_.now_));
}

TEST_F(HubMembers, AllGetSeats)
{
	world_.Pass(2000);
	world_.Lead("10.0.0.1", 2000);
	EXPECT_EQ(5u, world_.seats_.size());
	EXPECT_EQ(5, world_.state_->hub_count);
}

TEST_F(HubMembers, ASeatIsOnlyGivenToARecordedHub)
{
	world_.Pass(2000);
	std::vector<std::string> steps = world_.Lead("10.0.0.1", 2000);

	for (size_t i = 0; i < steps.size(); i++) {
		if (steps[i].compare(0, 5, "seat ") != 0)
			continue;
		EXPECT_NE(steps.end(),
		    std::find(steps.begin(), steps.begin() + (long)i,
			"record " + steps[i].substr(5)))
		    << steps[i];
	}
}

// So that the loss of a second hub is borne.
TEST_F(HubMembers, ASilentHubLosesItsSeat)
{
	world_.Pass(2000);
	world_.Lead("10.0.0.1", 2000);
	world_.down_ = { "10.0.0.5" };
	world_.Pass(HUB_REMOVE_TIMEOUT_MS - 1000);
	EXPECT_TRUE(world_.Lead("10.0.0.1", 60000).empty());
	world_.Pass(2000);
	EXPECT_EQ(std::vector<std::string>({ "unseat 10.0.0.5" }),
	    world_.Lead("10.0.0.1", 60000));
	world_.down_.clear();
	world_.Pass(1000);
	EXPECT_EQ(std::vector<std::string>({ "seat 10.0.0.5" }),
	    world_.Lead("10.0.0.1", 60000));
}

TEST_F(HubMembers, AReplacementTakesTheSeatSoon)
{
	world_.Pass(2000);
	world_.Lead("10.0.0.1", 2000);
	world_.down_ = { "10.0.0.2" };
	world_.Add("10.0.0.9", { "10.0.0.2", "10.0.0.3" });
	world_.Pass(HUB_REPLACE_TIMEOUT_MS + 1000);
	world_.Lead("10.0.0.1", 60000);
	EXPECT_EQ(0u, world_.seats_.count("10.0.0.2"));
	EXPECT_EQ(1u, world_.seats_.count("10.0.0.9"));
}

TEST_F(HubMembers, ANewLeaderDoesNotTakeSilenceBeforeItsTimeForALoss)
{
	world_.Pass(2000);
	world_.Lead("10.0.0.1", 2000);
	world_.down_ = { "10.0.0.5" };
	world_.Pass(HUB_REMOVE_TIMEOUT_MS + 2000);
	EXPECT_TRUE(world_.Lead("10.0.0.1", 1000).empty());
}

// Half of the hubs are cut off: their seats must not go.
TEST_F(HubMembers, WithoutAMajorityThatIsWellNoSeatIsTaken)
{
	world_.Pass(2000);
	world_.Lead("10.0.0.1", 2000);
	world_.down_ = { "10.0.0.3", "10.0.0.4", "10.0.0.5" };
	world_.Pass(30000);
	world_.Lead("10.0.0.1", 20000);
	EXPECT_EQ(5u, world_.seats_.size());
}

TEST_F(HubMembers, AHubThatStopsGetsNoSeat)
{
	world_.Pass(2000);
	hub_members_set_stopping(world_.Get("10.0.0.5"));
	world_.Lead("10.0.0.1", 2000);
	EXPECT_EQ(0u, world_.seats_.count("10.0.0.5"));
}

TEST_F(HubMembers, GoneHubsAreForgotten)
{
	world_.Pass(2000);
	world_.Lead("10.0.0.1", 2000);
	world_.down_ = { "10.0.0.5" };
	world_.Pass(HUB_EXPIRY_MS + 10000);
	world_.Lead("10.0.0.1", 60000);
	EXPECT_FALSE(hub_state_has_hub(world_.state_, "10.0.0.5"));
}
