/* Objects and files of objects that operators send. */
#include "config/config_json.h"
#include "fuzz.h"

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	config_state_t *state = config_state_create();
	json_check_t *check = json_check_create();
	Feed__Change change = FEED__CHANGE__INIT;
	config_kind_t kind;
	Feed__Object *object;
	json_node_t root;
	json_t *problems;

	if (size == 0)
		goto out;
	kind = (config_kind_t)(data[0] % CONFIG_OBJECT_KINDS);
	if (json_check_load_text(
		check, "fuzz", (const char *)data + 1, size - 1, &root) != 0)
		goto out;
	if (kind == CONFIG_KIND_NONE) {
		config_json_read_file(&root, &change);
		config_json_check_references(state, &change, &root);
		config_change_free_items(&change);
	} else {
		object = config_json_read_object(
		    &root, kind, data[0] & 0x80 ? "a" : NULL);
		if (object != NULL)
			feed__object__free_unpacked(object, NULL);
	}
	problems = json_check_to_json(check);
	json_decref(problems);
out:
	json_check_destroy(check);
	config_state_destroy(state);
	return (0);
}
