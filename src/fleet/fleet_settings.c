#include "fleet/fleet_settings.h"

#include <arpa/inet.h>
#include <math.h>
#include <string.h>

#include "base/clock.h"

/* Largest value of a setting of a time. */
#define SETTING_MAX_S	 3600.0
#define REQUIREMENTS_MAX 64
/* Bounds of the settings for the excess of a rate. */
#define RATE_OVERSHOOT_MAX 1.0
#define RATE_SLACK_MAX	   10000.0

int
fleet_read_seeds(json_node_t *root, char seeds[FLEET_HUBS_MAX][FLEET_IP_BYTES])
{
	struct sockaddr_in addr;
	int count =
	    json_opt_list(root, "seeds", 0, FLEET_HUBS_MAX, "hub addresses");
	int used = 0;
	int i;

	for (i = 0; i < count; i++) {
		if (json_list_get_address(root, "seeds", i, &addr))
			inet_ntop(AF_INET, &addr.sin_addr, seeds[used++],
			    FLEET_IP_BYTES);
	}
	return (used);
}

const dialect_t *
fleet_read_dialect(json_node_t *root)
{
	int index = json_opt_enum(root, "dialect", dialect_names, 0);

	return (dialect_find(dialect_names[index]));
}

uint32_t
fleet_read_features(json_node_t *root, const dialect_t *dialect)
{
	uint32_t features = 0;
	const char *word;
	int count =
	    json_opt_list(root, "requirements", 0, REQUIREMENTS_MAX, "words");
	int i;

	for (i = 0; i < count; i++) {
		word = json_list_get_text(
		    root, "requirements", i, 1, NAME_MAX_BYTES);
		if (strcmp(word, "scarce_capacity") == 0)
			features |= FLEET_FEATURE_SCARCE_CAPACITY;
		else if (dialect != NULL)
			features |= dialect->find_features(word);
	}
	return (features);
}

void
fleet_read_ip(json_node_t *root, const char *field, char ip[FLEET_IP_BYTES])
{
	const char *text = json_need_text(root, field, 7, FLEET_IP_BYTES - 1);
	struct in_addr addr;

	if (inet_pton(AF_INET, text, &addr) == 1)
		inet_ntop(AF_INET, &addr, ip, FLEET_IP_BYTES);
	else
		json_node_add_error(root, field, text, "an IPv4 address",
		    "give the address of this VM, e.g. 127.0.0.1");
}

int64_t
fleet_read_time_ms(json_node_t *root, const char *field, double def_s)
{
	return ((int64_t)lround((double)MS_PER_SEC *
	    json_opt_real(root, field, 0.1, SETTING_MAX_S, "s", def_s)));
}

void
fleet_read_rate_bounds(json_node_t *root, fleet_rate_bounds_t *bounds)
{
	bounds->window_ms = fleet_read_time_ms(root, "rate_window_s", 5);
	bounds->overshoot = json_opt_real(
	    root, "rate_overshoot", 0, RATE_OVERSHOOT_MAX, "", 0.1);
	bounds->slack = json_opt_real(
	    root, "rate_slack", 0, RATE_SLACK_MAX, "requests", 20);
}
