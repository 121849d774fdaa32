#include "config/config_table.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/error.h"

#define TABLE_SIZE_MIN 16

static size_t
table_hash(const config_table_t *table, const char *name, size_t len)
{
	return ((size_t)XXH64(name, len, 0) & (table->size - 1));
}

static int
table_has_name(const config_object_t *object, const char *name, size_t len)
{
	return (
	    strncmp(object->name, name, len) == 0 && object->name[len] == '\0');
}

/* @return place of the object, or the free place where it belongs */
static size_t
table_find_place(const config_table_t *table, const char *name, size_t len)
{
	size_t place = table_hash(table, name, len);

	while (table->places[place] != NULL &&
	    !table_has_name(table->places[place], name, len))
		place = (place + 1) & (table->size - 1);
	return (place);
}

config_object_t *
config_table_find(const config_table_t *table, const char *name, size_t len)
{
	if (table->size == 0)
		return (NULL);
	return (table->places[table_find_place(table, name, len)]);
}

static void
table_put(config_table_t *table, config_object_t *object)
{
	table->places[table_find_place(
	    table, object->name, strlen(object->name))] = object;
}

static int
table_grow(config_table_t *table)
{
	config_table_t grown = { .count = table->count };
	size_t i;

	grown.size = table->size > 0 ? table->size * 2 : TABLE_SIZE_MIN;
	grown.places = calloc(grown.size, sizeof(config_object_t *));
	if (grown.places == NULL)
		return (TM_ENOMEM);
	for (i = 0; i < table->size; i++) {
		if (table->places[i] != NULL)
			table_put(&grown, table->places[i]);
	}
	free(table->places);
	*table = grown;
	return (TM_OK);
}

int
config_table_add(config_table_t *table, config_object_t *object)
{
	if ((table->count + 1) * 8 > table->size * 7 &&
	    table_grow(table) != TM_OK)
		return (TM_ENOMEM);
	table_put(table, object);
	table->count++;
	return (TM_OK);
}

/* Objects behind a free place would not be found; they are put again. */
static void
table_close_gap(config_table_t *table, size_t gap)
{
	size_t place = (gap + 1) & (table->size - 1);
	config_object_t *object;

	while ((object = table->places[place]) != NULL) {
		table->places[place] = NULL;
		table_put(table, object);
		place = (place + 1) & (table->size - 1);
	}
}

config_object_t *
config_table_take(config_table_t *table, const char *name, size_t len)
{
	config_object_t *object;
	size_t place;

	if (table->size == 0)
		return (NULL);
	place = table_find_place(table, name, len);
	object = table->places[place];
	if (object == NULL)
		return (NULL);
	table->places[place] = NULL;
	table->count--;
	table_close_gap(table, place);
	return (object);
}

config_object_t *
config_table_next(const config_table_t *table, size_t *place)
{
	while (*place < table->size) {
		if (table->places[(*place)++] != NULL)
			return (table->places[*place - 1]);
	}
	return (NULL);
}

void
config_table_clear(config_table_t *table)
{
	free(table->places);
	*table = (config_table_t){ 0 };
}
