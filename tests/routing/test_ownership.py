"""Tests of the ranking of owners."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from chivedoor.routing import ownership

_MEMBERS = tuple(f"vm{index}" for index in range(8))
_VIEWS = strategies.lists(
    strategies.frozensets(strategies.sampled_from(_MEMBERS)), max_size=8
)


@settings(max_examples=200)
@given(views=_VIEWS, depth=strategies.integers(1, 3))
def test_incremental_ranking_equals_full_ranking(views, depth):
    # Guards against balancers that select different owners because they saw
    # members join and leave in a different order.
    ranking = ownership.OwnerRanking(depth=depth)
    for view in views:
        ranking.update_candidates(view)
        for number in range(1, 20):
            assert ranking.find_owners(number) == ownership.rank_owners(
                number, view, depth
            )


def test_first_replica_becomes_owner_when_the_owner_fails():
    # Guards against a takeover by a balancer that has no replica of the flow
    # records.
    for number in range(1, 50):
        owner, replica = ownership.rank_owners(number, _MEMBERS, 2)
        rest = set(_MEMBERS) - {owner}
        assert ownership.rank_owners(number, rest, 1) == (replica,)


def test_update_returns_whether_candidates_changed():
    # Guards against stored rankings of endpoints from previous documents.
    ranking = ownership.OwnerRanking(depth=2)
    assert ranking.update_candidates(_MEMBERS)
    assert not ranking.update_candidates(reversed(_MEMBERS))
    ranking.find_owners(1)
    ranking.retain_endpoints(frozenset((2,)))
    ranking.update_candidates(_MEMBERS[:3])
    assert ranking.find_owners(1) == ownership.rank_owners(1, _MEMBERS[:3], 2)
