"""Tests of the scheduling policy."""
