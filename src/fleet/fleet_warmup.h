/**
 * @file
 * Bounds of cold targets that hubs and gates share. Keeps no state.
 */
#ifndef TM_FLEET_FLEET_WARMUP_H
#define TM_FLEET_FLEET_WARMUP_H

/** Longer times of warming up count as absent: no target starts for an hour. */
#define FLEET_WARMUP_MAX_MS 3600000
/** Added to the time for which a target says that it stays cold. Announcements and
 * responses take different times to arrive; ends within this margin need not be
 * told to all gates, and none is too early. */
#define FLEET_WARMUP_MARGIN_MS 150
/** Part of the limit of a cold target that the gates without a leader use, all
 * together. Half of what is allowed at most: their requests come at random, and
 * the leader's permits must leave room for those that come close together. A half
 * would leave it 4.9 permits per second of the 5.8 wanted. */
#define FLEET_WARMUP_ALONE_SHARE 0.25

#endif
