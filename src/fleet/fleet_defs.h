/**
 * @file
 * Message types and shared values of fleets whose state the hubs keep. Holds
 * definitions only. The values of the enums are on the wire.
 */
#ifndef TM_FLEET_FLEET_DEFS_H
#define TM_FLEET_FLEET_DEFS_H

#include <stdint.h>

#include "base/node_defs.h"
#include "net/msg_types.h"

#define MSG_FLEET_JOIN	   (MSG_FLEET_BASE + 0)
#define MSG_FLEET_LEASE	   (MSG_FLEET_BASE + 1)
#define MSG_FLEET_DOCUMENT (MSG_FLEET_BASE + 2)
#define MSG_FLEET_TABLE	   (MSG_FLEET_BASE + 3)
#define MSG_FLEET_SPENDS   (MSG_FLEET_BASE + 4)
#define MSG_FLEET_PERMITS  (MSG_FLEET_BASE + 5)
#define MSG_FLEET_EVIDENCE (MSG_FLEET_BASE + 6)
#define MSG_FLEET_HELLO	   (MSG_FLEET_BASE + 8)
#define MSG_FLEET_CRASH	   (MSG_FLEET_BASE + 9)
#define MSG_FLEET_BLOCKS   (MSG_FLEET_BASE + 10)
#define MSG_FLEET_SIGNALS  (MSG_FLEET_BASE + 11)
#define MSG_FLEET_RELAY	   (MSG_FLEET_BASE + 12)
#define MSG_FLEET_RELAYED  (MSG_FLEET_BASE + 13)
#define MSG_FLEET_UPLOADS  (MSG_FLEET_BASE + 14)

/** Size of the text of an IPv4 address with its NUL. */
#define FLEET_IP_BYTES 16
/** Longest id of a target. */
#define FLEET_TARGET_ID_MAX_BYTES 63
/** Most hubs and seeds that a process knows; a fleet of 300 machines has some
 * 40. */
#define FLEET_HUBS_MAX 64

/** Most data centres that are evacuated at the same time. */
#define FLEET_EVACUATIONS_MAX 64

/** A request with a larger body is counted at its target, if the document has a
 * route for uploads. */
#define FLEET_UPLOAD_MIN_BYTES (16 * 1024)

/** Classes of priority in demands and decisions on admission, the most urgent
 * first; larger priorities are in the last one. */
#define FLEET_PRIORITY_CLASSES 4

/** What a deployment requires beyond the common functions; bits of a set. */
typedef enum fleet_feature {
	/** Callers compete for too little capacity, or requests of very
	 * different size share targets. */
	FLEET_FEATURE_SCARCE_CAPACITY = 1 << 0
} fleet_feature_t;

/** State that a target announces. */
typedef enum fleet_target_state {
	FLEET_TARGET_READY = 0,
	FLEET_TARGET_DRAINING = 1,
	FLEET_TARGET_DEREGISTERED = 2
} fleet_target_state_t;

/** State that the leader gives a target. A probe is a half-open request, as of
 * a circuit breaker. */
typedef enum fleet_verdict {
	FLEET_VERDICT_HEALTHY = 0,
	FLEET_VERDICT_EJECTED = 1, /**< gets no requests */
	/** Probes: one repeatable request at a time, by permit. */
	FLEET_VERDICT_PROBE_REPEATABLE = 2,
	FLEET_VERDICT_PROBE =
	    3 /**< probes by any request, one at a time, by permit */
} fleet_verdict_t;

/** What a gate observed of an attempt at a target. */
typedef enum fleet_evidence {
	FLEET_EVIDENCE_SUCCESS = 0, /**< sent as evidence for probes only */
	FLEET_EVIDENCE_UNREACHABLE = 1, /**< no connection; nothing was sent */
	FLEET_EVIDENCE_BROKEN = 2, /**< the connection ended early */
	FLEET_EVIDENCE_WRONG = 3, /**< bytes that are no proper response */
	FLEET_EVIDENCE_ERROR = 4, /**< a failure status of the target */
	FLEET_EVIDENCE_SHED = 5, /**< the target did not execute the request */
	FLEET_EVIDENCE_STALL =
	    6, /**< much slower than typical, still running */
	FLEET_EVIDENCE_WRONG_TARGET = 7, /**< another target answers there */
	FLEET_EVIDENCE_PROBE_UNUSED =
	    8 /**< a permitted probe that was not sent */
} fleet_evidence_t;

/** What a gate consumes, or requests a permit for ("spend" on the wire). */
typedef enum fleet_spend_kind {
	FLEET_SPEND_REQUEST = 0, /**< token of the workspace */
	FLEET_SPEND_RETRY = 1, /**< share of the service's retry budget */
	FLEET_SPEND_PROBE = 2, /**< the right to probe a target */
	FLEET_SPEND_LIMITED = 3, /**< a request to a target with a limit */
	FLEET_SPEND_UPLOAD = 4 /**< a large request */
} fleet_spend_kind_t;

#endif
