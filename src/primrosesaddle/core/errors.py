"""Faults found in input such as settings files, and their presentation."""

import dataclasses
from collections.abc import Iterable

__all__ = ('Fault', 'FaultGroup', 'describe', 'raise_faults', 'to_rows')


@dataclasses.dataclass
class Fault(Exception):
    """One rejected value.

    `source` is the file or document, `path` the place of the value in it, `allowed`
    says what is allowed there.
    """

    source: str
    path: str
    value: object
    allowed: str

    def __str__(self) -> str:
        """Return the fault as one line."""
        shown = repr(self.value)[:80]
        return f'{self.source}: {self.path}: got {shown}; {self.allowed}'


class FaultGroup(ExceptionGroup[Fault]):
    """All faults found in one file or document."""


def raise_faults(title: str, faults: Iterable[Fault]) -> None:
    """Raise `FaultGroup` with all faults given; do nothing if there is none."""
    collected = tuple(faults)
    if collected:
        raise FaultGroup(title, collected)


def to_rows(group: FaultGroup) -> list[dict[str, str]]:
    """Return the faults of a group as dictionaries of strings."""
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
    """Return a message with the number of faults and a line for each."""
    lines = [f'{len(group.exceptions)} fault(s)']
    lines.extend(f'  {fault}' for fault in group.exceptions)
    return '\n'.join(lines)
