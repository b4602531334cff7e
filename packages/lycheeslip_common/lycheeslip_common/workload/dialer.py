"""Opens links with a patience that grows with each address that doesn't answer."""

from lycheeslip_common.workload.link import OPEN_TIMEOUT_S, Link, LinkSilentError, dial

__all__ = ["Dialer"]

FIRST_TIMEOUT_S = 0.3  # a live entry of another zone answers within a few ms


class Dialer:
    """Dials as one process.

    An instance that was lost may be named as the leader for some time; a live one may be busy with
    the links of a whole fleet. So little time is lost on the first, and the second gets more.
    """

    def __init__(self, role: str, node: str) -> None:
        """Dial as process `node` with `role`."""
        self._role = role
        self._node = node
        self._silent_tries_by_address: dict[str, int] = {}

    async def dial(self, address: str) -> Link:
        """Open a link to `address` (IP:PORT); raises LinkClosedError."""
        tries = self._silent_tries_by_address.pop(address, 0)
        timeout_s = min(OPEN_TIMEOUT_S, FIRST_TIMEOUT_S * 2**tries)
        try:
            return await dial(address, self._role, self._node, timeout_s)
        except LinkSilentError:
            self._silent_tries_by_address[address] = tries + 1
            raise
