#include "ctl/ctl_snapshot.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <jansson.h>

#include "base/error.h"
#include "config/config_json.h"

#define SNAPSHOT_FILE_MAX_BYTES (64u * 1024 * 1024)
#define SNAPSHOT_FORMAT		"TMCFG"
#define SNAPSHOT_FORMAT_BYTES	5
#define SNAPSHOT_VERSION_BYTES	3
#define SNAPSHOT_HEAD_BYTES	16
/** Below the limit of a request, with room for one more route. */
#define RESTORE_PART_BYTES (128 * 1024)
#define RESTORE_ID_SUFFIX  16

/* References go to kinds that stand before. */
static const struct {
	config_kind_t kind;
	const char *field;
} restore_order[] = {
	{ CONFIG_KIND_PROFILE, "profiles" },
	{ CONFIG_KIND_WORKSPACE, "workspaces" },
	{ CONFIG_KIND_SERVICE, "services" },
	{ CONFIG_KIND_ROUTE, "routes" },
	{ CONFIG_KIND_KEY, "keys" },
};

#define RESTORE_KINDS ((int)(sizeof(restore_order) / sizeof(restore_order[0])))

static ctl_exit_t
snapshot_fail(const char *file, const char *found, const char *remedy)
{
	fprintf(stderr, "tmctl: %s: %s; remedy: %s\n", file, found, remedy);
	return (CTL_EXIT_USAGE);
}

static int
snapshot_is_known(const uint8_t *bytes)
{
	const char *version = (const char *)bytes + SNAPSHOT_FORMAT_BYTES;

	return (memcmp(version, "001", SNAPSHOT_VERSION_BYTES) == 0 ||
	    memcmp(version, "002", SNAPSHOT_VERSION_BYTES) == 0);
}

int
ctl_snapshot_parse(config_state_t *state, const uint8_t *bytes, size_t len,
    char *why, size_t why_size)
{
	int err;

	why[0] = '\0';
	if (len < SNAPSHOT_HEAD_BYTES ||
	    memcmp(bytes, SNAPSHOT_FORMAT, SNAPSHOT_FORMAT_BYTES) != 0) {
		snprintf(why, why_size,
		    "not a snapshot of the configuration (%zu bytes)", len);
		return (TM_EFORMAT);
	}
	if (!snapshot_is_known(bytes)) {
		snprintf(why, why_size,
		    "format version \"%.3s\"; allowed: 001 or 002",
		    (const char *)bytes + SNAPSHOT_FORMAT_BYTES);
		return (TM_EFORMAT);
	}
	err = config_snapshot_install(state, bytes, len);
	if (err == TM_ECORRUPT)
		snprintf(why, why_size,
		    "damaged: the checksum over %zu bytes does not match",
		    len - SNAPSHOT_HEAD_BYTES);
	else if (err == TM_ESTALE)
		snprintf(why, why_size, "the snapshot holds no change");
	else if (err != TM_OK)
		snprintf(why, why_size, "the content is not valid: %s",
		    error_get_text(err));
	return (err);
}

static void
snapshot_describe(
    const char *verb, const char *file, const config_state_t *state, size_t len)
{
	int i;

	printf("%s %s: version %llu, %zu bytes", verb, file,
	    (unsigned long long)config_state_get_index(state), len);
	for (i = 0; i < RESTORE_KINDS; i++)
		printf(", %zu %s",
		    config_state_count(state, restore_order[i].kind),
		    restore_order[i].field);
	printf("\n");
}

static int
snapshot_write_all(int fd, const char *bytes, size_t len)
{
	ssize_t done;

	while (len > 0) {
		done = write(fd, bytes, len);
		if (done < 0 && errno == EINTR)
			continue;
		if (done <= 0)
			return (TM_EIO);
		bytes += done;
		len -= (size_t)done;
	}
	return (fsync(fd) == 0 ? TM_OK : TM_EIO);
}

/* A snapshot holds digests of keys, so only its owner may read it. */
static ctl_exit_t
snapshot_write_file(const char *file, const char *bytes, size_t len)
{
	int fd = open(file, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0600);
	int err;

	if (fd < 0)
		return (snapshot_fail(file, strerror(errno),
		    "give the name of a new file in a folder that is "
		    "writable"));
	err = snapshot_write_all(fd, bytes, len);
	if (close(fd) != 0 || err != TM_OK) {
		unlink(file);
		return (snapshot_fail(
		    file, "cannot be written", "check the free space"));
	}
	return (CTL_EXIT_OK);
}

/* What arrived is checked before it is called a backup. */
static ctl_exit_t
snapshot_keep(const char *file, const ctl_result_t *result)
{
	config_state_t *state = config_state_create();
	ctl_exit_t status = CTL_EXIT_REFUSED;
	char why[160] = "out of memory";

	if (state != NULL &&
	    ctl_snapshot_parse(state, (const uint8_t *)result->body,
		result->body_len, why, sizeof(why)) == TM_OK) {
		status =
		    snapshot_write_file(file, result->body, result->body_len);
		if (status == CTL_EXIT_OK)
			snapshot_describe(
			    "saved", file, state, result->body_len);
	} else {
		fprintf(stderr,
		    "tmctl: the server's snapshot cannot be used: %s; remedy: "
		    "try again\n",
		    why);
	}
	config_state_destroy(state);
	return (status);
}

ctl_exit_t
ctl_snapshot_run_save(ctl_api_t *api, const ctl_options_t *o)
{
	ctl_call_t call = {
		.method = "GET", .path = "/v1/snapshot", .if_version = -1
	};
	ctl_result_t result;
	ctl_exit_t status;

	ctl_api_send(api, &call, &result);
	status = result.exit;
	if (status == CTL_EXIT_OK)
		status = snapshot_keep(o->words[2], &result);
	else
		ctl_print_failure(o, &call, &result);
	free(result.body);
	return (status);
}

static ctl_exit_t
snapshot_read_file(const char *file, uint8_t **bytes, size_t *len)
{
	FILE *in = fopen(file, "rb");
	ctl_exit_t status = CTL_EXIT_OK;

	*bytes = malloc(SNAPSHOT_FILE_MAX_BYTES + 1);
	*len = 0;
	if (in == NULL || *bytes == NULL)
		status = snapshot_fail(
		    file, strerror(errno), "give a file of snapshot save");
	else
		*len = fread(*bytes, 1, SNAPSHOT_FILE_MAX_BYTES + 1, in);
	if (status == CTL_EXIT_OK &&
	    (ferror(in) || *len > SNAPSHOT_FILE_MAX_BYTES))
		status = snapshot_fail(file, "not readable, or over 64 MiB",
		    "give a file of snapshot save");
	if (in != NULL)
		fclose(in);
	return (status);
}

static ctl_exit_t
snapshot_load_file(const char *file, config_state_t *state, size_t *len)
{
	uint8_t *bytes;
	char why[160];
	ctl_exit_t status = snapshot_read_file(file, &bytes, len);

	if (status == CTL_EXIT_OK &&
	    ctl_snapshot_parse(state, bytes, *len, why, sizeof(why)) != TM_OK)
		status = snapshot_fail(
		    file, why, "use another backup; nothing was sent");
	free(bytes);
	return (status);
}

static json_t *
snapshot_write_object(const config_object_t *object)
{
	json_t *value = config_json_write_object(object);

	/* Versions belong to the log of the old group. */
	if (value != NULL)
		json_object_del(value, "version");
	return (value);
}

char *
ctl_snapshot_next_part(config_state_t *state, int *kind,
    char after[NAME_MAX_BYTES + 1], size_t max)
{
	json_t *list = json_array();
	const config_object_t *object;
	json_t *value;
	json_t *body;
	size_t bytes = 0;
	char *text = NULL;

	while (*kind < RESTORE_KINDS && json_array_size(list) == 0) {
		while (bytes < max &&
		    json_array_size(list) < CONFIG_FILE_OBJECTS_MAX &&
		    config_state_list(state, restore_order[*kind].kind, after,
			&object, 1) == 1) {
			value = snapshot_write_object(object);
			text = json_dumps(value, JSON_COMPACT);
			bytes += text != NULL ? strlen(text) : 0;
			free(text);
			json_array_append_new(list, value);
			snprintf(after, NAME_MAX_BYTES + 1, "%s", object->name);
		}
		if (json_array_size(list) > 0)
			break;
		(*kind)++;
		after[0] = '\0';
	}
	if (*kind == RESTORE_KINDS) {
		json_decref(list);
		return (NULL);
	}
	body = json_pack("{s:o}", restore_order[*kind].field, list);
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	return (text);
}

/* @return CTL_EXIT_OK if the group has no change yet */
static ctl_exit_t
restore_check_fresh(ctl_api_t *api, const ctl_options_t *o)
{
	ctl_call_t call = {
		.method = "GET", .path = "/v1/history?limit=1", .if_version = -1
	};
	ctl_result_t result;
	ctl_exit_t status;
	json_t *body;

	ctl_api_send(api, &call, &result);
	status = result.exit;
	ctl_print_failure(o, &call, &result);
	body = status == CTL_EXIT_OK ? json_loads(result.body, 0, NULL) : NULL;
	if (status == CTL_EXIT_OK &&
	    json_array_size(json_object_get(body, "items")) > 0) {
		fprintf(stderr,
		    "tmctl: the group has changes already; allowed: a new "
		    "group without any; remedy: restore into a new group, or "
		    "give --change-id to go on with an interrupted restore\n");
		status = CTL_EXIT_REFUSED;
	}
	json_decref(body);
	free(result.body);
	return (status);
}

static ctl_exit_t
restore_send_part(
    ctl_api_t *api, const ctl_options_t *o, int number, const char *text)
{
	char id[CTL_CHANGE_ID_MAX + RESTORE_ID_SUFFIX];
	ctl_call_t call = { .method = "POST",
		.path = "/v1/apply",
		.body = text,
		.body_len = strlen(text),
		.change_id = id,
		.if_version = -1 };
	ctl_result_t result;

	snprintf(id, sizeof(id), "%s.%d", o->change_id, number);
	ctl_api_send(api, &call, &result);
	ctl_print_failure(o, &call, &result);
	if (result.exit != CTL_EXIT_OK)
		fprintf(stderr,
		    "tmctl: part %d was not confirmed; go on with --change-id "
		    "%s snapshot restore\n",
		    number, o->change_id);
	free(result.body);
	return (result.exit);
}

static ctl_exit_t
restore_send_all(ctl_api_t *api, const ctl_options_t *o, config_state_t *state)
{
	char after[NAME_MAX_BYTES + 1] = "";
	ctl_exit_t status = CTL_EXIT_OK;
	int number = 0;
	int kind = 0;
	char *text;

	fprintf(stderr, "change-id: %s\n", o->change_id);
	while (status == CTL_EXIT_OK &&
	    (text = ctl_snapshot_next_part(
		 state, &kind, after, RESTORE_PART_BYTES)) != NULL) {
		status = restore_send_part(api, o, ++number, text);
		free(text);
	}
	return (status);
}

ctl_exit_t
ctl_snapshot_run_restore(ctl_api_t *api, const ctl_options_t *o)
{
	config_state_t *state = config_state_create();
	ctl_exit_t status = CTL_EXIT_USAGE;
	size_t len = 0;

	if (state != NULL)
		status = snapshot_load_file(o->words[2], state, &len);
	if (status == CTL_EXIT_OK && o->dry_run) {
		snapshot_describe("checked", o->words[2], state, len);
		config_state_destroy(state);
		return (status);
	}
	if (status == CTL_EXIT_OK && !o->has_change_id)
		status = restore_check_fresh(api, o);
	if (status == CTL_EXIT_OK)
		status = restore_send_all(api, o, state);
	if (status == CTL_EXIT_OK)
		snapshot_describe("restored", o->words[2], state, len);
	config_state_destroy(state);
	return (status);
}
