"""Server socket on which a process receives messages from its peers."""

from collections.abc import Callable
import logging

import eventlet
from eventlet.green import zmq

from zinniadyke import decoding
from zinniadyke.peers import _codec
from zinniadyke.peers import _message

LOG = logging.getLogger(__name__)


class InboundMessage:
    """Message from a peer, with a method to reply to it.

    Parameters
    ----------
    server
        The server that received it.
    peer_id
        ZeroMQ routing id of the peer's connection.
    call_id
        Number of the call, as packed by the sender.
    """

    def __init__(
        self,
        *,
        server: "PeerServer",
        peer_id: bytes,
        call_id: bytes,
        message: _message.Message,
        payload: bytes,
    ) -> None:
        """Store the message and its reply address."""
        self.server = server
        self.peer_id = peer_id
        self.call_id = call_id
        self.message = message
        self.payload = payload

    def reply(self, message: _message.Message, payload: bytes = b"") -> None:
        """Send an answer; a message may get more than one."""
        self.server.send(self.peer_id, self.call_id, message, payload)


Handler = Callable[[InboundMessage], None]


class PeerServer:
    """ROUTER socket that dispatches messages to handlers by type.

    Each message is handled in its own task, so a handler may block.

    Parameters
    ----------
    address
        ``ip:port`` to bind; port 0 picks a free port.
    """

    def __init__(self, *, context: zmq.Context, address: str) -> None:
        """Bind the socket; ``start`` starts to receive."""
        self.handlers: dict[type, Handler] = {}
        self.bytes_sent = 0
        self.messages_sent = 0
        self.socket = context.socket(zmq.ROUTER)
        self.socket.setsockopt(zmq.LINGER, 0)
        self.socket.setsockopt(zmq.SNDHWM, 0)
        self.socket.setsockopt(zmq.RCVHWM, 0)
        self.address = _bind(self.socket, address)
        self.reader_task: eventlet.greenthread.GreenThread | None = None
        self.handler_tasks = eventlet.GreenPool(10000)

    def register_handler(self, message_type: type, handler: Handler) -> None:
        """Set the handler for one message type."""
        self.handlers[message_type] = handler

    def start(self) -> None:
        """Start to receive messages."""
        self.reader_task = eventlet.spawn(self._read_messages)

    def send(
        self,
        peer_id: bytes,
        call_id: bytes,
        message: _message.Message,
        payload: bytes,
    ) -> None:
        """Send a message to a peer; drop it if the peer has disconnected."""
        body = _codec.encode(message)
        self.bytes_sent += len(body) + len(payload)
        self.messages_sent += 1
        if self.socket.closed:
            return
        self.socket.send_multipart([peer_id, call_id, body, payload])

    def stop(self, linger_ms: int = 0) -> None:
        """Stop receiving, close the socket and kill the handler tasks."""
        try:
            if self.reader_task:
                self.reader_task.kill()
        finally:
            # kill() yields, so this task may be killed before it returns. An
            # open socket would make the context's term() wait forever.
            self.socket.close(linger=linger_ms)
        for task in list(self.handler_tasks.coroutines_running):
            eventlet.kill(task)

    def _read_messages(self) -> None:
        while True:
            frames = self.socket.recv_multipart()
            try:
                inbound = self._parse(frames)
            except (IndexError, *decoding.UNREADABLE) as error:
                LOG.warning(
                    "message dropped: cannot decode",
                    extra={"error": str(error)},
                )
                continue
            self.handler_tasks.spawn_n(self._dispatch, inbound)

    def _parse(self, frames: list[bytes]) -> InboundMessage:
        return InboundMessage(
            server=self,
            peer_id=frames[0],
            call_id=frames[1],
            message=_codec.decode(frames[2]),
            payload=b"".join(frames[3:]),
        )

    def _dispatch(self, inbound: InboundMessage) -> None:
        handler = self.handlers.get(type(inbound.message))
        if handler is None:
            LOG.warning(
                "message dropped: no handler for its type",
                extra={"type": type(inbound.message).__name__},
            )
            return
        try:
            handler(inbound)
        except Exception:
            LOG.exception("message handler failed")


def _bind(socket: zmq.Socket, address: str) -> str:
    host, _, port = address.rpartition(":")
    if port == "0":
        chosen_port = socket.bind_to_random_port(f"tcp://{host}")
        return f"{host}:{chosen_port}"
    socket.bind(f"tcp://{address}")
    return address
