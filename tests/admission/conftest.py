"""Hypothesis profile and policies for the admission tests."""

import hypothesis

from chivedoor.configuration import document

hypothesis.settings.register_profile(
    "fixed", derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile("fixed")


def make_policy(**changes):
    values = {
        "id": "policy",
        "connections": 100,
        "slots": 4,
        "ramp_initial": 1,
        "ramp_step_s": 5.0,
        "request_deadline_s": 30.0,
        "drain_deadline_s": 3600.0,
        "idle_timeout_s": 3600.0,
        "flow_rate_per_s": 5000,
        "priority": 1,
    }
    return document.Policy(**(values | changes))
