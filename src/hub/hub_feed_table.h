/**
 * @file
 * Tables for gates that have none of the leader's term: whole ones, and the
 * differences from the table that a gate has. Each is packed once for the gates
 * that join at about the same time. The feed owns it and resets it with each term.
 * Does no I/O but through the feed's send callback, and reads no clock.
 */
#ifndef TM_HUB_HUB_FEED_TABLE_H
#define TM_HUB_HUB_FEED_TABLE_H

#include "fleet/fleet_table.h"
#include "hub/hub_feed.h"
#include "net/packed_msg.h"

/** A table as of a change and a time. */
typedef struct hub_feed_packed {
	packed_msg_t msg;
	uint64_t sequence;
	int64_t made_ms;
} hub_feed_packed_t;

/** Zero without a term. */
typedef struct hub_feed_table {
	const hub_feed_options_t *options;
	uint64_t term;
	hub_feed_packed_t whole;
	Tm__Fleet__Table zipped; /**< whole table; no bytes: none */
	int64_t zipped_ms;
	hub_feed_packed_t differences;
	uint64_t differences_base; /**< digest of the table that they change */
	int differences_zipped; /**< for gates that read this */
	fleet_table_digests_t digests; /**< of the rows as of below */
	uint64_t digests_sequence; /**< 0: none */
	int64_t digests_ms;
} hub_feed_table_t;

/** Drops everything: a term begins. */
void hub_feed_table_reset(
    hub_feed_table_t *table, const hub_feed_options_t *options, uint64_t term);

/** Frees everything; all zero is allowed. */
void hub_feed_table_release(hub_feed_table_t *table);

/** Fills a row; it refers to the target's texts. */
void hub_feed_table_fill_target(const hub_feed_options_t *options,
    Tm__Fleet__Target *msg, const hub_target_t *target, int64_t now_ms);

/** Lists all evacuated data centres, as in each table: a gate that missed changes
 * lacks none of them. */
void hub_feed_table_fill_evacuated(const hub_feed_options_t *options,
    Tm__Fleet__Table *msg, char *names[FLEET_EVACUATIONS_MAX]);

/** Sends the whole table without deregistered targets.
 * @param sequence  of the last change of the table */
void hub_feed_table_send_whole(
    hub_feed_table_t *table, node_id_t to, uint64_t sequence, int64_t now_ms);

/**
 * Sends the whole table compressed, if it is worth it. One that was compressed
 * lately is sent even if it has changed since.
 *
 * @param sequence  of the last change of the table
 * @return          that of the table that was sent: changes since are to follow;
 *                  0: none was sent
 */
uint64_t hub_feed_table_send_zipped(
    hub_feed_table_t *table, node_id_t to, uint64_t sequence, int64_t now_ms);

/**
 * Sends what differs from the table that a gate describes in its join.
 *
 * @param sequence  of the last change of the table
 * @return          0 if it is to be sent the whole table: it describes none, or
 *                  most of it differs
 */
int hub_feed_table_send_differences(hub_feed_table_t *table, node_id_t to,
    const Tm__Fleet__Join *join, uint64_t sequence, int64_t now_ms);

#endif
