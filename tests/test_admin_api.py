"""Tests of the administration API over HTTP."""

import json

import pytest

from oleanderwood import change
from oleanderwood import http_client
from oleanderwood import ids
from oleanderwood import wave_state
from tests import utils_admin
from tests import utils_configuration as build


def _use(place, calls):
    """Make calls one after the other; gives statuses, bodies, verdicts."""
    answers = []

    async def use(address):
        for method, target, body, headers in calls:
            data = b'' if body is None else json.dumps(body).encode()
            response = await http_client.call(
                address, method, target, data, 5.0, headers
            )
            answers.append(
                (
                    response.status,
                    json.loads(response.body),
                    response.header('oleander-verdict'),
                )
            )

    async def scenario():
        await utils_admin.serve(place, use)

    utils_admin.run(place, scenario)
    return answers


def _post(target, body, headers=None):
    return 'POST', target, body, headers or []


def _get(target):
    return 'GET', target, None, []


FILE = {'file': utils_admin.toml()}


def test_whole_way_of_a_file():
    place = utils_admin.make()
    calls = [
        _post('/v1/validate', FILE),
        _post('/v1/diff', FILE),
        _post('/v1/plan', FILE),
        _post('/v1/apply', FILE | {'author': 'ana', 'base': 0}),
        _get('/v1/status'),
        _get('/v1/configuration'),
        _get('/v1/history'),
        _get('/v1/dump'),
    ]
    answers = _use(place, calls)
    assert [status for status, _, _ in answers] == [200] * 8
    bodies = [body for _, body, _ in answers]
    assert bodies[0] == {'revision': 0, 'changes': 3}
    assert len(bodies[1]['changes']) == 3
    assert len(bodies[2]['plan']['moves']) == 6
    assert bodies[3]['outcome'] == 'accepted'
    assert [m['revision'] for m in bodies[4]['members']] == [1, 1, 1]
    assert bodies[5]['configuration']['pools'][0]['name'] == 'drafts'
    assert bodies[6]['records'][0]['author'] == 'ana'
    assert bodies[7] == {'of': 'admin'}


def test_faults_are_listed_with_path_and_remedy():
    body = {'file': utils_admin.toml(size=99, min_up=100)}
    [(status, reply, verdict)] = _use(
        utils_admin.make(('e1',)), [_post('/v1/apply', body)]
    )
    assert (status, reply['error'], verdict) == (422, 'faults', 'not-run')
    assert 'pools[0].min_up' in [f['path'] for f in reply['faults']]
    assert all(fault['remedy'] for fault in reply['faults'])


def test_conflict_names_the_winner():
    other = {'file': utils_admin.toml(size=7), 'base': 0}
    answers = _use(
        utils_admin.make(('e1',)),
        [
            _post('/v1/apply', FILE | {'author': 'ana'}),
            _post('/v1/apply', other),
        ],
    )
    status, reply, verdict = answers[1]
    assert (status, reply['error'], verdict) == (409, 'conflict', 'not-run')
    assert 'revision 1 of ana' in reply['message']
    assert reply['applied']['revision'] == 1


@pytest.mark.parametrize(
    ('call', 'status'),
    [
        (_post('/v1/apply', {'file': '', 'bsae': 1}), 400),
        (_post('/v1/apply', {'file': 'size ='}), 422),
        (_post('/v1/apply', {'file': 'unknown = 1'}), 422),
        (_get('/v1/unknown'), 404),
        (_post('/v1/waves/none/start', {}), 404),
        (_post('/v1/waves/monthly/speed', {}), 404),
        (_get('/v1/dump?target=127.0.0.9:80'), 404),
    ],
)
def test_refusals_are_typed(call, status):
    [answer] = _use(utils_admin.make(('e1',)), [call])
    assert answer[0] == status
    assert answer[2] == 'not-run'


def test_store_outage_is_not_run():
    place = utils_admin.make(('e1',))

    async def scenario():
        place.network.fake.down = True

        async def use(address):
            return await http_client.call(address, 'GET', '/v1/status')

        response = await utils_admin.serve(place, use)
        assert response.status == 503
        assert response.header('oleander-verdict') == 'not-run'
        place.network.fake.down = False

    utils_admin.run(place, scenario)


def test_token_guards_all_writing_calls():
    place = utils_admin.make(('e1',), token='secret')
    right = [(b'authorization', b'Bearer secret')]
    wrong = [(b'authorization', b'Bearer secreT')]
    answers = _use(
        place,
        [
            _post('/v1/apply', FILE),
            _post('/v1/apply', FILE, wrong),
            _post('/v1/waves/monthly/start', {}),
            _post('/v1/validate', FILE),
            _post('/v1/apply', FILE, right),
            _post('/v1/waves/monthly/start', {}, right),
        ],
    )
    assert [status for status, _, _ in answers] == [
        401,
        401,
        401,
        200,
        200,
        200,
    ]


def test_wave_orders():
    place = utils_admin.make(('e1',))
    answers = _use(
        place,
        [
            _post('/v1/apply', FILE),
            _post('/v1/waves/monthly/pause', {}),
            _post('/v1/waves/monthly/start', {'reason': 'kernel'}),
            _post('/v1/waves/monthly/start', {}),
            _post('/v1/waves/monthly/pause', {}),
            _post('/v1/apply', {'file': ''}),
            _post('/v1/waves/monthly/stop', {}),
            _get('/v1/status'),
        ],
    )
    statuses = [status for status, _, _ in answers]
    assert statuses == [200, 409, 200, 200, 200, 422, 200, 200]
    (region,) = answers[2][1]['regions']
    assert region['region'] == build.REGION
    assert (region['wave']['state'], region['wave']['reason']) == (
        'running',
        'kernel',
    )
    (waves,) = answers[7][1]['waves']
    assert waves['waves'][0]['state'] == 'stopped'


def test_waves_that_share_a_pool_do_not_run_together():
    second = "\n[[waves]]\nname = 'other'\npools = ['drafts']\n"
    answers = _use(
        utils_admin.make(('e1',)),
        [
            _post('/v1/apply', {'file': utils_admin.toml() + second}),
            _post('/v1/waves/monthly/start', {}),
            _post('/v1/waves/other/start', {}),
        ],
    )
    assert [status for status, _, _ in answers] == [200, 200, 409]
    assert 'monthly' in answers[2][1]['message']


def test_wave_that_runs_though_the_file_lacks_it_can_be_stopped():
    """A start and an apply that removes the wave crossed each other."""
    place = utils_admin.make(('e1',))
    without = utils_admin.toml().partition('[[waves]]')[0]

    async def scenario():
        async def use(address):
            async def post(target, body):
                data = json.dumps(body).encode()
                return await http_client.call(address, 'POST', target, data)

            assert (await post('/v1/apply', FILE)).status == 200
            assert (await post('/v1/apply', {'file': without})).status == 200
            await _start_behind(place)
            assert (await post('/v1/apply', FILE)).status == 200
            assert (await post('/v1/waves/lost/stop', {})).status == 200
            assert (await post('/v1/waves/lost/stop', {})).status == 404
            assert (await post('/v1/waves/lost/start', {})).status == 404

        await utils_admin.serve(place, use)

    utils_admin.run(place, scenario)


async def _start_behind(place):
    region = ids.Region(build.REGION)
    await change.change(
        place.desk.links.kept,
        wave_state.key(region),
        wave_state.Waves(region=region),
        lambda waves: wave_state.order(
            waves, ids.WaveId('lost'), wave_state.Order.START, 0.0
        ),
        ids.OperationId('behind'),
    )
