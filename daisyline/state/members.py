"""Members of the fleet: the nodes, each with the target beside it."""

import attrs

from daisyline.state.targets import Target


def _to_target(fields: object) -> Target | None:
    """Return a target, built from its fields in order if needed.

    Raises:
        TypeError: If it is neither a target nor a list of its fields.
    """
    if fields is None or isinstance(fields, Target):
        return fields
    if not isinstance(fields, (list, tuple)):
        raise TypeError('a target is a list of fields')
    return Target(*fields)


@attrs.frozen
class Member:
    """The record of a node that gossip spreads to the other nodes.

    Attributes:
        name: The node's name, unique in its cluster.
        host: The IP address of the port for other nodes.
        port: The TCP port for other nodes.
        zone: The availability zone that the node is in.
        region: The region of that zone.
        incarnation: The wall-clock time of the node's start, in microseconds;
            larger after a restart.
        revision: Grows each time the node changes its own record.
        target: The target beside the node, if one has announced itself.
        operators_port: The TCP port for operators; 0 if it is unknown.
        platform_unreadable: Whether the node's last read of the platform
            failed.
    """

    name: str = attrs.field(validator=attrs.validators.instance_of(str))
    host: str = attrs.field(validator=attrs.validators.instance_of(str))
    port: int = attrs.field(validator=attrs.validators.instance_of(int))
    zone: str = attrs.field(validator=attrs.validators.instance_of(str))
    region: str = attrs.field(validator=attrs.validators.instance_of(str))
    incarnation: int = attrs.field(validator=attrs.validators.instance_of(int))
    revision: int = attrs.field(
        default=0, validator=attrs.validators.instance_of(int)
    )
    target: Target | None = attrs.field(default=None, converter=_to_target)
    operators_port: int = attrs.field(
        default=0, validator=attrs.validators.instance_of(int)
    )
    platform_unreadable: bool = attrs.field(
        default=False, validator=attrs.validators.instance_of(bool)
    )

    @property
    def stamp(self) -> tuple[int, int]:
        """Return the key that orders records of one node; larger is newer."""
        return (self.incarnation, self.revision)
