#include "base/test_hooks.h"

#include <stdlib.h>
#include <string.h>

int
test_hooks_is_off(const char *mechanism)
{
#ifdef TM_TEST_HOOKS
	static const char *list;
	static int is_read;
	const char *at;
	size_t len = strlen(mechanism);
	size_t word;

	if (!is_read) {
		list = getenv("TM_TEST_OFF");
		is_read = 1;
	}
	at = list;
	while (at != NULL && *at != '\0') {
		word = strcspn(at, ",");
		if (word == len && memcmp(at, mechanism, len) == 0)
			return (1);
		at += word + (at[word] == ',');
	}
#else
	(void)mechanism;
#endif
	return (0);
}
