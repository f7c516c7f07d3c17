"""Run the state machines and properties again and again, from a chosen seed."""

import os
import random
import subprocess
import sys
import time

__all__ = ('main',)

FILES = (
    'tests/test_once.py',
    'tests/test_queue.py',
    'tests/test_limits.py',
    'tests/test_config.py',
    'tests/test_weights.py',
    'tests/test_router.py',
    'tests/test_client_bytes.py',
)
DURATION_S = 300.0


def main() -> None:
    """Run rounds until the time is over or one fails; print each round's seed."""
    seed = (
        int(sys.argv[1]) if len(sys.argv) > 1 else random.SystemRandom().getrandbits(32)
    )
    until = time.monotonic() + DURATION_S
    chosen = ['-k', 'not in_cluster and not swarm']
    while time.monotonic() < until:
        sys.stdout.write(f'fuzz seed={seed}\n')
        sys.stdout.flush()
        done = subprocess.run(
            [
                sys.executable,
                '-m',
                'pytest',
                *FILES,
                *chosen,
                f'--hypothesis-seed={seed}',
            ],
            env={**os.environ, 'HYPOTHESIS_PROFILE': 'fuzz'},
            check=False,
        )
        if done.returncode:
            sys.stdout.write(f'fuzz failed seed={seed}\n')
            sys.exit(1)
        seed += 1
    sys.stdout.write('fuzz verdict=pass\n')


if __name__ == '__main__':
    main()
