"""Reserves loopback addresses for processes that are given a fixed address before they start."""

import socket

__all__ = ["ReservedAddresses"]

LOOPBACK = "127.0.0.1"


class ReservedAddresses:
    """Loopback addresses reserved for the processes of one fleet.

    Each port stays bound without listening, so that no outgoing connection is assigned it
    before its process listens there or while that process restarts.
    """

    def __init__(self) -> None:
        """Start without reserved addresses."""
        self._sockets: list[socket.socket] = []

    def take_port(self) -> int:
        """Reserve a new port and return its number."""
        reserved = socket.socket()
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.bind((LOOPBACK, 0))
        self._sockets.append(reserved)
        port: int = reserved.getsockname()[1]
        return port

    def take(self) -> str:
        """Reserve and return a new address."""
        return f"{LOOPBACK}:{self.take_port()}"

    def release(self) -> None:
        """Release all addresses."""
        for reserved in self._sockets:
            reserved.close()
        self._sockets.clear()
