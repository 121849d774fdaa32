#include "target/target_settings.h"

#include <arpa/inet.h>

#include "base/clock.h"
#include "base/log.h"

static const char *const time_kinds[] = { "fixed", "uniform", "exponential",
	"lognormal", NULL };

static void
read_service_time(json_node_t *root, target_settings_t *s)
{
	json_node_t node;

	json_opt_object(root, "service_time", &node);
	s->time_kind = (target_time_kind_t)json_opt_enum(
	    &node, "kind", time_kinds, TARGET_TIME_FIXED);
	s->time_mean_ms = json_opt_real(&node, "mean_ms", 0, 60000, "ms", 5);
	s->time_sigma = json_opt_real(&node, "sigma", 0, 5, "", 0.5);
	s->time_max_ms = json_opt_real(&node, "max_ms", 0, 600000, "ms", 10000);
	json_node_finish(&node);
}

static void
read_cold_start(json_node_t *root, target_settings_t *s)
{
	json_node_t node;

	json_opt_object(root, "cold_start", &node);
	s->cold_start_ms =
	    (int)json_opt_int(&node, "duration_ms", 0, 600000, "ms", 0);
	s->cold_start_factor = json_opt_real(&node, "factor", 1, 1000, "", 3);
	json_node_finish(&node);
}

static void
read_announcement(json_node_t *root, target_settings_t *s)
{
	int i;

	if (!json_opt_address(root, "announce", &s->announce))
		s->announce = s->listen;
	s->renew_ms =
	    (int)json_opt_int(root, "renew_ms", 50, 60000, "ms", 1000);
	s->entry_count = json_opt_list(root, "entries", 0, TARGET_ENTRIES_MAX,
	    "registration addresses of entry VMs");
	for (i = 0; i < s->entry_count; i++)
		json_list_get_address(root, "entries", i, &s->entries[i]);
	if (s->entry_count > 0)
		s->target_secret =
		    json_need_text(root, "target_secret", 1, 256);
	else
		s->target_secret =
		    json_opt_text(root, "target_secret", 1, 256, "");
}

int
target_settings_load(
    json_check_t *check, const char *file, target_settings_t *s)
{
	json_node_t root;
	log_level_t level;

	*s = (target_settings_t){ 0 };
	json_check_load_file(check, file, &root);
	s->id = json_need_name(&root, "id");
	s->service = json_need_name(&root, "service");
	s->data_centre = json_need_name(&root, "data_centre");
	s->log_level = json_opt_text(&root, "log_level", 1, 8, "info");
	if (log_parse_level(s->log_level, &level) != 0)
		json_node_add_error(&root, "log_level", s->log_level,
		    "debug, info, warn or error", "use one of these words");
	json_need_address(&root, "listen", &s->listen);
	json_need_address(&root, "admin_listen", &s->admin_listen);
	if (s->admin_listen.sin_family != 0 &&
	    ntohl(s->admin_listen.sin_addr.s_addr) >> 24 != 127)
		json_node_add_error(&root, "admin_listen",
		    "an address that other machines can reach",
		    "a loopback address 127.x.x.x",
		    "faults can be set without a key there; use 127.0.0.1");
	read_announcement(&root, s);
	s->record = json_opt_text(&root, "record", 1, 4096, NULL);
	s->record_starts = json_opt_bool(&root, "record_starts", 0);
	s->record_arrivals = json_opt_bool(&root, "record_arrivals", 0);
	s->marker = json_opt_text(&root, "marker", 4, 256, NULL);
	s->slots = (int)json_opt_int(&root, "slots", 1, 10000, "", 6);
	s->queue = (int)json_opt_int(&root, "queue", 0, 10000, "", 4);
	s->connection_cap =
	    (int)json_opt_int(&root, "connection_cap", 1, 100000, "", 400);
	s->body_bytes =
	    (int)json_opt_int(&root, "body_bytes", 0, 16777216, "bytes", 256);
	s->leave_notice_ms =
	    (int)json_opt_int(&root, "leave_notice_ms", 0, 60000, "ms", 2000);
	read_cold_start(&root, s);
	read_service_time(&root, s);
	s->seed = (uint64_t)json_opt_int(
	    &root, "seed", 0, INT64_MAX, "", clock_wall_ms());
	json_node_finish(&root);
	return (json_check_get_error_count(check));
}
