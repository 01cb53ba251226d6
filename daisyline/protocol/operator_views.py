"""The state of a node for operators, as values that JSON can encode."""

import inspect
from typing import Any

import attrs

from daisyline.coordination.calls import customer_keys
from daisyline.coordination.events import Event
from daisyline.coordination.memory.memory_account import Cause, Kind
from daisyline.coordination.node_core import NodeCore
from daisyline.state.members import Member
from daisyline.state.targets import LoadReport


def status(core: NodeCore) -> dict[str, Any]:
    """Return the node's own fields, its members and its rollouts."""
    own_member = core.fleet.own_member
    versions = core.fleet.settings_versions
    return {
        'name': own_member.name,
        'cluster': core.fleet.cluster,
        'zone': own_member.zone,
        'region': own_member.region,
        'settings_version': core.fleet.settings.version,
        'service_times_ms': core.target_side.service_times.by_kind_ms,
        'members': [
            _member(core, member, versions.get(member.name, 0))
            for member in core.fleet.members.values()
        ],
        'rollouts': [
            attrs.asdict(rollout) for rollout in core.rollouts.status()
        ],
    }


def explain(
    core: NodeCore, kind: str, name: str, epoch_offset_s: float
) -> dict[str, Any]:
    """Return the decisions about a call, target, zone or rollout.

    Args:
        core: The node's decisions.
        kind: The kind of the named object: call, target, zone or rollout.
        name: The name of the object.
        epoch_offset_s: The offset from the monotonic clock to Unix time, in
            seconds. Events of several nodes can be ordered by Unix time.
    """
    finders = {
        'call': core.events.about_call,
        'target': core.events.about_target,
        'zone': core.events.about_zone,
        'rollout': core.events.about_rollout,
    }
    find = finders.get(kind)
    events = [] if find is None else find(name)
    return {'events': [_event(event, epoch_offset_s) for event in events]}


def histograms(core: NodeCore) -> dict[str, Any]:
    """Return the histograms per service and tenant, encoded for merging."""
    services: dict[str, dict[str, str]] = {}
    for (service, tenant), encoded in core.latencies.encode().items():
        services.setdefault(service, {})[tenant] = encoded
    return {'services': services}


def metrics(core: NodeCore) -> bytes:
    """Return the metrics in the Prometheus text format."""
    # The library takes memory, so only nodes that are scraped import it.
    from daisyline.protocol.metrics import metrics_text  # noqa: PLC0415

    load = core.target_side.load
    memory = core.memory
    counters = {
        'sink_failures_total': core.events.sink_failures,
        'store_late_answers_total': core.store_clock.late_answers,
        **_key_refusals(core),
        **core.duties.counters(),
    }
    counters.update(
        (f'memory_taken_{cause}_total', memory.revocations[cause])
        for cause in Cause
    )
    counters.update(
        (f'unfinished_refused_{reason}_total'.replace('-', '_'), count)
        for reason, count in memory.refusals.items()
    )
    gauges = {
        'memory_limit_bytes': memory.limit_bytes,
        **{f'memory_held_{kind}_bytes': memory.by_kind[kind] for kind in Kind},
        'running': load.running,
        'waiting': load.waiting,
        'slots_usable': load.limit,
        'members': len(core.fleet.members),
        'settings_version': core.fleet.settings.version,
        'store_era': core.store_clock.era,
        **core.duties.gauges(),
    }
    return metrics_text(core.latencies, counters, gauges)


def _key_refusals(core: NodeCore) -> dict[str, float]:
    """Return the counters of refused keys, if customers have keys."""
    if not core.fleet.settings.customers.requires_keys:
        return {}
    count = core.entry.key_refusals.count
    return {
        'keys_missing_total': count(customer_keys.Cause.MISSING),
        'keys_malformed_total': count(customer_keys.Cause.MALFORMED),
        'keys_unknown_total': count(customer_keys.Cause.UNKNOWN),
    }


def _event(event: Event, epoch_offset_s: float) -> dict[str, Any]:
    fields = attrs.asdict(event)
    if not event.call:
        fields.pop('call')
    what = inspect.getdoc(type(event)) or ''
    return {
        'kind': type(event).__name__,
        'what': what.partition('\n')[0],
        **fields,
        'at': event.at + epoch_offset_s,
    }


def _member(core: NodeCore, member: Member, version: int) -> dict[str, Any]:
    target = member.target
    load = _load(core, member)
    return {
        'name': member.name,
        'zone': member.zone,
        'region': member.region,
        'settings_version': version,
        'service': '' if target is None else target.service,
        'version': '' if target is None else target.version,
        'phase': '' if target is None else target.phase.value,
        'running': load.running,
        'waiting': load.waiting,
        'limit': load.limit,
        'operators': _operators_url(member),
    }


def _operators_url(member: Member) -> str:
    if not member.operators_port:
        return ''
    return f'http://{member.host}:{member.operators_port}'


def _load(core: NodeCore, member: Member) -> LoadReport:
    """Return the last load report of a target that this node received."""
    if member.name == core.name:
        return core.target_side.load
    if member.target is None:
        return LoadReport()
    return core.entry.router(member.target.service).last_report(member.name)
