"""Requests over TLS that arrive in pieces of the size of a read buffer.

Usage: tls_pieces.py HOST:PORT CA KEY
libuv reads on when a read has filled its buffer, and then reports that nothing
has arrived. libh2o takes that for the end of a connection over TLS."""
import http.client
import socket
import ssl
import sys
import time

HOST, PORT = sys.argv[1].split(":")
KEY = sys.argv[3]
BODY = b"x" * 200_000
PIECES = [4096, 8192, 16384, 5000]  # the buffers of libh2o, and another size
PAUSE_S = 0.005  # so that each piece is read on its own


class Connection:
    """A TLS connection whose encrypted bytes are sent in pieces."""

    def __init__(self):
        self.sock = socket.create_connection((HOST, int(PORT)), timeout=10)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.received = ssl.MemoryBIO()
        self.sent = ssl.MemoryBIO()
        context = ssl.create_default_context(cafile=sys.argv[2])
        self.tls = context.wrap_bio(self.received, self.sent,
                                    server_hostname=HOST)
        self.run(self.tls.do_handshake)

    def run(self, step):
        while True:
            try:
                return step()
            except ssl.SSLWantReadError:
                self.sock.sendall(self.sent.read())
                data = self.sock.recv(65536)
                if not data:
                    raise ConnectionError("closed without response") from None
                self.received.write(data)

    def send(self, data, piece_bytes):
        self.tls.write(data)
        encrypted = self.sent.read()
        for at in range(0, len(encrypted), piece_bytes):
            self.sock.sendall(encrypted[at:at + piece_bytes])
            time.sleep(PAUSE_S)

    def makefile(self, _mode):
        """For http.client.HTTPResponse."""
        return self

    def readline(self, limit):
        line = b""
        while not line.endswith(b"\n") and len(line) < limit:
            line += self.run(lambda: self.tls.read(1))
        return line

    def flush(self):
        pass

    def close(self):
        self.sock.close()


def get_status(piece_bytes):
    conn = Connection()
    try:
        conn.send(f"POST /s1/x HTTP/1.1\r\nHost: h\r\nX-Api-Key: {KEY}\r\n"
                  f"Content-Length: {len(BODY)}\r\n\r\n".encode() + BODY,
                  piece_bytes)
        response = http.client.HTTPResponse(conn)
        response.begin()
        return response.status
    except OSError as err:
        return type(err).__name__
    finally:
        conn.close()


for size in PIECES:
    print(f"{size} bytes: {get_status(size)}")
