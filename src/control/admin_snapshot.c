#include <stdlib.h>

#include "base/error.h"
#include "control/admin_internal.h"

void
admin_handle_snapshot(admin_request_t *request)
{
	const config_state_t *state = control_get_state(request->api->control);
	h2o_req_t *req = request->req;
	size_t len;
	uint8_t *bytes = config_snapshot_encode(state, &len);
	char *copy;

	if (bytes == NULL) {
		admin_send_error(req, TM_ENOMEM, "snapshot", NULL);
		return;
	}
	copy = h2o_strdup(&req->pool, (char *)bytes, len).base;
	free(bytes);
	req->res.status = 200;
	req->res.reason = "OK";
	req->res.content_length = len;
	h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE,
	    NULL, H2O_STRLIT("application/octet-stream"));
	h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CACHE_CONTROL,
	    NULL, H2O_STRLIT("no-store"));
	http_request_send_body(req, copy, len);
}
