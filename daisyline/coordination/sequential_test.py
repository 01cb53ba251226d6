"""Sequential comparison of two rates with a bound on false alarms.

The test multiplies bets into an e-process, as in Waudby-Smith and Ramdas,
"Estimating means of bounded random variables by betting" (2024), with the
two-sample bets of Turner, Ly and Gruenwald, "Generic E-variables for exact
sequential k-sample tests" (2024). By Ville's inequality a process that starts
at 1 reaches 1/alpha with a probability of at most alpha, however often and
whenever one looks. Starting anew in each block with weights that sum to 1
keeps that bound and finds a rate that changes later.
"""

import math

import attrs

# An e-process stops growing here, so that it stays a finite number.
_CEILING = 1e30
# No bet stakes more than this part of what it has.
_MAX_STAKE = 0.95
# A rate of exactly 0 or 1 would stake everything on one outcome.
_RATE_MARGIN = 1e-4
_FIRST_WEIGHT = 0.5


@attrs.frozen
class Counts:
    """Calls, and those that were hits (failed, or slow)."""

    calls: int = 0
    hits: int = 0

    def __str__(self) -> str:
        """Return the counts as words."""
        return f'{self.hits} of {self.calls} calls'

    def plus(self, calls: int, hits: int) -> 'Counts':
        """Return the sum."""
        return Counts(self.calls + calls, self.hits + hits)


@attrs.frozen
class Bet:
    """What one call multiplies the evidence by, as logarithms."""

    old_miss: float
    old_hit: float
    new_miss: float
    new_hit: float

    def log_gain(self, old: Counts, new: Counts) -> float:
        """Return the logarithm of what a block multiplies evidence by."""
        return (
            (old.calls - old.hits) * self.old_miss
            + old.hits * self.old_hit
            + (new.calls - new.hits) * self.new_miss
            + new.hits * self.new_hit
        )


def make_bet(
    calls: tuple[int, int], rates: tuple[float, float], tolerance: float
) -> Bet:
    """Stake on the new rate being above the old one by a tolerance.

    For any true rates with `new <= old + tolerance` the expected gain of a
    block is at most 1: the stakes satisfy `n_old * s_old = n_new * s_new`, so
    the inequality of arithmetic and geometric means bounds the product.

    Args:
        calls: Calls of the old and of the new version in the block.
        rates: The rates to bet on, from before the block.
        tolerance: How much higher the new rate may be.
    """
    old_calls, new_calls = calls
    old_rate = min(max(rates[0], _RATE_MARGIN), 1 - _RATE_MARGIN)
    new_rate = max(rates[1] - tolerance, old_rate)
    middle = (old_calls * old_rate + new_calls * new_rate) / (
        old_calls + new_calls
    )
    raised = min(middle + tolerance, 1 - _RATE_MARGIN)
    stake = (new_rate - middle) / (raised * (1 - raised))
    # The limits keep every factor above zero.
    stake = min(
        stake,
        _MAX_STAKE / raised,
        _MAX_STAKE * old_calls / (new_calls * (1 - middle)),
    )
    old_stake = stake * new_calls / old_calls
    return Bet(
        old_miss=math.log1p(middle * old_stake),
        old_hit=math.log1p((middle - 1) * old_stake),
        new_miss=math.log1p(-(middle + tolerance) * stake),
        new_hit=math.log1p((1 - middle - tolerance) * stake),
    )


@attrs.frozen
class Alternatives:
    """How much worse a new version may be, in parts of what is left to 1.

    Attributes:
        tolerance: A rise of the rate that is no fault.
        lifts: Rises beyond it that are bet on with equal stakes.
    """

    tolerance: float
    lifts: tuple[float, ...]

    def log_gains(
        self, old: Counts, new: Counts, old_rate: float
    ) -> tuple[float, ...]:
        """Return the logarithm of each bet's gain from a block.

        Args:
            old: Counts of the old version; not without calls.
            new: Counts of the new version; not without calls.
            old_rate: The old version's rate as earlier blocks give it.
        """
        raised = old_rate + self.tolerance
        return tuple(
            make_bet(
                (old.calls, new.calls),
                (old_rate, raised + lift * max(0, 1 - raised)),
                self.tolerance,
            ).log_gain(old, new)
            for lift in self.lifts
        )


def _grown(stake: float, log_gain: float) -> float:
    """Return a stake after a gain, within what a float can hold."""
    log_stake = math.log(max(stake, 1 / _CEILING))
    return math.exp(min(log_stake + log_gain, math.log(_CEILING)))


@attrs.define
class Comparison:
    """Evidence that one rate of the new version is too high.

    Attributes:
        evidence: The e-value; 1 or less speaks for the new version.
    """

    _restarts: int
    _blocks: int = 0
    _stakes: tuple[float, ...] = ()
    e_value: float = 0

    @classmethod
    def from_config(cls, restarts: int) -> 'Comparison':
        """Build a comparison.

        Args:
            restarts: Blocks after the first that share the other half of
                the starting stakes.
        """
        return cls(max(1, restarts))

    def add_block(self, log_gains: tuple[float, ...]) -> None:
        """Multiply the stakes of each alternative by its gain."""
        weight = self._next_weight()
        held = self._stakes or tuple(0 for _ in log_gains)
        self._stakes = tuple(
            _grown(stake + weight, gain)
            for stake, gain in zip(held, log_gains, strict=True)
        )
        self.e_value = sum(self._stakes) / len(self._stakes)

    def _next_weight(self) -> float:
        """Return the stake that starts anew with this block."""
        self._blocks += 1
        if self._blocks == 1:
            return _FIRST_WEIGHT
        if self._blocks > self._restarts + 1:
            return 0
        return (1 - _FIRST_WEIGHT) / self._restarts
