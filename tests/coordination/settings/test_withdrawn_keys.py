"""A withdrawn key does not come back, whatever a restarted node reads."""

from daisyline.coordination.membership.gossip_messages import SettingsContent
from daisyline.coordination.settings.platform_reading import PlatformReadConfig
from daisyline.coordination.settings.reader_role import SETTINGS_KIND
from daisyline.coordination.settings.settings_spread import (
    PEERS_WAIT_S,
    START_WAIT_S,
    SettingsSpread,
    pack_value,
)
from daisyline.state.customers import hash_key
from tests.coordination.pump import Pump, make_pump, settings_value
from tests.support import function_tests

load_tests = function_tests(__name__)

WITHDRAWN = hash_key(b'k-withdrawn')
KEPT = hash_key(b'k-kept')
BEFORE = settings_value(tenants={'acme': {'keys': [WITHDRAWN, KEPT]}})
AFTER = settings_value(tenants={'acme': {'keys': [KEPT]}})
WITHDRAWAL_LIMIT_S = 2.5
STEP_S = 0.01


def _started_pump(seed: int) -> Pump:
    """Return three nodes that accept a key."""
    pump = make_pump(seed)
    pump.read_config = PlatformReadConfig((SETTINGS_KIND,), True)
    pump.platform.put('settings', 'tree', BEFORE)
    for number in range(3):
        pump.start(number)
    pump.run(10)
    assert all(_accepts(pump, name, WITHDRAWN) for name in pump.nodes)
    return pump


def _withdraw(pump: Pump) -> None:
    """Withdraw the key; afterwards the platform reads as before that."""
    until = len(pump.platform.log)
    pump.platform.put('settings', 'tree', AFTER)
    pump.run(WITHDRAWAL_LIMIT_S)
    assert not any(_accepts(pump, name, WITHDRAWN) for name in pump.live())
    pump.platform.log = [
        written
        for number, written in enumerate(pump.platform.log)
        if number < until or written[1] != SETTINGS_KIND
    ]


def _accepts(pump: Pump, name: str, key_hash: str) -> bool:
    settings = pump.nodes[name].fleet.settings
    return settings.customers.find(key_hash) is not None


def _run_without_return(pump: Pump, name: str, seconds: float) -> None:
    """Run a node; the withdrawn key must not come back at any moment."""
    for _ in range(int(seconds / STEP_S)):
        pump.run(STEP_S)
        assert not _accepts(pump, name, WITHDRAWN)
    assert _accepts(pump, name, KEPT)


def test_a_restarted_node_that_reads_old_settings_accepts_no_withdrawn_key() -> (
    None
):
    # Guards against a store whose answer is older than the other nodes know.
    for seed in range(8):
        pump = _started_pump(seed)
        _withdraw(pump)
        pump.start(0)
        _run_without_return(pump, 'n0', 4)


def test_an_older_node_that_gossips_first_brings_no_withdrawn_key_back() -> (
    None
):
    # n2 was suspended before the withdrawal and goes on as n0 starts.
    for seed in range(8):
        pump = _started_pump(seed)
        pump.freeze('n2')
        _withdraw(pump)
        pump.start(0)
        assert _accepts(pump, 'n2', WITHDRAWN)
        pump.thaw('n2')
        _run_without_return(pump, 'n0', 4)
        assert not _accepts(pump, 'n2', WITHDRAWN)


def test_a_node_waits_for_other_nodes_before_it_uses_keys_that_it_read() -> (
    None
):
    spread = SettingsSpread(start_wait_until=START_WAIT_S)
    spread.adopt(3, BEFORE, (), 0)
    spread.end_start_wait(0)
    spread.tick((), 0)
    assert spread.in_force.version == 0
    spread.handle_peer_version('older', 2, 0.1)
    spread.handle_peer_version('newer', 4, 0.2)
    answered_at = spread.next_at()
    spread.adopt(3, BEFORE, (), answered_at)
    spread.end_start_wait(answered_at)
    assert spread.in_force.version == 0
    content = SettingsContent(4, pack_value(AFTER))
    spread.handle_content(content, (), answered_at)
    assert spread.in_force.customers.find(WITHDRAWN) is None
    assert spread.in_force.version == 4


def test_the_wait_for_other_nodes_ends_soon_if_there_are_none() -> None:
    spread = SettingsSpread(start_wait_until=START_WAIT_S)
    spread.adopt(3, AFTER, (), 0)
    for read_at in (0, 1):
        spread.end_start_wait(read_at)
    assert spread.next_at() == PEERS_WAIT_S
    spread.tick((), PEERS_WAIT_S)
    assert spread.in_force.version == 3
    keyless = SettingsSpread(start_wait_until=START_WAIT_S)
    keyless.adopt(3, settings_value(), (), 0)
    keyless.end_start_wait(0)
    keyless.tick((), 0)
    assert keyless.in_force.version == 3
