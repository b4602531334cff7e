"""Bounds on WebSocket peers that have not identified themselves yet."""

import asyncio
from functools import partial
from typing import Any

from websockets.asyncio.server import ServerConnection

from lycheeslip_common.admission.limits import AdmissionLimits, derive_limits
from lycheeslip_common.admission.server import Observer
from lycheeslip_common.utils.clock import steady_ms
from lycheeslip_common.utils.logs import log_warning

__all__ = ["PeerConnection", "UnidentifiedPeers"]

MAX_HELLO_BYTES = 4_096  # of the frames by which a peer identifies itself
LOG_INTERVAL_MS = 1_000


class UnidentifiedPeers:
    """Counts the peers of one listener that have not identified themselves."""

    def __init__(
        self, limits: AdmissionLimits | None = None, observer: Observer | None = None
    ) -> None:
        """Use `limits`, by default those of the smallest machine, and count in `observer`."""
        limits = limits or derive_limits()
        self._max_peers = limits.max_unidentified_links
        self.max_bytes = limits.max_head_bytes + MAX_HELLO_BYTES
        self._observer = observer
        self._count = 0
        self._closed_since_log = 0
        self._next_log_at_ms = 0

    @property
    def create_connection(self) -> Any:
        """Creates the connections of a listener; `serve` declares a class, and calls it."""
        return partial(PeerConnection, peers=self)

    def add(self) -> bool:
        """Count a peer; return whether it is within the limit."""
        self._count += 1
        return self._count <= self._max_peers

    def remove(self) -> None:
        """Count a peer no longer, since it is identified or has gone."""
        self._count -= 1

    def note_closed(self) -> None:
        """Count a peer above a limit; at most one line a second is logged."""
        if self._observer is not None:
            self._observer.count("connections_closed", "unidentified_peer")
        self._closed_since_log += 1
        now_ms = steady_ms()
        if now_ms >= self._next_log_at_ms:
            log_warning(
                "connection_closed", reason="unidentified_peer", count=self._closed_since_log
            )
            self._closed_since_log = 0
            self._next_log_at_ms = now_ms + LOG_INTERVAL_MS


class PeerConnection(ServerConnection):
    """A connection that is aborted if its peer sends too much before it is identified."""

    def __init__(self, *args: Any, peers: UnidentifiedPeers, **kwargs: Any) -> None:
        """Create a connection that counts in `peers` until `identify` is called."""
        super().__init__(*args, **kwargs)
        self._peers = peers
        self._is_counted = False
        self._received_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the peer, or abort the connection."""
        self._is_counted = True
        is_within_limit = self._peers.add()
        super().connection_made(transport)
        if not is_within_limit:
            self._abort()

    def data_received(self, data: bytes) -> None:
        """Count received bytes until the peer is identified."""
        if self._is_counted:
            self._received_bytes += len(data)
            if self._received_bytes > self._peers.max_bytes:
                self._abort()
                return
        super().data_received(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Count the peer no longer."""
        self.identify()
        super().connection_lost(exc)

    def identify(self) -> None:
        """Note that the peer has identified itself."""
        if self._is_counted:
            self._is_counted = False
            self._peers.remove()

    def _abort(self) -> None:
        self._peers.note_closed()
        self.transport.abort()
