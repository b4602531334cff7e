"""Test harness that runs real processes on loopback, used by the process tests and `make prove`."""
