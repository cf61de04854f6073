"""Connection to one peer, with a reader task and its open calls."""

import itertools
import struct
import time

import eventlet
from eventlet.green import zmq
from eventlet import queue

from zinniadyke import decoding
from zinniadyke import errors
from zinniadyke.peers import _codec
from zinniadyke.peers import _message

CALL_ID = struct.Struct(">Q")
RECONNECT_MS = 200
RECONNECT_MAX_MS = 2000
# Lateness of a timer that shows that this process did not run.
PROCESS_STALL_S = 0.1
# Wait after a timeout that looks for such lateness.
STALL_PROBE_S = 0.01
# Further wait after a stall. It is split, since a message and its answer need
# several turns of the event loop, and each may take long on a busy host.
STALL_GRACE_S = 0.5
STALL_GRACE_TURNS = 10

NO_ANSWER = object()


class Call:
    """Queue of the answers to one message, in order of arrival.

    Parameters
    ----------
    call_id
        Number of the call on its connection.
    """

    def __init__(self, *, call_id: int) -> None:
        """Create a call without answers."""
        self.call_id = call_id
        self.answers: queue.LightQueue = queue.LightQueue()

    def receive(self, timeout_s: float) -> tuple[_message.Message, bytes]:
        """Return the next answer and its payload.

        Raises
        ------
        PeerTimeoutError
            No answer came within ``timeout_s`` seconds, or the connection
            was closed or its peer declared unreachable.
        """
        timeout_s = max(timeout_s, 0)
        deadline = time.monotonic() + timeout_s
        item = self._next_answer(timeout_s)
        if item is NO_ANSWER:
            item = self._next_answer(STALL_PROBE_S)
        if item is NO_ANSWER and (
            time.monotonic() > deadline + STALL_PROBE_S + PROCESS_STALL_S
        ):
            # This process was stalled; an answer may be waiting unread.
            item = self._next_answer_after_stall()
        if item is NO_ANSWER:
            raise errors.PeerTimeoutError(
                "no answer from the peer before the timeout"
            )
        if item is None:
            raise errors.PeerTimeoutError(
                "the peer is unreachable or the connection was closed"
            )
        return item

    def _next_answer_after_stall(self):
        for _ in range(STALL_GRACE_TURNS):
            item = self._next_answer(STALL_GRACE_S / STALL_GRACE_TURNS)
            if item is not NO_ANSWER:
                return item
        return NO_ANSWER

    def _next_answer(self, timeout_s: float):
        try:
            return self.answers.get(timeout=timeout_s)
        except queue.Empty:
            return NO_ANSWER


class PeerConnection:
    """DEALER socket connected to one peer.

    Parameters
    ----------
    context
        The process's ZeroMQ context.
    address
        ``ip:port`` of the peer.
    """

    def __init__(self, *, context: zmq.Context, address: str) -> None:
        """Connect and start the reader task."""
        self.address = address
        self.open_calls: dict[int, Call] = {}
        self.call_ids = itertools.count(1)
        self.last_received_at = 0.0
        self.closed = False
        self.socket = context.socket(zmq.DEALER)
        self.socket.setsockopt(zmq.LINGER, 0)
        self.socket.setsockopt(zmq.SNDHWM, 0)
        self.socket.setsockopt(zmq.RCVHWM, 0)
        self.socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        self.socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        self.socket.connect(f"tcp://{address}")
        self.reader_task = eventlet.spawn(self._read_answers)

    def start(self, message: _message.Message, payload: bytes = b"") -> Call:
        """Send a message and return the call that collects its answers."""
        call = Call(call_id=next(self.call_ids))
        self.open_calls[call.call_id] = call
        self.send(call, message, payload)
        return call

    def send(
        self, call: Call, message: _message.Message, payload: bytes = b""
    ) -> None:
        """Send a message with the number of an open call."""
        if self.closed:
            raise errors.PeerTimeoutError(
                "the connection to the peer is closed"
            )
        self.socket.send_multipart(
            [CALL_ID.pack(call.call_id), _codec.encode(message), payload]
        )

    def finish(self, call: Call) -> None:
        """Remove a call; answers that arrive later are dropped."""
        self.open_calls.pop(call.call_id, None)

    def send_and_receive(
        self,
        message: _message.Message,
        timeout_s: float,
        payload: bytes = b"",
    ) -> tuple[_message.Message, bytes]:
        """Send a message and return its first answer.

        Raises
        ------
        PeerTimeoutError
            No answer came within ``timeout_s`` seconds, or the connection
            is closed.
        """
        call = self.start(message, payload)
        try:
            return call.receive(timeout_s)
        finally:
            self.finish(call)

    def fail_calls(self) -> None:
        """Fail all open calls because the peer is considered unreachable."""
        for call in list(self.open_calls.values()):
            call.answers.put(None)

    def close(self) -> None:
        """Close the socket and fail all open calls."""
        if self.closed:
            return
        self.closed = True
        self.fail_calls()
        try:
            self.reader_task.kill()
        finally:
            # kill() yields, so this task may be killed before it returns. An
            # open socket would make the context's term() wait forever.
            self.socket.close()

    def _read_answers(self) -> None:
        while True:
            frames = self.socket.recv_multipart()
            self.last_received_at = time.monotonic()
            try:
                number = CALL_ID.unpack(frames[0])[0]
                message = _codec.decode(frames[1])
            except (struct.error, IndexError, *decoding.UNREADABLE):
                continue
            call = self.open_calls.get(number)
            if call is not None:
                call.answers.put((message, b"".join(frames[2:])))
