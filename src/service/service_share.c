#include "service/service_share.h"

#include <stdlib.h>

static int
share_compare(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return ((x > y) - (x < y));
}

double
service_share_get_fair_level(double *demands, uint32_t count, double slots)
{
	uint32_t i;
	double level;

	qsort(demands, count, sizeof(demands[0]), share_compare);
	for (i = 0; i < count; i++) {
		level = slots / (count - i);
		if (demands[i] > level)
			return (level);
		slots -= demands[i];
	}
	return (-1.0);
}
