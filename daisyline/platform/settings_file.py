"""The settings file that the platform fills in, read again when it changes."""

from pathlib import Path

import attrs

from daisyline.platform.boot import Boot
from daisyline.platform.front import front_end
from daisyline.protocol.front_end import FrontEnd, ReloadResult
from daisyline.state.failures import Finding

# What these say is used once, at the start of a process.
_FIXED = (
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
    """The file and what was last read of it."""

    _path: Path
    _boot: Boot

    @classmethod
    def read(cls, path: Path) -> 'SettingsFile | list[Finding]':
        """Read the file for the first time."""
        boot = _read(path)
        return cls(path, boot) if isinstance(boot, Boot) else boot

    @property
    def boot(self) -> Boot:
        """Return what the file said last."""
        return self._boot

    def front_end(self) -> FrontEnd:
        """Return the front end of a node with these settings."""
        return attrs.evolve(
            front_end(self._boot),
            settings_path=str(self._path),
            reload=self._reload,
        )

    def _reload(self) -> ReloadResult:
        """Read the file again; what needs a restart stays as it was."""
        known = self._boot
        read = _read(self._path)
        if not isinstance(read, Boot):
            return ReloadResult(findings=tuple(read))
        changed = [
            field.name
            for field in attrs.fields(Boot)
            if getattr(read, field.name) != getattr(known, field.name)
        ]
        fixed = {name: getattr(known, name) for name in _FIXED}
        self._boot = attrs.evolve(read, **fixed)
        return ReloadResult(
            front_end=self.front_end(),
            platform=self._boot.platform_address,
            changed=tuple(changed),
            findings=tuple(
                Finding(name, 'it is in force after a restart')
                for name in changed
                if name in _FIXED
            ),
        )


def _read(path: Path) -> Boot | list[Finding]:
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return [Finding('settings file', str(error))]
    return Boot.from_text(text)
