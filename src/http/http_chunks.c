#include "http/http_chunks.h"

#include <string.h>

#include "base/hex.h"

/* Results of phr_decode_chunked(). */
#define CHUNKS_MALFORMED  (-1)
#define CHUNKS_INCOMPLETE (-2)

/* Where the next byte belongs; kept in the state of the decoder. */
enum {
	IN_SIZE,
	IN_EXTENSION,
	AT_SIZE_END, /* LF of a size line */
	IN_DATA,
	AT_DATA_CR,
	AT_DATA_LF,
	AT_TRAILER, /* first byte of a line */
	IN_TRAILER,
	AT_TRAILER_END, /* LF of a line with text */
	AT_LAST /* LF of the empty line */
};

static int
take_size(response_chunks_t *decoder, char c)
{
	int digit = hex_get_digit(c);

	if (digit >= 0) {
		if (decoder->hex_count == HTTP_CHUNK_DIGITS_MAX)
			return (0);
		decoder->hex_count++;
		decoder->bytes_left_in_chunk =
		    decoder->bytes_left_in_chunk * 16 + (size_t)digit;
		return (1);
	}
	if (decoder->hex_count == 0 || (c != '\r' && c != ';'))
		return (0);
	decoder->state = c == '\r' ? AT_SIZE_END : IN_EXTENSION;
	return (1);
}

/* Takes a byte that is not data. @return 0 if it may not stand there */
static int
take_frame(response_chunks_t *decoder, char c)
{
	switch (decoder->state) {
	case IN_SIZE:
		return (take_size(decoder, c));
	case IN_EXTENSION:
		if (c == '\r')
			decoder->state = AT_SIZE_END;
		return (c != '\n');
	case AT_SIZE_END:
		decoder->hex_count = 0;
		decoder->state =
		    decoder->bytes_left_in_chunk > 0 ? IN_DATA : AT_TRAILER;
		return (c == '\n');
	case AT_DATA_CR:
		decoder->state = AT_DATA_LF;
		return (c == '\r');
	case AT_DATA_LF:
		decoder->state = IN_SIZE;
		return (c == '\n');
	case AT_TRAILER:
		decoder->state = c == '\r' ? AT_LAST : IN_TRAILER;
		return (c != '\n');
	case IN_TRAILER:
		if (c == '\r')
			decoder->state = AT_TRAILER_END;
		return (c != '\n');
	case AT_TRAILER_END:
		decoder->state = AT_TRAILER;
		return (c == '\n');
	default:
		return (c == '\n');
	}
}

/* Moves data to the end of what is decoded. @return bytes of the input */
static size_t
take_data(response_chunks_t *decoder, char *out, const char *in, size_t len)
{
	size_t count = decoder->bytes_left_in_chunk < len
	    ? decoder->bytes_left_in_chunk
	    : len;

	memmove(out, in, count);
	decoder->bytes_left_in_chunk -= count;
	if (decoder->bytes_left_in_chunk == 0)
		decoder->state = AT_DATA_CR;
	return (count);
}

ssize_t
phr_decode_chunked(response_chunks_t *decoder, char *buf, size_t *bufsz)
{
	size_t len = *bufsz;
	size_t at = 0;
	size_t decoded = 0;
	size_t count;
	int was_last;

	while (at < len) {
		if (decoder->state == IN_DATA) {
			count = take_data(
			    decoder, buf + decoded, buf + at, len - at);
			decoded += count;
			at += count;
			continue;
		}
		was_last = decoder->state == AT_LAST;
		if (!take_frame(decoder, buf[at++]))
			return (CHUNKS_MALFORMED);
		if (was_last) {
			/* What follows belongs to the next message. */
			memmove(buf + decoded, buf + at, len - at);
			*bufsz = decoded;
			return ((ssize_t)(len - at));
		}
	}
	*bufsz = decoded;
	return (CHUNKS_INCOMPLETE);
}
