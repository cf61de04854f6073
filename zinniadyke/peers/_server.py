"""The socket on which a process answers its peers."""

from collections.abc import Callable
import logging

import eventlet
from eventlet.green import zmq
import msgspec

from zinniadyke.peers import _codec
from zinniadyke.peers import _message

LOG = logging.getLogger(__name__)


class InboundMessage:
    """One message from a peer, and the way to answer it.

    Parameters
    ----------
    server
        The server that received it.
    peer
        Routing id of the peer's connection.
    call_id
        Packed number of the call.
    """

    def __init__(
        self,
        *,
        server: "PeerServer",
        peer: bytes,
        call_id: bytes,
        message: _message.Message,
        payload: bytes,
    ) -> None:
        """Hold the message."""
        self.server = server
        self.peer = peer
        self.call_id = call_id
        self.message = message
        self.payload = payload

    def reply(self, message: _message.Message, payload: bytes = b"") -> None:
        """Send an answer; one message may have several."""
        self.server.send(self.peer, self.call_id, message, payload)


Handler = Callable[[InboundMessage], None]


class PeerServer:
    """A ROUTER socket whose messages go to handlers by type.

    Each message is handled in its own task, so that a handler may wait.

    Parameters
    ----------
    address
        ``ip:port`` to bind; port 0 takes a free one.
    """

    def __init__(self, *, context: zmq.Context, address: str) -> None:
        """Bind the socket; ``start`` begins to receive."""
        self.handlers: dict[type, Handler] = {}
        self.bytes_sent = 0
        self.messages_sent = 0
        self.socket = context.socket(zmq.ROUTER)
        self.socket.setsockopt(zmq.LINGER, 0)
        self.socket.setsockopt(zmq.SNDHWM, 0)
        self.socket.setsockopt(zmq.RCVHWM, 0)
        self.address = _bind(self.socket, address)
        self.reader: eventlet.greenthread.GreenThread | None = None
        self.tasks = eventlet.GreenPool(10000)

    def register_handler(self, message_type: type, handler: Handler) -> None:
        """Set the handler of one type of message."""
        self.handlers[message_type] = handler

    def start(self) -> None:
        """Begin to receive."""
        self.reader = eventlet.spawn(self._read)

    def send(
        self,
        peer: bytes,
        call_id: bytes,
        message: _message.Message,
        payload: bytes,
    ) -> None:
        """Send one message to a connected peer; dropped if it has gone."""
        body = _codec.encode(message)
        self.bytes_sent += len(body) + len(payload)
        self.messages_sent += 1
        if self.socket.closed:
            return
        self.socket.send_multipart([peer, call_id, body, payload])

    def stop(self, linger_ms: int = 0) -> None:
        """Stop receiving and close the socket."""
        if self.reader:
            self.reader.kill()
        self.socket.close(linger=linger_ms)
        for task in list(self.tasks.coroutines_running):
            eventlet.kill(task)

    def _read(self) -> None:
        while True:
            frames = self.socket.recv_multipart()
            try:
                inbound = self._parse(frames)
            except (IndexError, msgspec.MsgspecError) as error:
                LOG.warning("unreadable message", extra={"error": str(error)})
                continue
            self.tasks.spawn_n(self._dispatch, inbound)

    def _parse(self, frames: list[bytes]) -> InboundMessage:
        return InboundMessage(
            server=self,
            peer=frames[0],
            call_id=frames[1],
            message=_codec.decode(frames[2]),
            payload=b"".join(frames[3:]),
        )

    def _dispatch(self, inbound: InboundMessage) -> None:
        handler = self.handlers.get(type(inbound.message))
        if handler is None:
            LOG.warning(
                "no handler", extra={"type": type(inbound.message).__name__}
            )
            return
        try:
            handler(inbound)
        except Exception:
            LOG.exception("handler failed")


def _bind(socket: zmq.Socket, address: str) -> str:
    host, _, port = address.rpartition(":")
    if port == "0":
        chosen = socket.bind_to_random_port(f"tcp://{host}")
        return f"{host}:{chosen}"
    socket.bind(f"tcp://{address}")
    return address
