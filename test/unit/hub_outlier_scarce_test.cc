// Outlier detection with FLEET_FEATURE_SCARCE_CAPACITY, on a virtual clock.
#include <gtest/gtest.h>

extern "C" {
#include "hub/hub_outlier.h"
}

namespace {

const uint64_t kService = 7;
const uint64_t kTargets = 10;

class HubOutlierScarce : public testing::Test {
      protected:
	HubOutlierScarce() : detector_(hub_outlier_create(0.7, Ignore, nullptr))
	{
		hub_outlier_set_scarce(detector_, 1);
		hub_outlier_set_repeatable(detector_, kService, 0);
		for (uint64_t key = 1; key <= kTargets; key++)
			hub_outlier_add_target(detector_, key, kService, 1);
		Pass(100);
	}

	~HubOutlierScarce() override
	{
		hub_outlier_destroy(detector_);
	}

	static void
	Ignore(void *, uint64_t, fleet_verdict_t, const char *)
	{
	}

	/* Passes time in which all targets in use answer requests. */
	void
	Pass(int64_t ms)
	{
		for (int64_t end = now_ + ms; now_ < end; now_ += 50) {
			for (uint64_t key = 1; key <= kTargets; key++) {
				hub_outlier_record_announcement(
				    detector_, key, now_);
				if (IsHealthy(key))
					hub_outlier_record_successes(
					    detector_, key, 1, now_);
			}
			hub_outlier_tick(detector_, now_);
		}
	}

	void
	Record(uint64_t target, fleet_evidence_t kind, node_id_t gate = 1,
	    int is_probe = 0)
	{
		hub_evidence_t evidence = {};

		evidence.target = target;
		evidence.gate = gate;
		evidence.kind = kind;
		evidence.is_probe = is_probe;
		hub_outlier_record_evidence(detector_, &evidence, now_);
	}

	bool
	IsHealthy(uint64_t target) const
	{
		return (hub_outlier_get_verdict(detector_, target) ==
		    FLEET_VERDICT_HEALTHY);
	}

	int
	Offer(node_id_t gate)
	{
		return (hub_outlier_offer(detector_, kService, gate, now_));
	}

	uint64_t
	Assign(node_id_t gate)
	{
		return (hub_outlier_assign_target(
		    detector_, kService, gate, 0, now_)
			    .target);
	}

	/* Gates ask for targets that wait. @return how many there are */
	int
	AssignAll(node_id_t first_gate)
	{
		int count = 0;

		while (Assign(first_gate + (node_id_t)count) != 0)
			count++;
		return (count);
	}

	/* Ejects the first targets, and lets their first probes fail. */
	void
	EjectFirst(uint64_t count)
	{
		for (uint64_t key = 1; key <= count; key++)
			Record(key, FLEET_EVIDENCE_BROKEN);
		Pass(500);
		FailProbes();
	}

	void
	FailProbes()
	{
		node_id_t gate = 100;

		for (uint64_t target = Assign(gate); target != 0;
		     target = Assign(++gate))
			Record(target, FLEET_EVIDENCE_BROKEN, gate, 1);
	}

	hub_outlier_counts_t
	Count() const
	{
		hub_outlier_counts_t counts = {};

		hub_outlier_count_service(detector_, kService, now_, &counts);
		return (counts);
	}

	hub_outlier_t *detector_;
	int64_t now_ = 1000000;
};

} // namespace

// Waiting for nothing: a target waits for a repeatable request that never comes.
TEST_F(HubOutlierScarce, AServiceWithoutRepeatableRequestsWaitsForNone)
{
	Record(3, FLEET_EVIDENCE_BROKEN);
	ASSERT_FALSE(IsHealthy(3));
	Pass(1500);
	EXPECT_EQ(0u, Count().probe_repeatable);
	ASSERT_EQ(3u, Assign(9));
	Record(3, FLEET_EVIDENCE_SUCCESS, 9, 1);
	EXPECT_TRUE(IsHealthy(3));
}

// Questions for nothing: more gates are told to ask than targets wait.
TEST_F(HubOutlierScarce, ATargetThatWaitsIsOfferedToOneGateAtATime)
{
	EXPECT_FALSE(Offer(1));
	Record(3, FLEET_EVIDENCE_BROKEN);
	Pass(1500);
	EXPECT_TRUE(Offer(1));
	EXPECT_FALSE(Offer(2));
	EXPECT_EQ(3u, Assign(1));
	Pass(100);
	EXPECT_FALSE(Offer(2));
	EXPECT_EQ(0u, Count().probes_refused);
}

// Questions for nothing: gates are told to ask for a target of an evacuated data
// centre, which none is granted.
TEST_F(HubOutlierScarce, AnEvacuatedTargetThatWaitedIsNotOffered)
{
	Record(3, FLEET_EVIDENCE_BROKEN);
	Pass(1500);
	hub_outlier_set_evacuated(detector_, 3, 1, now_);
	Pass(100);
	EXPECT_FALSE(Offer(1));
	hub_outlier_set_evacuated(detector_, 3, 0, now_);
	Pass(100);
	EXPECT_TRUE(Offer(1));
	EXPECT_EQ(3u, Assign(1));
}

// Lost offer: the gate that was told has no request, and the target waits on.
TEST_F(HubOutlierScarce, AnOfferThatIsNotTakenGoesToAnotherGate)
{
	Record(3, FLEET_EVIDENCE_BROKEN);
	Pass(1500);
	ASSERT_TRUE(Offer(1));
	Pass(400);
	EXPECT_TRUE(Offer(2));
	EXPECT_EQ(3u, Assign(2));
}

// Wrongful ejection: requests shed and stalled by overload eject the targets that
// serve the others.
TEST_F(HubOutlierScarce, OverloadDoesNotEject)
{
	hub_outlier_set_utilization(detector_, kService, 1.5);
	for (int i = 0; i < 40; i++) {
		for (uint64_t key = 1; key <= kTargets; key++) {
			Record(key, FLEET_EVIDENCE_SHED);
			Record(key, FLEET_EVIDENCE_STALL);
		}
		Pass(50);
	}
	EXPECT_EQ(kTargets, Count().healthy);
}

// Hidden failure: a hanging target passes for an overloaded one.
TEST_F(HubOutlierScarce, ATargetThatHangsAloneIsEjected)
{
	Pass(100);
	Record(3, FLEET_EVIDENCE_STALL, 1);
	Record(3, FLEET_EVIDENCE_STALL, 2);
	EXPECT_FALSE(IsHealthy(3));
}

// Empty service: every target of a full service breaks a connection now and then.
TEST_F(HubOutlierScarce, AFullServiceKeepsTheBetterOnes)
{
	hub_outlier_set_utilization(detector_, kService, 1.5);
	for (int round = 0; round < 20; round++) {
		for (uint64_t key = 1; key <= kTargets; key++)
			Record(key, FLEET_EVIDENCE_BROKEN);
		Pass(450);
		EXPECT_GE(Count().healthy, kTargets / 2);
	}
}

// Lost requests: a target in a bad phase stays in use.
TEST_F(HubOutlierScarce, ASecondBrokenConnectionSoonAfterEjects)
{
	hub_outlier_set_utilization(detector_, kService, 1.5);
	Record(3, FLEET_EVIDENCE_BROKEN);
	EXPECT_TRUE(IsHealthy(3));
	Record(3, FLEET_EVIDENCE_BROKEN);
	EXPECT_FALSE(IsHealthy(3));
}

// Unused targets: those that may be sound wait while the service is in trouble.
TEST_F(HubOutlierScarce, InTroubleTargetsThatMayBeSoundAreProbedIn2s)
{
	for (uint64_t key = 1; key <= 6; key++) {
		Record(key, FLEET_EVIDENCE_BROKEN);
		Record(key, FLEET_EVIDENCE_BROKEN);
	}
	Pass(1500);
	/* 0.27 of the 4 in use may be unused. */
	EXPECT_GE(Count().probe, 5u);
}

// Grants that are lost: each target is kept for 4 s for a gate that has lost
// contact, and none of them counts as unused.
TEST_F(HubOutlierScarce, AProbeWithoutAResultGoesToAnotherGate)
{
	for (uint64_t key = 1; key <= 4; key++)
		Record(key, FLEET_EVIDENCE_BROKEN);
	hub_outlier_set_utilization(detector_, kService, 1);
	Pass(500);
	ASSERT_EQ(4, AssignAll(11));
	Pass(1300);
	EXPECT_EQ(0, AssignAll(21));
	Pass(200);
	/* At most 0.27 of 6 in use go without a request. */
	EXPECT_EQ(3, AssignAll(21));
}

// The first gate was only slow: its result is ignored, and the target waits for
// the next one.
TEST_F(HubOutlierScarce, TheResultOfALateProbeCounts)
{
	for (uint64_t key = 1; key <= 4; key++)
		Record(key, FLEET_EVIDENCE_BROKEN);
	hub_outlier_set_utilization(detector_, kService, 1);
	Pass(500);
	uint64_t target = Assign(11);
	ASSERT_EQ(3, AssignAll(12));
	Pass(1500);
	ASSERT_EQ(3, AssignAll(21));
	ASSERT_FALSE(IsHealthy(target));
	Record(target, FLEET_EVIDENCE_SUCCESS, 11, 1);
	EXPECT_TRUE(IsHealthy(target));
}

// A new leader knows of no failures, and leaves targets out for 5 s that failed one
// probe.
TEST_F(HubOutlierScarce, ANewLeaderProbesTargetsThatMayBeSoundIn2s)
{
	hub_outlier_reset(detector_);
	for (uint64_t key = 1; key <= kTargets; key++)
		hub_outlier_add_target(detector_, key, kService, 1);
	for (uint64_t key = 1; key <= 4; key++)
		hub_outlier_restore_ejection(detector_, key, now_);
	Pass(100);
	FailProbes();
	Pass(1500);
	EXPECT_EQ(3, AssignAll(21));
}

// Targets in use that fail count as sound ones, so that more of those out of use go
// without a request than the share allows.
TEST_F(HubOutlierScarce, TargetsInUseThatFailAllowNoOthersToGoUnused)
{
	EjectFirst(3);
	hub_outlier_set_utilization(detector_, kService, 1);
	for (int i = 0; i < 3; i++) {
		for (uint64_t key = 4; key <= 7; key++)
			Record(key, FLEET_EVIDENCE_ERROR, (node_id_t)key);
		Pass(500);
	}
	ASSERT_EQ(7u, Count().healthy);
	/* 0.27 of the 3 that do not fail is less than one. */
	EXPECT_EQ(3, AssignAll(21));
}

// Changed decisions: without the feature, probes by any request come after 4 s.
TEST_F(HubOutlierScarce, WithoutTheFeatureProbesComeAsBefore)
{
	hub_outlier_set_scarce(detector_, 0);
	Record(3, FLEET_EVIDENCE_BROKEN);
	Pass(1500);
	EXPECT_EQ(1u, Count().probe_repeatable);
	EXPECT_EQ(0u, Assign(9));
	Pass(3000);
	EXPECT_EQ(3u, Assign(9));
}
