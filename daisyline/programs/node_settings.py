"""Parse a node's settings from its flags and environment variables."""

import ipaddress
import sys
from collections.abc import Mapping, Sequence
from typing import Annotated, Any
from urllib import parse as urls

import attrs
import cyclopts

from daisyline.programs.node_peers import PeerAddresses, parse_peers
from daisyline.state.failures import Finding

ENV_PREFIX = 'DAISYLINE_'
EXIT_USAGE = 2

DEFAULT_CLUSTER = 'daisyline'
DEFAULT_CALLERS_PORT = 8080
DEFAULT_PEERS_PORT = 7400
DEFAULT_TARGET_PORT = 7401
DEFAULT_OPERATORS_PORT = 7402
MAX_PORT = 65_535
MAX_NAME_LENGTH = 128
HTTP_PORT = 80
LOOPBACK = '127.0.0.1'

LOG_LEVELS = ('DEBUG', 'INFO', 'WARNING', 'ERROR')
_TRUE_WORDS = frozenset(('1', 'true', 'yes', 'on'))
_FALSE_WORDS = frozenset(('0', 'false', 'no', 'off', ''))
_PORT_NAMES = ('callers_port', 'peers_port', 'target_port', 'operators_port')
_HELP = (
    'Run the node beside one target. Each flag can also be set by an '
    'environment variable, for example --callers-port by '
    'DAISYLINE_CALLERS_PORT; the flag takes precedence. '
    'Port 0 takes any free port.'
)


@attrs.frozen
class NodeSettings:
    """The settings of one node, which are fixed while it runs.

    Attributes:
        name: The node's name, which is unique in its cluster.
        zone: The availability zone of the node.
        region: The region of the zone.
        host: The IP number on which the node listens and is reached.
        platform: The URL of the platform's object API.
        cluster: The cluster's name; nodes of other clusters are rejected.
        callers_port: The TCP port for callers.
        peers_port: The TCP port for other nodes.
        target_port: The TCP port for the node's target, on loopback.
        operators_port: The TCP port for operators.
        peers: Addresses of nodes that are tried before those that the
            platform lists.
        log_level: The lowest level that is logged.
        log_json: Whether log lines are JSON objects.
        log_decisions: Whether decisions are written to standard output.
    """

    name: str
    zone: str
    region: str
    host: str
    platform: str
    cluster: str = DEFAULT_CLUSTER
    callers_port: int = DEFAULT_CALLERS_PORT
    peers_port: int = DEFAULT_PEERS_PORT
    target_port: int = DEFAULT_TARGET_PORT
    operators_port: int = DEFAULT_OPERATORS_PORT
    peers: PeerAddresses = ()
    log_level: str = 'INFO'
    log_json: bool = False
    log_decisions: bool = True

    @property
    def target_host(self) -> str:
        """Return the IP number on which the node's target reaches it."""
        return LOOPBACK

    @property
    def ready_port(self) -> int:
        """Return the port that answers readiness probes, the operators'."""
        return self.operators_port

    @property
    def service(self) -> str:
        """Return an empty name, as the target announces its service."""
        return ''

    @property
    def platform_address(self) -> tuple[str, int]:
        """Return the IP number and TCP port of the platform."""
        parts = urls.urlsplit(self.platform)
        return (parts.hostname or '', parts.port or HTTP_PORT)


@attrs.frozen
class _RawSettings:
    """The flags as text, so that each mistake can be reported."""

    name: str | None = None
    zone: str | None = None
    region: str | None = None
    host: str | None = None
    platform: str | None = None
    cluster: str | None = None
    callers_port: str | None = None
    peers_port: str | None = None
    target_port: str | None = None
    operators_port: str | None = None
    peers: str | None = None
    log_level: str | None = None
    log_json: bool | None = None
    log_decisions: bool | None = None


def read_node_settings(
    argv: Sequence[str], env: Mapping[str, str]
) -> NodeSettings:
    """Return the node's settings, or print the findings and exit.

    Raises:
        SystemExit: With code 0 after `--help`, with 2 after findings.
    """
    if '--help' in argv or '-h' in argv:
        _app().help_print([])
        sys.exit(0)
    result = parse_node_settings(argv, env)
    if isinstance(result, NodeSettings):
        return result
    for finding in result:
        sys.stderr.write(f'daisyline-node: {finding}\n')
    sys.exit(EXIT_USAGE)


def parse_node_settings(
    argv: Sequence[str], env: Mapping[str, str]
) -> NodeSettings | list[Finding]:
    """Return the node's settings, or a finding for each mistake.

    Args:
        argv: The command line, without the program's name.
        env: The environment; a flag overrides its variable.
    """
    words, findings = _parse_flags(list(argv))
    raw_values = _merge_environment(words, env)
    parsed: dict[str, Any] = {}
    for field in attrs.fields(NodeSettings):
        result = _parse_setting(field, raw_values.get(field.name))
        if isinstance(result, Finding):
            findings.append(result)
        else:
            parsed[field.name] = result
    findings.extend(_find_duplicate_ports(parsed))
    return findings or NodeSettings(**parsed)


def _app() -> cyclopts.App:
    app = cyclopts.App(
        name='daisyline-node',
        help=_HELP,
        version_flags=[],
        result_action='return_value',
    )

    @app.default
    def node(
        *,
        words: Annotated[
            _RawSettings | None, cyclopts.Parameter(name='*')
        ] = None,
    ) -> _RawSettings:
        return words or _RawSettings()

    return app


def _parse_flags(argv: list[str]) -> tuple[dict[str, Any], list[Finding]]:
    """Parse the flags; one that can't be parsed is reported and left out."""
    findings: list[Finding] = []
    while True:
        try:
            command, bound, unused = _app().parse_known_args(argv)[:3]
        except cyclopts.CycloptsError as error:
            error.verbose = False
            findings.append(Finding(_flag_in_error(error), str(error)))
            argv = _without_flag(argv, _flag_in_error(error))
            continue
        findings.extend(_unknown_flag(argument) for argument in unused)
        words = command(*bound.args, **bound.kwargs)
        return attrs.asdict(words), findings


def _flag_in_error(error: cyclopts.CycloptsError) -> str:
    argument = error.argument
    return argument.names[0] if argument else 'command line'


def _without_flag(argv: list[str], flag: str) -> list[str]:
    """Return the command line without a flag.

    It is empty if the flag is not in it, so that it is always shorter and
    the caller's loop ends.
    """
    remaining = [arg for arg in argv if arg.split('=')[0] != flag]
    return remaining if len(remaining) < len(argv) else []


def _unknown_flag(argument: str) -> Finding:
    return Finding(argument, 'no such flag; see daisyline-node --help')


def _flag_name(name: str) -> str:
    dashed = name.replace('_', '-')
    return f'--{dashed}'


def _variable_name(name: str) -> str:
    return ENV_PREFIX + name.upper()


def _merge_environment(
    words: dict[str, Any], env: Mapping[str, str]
) -> dict[str, Any]:
    merged = {}
    for field in attrs.fields(NodeSettings):
        text = words.get(field.name)
        if text is None:
            text = env.get(_variable_name(field.name))
        merged[field.name] = text
    return merged


def _parse_setting(field: 'attrs.Attribute[Any]', text: Any) -> Any:
    """Return the value of one setting, or a finding if it is not valid."""
    if text is None and field.default is not attrs.NOTHING:
        return field.default
    flag = _flag_name(field.name)
    if text is None:
        return Finding(flag, f'is needed, or {_variable_name(field.name)}')
    if field.name in _PORT_NAMES:
        return _parse_port(flag, text)
    checks = {
        'host': _parse_ip_address,
        'platform': _check_platform_url,
        'peers': parse_peers,
        'log_level': _parse_log_level,
        'log_json': _parse_boolean,
        'log_decisions': _parse_boolean,
    }
    return checks.get(field.name, _check_name)(flag, text)


def _parse_port(flag: str, text: str) -> int | Finding:
    if text.isascii() and text.isdigit() and int(text) <= MAX_PORT:
        return int(text)
    return Finding(flag, f'{text!r} is no TCP port from 0 to {MAX_PORT}')


def _parse_ip_address(flag: str, text: str) -> str | Finding:
    try:
        return str(ipaddress.ip_address(text))
    except ValueError:
        return Finding(flag, f'{text!r} is no IP number')


def _check_platform_url(flag: str, text: str) -> str | Finding:
    """Check the URL; resolving a host name would block the event loop."""
    problem = f'{text!r} is not http://IP-NUMBER:PORT'
    try:
        usable = _is_address_url(urls.urlsplit(text))
    except ValueError:
        usable = False
    return text if usable else Finding(flag, problem)


def _is_address_url(parts: urls.SplitResult) -> bool:
    """Return whether a URL consists of a scheme and an address only.

    Raises:
        ValueError: If the address is not valid.
    """
    ipaddress.ip_address(parts.hostname or '')
    is_bare = not parts.path.strip('/') and not parts.query
    return is_bare and parts.scheme == 'http' and parts.port != 0


def _parse_log_level(flag: str, text: str) -> str | Finding:
    if text.upper() in LOG_LEVELS:
        return text.upper()
    allowed = ', '.join(LOG_LEVELS)
    return Finding(flag, f'{text!r} is not one of {allowed}')


def _parse_boolean(flag: str, text: str | bool) -> bool | Finding:
    if isinstance(text, bool):
        return text
    if text.lower() in _TRUE_WORDS | _FALSE_WORDS:
        return text.lower() in _TRUE_WORDS
    return Finding(flag, f'{text!r} is not true or false')


def _check_name(flag: str, text: str) -> str | Finding:
    if text and len(text) <= MAX_NAME_LENGTH and text.isprintable():
        return text
    return Finding(
        flag,
        f'{text!r} is not a name of 1 to {MAX_NAME_LENGTH} printable letters',
    )


def _find_duplicate_ports(parsed: dict[str, Any]) -> list[Finding]:
    """Find ports that are given twice; each 0 takes another free port."""
    findings = []
    seen: dict[int, str] = {}
    for name in _PORT_NAMES:
        port = parsed.get(name, 0)
        other = seen.setdefault(port, name)
        if port and other != name:
            problem = f'port {port} is already used by {_flag_name(other)}'
            findings.append(Finding(_flag_name(name), problem))
    return findings
