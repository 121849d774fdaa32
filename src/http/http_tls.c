#include "http/http_tls.h"

#include <stdio.h>
#include <string.h>

#include <openssl/err.h>

#include "base/error.h"

int
http_tls_is_set(const http_tls_files_t *files)
{
	return (files->certificate_file[0] != '\0');
}

/* Takes the reason of the last OpenSSL error. */
static int
set_error(http_tls_error_t *error, const char *field)
{
	unsigned long code = ERR_peek_last_error();
	const char *reason = ERR_reason_error_string(code);

	error->field = field;
	snprintf(error->reason, sizeof(error->reason), "%s",
	    reason != NULL ? reason : "cannot be read");
	ERR_clear_error();
	return (TM_EFORMAT);
}

static int
use_files(SSL_CTX *ctx, const http_tls_files_t *files, http_tls_error_t *error)
{
	ERR_clear_error();
	if (SSL_CTX_use_certificate_chain_file(ctx, files->certificate_file) !=
	    1)
		return (set_error(error, "certificate_file"));
	/* Also fails if the key does not belong to the certificate. */
	if (SSL_CTX_use_PrivateKey_file(
		ctx, files->key_file, SSL_FILETYPE_PEM) != 1)
		return (set_error(error, "key_file"));
	return (TM_OK);
}

int
http_tls_load(
    const http_tls_files_t *files, SSL_CTX **out, http_tls_error_t *error)
{
	SSL_CTX *ctx = SSL_CTX_new(TLS_server_method());
	int err;

	*error = (http_tls_error_t){ .field = "certificate_file",
		.reason = "memory exhausted" };
	if (ctx == NULL)
		return (TM_ENOMEM);
	SSL_CTX_set_min_proto_version(ctx, TLS1_2_VERSION);
	SSL_CTX_set_options(ctx, SSL_OP_NO_RENEGOTIATION | SSL_OP_NO_TICKET);
	SSL_CTX_set_session_cache_mode(ctx, SSL_SESS_CACHE_OFF);
	err = use_files(ctx, files, error);
	if (err != TM_OK) {
		SSL_CTX_free(ctx);
		return (err);
	}
	*out = ctx;
	return (TM_OK);
}

static void
check_files(json_node_t *node, const http_tls_files_t *files)
{
	http_tls_error_t error;
	const char *file;
	SSL_CTX *ctx;
	char found[HTTP_TLS_PATH_MAX_BYTES + HTTP_TLS_REASON_BYTES + 4];

	if (http_tls_load(files, &ctx, &error) == TM_OK) {
		SSL_CTX_free(ctx);
		return;
	}
	file = strcmp(error.field, "key_file") == 0 ? files->key_file
						    : files->certificate_file;
	snprintf(found, sizeof(found), "%s (%s)", file, error.reason);
	json_node_add_error(node, error.field, found,
	    "a readable PEM file with a certificate chain, or the key of its "
	    "first certificate",
	    "check the path, the permissions and that both files belong "
	    "together");
}

void
http_tls_read_settings(json_node_t *root, http_tls_files_t *files)
{
	json_node_t node;
	const char *certificate;
	const char *key;

	memset(files, 0, sizeof(*files));
	if (!json_node_has(root, "tls") ||
	    !json_need_object(root, "tls", &node))
		return;
	certificate = json_need_text(
	    &node, "certificate_file", 1, HTTP_TLS_PATH_MAX_BYTES);
	key = json_need_text(&node, "key_file", 1, HTTP_TLS_PATH_MAX_BYTES);
	json_node_finish(&node);
	strncpy(files->certificate_file, certificate, HTTP_TLS_PATH_MAX_BYTES);
	strncpy(files->key_file, key, HTTP_TLS_PATH_MAX_BYTES);
	if (files->certificate_file[0] != '\0' && files->key_file[0] != '\0')
		check_files(&node, files);
}
