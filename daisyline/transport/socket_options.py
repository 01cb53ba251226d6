"""The options of TCP sockets, which detect peers that do not respond."""

import socket

import attrs

# A caller that reads nothing for this time loses its connection.
READ_STALL_TIMEOUT_S = 30.0
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 3
_MS_PER_S = 1000
# No call waits on an idle caller connection, so it is probed less often.
_IDLE_ACCEPTED_S = 15
_IDLE_DIALLED_S = 2
_UNREAD_DIALLED_S = 5.0


@attrs.frozen
class PeerTimeouts:
    """When the peer of a connection is given up.

    Attributes:
        idle_s: The time without data after which it is probed.
        unread_s: The time in which it may answer no probe, or read nothing of
            what was sent.
    """

    idle_s: int
    unread_s: float


ACCEPTED_TIMEOUTS = PeerTimeouts(_IDLE_ACCEPTED_S, READ_STALL_TIMEOUT_S)
DIALLED_TIMEOUTS = PeerTimeouts(_IDLE_DIALLED_S, _UNREAD_DIALLED_S)


def set_options(sock: socket.socket, timeouts: PeerTimeouts) -> None:
    """Disable Nagle's algorithm and enable detection of dead peers.

    Keep-alive probes detect a connection whose state a device between the two
    ends has dropped. The kernel answers them, not the target's process.
    """
    sock.setblocking(False)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, timeouts.idle_s)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    # It also ends a connection whose peer is alive and reads nothing.
    unread_ms = int(timeouts.unread_s * _MS_PER_S)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, unread_ms)
