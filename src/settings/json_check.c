#include "settings/json_check.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"

#define FOUND_MAX   96
#define ALLOWED_MAX 512

typedef struct document {
	json_t *value;
	char *name;
	struct document *next;
} document_t;

struct json_check {
	document_t *documents;
	json_problem_t problems[JSON_ERRORS_MAX];
	int kept;
	int count;
};

json_check_t *
json_check_create(void)
{
	return (calloc(1, sizeof(json_check_t)));
}

void
json_check_destroy(json_check_t *check)
{
	document_t *doc;
	int i;

	if (check == NULL)
		return;
	while ((doc = check->documents) != NULL) {
		check->documents = doc->next;
		json_decref(doc->value);
		free(doc->name);
		free(doc);
	}
	for (i = 0; i < check->kept; i++) {
		free((char *)check->problems[i].path);
		free((char *)check->problems[i].found);
		free((char *)check->problems[i].allowed);
		free((char *)check->problems[i].remedy);
	}
	free(check);
}

static void
add_problem(json_check_t *check, const char *file, const char *path,
    const char *found, const char *allowed, const char *remedy)
{
	json_problem_t *problem;

	check->count++;
	if (check->kept == JSON_ERRORS_MAX)
		return;
	problem = &check->problems[check->kept++];
	problem->file = file;
	problem->path = strdup(path);
	problem->found = strdup(found);
	problem->allowed = strdup(allowed);
	problem->remedy = strdup(remedy);
}

static const char *
text_or_empty(const char *text)
{
	return (text != NULL ? text : "");
}

void
json_join_path(char out[JSON_PATH_MAX], const char *path, const char *field)
{
	const char *separator = path[0] != '\0' && field != NULL ? "." : "";
	int n;

	n = snprintf(out, JSON_PATH_MAX, "%s%s%s", path, separator,
	    text_or_empty(field));
	if (n >= JSON_PATH_MAX)
		memcpy(out + JSON_PATH_MAX - 4, "...", 4);
}

void
json_node_add_error(json_node_t *node, const char *field, const char *found,
    const char *allowed, const char *remedy)
{
	char path[JSON_PATH_MAX];

	json_join_path(path, node->path, field);
	add_problem(node->check, node->file, path, found, allowed, remedy);
}

/* Keeps a document or its name alive until the checker is destroyed. */
static const char *
add_document(json_check_t *check, const char *name, json_t *value)
{
	document_t *doc = calloc(1, sizeof(*doc));

	if (doc == NULL || (doc->name = strdup(name)) == NULL) {
		json_decref(value);
		free(doc);
		return (NULL);
	}
	doc->value = value;
	doc->next = check->documents;
	check->documents = doc;
	return (doc->name);
}

static int
start_root(
    json_check_t *check, const char *name, json_t *value, json_node_t *root)
{
	if (!json_is_object(value)) {
		add_problem(check, root->file, "", "no object",
		    "one JSON object", "put the fields between { and }");
		return (TM_EFORMAT);
	}
	root->value = value;
	return (TM_OK);
}

static void
init_root(json_check_t *check, json_node_t *root)
{
	memset(root, 0, sizeof(*root));
	root->check = check;
	root->file = "";
}

static int
take_document(json_check_t *check, const char *name, json_t *value,
    const json_error_t *error, json_node_t *root)
{
	char found[FOUND_MAX + JSON_ERROR_TEXT_LENGTH];
	const char *kept = add_document(check, name, value);

	if (kept == NULL) {
		add_problem(check, "", "", "memory exhausted", "",
		    error_get_remedy(TM_ENOMEM));
		return (TM_ENOMEM);
	}
	root->file = kept;
	if (value == NULL) {
		snprintf(found, sizeof(found), "line %d, column %d: %s",
		    error->line, error->column, error->text);
		add_problem(check, kept, "", found, "JSON text",
		    "correct the text at that place");
		return (TM_EFORMAT);
	}
	return (start_root(check, name, value, root));
}

int
json_check_load_file(json_check_t *check, const char *file, json_node_t *root)
{
	json_error_t error = { 0 };
	json_t *value;
	FILE *in;

	init_root(check, root);
	in = fopen(file, "re");
	if (in == NULL) {
		const char *why = strerror(errno);
		const char *kept = add_document(check, file, NULL);

		add_problem(check, text_or_empty(kept), "", why,
		    "a readable file", "check the path and the permissions");
		root->file = text_or_empty(kept);
		return (TM_EIO);
	}
	value = json_loadf(in, JSON_REJECT_DUPLICATES, &error);
	fclose(in);
	return (take_document(check, file, value, &error, root));
}

int
json_check_load_text(json_check_t *check, const char *name, const char *text,
    size_t len, json_node_t *root)
{
	json_error_t error = { 0 };
	json_t *value;

	init_root(check, root);
	value = json_loadb(
	    len > 0 ? text : "", len, JSON_REJECT_DUPLICATES, &error);
	return (take_document(check, name, value, &error, root));
}

int
json_check_use_value(
    json_check_t *check, const char *name, json_t *value, json_node_t *root)
{
	init_root(check, root);
	root->file = text_or_empty(add_document(check, name, NULL));
	return (start_root(check, name, value, root));
}

int
json_check_get_error_count(const json_check_t *check)
{
	return (check->count);
}

const json_problem_t *
json_check_get_problem(const json_check_t *check, int index)
{
	if (index < 0 || index >= check->kept)
		return (NULL);
	return (&check->problems[index]);
}

int
json_check_print(const json_check_t *check, FILE *out)
{
	const json_problem_t *p;
	int i;

	for (i = 0; i < check->kept; i++) {
		p = &check->problems[i];
		fprintf(out, "%s: %s%sfound %s; allowed: %s; remedy: %s\n",
		    p->file, text_or_empty(p->path),
		    p->path != NULL && p->path[0] != '\0' ? ": " : "",
		    text_or_empty(p->found), text_or_empty(p->allowed),
		    text_or_empty(p->remedy));
	}
	if (check->count > check->kept)
		fprintf(
		    out, "and %d more errors\n", check->count - check->kept);
	return (check->count);
}

json_t *
json_check_to_json(const json_check_t *check)
{
	json_t *list = json_array();
	const json_problem_t *p;
	int i;

	if (list == NULL)
		return (NULL);
	for (i = 0; i < check->kept; i++) {
		p = &check->problems[i];
		json_array_append_new(list,
		    json_pack("{s:s, s:s, s:s, s:s, s:s}", "file", p->file,
			"field", text_or_empty(p->path), "found",
			text_or_empty(p->found), "allowed",
			text_or_empty(p->allowed), "remedy",
			text_or_empty(p->remedy)));
	}
	return (list);
}

void
json_node_ignore(json_node_t *node, const char *field)
{
	int i;

	for (i = 0; i < node->known_count; i++)
		if (strcmp(node->known[i], field) == 0)
			return;
	if (node->known_count < JSON_FIELDS_MAX)
		node->known[node->known_count++] = field;
}

static int
is_known(const json_node_t *node, const char *field)
{
	int i;

	for (i = 0; i < node->known_count; i++)
		if (strcmp(node->known[i], field) == 0)
			return (1);
	return (0);
}

static void
list_known(const json_node_t *node, char *out, size_t size)
{
	size_t used = 0;
	int i, n;

	out[0] = '\0';
	for (i = 0; i < node->known_count; i++) {
		n = snprintf(out + used, size - used, "%s%s", i > 0 ? ", " : "",
		    node->known[i]);
		if (n < 0 || (size_t)n >= size - used)
			return;
		used += (size_t)n;
	}
}

void
json_node_finish(json_node_t *node)
{
	char allowed[ALLOWED_MAX];
	const char *field;
	json_t *value;

	if (node->value == NULL)
		return;
	list_known(node, allowed, sizeof(allowed));
	json_object_foreach(node->value, field, value)
	{
		if (!is_known(node, field))
			json_node_add_error(node, field, "an unknown field",
			    allowed, "correct its spelling or remove it");
	}
}

json_t *
json_node_get_raw(json_node_t *node, const char *field)
{
	json_t *value;

	json_node_ignore(node, field);
	if (node->value == NULL)
		return (NULL);
	value = json_object_get(node->value, field);
	return (json_is_null(value) ? NULL : value);
}

int
json_node_has(json_node_t *node, const char *field)
{
	return (json_node_get_raw(node, field) != NULL);
}
