"""Times of the platform's store: the era first, then the revision."""

import attrs

from daisyline.state.facts import LASTING_TTL_MS, Fact

STORE_ERA = 'store-era'
MAX_ERA = 32_767
_REVISION_BITS = 48
_MAX_REVISION = 2**_REVISION_BITS - 1


@attrs.frozen(order=True)
class StoreTime:
    """When the store was read or changed; a later time is larger.

    The store begins an era each time that it comes back from an older copy. It
    then gives revisions out again, so a revision alone does not tell the age.

    Attributes:
        era: The store's era; 0 if it states none.
        revision: The store's revision.
    """

    era: int = 0
    revision: int = 0

    @classmethod
    def from_rank(cls, rank: int) -> 'StoreTime':
        """Return the time that a rank stands for."""
        return cls(rank >> _REVISION_BITS, rank & _MAX_REVISION)

    @property
    def rank(self) -> int:
        """Return the time as one integer in the same order.

        In era 0 it is the revision, which is all that nodes of the build
        before send and compare.
        """
        return (self.era << _REVISION_BITS) + min(self.revision, _MAX_REVISION)

    def may_be_before(self, held: 'StoreTime') -> bool:
        """Return whether an object of this time may be older than one held.

        An object that is listed in a later era may have been in the copy, or
        have been written since. Beyond the revision of what is held, it has
        been written later in any case.
        """
        return self.era > held.era and self.revision <= held.revision

    def __str__(self) -> str:
        """Return the revision, after the era if there is one."""
        return f'{self.era}.{self.revision}' if self.era else f'{self.revision}'


def era_fact(era: int) -> Fact:
    """Return the fact that the store has begun an era."""
    return Fact(STORE_ERA, '', era, (), LASTING_TTL_MS)


def era_in(fact: Fact) -> int | None:
    """Return the era that a fact states; None for other facts."""
    if fact.key != (STORE_ERA, '') or not 0 <= fact.rank <= MAX_ERA:
        return None
    return fact.rank
