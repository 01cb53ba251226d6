"""The front end of a node on the users' platform."""

from daisyline.coordination.settings.order_reading import (
    ROLLOUTS_KIND,
    ZONES_KIND,
)
from daisyline.coordination.settings.platform_reading import PlatformReadConfig
from daisyline.coordination.settings.reader_role import SETTINGS_KIND
from daisyline.platform import wire
from daisyline.platform.boot import Boot
from daisyline.platform.duty_api import DutyCodec, duty_config
from daisyline.platform.notices import NoticeReader, acknowledge
from daisyline.platform.store import StoreCodec
from daisyline.protocol.front_end import FrontEnd

# Heartbeats may be delayed by seconds. A stopped target is noticed much
# earlier, as it refuses connections.
_LEASE_HEARTBEATS = 6
# The platform checks readiness once a second and acts on the second answer.
_STOP_NOTICE_S = 2.3
# A process is killed when its stop time is over, so it exits earlier.
_STOP_MARGIN_S = 0.7


def front_end(boot: Boot) -> FrontEnd:
    """Return the front end of a node with these settings."""
    return FrontEnd(
        dialect=wire.DIALECT,
        platform_codec=StoreCodec.from_boot(boot),
        read_config=PlatformReadConfig(
            _kinds_read(boot), lists_are_current=True, keeps_departures=True
        ),
        read_notice=NoticeReader.from_boot(boot).read,
        acknowledge=acknowledge,
        lease_s=_LEASE_HEARTBEATS * boot.heartbeat_s,
        ready_path=wire.READY_PATH,
        stop_notice_s=_STOP_NOTICE_S,
        logs_decisions=True,
        memory_mb=boot.memory_mb,
        stop_timeout_s=boot.stop_s - _STOP_MARGIN_S,
        duty_config=duty_config(boot),
        duty_address=boot.duty_api,
        duty_codec=DutyCodec(),
    )


def _kinds_read(boot: Boot) -> tuple[str, ...]:
    """Return the kinds of objects that a node reads; each costs calls."""
    if boot.exposed_share is None:
        return (SETTINGS_KIND, ZONES_KIND)
    return (SETTINGS_KIND, ZONES_KIND, ROLLOUTS_KIND)
