"""Settings change while nodes are frozen, start or lose the platform."""

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


def test_a_frozen_node_is_reported_even_after_its_removal(
    console: OperatorConsole, fleet: SmallFleet
) -> None:
    frozen = fleet.places[1]
    assert frozen.node is not None
    frozen.node.signal(signal.SIGSTOP)
    result = console.command('zone', 'out', 'ghent-b', '--wait', '5')
    is_removed = len(fleet.places[0].status()['members']) == 1
    frozen.node.signal(signal.SIGCONT)
    assert result.code == NOT_IN_FORCE, result
    assert 'Not yet in force on n1.' in result.stderr
    assert is_removed
    wait_until(lambda: len(set(_versions(fleet))) == 1)
    assert console.command('zone', 'in', 'ghent-b').code == DONE


def test_without_the_platform_nothing_changes_and_calls_continue(
    console: OperatorConsole, fleet: SmallFleet, traffic: Traffic
) -> None:
    before = _versions(fleet)
    console.set_platform_faults(down=True)
    result = console.command('zone', 'out', 'ghent-b')
    assert result.code == PLATFORM_DOWN, result
    assert _versions(fleet) == before
    first = fleet.places[0]
    new_place = fleet.add('ghent-a', peers=f'{HOST}:{first.peers_port}')
    wait_until(lambda: new_place.status()['settings_version'] == before[0])
    wait_until(lambda: _serves(new_place))
    traffic.stop()
    assert not traffic.failed, traffic.failed[:3]
    console.set_platform_faults(down=False)
    assert console.command('zone', 'out', 'ghent-b').code == DONE
    assert len(set(_versions(fleet))) == 1


def _serves(place: Place) -> bool:
    return send_and_read(place.callers_port, CALL).startswith(b'HTTP/1.1 200')


def test_all_invalid_settings_are_reported_and_change_nothing(
    console: OperatorConsole, fleet: SmallFleet
) -> None:
    settings_copy = console.show_settings()
    settings_copy['tree']['defaults']['slots_per_upstream'] = 0
    settings_copy['tree']['services']['docs']['slotz_per_upstream'] = 4
    settings_copy['tree']['zones']['ghent-a']['state'] = 'away'
    before = fetch(fleet.platform_port, '/calls')['revision']
    result = console.command(
        'config', 'apply', console.write_file('bad.json', settings_copy)
    )
    assert result.code == USAGE
    for place in (
        'defaults.slots_per_upstream',
        'services.docs.slotz_per_upstream',
        'zones.ghent-a.state',
    ):
        assert place in result.stderr
    assert fetch(fleet.platform_port, '/calls')['revision'] == before
    assert console.show_settings()['version'] == settings_copy['version']


def test_concurrent_edits_conflict_only_at_the_same_setting(
    console: OperatorConsole, fleet: SmallFleet
) -> None:
    settings_copy = console.show_settings()
    codes = _apply_concurrently(
        console, settings_copy, 'queue_per_upstream', 'queue_per_upstream'
    )
    assert sorted(codes) == [DONE, CONFLICT]
    settings_copy = console.show_settings()
    codes = _apply_concurrently(
        console, settings_copy, 'queue_wait_ms', 'retry_percent'
    )
    assert codes == [DONE, DONE]
    defaults = console.show_settings()['tree']['defaults']
    assert defaults['queue_wait_ms'] == 20
    assert defaults['retry_percent'] == 21
    wait_until(
        lambda: set(_versions(fleet)) == {console.show_settings()['version']}
    )


def _apply_concurrently(
    console: OperatorConsole, settings_copy: dict[str, object], *names: str
) -> list[int]:
    """Apply an edit of each limit concurrently; return the exit codes."""
    processes = []
    for number, name in enumerate(names):
        edited = json.loads(json.dumps(settings_copy))
        edited['tree']['defaults'][name] = 20 + number
        file = console.write_file(f'{number}.json', edited)
        arguments = [
            'config',
            'apply',
            file,
            '--platform',
            console.platform_url,
        ]
        processes.append(
            subprocess.Popen(
                [
                    sys.executable,
                    '-m',
                    'daisyline.programs.operator',
                    *arguments,
                ],
                stdout=subprocess.DEVNULL,
                stderr=subprocess.DEVNULL,
            )
        )
    return [process.wait(20) for process in processes]


def test_invalid_stored_settings_are_not_applied(
    console: OperatorConsole, fleet: SmallFleet
) -> None:
    before = _versions(fleet)
    version = console.show_settings()['version']
    invalid = json.dumps({'tree': {'cluster': 'stofbril', 'zones': 7}})
    send_and_read(
        fleet.platform_port,
        b'PUT /v1/objects/settings/tree HTTP/1.1\r\nHost: x\r\n'
        + f'If-Match: {version}\r\nConnection: close\r\n'.encode()
        + f'Content-Length: {len(invalid)}\r\n\r\n{invalid}'.encode(),
        1,
    )
    assert console.command('config', 'show').code != DONE
    assert _versions(fleet) == before
    valid = console.write_file('good.json', {'tree': {'cluster': 'stofbril'}})
    result = console.command('config', 'apply', '--whole', valid)
    assert result.code == DONE, result
    assert min(_versions(fleet)) > before[0]
