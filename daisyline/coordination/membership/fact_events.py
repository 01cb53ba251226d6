"""The effect that publishes a fact and the event that a fact changed."""

import attrs

from daisyline.state.facts import Fact


@attrs.frozen
class PutFact:
    """Publish a fact to all nodes, including this one.

    Attributes:
        fact: The fact.
        is_urgent: Whether it is sent at once, not with the next batch of
            updates, so that other nodes have it if this process ends.
    """

    fact: Fact
    is_urgent: bool = False


@attrs.frozen
class FactChanged:
    """A fact is new on this node or has superseded another."""

    fact: Fact
