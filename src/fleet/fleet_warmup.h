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
/** The same for a target that gates without a leader do not know to be cold. They come
 * at random, too: at 4.1 requests per second (0.7 of 5.8) more than 16 are in 1 of a
 * million seconds (Poisson distribution), if all gates are cut off. If half are, they
 * send 2, and the leader's permits are at most 9.25 in a second. With 1 and 0.8 in
 * place of 0.7 the bound was exceeded in 2 and 1 of 80 runs of the model with all gates
 * cut off, each with 56 s of cold targets. */
#define FLEET_WARMUP_UNKNOWN_SHARE 0.7
/** The same for gates that send less than their share of 1: their callers keep all of
 * them within it, and hardly one is refused. */
#define FLEET_WARMUP_LIGHT_SHARE 1.0

#endif
