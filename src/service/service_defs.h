/**
 * @file
 * Types shared by the leader of a service, the view of an entry VM and the
 * balancer.
 */
#ifndef TM_SERVICE_DEFS_H
#define TM_SERVICE_DEFS_H

#include <stddef.h>
#include <stdint.h>

#include "base/node_defs.h"
#include "net/msg_types.h"

/** Most targets of one service. */
#define SERVICE_TARGETS_MAX 256
/** Longest textual IP address with its terminator. */
#define SERVICE_IP_BYTES 46
/** Most blocked request fingerprints of one service. */
#define SERVICE_BLOCKED_MAX 64
/** Most data centres that avoid one target at the same time. */
#define SERVICE_AVOID_MAX 8
/** A share of 1000 is a full share. */
#define SERVICE_SHARE_FULL 1000

/** Message types of src/proto/service.proto. */
enum service_msg_type {
	MSG_SERVICE_REPORT = MSG_SERVICE_BASE, /**< view to leader */
	MSG_SERVICE_TABLE, /**< leader to view, view to view */
	MSG_SERVICE_SHARES, /**< leader to view */
	MSG_SERVICE_ANNOUNCE, /**< view to leader, or to a view as relay */
	MSG_SERVICE_ANNOUNCE_REPLY, /**< leader to the first view */
	MSG_SERVICE_TRIAL, /**< leader to view: permit */
	MSG_SERVICE_TRIAL_RESULT, /**< view to leader */
	MSG_SERVICE_CRASH, /**< view to leader */
	MSG_SERVICE_VERSION, /**< view to view: table version */
	MSG_SERVICE_VERSIONS, /**< VM to VM: versions of several tables */
	MSG_SERVICE_BATCH /**< VM to VM: reports and answers of services */
};

/** How quickly evidence leads to ejection; setting "ejection" of a profile. */
typedef enum service_sensitivity {
	SERVICE_EAGER,
	SERVICE_NORMAL,
	SERVICE_CAUTIOUS
} service_sensitivity_t;

/** Values of the profile that these modules use. */
typedef struct service_profile {
	service_sensitivity_t sensitivity;
	uint32_t floor_percent; /**< 0 to 100 */
	int repeat_allowed;
} service_profile_t;

/** Reads the profile in force; may be called at any time. */
typedef void (*service_profile_cb)(void *ctx, service_profile_t *out);

/**
 * State of a target in the table. A leaving target has announced that it shuts
 * down; a lapsed one neither renewed its lease nor answered.
 */
typedef enum service_target_state {
	SERVICE_TARGET_ACTIVE,
	SERVICE_TARGET_EJECTED,
	SERVICE_TARGET_LEAVING,
	SERVICE_TARGET_LAPSED
} service_target_state_t;

/** Outcome of an attempt at a target. */
typedef enum service_outcome {
	SERVICE_OUTCOME_OK,
	/** Status 5xx other than a shed response. */
	SERVICE_OUTCOME_ERROR,
	/** Truncated, malformed, oversized or with a digest mismatch. */
	SERVICE_OUTCOME_WRONG,
	/** Connection refused, or broken; also reported as a crash. */
	SERVICE_OUTCOME_BROKEN,
	/** No response at the deadline. */
	SERVICE_OUTCOME_TIMEOUT,
	/** X-Tm-Shed: the target did not execute the request. */
	SERVICE_OUTCOME_SHED,
	/** Status 4xx; evaluated only in comparison with the peers. */
	SERVICE_OUTCOME_REJECTED,
	/** Canceled by the caller: no evidence. */
	SERVICE_OUTCOME_CANCELED,
	/** Canceled because a hedged attempt of the request answered first. */
	SERVICE_OUTCOME_SUPERSEDED
} service_outcome_t;

/** Kind of evidence on which a target was ejected or avoided. */
typedef enum service_evidence {
	SERVICE_EVIDENCE_NONE,
	/** Errors, wrong or broken responses, timeouts and stalls. */
	SERVICE_EVIDENCE_FAILURES,
	/** Rejected and shed requests, compared with the peers. */
	SERVICE_EVIDENCE_REJECTED,
	/** Mean latency, compared with the peers or its own past. */
	SERVICE_EVIDENCE_SLOW,
	/** Attempts superseded at an age far above the peers' latency. */
	SERVICE_EVIDENCE_LATE,
	SERVICE_EVIDENCE_COUNT
} service_evidence_t;

/** Result of one evaluation: score, kind of evidence, value and limit. */
typedef struct service_finding {
	double
	    failure_score; /**< 0: no reason to eject; otherwise at least 1 */
	service_evidence_t evidence;
	/** Share of attempts, or ratio of latencies for SLOW. */
	double value;
	double limit; /**< limit that the value reached, same unit */
} service_finding_t;

/** Announcement or renewal of a target. */
typedef struct service_announcement {
	char target[NAME_MAX_BYTES + 1];
	uint64_t incarnation;
	char ip[SERVICE_IP_BYTES];
	uint16_t port;
	uint32_t slots;
	uint32_t connection_cap;
	int leaving;
} service_announcement_t;

/** Counts of outcomes over some time. */
typedef struct service_sample {
	/**
	 * Attempts that ended, except canceled ones and those superseded at an
	 * age that is not yet slow. Those that are neither failures, rejected
	 * nor successes were superseded late.
	 */
	double count;
	double failures; /**< errors, wrong, broken, timeouts and stalls */
	double rejected; /**< rejected and shed */
	/** Sum over successes, and over superseded attempts up to their end. */
	double latency_ms;
	double successes; /**< attempts with a successful response */
} service_sample_t;

/**
 * A target as an entry VM sees it. The view owns it and keeps the pointer
 * valid while in_flight > 0.
 */
typedef struct service_endpoint {
	uint64_t id; /**< xxHash of the target name */
	char target[NAME_MAX_BYTES + 1];
	uint64_t incarnation;
	char ip[SERVICE_IP_BYTES];
	uint16_t port;
	uint32_t slots;
	uint32_t connection_cap;
	uint32_t share; /**< 0 to SERVICE_SHARE_FULL */
	int usable; /**< active in the table and not avoided by this VM */
	uint32_t in_flight; /**< attempts of this VM */
	uint32_t load_running; /**< X-Tm-Load of the last response */
	uint32_t load_queued;
	uint32_t load_others; /**< load from other VMs, as far as known */
	int64_t load_at_ms; /**< when X-Tm-Load was received */
	int64_t shed_until_ms; /**< avoided until then if possible */
	uint32_t consecutive_errors; /**< for the baseline mode */
	int64_t baseline_until_ms; /**< baseline ejection ends */
	struct service_endpoint_state *state; /**< private to the view */
} service_endpoint_t;

/**
 * Reads the service id out of any message of this range.
 *
 * @param id  xxHash of the service name
 * @return    0, or TM_EFORMAT
 */
int service_message_get_service(
    uint16_t type, const uint8_t *payload, size_t len, uint64_t *id);

/** @return word for logs and status pages; "none" for an unknown number */
const char *service_evidence_get_name(service_evidence_t evidence);

/** @return the kind, SERVICE_EVIDENCE_NONE for an unknown number */
service_evidence_t service_evidence_from_number(uint32_t number);

/** @return word for status pages */
const char *service_target_state_get_name(service_target_state_t state);

/** @return xxHash of a service, target or workspace name */
uint64_t service_id_from_name(const char *name);

#endif
