"""Tests for the comparison of overload policies."""

import json

import pytest

from bench import overload


def test_command_writes_table_plot_and_json(tmp_path, capsys) -> None:
    """Guards against results that are printed but not written."""
    plot, values = tmp_path / "plot.svg", tmp_path / "values.json"
    arguments = ["--loads", "0.5", "1.5", "--duration", "1"]
    status = overload.main(
        [*arguments, "--plot", str(plot), "--json", str(values)]
    )
    assert status == 0
    assert capsys.readouterr().out.count("observed delay") == 2
    assert plot.read_text().startswith("<?xml")
    # Four policies at two loads.
    assert len(json.loads(values.read_text())) == 8


@pytest.mark.parametrize("arguments", [["--loads", "0"], ["--duration", "0"]])
def test_invalid_options_are_rejected(arguments, capsys) -> None:
    """Guards against a run that never ends or prints nothing."""
    with pytest.raises(SystemExit):
        overload.main(arguments)
    assert "must be positive" in capsys.readouterr().err
