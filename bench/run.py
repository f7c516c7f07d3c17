"""Run the measurements, all or the groups named on the command line."""

import asyncio
import importlib
import sys

from bench import report
from primrosesaddle.core import httpio
from primrosesaddle.telemetry import journal

__all__ = ('main',)

GROUPS = ('decisions', 'path', 'rollout', 'configspread')


def main() -> None:
    """Run the groups, and exit with 1 when a target was missed."""
    journal.configure('ERROR')
    names = sys.argv[1:] or list(GROUPS)
    missed = 0
    for name in names:
        if name not in GROUPS:
            sys.stderr.write(f'unknown group {name}; allowed: {", ".join(GROUPS)}\n')
            sys.exit(2)
        module = importlib.import_module(f'bench.{name}')
        figures = asyncio.run(module.measure())
        httpio.reset()
        for figure in figures:
            report.emit(figure)
        report.write_all(name, figures)
        missed += sum(not figure.passed for figure in figures)
    sys.stdout.write(f'bench missed={missed}\n')
    sys.exit(1 if missed else 0)


if __name__ == '__main__':
    main()
