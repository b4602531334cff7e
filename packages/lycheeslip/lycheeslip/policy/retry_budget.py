"""Limits retries to a ratio of first attempts, for each account and for the fleet."""

__all__ = ["RetryBudget"]

MIN_RETRY_TOKENS = 10.0
MAX_RETRY_TOKENS = 100.0
REFILL_INTERVAL_MS = 5_000


class RetryBudget:
    """Retry tokens by account and for the whole fleet; each first attempt earns a fraction."""

    def __init__(self, ratio: float, minimum: float = MIN_RETRY_TOKENS) -> None:
        """Earn `ratio` tokens for each first attempt; start and refill up to `minimum` tokens."""
        self.ratio = ratio
        self._minimum = minimum
        self._fleet = minimum
        self._refilled_at_ms = 0
        self._by_account: dict[str, float] = {}

    def earn(self, account: str) -> None:
        """Earn tokens for a first attempt at a job of `account`."""
        earned = self._tokens_of(account) + self.ratio
        self._by_account[account] = min(MAX_RETRY_TOKENS, earned)
        self._fleet = min(MAX_RETRY_TOKENS, self._fleet + self.ratio)

    def refill(self, now_ms: int) -> None:
        """Add a token per refill interval, up to the minimum, so that no retry waits forever."""
        if not self._refilled_at_ms:
            self._refilled_at_ms = now_ms
        tokens = (now_ms - self._refilled_at_ms) // REFILL_INTERVAL_MS
        if tokens <= 0:
            return
        self._refilled_at_ms += tokens * REFILL_INTERVAL_MS
        self._fleet = self._refilled(self._fleet, tokens)
        for account, left in self._by_account.items():
            self._by_account[account] = self._refilled(left, tokens)

    def _refilled(self, left: float, tokens: int) -> float:
        return max(left, min(self._minimum, left + tokens))

    def spend(self, account: str) -> bool:
        """Spend a token on one retry; return False if the account or the fleet has none left."""
        if not self.has_token(account):
            return False
        self._fleet -= 1
        self._by_account[account] = self._tokens_of(account) - 1
        return True

    def has_token(self, account: str) -> bool:
        """Return whether a retry of a job of `account` may start."""
        return self._fleet >= 1 and self._tokens_of(account) >= 1

    def _tokens_of(self, account: str) -> float:
        return self._by_account.get(account, self._minimum)
