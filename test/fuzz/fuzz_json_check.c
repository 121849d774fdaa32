/* The checker of settings and request bodies. */
#include <stdio.h>
#include <string.h>

#include "fuzz.h"
#include "settings/json_check.h"

static void
read_fields(json_node_t *root)
{
	static const char *const words[] = { "one", "two", NULL };
	struct sockaddr_in addr;
	json_node_t child;
	int count;
	int i;

	json_need_name(root, "name");
	json_need_text(root, "text", 1, 20);
	json_need_int(root, "int", -5, 5, "ms");
	json_opt_int(root, "opt", 0, 5, "ms", 1);
	json_opt_enum(root, "word", words, 0);
	json_need_address(root, "address", &addr);
	count = json_need_list(root, "list", 1, 3, "items");
	for (i = 0; i < count; i++) {
		if (json_list_get_object(root, "list", i, &child)) {
			json_need_name(&child, "name");
			json_node_finish(&child);
		}
	}
	count = json_need_list(root, "texts", 0, 3, "texts");
	for (i = 0; i < count; i++)
		json_list_get_text(root, "texts", i, 1, 10);
	json_node_finish(root);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static FILE *sink;
	json_check_t *check = json_check_create();
	json_node_t root;

	if (sink == NULL)
		sink = fopen("/dev/null", "w");
	json_check_load_text(check, "fuzz", (const char *)data, size, &root);
	read_fields(&root);
	json_check_print(check, sink);
	json_check_destroy(check);
	return (0);
}
