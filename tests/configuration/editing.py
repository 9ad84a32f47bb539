"""Helpers that edit documents as JSON values and format faults."""

import copy
import re


def edit(value, **edits):
    """Returns a copy with other values; `set_value` describes the paths."""
    changed = copy.deepcopy(value)
    for path, content in edits.items():
        set_value(changed, path, content)
    return changed


def set_value(value, path, content):
    """Sets the value at a path such as `services[2].endpoints[0][3]`.

    The index after the last item of a list appends; None as the content of a
    list item removes it.
    """
    *parents, last = (
        int(key) if key.isdigit() else key
        for key in re.findall(r"[^].[]+", path)
    )
    for key in parents:
        value = value[key]
    if isinstance(last, int) and content is None:
        del value[last]
    elif isinstance(last, int) and last == len(value):
        value.append(content)
    else:
        value[last] = content


def format_faults(faults):
    """Returns the path and reason of each fault, in the order of the faults."""
    return [f"{fault.path}: {fault.reason.value}" for fault in faults]
