"""Reports of a target that outlive it: each start, sent before it runs."""

import json
import socket
from typing import Any

import attrs

from standins.target_messages import CallReceived
from standins.target_records import Violation

HOST = '127.0.0.1'


@attrs.define
class Reporter:
    """Sends what a target begins to a UDP port on loopback.

    A datagram is in the receiver's buffer before the send returns, so a target
    that is killed right after loses none. The number of each report shows
    whether one was dropped.
    """

    _port: int
    _instance: str
    _receiver_port: int | None
    _socket: socket.socket
    _number: int = 0
    _reported_violations: int = 0

    @classmethod
    def from_config(
        cls, port: int, instance: str, receiver_port: int | None
    ) -> 'Reporter':
        """Build a reporter; without a port to send to it does nothing.

        Args:
            port: The TCP port of the target, by which it is known.
            instance: The target's instance.
            receiver_port: The UDP port of the receiver.
        """
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        return cls(port, instance, receiver_port, sender)

    def report_serving(self) -> None:
        """Report that the target has begun to serve."""
        self._send('begun')

    def report_start(self, call: CallReceived, now: float) -> None:
        """Report that a call begins to run."""
        self._send(
            'start',
            call_id=call.call_id,
            method=call.method,
            path=call.path,
            at=now,
        )

    def report_violations(self, violations: list[Violation]) -> None:
        """Report the violations that have not been reported yet."""
        for violation in violations[self._reported_violations :]:
            self._send('broken', **attrs.asdict(violation))
        self._reported_violations = len(violations)

    def _send(self, kind: str, **fields: Any) -> None:
        if self._receiver_port is None:
            return
        self._number += 1
        report = {
            'kind': kind,
            'port': self._port,
            'instance': self._instance,
            'number': self._number,
            **fields,
        }
        octets = json.dumps(report).encode()
        self._socket.sendto(octets, (HOST, self._receiver_port))
