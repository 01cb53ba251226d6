"""Only a valid answer of a target tells its pace."""

from daisyline.coordination.admission.pace_events import TargetPaceReported
from daisyline.platform import wire
from daisyline.state.targets import Phase, Target
from daisyline.transport.target_probe import TargetProber
from tests.support import function_tests
from tests.transport.rig import HOST, LoopDriver

load_tests = function_tests(__name__)

ANSWER = (
    b'HTTP/1.1 %s OK\r\nServer-Load: 1,0,4,160\r\nContent-Length: 0\r\n\r\n'
)


def _paces(driver: LoopDriver, answer: bytes) -> list[int]:
    """Return the paces that a probe with this answer reports."""
    listener = driver.listen()
    port = listener.getsockname()[1]
    target = Target('docs', 'v1', 'i1', HOST, port, Phase.READY)
    prober = TargetProber(driver.loop, driver.events.append, wire.DIALECT)
    prober.send_probe(target, '/health')
    peer = driver.accept(listener)
    peer.read_until(b'\r\n\r\n')
    peer.send(answer)
    driver.run_for(0.1)
    reported = [
        event.percent
        for event in driver.events
        if isinstance(event, TargetPaceReported)
    ]
    driver.events.clear()
    return reported


def test_an_answer_without_a_status_tells_no_pace(driver: LoopDriver) -> None:
    assert _paces(driver, ANSWER % b'200') == [160]
    for status in (b'000', b'00', b'2 0'):
        assert not _paces(driver, ANSWER % status), status
