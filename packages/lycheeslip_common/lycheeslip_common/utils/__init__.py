"""Clocks, logs, metrics and retry delays."""
