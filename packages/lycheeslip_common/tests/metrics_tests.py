import socket

from lycheeslip_common.utils.metrics import Metrics

RECEIVE_TIMEOUT_S = 2.0


def test_counters_gauges_and_timings_are_sent_to_statsd():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.settimeout(RECEIVE_TIMEOUT_S)
        metrics = Metrics(f"127.0.0.1:{server.getsockname()[1]}")
        metrics.count("refuse.unknown_account", 2)
        metrics.gauge("workers", 7)
        metrics.timing_ms("plan.round", 3)
        sent = [server.recv(200) for _ in range(3)]
    assert sent[0] == b"lycheeslip.refuse.unknown_account:2|c"
    assert sent[1] == b"lycheeslip.workers:7|g"
    assert sent[2].startswith(b"lycheeslip.plan.round:3")
    assert metrics.counts["refuse.unknown_account"] == 2


def test_counts_are_kept_without_a_statsd_address():
    metrics = Metrics()
    metrics.count("a")
    metrics.gauge("b", 1)
    assert metrics.counts == {"a": 1}
