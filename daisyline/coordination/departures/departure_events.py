"""Effects of the record of departures on the other parts of a node."""

import attrs

from daisyline.state.departures import Departure


@attrs.frozen
class DeparturesRead:
    """The store has answered which departures it lists for this node."""

    departures: tuple[Departure, ...]


@attrs.frozen
class DeparturesStored:
    """The store holds all departures that this node knows of."""
