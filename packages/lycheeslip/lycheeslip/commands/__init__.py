"""Implementations of the commands whose arguments `lycheeslip.cli` parses."""
