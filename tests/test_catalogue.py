"""Catalogues are refused with all faults named, and deltas lose nothing."""

import hashlib
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools import assertions, matchers

from primrosesaddle.configuration import catalogue
from primrosesaddle.core import errors
from primrosesaddle.membership import wire

OWNED = {'owner': 'platform', 'class': 'shared'}


def _entries(versions, workspaces, ranks):
    entries = [
        {'kind': 'version', 'name': f'v{index}', **OWNED, 'manifest': digest * 64}
        for index, digest in enumerate(versions)
    ]
    entries.append({'kind': 'model', 'name': 'm', **OWNED, 'version': 'v0'})
    entries.extend(
        {'kind': 'work', 'name': f'w-{rank}', **OWNED, 'rank': rank} for rank in ranks
    )
    entries.extend(
        {
            'kind': 'workspace',
            'name': f's{number}',
            **OWNED,
            'token_sha256': hashlib.sha256(str(number).encode()).hexdigest(),
            'may_use': ['m'],
            'work': f'w-{ranks[0]}',
            'limits': {'requests_per_s': number + 1},
        }
        for number in sorted(workspaces)
    )
    return entries


documents = st.builds(
    _entries,
    st.lists(st.sampled_from('0123456789abcdef'), min_size=1, max_size=4),
    st.sets(st.integers(0, 6), max_size=5),
    st.lists(
        st.sampled_from(['urgent', 'standard', 'low']),
        min_size=1,
        max_size=3,
        unique=True,
    ),
)


def parse(revision, entries):
    text = json.dumps({'revision': revision, 'entries': entries}).encode()
    return catalogue.parse(text, 'test')


@given(st.lists(documents, min_size=2, max_size=5))
def test_a_chain_of_deltas_equals_a_full_read(chain):
    """Guard against deltas that lose or keep entries, compared with a full read."""
    applied = catalogue.EMPTY
    for revision, entries in enumerate(chain, 1):
        published = parse(revision, entries)
        sent = wire.Envelope(
            1, 0, False, wire.CatalogueDelta(catalogue.make_delta(applied, published))
        )
        received = wire.decode(wire.encode(sent)).body.delta
        applied = catalogue.apply_delta(applied, received)
        assertions.assert_that(applied, matchers.Not(matchers.Is(None)))
        assertions.assert_that(applied.entries, matchers.Equals(published.entries))
        assertions.assert_that(applied.digest, matchers.Equals(published.digest))


def test_a_delta_on_another_base_is_not_applied():
    """Guard against a mix of two revisions."""
    old = parse(1, _entries(['a'], {1}, ['low']))
    other = parse(2, _entries(['b'], {2}, ['low']))
    new = parse(3, _entries(['c'], {3}, ['low']))
    delta = catalogue.make_delta(other, new)
    assertions.assert_that(catalogue.apply_delta(old, delta), matchers.Is(None))


def test_all_faults_are_named_at_once():
    """Guard against refusals that name only the first fault."""
    entries = [
        {'kind': 'model', 'name': 'm', **OWNED, 'version': 'gone'},
        {'kind': 'work', 'name': 'w', **OWNED, 'rank': 'most-urgent'},
        {'kind': 'spaceship', 'name': 'x'},
    ]
    with pytest.raises(errors.FaultGroup) as caught:
        parse(1, entries)
    text = errors.describe(caught.value)
    for part in ('model m.version', "'gone'", '$.entries[1].rank', 'spaceship'):
        assertions.assert_that(text, matchers.Contains(part))
    assertions.assert_that(text, matchers.Contains('allowed kinds: model, adapter'))


@pytest.mark.parametrize('text', [b'', b'[]', b'{"revision": "x"}', b'\xff', b'{'])
def test_a_malformed_document_is_refused(text):
    """Guard against other exceptions than `FaultGroup`, which is what readers catch."""
    with pytest.raises(errors.FaultGroup):
        catalogue.parse(text, 'test')
