"""Typed faults found at the border, and their one-message presentation."""

import dataclasses
from collections.abc import Iterable

__all__ = ('Fault', 'FaultGroup', 'describe', 'raise_faults', 'to_rows')


@dataclasses.dataclass
class Fault(Exception):
    """One rejected value: where it stands, what it was, what is allowed."""

    source: str
    path: str
    value: object
    allowed: str

    def __str__(self) -> str:
        """Return the fault as one line."""
        shown = repr(self.value)[:80]
        return f'{self.source}: {self.path}: got {shown}; {self.allowed}'


class FaultGroup(ExceptionGroup[Fault]):
    """All faults of one file or document."""


def raise_faults(title: str, faults: Iterable[Fault]) -> None:
    """Raise a group when there is any fault.

    Raises `FaultGroup` with every fault given.
    """
    found = tuple(faults)
    if found:
        raise FaultGroup(title, found)


def to_rows(group: FaultGroup) -> list[dict[str, str]]:
    """Return the faults of a group as plain rows."""
    return [
        {
            'source': fault.source,
            'path': fault.path,
            'value': repr(fault.value),
            'allowed': fault.allowed,
        }
        for fault in group.exceptions
        if isinstance(fault, Fault)
    ]


def describe(group: FaultGroup) -> str:
    """Render a group as a single message, and return it."""
    lines = [f'{len(group.exceptions)} fault(s)']
    lines.extend(f'  {fault}' for fault in group.exceptions)
    return '\n'.join(lines)
