"""Encodes the answer to one request of a caller, based on h11."""

from http import HTTPStatus

import h11

from daisyline.coordination.calls.messages import Headers
from daisyline.protocol.h11_connection import new_connection

_BODILESS_STATUSES = frozenset((204, 304))
_LENGTH_HEADER = b'content-length'


class AnswerCodec:
    """Encodes the answer to one request."""

    def __init__(self) -> None:
        """Create the codec of a connection without a request so far."""
        self._connection = new_connection(h11.SERVER)
        self._request: h11.Request | None = None

    @classmethod
    def for_request(cls, request: h11.Request) -> 'AnswerCodec':
        """Return a codec that answers a request read by another codec."""
        codec = cls()
        connection_headers = [
            b'%s: %s\r\n' % pair
            for pair in request.headers
            if pair[0] == b'connection'
        ]
        codec._connection.receive_data(
            b'%s / HTTP/%s\r\nhost: caller\r\n%s\r\n'
            % (
                request.method,
                request.http_version,
                b''.join(connection_headers),
            )
        )
        codec._request = request
        codec._connection.next_event()
        codec._connection.next_event()
        return codec

    def restarted(self) -> 'AnswerCodec':
        """Return a codec for another answer to the same request."""
        assert self._request is not None
        return AnswerCodec.for_request(self._request)

    @property
    def is_reusable(self) -> bool:
        """Return whether another request may follow the answer."""
        return (
            self._connection.our_state is h11.DONE
            and self._connection.their_state is h11.DONE
        )

    def head(
        self, status: int, headers: Headers, length: int | None
    ) -> bytes | None:
        """Return the bytes of an answer's head; None if it is not valid HTTP.

        Args:
            status: The HTTP status.
            headers: End-to-end headers, in order.
            length: The length of the body in bytes; None if it is not known.
        """
        sent = list(headers)
        if status == HTTPStatus.NO_CONTENT:
            sent = [pair for pair in sent if pair[0].lower() != _LENGTH_HEADER]
        if length is not None and self._has_body(status):
            sent.append((b'Content-Length', str(length).encode()))
        return self._encode(h11.Response(status_code=status, headers=sent))

    def part(self, body: bytes) -> bytes | None:
        """Return the bytes of a part of a body.

        Returns None if the body is longer than its declared length.
        """
        return self._encode(h11.Data(data=body)) if body else b''

    def end(self) -> bytes | None:
        """Return the bytes that end an answer; None if it is incomplete."""
        return self._encode(h11.EndOfMessage())

    def _has_body(self, status: int) -> bool:
        """Return whether an answer with this status has a body."""
        request = self._request
        is_head_request = request is not None and request.method == b'HEAD'
        return not is_head_request and status not in _BODILESS_STATUSES

    def _encode(self, event: h11.Event) -> bytes | None:
        try:
            return self._connection.send(event) or b''
        except h11.LocalProtocolError:
            return None
