#include "settings/program_settings.h"

#include <string.h>

#include "base/error.h"

static const char *const log_level_words[] = { "debug", "info", "warn", "error",
	NULL };

int
program_read_secrets(
    json_node_t *root, const char *field, program_secret_t *secrets)
{
	const char *text;
	int count = json_need_list(root, field, 1, PEER_SECRETS_MAX, "secrets");
	int i;

	for (i = 0; i < count; i++) {
		text = json_list_get_text(root, field, i,
		    PROGRAM_SECRET_MIN_BYTES, PROGRAM_SECRET_MAX_BYTES);
		strncpy(secrets[i], text, PROGRAM_SECRET_MAX_BYTES);
	}
	return (count);
}

log_level_t
program_read_log_level(json_node_t *root)
{
	return ((log_level_t)json_opt_enum(
	    root, "log_level", log_level_words, LOG_LEVEL_INFO));
}

void
program_list_secrets(const program_secret_t *secrets, int count,
    const char *list[PEER_SECRETS_MAX])
{
	int i;

	for (i = 0; i < PEER_SECRETS_MAX; i++)
		list[i] = i < count ? secrets[i] : NULL;
}

int
program_load_settings(
    const char *file, FILE *errors, program_read_cb read, void *settings)
{
	json_check_t *check = json_check_create();
	json_node_t root;
	int count;

	if (check == NULL)
		return (TM_ENOMEM);
	if (json_check_load_file(check, file, &root) == TM_OK)
		read(&root, settings);
	count = json_check_print(check, errors);
	json_check_destroy(check);
	return (count == 0 ? TM_OK : TM_EINVAL);
}
