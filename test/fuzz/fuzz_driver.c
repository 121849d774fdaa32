/*
 * Runs a fuzz target over its corpus and over seeded mutations of it, so that
 * the same inputs run everywhere without libFuzzer.
 *
 *   fuzz_NAME CORPUS-FOLDER RUNS SEED
 *
 * The input that aborts is written to crash-NAME in the current folder.
 */
#include <dirent.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/log.h"
#include "base/rng.h"
#include "fuzz.h"

#define INPUTS_MAX  512
#define INPUT_BYTES 8192
/* Longer inputs are mutated by hand only, in the corpus. */
#define MUTATIONS_MAX 8
/* An input that takes longer counts as a hang. */
#define INPUT_MAX_S 20

typedef struct input {
	uint8_t bytes[INPUT_BYTES];
	size_t len;
} input_t;

static input_t *inputs;
static size_t input_count;
static input_t current;
static const char *target_name;

static void
on_crash(int number)
{
	char path[256];
	int fd;

	snprintf(path, sizeof(path), "crash-%s", target_name);
	fd = open(path, O_WRONLY | O_CREAT | O_TRUNC, 0644);
	if (fd >= 0 && write(fd, current.bytes, current.len) >= 0)
		close(fd);
	fprintf(
	    stderr, "%s: signal %d, input in %s\n", target_name, number, path);
	_exit(1);
}

static void
run_input(void)
{
	uint8_t *exact = malloc(current.len > 0 ? current.len : 1);

	/* A block of the exact size shows reads past the end. */
	memcpy(exact, current.bytes, current.len);
	alarm(INPUT_MAX_S);
	LLVMFuzzerTestOneInput(exact, current.len);
	alarm(0);
	free(exact);
}

static void
load_input(const char *folder, const char *name)
{
	char path[1024];
	FILE *file;

	if (name[0] == '.' || input_count == INPUTS_MAX)
		return;
	snprintf(path, sizeof(path), "%s/%s", folder, name);
	file = fopen(path, "rb");
	if (file == NULL)
		return;
	inputs[input_count].len =
	    fread(inputs[input_count].bytes, 1, INPUT_BYTES, file);
	input_count++;
	fclose(file);
}

/* Loads a folder in the order of the names, so that a seed gives one run. */
static int
load_corpus(const char *folder)
{
	struct dirent **names;
	int count = scandir(folder, &names, NULL, alphasort);
	int i;

	for (i = 0; i < count; i++) {
		load_input(folder, names[i]->d_name);
		free(names[i]);
	}
	if (count >= 0)
		free(names);
	return (count >= 0);
}

static void
insert_bytes(rng_t *rng)
{
	const input_t *from = &inputs[rng_below(rng, input_count)];
	size_t room = INPUT_BYTES - current.len;
	size_t start = rng_below(rng, from->len + 1);
	size_t len = rng_below(rng, from->len - start + 1);
	size_t at = rng_below(rng, current.len + 1);

	if (len > room)
		len = room;
	memmove(current.bytes + at + len, current.bytes + at, current.len - at);
	memcpy(current.bytes + at, from->bytes + start, len);
	current.len += len;
}

static void
delete_bytes(rng_t *rng)
{
	size_t at = rng_below(rng, current.len);
	size_t len = 1 + rng_below(rng, current.len - at);

	memmove(current.bytes + at, current.bytes + at + len,
	    current.len - at - len);
	current.len -= len;
}

static void
mutate(rng_t *rng)
{
	static const uint8_t odd[] = { 0, 1, 0x7f, 0x80, 0xff, '%', '"', '\n',
		'{', ':' };
	uint8_t *byte;

	if (current.len == 0) {
		insert_bytes(rng);
		return;
	}
	byte = &current.bytes[rng_below(rng, current.len)];
	switch (rng_below(rng, 6)) {
	case 0:
		*byte ^= (uint8_t)(1u << rng_below(rng, 8));
		break;
	case 1:
		*byte = (uint8_t)rng_next(rng);
		break;
	case 2:
		*byte = odd[rng_below(rng, sizeof(odd))];
		break;
	case 3:
		*byte = (uint8_t)(*byte + rng_below(rng, 3) - 1);
		break;
	case 4:
		insert_bytes(rng);
		break;
	default:
		delete_bytes(rng);
		break;
	}
}

static void
run_mutations(long runs, uint64_t seed)
{
	rng_t rng;
	uint64_t n;
	long i;

	rng_init(&rng, seed);
	for (i = 0; i < runs; i++) {
		current = inputs[rng_below(&rng, input_count)];
		for (n = 1 + rng_below(&rng, MUTATIONS_MAX); n > 0; n--)
			mutate(&rng);
		run_input();
	}
}

int
main(int argc, char **argv)
{
	const char *slash = strrchr(argv[0], '/');
	size_t i;

	if (argc != 4) {
		fprintf(stderr, "usage: %s CORPUS-FOLDER RUNS SEED\n", argv[0]);
		return (2);
	}
	target_name = slash != NULL ? slash + 1 : argv[0];
	inputs = calloc(INPUTS_MAX, sizeof(*inputs));
	if (inputs == NULL || !load_corpus(argv[1]) || input_count == 0) {
		fprintf(stderr, "%s: found no inputs in '%s'\n", target_name,
		    argv[1]);
		return (2);
	}
	log_configure(fopen("/dev/null", "w"), LOG_LEVEL_ERROR, "fuzz");
	signal(SIGABRT, on_crash);
	signal(SIGSEGV, on_crash);
	signal(SIGFPE, on_crash);
	signal(SIGALRM, on_crash);
	for (i = 0; i < input_count; i++) {
		current = inputs[i];
		run_input();
	}
	run_mutations(atol(argv[2]), strtoull(argv[3], NULL, 10));
	printf("%s: %zu inputs, %s mutations, seed %s\n", target_name,
	    input_count, argv[2], argv[3]);
	free(inputs);
	return (0);
}
