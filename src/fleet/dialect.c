#include "fleet/dialect.h"

#include <string.h>

#include "platform/platform_dialect.h"

const char *const dialect_names[] = { "platform", NULL };

const dialect_t *
dialect_find(const char *name)
{
	if (strcmp(name, "platform") == 0)
		return (&platform_dialect);
	return (NULL);
}
