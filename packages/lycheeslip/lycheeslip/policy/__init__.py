"""Scheduling decisions as pure functions; nothing here does I/O or reads a clock."""
