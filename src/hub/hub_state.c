#include "hub/hub_state.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "fleet/zip.h"

hub_state_t *
hub_state_create(void)
{
	return (calloc(1, sizeof(hub_state_t)));
}

void
hub_document_release(hub_document_t *document)
{
	free(document->zipped);
	free(document->services);
	*document = (hub_document_t){ .version = 0 };
}

static void
state_clear(hub_state_t *state)
{
	hub_target_t *target;
	hub_target_t *next;

	HASH_CLEAR(by_address, state->addresses);
	HASH_ITER(hh, state->targets, target, next) {
		HASH_DELETE(hh, state->targets, target);
		free(target);
	}
	hub_document_release(&state->document);
	state->has_document = 0;
	state->hub_count = 0;
	free(state->ejected);
	state->ejected = NULL;
	state->ejected_count = 0;
	free(state->blocked);
	state->blocked = NULL;
	state->blocked_count = 0;
	state->evacuations.count = 0;
}

void
hub_state_destroy(hub_state_t *state)
{
	if (state == NULL)
		return;
	state_clear(state);
	free(state);
}

hub_target_t *
hub_state_find_target(const hub_state_t *state, uint64_t key)
{
	hub_target_t *target;

	HASH_FIND(hh, state->targets, &key, sizeof(key), target);
	return (target);
}

static uint64_t
make_address(uint32_t ip, uint16_t port)
{
	return ((uint64_t)ip << 16 | port);
}

hub_target_t *
hub_state_find_address(const hub_state_t *state, uint32_t ip, uint16_t port)
{
	uint64_t address = make_address(ip, port);
	hub_target_t *target;

	HASH_FIND(
	    by_address, state->addresses, &address, sizeof(address), target);
	return (target);
}

static void
remove_from_index(hub_state_t *state, hub_target_t *target)
{
	if (target->address != 0)
		HASH_DELETE(by_address, state->addresses, target);
	target->address = 0;
}

static void
add_to_index(hub_state_t *state, hub_target_t *target)
{
	if (target->as.state == FLEET_TARGET_DEREGISTERED)
		return;
	target->address = make_address(target->as.ip, target->as.port);
	HASH_ADD(by_address, state->addresses, address, sizeof(target->address),
	    target);
}

uint64_t
hub_target_get_sequence(const hub_target_t *target)
{
	if (target->as.born_ms == 0)
		return (0);
	if (target->heard_born_ms != target->as.born_ms ||
	    target->heard_sequence < target->as.sequence)
		return (target->as.sequence);
	return (target->heard_sequence);
}

int
hub_state_has_hub(const hub_state_t *state, const char *name)
{
	int i;

	for (i = 0; i < state->hub_count; i++) {
		if (strcmp(state->hubs[i], name) == 0)
			return (1);
	}
	return (0);
}

static int
copy_name(char *out, size_t size, const char *text)
{
	size_t len = strlen(text);

	if (len == 0 || len >= size)
		return (0);
	memcpy(out, text, len + 1);
	return (1);
}

int
hub_target_from_message(
    const Tm__Fleet__Target *msg, dialect_announcement_t *as)
{
	memset(as, 0, sizeof(*as));
	if (!copy_name(as->id, sizeof(as->id), msg->id) ||
	    !copy_name(as->service, sizeof(as->service), msg->service) ||
	    !copy_name(as->zone, sizeof(as->zone), msg->zone) ||
	    msg->state > FLEET_TARGET_DEREGISTERED || msg->port == 0 ||
	    msg->port > UINT16_MAX)
		return (0);
	as->born_ms = msg->born_ms;
	as->sequence = msg->sequence;
	as->ip = msg->ip;
	as->port = (uint16_t)msg->port;
	as->slots = msg->slots;
	as->state = (fleet_target_state_t)msg->state;
	as->cold_left_ms = msg->cold_left_ms;
	return (1);
}

static int
compare_hashes(const void *a, const void *b)
{
	const uint64_t *left = a;
	const uint64_t *right = b;

	return ((*left > *right) - (*left < *right));
}

/* @return 1 also while the services of the document are not known */
static int
names_service(const hub_document_t *document, const char *service)
{
	uint64_t hash = fleet_name_hash(service);

	return (document->service_count == 0 ||
	    bsearch(&hash, document->services, document->service_count,
		sizeof(hash), compare_hashes) != NULL);
}

int
hub_state_compare_services(const hub_state_t *state,
    const dialect_announcement_t *as, const hub_target_t *target)
{
	/* Nearly all announcements repeat what is known. */
	if (strcmp(as->service, target->as.service) == 0)
		return (0);
	return (names_service(&state->document, as->service) -
	    names_service(&state->document, target->as.service));
}

int
hub_state_may_return(const hub_state_t *state, const hub_target_t *known,
    const dialect_announcement_t *as)
{
	const hub_target_t *owner =
	    hub_state_find_address(state, as->ip, as->port);

	return (known->is_displaced && known->as.born_ms == as->born_ms &&
	    as->sequence >= known->as.sequence && owner != NULL &&
	    hub_state_compare_services(state, as, owner) > 0);
}

/* @return 1 if an entry was proposed before one that is applied. The end of a
 * registration has the sequence that was known when it was decided. */
static int
is_outdated(const hub_target_t *known, const dialect_announcement_t *as)
{
	if (as->born_ms != known->as.born_ms || as->born_ms == 0)
		return (as->born_ms < known->as.born_ms);
	return (known->as.state == FLEET_TARGET_DEREGISTERED ||
	    (as->state != FLEET_TARGET_DEREGISTERED &&
		as->sequence < known->as.sequence));
}

/* @return 1 if an announcement has no effect on a target with its id */
static int
is_superseded(const hub_state_t *state, const hub_target_t *known,
    const dialect_announcement_t *as)
{
	int compared = hub_state_compare_services(state, as, known);

	return (compared < 0 ||
	    (compared == 0 && is_outdated(known, as) &&
		!hub_state_may_return(state, known, as)));
}

/* @return 1 if an announcement does not get the address of a target */
static int
is_kept_off(const hub_state_t *state, const hub_target_t *owner,
    const dialect_announcement_t *as)
{
	int compared = hub_state_compare_services(state, as, owner);

	return (
	    compared < 0 || (compared == 0 && as->born_ms < owner->as.born_ms));
}

static hub_change_t
apply_target(hub_state_t *state, const Tm__Fleet__Target *msg,
    hub_changed_targets_t *changed)
{
	dialect_announcement_t as;
	hub_target_t *owner;
	hub_target_t *target;
	uint64_t key;

	if (!hub_target_from_message(msg, &as))
		return (HUB_CHANGE_NONE);
	key = fleet_name_hash(as.id);
	target = hub_state_find_target(state, key);
	if (target != NULL && is_superseded(state, target, &as))
		return (HUB_CHANGE_NONE);
	owner = hub_state_find_address(state, as.ip, as.port);
	if (owner != NULL && owner->key != key &&
	    is_kept_off(state, owner, &as))
		return (HUB_CHANGE_NONE);
	if (target == NULL) {
		if (HASH_COUNT(state->targets) >= HUB_TARGETS_MAX)
			return (HUB_CHANGE_NONE);
		target = calloc(1, sizeof(*target));
		if (target == NULL)
			return (HUB_CHANGE_NONE);
		target->key = key;
		HASH_ADD(hh, state->targets, key, sizeof(key), target);
	}
	remove_from_index(state, target);
	target->as = as;
	target->is_displaced = msg->is_displaced;
	/* An address belongs to the newest incarnation. */
	if (as.state != FLEET_TARGET_DEREGISTERED && owner != NULL &&
	    owner != target) {
		remove_from_index(state, owner);
		owner->as.state = FLEET_TARGET_DEREGISTERED;
		owner->is_displaced = 1;
		changed->replaced = owner;
	}
	add_to_index(state, target);
	changed->target = target;
	return (HUB_CHANGE_TARGET);
}

static hub_change_t
apply_forgotten(hub_state_t *state, const Tm__Fleet__Target *msg)
{
	hub_target_t *target =
	    hub_state_find_target(state, fleet_name_hash(msg->id));

	if (target == NULL || target->as.born_ms != msg->born_ms ||
	    target->as.state != FLEET_TARGET_DEREGISTERED)
		return (HUB_CHANGE_NONE);
	remove_from_index(state, target);
	HASH_DELETE(hh, state->targets, target);
	free(target);
	return (HUB_CHANGE_NONE);
}

static int
set_document(hub_state_t *state, const Tm__Fleet__Document *msg)
{
	uint8_t *copy = malloc(msg->zipped.len + 1);
	uint64_t *services = calloc(msg->n_services + 1, sizeof(*services));

	if (copy == NULL || services == NULL) {
		free(copy);
		free(services);
		return (TM_ENOMEM);
	}
	if (msg->zipped.len > 0)
		memcpy(copy, msg->zipped.data, msg->zipped.len);
	if (msg->n_services > 0)
		memcpy(services, msg->services,
		    msg->n_services * sizeof(*services));
	qsort(services, msg->n_services, sizeof(*services), compare_hashes);
	hub_document_release(&state->document);
	state->document = (hub_document_t){
		.version = msg->version,
		.zipped = copy,
		.zipped_len = msg->zipped.len,
		.plain_len = msg->plain_bytes,
		.services = services,
		.service_count = msg->n_services,
	};
	state->has_document = 1;
	return (TM_OK);
}

static hub_change_t
apply_document(hub_state_t *state, const Tm__Fleet__Document *msg)
{
	if (state->has_document && msg->version <= state->document.version)
		return (HUB_CHANGE_NONE);
	return (set_document(state, msg) == TM_OK ? HUB_CHANGE_DOCUMENT
						  : HUB_CHANGE_NONE);
}

static int
add_hub(hub_state_t *state, const char *name)
{
	if (hub_state_has_hub(state, name) ||
	    state->hub_count == FLEET_HUBS_MAX ||
	    !copy_name(state->hubs[state->hub_count], FLEET_IP_BYTES, name))
		return (0);
	state->hub_count++;
	return (1);
}

static hub_change_t
apply_lost_hub(hub_state_t *state, const char *name)
{
	int i;

	for (i = 0; i < state->hub_count; i++) {
		if (strcmp(state->hubs[i], name) != 0)
			continue;
		state->hub_count--;
		memmove(state->hubs[i], state->hubs[state->hub_count],
		    FLEET_IP_BYTES);
		return (HUB_CHANGE_HUBS);
	}
	return (HUB_CHANGE_NONE);
}

/* Replaces a list; it stays if memory is exhausted. */
static void
set_list(
    uint64_t **list, size_t *list_count, const uint64_t *values, size_t count)
{
	uint64_t *copy = calloc(count + 1, sizeof(*copy));

	if (copy == NULL)
		return;
	if (count > 0)
		memcpy(copy, values, count * sizeof(*copy));
	free(*list);
	*list = copy;
	*list_count = count;
}

hub_change_t
hub_state_apply(hub_state_t *state, const uint8_t *bytes, size_t len,
    hub_changed_targets_t *changed)
{
	Tm__Fleet__Entry *entry = tm__fleet__entry__unpack(NULL, len, bytes);
	hub_change_t change = HUB_CHANGE_NONE;

	*changed = (hub_changed_targets_t){ .target = NULL };
	if (entry == NULL)
		return (HUB_CHANGE_NONE);
	if (entry->document != NULL)
		change = apply_document(state, entry->document);
	else if (entry->target != NULL)
		change = apply_target(state, entry->target, changed);
	else if (entry->gone != NULL)
		change = apply_forgotten(state, entry->gone);
	else if (entry->ejected != NULL)
		set_list(&state->ejected, &state->ejected_count,
		    entry->ejected->targets, entry->ejected->n_targets);
	else if (entry->blocked != NULL)
		set_list(&state->blocked, &state->blocked_count,
		    entry->blocked->fingerprints,
		    entry->blocked->n_fingerprints);
	else if (entry->hub[0] != '\0')
		change = add_hub(state, entry->hub) ? HUB_CHANGE_HUBS
						    : HUB_CHANGE_NONE;
	else if (entry->lost_hub[0] != '\0')
		change = apply_lost_hub(state, entry->lost_hub);
	else if (entry->evacuation != NULL)
		change = hub_evacuations_apply(
			     &state->evacuations, entry->evacuation)
		    ? HUB_CHANGE_EVACUATIONS
		    : HUB_CHANGE_NONE;
	tm__fleet__entry__free_unpacked(entry, NULL);
	return (change);
}

void
hub_target_to_message(Tm__Fleet__Target *msg, const dialect_announcement_t *as)
{
	tm__fleet__target__init(msg);
	msg->id = (char *)as->id;
	msg->service = (char *)as->service;
	msg->zone = (char *)as->zone;
	msg->born_ms = as->born_ms;
	msg->sequence = as->sequence;
	msg->ip = as->ip;
	msg->port = as->port;
	msg->slots = as->slots;
	msg->state = as->state;
	msg->cold_left_ms = as->cold_left_ms;
}

static uint8_t *
encode(const ProtobufCMessage *msg, size_t *len)
{
	uint8_t *bytes;

	*len = protobuf_c_message_get_packed_size(msg);
	bytes = malloc(*len + 1);
	if (bytes != NULL)
		protobuf_c_message_pack(msg, bytes);
	return (bytes);
}

void
hub_document_to_message(
    Tm__Fleet__Document *msg, const hub_document_t *document)
{
	tm__fleet__document__init(msg);
	msg->version = document->version;
	msg->zipped.data = document->zipped;
	msg->zipped.len = document->zipped_len;
	msg->plain_bytes = (uint32_t)document->plain_len;
}

/* As hub_document_to_message(), for another hub. */
static void
document_to_hub_message(
    Tm__Fleet__Document *msg, const hub_document_t *document)
{
	hub_document_to_message(msg, document);
	msg->services = document->services;
	msg->n_services = document->service_count;
}

uint8_t *
hub_entry_encode_document(const hub_document_t *document, size_t *len)
{
	Tm__Fleet__Entry entry = TM__FLEET__ENTRY__INIT;
	Tm__Fleet__Document msg;

	document_to_hub_message(&msg, document);
	entry.document = &msg;
	return (encode(&entry.base, len));
}

uint8_t *
hub_entry_encode_target(const dialect_announcement_t *as, size_t *len)
{
	Tm__Fleet__Entry entry = TM__FLEET__ENTRY__INIT;
	Tm__Fleet__Target msg;

	hub_target_to_message(&msg, as);
	entry.target = &msg;
	return (encode(&entry.base, len));
}

uint8_t *
hub_entry_encode_expired_target(const dialect_announcement_t *as, size_t *len)
{
	Tm__Fleet__Entry entry = TM__FLEET__ENTRY__INIT;
	Tm__Fleet__Target msg;

	hub_target_to_message(&msg, as);
	entry.gone = &msg;
	return (encode(&entry.base, len));
}

uint8_t *
hub_entry_encode_hub(const char *name, int is_lost, size_t *len)
{
	Tm__Fleet__Entry entry = TM__FLEET__ENTRY__INIT;

	if (is_lost)
		entry.lost_hub = (char *)name;
	else
		entry.hub = (char *)name;
	return (encode(&entry.base, len));
}

uint8_t *
hub_entry_encode_ejected(const uint64_t *targets, size_t count, size_t *len)
{
	Tm__Fleet__Entry entry = TM__FLEET__ENTRY__INIT;
	Tm__Fleet__Ejected msg = TM__FLEET__EJECTED__INIT;

	msg.targets = (uint64_t *)targets;
	msg.n_targets = count;
	entry.ejected = &msg;
	return (encode(&entry.base, len));
}

uint8_t *
hub_entry_encode_blocked(
    const uint64_t *fingerprints, size_t count, size_t *len)
{
	Tm__Fleet__Entry entry = TM__FLEET__ENTRY__INIT;
	Tm__Fleet__Blocked msg = TM__FLEET__BLOCKED__INIT;

	msg.fingerprints = (uint64_t *)fingerprints;
	msg.n_fingerprints = count;
	entry.blocked = &msg;
	return (encode(&entry.base, len));
}

/* Buffers that a snapshot points to. */
typedef struct evacuation_messages {
	Tm__Fleet__Evacuation msgs[FLEET_EVACUATIONS_MAX];
	Tm__Fleet__Evacuation *pointers[FLEET_EVACUATIONS_MAX];
} evacuation_messages_t;

static void
fill_evacuations(const hub_evacuations_t *list, Tm__Fleet__Snapshot *snapshot,
    evacuation_messages_t *out)
{
	uint32_t i;

	for (i = 0; i < list->count; i++) {
		hub_evacuation_to_message(&out->msgs[i], &list->items[i]);
		out->pointers[i] = &out->msgs[i];
	}
	snapshot->evacuations = out->pointers;
	snapshot->n_evacuations = list->count;
}

/* Ended evacuations are part of the list, so that it is copied as it is. */
static void
restore_evacuations(
    hub_evacuations_t *list, const Tm__Fleet__Snapshot *snapshot)
{
	Tm__Fleet__Evacuation order;
	size_t i;

	list->count = 0;
	for (i = 0; i < snapshot->n_evacuations; i++) {
		order = *snapshot->evacuations[i];
		order.is_ended = 0;
		if (hub_evacuations_apply(list, &order))
			list->items[list->count - 1].is_ended =
			    snapshot->evacuations[i]->is_ended;
	}
}

uint8_t *
hub_state_encode(const hub_state_t *state, size_t *len)
{
	Tm__Fleet__Snapshot snapshot = TM__FLEET__SNAPSHOT__INIT;
	size_t count = HASH_COUNT(state->targets);
	Tm__Fleet__Target *msgs = calloc(count + 1, sizeof(*msgs));
	Tm__Fleet__Target **pointers =
	    calloc(count + 1, sizeof(Tm__Fleet__Target *));
	char *hubs[FLEET_HUBS_MAX];
	evacuation_messages_t evacuations;
	Tm__Fleet__Document document;
	hub_target_t *target;
	hub_target_t *next;
	uint8_t *bytes = NULL;
	int i;

	for (i = 0; i < state->hub_count; i++)
		hubs[i] = (char *)state->hubs[i];
	snapshot.ejected = state->ejected;
	snapshot.n_ejected = state->ejected_count;
	snapshot.blocked = state->blocked;
	snapshot.n_blocked = state->blocked_count;
	snapshot.hubs = hubs;
	snapshot.n_hubs = (size_t)state->hub_count;
	fill_evacuations(&state->evacuations, &snapshot, &evacuations);
	if (state->has_document) {
		document_to_hub_message(&document, &state->document);
		snapshot.document = &document;
	}
	if (msgs != NULL && pointers != NULL) {
		HASH_ITER(hh, state->targets, target, next) {
			hub_target_to_message(
			    &msgs[snapshot.n_targets], &target->as);
			msgs[snapshot.n_targets].is_displaced =
			    target->is_displaced;
			pointers[snapshot.n_targets] =
			    &msgs[snapshot.n_targets];
			snapshot.n_targets++;
		}
		snapshot.targets = pointers;
		bytes = encode(&snapshot.base, len);
	}
	free(pointers);
	free(msgs);
	return (bytes);
}

int
hub_state_restore(hub_state_t *state, const uint8_t *bytes, size_t len)
{
	Tm__Fleet__Snapshot *snapshot =
	    tm__fleet__snapshot__unpack(NULL, len, bytes);
	hub_changed_targets_t unused;
	int err = TM_OK;
	size_t i;

	if (snapshot == NULL)
		return (TM_EFORMAT);
	state_clear(state);
	for (i = 0; i < snapshot->n_targets; i++)
		apply_target(state, snapshot->targets[i], &unused);
	for (i = 0; i < snapshot->n_hubs; i++)
		add_hub(state, snapshot->hubs[i]);
	set_list(&state->ejected, &state->ejected_count, snapshot->ejected,
	    snapshot->n_ejected);
	set_list(&state->blocked, &state->blocked_count, snapshot->blocked,
	    snapshot->n_blocked);
	restore_evacuations(&state->evacuations, snapshot);
	if (snapshot->document != NULL)
		err = set_document(state, snapshot->document);
	tm__fleet__snapshot__free_unpacked(snapshot, NULL);
	return (err);
}

int
hub_document_compress(
    hub_document_t *document, uint64_t version, const char *plain, size_t len)
{
	*document = (hub_document_t){ .version = version, .plain_len = len };
	document->zipped = zip_pack(plain, len, &document->zipped_len);
	return (document->zipped != NULL ? TM_OK : TM_ENOMEM);
}

int
hub_document_set_services(
    hub_document_t *document, const fleet_config_t *config)
{
	const fleet_service_t *service;
	size_t count = HASH_COUNT(config->services);
	uint64_t *services = calloc(count + 1, sizeof(*services));

	if (services == NULL)
		return (TM_ENOMEM);
	count = 0;
	for (service = config->services; service != NULL;
	     service = service->hh.next)
		services[count++] = service->id;
	free(document->services);
	document->services = services;
	document->service_count = count;
	qsort(services, count, sizeof(*services), compare_hashes);
	return (TM_OK);
}

char *
hub_document_decompress(const hub_document_t *document)
{
	return (zip_unpack(
	    document->zipped, document->zipped_len, document->plain_len));
}
