"""Flags that every command of the operators knows, and what they reach."""

import getpass
from collections.abc import Iterator
from typing import Annotated, Any
from urllib import parse as urls

import attrs
from cyclopts import Parameter

from daisyline.coordination.effects import PlatformRead
from daisyline.programs.operator_errors import (
    ExitCode,
    UserError,
    error_of,
    usage,
    with_findings,
)
from daisyline.protocol.operator_answers import parse_status
from daisyline.state.failures import Failure, Reason
from daisyline.state.fleet_status import FleetStatus
from daisyline.state.settings_history import StoredSettings
from daisyline.transport import operator_client

DEFAULT_WAIT_S = 10.0
MAX_WAIT_S = 3600

_NOT_FOUND = 404
_OK = 200


@Parameter(name='*')
@attrs.frozen
class Common:
    """Flags of every command.

    Attributes:
        platform: The URL of the platform.
        nodes: URLs of nodes' operators' ports, with commas between.
        as_json: Print JSON.
        by: Who asks, for the history.
        wait_s: Seconds to wait until a change is in force everywhere.
    """

    platform: Annotated[
        str, Parameter(name='--platform', env_var='DAISYLINE_PLATFORM')
    ] = ''
    nodes: Annotated[
        str, Parameter(name='--nodes', env_var='DAISYLINE_NODES')
    ] = ''
    as_json: Annotated[
        bool, Parameter(name='--json', env_var='DAISYLINE_JSON', negative='')
    ] = False
    by: Annotated[str, Parameter(name='--by', env_var='DAISYLINE_BY')] = ''
    wait_s: Annotated[
        float, Parameter(name='--wait', env_var='DAISYLINE_WAIT')
    ] = DEFAULT_WAIT_S

    @property
    def author(self) -> str:
        """Return who asks."""
        try:
            return self.by or getpass.getuser()
        except (OSError, KeyError):
            # The system knows no name for the user of this process.
            return 'unknown'

    @property
    def patience_s(self) -> float:
        """Return how long to wait until a change is in force, in seconds.

        Raises:
            UserError: If that is no bounded time.
        """
        if 0 <= self.wait_s <= MAX_WAIT_S:
            return self.wait_s
        raise usage(f'--wait: {self.wait_s} is not from 0 to {MAX_WAIT_S}')

    @property
    def platform_url(self) -> str:
        """Return the platform's URL.

        Raises:
            UserError: If there is none or it is no URL.
        """
        if not self.platform:
            raise usage('--platform or DAISYLINE_PLATFORM is needed')
        return _checked(self.platform)

    @property
    def node_urls(self) -> list[str]:
        """Return the URLs of the nodes that were named.

        Raises:
            UserError: If there is none or one is no URL.
        """
        urls_given = [url.strip() for url in self.nodes.split(',')]
        if not any(urls_given):
            raise usage('--nodes or DAISYLINE_NODES is needed')
        return [_checked(url) for url in urls_given if url]


DEFAULTS = Common()


def read_stored(common: Common) -> StoredSettings:
    """Return the settings object of the platform.

    Raises:
        UserError: If the platform is down or the object is broken.
    """
    effect = PlatformRead('', 'settings', 'tree')
    reply = operator_client.read_object(common.platform_url, effect)
    if reply.status == _NOT_FOUND:
        return StoredSettings()
    if reply.status != _OK:
        failure = Failure(
            Reason.PLATFORM_DOWN,
            detail=f'the platform gives no answer ({reply.status})',
        )
        raise error_of(failure) or usage(failure.detail)
    stored = StoredSettings.from_value(reply.version, reply.content)
    if isinstance(stored, StoredSettings):
        return stored
    raise with_findings(stored)


def read_status(common: Common) -> FleetStatus:
    """Return what the first node that answers says of the fleet.

    Raises:
        UserError: If none answers.
    """
    problems = []
    for url in common.node_urls:
        answer = operator_client.ask(url, 'GET', '/status')
        status = parse_status(answer.content)
        if answer.status == _OK and isinstance(status, FleetStatus):
            return status
        problems.append(answer.problem or f'{url} answers {answer.status}')
    raise UserError(('No node answers.', *problems), ExitCode.FAILED)


def ask_nodes(
    urls_asked: list[str], path: str
) -> Iterator[tuple[str, operator_client.HttpAnswer]]:
    """Yield each node's answer to one request."""
    for url in urls_asked:
        yield url, operator_client.ask(url, 'GET', path)


def told_urls(common: Common, every_node: bool) -> list[str]:
    """Return the nodes to ask: those named, or all that are known of."""
    named = common.node_urls
    if not every_node:
        return named
    members = read_status(common).members
    told = [member.operators for member in members if member.operators]
    return list(dict.fromkeys([*named, *map(_checked, told)]))


def _checked(url: str) -> str:
    if not _is_http(url):
        raise usage(f'{url!r} is not http://HOST:PORT')
    return url


def _is_http(url: Any) -> bool:
    try:
        return _names_port(urls.urlsplit(url))
    except ValueError:
        return False


def _names_port(parts: urls.SplitResult) -> bool:
    return parts.scheme == 'http' and bool(parts.hostname) and parts.port != 0
