"""The store's record of the leader: its node and its listening address."""

import cbor2

from lycheeslip_common.utils.usable import UnusableValueError, is_usable_address, parse_cbor

__all__ = ["decode_leader", "encode_leader"]


def encode_leader(node: str, address: str) -> bytes:
    """Return the record of the leader `node`, which listens at `address`."""
    return cbor2.dumps([node, address])


def decode_leader(value: bytes) -> tuple[str, str] | None:
    """Return the leader's node and listening address, None if `value` names no usable leader."""
    try:
        node, address = parse_cbor(value, tuple[str, str])
    except UnusableValueError:
        return None
    return (node, address) if is_usable_address(address) else None
