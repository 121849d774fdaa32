#include "settings/json_check.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/hex.h"
#include "base/node_defs.h"

#define FOUND_MAX   96
#define ALLOWED_MAX 512

static const char *
text_or_empty(const char *text)
{
	return (text != NULL ? text : "");
}

/* Describes a value for the "found" part of an error. */
static void
describe(const json_t *value, char out[FOUND_MAX])
{
	char *text;

	if (value == NULL) {
		snprintf(out, FOUND_MAX, "nothing");
		return;
	}
	if (json_is_object(value) || json_is_array(value)) {
		snprintf(out, FOUND_MAX, "%s",
		    json_is_object(value) ? "an object" : "a list");
		return;
	}
	text = json_dumps(value, JSON_ENCODE_ANY | JSON_ENSURE_ASCII);
	snprintf(out, FOUND_MAX, "%s", text_or_empty(text));
	if (text != NULL && strlen(text) >= FOUND_MAX)
		memcpy(out + FOUND_MAX - 4, "...", 4);
	free(text);
}

static void
add_mismatch(json_node_t *node, const char *field, const json_t *value,
    const char *allowed)
{
	char found[FOUND_MAX];
	char remedy[JSON_PATH_MAX];

	/* Without its object, a field was already reported. */
	if (node->value == NULL)
		return;
	describe(value, found);
	snprintf(remedy, sizeof(remedy),
	    value == NULL ? "add the field \"%s\""
			  : "set \"%s\" to an allowed value",
	    field);
	json_node_add_error(node, field, found, allowed, remedy);
}

static int
is_printable(const char *text, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++)
		if ((unsigned char)text[i] < 0x20 || text[i] == 0x7f)
			return (0);
	return (1);
}

static const char *
take_text(json_node_t *node, const char *field, const json_t *value, size_t min,
    size_t max)
{
	char allowed[ALLOWED_MAX];
	size_t len = json_string_length(value);

	if (json_is_string(value) && len >= min && len <= max &&
	    is_printable(json_string_value(value), len))
		return (json_string_value(value));
	snprintf(allowed, sizeof(allowed),
	    "a text of %zu to %zu bytes without control characters", min, max);
	add_mismatch(node, field, value, allowed);
	return ("");
}

const char *
json_need_text(json_node_t *node, const char *field, size_t min, size_t max)
{
	return (
	    take_text(node, field, json_node_get_raw(node, field), min, max));
}

const char *
json_opt_text(json_node_t *node, const char *field, size_t min, size_t max,
    const char *def)
{
	if (!json_node_has(node, field))
		return (def);
	return (json_need_text(node, field, min, max));
}

const char *
json_need_name(json_node_t *node, const char *field)
{
	const json_t *value = json_node_get_raw(node, field);

	if (json_is_string(value) &&
	    json_string_length(value) == strlen(json_string_value(value)) &&
	    node_name_is_valid(json_string_value(value)))
		return (json_string_value(value));
	add_mismatch(node, field, value,
	    "a name of 1 to 63 characters A-Z a-z 0-9 . _ -, the first a "
	    "letter or digit");
	return ("");
}

const char *
json_opt_name(json_node_t *node, const char *field, const char *def)
{
	if (!json_node_has(node, field))
		return (def);
	return (json_need_name(node, field));
}

static int
take_int(json_node_t *node, const char *field, const json_t *value, int64_t min,
    int64_t max, const char *unit, int64_t *out)
{
	char allowed[ALLOWED_MAX];

	*out = json_integer_value(value);
	if (json_is_integer(value) && *out >= min && *out <= max)
		return (1);
	snprintf(allowed, sizeof(allowed),
	    "an integer from %" PRId64 " to %" PRId64 "%s%s", min, max,
	    unit[0] != '\0' ? " " : "", unit);
	add_mismatch(node, field, value, allowed);
	return (0);
}

int64_t
json_need_int(json_node_t *node, const char *field, int64_t min, int64_t max,
    const char *unit)
{
	return (json_opt_int(node, field, min, max, unit, INT64_MIN));
}

int64_t
json_opt_int(json_node_t *node, const char *field, int64_t min, int64_t max,
    const char *unit, int64_t def)
{
	const json_t *value = json_node_get_raw(node, field);
	int64_t number;

	/* INT64_MIN marks a required field; its harmless value is min. */
	if (value == NULL && def != INT64_MIN)
		return (def);
	if (take_int(node, field, value, min, max, unit, &number))
		return (number);
	return (def != INT64_MIN ? def : min);
}

static int
take_real(json_node_t *node, const char *field, const json_t *value, double min,
    double max, const char *unit, double *out)
{
	char allowed[ALLOWED_MAX];

	*out = json_number_value(value);
	if (json_is_number(value) && *out >= min && *out <= max)
		return (1);
	snprintf(allowed, sizeof(allowed), "a number from %g to %g%s%s", min,
	    max, unit[0] != '\0' ? " " : "", unit);
	add_mismatch(node, field, value, allowed);
	return (0);
}

double
json_need_real(json_node_t *node, const char *field, double min, double max,
    const char *unit)
{
	const json_t *value = json_node_get_raw(node, field);
	double number;

	return (take_real(node, field, value, min, max, unit, &number) ? number
								       : min);
}

double
json_opt_real(json_node_t *node, const char *field, double min, double max,
    const char *unit, double def)
{
	const json_t *value = json_node_get_raw(node, field);
	double number;

	if (value == NULL)
		return (def);
	return (take_real(node, field, value, min, max, unit, &number) ? number
								       : def);
}

static int
take_bool(json_node_t *node, const char *field, const json_t *value, int def)
{
	if (json_is_boolean(value))
		return (json_is_true(value));
	add_mismatch(node, field, value, "true or false");
	return (def);
}

int
json_need_bool(json_node_t *node, const char *field)
{
	return (take_bool(node, field, json_node_get_raw(node, field), 0));
}

int
json_opt_bool(json_node_t *node, const char *field, int def)
{
	if (!json_node_has(node, field))
		return (def);
	return (take_bool(node, field, json_node_get_raw(node, field), def));
}

static int
take_enum(json_node_t *node, const char *field, const json_t *value,
    const char *const *words, int def)
{
	char allowed[ALLOWED_MAX] = "";
	size_t used = 0;
	int i, n;

	for (i = 0; words[i] != NULL; i++) {
		if (json_is_string(value) &&
		    strcmp(words[i], json_string_value(value)) == 0)
			return (i);
		n = snprintf(allowed + used, sizeof(allowed) - used, "%s\"%s\"",
		    i > 0 ? " or " : "", words[i]);
		if (n > 0 && (size_t)n < sizeof(allowed) - used)
			used += (size_t)n;
	}
	add_mismatch(node, field, value, allowed);
	return (def);
}

int
json_need_enum(json_node_t *node, const char *field, const char *const *words)
{
	return (
	    take_enum(node, field, json_node_get_raw(node, field), words, 0));
}

int
json_opt_enum(
    json_node_t *node, const char *field, const char *const *words, int def)
{
	if (!json_node_has(node, field))
		return (def);
	return (
	    take_enum(node, field, json_node_get_raw(node, field), words, def));
}

int
json_parse_address(
    const char *text, int allow_any_port, struct sockaddr_in *addr)
{
	char host[INET_ADDRSTRLEN];
	const char *colon = strchr(text, ':');
	const char *p;
	long port = 0;

	memset(addr, 0, sizeof(*addr));
	if (colon == NULL || (size_t)(colon - text) >= sizeof(host))
		return (TM_EFORMAT);
	memcpy(host, text, (size_t)(colon - text));
	host[colon - text] = '\0';
	if (inet_pton(AF_INET, host, &addr->sin_addr) != 1)
		return (TM_EFORMAT);
	for (p = colon + 1; *p >= '0' && *p <= '9' && port <= UINT16_MAX; p++)
		port = port * 10 + (*p - '0');
	if (*p != '\0' || p == colon + 1 || port > UINT16_MAX ||
	    (port == 0 && !allow_any_port)) {
		addr->sin_addr.s_addr = 0;
		return (TM_EFORMAT);
	}
	addr->sin_family = AF_INET;
	addr->sin_port = htons((uint16_t)port);
	return (TM_OK);
}

static int
take_address(json_node_t *node, const char *field, const json_t *value,
    struct sockaddr_in *addr)
{
	memset(addr, 0, sizeof(*addr));
	if (json_is_string(value) &&
	    json_parse_address(json_string_value(value), 0, addr) == TM_OK)
		return (1);
	add_mismatch(node, field, value,
	    "an IPv4 address with a port from 1 to 65535, e.g. "
	    "\"10.0.0.1:8080\"");
	return (0);
}

int
json_need_address(
    json_node_t *node, const char *field, struct sockaddr_in *addr)
{
	return (
	    take_address(node, field, json_node_get_raw(node, field), addr));
}

int
json_opt_address(json_node_t *node, const char *field, struct sockaddr_in *addr)
{
	memset(addr, 0, sizeof(*addr));
	if (!json_node_has(node, field))
		return (0);
	return (json_need_address(node, field, addr));
}

int
json_need_sha256(
    json_node_t *node, const char *field, uint8_t digest[JSON_SHA256_BYTES])
{
	const json_t *value = json_node_get_raw(node, field);
	const char *text = text_or_empty(json_string_value(value));
	int i, high, low;

	if (strlen(text) == (size_t)2 * JSON_SHA256_BYTES) {
		for (i = 0; i < JSON_SHA256_BYTES; i++) {
			high = hex_get_digit(text[2 * i]);
			low = hex_get_digit(text[2 * i + 1]);
			if (high < 0 || low < 0)
				break;
			digest[i] = (uint8_t)(high << 4 | low);
		}
		if (i == JSON_SHA256_BYTES)
			return (1);
	}
	memset(digest, 0, JSON_SHA256_BYTES);
	add_mismatch(node, field, value, "64 hexadecimal digits of a SHA-256");
	return (0);
}

static int
enter_object(
    json_node_t *node, const char *field, json_t *value, json_node_t *child)
{
	memset(child, 0, sizeof(*child));
	child->check = node->check;
	child->file = node->file;
	json_join_path(child->path, node->path, field);
	if (json_is_object(value)) {
		child->value = value;
		return (1);
	}
	add_mismatch(node, field, value, "an object");
	return (0);
}

int
json_need_object(json_node_t *node, const char *field, json_node_t *child)
{
	return (
	    enter_object(node, field, json_node_get_raw(node, field), child));
}

int
json_opt_object(json_node_t *node, const char *field, json_node_t *child)
{
	if (json_node_has(node, field))
		return (json_need_object(node, field, child));
	memset(child, 0, sizeof(*child));
	child->check = node->check;
	child->file = node->file;
	json_join_path(child->path, node->path, field);
	return (0);
}

int
json_need_list(
    json_node_t *node, const char *field, int min, int max, const char *what)
{
	char allowed[ALLOWED_MAX];
	const json_t *value = json_node_get_raw(node, field);
	size_t count = json_array_size(value);

	if (json_is_array(value) && count >= (size_t)min &&
	    count <= (size_t)max)
		return ((int)count);
	snprintf(
	    allowed, sizeof(allowed), "a list of %d to %d %s", min, max, what);
	if (json_is_array(value)) {
		char found[FOUND_MAX];

		snprintf(found, sizeof(found), "a list of %zu", count);
		json_node_add_error(
		    node, field, found, allowed, "add or remove elements");
	} else {
		add_mismatch(node, field, value, allowed);
	}
	return (0);
}

int
json_opt_list(
    json_node_t *node, const char *field, int min, int max, const char *what)
{
	if (!json_node_has(node, field))
		return (0);
	return (json_need_list(node, field, min, max, what));
}

static json_t *
get_element(
    json_node_t *node, const char *field, int index, char name[JSON_PATH_MAX])
{
	snprintf(name, JSON_PATH_MAX, "%s[%d]", field, index);
	return (json_array_get(json_node_get_raw(node, field), (size_t)index));
}

int
json_list_get_object(
    json_node_t *node, const char *field, int index, json_node_t *child)
{
	char name[JSON_PATH_MAX];
	json_t *value = get_element(node, field, index, name);

	return (enter_object(node, name, value, child));
}

const char *
json_list_get_text(
    json_node_t *node, const char *field, int index, size_t min, size_t max)
{
	char name[JSON_PATH_MAX];
	const json_t *value = get_element(node, field, index, name);

	return (take_text(node, name, value, min, max));
}

int64_t
json_list_get_int(json_node_t *node, const char *field, int index, int64_t min,
    int64_t max, const char *unit)
{
	char name[JSON_PATH_MAX];
	const json_t *value = get_element(node, field, index, name);
	int64_t number;

	return (take_int(node, name, value, min, max, unit, &number) ? number
								     : min);
}

int
json_list_get_address(
    json_node_t *node, const char *field, int index, struct sockaddr_in *addr)
{
	char name[JSON_PATH_MAX];
	const json_t *value = get_element(node, field, index, name);

	return (take_address(node, name, value, addr));
}
