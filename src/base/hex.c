#include "base/hex.h"

int
hex_get_digit(char c)
{
	if (c >= '0' && c <= '9')
		return (c - '0');
	if (c >= 'a' && c <= 'f')
		return (c - 'a' + 10);
	if (c >= 'A' && c <= 'F')
		return (c - 'A' + 10);
	return (-1);
}

void
hex_write(char *out, const uint8_t *bytes, size_t len)
{
	static const char digits[] = "0123456789abcdef";
	size_t i;

	for (i = 0; i < len; i++) {
		*out++ = digits[bytes[i] >> 4];
		*out++ = digits[bytes[i] & 15];
	}
	*out = '\0';
}

int
hex_get_escape(const char *text, size_t len, size_t at)
{
	int high;
	int low;

	if (text[at] != '%' || at + 2 >= len)
		return (-1);
	high = hex_get_digit(text[at + 1]);
	low = hex_get_digit(text[at + 2]);
	return (high >= 0 && low >= 0 ? high << 4 | low : -1);
}

size_t
hex_decode_escapes(char *out, const char *text, size_t len)
{
	size_t count = 0;
	size_t at;
	int byte;

	for (at = 0; at < len; at++) {
		byte = hex_get_escape(text, len, at);
		out[count++] = byte >= 0 ? (char)byte : text[at];
		if (byte >= 0)
			at += 2;
	}
	return (count);
}
