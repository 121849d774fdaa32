#include "base/node_defs.h"

#include <ctype.h>
#include <string.h>

#include <xxhash.h>

node_id_t
node_id_from_name(const char *name)
{
	if (name[0] == '\0')
		return (NODE_ID_NONE);
	return (XXH64(name, strlen(name), 0));
}

static int
node_name_has_char(unsigned char c)
{
	return (isalnum(c) || c == '.' || c == '_' || c == '-');
}

int
node_name_is_valid(const char *name)
{
	size_t len = strlen(name);
	size_t i;

	if (len == 0 || len > NAME_MAX_BYTES)
		return (0);
	if (!isalnum((unsigned char)name[0]))
		return (0);
	for (i = 0; i < len; i++) {
		if (!node_name_has_char((unsigned char)name[i]))
			return (0);
	}
	return (1);
}
