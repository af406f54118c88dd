"""Tests of finding the queue of a path."""

from oleanderwood.jobs import queues
from tests import utils_jobs as build


def _configuration():
    return queues.Configuration(
        1,
        (
            build.queue(name='short', prefix='/a/'),
            build.queue(name='long', prefix='/a/b/'),
            build.queue(name='other', host='other.example', prefix='/a/'),
        ),
    )


def _found(host, path):
    found = queues.find(_configuration(), host, path)
    return found and (found[0].name, found[1])


def test_longest_prefix_wins():
    assert _found('callers.example', '/a/b/1') == ('long', '1')
    assert _found('callers.example', '/a/1') == ('short', '1')


def test_host_decides_without_port_and_case():
    assert _found('Other.Example:80', '/a/1') == ('other', '1')


def test_unknown_path_has_no_queue():
    assert _found('callers.example', '/c/1') is None
    assert _found('nobody.example', '/a/1') is None
