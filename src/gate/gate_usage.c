#include "gate/gate_usage.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

typedef struct usage_row {
	uint64_t id;
	int64_t newest; /* number of the last future interval */
	uint32_t intervals[GATE_USAGE_INTERVALS]; /* ring, indexed by number */
	uint32_t listed[GATE_USAGE_INTERVALS]; /* newest first */
	Tm__Fleet__Usage msg;
	UT_hash_handle hh;
} usage_row_t;

struct gate_usage {
	usage_row_t *rows;
	Tm__Fleet__Usage **list;
};

gate_usage_t *
gate_usage_create(void)
{
	return (calloc(1, sizeof(gate_usage_t)));
}

void
gate_usage_destroy(gate_usage_t *usage)
{
	usage_row_t *row;
	usage_row_t *next;

	if (usage == NULL)
		return;
	HASH_ITER(hh, usage->rows, row, next) {
		HASH_DELETE(hh, usage->rows, row);
		free(row);
	}
	free(usage->list);
	free(usage);
}

static void
advance(usage_row_t *row, int64_t now_ms)
{
	int64_t last =
	    now_ms / GATE_USAGE_INTERVAL_MS + GATE_USAGE_FUTURE_INTERVALS;

	if (last - row->newest > GATE_USAGE_INTERVALS)
		row->newest = last - GATE_USAGE_INTERVALS;
	while (row->newest < last)
		row->intervals[++row->newest % GATE_USAGE_INTERVALS] = 0;
}

/* @param age  in intervals before the newest one */
static uint32_t
get_interval(const usage_row_t *row, int64_t age)
{
	/* Numbers below 0 are not in the ring. */
	return (row->newest >= age
		? row->intervals[(row->newest - age) % GATE_USAGE_INTERVALS]
		: 0);
}

void
gate_usage_count(
    gate_usage_t *usage, uint64_t workspace, int64_t now_ms, int64_t due_ms)
{
	int64_t number = due_ms / GATE_USAGE_INTERVAL_MS;
	usage_row_t *row;

	HASH_FIND(hh, usage->rows, &workspace, sizeof(workspace), row);
	if (row == NULL) {
		row = calloc(1, sizeof(*row));
		if (row == NULL)
			return;
		row->id = workspace;
		HASH_ADD(hh, usage->rows, id, sizeof(row->id), row);
	}
	advance(row, now_ms);
	if (number > row->newest)
		number = row->newest;
	row->intervals[number % GATE_USAGE_INTERVALS]++;
}

uint32_t
gate_usage_get(
    gate_usage_t *usage, uint64_t workspace, int64_t now_ms, uint32_t *future)
{
	usage_row_t *row;
	uint32_t used = 0;
	int64_t i;

	*future = 0;
	HASH_FIND(hh, usage->rows, &workspace, sizeof(workspace), row);
	if (row == NULL)
		return (0);
	advance(row, now_ms);
	for (i = 0; i < GATE_USAGE_FUTURE_INTERVALS; i++)
		*future += get_interval(row, i);
	for (; i < GATE_USAGE_INTERVALS; i++)
		used += get_interval(row, i);
	return (used);
}

static int
fill_message(usage_row_t *row, int64_t now_ms)
{
	uint32_t sum = 0;
	int64_t i;

	advance(row, now_ms);
	for (i = 0; i < GATE_USAGE_INTERVALS; i++) {
		row->listed[i] = get_interval(row, i);
		sum += row->listed[i];
	}
	tm__fleet__usage__init(&row->msg);
	row->msg.workspace = row->id;
	row->msg.parts = row->listed;
	row->msg.n_parts = GATE_USAGE_INTERVALS;
	return (sum > 0);
}

size_t
gate_usage_list(gate_usage_t *usage, Tm__Fleet__Usage ***list, int64_t now_ms)
{
	usage_row_t *row;
	usage_row_t *next;
	size_t count = 0;

	free(usage->list);
	usage->list =
	    calloc(HASH_COUNT(usage->rows) + 1, sizeof(Tm__Fleet__Usage *));
	if (usage->list == NULL)
		return (0);
	HASH_ITER(hh, usage->rows, row, next) {
		if (fill_message(row, now_ms))
			usage->list[count++] = &row->msg;
	}
	*list = usage->list;
	return (count);
}
