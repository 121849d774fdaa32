/**
 * @file
 * Checker over jansson for settings files and request bodies. Every problem
 * is collected with its file, field path, what was found, what is allowed and
 * the remedy; nothing stops at the first error. Getters return the default or
 * a harmless value after an error, so the caller reads all fields and looks
 * at json_check_get_error_count() once at the end.
 *
 * @code
 * json_check_t *check = json_check_create();
 * json_node_t root;
 *
 * json_check_load_file(check, path, &root);
 * node = json_need_name(&root, "node");
 * retry_ms = json_opt_int(&root, "retry_ms", 1, 60000, "ms", 200);
 * json_node_finish(&root);
 * if (json_check_print(check, stderr) > 0)
 *	return (1);
 * @endcode
 *
 * Texts and values are borrowed from the documents that the checker holds and
 * stay valid until json_check_destroy().
 */
#ifndef TM_SETTINGS_JSON_CHECK_H
#define TM_SETTINGS_JSON_CHECK_H

#include <netinet/in.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <jansson.h>

/** Longest field path; a longer one is cut. */
#define JSON_PATH_MAX 192
/** Fields of one object that can be told apart as known. */
#define JSON_FIELDS_MAX 48
/** Errors that are kept; further ones are only counted. */
#define JSON_ERRORS_MAX 200
/** Length of a SHA-256 digest. */
#define JSON_SHA256_BYTES 32

typedef struct json_check json_check_t;

/** One problem; the texts belong to the checker. */
typedef struct json_problem {
	const char *file;
	const char *path; /**< field path, e.g. control_vms[1].address */
	const char *found;
	const char *allowed;
	const char *remedy;
} json_problem_t;

/**
 * An object that is being read. Filled in by json_check_load_*(),
 * json_need_object() and json_list_get_object(); holds no memory of its own.
 */
typedef struct json_node {
	json_check_t *check;
	json_t *value; /**< borrowed; NULL if the object is missing or wrong */
	const char *file;
	char path[JSON_PATH_MAX];
	const char *known[JSON_FIELDS_MAX];
	int known_count;
} json_node_t;

/** Creates a checker without documents. @return NULL if memory is exhausted */
json_check_t *json_check_create(void);

/** Frees a checker, its documents and its errors; NULL is allowed. */
void json_check_destroy(json_check_t *check);

/**
 * Reads a file that holds one JSON object.
 *
 * @param root  filled in always; its value is NULL after an error
 * @return      0, or TM_EIO or TM_EFORMAT with the error collected
 */
int json_check_load_file(
    json_check_t *check, const char *file, json_node_t *root);

/**
 * Reads a text that holds one JSON object.
 *
 * @param name  stands for the file name in errors, e.g. "request body"
 * @return      0, or TM_EFORMAT with the error collected
 */
int json_check_load_text(json_check_t *check, const char *name,
    const char *text, size_t len, json_node_t *root);

/**
 * Starts at a value that the caller parsed and keeps alive.
 *
 * @return 0, or TM_EFORMAT with the error collected if it is no object
 */
int json_check_use_value(
    json_check_t *check, const char *name, json_t *value, json_node_t *root);

/** @return number of errors collected so far, also those not kept */
int json_check_get_error_count(const json_check_t *check);

/** @return a kept error, or NULL if index is out of range */
const json_problem_t *json_check_get_problem(
    const json_check_t *check, int index);

/** Writes all errors, one per line. @return number of errors */
int json_check_print(const json_check_t *check, FILE *out);

/**
 * Errors as a JSON list of {file, field, found, allowed, remedy}.
 *
 * @return new reference, or NULL if memory is exhausted
 */
json_t *json_check_to_json(const json_check_t *check);

/**
 * Adds an error about a field, for rules that the getters do not cover.
 *
 * @param field  field name within the node; NULL for the node itself
 */
void json_node_add_error(json_node_t *node, const char *field,
    const char *found, const char *allowed, const char *remedy);

/**
 * Reports each field that no getter has asked for. Call it after all getters
 * of the object.
 */
void json_node_finish(json_node_t *node);

/** Declares a field as known without reading it. */
void json_node_ignore(json_node_t *node, const char *field);

/** @return 1 if the field is present and not null, else 0 */
int json_node_has(json_node_t *node, const char *field);

/** @return the raw value, marked as known; NULL if absent */
json_t *json_node_get_raw(json_node_t *node, const char *field);

/**
 * Text of min to max bytes without control characters.
 *
 * @return the text; "" after an error
 */
const char *json_need_text(
    json_node_t *node, const char *field, size_t min, size_t max);

/** As json_need_text(), with a default (may be NULL) if it is absent. */
const char *json_opt_text(json_node_t *node, const char *field, size_t min,
    size_t max, const char *def);

/** Name by the rule of node_name_is_valid(). @return "" after an error */
const char *json_need_name(json_node_t *node, const char *field);

/** As json_need_name(), with a default (may be NULL) if it is absent. */
const char *json_opt_name(
    json_node_t *node, const char *field, const char *def);

/**
 * Integer between min and max.
 *
 * @param unit  for the error text, e.g. "ms"; may be ""
 * @return      the number; min after an error
 */
int64_t json_need_int(json_node_t *node, const char *field, int64_t min,
    int64_t max, const char *unit);

/** As json_need_int(), with a default if it is absent or wrong. */
int64_t json_opt_int(json_node_t *node, const char *field, int64_t min,
    int64_t max, const char *unit, int64_t def);

/** Integer or fraction between min and max; min after an error. */
double json_need_real(json_node_t *node, const char *field, double min,
    double max, const char *unit);

/** As json_need_real(), with a default if it is absent or wrong. */
double json_opt_real(json_node_t *node, const char *field, double min,
    double max, const char *unit, double def);

/** @return 0 or 1; 0 after an error */
int json_need_bool(json_node_t *node, const char *field);

/** As json_need_bool(), with a default if it is absent or wrong. */
int json_opt_bool(json_node_t *node, const char *field, int def);

/**
 * One of a list of words.
 *
 * @param words  ends with NULL
 * @return       index into words; 0 after an error
 */
int json_need_enum(
    json_node_t *node, const char *field, const char *const *words);

/** As json_need_enum(), with a default if it is absent or wrong. */
int json_opt_enum(
    json_node_t *node, const char *field, const char *const *words, int def);

/**
 * IPv4 address with port, "a.b.c.d:port"; port 0 is an error.
 *
 * @param addr  set to 0.0.0.0:0 after an error
 * @return      1 if valid, else 0
 */
int json_need_address(
    json_node_t *node, const char *field, struct sockaddr_in *addr);

/** As json_need_address(); an absent field returns 0 without an error. */
int json_opt_address(
    json_node_t *node, const char *field, struct sockaddr_in *addr);

/**
 * SHA-256 digest as 64 hexadecimal digits.
 *
 * @return 1 if valid; 0 after an error, with the digest set to zeros
 */
int json_need_sha256(
    json_node_t *node, const char *field, uint8_t digest[JSON_SHA256_BYTES]);

/** Enters an object. @return 1 if present, else 0 and child->value is NULL */
int json_need_object(json_node_t *node, const char *field, json_node_t *child);

/** As json_need_object(); an absent field is no error. */
int json_opt_object(json_node_t *node, const char *field, json_node_t *child);

/**
 * List of min to max elements.
 *
 * @param what  what an element is, for the error text, e.g. "control VMs"
 * @return      number of elements; 0 after an error
 */
int json_need_list(
    json_node_t *node, const char *field, int min, int max, const char *what);

/** As json_need_list(); an absent field counts as an empty list. */
int json_opt_list(
    json_node_t *node, const char *field, int min, int max, const char *what);

/** Enters an element that must be an object. @return 1 if it is, else 0 */
int json_list_get_object(
    json_node_t *node, const char *field, int index, json_node_t *child);

/** Element that must be a text. @return "" after an error */
const char *json_list_get_text(
    json_node_t *node, const char *field, int index, size_t min, size_t max);

/** Element that must be an integer. @return min after an error */
int64_t json_list_get_int(json_node_t *node, const char *field, int index,
    int64_t min, int64_t max, const char *unit);

/** Element that must be an "ip:port". @return 1 if valid, else 0 */
int json_list_get_address(
    json_node_t *node, const char *field, int index, struct sockaddr_in *addr);

/**
 * Joins the path of an object and a field name; a long path is cut.
 *
 * @param field  NULL for the object itself
 */
void json_join_path(
    char out[JSON_PATH_MAX], const char *path, const char *field);

/**
 * Parses "a.b.c.d:port".
 *
 * @param allow_any_port  1 accepts port 0
 * @return                0 or TM_EFORMAT
 */
int json_parse_address(
    const char *text, int allow_any_port, struct sockaddr_in *addr);

#endif
