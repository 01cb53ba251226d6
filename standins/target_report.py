"""Reports of a target over UDP, sent before a call runs.

The receiver has them even if the target crashes.
"""

import json
import socket
from typing import Any

import attrs

from standins.target_messages import CallReceived
from standins.target_records import Violation

HOST = '127.0.0.1'


@attrs.define
class Reporter:
    """Sends starts and violations of a target to a UDP port on loopback.

    A datagram is in the receiver's buffer before the send returns, so none is
    lost if the target is killed right afterwards. Each report has a sequence
    number, by which the receiver detects a dropped report.
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
        """Return a reporter; without a receiver it sends nothing.

        Args:
            port: The TCP port of the target, which identifies it.
            instance: The id of the target's process.
            receiver_port: The UDP port of the receiver, if there is one.
        """
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        return cls(port, instance, receiver_port, sender)

    def report_serving(self) -> None:
        """Report that the target begins to serve."""
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
        """Report the violations that were not reported before."""
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
