"""The usage reports that the stand-in platform has got, and their faults."""

from typing import Any

import attrs

OK = 200
CONFLICT = 409


@attrs.define
class UsageRecords:
    """Accepts reports and notes what must never occur.

    Attributes:
        token: The highest fencing token seen.
        reports: The counts of each customer, by window.
        calls: The holder, token, window and status of each call.
        faults: What must never occur and did.
    """

    token: int = 0
    reports: dict[int, dict[str, int]] = attrs.field(factory=dict)
    calls: list[tuple[str, int, int, int]] = attrs.field(factory=list)
    faults: list[str] = attrs.field(factory=list)
    _holders: dict[int, str] = attrs.field(factory=dict)

    def report(self, holder: str, token: int, fields: Any) -> int:
        """Take a report; return the HTTP status of the answer."""
        window, counts = fields['windowNum'], fields['counts']
        status = CONFLICT if token < self.token else OK
        self.calls.append((holder, token, window, status))
        if self._holders.setdefault(token, holder) != holder:
            self.faults.append(f'token {token} has two holders')
        if status == OK:
            self.token = token
            if self.reports.setdefault(window, counts) != counts:
                self.faults.append(f'window {window} has two counts')
        return status
