"""Executes the leader's start and stop orders on the local worker, under run leases."""
