/**
 * @file
 * TLS of a listener: its settings, and the context made of its files.
 */
#ifndef TM_HTTP_HTTP_TLS_H
#define TM_HTTP_HTTP_TLS_H

#include <openssl/ssl.h>

#include "settings/json_check.h"

#define HTTP_TLS_PATH_MAX_BYTES 255
#define HTTP_TLS_REASON_BYTES	160

/** Files in PEM form; empty names stand for plain HTTP. */
typedef struct http_tls_files {
	char certificate_file[HTTP_TLS_PATH_MAX_BYTES + 1];
	char key_file[HTTP_TLS_PATH_MAX_BYTES + 1];
} http_tls_files_t;

/** What is wrong with the files. */
typedef struct http_tls_error {
	const char *field; /**< "certificate_file" or "key_file" */
	char reason[HTTP_TLS_REASON_BYTES];
} http_tls_error_t;

/** @return 1 if the files are given */
int http_tls_is_set(const http_tls_files_t *files);

/**
 * Makes a context for TLS 1.2 or newer.
 *
 * @param error  filled in after TM_EFORMAT
 * @return       0, TM_EFORMAT if a file is bad, TM_ENOMEM
 */
int http_tls_load(
    const http_tls_files_t *files, SSL_CTX **out, http_tls_error_t *error);

/**
 * Reads the optional field "tls" {certificate_file, key_file} of settings and
 * checks the files.
 */
void http_tls_read_settings(json_node_t *root, http_tls_files_t *files);

#endif
