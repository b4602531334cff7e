"""How long an entry may let agents start tasks under the configuration it knows."""

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
    """Return the monotonic time at which this entry's permits end.

    A permit rests on a read of the store that began at `confirmed_at_ms`. While no entry
    reaches the store no configuration can be accepted, so an entry that hears the same from
    all of its last confirmed peers may go on; one without peers, or that misses one, may not.
    Nor may one whose peer knows an entry that it doesn't know itself.
    """
    confirmed_until = confirmed_at_ms + permit_ms
    if store_reachable or not expected_peers:
        return confirmed_until
    statuses = [peers_by_id.get(peer) for peer in expected_peers]
    heard = [status for status in statuses if status is not None]
    if len(heard) < len(expected_peers):
        return confirmed_until
    alike = all(
        not status.store_reachable
        and status.config_revision == config_revision
        and status.peers - {own_id} <= expected_peers
        for status in heard
    )
    if not alike:
        return confirmed_until
    oldest_ms = min(status.asked_at_ms for status in heard)
    return max(confirmed_until, oldest_ms + permit_ms)
