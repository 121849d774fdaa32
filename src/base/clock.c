#include "base/clock.h"

#include <time.h>

static int64_t
clock_read_ns(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return ((int64_t)ts.tv_sec * NS_PER_SEC + ts.tv_nsec);
}

int64_t
clock_now_ns(void)
{
	return (clock_read_ns(CLOCK_BOOTTIME));
}

int64_t
clock_now_ms(void)
{
	return (clock_now_ns() / NS_PER_MS);
}

int64_t
clock_wall_ms(void)
{
	return (clock_read_ns(CLOCK_REALTIME) / NS_PER_MS);
}
