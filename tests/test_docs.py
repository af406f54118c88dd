"""Tests of the pages: what they name exists."""

import importlib.util
import re

import pytest

from tests import utils_guide

ROOT = utils_guide.ROOT
PAGES = [*utils_guide.DOCS, ROOT / 'NEWS.md']
TEXTS = {path.name: path.read_text() for path in PAGES}
SOURCES = utils_guide.sources()
PACKAGES = ('oleanderwood', 'emulator', 'soak', 'tests')
CODE = '\n'.join(
    path.read_text()
    for package in PACKAGES
    for path in sorted((ROOT / package).rglob('*.py'))
)
WORDS = frozenset(re.findall(r'\w+', CODE))
FILES = frozenset(
    str(path.relative_to(ROOT))
    for package in (*PACKAGES, 'deploy', 'docs', 'examples')
    for path in (ROOT / package).rglob('*.*')
) | {path.name for path in ROOT.iterdir()}
MADE = {'KNOWN-RED.txt', 'mine.toml', 'fleet.toml'}
"""Named in the pages, and there only at times."""

pages = pytest.mark.parametrize('page', TEXTS)


def _quoted(page):
    """Give what a page has in backticks."""
    text = re.sub(r'\s+', ' ', TEXTS[page])
    return re.findall(r'`([^`]+)`', text)


def _names_file(name):
    return name in FILES or f'oleanderwood/{name}' in FILES


@pages
def test_named_files_exist(page):
    found = re.findall(
        r'[\w./-]+\.(?:py|md|toml|txt|service|env)\b', TEXTS[page]
    )
    for name in found:
        if name.startswith('/') or name in MADE:
            continue
        in_docs = name in TEXTS and (ROOT / 'docs' / name).exists()
        assert _names_file(name) or in_docs, name


@pages
def test_named_commands_exist(page):
    text = re.sub(r'\s+', ' ', TEXTS[page])
    for module in re.findall(r'python -m ([\w.]+)', text):
        if module not in ('pytest', 'pip'):
            assert importlib.util.find_spec(module), module
    targets = (ROOT / 'Makefile').read_text()
    for target in re.findall(r'`make ([a-z]+)', text):
        assert re.search(rf'^{target}:', targets, re.M), target
    commands = utils_guide.commands(utils_guide.APP)
    first = {words[0] for words in commands}
    for word in re.findall(r'oleanderctl ([a-z]+)', TEXTS[page]):
        assert word in first, word


@pages
def test_named_items_of_modules_exist(page):
    for quoted in _quoted(page):
        match = re.fullmatch(r'(\w+)\.(\w+)(\(.*\))?', quoted)
        if match and match[1] in SOURCES and match[2] != 'py':
            pattern = rf'\b{match[2]}\b'
            assert re.search(pattern, SOURCES[match[1]]), quoted
        if re.fullmatch(r'test_\w+', quoted):
            assert f'tests/{quoted}.py' in FILES, quoted


@pages
def test_modules_in_tables_exist(page):
    for table in re.findall(
        r'^\| module \|.*\n((?:\|.*\n)+)', TEXTS[page], re.M
    ):
        for row in table.splitlines()[1:]:
            for name in re.findall(r'`(\w+)`', row.split('|')[1]):
                assert name in SOURCES, name


@pages
def test_named_settings_exist(page):
    flags = set(utils_guide.arguments(utils_guide.APP))
    variables = {utils_guide.variable(flag) for flag in flags}
    for name in re.findall(r'OLEANDER_[A-Z_]*[A-Z]', TEXTS[page]):
        assert name in variables or name in WORDS, name
    for quoted in _quoted(page):
        if quoted.startswith('--'):
            flag = re.split('[ =]', quoted)[0]
            assert flag in flags | {'--help', '--version', '--why'}, flag


@pages
def test_named_constants_and_metrics_exist(page):
    for quoted in _quoted(page):
        match = re.match(r'([A-Z][A-Z_]{3,}[A-Z])\b', quoted)
        if match and not match[1].startswith('OLEANDER_'):
            assert match[1] in WORDS or 'FILE' in quoted, quoted
    names = utils_guide.metrics()
    for name in re.findall(r'\boleander_[a-z_]*[a-z]', TEXTS[page]):
        assert name in names or name == 'oleander_', name


def test_readme_links_all_pages():
    for path in utils_guide.DOCS:
        if path.parent.name == 'docs':
            assert f'(docs/{path.name})' in TEXTS['README.md']


def test_no_page_names_a_module_that_is_gone():
    for page, text in TEXTS.items():
        for name in re.findall(r'`oleanderwood[./]([\w./]+)`', text):
            path = name.removesuffix('.py').replace('.', '/')
            found = ROOT / 'oleanderwood' / path
            there = found.is_dir() or found.with_suffix('.py').exists()
            assert there, f'{page}: {name}'
