"""Baseline policies for comparison, selected by the `policy_module` setting of an entry."""
