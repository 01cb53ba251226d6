"""What one node is told at its start, by flags and environment variables."""

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
_YEA = frozenset(('1', 'true', 'yes', 'on'))
_NAY = frozenset(('0', 'false', 'no', 'off', ''))
_PORTS = ('callers_port', 'peers_port', 'target_port', 'operators_port')
_PROLOGUE = (
    'Run the node beside one target. Each flag is also read from the '
    'environment, --callers-port from DAISYLINE_CALLERS_PORT; a flag wins. '
    'Port 0 takes any free port.'
)


@attrs.frozen
class NodeSettings:
    """What a node knows of itself before it has met another.

    Attributes:
        name: The node's name, unique in its cluster.
        zone: The availability zone it stands in.
        region: The region of that zone.
        host: The IP number that it listens on and is reached by.
        platform: The URL of the platform's object API.
        cluster: Nodes of other clusters are turned away.
        callers_port: The TCP port for callers.
        peers_port: The TCP port for other nodes.
        target_port: The TCP port for the target beside it, on loopback.
        operators_port: The TCP port for operators.
        peers: Addresses of nodes that are tried before the platform.
        log_level: The least level that is logged.
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
        """Return the IP number that the target beside it calls."""
        return LOOPBACK

    @property
    def ready_port(self) -> int:
        """Return the port that is asked for readiness: the operators'."""
        return self.operators_port

    @property
    def service(self) -> str:
        """Return nothing: the target beside it says what it is."""
        return ''

    @property
    def platform_address(self) -> tuple[str, int]:
        """Return the IP number and the TCP port of the platform."""
        parts = urls.urlsplit(self.platform)
        return (parts.hostname or '', parts.port or HTTP_PORT)


@attrs.frozen
class _Words:
    """The flags as words, so that each can be checked on its own."""

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
    """Return the node's settings, or end the program with a plain message.

    Raises:
        SystemExit: With 0 after `--help`, with 2 after the findings.
    """
    if '--help' in argv or '-h' in argv:
        _app().help_print([])
        sys.exit(0)
    answer = parse_node_settings(argv, env)
    if isinstance(answer, NodeSettings):
        return answer
    for finding in answer:
        sys.stderr.write(f'daisyline-node: {finding}\n')
    sys.exit(EXIT_USAGE)


def parse_node_settings(
    argv: Sequence[str], env: Mapping[str, str]
) -> NodeSettings | list[Finding]:
    """Return the node's settings, or every mistake in them.

    Args:
        argv: The command line without the program's name.
        env: The environment; a flag goes before its variable.
    """
    words, findings = _words_from(list(argv))
    given = _with_environment(words, env)
    checked: dict[str, Any] = {}
    for field in attrs.fields(NodeSettings):
        answer = _check(field, given.get(field.name))
        if isinstance(answer, Finding):
            findings.append(answer)
        else:
            checked[field.name] = answer
    findings.extend(_same_ports(checked))
    return findings or NodeSettings(**checked)


def _app() -> cyclopts.App:
    app = cyclopts.App(
        name='daisyline-node',
        help=_PROLOGUE,
        version_flags=[],
        result_action='return_value',
    )

    @app.default
    def node(
        *,
        words: Annotated[_Words | None, cyclopts.Parameter(name='*')] = None,
    ) -> _Words:
        return words or _Words()

    return app


def _words_from(argv: list[str]) -> tuple[dict[str, Any], list[Finding]]:
    """Read the flags; one that can't be read is named and left out."""
    findings: list[Finding] = []
    while True:
        try:
            command, bound, unused = _app().parse_known_args(argv)[:3]
        except cyclopts.CycloptsError as error:
            error.verbose = False
            findings.append(Finding(_place_of(error), str(error)))
            argv = _without(argv, _place_of(error))
            continue
        findings.extend(_unknown(word) for word in unused)
        words = command(*bound.args, **bound.kwargs)
        return attrs.asdict(words), findings


def _place_of(error: cyclopts.CycloptsError) -> str:
    argument = error.argument
    return argument.names[0] if argument else 'command line'


def _without(argv: list[str], flag: str) -> list[str]:
    """Return the command line without one flag, shorter at each call."""
    kept = [word for word in argv if word.split('=')[0] != flag]
    return kept if len(kept) < len(argv) else []


def _unknown(word: str) -> Finding:
    return Finding(word, 'no such flag; see daisyline-node --help')


def _flag_of(name: str) -> str:
    dashed = name.replace('_', '-')
    return f'--{dashed}'


def _variable_of(name: str) -> str:
    return ENV_PREFIX + name.upper()


def _with_environment(
    words: dict[str, Any], env: Mapping[str, str]
) -> dict[str, Any]:
    merged = {}
    for field in attrs.fields(NodeSettings):
        word = words.get(field.name)
        if word is None:
            word = env.get(_variable_of(field.name))
        merged[field.name] = word
    return merged


def _check(field: 'attrs.Attribute[Any]', word: Any) -> Any:
    """Return the value of one setting, or a finding."""
    if word is None and field.default is not attrs.NOTHING:
        return field.default
    place = _flag_of(field.name)
    if word is None:
        return Finding(place, f'is needed, or {_variable_of(field.name)}')
    if field.name in _PORTS:
        return _port(place, word)
    checks = {
        'host': _ip_number,
        'platform': _platform_url,
        'peers': parse_peers,
        'log_level': _level,
        'log_json': _yes_or_no,
        'log_decisions': _yes_or_no,
    }
    return checks.get(field.name, _plain_name)(place, word)


def _port(place: str, word: str) -> int | Finding:
    if word.isascii() and word.isdigit() and int(word) <= MAX_PORT:
        return int(word)
    return Finding(place, f'{word!r} is no TCP port from 0 to {MAX_PORT}')


def _ip_number(place: str, word: str) -> str | Finding:
    try:
        return str(ipaddress.ip_address(word))
    except ValueError:
        return Finding(place, f'{word!r} is no IP number')


def _platform_url(place: str, word: str) -> str | Finding:
    """Check the URL; a name would stop the loop while it is looked up."""
    wanted = f'{word!r} is not http://IP-NUMBER:PORT'
    try:
        usable = _has_ip_address(urls.urlsplit(word))
    except ValueError:
        usable = False
    return word if usable else Finding(place, wanted)


def _has_ip_address(parts: urls.SplitResult) -> bool:
    """Return whether a URL is one; raise ValueError for a bad address."""
    ipaddress.ip_address(parts.hostname or '')
    bare = not parts.path.strip('/') and not parts.query
    return bare and parts.scheme == 'http' and parts.port != 0


def _level(place: str, word: str) -> str | Finding:
    if word.upper() in LOG_LEVELS:
        return word.upper()
    allowed = ', '.join(LOG_LEVELS)
    return Finding(place, f'{word!r} is none of {allowed}')


def _yes_or_no(place: str, word: str | bool) -> bool | Finding:
    if isinstance(word, bool):
        return word
    if word.lower() in _YEA | _NAY:
        return word.lower() in _YEA
    return Finding(place, f'{word!r} is neither true nor false')


def _plain_name(place: str, word: str) -> str | Finding:
    if word and len(word) <= MAX_NAME_LENGTH and word.isprintable():
        return word
    return Finding(
        place, f'{word!r} is no name of 1 to {MAX_NAME_LENGTH} letters'
    )


def _same_ports(checked: dict[str, Any]) -> list[Finding]:
    """Find ports that stand twice; two of 0 are two free ports."""
    findings = []
    seen: dict[int, str] = {}
    for name in _PORTS:
        port = checked.get(name, 0)
        other = seen.setdefault(port, name)
        if port and other != name:
            problem = f'port {port} is taken by {_flag_of(other)}'
            findings.append(Finding(_flag_of(name), problem))
    return findings
