"""Runs the leader's orders on the worker beside this agent, under leases."""
