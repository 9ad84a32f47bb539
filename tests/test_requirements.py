"""Tests of deployed libraries and of the isolation of the platform."""

import pathlib
import tomllib

ROOT = pathlib.Path(__file__).parent.parent


def test_deployed_libraries_are_declared_in_the_same_version() -> None:
    """Guards against deployed library versions that were not tested."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())
    deployed = (ROOT / "deploy/requirements.txt").read_text().split()
    assert deployed
    assert set(deployed) <= set(project["project"]["dependencies"])


def test_platform_field_names_stay_in_the_platform_package() -> None:
    """Guards against field names of the platform in other packages."""
    names = (
        "warmup_left_ms",
        "concurrency",
        "kv-range",
        "kv-watch",
        "op/config",
        "op/evacuate",
        "store_revision",
    )
    source = ROOT / "src" / "chivedoor"
    found = [
        (str(path.relative_to(source)), name)
        for path in source.rglob("*.py")
        if "platform" not in path.relative_to(source).parts
        for name in names
        if name in path.read_text()
    ]
    assert found == []
