"""Drawn series of changes, restorations of the store, cuts, and entries that restart.

Faults that a single scripted restoration does not show come of several at a time.
"""

import asyncio

import pytest

import soakstand

SEEDS = (1, 2)
SIZES = {2: 6}  # entries, of seeds with other than the usual number
ACTIVE_S = 22.0
MOST_BESIDE_S = 90.0  # to start, to come to rest and to stop


@pytest.mark.parametrize('seed', SEEDS)
def test_entries_hold_what_a_restored_store_holds(seed):
    """Versions do not go back, what is written takes effect, and few calls are made."""
    soak = soakstand.Soak(seed, SIZES.get(seed, 3))

    async def main():
        async with asyncio.timeout(ACTIVE_S + MOST_BESIDE_S):
            await soak.run(ACTIVE_S)

    asyncio.run(main())
