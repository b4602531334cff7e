"""Leases, timeouts and intervals of entries and agents, in milliseconds."""

from typing import NamedTuple

__all__ = ["CLOCK_DRIFT", "DispatchTimes"]

RENEWAL_RETRY_MS = 250  # allows several tries within a lease
CLOCK_DRIFT = 0.02  # fraction by which a backend server's clock may run slow; bound of the platform


class DispatchTimes(NamedTuple):
    """Times of entries and agents; the adapter derives some from limits of the deployment."""

    run_lease_ms: int = 10_000
    """Lease of a run, renewed while the agent is in contact with a leader: the longest lease that
    the platform's workers grant, and longer than network partitions of instances, 5 to 8 s."""

    leader_lease_ms: int = 2_000
    """Time to live of the leader's key: the longest time until a failed leader can be replaced."""

    leader_renew_ms: int = 600
    """Interval between renewals of the leader's lease: three attempts within one lease."""

    leader_grace_ms: int = 2_000
    """How long a leader continues to extend agents' leases after its own lease has expired because
    it can't reach the store."""

    heartbeat_ms: int = 1_000
    """Interval between an agent's heartbeats to the leader."""

    link_timeout_ms: int = 2_000
    """Time without a message after which a link is closed: two heartbeats. It equals the leader's
    lease, so that agents look for a new leader as soon as one can be elected."""

    lost_margin_ms: int = 500
    """Added to the run lease before the runs of a silent worker count as lost; covers the time to
    stop a run and jitter."""

    config_watch_ms: int = 1_800
    """Longest wait of one watch request; a dead connection is detected within 2.5 s."""

    config_fresh_ms: int = 2_600
    """Age up to which a confirmation of the configuration by the store suffices; past it, a request
    first asks for another one."""

    config_valid_ms: int = 3_000
    """Age of the last confirmation of the configuration past which requests are rejected, as their
    API key may have been revoked since."""

    reclaim_wait_ms: int = 1_700
    """How long an urgent unit waits at most for runs that are about to end before others are
    preempted for it; a unit with little slack to its latency objective waits less. Deployments
    allow 2.7 s to reclaim a guarantee, with stops and retries of lost orders."""

    retention_ms: int = 150_000
    """How long the state of an ended job is kept; deployments promise 120 s."""

    checkpoint_ms: int = 1_000
    """Interval at which tasks with checkpoints save them: what a run loses at most that ends
    without a stop."""

    @property
    def renewal_retry_ms(self) -> int:
        """Pause before a failed renewal of the leader's lease is repeated."""
        return min(RENEWAL_RETRY_MS, self.leader_renew_ms)

    @property
    def lease_in_doubt_ms(self) -> int:
        """Age of the last renewal past which more than one has failed or is late."""
        return self.leader_renew_ms + self.renewal_retry_ms + self.leader_renew_ms // 3
