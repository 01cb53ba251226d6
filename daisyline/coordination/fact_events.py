"""How decisions put facts and hear of them; gossip carries them between."""

import attrs

from daisyline.state.facts import Fact


@attrs.frozen
class PutFact:
    """Spread a fact to every node, this one too."""

    fact: Fact


@attrs.frozen
class FactChanged:
    """Say that a fact is new here, or has taken another's place."""

    fact: Fact
