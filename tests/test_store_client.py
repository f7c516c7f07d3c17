"""The client of the platform's store: the era of its answers, and pages."""

import asyncio
import json

import pytest
from testtools import assertions, matchers
from tornado import httputil

from primrosesaddle.net import call
from primrosesaddle.platform import store


@pytest.fixture
def answers(monkeypatch):
    """Return a list of the answers that the store gives, the next one first."""
    scripted = []

    async def answer(client, method, target, timeout_s):
        return scripted.pop(0)

    monkeypatch.setattr(call.Client, 'call', answer)
    return scripted


def _page(key, *, era=None, truncated=False, revision=7):
    headers = httputil.HTTPHeaders({} if era is None else {'Store-Era': era})
    items = [{'key': key, 'revision': 3, 'value': ''}]
    body = {'items': items, 'truncated': truncated, 'storeRevision': revision}
    return call.Answer(200, headers, json.dumps(body).encode())


def _read_all():
    return asyncio.run(store.StoreClient('127.0.0.1:1').read_all())


def _assert_equal(actual, expected):
    assertions.assert_that(actual, matchers.Equals(expected))


def test_pages_of_two_eras_are_not_mixed(answers):
    """Guards against a listing that holds items of a store before and after a copy."""
    answers += [_page('a', era='1', truncated=True), _page('b', era='2')]
    with pytest.raises(call.CallFailed):
        _read_all()


def test_position_is_that_of_the_first_page(answers):
    """What is written while the pages are read has to be read again as a change."""
    answers += [
        _page('a', era='3', truncated=True),
        _page('b', era='3', revision=9),
    ]
    snapshot = _read_all()
    _assert_equal((len(snapshot.items), snapshot.position), (2, (3, 7)))


@pytest.mark.parametrize(
    'stated', [None, '', 'x', '-1', '1.5', '9' * 40, '1' * 5000, '\u0662']
)
def test_answer_without_a_readable_era_is_of_the_last_known_one(answers, stated):
    """A header that is spoilt on the way must not end an era."""
    answers += [_page('a', era='2'), _page('a', era=stated)]
    client = store.StoreClient('127.0.0.1:1')

    async def read_twice():
        return [await client.position(), await client.position()]

    _assert_equal(asyncio.run(read_twice()), [(2, 7), (2, 7)])
