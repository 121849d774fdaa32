#include "gate/gate_upload.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "fleet/fleet_defs.h"

typedef struct running_upload {
	uint32_t id;
	gate_upload_item_t as;
	UT_hash_handle hh;
} running_upload_t;

typedef struct ended_list {
	uint32_t ids[GATE_UPLOAD_ENDS_MAX];
	size_t count;
} ended_list_t;

struct gate_upload {
	uint32_t last_id;
	running_upload_t *running;
	ended_list_t ended[GATE_UPLOAD_ENDS];
	Tm__Fleet__UploadBound bounds[GATE_UPLOAD_BOUNDS_MAX];
	Tm__Fleet__UploadBound *bound_pointers[GATE_UPLOAD_BOUNDS_MAX];
	size_t bound_count;
	Tm__Fleet__Upload *reported; /* of the last report */
	Tm__Fleet__Upload **reported_pointers;
};

gate_upload_t *
gate_upload_create(void)
{
	return (calloc(1, sizeof(gate_upload_t)));
}

static void
free_report(gate_upload_t *upload)
{
	free(upload->reported);
	free(upload->reported_pointers);
	upload->reported = NULL;
	upload->reported_pointers = NULL;
}

void
gate_upload_destroy(gate_upload_t *upload)
{
	running_upload_t *item;
	running_upload_t *next;

	if (upload == NULL)
		return;
	HASH_ITER(hh, upload->running, item, next) {
		HASH_DELETE(hh, upload->running, item);
		free(item);
	}
	free_report(upload);
	free(upload);
}

int
gate_upload_counts(int has_uploads, size_t body_bytes)
{
	return (has_uploads && body_bytes > FLEET_UPLOAD_MIN_BYTES);
}

void
gate_upload_set_bounds(
    gate_upload_t *upload, Tm__Fleet__UploadBound *const *bounds, size_t count)
{
	size_t i;

	if (count == 0)
		return;
	if (count > GATE_UPLOAD_BOUNDS_MAX)
		count = GATE_UPLOAD_BOUNDS_MAX;
	for (i = 0; i < count; i++) {
		tm__fleet__upload_bound__init(&upload->bounds[i]);
		upload->bounds[i].service = bounds[i]->service;
		upload->bounds[i].bytes = bounds[i]->bytes;
		upload->bound_pointers[i] = &upload->bounds[i];
	}
	upload->bound_count = count;
}

uint64_t
gate_upload_get_bound(const gate_upload_t *upload, uint64_t service)
{
	size_t i;

	for (i = 0; i < upload->bound_count; i++) {
		if (upload->bounds[i].service == service)
			return (upload->bounds[i].bytes);
	}
	return (0);
}

uint32_t
gate_upload_begin(gate_upload_t *upload, const gate_upload_item_t *item)
{
	running_upload_t *added = calloc(1, sizeof(*added));

	if (added == NULL)
		return (0);
	if (++upload->last_id == 0)
		upload->last_id = 1;
	added->id = upload->last_id;
	added->as = *item;
	HASH_ADD(hh, upload->running, id, sizeof(added->id), added);
	return (added->id);
}

static running_upload_t *
find(const gate_upload_t *upload, uint32_t id)
{
	running_upload_t *item;

	HASH_FIND(hh, upload->running, &id, sizeof(id), item);
	return (item);
}

void
gate_upload_set_target(gate_upload_t *upload, uint32_t id, uint64_t target,
    uint64_t incarnation_ms)
{
	running_upload_t *item = find(upload, id);

	if (item == NULL)
		return;
	item->as.target = target;
	item->as.incarnation_ms = incarnation_ms;
}

void
gate_upload_finish(gate_upload_t *upload, uint32_t id, gate_upload_end_t how)
{
	running_upload_t *item = find(upload, id);
	ended_list_t *ended = &upload->ended[how];

	if (item == NULL)
		return;
	HASH_DELETE(hh, upload->running, item);
	free(item);
	if (ended->count < GATE_UPLOAD_ENDS_MAX)
		ended->ids[ended->count++] = id;
}

int
gate_upload_has_share(const gate_upload_t *upload,
    const gate_upload_item_t *item, const gate_upload_fleet_t *fleet)
{
	double bound = (double)gate_upload_get_bound(upload, item->service);
	double share = GATE_UPLOAD_ALONE_SHARE * bound / fleet->gates;
	double at_target = item->bytes;
	double at_service = item->bytes;
	int has_any = 0;
	const running_upload_t *other;

	if (bound == 0)
		return (1);
	for (other = upload->running; other != NULL; other = other->hh.next) {
		if (other->as.service != item->service)
			continue;
		at_service += other->as.bytes;
		if (other->as.target != item->target)
			continue;
		at_target += other->as.bytes;
		has_any = 1;
	}
	return (at_service <= share * fleet->targets &&
	    (!has_any || at_target <= share));
}

int
gate_upload_has_ends(const gate_upload_t *upload)
{
	int how;

	for (how = 0; how < GATE_UPLOAD_ENDS; how++) {
		if (upload->ended[how].count > 0)
			return (1);
	}
	return (0);
}

static void
fill_running(gate_upload_t *upload, int64_t now_ms, Tm__Fleet__Uploads *out)
{
	size_t count = HASH_COUNT(upload->running);
	const running_upload_t *item;
	Tm__Fleet__Upload *msg;

	free_report(upload);
	upload->reported = calloc(count + 1, sizeof(Tm__Fleet__Upload));
	upload->reported_pointers =
	    calloc(count + 1, sizeof(Tm__Fleet__Upload *));
	if (upload->reported == NULL || upload->reported_pointers == NULL)
		return;
	out->running = upload->reported_pointers;
	for (item = upload->running; item != NULL; item = item->hh.next) {
		if (item->as.deadline_ms <= now_ms)
			continue;
		msg = &upload->reported[out->n_running];
		tm__fleet__upload__init(msg);
		msg->id = item->id;
		msg->target = item->as.target;
		msg->born_ms = item->as.incarnation_ms;
		msg->service = item->as.service;
		msg->bytes = item->as.bytes;
		msg->left_ms = (uint32_t)(item->as.deadline_ms - now_ms);
		out->running[out->n_running++] = msg;
	}
}

int
gate_upload_fill(
    gate_upload_t *upload, int is_full, int64_t now_ms, Tm__Fleet__Uploads *out)
{
	tm__fleet__uploads__init(out);
	out->answered = upload->ended[GATE_UPLOAD_ANSWERED].ids;
	out->n_answered = upload->ended[GATE_UPLOAD_ANSWERED].count;
	out->unanswered = upload->ended[GATE_UPLOAD_UNANSWERED].ids;
	out->n_unanswered = upload->ended[GATE_UPLOAD_UNANSWERED].count;
	out->broken = upload->ended[GATE_UPLOAD_BROKEN].ids;
	out->n_broken = upload->ended[GATE_UPLOAD_BROKEN].count;
	if (is_full) {
		fill_running(upload, now_ms, out);
		out->bounds = upload->bound_pointers;
		out->n_bounds = upload->bound_count;
	}
	return (gate_upload_has_ends(upload) || out->n_running > 0 ||
	    out->n_bounds > 0);
}

void
gate_upload_clear_report(gate_upload_t *upload)
{
	int how;

	for (how = 0; how < GATE_UPLOAD_ENDS; how++)
		upload->ended[how].count = 0;
}
