"""Tests of oleanderctl: what it prints, and its exit statuses."""

import contextlib
import json
import socket
import threading

import curio
import pytest

from oleanderwood import ctl
from oleanderwood import settings
from tests import utils_admin

NOBODY = '127.0.0.1:1'


@contextlib.contextmanager
def _serving(place):
    """Serve the API from a thread; gives its address."""
    started, addresses = threading.Event(), []
    ended = curio.UniversalEvent()

    async def use(address):
        addresses.append(address)
        started.set()
        await ended.wait()

    async def scenario():
        await utils_admin.serve(place, use)

    thread = threading.Thread(target=utils_admin.run, args=(place, scenario))
    thread.start()
    try:
        assert started.wait(5.0)
        yield addresses[0]
    finally:
        ended.set()
        thread.join()


def _ctl(*words):
    """Run a command; gives its exit status."""
    app = ctl.APP
    try:
        return int(app(list(words)))
    except SystemExit as error:
        return error.code


@pytest.fixture
def file(tmp_path):
    path = tmp_path / 'fleet.toml'
    path.write_text(utils_admin.toml())
    return path


def test_whole_way_of_an_operator(file, capsys):
    with _serving(utils_admin.make()) as address:
        admin = ('--admin', NOBODY, address)
        assert _ctl('validate', str(file), *admin) == ctl.Exit.OK
        assert _ctl('diff', str(file), *admin) == ctl.Exit.OK
        assert _ctl('plan', str(file), *admin) == ctl.Exit.OK
        assert _ctl('apply', str(file), *admin) == ctl.Exit.OK
        assert _ctl('wave', 'start', 'monthly', *admin) == ctl.Exit.OK
        assert _ctl('status', *admin) == ctl.Exit.OK
        assert _ctl('history', *admin) == ctl.Exit.OK
        assert _ctl('dump', *admin) == ctl.Exit.OK
    said = capsys.readouterr()
    assert 'base is revision 0' in said.err
    for words in (
        'sound; 3 changes against 0',
        '+ pools drafts',
        '6 VMs would move',
        'in force everywhere after',
        'wave monthly in north: running',
        'accepted',
    ):
        assert words in said.out


def test_json_is_one_document(file, capsys):
    with _serving(utils_admin.make(('e1',))) as address:
        _ctl('apply', str(file), '--admin', address, '--json')
        assert json.loads(capsys.readouterr().out)['outcome'] == 'accepted'


def test_faulty_file_is_status_1(file, capsys):
    file.write_text(utils_admin.toml(size=99))
    with _serving(utils_admin.make(('e1',))) as address:
        status = _ctl('apply', str(file), '--admin', address)
    assert status == ctl.Exit.REFUSED
    assert 'pools[0].size' in capsys.readouterr().err


def test_conflict_is_status_3(file, capsys):
    with _serving(utils_admin.make(('e1',))) as address:
        _ctl('apply', str(file), '--admin', address, '--author', 'ana')
        file.write_text(utils_admin.toml(size=7))
        status = _ctl('apply', str(file), '--base', '0', '--admin', address)
    assert status == ctl.Exit.CONFLICT
    assert 'revision 1 of ana' in capsys.readouterr().err


def test_nobody_there_is_status_4(file):
    words = ('apply', str(file), '--base', '0', '--admin', NOBODY)
    assert _ctl(*words) == ctl.Exit.NOT_RUN


def test_bad_usage_is_status_2(file, tmp_path, capsys):
    assert _ctl('aply') == ctl.Exit.BAD_USAGE
    assert _ctl('validate', str(tmp_path / 'none')) == ctl.Exit.BAD_USAGE
    with pytest.raises(ExceptionGroup):
        _ctl('status', '--admin', 'localhost')
    assert settings.EXIT_BAD_SETTINGS == ctl.Exit.BAD_USAGE


@contextlib.contextmanager
def _deaf():
    """Take connections' requests and close without an answer."""
    listening = socket.socket()
    listening.bind(('127.0.0.1', 0))
    listening.listen()
    address = '%s:%d' % listening.getsockname()
    ended = threading.Event()

    def serve():
        sock = listening
        sock.settimeout(0.05)
        while not ended.is_set():
            with contextlib.suppress(TimeoutError):
                connection, _ = sock.accept()
                connection.recv(65536)
                connection.close()
        sock.close()

    thread = threading.Thread(target=serve)
    thread.start()
    try:
        yield address
    finally:
        ended.set()
        thread.join()


def test_lost_answer_is_status_5_and_no_other_is_tried(file, capsys):
    place = utils_admin.make(('e1',))
    with _deaf() as deaf, _serving(place) as address:
        words = ('apply', str(file), '--base', '0')
        status = _ctl(*words, '--admin', deaf, address)
        assert utils_admin.head(place) is None
        read = _ctl('status', '--admin', deaf, address)
    assert status == ctl.Exit.MAY_HAVE_RUN
    assert 'status --operation' in capsys.readouterr().err
    assert read == ctl.Exit.OK
