"""Policies to compare with; an entry runs one if its `policy_module` names it."""
