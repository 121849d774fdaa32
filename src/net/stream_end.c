#include "net/stream_end.h"

#include <errno.h>
#include <poll.h>
#include <sys/socket.h>

int
stream_end_is_orderly(const uv_tcp_t *tcp, ssize_t status)
{
	uv_os_fd_t fd;
	char byte;

	return (status == UV_EOF &&
	    uv_fileno((const uv_handle_t *)tcp, &fd) == 0 &&
	    recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0);
}

int
stream_end_is_pending(int fd)
{
	struct pollfd state = { .fd = fd, .events = POLLRDHUP };

	return (poll(&state, 1, 0) > 0 &&
	    (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0);
}

int
stream_end_is_quiet(const uv_tcp_t *tcp)
{
	uv_os_fd_t fd;
	char byte;

	if (uv_fileno((const uv_handle_t *)tcp, &fd) != 0)
		return (0);
	return (recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
	    (errno == EAGAIN || errno == EWOULDBLOCK));
}
