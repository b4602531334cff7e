"""Bounds retries by the work that succeeds, for each account and for the fleet."""

__all__ = ["RetryBudget"]

MIN_RETRY_TOKENS = 10.0
MAX_RETRY_TOKENS = 100.0


class RetryBudget:
    """Tokens by account and for the whole fleet; a first attempt earns a part of a retry."""

    def __init__(self, ratio: float, minimum: float = MIN_RETRY_TOKENS) -> None:
        """Allow `ratio` retries for each first attempt, and `minimum` retries to begin with."""
        self._ratio = ratio
        self._minimum = minimum
        self._fleet = minimum
        self._by_account: dict[str, float] = {}

    def earn(self, account: str) -> None:
        """Count a first attempt at a job of `account`."""
        earned = self._of(account) + self._ratio
        self._by_account[account] = min(MAX_RETRY_TOKENS, earned)
        self._fleet = min(MAX_RETRY_TOKENS, self._fleet + self._ratio)

    def spend(self, account: str) -> bool:
        """Take the token for one retry; False if the account or the fleet has none left."""
        if self._fleet < 1 or self._of(account) < 1:
            return False
        self._fleet -= 1
        self._by_account[account] = self._of(account) - 1
        return True

    def _of(self, account: str) -> float:
        return self._by_account.get(account, self._minimum)
