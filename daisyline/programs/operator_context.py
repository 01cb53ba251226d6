"""Flags shared by the operators' commands, and reads that use them."""

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
    error_from_result,
    findings_error,
    usage_error,
)
from daisyline.protocol.operator_answers import parse_status
from daisyline.state.failures import Failure, Reason
from daisyline.state.fleet_status import FleetStatus
from daisyline.state.settings_history import StoredSettings
from daisyline.transport import operator_client

DEFAULT_WAIT_S = 10.0
MAX_WAIT_S = 3600

_STATUS_NOT_FOUND = 404
_STATUS_OK = 200


@Parameter(name='*')
@attrs.frozen
class CommonFlags:
    """Flags of every command.

    Attributes:
        platform: The URL of the platform.
        nodes: URLs of the operators' ports of nodes, separated by commas.
        as_json: Print the result as JSON.
        by: The author of a change in the history; by default the system's
            user.
        wait_s: Seconds to wait until a change is in force on all nodes.
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
        """Return the name of the operator for the history."""
        try:
            return self.by or getpass.getuser()
        except (OSError, KeyError):
            # The system has no name for the user of this process.
            return 'unknown'

    @property
    def max_wait_s(self) -> float:
        """Return the checked time to wait for a change, in seconds.

        Raises:
            UserError: If it is not from 0 to MAX_WAIT_S.
        """
        if 0 <= self.wait_s <= MAX_WAIT_S:
            return self.wait_s
        raise usage_error(
            f'--wait: {self.wait_s} is not from 0 to {MAX_WAIT_S}'
        )

    @property
    def platform_url(self) -> str:
        """Return the platform's URL.

        Raises:
            UserError: If it is missing or not an HTTP URL.
        """
        if not self.platform:
            raise usage_error('--platform or DAISYLINE_PLATFORM is required')
        return _check_url(self.platform)

    @property
    def node_urls(self) -> list[str]:
        """Return the URLs that --nodes lists.

        Raises:
            UserError: If there are none or one is not an HTTP URL.
        """
        given_urls = [url.strip() for url in self.nodes.split(',')]
        if not any(given_urls):
            raise usage_error('--nodes or DAISYLINE_NODES is required')
        return [_check_url(url) for url in given_urls if url]


DEFAULT_FLAGS = CommonFlags()


def read_stored_settings(common: CommonFlags) -> StoredSettings:
    """Return the settings as the platform stores them.

    They are empty if nothing is stored.

    Raises:
        UserError: If the platform is not available, or if its URL or the
            settings are not valid.
    """
    effect = PlatformRead('', 'settings', 'tree')
    reply = operator_client.read_object(common.platform_url, effect)
    if reply.status == _STATUS_NOT_FOUND:
        return StoredSettings()
    if reply.status != _STATUS_OK:
        failure = Failure(
            Reason.PLATFORM_DOWN,
            detail=f'the platform is not available (status {reply.status})',
        )
        raise error_from_result(failure) or usage_error(failure.detail)
    stored = StoredSettings.from_value(reply.version, reply.content)
    if isinstance(stored, StoredSettings):
        return stored
    raise findings_error(stored)


def read_status(common: CommonFlags) -> FleetStatus:
    """Return the fleet's status from the first node that answers.

    Raises:
        UserError: If no node answers, or if --nodes lists none or an invalid
            URL.
    """
    problems = []
    for url in common.node_urls:
        answer = operator_client.send_request(url, 'GET', '/status')
        status = parse_status(answer.content)
        if answer.status == _STATUS_OK and isinstance(status, FleetStatus):
            return status
        problems.append(
            answer.problem or f'{url} answers with status {answer.status}'
        )
    raise UserError(('No node answers.', *problems), ExitCode.FAILED)


def query_nodes(
    urls_asked: list[str], path: str
) -> Iterator[tuple[str, operator_client.HttpAnswer]]:
    """Send a request to each node and yield its URL and answer."""
    for url in urls_asked:
        yield url, operator_client.send_request(url, 'GET', path)


def urls_to_query(common: CommonFlags, every_node: bool) -> list[str]:
    """Return the URLs of the listed nodes and, if wanted, of all members.

    Raises:
        UserError: If a URL is invalid or none is listed, or if all members are
            wanted and no node answers.
    """
    given_urls = common.node_urls
    if not every_node:
        return given_urls
    members = read_status(common).members
    member_urls = [member.operators for member in members if member.operators]
    return list(dict.fromkeys([*given_urls, *map(_check_url, member_urls)]))


def _check_url(url: str) -> str:
    """Return a URL of the form http://HOST:PORT.

    Raises:
        UserError: If it is not valid.
    """
    if not _is_valid_url(url):
        raise usage_error(f'{url!r} is not http://HOST:PORT')
    return url


def _is_valid_url(url: Any) -> bool:
    try:
        return _is_http_url(urls.urlsplit(url))
    except ValueError:
        return False


def _is_http_url(parts: urls.SplitResult) -> bool:
    return parts.scheme == 'http' and bool(parts.hostname) and parts.port != 0
