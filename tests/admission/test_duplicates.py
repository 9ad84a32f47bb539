"""Tests of the duplicate filter."""

from hypothesis import stateful
from hypothesis import strategies

from chivedoor.admission import duplicates
from tests.admission import conftest  # noqa: F401

FilterResult = duplicates.FilterResult
FLOWS = strategies.integers(1, 4)
PAYLOADS = strategies.sampled_from([b"", b"a", b"b", b"c", b"d"])


class FilterMachine(stateful.RuleBasedStateMachine):
    """The filter of an owner and of a replica that takes over its records."""

    def __init__(self):
        super().__init__()
        self.filter = self.make_filter()
        self.passed = {}

    def make_filter(self):
        return duplicates.DuplicateFilter(
            max_payloads=6, max_payloads_per_flow=3
        )

    @stateful.rule(flow=FLOWS, payload=PAYLOADS)
    def check(self, flow, payload):
        flow_payloads = self.passed.get(flow, set())
        total = sum(map(len, self.passed.values()))
        result = self.filter.check(flow, memoryview(payload))
        if payload in flow_payloads:
            assert result is FilterResult.DUPLICATE
        elif len(flow_payloads) == 3 or total == 6:
            assert result is FilterResult.FULL
        else:
            assert result is FilterResult.PASS
            self.passed.setdefault(flow, set()).add(payload)

    @stateful.rule(flow=FLOWS)
    def remove_flow(self, flow):
        self.filter.remove_flow(flow)
        self.passed.pop(flow, None)

    @stateful.rule()
    def take_over(self):
        replica = self.make_filter()
        for flow in range(1, 5):
            replica.add_digests(flow, self.filter.list_digests(flow))
            replica.add_digests(flow, self.filter.list_digests(flow))
        self.filter = replica

    @stateful.invariant()
    def count_is_exact(self):
        expected = sum(map(len, self.passed.values()))
        assert self.filter.dump_state()["payloads"] == expected


# Guards against requests that run twice, including when the filter is full
# and after a takeover.
TestFilter = FilterMachine.TestCase
