/**
 * @file
 * Whether and how a TCP connection ended.
 */
#ifndef TM_NET_STREAM_END_H
#define TM_NET_STREAM_END_H

#include <sys/types.h>

#include <uv.h>

/**
 * Tells an orderly end from a reset, for bytes whose end is that of their
 * connection. libuv reports UV_EOF also for a reset that arrived together with
 * the last bytes; the socket still knows.
 *
 * @param status  negative count that the read callback was given
 * @return        1 if the other side has ended its writes in order, so that
 *                all that it sent was read
 */
int stream_end_is_orderly(const uv_tcp_t *tcp, ssize_t status);

/**
 * Tells whether the other side has ended a connection that nobody reads, in
 * order or not, even if bytes that it sent before are unread.
 *
 * @param fd  socket of the connection
 */
int stream_end_is_pending(int fd);

/**
 * Tells whether an idle connection is still open and nothing has arrived on it.
 * The loop may not have seen yet that the other side closed it, or sent bytes
 * that would pass as the response to the next request.
 */
int stream_end_is_quiet(const uv_tcp_t *tcp);

#endif
