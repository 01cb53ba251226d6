"""What a node does when the platform's store comes back from a copy."""

from daisyline.coordination import events as log
from daisyline.coordination.duties import duty_handlers
from daisyline.coordination.membership.fleet_events import StoreReturned
from daisyline.coordination.node_core import Effects, NodeCore
from daisyline.state.facts import Fact
from daisyline.state.orders import ORDER_KINDS
from daisyline.state.store_time import StoreTime, era_in


def learn_from_fact(fact: Fact, core: NodeCore) -> Effects:
    """Learn the era that another node has told of, if a fact does."""
    era = era_in(fact)
    if fact.kind in ORDER_KINDS:
        # Nodes of the build before know no era.
        era = StoreTime.from_rank(fact.rank).era or None
    return core.store_clock.learn(era)


def apply_return(effect: StoreReturned, core: NodeCore, now: float) -> Effects:
    """Record the return and compare what this node holds with the copy."""
    core.events.add(
        log.StoreReturned(
            now,
            era=effect.era,
            before=effect.before,
            settings_version=core.fleet.settings.version,
        )
    )
    return [
        *core.fleet.handle(effect, now),
        *core.rollouts.handle(effect, now),
        *duty_handlers.handle(effect, core.duties, now),
    ]
