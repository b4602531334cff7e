"""Admission control of `aiohttp` servers: counts bytes before the library holds them.

A connection's bytes stay in a `Framer` until a request is complete; only then does the library
parse it. One request of a connection at a time is passed on.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol, cast

import msgspec
from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from lycheeslip_common.admission.decision import (
    Admitted,
    Advanced,
    Connection,
    Decision,
    Ledger,
    Opened,
    Phase,
    Reason,
    Received,
    Refused,
    advance,
    decide,
    expired,
)
from lycheeslip_common.admission.framing import (
    Complete,
    Framer,
    FramerLimits,
    Oversized,
    Unframed,
    WantsContinue,
)
from lycheeslip_common.admission.limits import AdmissionLimits, budget_for, derive_limits
from lycheeslip_common.utils.clock import steady_ms
from lycheeslip_common.utils.logs import log_warning
from lycheeslip_common.utils.metrics import Metrics

__all__ = [
    "Admission",
    "AdmissionRunner",
    "AdmissionServer",
    "ListenerPolicy",
    "MetricsObserver",
    "Observer",
    "RefusalText",
]

TICK_S = 0.25
LOG_INTERVAL_MS = 1_000
NO_BODY_BYTES = 1_024  # for listeners that need no body
LINGER_BYTES = 2 * 1_048_576  # discarded of a refused request, so that its client reads the refusal
MAX_AHEAD_BYTES = 65_536  # received behind a request in progress before reading is paused
WRITE_BUFFER_BYTES = 32_768
NO_VICTIM_PAUSE_MS = 100  # a search through all connections for nothing isn't repeated sooner
RETRY_AFTER_S = 1
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
STATUS_BY_REASON = {
    Reason.OVERLOADED: "503 Service Unavailable",
    Reason.TIMEOUT: "408 Request Timeout",
    Reason.HEAD_TOO_LARGE: "431 Request Header Fields Too Large",
    Reason.BODY_TOO_LARGE: "413 Request Entity Too Large",
    Reason.MALFORMED: "400 Bad Request",
}
QUIET_REASONS = frozenset({Reason.IDLE})  # part of ordinary operation


class Observer(Protocol):
    """Counters of the process."""

    def count(self, name: str, reason: str = "", amount: float = 1) -> None:
        """Add to a counter."""

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""


class MetricsObserver:
    """Counts in the `Metrics` of a process that sends them to StatsD."""

    def __init__(self, metrics: Metrics) -> None:
        """Count in `metrics`, with the reason as the last part of a name."""
        self._metrics = metrics

    def count(self, name: str, reason: str = "", amount: float = 1) -> None:
        """Add to a counter."""
        self._metrics.count(f"{name}.{reason}" if reason else name, int(amount))

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._metrics.gauge(name, value)


class RefusalText(NamedTuple):
    """Body of a refusal."""

    content_type: str
    content: bytes


def _refusal_text(status: int, reason: str) -> RefusalText:
    return RefusalText("application/json", msgspec.json.encode({"reason": reason}))


def _no_body_bytes() -> int:
    return NO_BODY_BYTES


def _unchanged(limits: AdmissionLimits) -> AdmissionLimits:
    return limits


class ListenerPolicy(NamedTuple):
    """What differs between listeners: the largest body, limits in force and text of refusals."""

    max_body_bytes: Callable[[], int] = _no_body_bytes
    limits_in_force: Callable[[AdmissionLimits], AdmissionLimits] = _unchanged
    refusal_text: Callable[[int, str], RefusalText] = _refusal_text


class Admission:
    """Admits the connections and requests of all listeners of one process."""

    def __init__(
        self, limits: AdmissionLimits | None = None, observer: Observer | None = None
    ) -> None:
        """Use `limits`, by default those of the smallest machine, and count in `observer`."""
        self.limits = limits or derive_limits()
        self.ledger = Ledger()
        self.budget = self.limits.max_held_bytes
        self._observer = observer
        self._handler_by_number: dict[int, AdmissionHandler] = {}
        self._last_number = 0
        self._no_victims_until_ms = 0
        self._timer: asyncio.TimerHandle | None = None
        self._closed_by_reason: dict[Reason, int] = {}
        self._next_log_at_ms = 0

    def require(self, max_body_bytes: int) -> None:
        """Make the budget large enough for one request of `max_body_bytes`."""
        self.budget = max(self.budget, budget_for(self.limits, max_body_bytes))

    def open(self, address: str) -> Connection | None:
        """Return a new connection from `address`, None if it is refused."""
        now_ms = steady_ms()
        if not self._is_admitted(Opened(address, now_ms)):
            self.count_closed(Reason.OVERLOADED)
            return None
        self._last_number += 1
        connection = Connection(self._last_number, address, address, progress_at_ms=now_ms)
        deadline_ms = now_ms + self.limits.idle_timeout_ms
        connection = connection._replace(deadline_ms=deadline_ms)
        self.ledger.put(connection)
        self._start_timer()
        return connection

    def attach(self, connection: Connection, handler: "AdmissionHandler") -> None:
        """Call `handler` for what is decided on `connection`."""
        self._handler_by_number[connection.number] = handler

    def admits_bytes(self, connection: Connection, size: int, now_ms: int) -> bool:
        """Return whether `size` more bytes may be held for `connection`."""
        return self._is_admitted(Received(connection, size, now_ms))

    def close(self, number: int) -> None:
        """Forget a connection that has ended."""
        self.ledger.remove(number)
        self._handler_by_number.pop(number, None)

    def count_refused(self, reason: Reason) -> None:
        """Count a refused request."""
        if self._observer is not None:
            self._observer.count("requests_refused", reason)

    def count_closed(self, reason: Reason) -> None:
        """Count a connection closed by this process; it is logged with others of the second."""
        self._closed_by_reason[reason] = self._closed_by_reason.get(reason, 0) + 1
        if self._observer is not None:
            self._observer.count("connections_closed", reason)
        self._start_timer()

    def _is_admitted(self, event: Opened | Received) -> bool:
        """Apply the decision on `event`.

        A search for connections to shed that has found none isn't repeated for a while.
        """
        decision: Decision = decide(
            self.limits,
            self.budget,
            self.ledger,
            event,
            may_shed=event.now_ms >= self._no_victims_until_ms,
        )
        for number in decision.shed:
            handler = self._handler_by_number.get(number)
            if handler is not None:
                handler.shed()
        match decision:
            case Admitted():
                return True
            case Refused(shed):
                if not shed:
                    self._no_victims_until_ms = event.now_ms + NO_VICTIM_PAUSE_MS
                return False

    def _start_timer(self) -> None:
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(TICK_S, self._tick)

    def _tick(self) -> None:
        """Close connections past their deadline, write the gauges and log what was closed."""
        self._timer = None
        now_ms = steady_ms()
        try:
            for handler in list(self._handler_by_number.values()):
                handler.check_closing(now_ms)
            for connection in expired(self.ledger, now_ms):
                handler_or_none = self._handler_by_number.get(connection.number)
                if handler_or_none is not None:
                    handler_or_none.expire(connection.phase)
        except Exception as error:  # the next tick tries again
            log_warning("admission_failed", error=repr(error))
        if self._observer is not None:
            self._observer.gauge("admission_held_bytes", self.ledger.held_bytes)
            self._observer.gauge("admission_connections", len(self.ledger.by_number))
        if now_ms >= self._next_log_at_ms and self._closed_by_reason:
            self._next_log_at_ms = now_ms + LOG_INTERVAL_MS
            closed, self._closed_by_reason = self._closed_by_reason, {}
            for reason, count in closed.items():
                if reason not in QUIET_REASONS:
                    log_warning("connection_closed", reason=reason, count=count)
        if self._handler_by_number or self._closed_by_reason:
            self._start_timer()


class AdmissionHandler(RequestHandler):
    """One connection; passes complete requests on to the library one at a time."""

    __slots__ = (
        "_admission",
        "_connection",
        "_discarded_bytes",
        "_framer",
        "_is_held",
        "_is_last_queued",
        "_is_serving",
        "_pending_refusal",
        "_policy_server",
        "_queue",
        "_queued_bytes",
        "_serving_bytes",
        "_socket_transport",
    )

    def __init__(
        self, server: "AdmissionServer", connection: Connection | None = None, **kwargs: Any
    ) -> None:
        """Handle `connection` to `server`, which is admitted later if it is None."""
        super().__init__(server, **kwargs)
        self._policy_server = server
        self._admission = server.admission
        self._connection = connection
        if connection is not None:
            self._admission.attach(connection, self)
        self._socket_transport: asyncio.Transport | None = None
        self._framer = Framer()
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._serving_bytes = 0
        self._is_serving = False
        self._is_last_queued = False  # nothing is read after the last request queued
        self._pending_refusal: Reason | None = None
        self._is_held = False  # reading is paused, since enough requests are queued
        self._discarded_bytes = 0

    # Callbacks of the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Admit the connection, or close it."""
        self._socket_transport = transport = cast(asyncio.Transport, transport)
        if self._connection is None:
            peer = transport.get_extra_info("peername")
            self._connection = self._policy_server.admit_address(str(peer[0]) if peer else "")
            if self._connection is None:
                transport.write(self._policy_server.connection_refusal())
                transport.close()
                return
            self._admission.attach(self._connection, self)
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        super().connection_made(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release what the connection holds."""
        if self._connection is not None:
            self._admission.close(self._connection.number)
            self._connection = None
        self._framer.clear()
        self._queue.clear()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Count and frame received bytes; the library calls this with none to parse on."""
        if not data:
            super().data_received(data)
            return
        if self._connection is None or self._force_close:
            return
        try:
            self._receive(data)
        except Exception as error:
            self._fail(error)

    def pause_writing(self) -> None:
        """Give the client a time within which it has to read the response."""
        super().pause_writing()
        self._enter_phase(steady_ms())

    def resume_writing(self) -> None:
        """Go on with the request in progress."""
        super().resume_writing()
        self._enter_phase(steady_ms())

    def abandon(self) -> None:
        """Release the connection, which could not be set up."""
        if self._connection is not None:
            self._admission.close(self._connection.number)
            self._connection = None

    # Calls by `Admission`

    def shed(self) -> None:
        """Close the connection, since another one needs what it holds; its request has not run."""
        phase = self._connection.phase if self._connection else Phase.IDLE
        self._admission.count_closed(Reason.OVERLOADED)
        if phase in (Phase.HEAD, Phase.BODY) and self._socket_transport is not None:
            self._admission.count_refused(Reason.OVERLOADED)
            self._socket_transport.write(self._policy_server.refusal(Reason.OVERLOADED))
        self._release()

    def expire(self, phase: Phase) -> None:
        """Close the connection, whose deadline for `phase` has passed."""
        match phase:
            case Phase.HEAD | Phase.BODY:
                try:
                    self._refuse(Reason.TIMEOUT)
                except Exception as error:
                    self._fail(error)
            case Phase.IDLE:
                self._admission.count_closed(Reason.IDLE)
                self._release()
            case Phase.RESPONSE:
                self._admission.count_closed(Reason.RESPONSE_UNREAD)
                self._release()
            case _:
                self._release()

    def check_closing(self, now_ms: int) -> None:
        """Give a connection that is closing the time within which its response has to be read."""
        transport = self._socket_transport
        if self._connection is None or transport is None or not transport.is_closing():
            return
        if self._connection.phase is not Phase.RESPONSE:
            self._enter_phase(now_ms)

    # Receiving

    def _receive(self, data: bytes) -> None:
        connection = self._connection
        assert connection is not None
        if connection.phase is Phase.LINGERING:
            self._discarded_bytes += len(data)
            if self._discarded_bytes > LINGER_BYTES:
                self._release()
            return
        if self._close or self._is_last_queued:
            return
        now_ms = steady_ms()
        if not self._admission.admits_bytes(connection, len(data), now_ms):
            self._refuse(Reason.OVERLOADED)
            return
        self._framer.feed(data)
        self._read_frames()
        self._enter_phase(now_ms)

    def _read_frames(self) -> None:
        """Queue the complete requests, up to the limit, and pass the first one on."""
        limits = self._policy_server.framer_limits()
        while len(self._queue) < self._admission.limits.max_pipelined_requests:
            match self._framer.next_frame(limits):
                case None:
                    break
                case Complete(content, _):
                    self._queue.append(content)
                    self._queued_bytes += len(content)
                case WantsContinue():
                    if not self._is_serving and not self._queue and self._socket_transport:
                        self._socket_transport.write(CONTINUE)
                case Unframed(content):
                    self._queue.append(content)
                    self._queued_bytes += len(content)
                    self._is_last_queued = True
                    break
                case Oversized(reason):
                    self._pending_refusal = reason
                    self._is_last_queued = True
                    break
        self._pass_on()
        self._hold_or_resume()

    def _pass_on(self) -> None:
        """Have the library parse the next complete request, unless one is in progress."""
        if self._is_serving or self._close or self._force_close:
            return
        if not self._queue:
            if self._pending_refusal is not None:
                self._refuse(self._pending_refusal)
            return
        content = self._queue.popleft()
        self._queued_bytes -= len(content)
        self._serving_bytes = len(content)
        self._is_serving = True
        super().data_received(content)
        is_last = self._is_last_queued and not self._queue and self._pending_refusal is None
        if not self._messages:
            self._is_serving = False  # the library sees no whole request where the framer saw one
            self._refuse(Reason.MALFORMED)
        elif is_last:
            self.close()  # after the response

    def _hold_or_resume(self) -> None:
        """Pause reading while enough is queued; the receive buffer bounds what is unread."""
        ahead_bytes = self._queued_bytes + self._framer.held_bytes
        is_full = self._is_serving and (
            len(self._queue) >= self._admission.limits.max_pipelined_requests
            or ahead_bytes >= MAX_AHEAD_BYTES
        )
        if is_full and not self._is_held:
            self._is_held = True
            self._pause_transport_reading()
        elif self._is_held and not is_full:
            self._is_held = False
            if not self._reading_paused and not self._buffer_paused:
                self._resume_transport_reading()

    def _resume_transport_reading(self) -> None:
        if not self._is_held:
            super()._resume_transport_reading()

    async def _handle_request(self, *args: Any) -> tuple[web.StreamResponse, bool]:
        try:
            return await super()._handle_request(*args)
        finally:
            self._end_request()

    def _end_request(self) -> None:
        self._is_serving = False
        self._serving_bytes = 0
        if self._connection is None:
            return
        try:
            if not self._close and not self._force_close:
                self._read_frames()
            self._enter_phase(steady_ms())
        except Exception as error:
            self._fail(error)

    # State and closing

    def _enter_phase(self, now_ms: int) -> None:
        """Note what the connection waits for and holds; a failure closes it."""
        try:
            self._update_connection(now_ms)
        except Exception as error:
            self._fail(error)

    def _update_connection(self, now_ms: int) -> None:
        connection = self._connection
        if connection is None:
            return
        framer = self._framer
        held_bytes = framer.held_bytes + self._queued_bytes + self._serving_bytes
        phase = self._phase(connection)
        limits = self._policy_server.limits()
        connection = advance(limits, Advanced(connection, phase, held_bytes, now_ms))
        group = framer.account or connection.address
        if phase is not Phase.SERVING and group != connection.group:
            connection = connection._replace(group=group)
        self._connection = connection
        self._admission.ledger.put(connection)

    def _phase(self, connection: Connection) -> Phase:
        if connection.phase is Phase.LINGERING:
            return Phase.LINGERING
        if self._paused or (self._socket_transport and self._socket_transport.is_closing()):
            return Phase.RESPONSE
        if self._is_serving or self._queue:
            return Phase.SERVING
        if self._framer.is_in_body:
            return Phase.BODY
        return Phase.HEAD if self._framer.held_bytes else Phase.IDLE

    def _refuse(self, reason: Reason) -> None:
        """Refuse the request that is being received and close the connection.

        What the client still sends is discarded for a while: an earlier close would reset the
        connection before the client has read the refusal. Behind a request in progress there is no
        refusal, only the end of the connection.
        """
        self._admission.count_refused(reason)
        self._admission.count_closed(reason)
        self._framer.clear()
        self._pending_refusal = None
        self._is_last_queued = True
        transport = self._socket_transport
        if transport is not None and transport.is_closing():
            return
        if self._is_serving or self._queue or transport is None:
            self._queue.clear()
            self._queued_bytes = 0
            self.close()
            return
        self._close = True
        transport.write(self._policy_server.refusal(reason))
        transport.write_eof()
        if self._connection is not None:
            self._connection = advance(
                self._admission.limits,
                Advanced(self._connection, Phase.LINGERING, 0, steady_ms()),
            )
            self._admission.ledger.put(self._connection)

    def _release(self) -> None:
        """Close the connection at once, also if its client takes no more bytes."""
        transport = self._socket_transport
        self._framer.clear()
        self._queue.clear()
        self._queued_bytes = 0
        if self._connection is not None:
            self._admission.close(self._connection.number)
            self._connection = None
        self.force_close()
        if transport is not None and transport.get_write_buffer_size():
            transport.abort()

    def _fail(self, error: Exception) -> None:
        """Close a connection for which the decision has failed."""
        log_warning("admission_failed", error=repr(error))
        self._admission.count_closed(Reason.DECISION_FAILED)
        transport = self._socket_transport
        self._release()
        if transport is not None:
            transport.abort()


class AdmissionServer(web.Server):
    """An `aiohttp` server whose connections are admitted by `admission`."""

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Any],
        admission: Admission,
        policy: ListenerPolicy,
        **kwargs: Any,
    ) -> None:
        """Serve `handler` under `policy`."""
        super().__init__(handler, **kwargs)
        self.admission = admission
        self.policy = policy
        self._framer_limits = FramerLimits(0, 0, -1)

    def limits(self) -> AdmissionLimits:
        """Return the limits in force."""
        return self.policy.limits_in_force(self.admission.limits)

    def framer_limits(self) -> FramerLimits:
        """Return the limits of a request in force."""
        limits = self.limits()
        max_body_bytes = self.policy.max_body_bytes()
        if max_body_bytes != self._framer_limits.max_body_bytes:
            self.admission.require(max_body_bytes)
        self._framer_limits = FramerLimits(
            limits.max_head_bytes, limits.max_head_fields, max_body_bytes
        )
        return self._framer_limits

    def admit_address(self, address: str) -> Connection | None:
        """Return a new connection from `address`, None if it is refused."""
        try:
            return self.admission.open(address)
        except Exception as error:
            log_warning("admission_failed", error=repr(error))
            self.admission.count_closed(Reason.DECISION_FAILED)
            return None

    def admit(self, address: str) -> "AdmissionHandler | None":
        """Return the protocol of an accepted connection from `address`, None if it is refused."""
        connection = self.admit_address(address)
        if connection is None:
            return None
        return AdmissionHandler(self, connection, loop=self._loop, **self._kwargs)

    def connection_refusal(self) -> bytes:
        """Return what a client is sent whose connection is refused."""
        return self.refusal(Reason.OVERLOADED)

    def refusal(self, reason: Reason) -> bytes:
        """Return the response that refuses a request for `reason`."""
        status = STATUS_BY_REASON[reason]
        text = self.policy.refusal_text(int(status[:3]), reason)
        retry_after = f"Retry-After: {RETRY_AFTER_S}\r\n" if reason is Reason.OVERLOADED else ""
        head = (
            f"HTTP/1.1 {status}\r\n"
            f"Content-Type: {text.content_type}\r\n"
            f"Content-Length: {len(text.content)}\r\n"
            f"{retry_after}"
            "Connection: close\r\n\r\n"
        )
        return head.encode() + text.content

    def __call__(self) -> RequestHandler:
        """Return the protocol of a new connection."""
        return AdmissionHandler(self, loop=self._loop, **self._kwargs)


class AdmissionRunner(web.AppRunner):
    """Runs an `aiohttp` application whose connections are admitted by `admission`."""

    def __init__(
        self,
        app: web.Application,
        admission: Admission,
        policy: ListenerPolicy,
        **kwargs: Any,
    ) -> None:
        """Serve `app` under `policy`."""
        super().__init__(app, **kwargs)
        self._admission = admission
        self._policy = policy

    async def _make_server(self) -> web.Server:
        server = await super()._make_server()
        return AdmissionServer(
            server.request_handler,
            self._admission,
            self._policy,
            request_factory=server.request_factory,
            **server._kwargs,
        )
