"""Measured comparison of scheduling policies on real processes."""
