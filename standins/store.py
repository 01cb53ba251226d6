"""A model of the platform's object store without I/O."""

import functools
from typing import Any

import attrs

VALUE_LIMIT_BYTES = 1_048_576
HISTORY_LENGTH = 64

OK = 200
NOT_FOUND = 404
CONFLICT = 409
GONE = 410
TOO_LARGE = 413


@attrs.frozen
class StoredObject:
    """One version of an object.

    Attributes:
        name: The name of the object, unique within its kind.
        version: The revision of the store after this write.
        content: The JSON value; `None` once the object is deleted.
        written_at: The time of the write, in monotonic seconds.
    """

    name: str
    version: int
    content: Any
    written_at: float

    @property
    def fields(self) -> dict[str, Any]:
        """Return the object in the JSON form of the API."""
        return {
            'name': self.name,
            'version': self.version,
            'value': self.content,
        }


@attrs.frozen
class Read:
    """Read one object."""

    token: Any
    kind: str
    name: str


@attrs.frozen
class ListKind:
    """List all objects of a kind."""

    token: Any
    kind: str


@attrs.frozen
class Write:
    """Write an object if its current version is the expected one.

    Attributes:
        token: Comes back in the reply.
        kind: The object's kind.
        name: The object's name.
        version: The expected version; 0 if the object must not exist.
        content: The JSON value.
        octets: The length of the encoded value, in bytes.
    """

    token: Any
    kind: str
    name: str
    version: int
    content: Any
    octets: int = 0


@attrs.frozen
class Delete:
    """Delete an object if its current version is the expected one."""

    token: Any
    kind: str
    name: str
    version: int


@attrs.frozen
class Watch:
    """Wait for a change of a kind after a revision.

    Attributes:
        token: Comes back in the reply.
        kind: The kind to watch.
        since: The revision after which changes are reported.
        wait_s: The maximum wait, in seconds.
    """

    token: Any
    kind: str
    since: int
    wait_s: float


@attrs.frozen
class WatchExpired:
    """Answer a watch without changes when its wait has elapsed."""

    watch: Watch


@attrs.frozen
class DropWatch:
    """Drop a watch whose connection was closed."""

    token: Any


@attrs.frozen
class Reply:
    """Answer a request with a status and a JSON body."""

    token: Any
    status: int
    body: dict[str, Any]


@attrs.define
class Store:
    """Objects with revisions, conditional updates, deletes and watches.

    Attributes:
        read_lag_s: How far reads and lists lag behind writes, in seconds.
        era: Grows by one each time that the store comes back from a copy.
        revision: The number of successful writes and deletes so far.
        calls: The number of calls, by kind and verb.
    """

    read_lag_s: float = 0
    era: int = 0
    revision: int = 0
    calls: dict[tuple[str, str], int] = attrs.field(factory=dict)
    _histories: dict[tuple[str, str], list[StoredObject]] = attrs.field(
        factory=dict
    )
    _watches: dict[Any, Watch] = attrs.field(factory=dict)

    @property
    def open_watches(self) -> int:
        """Return the number of watches that are waiting."""
        return len(self._watches)

    def restore(self, moment: float) -> dict[tuple[str, str], Any]:
        """Come back as the store was at a moment, and drop all watches.

        Args:
            moment: The time of the copy, in monotonic seconds.

        Returns:
            The newest content of each object that the copy lacks, by kind and
            name; None for one that was deleted.
        """
        lost = {
            key: history[-1].content
            for key, history in self._histories.items()
            if history[-1].written_at > moment
        }
        self._histories = {
            key: [stored for stored in history if stored.written_at <= moment]
            for key, history in self._histories.items()
        }
        self._histories = {
            key: history for key, history in self._histories.items() if history
        }
        self.revision = max(
            (history[-1].version for history in self._histories.values()),
            default=0,
        )
        self._watches.clear()
        self.era += 1
        return lost

    def current(self, kind: str, name: str) -> dict[str, Any]:
        """Return an object as it is; its version is 0 if there is none."""
        if not self._version(kind, name):
            return {'name': name, 'version': 0, 'value': None}
        return self._histories[kind, name][-1].fields

    @functools.singledispatchmethod
    def handle(self, message: Any, now: float) -> list[Reply]:
        """Handle one message and return the replies to send.

        Raises:
            TypeError: If the type of the message is unknown.
        """
        raise TypeError(f'unknown message {message!r}')

    @handle.register
    def _read(self, message: Read, now: float) -> list[Reply]:
        self._count(message.kind, 'read')
        stored = self._version_at(
            message.kind, message.name, now - self.read_lag_s
        )
        if stored is None or stored.content is None:
            return [Reply(message.token, NOT_FOUND, {})]
        return [Reply(message.token, OK, stored.fields)]

    @handle.register
    def _list(self, message: ListKind, now: float) -> list[Reply]:
        self._count(message.kind, 'list')
        moment = now - self.read_lag_s
        found = [
            stored
            for kind, name in sorted(self._histories)
            if kind == message.kind
            and (stored := self._version_at(kind, name, moment)) is not None
        ]
        shown = [
            stored.fields for stored in found if stored.content is not None
        ]
        revision = self.revision
        if self.read_lag_s:
            revision = max((stored.version for stored in found), default=0)
        body = {'revision': revision, 'items': shown}
        return [Reply(message.token, OK, body)]

    @handle.register
    def _write(self, message: Write, now: float) -> list[Reply]:
        self._count(message.kind, 'write')
        if message.octets > VALUE_LIMIT_BYTES:
            return [Reply(message.token, TOO_LARGE, {})]
        current = self._version(message.kind, message.name)
        if current != message.version:
            return [Reply(message.token, CONFLICT, {'version': current})]
        return self._change(message, message.content, now)

    @handle.register
    def _delete(self, message: Delete, now: float) -> list[Reply]:
        self._count(message.kind, 'delete')
        current = self._version(message.kind, message.name)
        if not current:
            return [Reply(message.token, NOT_FOUND, {})]
        if current != message.version:
            return [Reply(message.token, CONFLICT, {'version': current})]
        return self._change(message, None, now)

    @handle.register
    def _watch(self, message: Watch, now: float) -> list[Reply]:
        self._count(message.kind, 'watch')
        if message.since > self.revision:
            return [Reply(message.token, GONE, {})]
        changed = self._changes(message)
        if changed:
            return [self._watch_reply(message, changed)]
        self._watches[message.token] = message
        return []

    @handle.register
    def _expire(self, message: WatchExpired, now: float) -> list[Reply]:
        watch = message.watch
        if self._watches.get(watch.token) is not watch:
            return []
        self._watches.pop(watch.token)
        return [self._watch_reply(watch, [])]

    @handle.register
    def _forget(self, message: DropWatch, now: float) -> list[Reply]:
        self._watches.pop(message.token, None)
        return []

    def _count(self, kind: str, verb: str) -> None:
        self.calls[kind, verb] = self.calls.get((kind, verb), 0) + 1

    def _version(self, kind: str, name: str) -> int:
        """Return the current version, or 0 if the object does not exist."""
        history = self._histories.get((kind, name))
        if not history or history[-1].content is None:
            return 0
        return history[-1].version

    def _version_at(
        self, kind: str, name: str, moment: float
    ) -> StoredObject | None:
        """Return the version of an object that reads saw at a moment."""
        history = self._histories.get((kind, name), [])
        for stored in reversed(history):
            if stored.written_at <= moment or not self.read_lag_s:
                return stored
        return None

    def _change(
        self, message: Write | Delete, content: Any, now: float
    ) -> list[Reply]:
        self.revision += 1
        history = self._histories.setdefault((message.kind, message.name), [])
        assert not history or history[-1].version < self.revision
        history.append(StoredObject(message.name, self.revision, content, now))
        if len(history) > HISTORY_LENGTH:
            history.pop(0)
        reply = Reply(message.token, OK, {'version': self.revision})
        return [reply, *self._answer_watches(message.kind)]

    def _answer_watches(self, kind: str) -> list[Reply]:
        """Answer and drop the watches of a kind that have changes to report."""
        replies = []
        for watch in list(self._watches.values()):
            if watch.kind == kind:
                changed = self._changes(watch)
                if changed:
                    self._watches.pop(watch.token)
                    replies.append(self._watch_reply(watch, changed))
        return replies

    def _changes(self, watch: Watch) -> list[StoredObject]:
        newest = [
            history[-1]
            for (kind, _name), history in self._histories.items()
            if kind == watch.kind and history[-1].version > watch.since
        ]
        return sorted(newest, key=lambda stored: stored.version)

    def _watch_reply(self, watch: Watch, changed: list[StoredObject]) -> Reply:
        shown = [stored.fields for stored in changed]
        body = {'revision': self.revision, 'items': shown}
        return Reply(watch.token, OK, body)
