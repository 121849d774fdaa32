/**
 * @file
 * Hexadecimal digits, and the %xx escapes of URLs.
 */
#ifndef TM_BASE_HEX_H
#define TM_BASE_HEX_H

#include <stddef.h>
#include <stdint.h>

/** @return 0 to 15 for a digit in any letter case; else -1 */
int hex_get_digit(char c);

/**
 * Writes two lower-case digits for each byte, and a NUL.
 *
 * @param out  room for 2 * len + 1 characters
 */
void hex_write(char *out, const uint8_t *bytes, size_t len);

/** @return byte of the escape %xx at a place; -1 if there is none */
int hex_get_escape(const char *text, size_t len, size_t at);

/**
 * Decodes escapes once; anything else stays as it is.
 *
 * @param out  room for len characters; may be the text itself
 * @return     number of characters
 */
size_t hex_decode_escapes(char *out, const char *text, size_t len);

#endif
