"""Tests of the capacity page against the committed measurements."""

import json

import pytest

from bench import capacity_page


@pytest.fixture
def measurements():
    return capacity_page.load_measurements()


def test_page_shows_the_committed_figures(measurements):
    # Guards against figures on the page that no committed measurement gave.
    page = capacity_page.PAGE_PATH.read_text()
    assert page == capacity_page.replace_tables(page, measurements)


def test_rows_over_budget_are_listed_first(measurements):
    # Guards against a row over budget that is missing from the list at the top.
    page = capacity_page.PAGE_PATH.read_text()
    listed = page.partition("## Assumptions")[0]
    misfits = [
        row.name
        for rows in capacity_page.TABLES.values()
        for row in rows
        for deployment in (capacity_page.TODAY, capacity_page.PLANNED)
        if not row.fits(measurements, deployment)
    ]
    assert misfits
    assert [name for name in misfits if name not in listed] == []


def test_changed_figure_changes_the_page(measurements):
    # Guards against a page that does not depend on the measurements.
    page = capacity_page.PAGE_PATH.read_text()
    report = json.loads(capacity_page.FIGURES_PATH.read_text())
    for value in report["measured"].values():
        value["median"] *= 2
    changed = capacity_page.Measurements(report)
    assert page != capacity_page.replace_tables(page, changed)


def test_page_without_markers_is_rejected(measurements):
    # Guards against tables that are silently dropped from the page.
    with pytest.raises(ValueError, match="misfits"):
        capacity_page.replace_tables("", measurements)


def test_sizes_match_the_deployments():
    # Guards against rows computed for another deployment size.
    planned = capacity_page.PLANNED
    assert (planned.members, planned.endpoints) == (830, 4_600)
    assert len(planned.service_sizes) == 2_900
    assert capacity_page.TODAY.endpoints == 10
