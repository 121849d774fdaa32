#include <openssl/rand.h>
#include <openssl/sha.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/hex.h"
#include "config/config_json.h"
#include "config/config_object.h"
#include "control/admin_internal.h"

/* A request that waits for its change; lives in the pool of the request. */
typedef struct admin_wait {
	h2o_req_t *req;
	control_ticket_t *ticket; /* NULL once the change is answered */
	char change_id[CONFIG_CHANGE_ID_MAX_BYTES + 1];
	/* Of POST /v1/keys; "" otherwise. */
	char key_id[NAME_MAX_BYTES + 1];
	char secret[2 * ADMIN_SECRET_BYTES + 1];
	int secret_known; /* drawn for this change id by this process */
} admin_wait_t;

static json_t *
admin_describe(const admin_wait_t *wait, const config_result_t *result)
{
	return (json_pack("{s:s, s:I}", "change_id", wait->change_id, "version",
	    (json_int_t)result->version));
}

static void
admin_answer_issued(admin_wait_t *wait, const config_result_t *result)
{
	char key[ADMIN_TEXT_MAX + NAME_MAX_BYTES];
	json_t *body;

	if (result->is_repeat && !wait->secret_known) {
		admin_send_error(wait->req, TM_EEXIST,
		    "the key was issued, but its secret cannot be shown again",
		    json_pack("{s:s, s:s}", "change_id", wait->change_id,
			"remedy",
			"withdraw the key and issue another one with a new "
			"change id"));
		return;
	}
	body = admin_describe(wait, result);
	snprintf(key, sizeof(key), "tmk_%s_%s", wait->key_id, wait->secret);
	json_object_set_new(body, "id", json_string(wait->key_id));
	json_object_set_new(body, "key", json_string(key));
	admin_send(wait->req, 200, body);
}

/* One message for each reason for which the state refuses a change. */
static const char *
admin_get_refusal(int err)
{
	switch (err) {
	case TM_EVERSION:
		return ("the object has another version");
	case TM_EEXIST:
		return ("the change id belongs to another change, or another "
			"route has the same host and path prefix");
	case TM_EINUSE:
		return ("other objects refer to the object");
	case TM_EREFERENCE:
		return ("the object refers to one that does not exist");
	case TM_ENOENT:
		return ("the object does not exist");
	case TM_ETIMEDOUT:
		return ("the outcome is unknown");
	default:
		return ("the change is not valid");
	}
}

static void
admin_done(void *ctx, const config_result_t *result)
{
	admin_wait_t *wait = ctx;
	json_t *body;

	wait->ticket = NULL;
	if (result->err == TM_OK && wait->key_id[0] != '\0') {
		admin_answer_issued(wait, result);
		return;
	}
	body = admin_describe(wait, result);
	if (result->err == TM_OK) {
		admin_send(wait->req, 200, body);
		return;
	}
	json_object_set_new(body, "item", json_integer(result->item));
	admin_send_error(
	    wait->req, result->err, admin_get_refusal(result->err), body);
}

static void
admin_dispose_wait(void *ptr)
{
	admin_wait_t *wait = ptr;

	if (wait->ticket != NULL)
		control_forget(wait->ticket);
}

static void
admin_dry_run(
    admin_request_t *request, const Feed__Change *change, admin_wait_t *wait)
{
	config_result_t result;

	if (config_state_check(control_get_state(request->api->control), change,
		&result) != TM_OK)
		result.err = TM_EINVAL;
	if (result.err != TM_OK)
		admin_send_error(request->req, result.err,
		    admin_get_refusal(result.err),
		    json_pack("{s:b, s:I, s:i}", "dry_run", 1, "version",
			(json_int_t)result.version, "item", (int)result.item));
	else
		admin_send(request->req, 200,
		    json_pack("{s:b, s:i}", "dry_run", 1, "items",
			(int)change->n_items));
	(void)wait;
}

/* The hash of what the caller sent; a retry has the same. */
static uint64_t
admin_get_fingerprint(const admin_request_t *request)
{
	const h2o_req_t *req = request->req;
	XXH64_state_t *hash = XXH64_createState();
	uint64_t value;

	if (hash == NULL)
		return (0);
	XXH64_reset(hash, 0);
	XXH64_update(hash, request->operator_->name,
	    strlen(request->operator_->name) + 1);
	XXH64_update(hash, req->method.base, req->method.len);
	XXH64_update(hash, req->path.base, req->path.len);
	XXH64_update(
	    hash, &request->has_if_version, sizeof(request->has_if_version));
	XXH64_update(hash, &request->if_version, sizeof(request->if_version));
	if (req->entity.len > 0)
		XXH64_update(hash, req->entity.base, req->entity.len);
	value = XXH64_digest(hash);
	XXH64_freeState(hash);
	return (value);
}

static admin_wait_t *
admin_create_wait(admin_request_t *request)
{
	admin_wait_t *wait = h2o_mem_alloc_shared(
	    &request->req->pool, sizeof(*wait), admin_dispose_wait);

	memset(wait, 0, sizeof(*wait));
	wait->req = request->req;
	memcpy(wait->change_id, request->change_id, sizeof(wait->change_id));
	return (wait);
}

/* Puts the items into the log, or only checks them; frees them. */
static void
admin_submit(admin_request_t *request, Feed__Change *change, admin_wait_t *wait)
{
	int err;

	change->change_id = request->change_id;
	change->actor = (char *)request->operator_->name;
	change->wall_ms = clock_wall_ms();
	change->fingerprint = admin_get_fingerprint(request);
	if (request->has_if_version && change->n_items == 1) {
		change->items[0]->has_if_version = 1;
		change->items[0]->if_version = request->if_version;
	}
	if (request->dry_run) {
		admin_dry_run(request, change, wait);
	} else {
		err = control_propose(request->api->control, change, admin_done,
		    wait, &wait->ticket);
		if (err != TM_OK)
			admin_send_error(request->req, err,
			    "the change was not accepted", NULL);
	}
	config_change_free_items(change);
}

/* A change that was applied already is answered from the state, even if its
 * references are gone by now. */
static int
admin_is_repeat(const admin_request_t *request)
{
	config_result_t result;

	return (
	    config_state_find_change(control_get_state(request->api->control),
		request->change_id, &result) == TM_OK);
}

/* Reads the body with a callback and submits the change if it is valid. */
static void
admin_read_and_submit(admin_request_t *request, admin_wait_t *wait,
    int (*read)(
	admin_request_t *, json_node_t *, Feed__Change *, admin_wait_t *))
{
	Feed__Change change = FEED__CHANGE__INIT;
	json_check_t *check = json_check_create();
	json_node_t root;
	int err = TM_OK;

	if (check == NULL) {
		admin_send_error(request->req, TM_ENOMEM, "body", NULL);
		return;
	}
	if (json_check_load_text(check, "request body",
		request->req->entity.base != NULL ? request->req->entity.base
						  : "",
		request->req->entity.len, &root) == TM_OK)
		err = read(request, &root, &change, wait);
	if (err == TM_OK && json_check_get_error_count(check) == 0 &&
	    !admin_is_repeat(request))
		config_json_check_references(
		    control_get_state(request->api->control), &change, &root);
	if (err != TM_OK)
		admin_send_error(request->req, err, "request body", NULL);
	else if (json_check_get_error_count(check) > 0)
		admin_send_problems(request->req, check);
	else
		admin_submit(request, &change, wait);
	config_change_free_items(&change);
	json_check_destroy(check);
}

static int
admin_read_object(admin_request_t *request, json_node_t *root,
    Feed__Change *change, admin_wait_t *wait)
{
	Feed__Object *object =
	    config_json_read_object(root, request->kind, request->name);

	(void)wait;
	if (object == NULL)
		return (TM_ENOMEM);
	return (config_change_add_item(change, CONFIG_OP_PUT, object));
}

void
admin_handle_put(admin_request_t *request)
{
	admin_read_and_submit(
	    request, admin_create_wait(request), admin_read_object);
}

static int
admin_read_file(admin_request_t *request, json_node_t *root,
    Feed__Change *change, admin_wait_t *wait)
{
	(void)request;
	(void)wait;
	return (config_json_read_file(root, change));
}

void
admin_handle_apply(admin_request_t *request)
{
	if (request->has_if_version) {
		admin_send_error(request->req, TM_EINVAL,
		    "If-Version applies to single objects only", NULL);
		return;
	}
	admin_read_and_submit(
	    request, admin_create_wait(request), admin_read_file);
}

/* An object with a name and empty fields, for items that need no more. */
static Feed__Object *
admin_create_object(config_kind_t kind, const char *name)
{
	Feed__Object *object = malloc(sizeof(*object));

	if (object == NULL)
		return (NULL);
	feed__object__init(object);
	object->kind = kind;
	object->name = strdup(name);
	return (object);
}

void
admin_handle_delete(admin_request_t *request)
{
	Feed__Change change = FEED__CHANGE__INIT;
	Feed__Object *object =
	    admin_create_object(request->kind, request->name);

	if (object == NULL ||
	    config_change_add_item(&change, CONFIG_OP_DELETE, object) !=
		TM_OK) {
		admin_send_error(request->req, TM_ENOMEM, "delete", NULL);
		return;
	}
	admin_submit(request, &change, admin_create_wait(request));
}

static int
admin_set_key(
    Feed__Object *object, const char *workspace, const uint8_t *digest)
{
	object->workspace = strdup(workspace);
	object->secret_sha256.data = malloc(CONFIG_SHA256_BYTES);
	if (object->workspace == NULL || object->secret_sha256.data == NULL)
		return (TM_ENOMEM);
	memcpy(object->secret_sha256.data, digest, CONFIG_SHA256_BYTES);
	object->secret_sha256.len = CONFIG_SHA256_BYTES;
	return (TM_OK);
}

void
admin_handle_withdraw(admin_request_t *request)
{
	const config_key_t *key =
	    config_state_find_key(control_get_state(request->api->control),
		request->name, strlen(request->name));
	Feed__Change change = FEED__CHANGE__INIT;
	Feed__Object *object;

	if (key == NULL) {
		admin_send_error(request->req, TM_ENOENT, request->name, NULL);
		return;
	}
	object = admin_create_object(CONFIG_KIND_KEY, request->name);
	if (object == NULL ||
	    admin_set_key(object, key->workspace, key->secret_sha256) !=
		TM_OK ||
	    config_change_add_item(&change, CONFIG_OP_PUT, object) != TM_OK) {
		admin_send_error(request->req, TM_ENOMEM, "withdraw", NULL);
		return;
	}
	object->withdrawn = 1;
	admin_submit(request, &change, admin_create_wait(request));
}

/* Key that was drawn for this change id before, so that a caller who lost the
 * response gets the same one. */
static const admin_issued_t *
admin_find_issued(const admin_request_t *request)
{
	const admin_issued_t *issued;
	size_t i;

	for (i = 0; i < ADMIN_ISSUED_MAX; i++) {
		issued = &request->api->issued[i];
		if (strcmp(issued->change_id, request->change_id) == 0 &&
		    strcmp(issued->actor, request->operator_->name) == 0 &&
		    clock_now_ms() - issued->issued_ms < ADMIN_ISSUED_KEEP_MS)
			return (issued);
	}
	return (NULL);
}

static const admin_issued_t *
admin_draw_key(admin_request_t *request, const char *id)
{
	admin_api_t *api = request->api;
	admin_issued_t *issued;
	uint8_t key_id[ADMIN_KEY_ID_BYTES];
	uint8_t secret[ADMIN_SECRET_BYTES];

	if (RAND_bytes(key_id, sizeof(key_id)) != 1 ||
	    RAND_bytes(secret, sizeof(secret)) != 1)
		return (NULL);
	issued = &api->issued[api->issued_next++ % ADMIN_ISSUED_MAX];
	memset(issued, 0, sizeof(*issued));
	memcpy(
	    issued->change_id, request->change_id, sizeof(issued->change_id));
	memcpy(issued->actor, request->operator_->name, NAME_MAX_BYTES);
	hex_write(issued->secret, secret, sizeof(secret));
	if (id != NULL)
		strncpy(issued->id, id, NAME_MAX_BYTES);
	else
		hex_write(issued->id, key_id, sizeof(key_id));
	issued->issued_ms = clock_now_ms();
	return (issued);
}

static int
admin_read_issue(admin_request_t *request, json_node_t *root,
    Feed__Change *change, admin_wait_t *wait)
{
	const admin_issued_t *issued = admin_find_issued(request);
	const char *workspace = json_need_name(root, "workspace");
	const char *id = json_opt_name(root, "id", NULL);
	uint8_t digest[SHA256_DIGEST_LENGTH];
	Feed__Object *object;

	json_node_finish(root);
	wait->secret_known = issued != NULL;
	if (issued == NULL)
		issued = admin_draw_key(request, id);
	if (issued == NULL)
		return (TM_EIO);
	memcpy(wait->key_id, issued->id, sizeof(wait->key_id));
	memcpy(wait->secret, issued->secret, sizeof(wait->secret));
	SHA256((const unsigned char *)issued->secret, strlen(issued->secret),
	    digest);
	object = admin_create_object(CONFIG_KIND_KEY, issued->id);
	if (object == NULL || admin_set_key(object, workspace, digest) != TM_OK)
		return (TM_ENOMEM);
	return (config_change_add_item(change, CONFIG_OP_PUT, object));
}

void
admin_handle_issue(admin_request_t *request)
{
	/* A key that is issued is new; its id must not be in use. */
	request->has_if_version = 1;
	request->if_version = 0;
	admin_read_and_submit(
	    request, admin_create_wait(request), admin_read_issue);
}
