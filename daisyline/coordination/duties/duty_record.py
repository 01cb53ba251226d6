"""The stored object of a duty, and the fact that names its holder."""

from collections.abc import Mapping
from typing import Any

import attrs

from daisyline.state.facts import Fact

OBJECT_KIND = 'duties'
USAGE_DUTY = 'usage'
FACT_KIND = 'duty'
# Reports beyond this number are dropped, the oldest first: at windows of 5 s
# they are overdue by minutes, and the object stays well below 1 MiB.
MAX_REPORTS = 60
# Facts are ordered by the token, then by the window, which takes 32 bits.
_WINDOW_BITS = 32
_MAX_WINDOW = 2**_WINDOW_BITS - 1
_MAX_TOKEN = _MAX_WINDOW // 2

Counts = Mapping[str, int]


@attrs.frozen(order=False)
class DutyNotice:
    """Who holds the duty, and how far its reports are written.

    Attributes:
        holder: The name of the node; empty if none is known.
        start: The incarnation of its process.
        token: The fencing token; 0 if none is known.
        newest: The newest window whose report is written.
    """

    holder: str = ''
    start: int = 0
    token: int = 0
    newest: int = 0

    @property
    def order(self) -> tuple[int, int]:
        """Return the key that orders notices; larger is newer."""
        return (self.token, self.newest)

    def to_fact(self) -> Fact:
        """Return the fact that spreads this notice to all nodes."""
        rank = (self.token << _WINDOW_BITS) + self.newest
        payload = (self.holder, self.start, self.token, self.newest)
        return Fact(FACT_KIND, USAGE_DUTY, rank, payload)

    @classmethod
    def from_fact(cls, fact: Fact | None) -> 'DutyNotice | None':
        """Parse a fact; None if it is no such notice."""
        if fact is None or fact.key != (FACT_KIND, USAGE_DUTY):
            return None
        if tuple(map(type, fact.payload)) != (str, int, int, int):
            return None
        return cls(*fact.payload)


@attrs.frozen
class DutyRecord:
    """The content of the stored object.

    Attributes:
        holder: The name of the node that holds the duty.
        start: The incarnation of its process.
        token: The fencing token of this holder.
        newest: The newest window whose report was written.
        reports: The counts of each customer, by window.
    """

    holder: str
    start: int
    token: int
    newest: int
    reports: Mapping[int, Counts] = attrs.field(factory=dict)

    @property
    def notice(self) -> DutyNotice:
        """Return who holds the duty according to this record."""
        return DutyNotice(self.holder, self.start, self.token, self.newest)

    def has_holder_of(self, other: 'DutyRecord') -> bool:
        """Return whether the same process holds the duty in both records."""
        own = (self.holder, self.start, self.token)
        return own == (other.holder, other.start, other.token)

    def with_reports(
        self, added: Mapping[int, Counts], confirmed: set[int]
    ) -> 'DutyRecord':
        """Return a record with more reports and without those confirmed.

        The newest report stays in any case.

        Args:
            added: Reports of windows that follow the newest one.
            confirmed: Windows whose report the platform has accepted.
        """
        newest = max((self.newest, *added))
        kept = {
            window: counts
            for window, counts in self.reports.items()
            if window not in confirmed or window == newest
        }
        reports = sorted({**kept, **added}.items())[-MAX_REPORTS:]
        return attrs.evolve(self, newest=newest, reports=dict(reports))

    def to_content(self) -> dict[str, Any]:
        """Return the JSON value of the object."""
        return {
            'holder': self.holder,
            'start': self.start,
            'token': self.token,
            'newest': self.newest,
            'reports': {
                str(window): dict(counts)
                for window, counts in self.reports.items()
            },
        }

    @classmethod
    def from_content(cls, content: Any) -> 'DutyRecord | None':
        """Parse the value of the object; None if it is malformed."""
        if not isinstance(content, dict):
            return None
        if not isinstance(content.get('reports'), dict):
            return None
        try:
            return cls(
                holder=_text(content['holder']),
                start=int(content['start']),
                token=_bounded(content['token'], _MAX_TOKEN),
                newest=_bounded(content['newest'], _MAX_WINDOW),
                reports={
                    _bounded(window, _MAX_WINDOW): _counts_of(counts)
                    for window, counts in content['reports'].items()
                },
            )
        except (KeyError, TypeError, ValueError):
            return None


def _counts_of(counts: Any) -> dict[str, int]:
    """Return the counts of a report.

    Raises:
        TypeError: If they are malformed.
    """
    if not isinstance(counts, dict):
        raise TypeError('counts are an object')
    return {str(customer): int(count) for customer, count in counts.items()}


def _text(name: Any) -> str:
    """Return a string of a record.

    Raises:
        TypeError: If it is none.
    """
    if not isinstance(name, str):
        raise TypeError('a node is named by a string')
    return name


def _bounded(number: Any, maximum: int) -> int:
    """Return an integer of a record.

    Raises:
        ValueError: If it is not one that a fact can carry.
    """
    integer = int(number)
    if not 0 <= integer <= maximum:
        raise ValueError('the number is out of range')
    return integer
