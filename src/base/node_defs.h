/**
 * @file
 * Identity of VMs and the callbacks that decision modules share.
 */
#ifndef TM_BASE_NODE_DEFS_H
#define TM_BASE_NODE_DEFS_H

#include <stdint.h>

#include <protobuf-c/protobuf-c.h>

/** Longest node, workspace, service, profile, route or target name. */
#define NAME_MAX_BYTES 63

/** 64-bit xxHash of a node name. */
typedef uint64_t node_id_t;

#define NODE_ID_NONE UINT64_C(0)

/**
 * Sends a message to another node; may drop it.
 *
 * @param ctx   context pointer given with the callback
 * @param to    receiver
 * @param type  message type from net/msg_types.h
 * @param msg   message; encoded before the call returns
 */
typedef void (*node_send_cb)(
    void *ctx, node_id_t to, uint16_t type, const ProtobufCMessage *msg);

/** @return id of a node name; NODE_ID_NONE for an empty name */
node_id_t node_id_from_name(const char *name);

/**
 * Checks a name: 1 to NAME_MAX_BYTES of [A-Za-z0-9._-], first character
 * alphanumeric.
 *
 * @return 1 if valid, else 0
 */
int node_name_is_valid(const char *name);

#endif
