"""Tests of boot: the settings file of a server."""

import json
import math
import pathlib
import re

import curio
import pytest

from oleanderwood import boot
from oleanderwood import server

GOOD = {
    'name': 's1',
    'ip': '10.0.0.1',
    'data_centre': 'dc1',
    'callers_listen': '10.0.0.1:1',
    'ready_listen': '10.0.0.1:2',
    'inner_port': 3,
    'store_address': '10.0.0.9:1',
}


def test_good_settings_are_read(tmp_path):
    path = tmp_path / 'settings.json'
    path.write_text(json.dumps({**GOOD, 'unknown': 1, 'advice_address': None}))
    settings = boot.read(str(path))
    assert settings.name == 's1' and settings.advice_address is None
    assert boot.inner_address(settings) == '10.0.0.1:3'


def test_all_faults_are_named_at_once():
    raw = {**GOOD, 'inner_port': 'x', 'store_address': 'nowhere'}
    del raw['name']
    with pytest.raises(boot.BadSettings) as caught:
        boot.check({**raw, 'move_s': -1})
    text = str(caught.value)
    for name in ('name', 'inner_port', 'store_address', 'move_s'):
        assert name in text


def test_missing_file_is_a_clear_error(tmp_path):
    with pytest.raises(boot.BadSettings):
        boot.read(str(tmp_path / 'absent.json'))


def test_template_gives_each_setting_once():
    root = pathlib.Path(__file__).parent.parent
    text = (root / 'deploy' / 'settings.json.template').read_text()
    names = re.findall(r'^ "(\w+)":', text, re.MULTILINE)
    assert sorted(names) == sorted(boot.Settings.__struct_fields__)


def test_callers_leave_half_of_the_descriptors_to_others(monkeypatch):
    """A server whose descriptors were all in use by callers could reach
    neither the store nor the workers: it accepted 4,096 connections from
    callers, with 3,900 descriptors for everything.
    """
    limits = []

    def listen(address, handler, max_connections=math.inf):
        limits.append(max_connections)
        raise OSError('only the bound is of interest')

    monkeypatch.setattr(server.http_server, 'listen', listen)
    settings = boot.check({**GOOD, 'descriptors': 4100})

    async def main():
        with pytest.raises(OSError):
            await server._run(server.make_server(settings), '')

    curio.run(main)
    assert limits == [2050]
