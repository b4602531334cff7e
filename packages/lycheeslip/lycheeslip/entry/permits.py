"""Start permits: how long agents may start tasks under the configuration of an entry."""

from collections.abc import Mapping

from lycheeslip.entry.blackboard import PeerStatus

__all__ = ["permit_until_ms"]


def permit_until_ms(
    confirmed_at_ms: int,
    config_revision: int,
    permit_ms: int,
    store_reachable: bool,
    expected_peers: frozenset[str],
    peers_by_id: Mapping[str, PeerStatus],
    own_id: str,
) -> int:
    """Return the monotonic time in ms at which this entry's permits end.

    A permit is valid for `permit_ms` from the start of a store read, `confirmed_at_ms`. While no
    entry reaches the store, no configuration can be accepted, so an entry may extend its
    permits if all expected peers report the same revision and no reachable store. They are then
    valid for `permit_ms` from the oldest ping that these reports answer. An entry may not
    extend its permits if it has no peers, if a peer's status is missing, or if a peer expects
    an entry that this one does not expect.
    """
    confirmed_until_ms = confirmed_at_ms + permit_ms
    if store_reachable or not expected_peers:
        return confirmed_until_ms
    statuses = [peers_by_id.get(peer) for peer in expected_peers]
    known_statuses = [status for status in statuses if status is not None]
    if len(known_statuses) < len(expected_peers):
        return confirmed_until_ms
    peers_agree = all(
        not status.store_reachable
        and status.config_revision == config_revision
        and status.peers - {own_id} <= expected_peers
        for status in known_statuses
    )
    if not peers_agree:
        return confirmed_until_ms
    oldest_ms = min(status.ping_sent_at_ms for status in known_statuses)
    return max(confirmed_until_ms, oldest_ms + permit_ms)
