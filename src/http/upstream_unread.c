#include "http/upstream_unread.h"

#include <sys/ioctl.h>

#include <linux/sockios.h>

static size_t
get_unread_bytes(const uv_tcp_t *tcp)
{
	size_t queued = uv_stream_get_write_queue_size((uv_stream_t *)tcp);
	uv_os_fd_t fd;
	int in_socket = 0;

	if (uv_fileno((const uv_handle_t *)tcp, &fd) != 0 ||
	    ioctl(fd, SIOCOUTQ, &in_socket) != 0 || in_socket < 0)
		return (queued);
	return (queued + (size_t)in_socket);
}

int64_t
upstream_unread_update(
    upstream_unread_t *unread, const uv_tcp_t *tcp, int64_t now_ms)
{
	size_t bytes = get_unread_bytes(tcp);

	if (bytes < unread->bytes)
		unread->read_ms = now_ms;
	unread->bytes = bytes;
	return (unread->read_ms);
}
