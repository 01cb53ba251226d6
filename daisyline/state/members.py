"""Members of the fleet: nodes, and the target beside each."""

import attrs

from daisyline.state.targets import Target


def _target_from(fields: object) -> Target | None:
    """Build a target from itself or from its fields in order."""
    if fields is None or isinstance(fields, Target):
        return fields
    if not isinstance(fields, (list, tuple)):
        raise TypeError('a target is a list of fields')
    return Target(*fields)


@attrs.frozen
class Member:
    """A node as the others know it.

    Attributes:
        name: The node's name, unique in its cluster.
        host: The IP number of its peers' port.
        port: Its peers' TCP port.
        zone: The availability zone it stands in.
        region: The region of that zone.
        incarnation: Wall-clock microseconds of its start; a restart is newer.
        revision: Grows each time the node changes its own record.
        target: The target beside it, if one has announced itself.
        operators_port: The TCP port for operators; 0 if it is unknown.
        platform_unreadable: Whether its last read of the platform's store failed.
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
    target: Target | None = attrs.field(default=None, converter=_target_from)
    operators_port: int = attrs.field(
        default=0, validator=attrs.validators.instance_of(int)
    )
    platform_unreadable: bool = attrs.field(
        default=False, validator=attrs.validators.instance_of(bool)
    )

    @property
    def stamp(self) -> tuple[int, int]:
        """Return what orders two records of one node; the larger is newer."""
        return (self.incarnation, self.revision)
