"""Tells where the rules for contention between accounts apply."""

from lycheeslip_common.workload.operator import OperatorConfig

__all__ = ["has_contention_rules"]

MIN_ACCOUNTS = 8  # deployments with fewer accounts keep the decisions that they were tuned with


def has_contention_rules(config: OperatorConfig | None) -> bool:
    """Return whether the decisions for many accounts apply under `config`."""
    return config is not None and len(config.accounts) >= MIN_ACCOUNTS
