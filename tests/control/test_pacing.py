"""Tests of the rate limit for channel messages."""

import pytest

from chivedoor.control import budget as budget_module
from chivedoor.control import messages
from chivedoor.control import pacing
from chivedoor.rpc import const

Priority = budget_module.Priority


def create_flows_reply(base):
    return messages.FlowsReply(
        endpoint=1,
        base=base,
        known=True,
        keys=[],
        targets=[],
        kinds=[],
        cursor=None,
    )


DOCUMENT = messages.DocumentReply(
    version=1, change=None, document=b"", confirmed_age_s=0.0
)


@pytest.mark.parametrize(
    ("message", "priority"),
    [
        (DOCUMENT, Priority.DOCUMENTS),
        (create_flows_reply(2), Priority.OVERRIDES),
        (create_flows_reply(None), Priority.CONNECTIONS),
        (messages.SilenceReply(answer_seen=True), Priority.MODES),
        (messages.DocumentRequest(known_version=1), Priority.MODES),
    ],
)
def test_message_is_classified_by_type(message, priority):
    # Guards against documents that delay the transfer of overrides.
    assert pacing.classify_message(message) is priority


async def test_large_message_leaves_room_for_probes():
    # Guards against a document that overdraws the budget, which delays probes
    # and makes members suspect.
    clock = [0.0]
    budget = budget_module.ByteBudget(
        rate_bytes_per_s=4_000, clock=lambda: clock[0]
    )
    probe_allowed = []
    spend = budget.async_spend

    async def async_spend(priority, size):
        while not budget.can_spend(priority, size, clock[0]):
            clock[0] += 0.05
        await spend(priority, size)
        probe_allowed.append(budget.can_spend(Priority.PROBES, 1_200, clock[0]))

    budget.async_spend = async_spend
    await pacing.Pacer(budget).async_pace(DOCUMENT, 50_000)
    assert all(probe_allowed)
    spent = budget.sent_bytes[Priority.DOCUMENTS]
    assert spent == 50_000 + const.FRAME_OVERHEAD_BYTES
