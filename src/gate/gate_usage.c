#include "gate/gate_usage.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

typedef struct usage_row {
	uint64_t id;
	int64_t newest; /* number of the last part, which lies ahead */
	uint32_t parts[GATE_USAGE_PARTS]; /* by their number */
	uint32_t listed[GATE_USAGE_PARTS]; /* the newest first */
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
	int64_t last = now_ms / GATE_USAGE_PART_MS + GATE_USAGE_AHEAD;

	if (last - row->newest > GATE_USAGE_PARTS)
		row->newest = last - GATE_USAGE_PARTS;
	while (row->newest < last)
		row->parts[++row->newest % GATE_USAGE_PARTS] = 0;
}

/* @param age  parts before the last one */
static uint32_t
get_part(const usage_row_t *row, int64_t age)
{
	/* The ring holds the last parts whatever its newest number. */
	return (row->newest >= age
		? row->parts[(row->newest - age) % GATE_USAGE_PARTS]
		: 0);
}

void
gate_usage_count(
    gate_usage_t *usage, uint64_t workspace, int64_t now_ms, int64_t due_ms)
{
	int64_t number = due_ms / GATE_USAGE_PART_MS;
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
	row->parts[number % GATE_USAGE_PARTS]++;
}

uint32_t
gate_usage_get(
    gate_usage_t *usage, uint64_t workspace, int64_t now_ms, uint32_t *ahead)
{
	usage_row_t *row;
	uint32_t used = 0;
	int64_t i;

	*ahead = 0;
	HASH_FIND(hh, usage->rows, &workspace, sizeof(workspace), row);
	if (row == NULL)
		return (0);
	advance(row, now_ms);
	for (i = 0; i < GATE_USAGE_AHEAD; i++)
		*ahead += get_part(row, i);
	for (; i < GATE_USAGE_PARTS; i++)
		used += get_part(row, i);
	return (used);
}

static int
fill(usage_row_t *row, int64_t now_ms)
{
	uint32_t sum = 0;
	int64_t i;

	advance(row, now_ms);
	for (i = 0; i < GATE_USAGE_PARTS; i++) {
		row->listed[i] = get_part(row, i);
		sum += row->listed[i];
	}
	tm__fleet__usage__init(&row->msg);
	row->msg.workspace = row->id;
	row->msg.parts = row->listed;
	row->msg.n_parts = GATE_USAGE_PARTS;
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
		if (fill(row, now_ms))
			usage->list[count++] = &row->msg;
	}
	*list = usage->list;
	return (count);
}
