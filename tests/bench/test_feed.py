"""Test of the measurement of configurations on the wire."""

from bench import feed


def test_measurement_runs_at_any_size(capsys) -> None:
    """Guards against documented commands that do not run."""
    for routes in ("3", "1640"):
        assert feed.main(["--routes", routes]) == 0
    assert "own read, slow link, s: " in capsys.readouterr().out
