"""Usage reports are encoded as the platform expects."""

import json

import attrs

from daisyline.coordination.duties.duty_config import DutyConfig
from daisyline.coordination.duties.duty_events import ReportUsage
from daisyline.coordination.effects import PlatformRead, PlatformWrite
from daisyline.platform.boot import Boot
from daisyline.platform.duty_api import DutyCodec, duty_config
from daisyline.platform.store import StoreCodec
from tests.platform.fixtures import DEPLOYMENT_SETTINGS, SETTINGS_FIELDS
from tests.support import function_tests

load_tests = function_tests(__name__)

REPORT = ReportUsage('c', 'sidecar-ghent-a-1', 12, 7, {'hule930': 412}, 0, 0)


def test_a_report_has_the_platforms_headers_and_fields() -> None:
    request = DutyCodec().encode_request(REPORT, 'api:1')
    assert (request.method, request.path) == (b'POST', b'/usage')
    assert dict(request.headers) == {
        b'Host': b'api:1',
        b'Duty-Holder': b'sidecar-ghent-a-1',
        b'Fencing-Token': b'12',
        b'Content-Type': b'application/json',
    }
    body = json.loads(request.body)
    assert body == {'windowNum': 7, 'counts': {'hule930': 412}}


def test_an_unreadable_retry_after_is_ignored() -> None:
    # Guards against a header that stops the reports for good.
    for text, expected in (
        (b'0.5', 0.5),
        (b'', 0),
        (b'soon', 0),
        (b'nan', 0),
        (b'-3', 0),
        (b'1e9', 60),
    ):
        reply = DutyCodec().decode_reply(REPORT, 429, text)
        assert (reply.call, reply.status) == ('c', 429)
        assert reply.retry_after_s == expected


def test_usage_is_reported_only_with_all_its_settings(boot: Boot) -> None:
    assert duty_config(boot) is None
    fields = {
        **SETTINGS_FIELDS,
        **DEPLOYMENT_SETTINGS['customers and duties'],
    }
    full = Boot.from_text(json.dumps(fields))
    assert isinstance(full, Boot)
    assert duty_config(full) == DutyConfig(5, 10, 3, True, 50)
    for name in ('duty_api', 'usage_window_s', 'usage_late_s'):
        assert duty_config(attrs.evolve(full, **{name: None})) is None


def test_the_object_of_the_duty_is_read_and_written_by_its_kind(
    boot: Boot,
) -> None:
    codec = StoreCodec.from_boot(boot)
    read = codec.encode_request(PlatformRead('t', 'duties', 'usage'), 'store')
    assert read.path == b'/-/objects/duties/usage'
    write = PlatformWrite('t', 'duties', 'usage', 4, {'token': 3})
    request = codec.encode_request(write, 'store')
    assert (request.method, request.path) == (b'PUT', read.path)
    assert json.loads(request.body) == {
        'metadata': {'name': 'usage', 'rev': 4},
        'spec': {'token': 3},
    }
