"""Reads a node's settings file, again when the platform changes it."""

from pathlib import Path

import attrs

from daisyline.platform.boot import Boot
from daisyline.platform.front import front_end
from daisyline.protocol.front_end import FileStamp, FrontEnd, ReloadResult
from daisyline.state.failures import Finding
from daisyline.transport.file_watch import read_stamp

# These settings are used only when the process starts.
_NEEDS_RESTART = (
    'name',
    'zone',
    'region',
    'host',
    'callers',
    'notices',
    'ready',
    'target',
    'service',
    'peers_port',
    'operators_port',
)


@attrs.define
class SettingsFile:
    """The path of the file and the settings that are in use."""

    _path: Path
    _boot: Boot
    _stamp: FileStamp | None

    @classmethod
    def read(cls, path: Path) -> 'SettingsFile | list[Finding]':
        """Read the file when the process starts; return all errors in it."""
        stamp = read_stamp(str(path))
        boot = _read(path)
        return cls(path, boot, stamp) if isinstance(boot, Boot) else boot

    @property
    def boot(self) -> Boot:
        """Return the settings that are in use."""
        return self._boot

    def front_end(self) -> FrontEnd:
        """Return the front end of a node with these settings."""
        return attrs.evolve(
            front_end(self._boot),
            settings_path=str(self._path),
            settings_stamp=self._stamp,
            reload=self._reload,
        )

    def _reload(self) -> ReloadResult:
        """Read the file again; settings that need a restart do not change."""
        previous = self._boot
        current = _read(self._path)
        if not isinstance(current, Boot):
            return ReloadResult(findings=tuple(current))
        changed = [
            field.name
            for field in attrs.fields(Boot)
            if getattr(current, field.name) != getattr(previous, field.name)
        ]
        fixed = {name: getattr(previous, name) for name in _NEEDS_RESTART}
        self._boot = attrs.evolve(current, **fixed)
        return ReloadResult(
            front_end=self.front_end(),
            platform=self._boot.platform_address,
            changed=tuple(changed),
            findings=tuple(
                Finding(name, 'takes effect only after a restart')
                for name in changed
                if name in _NEEDS_RESTART
                or _is_toggled(name, previous, current)
            ),
        )


def _is_toggled(name: str, previous: Boot, current: Boot) -> bool:
    """Return whether a setting that turns something on was added or removed."""
    return None in {getattr(previous, name), getattr(current, name)}


def _read(path: Path) -> Boot | list[Finding]:
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return [Finding('settings file', str(error))]
    return Boot.from_text(text)
