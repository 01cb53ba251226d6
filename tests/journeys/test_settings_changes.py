"""Settings are changed while nodes freeze, start and lose the platform."""

import json
import signal
import subprocess
import sys

from standins.processes import HOST
from tests.fixtures import Place, SmallFleet, fetch, send_and_read, wait_until
from tests.journeys.rig import OperatorConsole, Traffic
from tests.support import function_tests

load_tests = function_tests(__name__)

DONE, USAGE, CONFLICT, PLATFORM_DOWN, NOT_IN_FORCE = 0, 2, 3, 4, 5
CALL = b'GET /x HTTP/1.1\r\nHost: docs\r\nConnection: close\r\n\r\n'


def _versions(fleet: SmallFleet) -> list[int]:
    return [place.status()['settings_version'] for place in fleet.places]


def test_a_frozen_node_is_named_also_once_it_counts_as_failed(
    console: OperatorConsole, fleet: SmallFleet
) -> None:
    frozen = fleet.places[1]
    assert frozen.node is not None
    frozen.node.signal(signal.SIGSTOP)
    ended = console.command('zone', 'out', 'ghent-b', '--wait', '5')
    gone = len(fleet.places[0].status()['members']) == 1
    frozen.node.signal(signal.SIGCONT)
    assert ended.code == NOT_IN_FORCE, ended
    assert 'Not yet in force on n1.' in ended.err
    assert gone
    wait_until(lambda: len(set(_versions(fleet))) == 1)
    assert console.command('zone', 'in', 'ghent-b').code == DONE


def test_without_the_platform_nothing_changes_and_calls_go_on(
    console: OperatorConsole, fleet: SmallFleet, traffic: Traffic
) -> None:
    before = _versions(fleet)
    console.platform_faults(down=True)
    ended = console.command('zone', 'out', 'ghent-b')
    assert ended.code == PLATFORM_DOWN, ended
    assert _versions(fleet) == before
    first = fleet.places[0]
    late = fleet.add('ghent-a', peers=f'{HOST}:{first.peers_port}')
    wait_until(lambda: late.status()['settings_version'] == before[0])
    wait_until(lambda: _serves(late))
    traffic.end()
    assert not traffic.failed, traffic.failed[:3]
    console.platform_faults(down=False)
    assert console.command('zone', 'out', 'ghent-b').code == DONE
    assert len(set(_versions(fleet))) == 1


def _serves(place: Place) -> bool:
    return send_and_read(place.callers_port, CALL).startswith(b'HTTP/1.1 200')


def test_bad_input_is_reported_whole_and_changes_nothing(
    console: OperatorConsole, fleet: SmallFleet
) -> None:
    shown = console.tree()
    shown['tree']['defaults']['slots_per_upstream'] = 0
    shown['tree']['services']['docs']['slotz_per_upstream'] = 4
    shown['tree']['zones']['ghent-a']['state'] = 'away'
    before = fetch(fleet.platform_port, '/calls')['revision']
    ended = console.command('config', 'apply', console.file('bad.json', shown))
    assert ended.code == USAGE
    for place in (
        'defaults.slots_per_upstream',
        'services.docs.slotz_per_upstream',
        'zones.ghent-a.state',
    ):
        assert place in ended.err
    assert fetch(fleet.platform_port, '/calls')['revision'] == before
    assert console.tree()['version'] == shown['version']


def test_of_two_operators_one_wins_a_place_and_both_keep_others(
    console: OperatorConsole, fleet: SmallFleet
) -> None:
    shown = console.tree()
    codes = _race(console, shown, 'queue_per_upstream', 'queue_per_upstream')
    assert sorted(codes) == [DONE, CONFLICT]
    shown = console.tree()
    codes = _race(console, shown, 'queue_wait_ms', 'retry_percent')
    assert codes == [DONE, DONE]
    defaults = console.tree()['tree']['defaults']
    assert defaults['queue_wait_ms'] == 20
    assert defaults['retry_percent'] == 21
    wait_until(lambda: set(_versions(fleet)) == {console.tree()['version']})


def _race(
    console: OperatorConsole, shown: dict[str, object], *names: str
) -> list[int]:
    """Apply an edit of each name at once; return the exit codes."""
    racing = []
    for number, name in enumerate(names):
        edited = json.loads(json.dumps(shown))
        edited['tree']['defaults'][name] = 20 + number
        file = console.file(f'{number}.json', edited)
        words = ['config', 'apply', file, '--platform', console.platform_url]
        racing.append(
            subprocess.Popen(
                [sys.executable, '-m', 'daisyline.programs.operator', *words],
                stdout=subprocess.DEVNULL,
                stderr=subprocess.DEVNULL,
            )
        )
    return [process.wait(20) for process in racing]


def test_settings_that_others_wrote_wrong_leave_the_old_ones(
    console: OperatorConsole, fleet: SmallFleet
) -> None:
    before = _versions(fleet)
    version = console.tree()['version']
    wrong = json.dumps({'tree': {'cluster': 'stofbril', 'zones': 7}})
    send_and_read(
        fleet.platform_port,
        b'PUT /v1/objects/settings/tree HTTP/1.1\r\nHost: x\r\n'
        + f'If-Match: {version}\r\nConnection: close\r\n'.encode()
        + f'Content-Length: {len(wrong)}\r\n\r\n{wrong}'.encode(),
        1,
    )
    assert console.command('config', 'show').code != DONE
    assert _versions(fleet) == before
    good = console.file('good.json', {'tree': {'cluster': 'stofbril'}})
    ended = console.command('config', 'apply', '--whole', good)
    assert ended.code == DONE, ended
    assert min(_versions(fleet)) > before[0]
