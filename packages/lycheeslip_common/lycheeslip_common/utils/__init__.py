"""Clocks, logging, metrics, hashing and retry helpers."""
