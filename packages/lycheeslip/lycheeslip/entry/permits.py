"""How long an entry may let agents start tasks under the configuration it knows."""

from collections.abc import Mapping

from lycheeslip.entry.blackboard import PeerStatus

__all__ = ["permit_until_ms"]


def permit_until_ms(
    confirmed_at_ms: int,
    config_revision: int,
    permit_ms: int,
    store_reachable: bool,
    other_holders: frozenset[str],
    peers_by_id: Mapping[str, PeerStatus],
) -> int:
    """Return the monotonic time at which this entry's permits end.

    A permit rests on a read of the store that began at `confirmed_at_ms`. While no entry
    reaches the store no configuration can be accepted, so an entry that hears the same from
    every other holder, and nothing else from any peer, may go on; one that knows no other
    holder, or misses one, may not.
    """
    confirmed_until = confirmed_at_ms + permit_ms
    if store_reachable or not other_holders:
        return confirmed_until
    statuses = [peers_by_id.get(peer) for peer in other_holders]
    heard = [status for status in statuses if status is not None]
    if len(heard) < len(other_holders):
        return confirmed_until
    alike = all(
        not status.store_reachable and status.config_revision == config_revision
        for status in peers_by_id.values()
    )
    if not alike:
        return confirmed_until
    oldest_ms = min(status.asked_at_ms for status in heard)
    return max(confirmed_until, oldest_ms + permit_ms)
