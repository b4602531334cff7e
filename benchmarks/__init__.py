"""Benchmarks that compare scheduling policies on real processes."""
