"""Real processes on loopback, driven and recorded by the process tests and by `make prove`."""
