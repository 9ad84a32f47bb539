"""Tests of the operator interface."""

import math

import pytest

from chivedoor.control import commands
from chivedoor.control import operators
from chivedoor.rpc import codec
from chivedoor.rpc import counts
from chivedoor.rpc import envelope
from chivedoor.rpc import exceptions
from chivedoor.rpc import session
from chivedoor.rpc import transport

KEY = bytes(range(32))
OTHER_KEY = bytes(range(32, 64))
STATUS = commands.StatusReply(
    id="vm-1",
    domain="a",
    state="ACTIVE",
    document_version=7,
    confirmed_age_s=math.inf,
    flows=3,
    targets_owned=1,
    out_domains=["b"],
    packets=100,
    drops=2,
)
PEERS = commands.PeersReply(
    peers=[
        commands.PeerRecord(
            id="vm-1",
            domain="a",
            state="ACTIVE",
            address="127.0.0.1",
            operator_port=9000,
        )
    ]
)
DUMP = commands.DumpReply(
    state={"flows": {"table": [1, 2, None]}, "key": b"\x01", "ratio": 0.5}
)


async def async_status(command):
    return STATUS


async def async_peers(command):
    return PEERS


async def async_dump(command):
    return DUMP


async def async_out(command):
    if command.domain != "a":
        raise exceptions.RequestRefusedError(
            code=exceptions.RefusalCode.REJECTED,
            detail=f"no failure domain {command.domain}",
        )
    return commands.DomainOutReply(domain=command.domain, out=True)


async def async_in(command):
    return commands.DomainInReply(domain=command.domain, out=False)


@pytest.fixture
async def server():
    server = operators.OperatorServer(
        address="127.0.0.1",
        port=0,
        key=KEY,
        commands={
            commands.StatusCommand: async_status,
            commands.PeersCommand: async_peers,
            commands.DumpCommand: async_dump,
            commands.DomainOutCommand: async_out,
            commands.DomainInCommand: async_in,
        },
    )
    await server.async_open()
    yield server
    await server.async_close()


def create_client(server, key=KEY):
    return operators.OperatorClient(
        address="127.0.0.1", port=server.port, key=key
    )


@pytest.mark.parametrize(
    ("command", "reply"),
    [
        (commands.StatusCommand(), STATUS),
        (commands.PeersCommand(), PEERS),
        (commands.DumpCommand(), DUMP),
        (
            commands.DomainOutCommand(domain="a"),
            commands.DomainOutReply(domain="a", out=True),
        ),
        (
            commands.DomainInCommand(domain="a"),
            commands.DomainInReply(domain="a", out=False),
        ),
    ],
    ids=lambda value: type(value).__name__,
)
async def test_command_returns_its_reply(server, command, reply):
    # Guards against a command or reply whose values change in encoding.
    async with create_client(server) as client:
        assert await client.async_send(command, 30) == reply


async def test_rejected_command_returns_the_reason(server):
    # Guards against a mistyped domain name that is reported as success.
    async with create_client(server) as client:
        with pytest.raises(exceptions.RequestRefusedError) as caught:
            await client.async_send(commands.DomainOutCommand(domain="z"), 30)
    assert caught.value.code is exceptions.RefusalCode.REJECTED
    assert caught.value.detail == "no failure domain z"


async def test_wrong_key_is_rejected_and_counted(server):
    # Guards against commands from clients without the operator key.
    with pytest.raises(exceptions.AuthenticationError):
        await create_client(server, OTHER_KEY).async_open()
    fault = exceptions.AuthenticationFault.NO_COMMON_KEY
    assert server.counts.get(fault) == 1


async def test_unknown_command_is_refused_and_counted(server):
    # Guards against a newer client whose commands break an older server.
    connection = await transport.async_connect("127.0.0.1", server.port)
    raw_session = await session.async_initiate(
        connection,
        purpose=session.Purpose.OPERATOR,
        local_id="operator",
        keys=[KEY],
        expected_id=None,
    )
    await raw_session.async_send(
        codec.encode_value([0, 3, "RebootCommand", {}], 999)
    )
    answer = envelope.parse_envelope(await raw_session.async_receive())
    error = envelope.parse_refusal(answer)
    assert error.code is exceptions.RefusalCode.BAD_REQUEST
    fault = exceptions.MessageFault.UNKNOWN_TYPE
    assert server.counts.get(fault) == 1
    await raw_session.async_close()


async def test_state_that_is_not_plain_is_refused():
    # Guards against a dump that closes the connection without an error.
    async def async_broken(command):
        return commands.DumpReply(state={"object": object()})

    server = operators.OperatorServer(
        address="127.0.0.1",
        port=0,
        key=KEY,
        commands={commands.DumpCommand: async_broken},
    )
    await server.async_open()
    try:
        async with create_client(server) as client:
            with pytest.raises(exceptions.RequestRefusedError) as caught:
                await client.async_send(commands.DumpCommand(), 30)
        assert caught.value.code is exceptions.RefusalCode.FAILED
        assert "not a plain value" in caught.value.detail
        assert server.counts.get(counts.RpcEvent.HANDLER_FAILURES) == 1
    finally:
        await server.async_close()


async def test_client_states_are_checked(server):
    # Guards against a command that waits although there is no connection.
    client = create_client(server)
    with pytest.raises(exceptions.ChannelStateError):
        await client.async_send(commands.StatusCommand(), 30)
    await client.async_open()
    with pytest.raises(exceptions.ChannelStateError):
        await client.async_open()
    await client.async_close()
    await client.async_close()
    await server.async_close()
    with pytest.raises(exceptions.PeerUnreachableError):
        await client.async_open()


def test_only_commands_can_have_handlers():
    # Guards against a setup error that is detected only at run time.
    with pytest.raises(exceptions.MessageError):
        operators.OperatorServer(
            address="127.0.0.1",
            port=0,
            key=KEY,
            commands={commands.StatusReply: async_status},
        )
