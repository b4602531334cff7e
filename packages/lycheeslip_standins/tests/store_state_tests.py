import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from lycheeslip_standins.store_state import (
    MAX_VALUE_BYTES,
    CompactedError,
    Comparison,
    Deletion,
    LeaseNotFoundError,
    Range,
    StoreState,
    ValueTooLargeError,
    Write,
)

KEYS = st.sampled_from([b"a/1", b"a/2", b"b/1"])
ALL = Range(b"\0", b"\0")


class StoreMachine(RuleBasedStateMachine):
    """Compares the store with a model of its values and leases and a replay of its history."""

    def __init__(self):
        super().__init__()
        self.state = StoreState()
        self.now_ms = 0
        self.values = {}
        self.lease_by_key = {}
        self.deadlines = {}

    @rule(key=KEYS, value=st.binary(max_size=3), stale=st.booleans(), leased=st.booleans())
    def write_if(self, key, value, stale, leased):
        lease_id = max(self.deadlines, default=0) if leased else 0
        current = self.state.read(Range(key))
        revision = (current[0].mod_revision if current else 0) + stale
        assert self.state.holds([Comparison(key, revision)]) is not stale
        if stale:
            return
        self.state.apply([Write(key, value, lease_id)])
        self.values[key] = value
        self.lease_by_key[key] = lease_id

    @rule(key=KEYS)
    def delete(self, key):
        self.state.apply([Deletion(Range(key))])
        self.values.pop(key, None)

    @rule(ttl_s=st.integers(1, 3))
    def grant(self, ttl_s):
        self.deadlines[self.state.grant(ttl_s, self.now_ms)] = self.now_ms + ttl_s * 1000

    @rule()
    def keep_alive(self):
        for lease_id in self.deadlines:
            ttl_s = self.state.keep_alive(lease_id, self.now_ms)
            assert ttl_s > 0
            self.deadlines[lease_id] = self.now_ms + ttl_s * 1000

    @rule(elapsed_ms=st.integers(0, 2000))
    def pass_time(self, elapsed_ms):
        self.now_ms += elapsed_ms
        self.state.expire(self.now_ms)
        for lease_id, deadline_ms in list(self.deadlines.items()):
            if deadline_ms <= self.now_ms:
                del self.deadlines[lease_id]
                deleted_keys = [
                    key for key, held_by in self.lease_by_key.items() if held_by == lease_id
                ]
                for key in deleted_keys:
                    self.values.pop(key, None)
                assert self.state.keep_alive(lease_id, self.now_ms) == 0

    @rule(from_revision=st.integers(1, 12))
    def replay(self, from_revision):
        at_start = {}
        for event in self.state.events_since(ALL, 1):
            if event.entry.mod_revision < from_revision:
                _replay(at_start, event)
        for event in self.state.events_since(ALL, from_revision):
            _replay(at_start, event)
        assert at_start == self.values

    @invariant()
    def values_match(self):
        entries = self.state.read(ALL)
        assert {entry.key: entry.value for entry in entries} == self.values
        assert all(entry.mod_revision <= self.state.revision for entry in entries)
        prefix = Range(b"a/", b"a0")
        assert {e.key for e in self.state.read(prefix)} == {k for k in self.values if k[:1] == b"a"}


def _replay(values, event):
    if event.deleted:
        values.pop(event.entry.key, None)
    else:
        values[event.entry.key] = event.entry.value


TestStore = StoreMachine.TestCase
TestStore.settings = settings(max_examples=60, stateful_step_count=30, derandomize=True)


def test_refused_writes_change_nothing():
    state = StoreState()
    with pytest.raises(ValueTooLargeError):
        state.apply([Write(b"k", b"v"), Write(b"big", b"x" * (MAX_VALUE_BYTES + 1))])
    with pytest.raises(LeaseNotFoundError):
        state.apply([Write(b"k", b"v"), Write(b"k2", b"v", lease_id=9)])
    assert state.revision == 1
    assert state.read(ALL) == []


def test_reads_of_compacted_history_are_refused():
    state = StoreState()
    state.apply([Write(b"k", b"v")])
    state.compact()
    with pytest.raises(CompactedError):
        state.events_since(ALL, 2)
    assert state.events_since(ALL, 3) == []
