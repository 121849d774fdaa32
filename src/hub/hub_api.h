/**
 * @file
 * HTTP interface of a hub for targets and operators, and its metrics. Any hub
 * answers targets; of the other calls only the leader answers, to which the
 * other hubs redirect. The API owns its listeners and reaches the state through
 * hub.h only.
 */
#ifndef TM_HUB_HUB_API_H
#define TM_HUB_HUB_API_H

#include <uv.h>

#include "hub/hub.h"

/** Longest document that is accepted; it must fit into one entry. */
#define HUB_DOCUMENT_MAX_BYTES (8 * 1024 * 1024)

typedef struct hub_api hub_api_t;

/** Starts to listen. @return 0, TM_ENOMEM, TM_EIO if the address cannot be
 * bound */
int hub_api_create(hub_api_t **out, hub_t *hub, uv_loop_t *loop);

/** Stops to accept calls. */
void hub_api_close(hub_api_t *api);

/** @return 1 if all responses have arrived, see http_server_is_delivered() */
int hub_api_is_delivered(const hub_api_t *api);

#endif
