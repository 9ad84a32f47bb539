"""Checks of rules from the record of a run."""


def find_failback(record, endpoint_id, cold_from, cold_until, per_s, params):
    """Returns (most requests in a second, limit, start of that second).

    Counted are requests that were sent and arrived inside a second in which
    the endpoint was cold, by the opening packet that the endpoint took.
    """
    sent = {line["flow"]: line["sent"] for line in record.read("attempt")}
    pairs = sorted(
        (sent[line["flow"]], line["t"])
        for line in record.read("syn taken")
        if line["id"] == endpoint_id
        and line["flow"] in sent
        and cold_from <= line["t"] <= cold_until
    )
    limit = per_s * params["warmup_tolerance"] + params["warmup_slack"]
    counts = [
        (sum(1 for s, t in pairs if s >= start and t <= start + 1.0), start)
        for start, _ in pairs
    ]
    most, start = max(counts, default=(0, None))
    return most, limit, start
