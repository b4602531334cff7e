"""Execution of multi-step jobs: the leader's orders to the local worker, under run leases."""
