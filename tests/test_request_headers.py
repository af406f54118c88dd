"""Tests of request_headers and routes."""

import math

import pytest

from oleanderwood import configuration
from oleanderwood import errors
from oleanderwood import request_headers
from oleanderwood import routes
from tests import utils_entry as utils


def test_wishes_are_read():
    headers = utils.team_headers(
        (b'oleander-priority', b'urgent'), (b'oleander-timeout-ms', b'1500')
    )
    wishes = request_headers.wishes(headers)
    assert wishes.team == utils.TEAM
    assert wishes.priority is configuration.Priority.URGENT
    assert wishes.timeout_s == 1.5
    assert request_headers.wishes([]).timeout_s == math.inf


@pytest.mark.parametrize('value', [b'', b'1.5', b'-1', b'1e3', b'\xb2'])
def test_deadline_must_be_a_whole_number(value):
    with pytest.raises(errors.BadMessage):
        request_headers.wishes([(b'oleander-timeout-ms', value)])


def test_connection_names_more_hop_by_hop_headers():
    headers = [
        (b'connection', b'close, X-One'),
        (b'connection', b'x-two'),
        (b'x-one', b'1'),
        (b'x-two', b'2'),
        (b'keep-alive', b'timeout=5'),
        (b'upgrade', b'h2c'),
        (b'x-three', b'3'),
    ]
    assert request_headers.end_to_end(headers) == [(b'x-three', b'3')]


def test_old_caller_gets_a_host():
    headers = request_headers.for_upstream([], '127.0.0.1:1', [])
    assert headers == [(b'host', b'127.0.0.1:1')]


@pytest.mark.parametrize(
    ('target', 'name'),
    [
        ('/a', 'short'),
        ('/a?x=/a/b', 'short'),
        ('/a/b', 'long'),
        ('/a/b/c', 'long'),
        ('/a/bc', 'short'),
        ('/ab', None),
        ('/', None),
    ],
)
def test_longest_prefix_wins(target, name):
    table = routes.make(
        [
            configuration.Service(name='short', path_prefix='/a'),
            configuration.Service(name='long', path_prefix='/a/b/'),
        ]
    )
    found = routes.find(table, target)
    assert (found and found.name) == name


@pytest.mark.parametrize(
    ('target', 'path'),
    [('/a?b', '/a?b'), ('http://h/a', '/a'), ('HTTPS://h', '/')],
)
def test_origin_form(target, path):
    assert routes.origin_form(target) == path


@pytest.mark.parametrize('target', ['*', 'h:1', 'ftp://h/a', ''])
def test_other_forms_are_refused(target):
    with pytest.raises(errors.BadMessage):
        routes.origin_form(target)
