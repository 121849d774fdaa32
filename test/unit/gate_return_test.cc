// Failure guarded against: a gate that comes back from a long cut serves by its
// old configuration for seconds, because it waits to connect to hubs again, or
// for the one hub that leads, to which all other gates return at the same time.
// The links of the gates and the feeds of the hubs run together here, on a
// virtual clock, over connections that behave as those of src/net.
#include <gtest/gtest.h>

#include "gate_return_model.h"

// Recovery after a power loss: gates that start ask one hub after the other who
// leads, and hubs without a seat did not know.
TEST(GateReturn, AllGatesAreServedSoonAfterAPowerLoss)
{
	log_configure(stderr, LOG_LEVEL_ERROR, "test");
	for (int leader = kHubs - kSeats; leader < kHubs; leader++) {
		Fleet fleet(1);
		std::vector<int64_t> times;

		SCOPED_TRACE("leader " + std::to_string(leader));
		fleet.Run(2000);
		fleet.Restart();
		fleet.Run(600);
		fleet.Lead(leader);
		fleet.Run(5000);
		times = fleet.GetServedTimes();
		printf("leader %d: gates served after %ld ms (median), %ld ms "
		       "(worst)\n",
		    leader, (long)times[times.size() / 2], (long)times.back());
		EXPECT_LE(times.back(), kServedWithinMs);
	}
	log_configure(stderr, LOG_LEVEL_INFO, "");
}

/* @return time from the first service to the last gate after a power loss */
static int64_t
PlayPowerLoss(int gates, int targets, size_t document_bytes)
{
	Fleet fleet(1, gates, targets, document_bytes);

	log_configure(stderr, LOG_LEVEL_ERROR, "test");
	fleet.Run(2000);
	fleet.Restart();
	fleet.Run(600);
	fleet.Lead(kHubs - 1);
	fleet.Run(12000);
	log_configure(stderr, LOG_LEVEL_INFO, "");
	std::vector<int64_t> times = fleet.GetServedTimes();
	printf("%d gates, %d targets: served after %ld ms (median), %ld ms "
	       "(worst)\n",
	    gates, targets, (long)times[times.size() / 2], (long)times.back());
	fleet.PrintSent();
	return (times.back());
}

/* Another hub leads; some targets start anew at the same time. Gates have the
 * document. @return kB for a gate until all have its table */
static double
PlayLeaderChange(int gates, int targets, int64_t *worst_ms)
{
	Fleet fleet(1, gates, targets, 100000);

	log_configure(stderr, LOG_LEVEL_ERROR, "test");
	fleet.KeepTables();
	fleet.Run(15000);
	fleet.ResetSent();
	fleet.Lead(kHubs - 1);
	for (int i = 0; i < 10; i++)
		fleet.ChangeTarget(i * targets / 10);
	fleet.Run(8000);
	log_configure(stderr, LOG_LEVEL_INFO, "");
	std::vector<int64_t> times = fleet.GetServedTimes();
	*worst_ms = times.back();
	printf("%d gates, %d targets: joined after %ld ms (median), %ld ms "
	       "(worst)\n",
	    gates, targets, (long)times[times.size() / 2], (long)*worst_ms);
	fleet.PrintSent();
	return (fleet.GetSentBytes() / 1000);
}

// Each gate got the whole table after each change of leader, which took the leader
// of 210 gates seconds, and 0.6 s of each gate's link.
TEST(GateReturn, GatesJoinANewLeaderWithFewBytes)
{
	int64_t worst_ms;

	/* With the leases of 8 s. */
	EXPECT_LE(PlayLeaderChange(70, 1000, &worst_ms), 15);
	EXPECT_LE(worst_ms, kServedWithinMs);
	EXPECT_LE(PlayLeaderChange(210, 3000, &worst_ms), 30);
	EXPECT_LE(worst_ms, kServedWithinMs);
}

// At 100 VMs whole tables and documents reach all gates in time.
TEST(GateReturn, TablesOf100VmsArriveInTimeAfterAPowerLoss)
{
	EXPECT_LE(PlayPowerLoss(70, 1000, 20000), kServedWithinMs);
}

// At 300 VMs a gate heard nothing for 1.3 s while whole tables were on their way,
// opened its connection anew and lost its own. They are compressed since.
TEST(GateReturn, TablesOf300VmsArriveInTimeAfterAPowerLoss)
{
	EXPECT_LE(PlayPowerLoss(210, 3000, 100000), 2 * kServedWithinMs);
}

// mwamba-gw-grown, trouble-3: a VM that had been cut off for 14 s refused a
// request by its old configuration when it had been in touch for 3 s again.
TEST(GateReturn, TheNewestConfigurationIsInForceWithinHalfTheWindow)
{
	/* Each of 127 gates reports each leader. */
	log_configure(stderr, LOG_LEVEL_ERROR, "test");
	for (int64_t window_ms : { 1000, 3000, 10000 }) {
		Fleet fleet(1);
		std::vector<int64_t> times;

		SCOPED_TRACE("window " + std::to_string(window_ms) + " ms");
		fleet.Run(5000);
		fleet.SetCut(1);
		for (int i = 0; i < 10; i++) {
			fleet.Run(window_ms);
			fleet.ChangeDocument();
			if (i == 4)
				fleet.Lead(5);
		}
		fleet.Run(500);
		fleet.SetCut(0);
		fleet.Run(10000);
		times = fleet.GetReturnTimes();
		printf("window %ld ms: newest version after %ld ms (median), "
		       "%ld ms (worst)\n",
		    (long)window_ms, (long)times[times.size() / 2],
		    (long)times.back());
		EXPECT_LE(times.back(), window_ms / 2);
	}
	log_configure(stderr, LOG_LEVEL_INFO, "");
}
