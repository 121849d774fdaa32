// Failures guarded against: a full service is sent more than it can answer in time,
// or less than its slots can take; urgent requests are refused while others are
// served; a class of requests gets nothing; one caller's burst takes what others
// have; refused callers return all together.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstring>
#include <random>
#include <vector>

extern "C" {
#include "gate/gate_share.h"
#include "hub/hub_admission.h"
}

namespace {

const uint64_t kService = 7;
const int64_t kStepMs = 10;
const int64_t kLeaseMs = 500;
const int64_t kUpdateMs = 200;
const int64_t kReportAgeMs = 300;

// What callers ask for, as requests per second of a class.
struct Flow {
	int32_t priority;
	uint64_t workspace;
	double per_s;
	double burst = 1; // from 10 s on
};

struct Served {
	double asked = 0;
	double sent = 0;

	double
	Share() const
	{
		return (asked > 0 ? sent / asked : 0);
	}
};

// One service with a queue, and gates that follow the leader's shares. Targets are
// as one, so that only admission decides.
class Fleet {
      public:
	Fleet(int gates, double slots, double work_ms, double soft_deadline_ms,
	    std::vector<Flow> flows)
	    : shares_((size_t)gates), leases_((size_t)gates), slots_(slots),
	      work_ms_(work_ms), soft_deadline_ms_(soft_deadline_ms),
	      flows_(std::move(flows)), served(flows_.size())
	{
		hub_admission_reset(admission_, 0);
	}

	Fleet(const Fleet &) = delete;
	Fleet &operator=(const Fleet &) = delete;

	~Fleet()
	{
		hub_admission_destroy(admission_);
	}

	void
	Run(int64_t until_ms, bool has_leader = true)
	{
		for (; now_ms < until_ms; now_ms += kStepMs) {
			for (size_t i = 0; i < flows_.size(); i++)
				Ask(i);
			Serve();
			if (has_leader)
				Lead();
		}
	}

	void
	TakeOver()
	{
		hub_admission_reset(admission_, now_ms);
	}

	void
	Count()
	{
		served.assign(flows_.size(), Served());
		busy_ = most_ = 0;
		steps_ = 0;
	}

	double
	GetBusy() const
	{
		return (busy_ / steps_);
	}

	double
	GetMost() const
	{
		return (most_);
	}

      private:
	void
	Ask(size_t flow)
	{
		const Flow &from = flows_[flow];
		double mean = from.per_s * kStepMs / 1000 *
		    (now_ms >= 10000 ? from.burst : 1);
		int count = std::poisson_distribution<int>(mean)(random_);

		for (int i = 0; i < count; i++) {
			size_t gate = random_() % shares_.size();
			const gate_share_query_t query = {
				.priority = from.priority,
				.soft_deadline_ms = (int64_t)soft_deadline_ms_,
				.workspace = from.workspace,
				.route = (uint64_t)from.priority + 1,
				.lease_ms = leases_[gate],
				.now_ms = now_ms + 1,
			};
			double admitted =
			    gate_share_get(&shares_[gate], &query);

			served[flow].asked++;
			if (std::uniform_real_distribution<double>(0, 1)(
				random_) >= admitted)
				continue;
			served[flow].sent++;
			requests_++;
		}
	}

	void
	Serve()
	{
		requests_ -= std::min(requests_, slots_) * kStepMs / work_ms_;
		history_.push_back(requests_);
		busy_ += std::min(requests_ / slots_, 1.0);
		most_ = std::max(most_, requests_ / slots_);
		steps_++;
	}

	void
	Lead()
	{
		size_t age = std::min(
		    history_.size() - 1, (size_t)(kReportAgeMs / kStepMs));
		const hub_admission_load_t load = {
			.service = kService,
			.slots = slots_,
			.requests = history_[history_.size() - 1 - age],
			.work_ms = work_ms_,
		};

		if (now_ms % kUpdateMs == 0)
			hub_admission_update(admission_, &load, 1, now_ms);
		for (size_t i = 0; i < shares_.size(); i++) {
			if ((now_ms + (int64_t)i * kStepMs) % kLeaseMs == 0)
				Renew(i);
		}
	}

	void
	Renew(size_t gate)
	{
		gate_share_t *share = &shares_[gate];
		Tm__Fleet__Demand demand = TM__FLEET__DEMAND__INIT;
		Tm__Fleet__Admission msg = TM__FLEET__ADMISSION__INIT;
		uint32_t permille[FLEET_PRIORITY_CLASSES];
		size_t count;

		demand.service = kService;
		demand.requests = share->requests;
		demand.n_requests = FLEET_PRIORITY_CLASSES;
		demand.soft_deadline_sum_ms = share->soft_deadline_sum_ms;
		hub_admission_record_demand(admission_, &demand);
		memset(share->requests, 0, sizeof(share->requests));
		share->soft_deadline_sum_ms = 0;
		leases_[gate] = now_ms + 1;
		const hub_admission_decision_t *list =
		    hub_admission_list(admission_, &count);
		if (count == 0)
			return;
		for (size_t i = 0; i < FLEET_PRIORITY_CLASSES; i++)
			permille[i] = (uint32_t)(1000 * list[0].shares[i]);
		msg.shares = permille;
		msg.n_shares = FLEET_PRIORITY_CLASSES;
		gate_share_apply(
		    share, &msg, (uint32_t)shares_.size(), now_ms + 1);
	}

	hub_admission_t *admission_ = hub_admission_create();
	std::vector<gate_share_t> shares_;
	std::vector<int64_t> leases_;
	std::vector<double> history_;
	std::mt19937_64 random_{ 1 };
	double slots_;
	double work_ms_;
	double soft_deadline_ms_;
	std::vector<Flow> flows_;
	double requests_ = 0;
	double busy_ = 0;
	double most_ = 0;
	int64_t steps_ = 0;

      public:
	int64_t now_ms = 0;
	std::vector<Served> served;
};

} // namespace

// Burst: twice what fits for ten seconds. Responses stay within the soft deadline,
// and no slot is idle. Without admission 9 requests per slot would be in hand.
TEST(Admission, ABurstFillsTheSlotsAndIsAnsweredInTime)
{
	Fleet fleet(82, 450, 470, 4000, { { 2, 1, 800, 2.4 } });

	fleet.Run(12000);
	fleet.Count();
	fleet.Run(20000);
	printf("busy %.3f, most %.2f requests per slot, sent %.3f\n",
	    fleet.GetBusy(), fleet.GetMost(), fleet.served[0].Share());
	EXPECT_GE(fleet.GetBusy(), 0.97);
	EXPECT_LE(fleet.GetMost() * 470, 4000);
}

// Calm, with the service nearly full: nothing is refused.
TEST(Admission, NothingIsRefusedThatFits)
{
	Fleet fleet(82, 450, 470, 4000, { { 2, 1, 860 } });

	fleet.Run(20000);
	EXPECT_GE(fleet.served[0].Share(), 0.99);
}

// Overload by the least urgent class: the urgent one is served whole, and the last
// one is not starved (a quarter of the mean would be).
TEST(Admission, UrgentRequestsComeFirstAndNoneIsStarved)
{
	Fleet fleet(38, 300, 200, 1000,
	    { { 0, 1, 600 }, { 1, 2, 500, 2 }, { 3, 3, 400 } });
	double mean;

	fleet.Run(12000);
	fleet.Count();
	fleet.Run(20000);
	mean = (fleet.served[0].sent + fleet.served[1].sent +
		   fleet.served[2].sent) /
	    (fleet.served[0].asked + fleet.served[1].asked +
		fleet.served[2].asked);
	printf("sent %.3f %.3f %.3f, mean %.3f\n", fleet.served[0].Share(),
	    fleet.served[1].Share(), fleet.served[2].Share(), mean);
	EXPECT_GE(fleet.served[0].Share(), 0.97);
	EXPECT_GE(fleet.served[1].Share(), fleet.served[2].Share() - 0.05);
	EXPECT_GE(fleet.served[2].Share(), 0.25 * mean);
}

// One workspace at 7.5 times its usual rate, in the same class: the others keep
// more of their requests than it does.
TEST(Admission, ABurstOfOneWorkspaceIsRefusedFirst)
{
	std::vector<Flow> flows = { { 1, 1, 120, 7.5 } };

	for (uint64_t i = 2; i <= 9; i++)
		flows.push_back({ 1, i, 90 });
	Fleet fleet(8, 450, 470, 4000, flows);
	double others = 0;

	fleet.Run(12000);
	fleet.Count();
	fleet.Run(16000);
	for (size_t i = 1; i < flows.size(); i++)
		others += fleet.served[i].Share() / (double)(flows.size() - 1);
	printf("sent of the burst %.3f, of the others %.3f\n",
	    fleet.served[0].Share(), others);
	EXPECT_GE(others, 0.9);
	EXPECT_LE(fleet.served[0].Share(), others - 0.2);
}

// A new leader knows nothing: it decides once all gates have reported, and a burst
// is answered in time all the same.
TEST(Admission, ANewLeaderDecidesWithinASecond)
{
	Fleet fleet(82, 450, 470, 4000, { { 2, 1, 800, 2.4 } });

	fleet.Run(14000);
	fleet.Run(15200, false);
	fleet.TakeOver();
	fleet.Count();
	fleet.Run(20000);
	EXPECT_GE(fleet.GetBusy(), 0.97);
	EXPECT_LE(fleet.GetMost() * 470, 4000);
}

// Without a leader a gate refuses as much as targets shed, the less urgent first,
// and never all.
TEST(Admission, WithoutALeaderTargetsThatShedDecide)
{
	gate_share_t share = {};
	gate_share_query_t query = { .soft_deadline_ms = 1000, .route = 1 };

	query.now_ms = 100000;
	EXPECT_EQ(1, gate_share_get(&share, &query));
	for (int i = 0; i < 400; i++)
		gate_share_record_attempt(&share, i % 4 == 0);
	double urgent = gate_share_get(&share, &query);
	query.priority = 3;
	double last = gate_share_get(&share, &query);
	EXPECT_NEAR(0.5, urgent, 0.1);
	EXPECT_LT(last, urgent);
	for (int i = 0; i < 400; i++)
		gate_share_record_attempt(&share, 1);
	EXPECT_GT(gate_share_get(&share, &query), 0);
	for (int i = 0; i < 400; i++)
		gate_share_record_attempt(&share, 0);
	EXPECT_GE(gate_share_get(&share, &query), 0.99);
}

// An old decision must not refuse requests.
TEST(Admission, ADecisionEndsWithItsLease)
{
	gate_share_t share = {};
	Tm__Fleet__Admission msg = TM__FLEET__ADMISSION__INIT;
	uint32_t permille[FLEET_PRIORITY_CLASSES] = { 300, 300, 300, 300 };
	gate_share_query_t query = { .soft_deadline_ms = 1000, .route = 1 };

	msg.shares = permille;
	msg.n_shares = FLEET_PRIORITY_CLASSES;
	gate_share_apply(&share, &msg, 4, 5000);
	query.lease_ms = 5000;
	query.now_ms = 5100;
	EXPECT_NEAR(0.3, gate_share_get(&share, &query), 0.05);
	/* The next lease does not name the service. */
	query.lease_ms = 5500;
	query.now_ms = 5600;
	EXPECT_EQ(1, gate_share_get(&share, &query));
	/* No lease any more, and nothing was shed. */
	query.now_ms = 9000;
	EXPECT_EQ(1, gate_share_get(&share, &query));
}

// Refused callers return one after the other, at the rate at which there is room.
TEST(Admission, RefusedCallersReturnInOrder)
{
	gate_share_t share = {};
	Tm__Fleet__Admission msg = TM__FLEET__ADMISSION__INIT;
	int64_t last = 0;

	msg.wait_ms = 500;
	msg.milli_per_s = 400000;
	gate_share_apply(&share, &msg, 40, 1000);
	for (int i = 0; i < 10; i++) {
		int64_t wait_ms = gate_share_take_return_ms(&share, 1000);

		EXPECT_EQ(500 + 100 * i, wait_ms);
		EXPECT_GT(wait_ms, last);
		last = wait_ms;
	}
	for (int i = 0; i < 100; i++)
		EXPECT_LE(gate_share_take_return_ms(&share, 1000), 3000);
}

// A gate that comes back after an outage reports one interval, not all requests of
// the outage, for which the leader would refuse those of all gates.
TEST(Admission, AnOutageIsNotReportedAsDemand)
{
	gate_share_t share = {};
	gate_share_query_t query = { .soft_deadline_ms = 1000, .route = 1 };

	query.lease_ms = 1000;
	for (query.now_ms = 1100; query.now_ms < 31000; query.now_ms += 10)
		gate_share_get(&share, &query);
	EXPECT_LE(share.requests[0], 71u);
	EXPECT_EQ(share.requests[0] * 1000u, share.soft_deadline_sum_ms);
}

// One class's burst must not raise what another class gets: a less urgent class
// would be served more often.
TEST(Admission, ABurstOfOneClassLeavesTheOthersTheirShare)
{
	gate_share_t share = {};
	Tm__Fleet__Admission msg = TM__FLEET__ADMISSION__INIT;
	uint32_t permille[FLEET_PRIORITY_CLASSES] = { 800, 600, 600, 600 };
	gate_share_query_t urgent = { .priority = 0,
		.soft_deadline_ms = 1000,
		.workspace = 1,
		.route = 1 };
	gate_share_query_t other = { .priority = 1,
		.soft_deadline_ms = 1000,
		.workspace = 2,
		.route = 2 };
	double served[2] = { 0, 0 };
	int count = 0;

	msg.shares = permille;
	msg.n_shares = FLEET_PRIORITY_CLASSES;
	for (int64_t now = 1000; now < 14000; now += 10) {
		urgent.now_ms = other.now_ms = now;
		urgent.lease_ms = other.lease_ms = now;
		if (now >= 10000)
			gate_share_apply(&share, &msg, 1, now);
		/* From 10 s on half of the urgent requests are a burst. */
		double first = gate_share_get(&share, &urgent);
		if (now >= 10000)
			gate_share_get(&share, &urgent);
		double second = gate_share_get(&share, &other);
		if (now < 12000)
			continue;
		served[0] += first;
		served[1] += second;
		count++;
	}
	EXPECT_NEAR(0.8, served[0] / count, 0.05);
	EXPECT_NEAR(0.6, served[1] / count, 0.05);
}

// Long queues, and a class that has asked nothing so far: no class gets nothing,
// and the last one does not get all that it may ask next.
TEST(Admission, AServiceWithLongQueuesStillTakesRequests)
{
	hub_admission_t *admission = hub_admission_create();
	Tm__Fleet__Demand demand = TM__FLEET__DEMAND__INIT;
	uint32_t requests[FLEET_PRIORITY_CLASSES] = { 60, 60, 60, 0 };
	const hub_admission_load_t load = { kService, 100, 900, 500 };
	size_t count = 0;

	hub_admission_reset(admission, 0);
	demand.service = kService;
	demand.requests = requests;
	demand.n_requests = FLEET_PRIORITY_CLASSES;
	demand.soft_deadline_sum_ms = 180 * 1000;
	for (int64_t now = 200; now <= 4000; now += 200) {
		hub_admission_record_demand(admission, &demand);
		hub_admission_update(admission, &load, 1, now);
	}
	const hub_admission_decision_t *list =
	    hub_admission_list(admission, &count);
	ASSERT_EQ(1u, count);
	EXPECT_GT(list[0].per_s, 0);
	for (double share : list[0].shares)
		EXPECT_GT(share, 0);
	EXPECT_LE(list[0].shares[3], list[0].shares[2]);
	hub_admission_destroy(admission);
}

// Requests over their workspace's rate ask nothing of the service.
TEST(Admission, RequestsOverTheRateAreTakenBack)
{
	gate_share_t share = {};
	gate_share_query_t query = { .priority = 2,
		.soft_deadline_ms = 700,
		.route = 1,
		.lease_ms = 1000,
		.now_ms = 1001 };

	gate_share_get(&share, &query);
	gate_share_get(&share, &query);
	gate_share_uncount(&share, 2, 700);
	EXPECT_EQ(1u, share.requests[2]);
	EXPECT_EQ(700u, share.soft_deadline_sum_ms);
	gate_share_uncount(&share, 2, 700);
	gate_share_uncount(&share, 2, 700);
	EXPECT_EQ(0u, share.requests[2]);
	EXPECT_EQ(0u, share.soft_deadline_sum_ms);
}
