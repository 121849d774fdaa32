/*
 * Preloaded into a hub: fsync() takes the time in ms that the file named by
 * SLOW_SYNC_FILE holds, and hangs while the file holds "hang".
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define POLL_US	       10000
#define US_PER_MS      1000
#define TEXT_MAX_BYTES 16

static void
read_setting(char text[TEXT_MAX_BYTES])
{
	const char *path = getenv("SLOW_SYNC_FILE");
	FILE *file = path != NULL ? fopen(path, "r") : NULL;

	memset(text, 0, TEXT_MAX_BYTES);
	if (file == NULL)
		return;
	if (fgets(text, TEXT_MAX_BYTES, file) == NULL)
		text[0] = '\0';
	fclose(file);
}

int
fsync(int fd)
{
	char text[TEXT_MAX_BYTES];

	(void)fd;
	read_setting(text);
	while (strncmp(text, "hang", 4) == 0) {
		usleep(POLL_US);
		read_setting(text);
	}
	usleep((useconds_t)atoi(text) * US_PER_MS);
	return (0);
}
