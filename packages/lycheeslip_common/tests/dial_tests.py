"""Opening links and sessions to addresses that other writers put into shared records."""

import pytest
from lycheeslip_common.utils.usable import is_usable_address
from lycheeslip_common.wire import session
from lycheeslip_common.workload import link

UNUSABLE_ADDRESSES = [
    "127.0.0.1:700000",
    "127.0.0.1:99999",
    ":99999",
    "127.0.0.1:-1",
    "127.0.0.1:0",
    "127.0.0.1:" + "9" * 5_000,
    "127.0.0.1",
    "[::1:80",
    "127.0.0.1:80@[",
    "\ud800:80",
    "",
]


@pytest.mark.parametrize("address", UNUSABLE_ADDRESSES, ids=lambda text: ascii(text[:20]))
async def test_unusable_address_ends_no_controller_that_opens_a_link(address):
    with pytest.raises(link.LinkClosedError):
        await link.dial(address, "agent", "side-1")


@pytest.mark.parametrize("address", UNUSABLE_ADDRESSES, ids=lambda text: ascii(text[:20]))
async def test_unusable_address_ends_no_controller_that_opens_a_session(address):
    with pytest.raises(session.SessionError):
        await session.dial(address, "key", "agent", "side-1")


@pytest.mark.parametrize("address", ["127.0.0.1:1", "10.128.0.9:65535", "[::1]:8080"])
def test_address_with_a_port_is_usable(address):
    assert is_usable_address(address)
