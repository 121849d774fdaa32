#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "gossip/gossip_internal.h"

#define GOSSIP_AGES_MAX 4096

gossip_blob_t *
gossip_find_blob(const gossip_t *gossip, uint64_t key)
{
	gossip_blob_t *blob = NULL;

	HASH_FIND(hh, gossip->blobs, &key, sizeof(key), blob);
	return (blob);
}

static int
gossip_is_newer(
    uint64_t term, uint64_t seq, uint64_t than_term, uint64_t than_seq)
{
	return (term > than_term || (term == than_term && seq > than_seq));
}

static gossip_blob_t *
gossip_add_blob(gossip_t *gossip, uint64_t key)
{
	gossip_blob_t *blob;

	if (HASH_COUNT(gossip->blobs) >= GOSSIP_BLOBS_MAX)
		return (NULL);
	blob = calloc(1, sizeof(*blob));
	if (blob == NULL)
		return (NULL);
	blob->key = key;
	HASH_ADD(hh, gossip->blobs, key, sizeof(blob->key), blob);
	return (blob);
}

int
gossip_put_blob(gossip_t *gossip, uint64_t key, uint64_t term, uint64_t seq,
    const uint8_t *bytes, size_t len)
{
	gossip_blob_t *blob = gossip_find_blob(gossip, key);
	uint8_t *copy;

	if (len > GOSSIP_BLOB_MAX_BYTES)
		return (TM_ETOOBIG);
	if (blob != NULL && !gossip_is_newer(term, seq, blob->term, blob->seq))
		return (TM_ESTALE);
	copy = malloc(len + 1);
	if (copy == NULL)
		return (TM_ENOMEM);
	if (blob == NULL)
		blob = gossip_add_blob(gossip, key);
	if (blob == NULL) {
		free(copy);
		return (TM_EFULL);
	}
	if (len > 0)
		memcpy(copy, bytes, len);
	free(blob->bytes);
	blob->bytes = copy;
	blob->len = len;
	blob->term = term;
	blob->seq = seq;
	return (TM_OK);
}

void
gossip_send_blob(gossip_t *gossip, node_id_t to, const gossip_blob_t *blob)
{
	Feed__Blob msg = FEED__BLOB__INIT;

	msg.key = blob->key;
	msg.term = blob->term;
	msg.seq = blob->seq;
	msg.data.data = blob->bytes;
	msg.data.len = blob->len;
	gossip->options.send(
	    gossip->options.send_ctx, to, MSG_GOSSIP_BLOB, &msg.base);
}

void
gossip_handle_blob(
    gossip_t *gossip, node_id_t from, const uint8_t *payload, size_t len)
{
	Feed__Blob *msg = feed__blob__unpack(NULL, len, payload);

	(void)from;
	if (msg == NULL) {
		gossip->status.malformed++;
		return;
	}
	if (gossip_put_blob(gossip, msg->key, msg->term, msg->seq,
		msg->data.data, msg->data.len) == TM_OK &&
	    gossip->options.blob != NULL)
		gossip->options.blob(gossip->options.ctx, msg->key, msg->term,
		    msg->seq, msg->data.data, msg->data.len);
	feed__blob__free_unpacked(msg, NULL);
}

/* Exports the versions of the next GOSSIP_DIGEST_BLOBS blobs of the table. */
static size_t
gossip_export_blobs(gossip_t *gossip, Feed__BlobVersion *out)
{
	size_t count = HASH_COUNT(gossip->blobs);
	gossip_blob_t *blob = gossip->blobs;
	size_t skip;
	size_t n = 0;

	if (count == 0)
		return (0);
	skip = (size_t)(gossip->blob_cursor % count);
	while (skip-- > 0)
		blob = blob->hh.next;
	while (n < GOSSIP_DIGEST_BLOBS && n < count) {
		feed__blob_version__init(&out[n]);
		out[n].key = blob->key;
		out[n].term = blob->term;
		out[n].seq = blob->seq;
		n++;
		blob = blob->hh.next != NULL ? blob->hh.next : gossip->blobs;
	}
	gossip->blob_cursor += n;
	return (n);
}

void
gossip_send_digest(gossip_t *gossip, node_id_t to, int is_reply, int64_t now_ms)
{
	Feed__LogEntry entries[GOSSIP_DIGEST_ENTRIES_MAX];
	Feed__LogEntry *entry_refs[GOSSIP_DIGEST_ENTRIES_MAX];
	Feed__BlobVersion blobs[GOSSIP_DIGEST_BLOBS];
	Feed__BlobVersion *blob_refs[GOSSIP_DIGEST_BLOBS];
	uint8_t ages[GOSSIP_AGES_MAX];
	Feed__Digest msg = FEED__DIGEST__INIT;
	Feed__Tick tick;
	size_t i;

	msg.index = config_state_get_index(gossip->options.state);
	msg.directory_index =
	    config_state_get_directory_index(gossip->options.state);
	msg.is_reply = is_reply;
	msg.ages.data = ages;
	msg.ages.len = gossip_encode_ages(gossip, now_ms, ages, sizeof(ages));
	gossip_export_tick(gossip, now_ms, &tick);
	msg.tick = tick.term > 0 ? &tick : NULL;
	/*
	 * A reply carries no entries: the index of the other side is known, and
	 * gossip_compare_index() sent it the entries that it lacks.
	 */
	if (!is_reply)
		msg.n_entries = entry_log_get_recent(gossip->log,
		    now_ms - GOSSIP_DIGEST_ENTRY_AGE_MS, entries,
		    GOSSIP_DIGEST_ENTRIES_MAX, GOSSIP_DIGEST_ENTRY_BYTES);
	for (i = 0; i < msg.n_entries; i++)
		entry_refs[i] = &entries[i];
	msg.entries = entry_refs;
	msg.n_blobs = gossip_export_blobs(gossip, blobs);
	for (i = 0; i < msg.n_blobs; i++)
		blob_refs[i] = &blobs[i];
	msg.blobs = blob_refs;
	gossip->options.send(
	    gossip->options.send_ctx, to, MSG_GOSSIP_DIGEST, &msg.base);
}

/*
 * Sends the blobs of which the peer has an older version, up to a limit, and
 * requests those of which it has a newer one.
 */
static void
gossip_compare_blobs(
    gossip_t *gossip, node_id_t from, const Feed__Digest *digest)
{
	uint64_t wanted[GOSSIP_DIGEST_BLOBS];
	Feed__Pull pull = FEED__PULL__INIT;
	const Feed__BlobVersion *theirs;
	const gossip_blob_t *own;
	size_t bytes = 0;
	size_t n = 0;
	size_t i;

	for (i = 0; i < digest->n_blobs; i++) {
		theirs = digest->blobs[i];
		own = gossip_find_blob(gossip, theirs->key);
		if (own == NULL ||
		    gossip_is_newer(
			theirs->term, theirs->seq, own->term, own->seq)) {
			if (n < GOSSIP_DIGEST_BLOBS)
				wanted[n++] = theirs->key;
		} else if (gossip_is_newer(own->term, own->seq, theirs->term,
			       theirs->seq) &&
		    bytes <= GOSSIP_BLOB_REPLY_BYTES) {
			bytes += own->len;
			gossip_send_blob(gossip, from, own);
		}
	}
	if (n == 0)
		return;
	pull.blobs = wanted;
	pull.n_blobs = n;
	gossip->options.send(
	    gossip->options.send_ctx, from, MSG_FEED_PULL, &pull.base);
}

static void
gossip_compare_index(gossip_t *gossip, node_id_t from,
    const Feed__Digest *digest, int64_t now_ms)
{
	uint64_t own = config_state_get_index(gossip->options.state);
	Feed__Tick tick;

	gossip_export_tick(gossip, now_ms, &tick);
	if (digest->index > own)
		gossip_pull(gossip, from, now_ms);
	else if (digest->index < own)
		entry_log_send_after(gossip->log, digest->index, from,
		    tick.term > 0 ? &tick : NULL, gossip->options.send,
		    gossip->options.send_ctx, now_ms);
}

void
gossip_handle_digest(gossip_t *gossip, node_id_t from, const uint8_t *payload,
    size_t len, int64_t now_ms)
{
	Feed__Digest *msg = feed__digest__unpack(NULL, len, payload);

	if (msg == NULL) {
		gossip->status.malformed++;
		return;
	}
	gossip_apply_entries(
	    gossip, from, msg->entries, msg->n_entries, now_ms);
	if (msg->tick != NULL)
		gossip_merge_tick(gossip, msg->tick, now_ms);
	if (msg->directory_index ==
	    config_state_get_directory_index(gossip->options.state))
		gossip_merge_ages(
		    gossip, msg->ages.data, msg->ages.len, now_ms);
	gossip_compare_index(gossip, from, msg, now_ms);
	gossip_compare_blobs(gossip, from, msg);
	if (!msg->is_reply)
		gossip_send_digest(gossip, from, 1, now_ms);
	feed__digest__free_unpacked(msg, NULL);
}
