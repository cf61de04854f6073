"""A source of bytes that never cease, for tests."""

import time


class EndlessSource:
    """Receiving end of a connection on which the next bytes are always there.

    Unlike a sender in another process it is never too slow for its reader, so
    that the outcome of a test does not depend on the processor.

    Parameters
    ----------
    start
        First bytes.
    block
        Bytes that follow again and again.
    give_up_s
        Time after which reading fails, in seconds; much longer than the
        limits that are to hold.

    Attributes
    ----------
    reads
        Number of reads.
    given_up
        Whether reading went on until it failed.
    """

    def __init__(self, start=b"", block=b"x" * 1400, give_up_s=5.0):
        self.rest = start
        self.block = block
        self.reads = 0
        self.given_up = False
        self.given_up_at = time.monotonic() + give_up_s

    def recv(self, size):
        """Return bytes, like the method of a socket."""
        self.reads += 1
        if time.monotonic() > self.given_up_at:
            self.given_up = True
            raise ConnectionResetError
        while len(self.rest) < size:
            self.rest += self.block
        data, self.rest = self.rest[:size], self.rest[size:]
        return data

    def recvfrom(self, size):
        """Return a datagram and its sender, like the method of a socket."""
        return self.recv(size), ("127.0.0.1", 1)

    def recv_into(self, buffer, size=0, flags=0):
        """Fill a buffer, like the method of a socket."""
        data = self.recv(size or len(buffer))
        buffer[: len(data)] = data
        return len(data)


class FloodedSocket:
    """A socket that receives from an endless source instead."""

    def __init__(self, sock, source):
        self.sock = sock
        self.recv = source.recv
        self.recvfrom = source.recvfrom
        self.recv_into = source.recv_into

    def __getattr__(self, name):
        return getattr(self.sock, name)
