#include "net/peer_frame.h"

#include <stdlib.h>
#include <string.h>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/params.h>

#include "base/error.h"

#define FRAME_LABEL	     "tarragonmoor-peer-1"
#define FRAME_KEY_INPUT_MAX  512
#define FRAME_SEQUENCE_BYTES 8

struct frame_auth {
	EVP_MAC_CTX *mac;
	uint64_t sequence;
};

static void
put_be16(uint8_t *out, uint16_t value)
{
	out[0] = (uint8_t)(value >> 8);
	out[1] = (uint8_t)value;
}

static void
put_be64(uint8_t *out, uint64_t value)
{
	int i;

	for (i = 0; i < 8; i++)
		out[i] = (uint8_t)(value >> (56 - 8 * i));
}

static size_t
key_input_add(uint8_t *out, size_t pos, const void *bytes, size_t len)
{
	if (pos + len + 1 > FRAME_KEY_INPUT_MAX)
		len = FRAME_KEY_INPUT_MAX - pos - 1;
	out[pos++] = (uint8_t)len;
	memcpy(out + pos, bytes, len);
	return (pos + len);
}

static size_t
key_input_add_identity(uint8_t *out, size_t pos, const frame_identity_t *id)
{
	uint8_t incarnation[8];

	put_be64(incarnation, id->incarnation);
	pos = key_input_add(out, pos, id->name, strlen(id->name));
	pos = key_input_add(out, pos, incarnation, sizeof(incarnation));
	return (key_input_add(out, pos, id->nonce, FRAME_NONCE_BYTES));
}

static void
derive_key(const char *secret, const frame_identity_t *client,
    const frame_identity_t *server, int to_server, uint8_t *key)
{
	uint8_t input[FRAME_KEY_INPUT_MAX];
	uint8_t direction = to_server ? 1 : 0;
	unsigned int key_len = FRAME_KEY_BYTES;
	size_t pos = 0;

	pos = key_input_add(input, pos, FRAME_LABEL, strlen(FRAME_LABEL));
	pos = key_input_add(input, pos, &direction, 1);
	pos = key_input_add_identity(input, pos, client);
	pos = key_input_add_identity(input, pos, server);
	HMAC(EVP_sha256(), secret, (int)strlen(secret), input, pos, key,
	    &key_len);
}

static EVP_MAC_CTX *
mac_create(const uint8_t *key)
{
	char digest[] = "SHA256";
	OSSL_PARAM params[2];
	EVP_MAC *mac = EVP_MAC_fetch(NULL, "HMAC", NULL);
	EVP_MAC_CTX *ctx;

	if (mac == NULL)
		return (NULL);
	ctx = EVP_MAC_CTX_new(mac);
	EVP_MAC_free(mac);
	if (ctx == NULL)
		return (NULL);
	params[0] = OSSL_PARAM_construct_utf8_string("digest", digest, 0);
	params[1] = OSSL_PARAM_construct_end();
	if (EVP_MAC_init(ctx, key, FRAME_KEY_BYTES, params) != 1) {
		EVP_MAC_CTX_free(ctx);
		return (NULL);
	}
	return (ctx);
}

frame_auth_t *
frame_auth_create(const char *secret, const frame_identity_t *client,
    const frame_identity_t *server, int to_server)
{
	uint8_t key[FRAME_KEY_BYTES];
	frame_auth_t *auth = calloc(1, sizeof(*auth));

	if (auth == NULL)
		return (NULL);
	derive_key(secret, client, server, to_server, key);
	auth->mac = mac_create(key);
	OPENSSL_cleanse(key, sizeof(key));
	if (auth->mac == NULL) {
		free(auth);
		return (NULL);
	}
	return (auth);
}

void
frame_auth_destroy(frame_auth_t *auth)
{
	if (auth == NULL)
		return;
	EVP_MAC_CTX_free(auth->mac);
	free(auth);
}

static int
frame_auth_compute(frame_auth_t *auth, uint16_t type, const uint8_t *payload,
    size_t len, uint8_t *tag)
{
	uint8_t head[FRAME_SEQUENCE_BYTES + FRAME_TYPE_BYTES];
	uint8_t full[EVP_MAX_MD_SIZE];
	size_t full_len;

	put_be64(head, auth->sequence);
	put_be16(head + FRAME_SEQUENCE_BYTES, type);
	if (EVP_MAC_init(auth->mac, NULL, 0, NULL) != 1 ||
	    EVP_MAC_update(auth->mac, head, sizeof(head)) != 1 ||
	    EVP_MAC_update(auth->mac, payload, len) != 1 ||
	    EVP_MAC_final(auth->mac, full, &full_len, sizeof(full)) != 1)
		return (TM_ENOMEM);
	memcpy(tag, full, FRAME_TAG_BYTES);
	return (TM_OK);
}

int
frame_auth_sign(frame_auth_t *auth, uint16_t type, const uint8_t *payload,
    size_t len, uint8_t tag[FRAME_TAG_BYTES])
{
	int err = frame_auth_compute(auth, type, payload, len, tag);

	if (err == TM_OK)
		auth->sequence++;
	return (err);
}

int
frame_auth_verify(frame_auth_t *auth, const frame_t *frame)
{
	uint8_t tag[FRAME_TAG_BYTES];
	int err;

	err = frame_auth_compute(
	    auth, frame->type, frame->payload, frame->len, tag);
	if (err != TM_OK)
		return (err);
	if (CRYPTO_memcmp(tag, frame->tag, FRAME_TAG_BYTES) != 0)
		return (TM_EAUTH);
	auth->sequence++;
	return (TM_OK);
}

int
frame_decode(const uint8_t *buf, size_t len, size_t max_bytes, frame_t *frame)
{
	size_t body;

	if (len < FRAME_LENGTH_BYTES)
		return (0);
	body = (size_t)buf[0] << 24 | (size_t)buf[1] << 16 |
	    (size_t)buf[2] << 8 | buf[3];
	if (body > max_bytes)
		return (TM_ETOOBIG);
	if (body < FRAME_TYPE_BYTES + FRAME_TAG_BYTES)
		return (TM_EFORMAT);
	if (len < FRAME_LENGTH_BYTES + body)
		return (0);
	frame->type = (uint16_t)(buf[4] << 8 | buf[5]);
	frame->payload = buf + FRAME_LENGTH_BYTES + FRAME_TYPE_BYTES;
	frame->len = body - FRAME_TYPE_BYTES - FRAME_TAG_BYTES;
	frame->tag = frame->payload + frame->len;
	frame->total_bytes = FRAME_LENGTH_BYTES + body;
	return (1);
}

void
frame_write_head(uint8_t *out, uint16_t type, size_t payload_len)
{
	size_t body = FRAME_TYPE_BYTES + payload_len + FRAME_TAG_BYTES;

	out[0] = (uint8_t)(body >> 24);
	out[1] = (uint8_t)(body >> 16);
	out[2] = (uint8_t)(body >> 8);
	out[3] = (uint8_t)body;
	put_be16(out + FRAME_LENGTH_BYTES, type);
}
