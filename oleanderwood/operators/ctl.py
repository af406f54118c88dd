"""`oleanderctl`, the operators' command line.

Exit statuses: see :class:`Exit` and docs/OPERATORS.md.
"""

import dataclasses
import enum
import getpass
import os
import pathlib
import sys
import typing
import urllib.parse
import uuid

import curio
import cyclopts
import msgspec

from oleanderwood import codec
from oleanderwood import ids
from oleanderwood.operators import causes
from oleanderwood.operators import client
from oleanderwood.operators import explain
from oleanderwood.operators import messages
from oleanderwood.operators import settings
from oleanderwood.operators import text as texts
from oleanderwood.policy import reading

PROGRAM = 'oleanderctl'
DEFAULT_SERVER = '127.0.0.1:7060'

Kind = messages.ErrorKind


class Exit(enum.IntEnum):
    """How the command ends."""

    OK = 0
    REFUSED = 1
    """The file has faults, or there is no such thing."""

    BAD_USAGE = 2
    """The command line or a setting is not allowed, or the token."""

    CONFLICT = 3
    """Another came first; nothing was changed."""

    NOT_RUN = 4
    """Something could not be reached; nothing was changed."""

    MAY_HAVE_RUN = 5
    """An answer was lost; ``history`` tells whether the operation is there."""


EXITS = {
    Kind.FAULTS: Exit.REFUSED,
    Kind.NOT_FOUND: Exit.REFUSED,
    Kind.BAD_REQUEST: Exit.BAD_USAGE,
    Kind.UNAUTHORISED: Exit.BAD_USAGE,
    Kind.CONFLICT: Exit.CONFLICT,
    Kind.NOT_LEADING: Exit.NOT_RUN,
    Kind.NOT_RUN: Exit.NOT_RUN,
    Kind.MAY_HAVE_RUN: Exit.MAY_HAVE_RUN,
}


@cyclopts.Parameter(name='*')
@dataclasses.dataclass(frozen=True)
class Common:
    """Settings of all commands that ask a server."""

    server: typing.Annotated[
        list[str] | None,
        cyclopts.Parameter(
            consume_multiple=True,
            negative=(),
            help=f'inner addresses of servers, tried in turn; left out, '
            f'{DEFAULT_SERVER}',
        ),
    ] = None
    token: typing.Annotated[
        str, cyclopts.Parameter(help='what writing calls bring')
    ] = ''
    timeout_s: typing.Annotated[
        float,
        cyclopts.Parameter(help='how long one server may take to answer'),
    ] = 10.0
    json: typing.Annotated[
        bool, cyclopts.Parameter(negative=(), help='print JSON')
    ] = False


APP = settings.application(PROGRAM, 'Look after a fleet and its servers.')

File = typing.Annotated[
    pathlib.Path, cyclopts.Parameter(help="the operators' file, in TOML")
]


def _servers(common: Common) -> client.Servers:
    addresses = common.server or [DEFAULT_SERVER]
    settings.validate(
        [
            *settings.addresses('--server', addresses),
            settings.between('--timeout-s', common.timeout_s, 0.1, 3600),
        ]
    )
    return client.Servers(
        tuple(ids.Address(address) for address in addresses),
        common.token,
        common.timeout_s,
    )


def _ask(common: Common, call: client.Call) -> typing.Any:
    return curio.run(client.ask, _servers(common), call)


def _answer(common: Common, call: client.Call) -> int:
    """Make a call and show the answer, or why there is none."""
    try:
        reply = _ask(common, call)
    except client.Refused as error:
        return _refused(common, error.reply)
    if common.json:
        print(codec.to_json(reply).decode())
    else:
        print(texts.of(reply))
    return Exit.OK


def _refused(common: Common, reply: messages.ErrorReply) -> int:
    if common.json:
        print(codec.to_json(reply).decode())
    else:
        print(f'{PROGRAM}: {texts.error(reply)}', file=sys.stderr)
    return EXITS[reply.error]


def _read(file: pathlib.Path) -> str | None:
    try:
        return file.read_text()
    except (OSError, UnicodeDecodeError) as error:
        print(f'{PROGRAM}: {file}: {error}', file=sys.stderr)
        return None


@APP.command
def status(*, common: Common = Common()) -> int:
    """Show who leads, the pools, the jobs and the waves."""
    call = client.Call('GET', '/v1/status', messages.StatusReply)
    return _answer(common, call)


@APP.command
def job(job: str, /, *, common: Common = Common()) -> int:
    """Show how far a job is."""
    target = f'/v1/jobs/{urllib.parse.quote(job, safe="")}'
    return _answer(common, client.Call('GET', target, messages.JobReply))


@APP.command
def tenants(*, common: Common = Common()) -> int:
    """Show what each tenant has running, its limit, and what waits."""
    call = client.Call('GET', '/v1/tenants', messages.TenantsReply)
    return _answer(common, call)


@APP.command
def policy(*, common: Common = Common()) -> int:
    """Show the file in force, and its number."""
    call = client.Call('GET', '/v1/policy', messages.PolicyReply)
    return _answer(common, call)


@APP.command
def history(*, common: Common = Common()) -> int:
    """Show the applies, newest first."""
    call = client.Call('GET', '/v1/history', messages.HistoryReply)
    return _answer(common, call)


@APP.command
def validate(file: File, /) -> int:
    """Check a file, without asking any server."""
    content = _read(file)
    if content is None:
        return Exit.BAD_USAGE
    try:
        reading.read(content)
    except ExceptionGroup as group:
        for fault in group.exceptions:
            print(f'{file}: {fault}', file=sys.stderr)
        return Exit.REFUSED
    print(f'{file}: no faults')
    return Exit.OK


@APP.command
def plan(file: File, /, *, common: Common = Common()) -> int:
    """Show what a file would change."""
    content = _read(file)
    if content is None:
        return Exit.BAD_USAGE
    body = codec.to_json(messages.FileBody(content))
    call = client.Call('POST', '/v1/plan', messages.PlanReply, lambda: body)
    return _answer(common, call)


@APP.command(name='apply')
def apply_file(
    file: File,
    /,
    *,
    base: int | None = None,
    author: str = '',
    common: Common = Common(),
) -> int:
    """Apply a file as a whole, or not at all.

    :param base: number of the policy that the file was written against;
        left out, it is the one in force when the command starts
    :param author: who is named in the history; left out, the user
    """
    content = _read(file)
    if content is None:
        return Exit.BAD_USAGE
    try:
        base = _base(common) if base is None else base
    except client.Refused as error:
        return _refused(common, error.reply)
    print(f'base is number {base}', file=sys.stderr)
    operation = ids.OperationId(uuid.uuid4().hex)
    body = codec.to_json(
        messages.ApplyBody(content, base, author or _user(), operation)
    )
    call = client.Call(
        'POST', '/v1/apply', messages.ApplyReply, lambda: body, writes=True
    )
    result = _answer(common, call)
    if result == Exit.MAY_HAVE_RUN:
        print(
            f'{PROGRAM}: whether operation {operation} is in force: '
            f'{PROGRAM} history --json',
            file=sys.stderr,
        )
    return result


def _base(common: Common) -> int:
    call = client.Call('GET', '/v1/policy', messages.PolicyReply)
    return _ask(common, call).number


def _user() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return os.environ.get('USER', '')


@APP.command
def dump(*, common: Common = Common()) -> int:
    """Show the state of the first server named, as JSON."""
    call = client.Call('GET', '/dump', msgspec.Raw)
    try:
        state = _ask(common, call)
    except client.Refused as error:
        return _refused(common, error.reply)
    print(msgspec.json.format(bytes(state), indent=2).decode())
    return Exit.OK


@APP.command(name='explain')
def explain_job(job: str, /, *files: pathlib.Path) -> int:
    """Tell from saved logs of the servers what happened to a job."""
    rows = _rows(files)
    if rows is None:
        return Exit.BAD_USAGE
    story = explain.explain(rows, job)
    for line in story.lines:
        print(line)
    for gap in story.gaps:
        print(f'missing: {gap}')
    holder = f'; {story.holder} had the capacity' if story.holder else ''
    print(f'{job}: {story.cause.value}{holder}')
    if story.cause in (explain.Cause.UNKNOWN, explain.Cause.DROPPED):
        return Exit.REFUSED
    return Exit.OK


@APP.command(name='causes')
def tell_causes(*files: pathlib.Path) -> int:
    """Tell from saved logs which jobs were late, and for what causes."""
    rows = _rows(files)
    if rows is None:
        return Exit.BAD_USAGE
    for line in causes.report(rows):
        print(line)
    return Exit.OK


def _rows(files: tuple[pathlib.Path, ...]) -> list[explain.Row] | None:
    """Read saved logs; None if one can't be read."""
    lines: list[str] = []
    for file in files:
        try:
            content = file.read_bytes()
        except OSError as error:
            print(f'{PROGRAM}: {file}: {error}', file=sys.stderr)
            return None
        # Texts in lines may contain other characters that end a line, and a
        # line that was not written whole may be no UTF-8.
        lines += content.decode(errors='replace').split('\n')
    return explain.read(lines)


def main() -> None:
    """Run the command line."""
    sys.exit(settings.run(APP))


if __name__ == '__main__':
    main()
