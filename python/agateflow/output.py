"""Prints a configuration."""

import json
import sys

from . import check, shape
from .fleet import Fleet


def dumps(fleet: Fleet) -> str:
    """The configuration as JSON, one element of a list a line.

    Raises ``Refused`` with all problems if it has any.
    """
    document = shape.plain(fleet)
    problems = check.data(document)
    if problems or not isinstance(document, dict):
        raise check.Refused(problems)
    fields = [f"  {json.dumps(name)}: {_value(value)}" for name, value in document.items()]
    text = "{\n" + ",\n".join(fields) + "\n}\n"
    if len(text.encode()) > check.MAX_BYTES:
        message = f"the file is larger than {check.MAX_BYTES} bytes"
        raise check.Refused([check.Problem(".", message)])
    return text


def _value(value: object) -> str:
    if not isinstance(value, list) or not value:
        return json.dumps(value, allow_nan=False)
    elements = [f"    {json.dumps(element, allow_nan=False)}" for element in value]
    return "[\n" + ",\n".join(elements) + "\n  ]"


def show(fleet: Fleet) -> None:
    """Prints the configuration, or its problems to standard error and exits with 1."""
    try:
        text = dumps(fleet)
    except check.Refused as refused:
        print(refused, file=sys.stderr)
        sys.exit(1)
    sys.stdout.write(text)
