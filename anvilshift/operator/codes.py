"""Generate the table of result codes, which `make pages` writes to docs/ERRORS.md."""

from anvilshift.core.errors import CODES, Code

_HEAD = """\
# Result codes

Every refusal and every failure carries one of these numbers, in the JSON that
callers receive, in logs and in metrics. *Work* says what became of the request's
work at its target:

- **not run**: nothing of it left a router, or the target proved that it refused
  it. Sending it again can't run it twice.
- **ran**: it ran, and the answer or its record is what failed.
- **unknown**: it was sent and may have run. Work that isn't idempotent is never
  sent again by the fleet; whether to order it anew is for a person to decide.

A refusal that another try can mend says when, as `Retry-After` in seconds and as
`retry_after_ms` in the body.

This table is written by `make pages` from `anvilshift/core/errors.py`; a test
compares the two. What to do about each is in
[operators/codes.md](operators/codes.md).

| code | name | HTTP status | work | meaning |
|---|---|---|---|---|
"""


def _render_row(code: Code) -> str:
    cells = (code.number, code.name, code.status, code.fate.value, code.meaning)
    return f"| {' | '.join(str(cell) for cell in cells)} |\n"


def render_table() -> str:
    """Return the text of docs/ERRORS.md.

    Examples
    --------
    >>> render_table().splitlines()[-1].split("|")[1].strip()
    '9001'
    """
    rows = [_render_row(code) for _, code in sorted(CODES.items())]
    return _HEAD + "".join(rows)


if __name__ == "__main__":
    print(render_table(), end="")
