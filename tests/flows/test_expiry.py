"""Tests of the expiry of flow records."""

import pytest

from chivedoor import ids
from chivedoor.configuration import document as documents
from chivedoor.flows import const
from chivedoor.flows import records

_IDLE_S = 10.0


def _fill_table(count):
    table = records.FlowTable(now=0.0, opening_timeout_s=_IDLE_S)
    for key in range(count):
        table.adopt(ids.FlowKey(key), documents.PortKind.STREAM, 0.0)
    return table


def _expire(table, now):
    closed, _ = table.expire(
        now=now, idle_timeout_s=_IDLE_S, slot_timeout_s=_IDLE_S
    )
    return len(closed)


@pytest.mark.parametrize("count", [1, 64, 3_478, 30_000])
def test_expiry_spreads_its_work_over_a_pass(count):
    # Guards against a tick that checks all records of a target instead of the
    # fraction that is due in a pass, which took a quarter of a core at the
    # planned size.
    table = _fill_table(count)
    calls = [_expire(table, 1_000.0) for _ in range(const.EXPIRE_PASS_CALLS)]
    assert sum(calls) == count
    share = -(-count // const.EXPIRE_PASS_CALLS)
    assert max(calls) <= max(share, const.EXPIRE_MIN_BATCH)


def test_expiry_batch_is_bounded():
    # Guards against a batch that grows with the table without limit and blocks
    # the event loop.
    table = _fill_table(2 * const.EXPIRE_PASS_CALLS * const.EXPIRE_MAX_BATCH)
    assert _expire(table, 1_000.0) == const.EXPIRE_MAX_BATCH
