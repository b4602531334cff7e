"""Tests of the start of platform processes."""

import subprocess
import sys

PROGRAM = """
import lycheeslip_platform.__main__
import gc, ssl
print(ssl.create_default_context().cert_store_stats()["x509"], gc.isenabled())
"""


def test_start_after_a_loss_of_power_is_not_delayed_by_loading_certificates():
    ended = subprocess.run([sys.executable, "-c", PROGRAM], capture_output=True, timeout=30)
    assert ended.stdout.split() == [b"0", b"True"], ended.stderr
