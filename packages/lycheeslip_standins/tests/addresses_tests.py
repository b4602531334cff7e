import errno
import socket

import pytest
from lycheeslip_standins.addresses import ReservedAddresses


@pytest.fixture
def addresses():
    reserved = ReservedAddresses()
    yield reserved
    reserved.release()


def test_reserved_port_is_not_given_to_an_outgoing_connection(addresses):
    port = addresses.take_port()
    with socket.socket() as outgoing:
        with pytest.raises(OSError, match="in use") as raised:
            outgoing.bind(("127.0.0.1", port))
        assert raised.value.errno == errno.EADDRINUSE


def test_server_can_listen_at_a_reserved_address_again_and_again(addresses):
    host, _, port = addresses.take().rpartition(":")
    for _ in range(3):
        with (
            socket.create_server((host, int(port))) as server,
            socket.create_connection((host, int(port))) as client,
        ):
            server.accept()[0].close()
            client.recv(1)


def test_released_addresses_can_be_used_by_others():
    addresses = ReservedAddresses()
    port = addresses.take_port()
    addresses.release()
    with socket.socket() as other:
        other.bind(("127.0.0.1", port))
