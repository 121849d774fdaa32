/**
 * @file
 * Large requests of one gate: which requests count, those that have a permit or
 * run, what the leading hub is to be told of them, and the gate's share of a
 * bound while no hub leads. The gate owns the state. Does no I/O and reads no
 * clock.
 */
#ifndef TM_GATE_GATE_UPLOAD_H
#define TM_GATE_GATE_UPLOAD_H

#include <stddef.h>
#include <stdint.h>

#include "proto/fleet.pb-c.h"

/** Share of the bounds that gates without a leader use together: they do not
 * know of each other's requests, which meet at some targets. */
#define GATE_UPLOAD_ALONE_SHARE 0.5
/** Most ended requests that wait to be reported; those beyond end at the leader
 * with their deadlines. */
#define GATE_UPLOAD_ENDS_MAX 256
/** Most services whose bounds are known. */
#define GATE_UPLOAD_BOUNDS_MAX 64

typedef struct gate_upload gate_upload_t;

/** A large request. */
typedef struct gate_upload_item {
	uint64_t target; /**< key; of the preferred target before the permit */
	uint64_t incarnation_ms; /**< of the target */
	uint64_t service;
	uint32_t bytes;
	int64_t deadline_ms;
} gate_upload_item_t;

/** How a large request ended, as of Uploads. */
typedef enum gate_upload_end {
	GATE_UPLOAD_ANSWERED,
	GATE_UPLOAD_UNANSWERED,
	GATE_UPLOAD_BROKEN,
	GATE_UPLOAD_ENDS
} gate_upload_end_t;

/** What a gate without a leader knows of the fleet. */
typedef struct gate_upload_fleet {
	uint32_t gates;
	uint32_t targets; /**< of the service */
} gate_upload_fleet_t;

/** @return NULL if memory is exhausted */
gate_upload_t *gate_upload_create(void);

/** Frees everything; NULL is allowed. */
void gate_upload_destroy(gate_upload_t *upload);

/** @param has_uploads  the document has a route for uploads */
int gate_upload_counts(int has_uploads, size_t body_bytes);

/** Takes the bounds of a lease over; a leader that knows none yet changes
 * nothing. */
void gate_upload_set_bounds(
    gate_upload_t *upload, Tm__Fleet__UploadBound *const *bounds, size_t count);

/** @return bound of a service in bytes; 0: unknown */
uint64_t gate_upload_get_bound(const gate_upload_t *upload, uint64_t service);

/** Adds a request that is about to get a permit, or is sent without one.
 * @return its id; 0 if memory is exhausted */
uint32_t gate_upload_begin(
    gate_upload_t *upload, const gate_upload_item_t *item);

/** Records the target that a request is sent to. */
void gate_upload_set_target(gate_upload_t *upload, uint32_t id, uint64_t target,
    uint64_t incarnation_ms);

/** Ends a request; ignores an unknown one. */
void gate_upload_finish(
    gate_upload_t *upload, uint32_t id, gate_upload_end_t how);

/**
 * @param item  request that is not begun yet, with the target that it would get
 * @return      1 if it is within this gate's even share of the bound: over the
 *              service, and at its target. A gate that has nothing at the target
 *              may send one request, however small its share is, if the share
 *              over the service admits it.
 */
int gate_upload_has_share(const gate_upload_t *upload,
    const gate_upload_item_t *item, const gate_upload_fleet_t *fleet);

/** @return 1 if requests have ended since the last report */
int gate_upload_has_ends(const gate_upload_t *upload);

/**
 * Fills a report, which refers to memory of the module.
 *
 * @param is_full  also what runs, and the bounds
 * @return         1 if there is anything to report
 */
int gate_upload_fill(gate_upload_t *upload, int is_full, int64_t now_ms,
    Tm__Fleet__Uploads *out);

/** Drops what the last report said: it was sent. */
void gate_upload_clear_report(gate_upload_t *upload);

#endif
