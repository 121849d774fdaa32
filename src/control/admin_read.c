#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "config/config_json.h"
#include "config/config_object.h"
#include "control/admin_internal.h"

/* Reads limit; sends the error itself. @return 0 if the request is bad */
static size_t
admin_get_limit(admin_request_t *request)
{
	char text[ADMIN_TEXT_MAX];
	uint64_t limit = ADMIN_PAGE_DEFAULT;

	if (admin_get_query(request->req, "limit", text, sizeof(text)) ==
		TM_OK &&
	    (admin_parse_number(text, &limit) != TM_OK || limit == 0 ||
		limit > ADMIN_PAGE_MAX)) {
		admin_send_error(request->req, TM_EINVAL,
		    "limit must be a number from 1 to 1000", NULL);
		return (0);
	}
	return ((size_t)limit);
}

void
admin_handle_list(admin_request_t *request)
{
	config_state_t *state = control_get_state(request->api->control);
	const config_object_t *objects[ADMIN_PAGE_MAX + 1];
	size_t limit = admin_get_limit(request);
	char after[ADMIN_TEXT_MAX] = "";
	json_t *items;
	size_t count;
	size_t i;

	if (limit == 0)
		return;
	(void)admin_get_query(request->req, "after", after, sizeof(after));
	count =
	    config_state_list(state, request->kind, after, objects, limit + 1);
	items = json_array();
	for (i = 0; i < count && i < limit; i++)
		json_array_append_new(
		    items, config_json_write_object(objects[i]));
	admin_send(request->req, 200,
	    json_pack("{s:o, s:s?, s:I}", "items", items, "next",
		count > limit ? objects[limit - 1]->name : NULL, "version",
		(json_int_t)config_state_get_index(state)));
}

void
admin_handle_get(admin_request_t *request)
{
	const config_object_t *object =
	    config_state_find(control_get_state(request->api->control),
		request->kind, request->name);

	if (object == NULL)
		admin_send_error(request->req, TM_ENOENT, request->name, NULL);
	else
		admin_send(request->req, 200, config_json_write_object(object));
}

void
admin_handle_history(admin_request_t *request)
{
	config_state_t *state = control_get_state(request->api->control);
	size_t limit = admin_get_limit(request);
	config_audit_t *lines;
	char after[ADMIN_TEXT_MAX];
	uint64_t before = 0;
	json_t *items;
	size_t count;
	size_t i;

	if (limit == 0)
		return;
	if (admin_get_query(request->req, "after", after, sizeof(after)) ==
		TM_OK &&
	    admin_parse_number(after, &before) != TM_OK) {
		admin_send_error(
		    request->req, TM_EINVAL, "after must be a version", NULL);
		return;
	}
	lines = calloc(limit, sizeof(*lines));
	if (lines == NULL) {
		admin_send_error(request->req, TM_ENOMEM, "history", NULL);
		return;
	}
	count = config_state_get_audit(state, before, lines, limit);
	items = json_array();
	for (i = 0; i < count; i++)
		json_array_append_new(items,
		    json_pack("{s:I, s:I, s:s, s:s, s:s, s:s}", "version",
			(json_int_t)lines[i].version, "wall_ms",
			(json_int_t)lines[i].wall_ms, "actor", lines[i].actor,
			"op",
			lines[i].op == CONFIG_OP_DELETE ? "delete" : "put",
			"kind", config_kind_get_name(lines[i].kind), "name",
			lines[i].name));
	admin_send(request->req, 200, json_pack("{s:o}", "items", items));
	free(lines);
}

void
admin_handle_status(admin_request_t *request)
{
	admin_send(
	    request->req, 200, control_get_status(request->api->control));
}

void
admin_handle_metrics(admin_request_t *request)
{
	size_t len;
	char *text = control_format_metrics(request->api->control, &len);

	if (text == NULL) {
		admin_send_error(request->req, TM_ENOMEM, "metrics", NULL);
		return;
	}
	http_request_reply(
	    request->req, 200, "text/plain; version=0.0.4", text, len);
	free(text);
}

#ifdef TM_TEST_HOOKS
void
admin_handle_drop(admin_request_t *request)
{
	char to[ADMIN_TEXT_MAX];
	char on[ADMIN_TEXT_MAX] = "1";
	int err = TM_EINVAL;

	(void)admin_get_query(request->req, "on", on, sizeof(on));
	if (admin_get_query(request->req, "to", to, sizeof(to)) == TM_OK)
		err = control_set_drop(
		    request->api->control, node_id_from_name(to), on[0] == '1');
	admin_send(request->req, err == TM_OK ? 200 : 400,
	    json_pack("{s:s}", "result", error_get_text(err)));
}
#endif
