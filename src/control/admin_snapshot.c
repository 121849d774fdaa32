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

	if (bytes == NULL) {
		admin_send_error(req, TM_ENOMEM, "snapshot", NULL);
		return;
	}
	h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CACHE_CONTROL,
	    NULL, H2O_STRLIT("no-store"));
	http_request_reply(
	    req, 200, "application/octet-stream", (char *)bytes, len);
	free(bytes);
}
