"""The effect that publishes a fact and the event that a fact changed."""

import attrs

from daisyline.state.facts import Fact


@attrs.frozen
class PutFact:
    """Publish a fact to all nodes, including this one."""

    fact: Fact


@attrs.frozen
class FactChanged:
    """A fact is new on this node or has superseded another."""

    fact: Fact
