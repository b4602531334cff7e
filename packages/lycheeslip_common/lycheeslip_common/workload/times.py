"""Times on which promises rest, in milliseconds."""

from typing import NamedTuple

__all__ = ["CLOCK_DRIFT", "DispatchTimes"]

CLOCK_DRIFT = 0.02  # a backend server's clock may be this share slow (platform's bound)


class DispatchTimes(NamedTuple):
    """Times of entries and agents; the adapter derives some from the deployment's bounds."""

    run_lease_ms: int = 10_000
    """How long runs outlive the agent's last contact with a leader: the longest lease that the
    platform's workers grant, and longer than the cuts of 5 to 8 s that instances see."""

    leader_lease_ms: int = 2_000
    """Time to live of the leader's key: a killed leader is replaced this much later at most."""

    leader_renew_ms: int = 600
    """Time between renewals: three tries within one lease."""

    leader_overhang_ms: int = 2_000
    """How long a leader that can't reach the store still extends the agents' leases."""

    heartbeat_ms: int = 1_000
    """Time between an agent's heartbeats to the leader."""

    silence_ms: int = 2_000
    """Silence after which a link is given up: two heartbeats, and the life of the leader's lease,
    so that agents look for a successor when there can be one."""

    lost_margin_ms: int = 500
    """Added to a run lease before a silent worker's runs count as over: stop time and jitter."""

    config_watch_ms: int = 1_800
    """Longest wait of one watch, so that a connection gone silent is noticed within 2.5 s."""

    config_fresh_ms: int = 2_600
    """Age of the last confirmation up to which callers are served without asking again."""

    config_valid_ms: int = 3_000
    """Age of the last confirmation past which nothing that needs a key is answered."""

    reclaim_wait_ms: int = 1_700
    """How long an urgent unit waits for runs that are about to end before it stops others; the
    deployments give 2.7 s to reclaim a guarantee, stops and retries of lost orders included."""

    retention_ms: int = 150_000
    """How long an ended job's state is kept; the deployment promises 120 s."""
