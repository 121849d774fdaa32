/**
 * @file
 * Checks whether a process still listens at an address, by opening a
 * connection and closing it again. Sends no byte.
 */
#ifndef TM_NET_CONNECT_CHECK_H
#define TM_NET_CONNECT_CHECK_H

#include <netinet/in.h>
#include <stdint.h>

#include <uv.h>

/** What a check found. */
typedef enum connect_check_result {
	CONNECT_CHECK_OPEN, /**< a process listens there */
	CONNECT_CHECK_REFUSED, /**< the host answers, no process listens */
	CONNECT_CHECK_UNKNOWN /**< no answer in time, or another error */
} connect_check_result_t;

/** Reports the result, once, never from within connect_check_start(). */
typedef void (*connect_check_cb)(void *ctx, connect_check_result_t result);

typedef struct connect_check_options {
	uv_loop_t *loop;
	struct sockaddr_in to;
	uint64_t delay_ms; /**< before the connection is opened */
	uint64_t timeout_ms; /**< from then on */
	connect_check_cb done;
	void *ctx;
} connect_check_options_t;

/** Starts a check; it frees itself. @return 0 or TM_ENOMEM */
int connect_check_start(const connect_check_options_t *options);

#endif
