"""Sequential comparison of two rates with a bound on false alarms.

The test multiplies bets into an e-process, as in Waudby-Smith and Ramdas,
"Estimating means of bounded random variables by betting" (2024), with the
two-sample bets of Turner, Ly and Gruenwald, "Generic E-variables for exact
sequential k-sample tests" (2024). By Ville's inequality a process that starts
at 1 reaches 1/alpha with a probability of at most alpha, however often and
whenever it is evaluated.

A new process starts in each block, with weights that sum to 1. Their sum keeps
the bound, and also detects a rate that changes after many blocks.
"""

import math

import attrs

# An e-process stops growing at this value, so that it stays finite.
_MAX_E_VALUE = 1e30
# No bet stakes more than this fraction of its capital, so that no outcome
# loses all of it.
_MAX_STAKE_FRACTION = 0.95
# Rates are kept this far from 0 and 1, as a bet on a rate of exactly 0 or 1
# would stake everything on one outcome.
_RATE_MARGIN = 1e-4
# The part of the starting stakes that is bet in the first block. Later blocks
# share the rest.
_FIRST_BLOCK_WEIGHT = 0.5


@attrs.frozen
class Counts:
    """A number of calls, and how many of them were hits.

    A hit is a call that failed or was slow, depending on the rate.
    """

    calls: int = 0
    hits: int = 0

    def __str__(self) -> str:
        """Return the counts as text for operators."""
        return f'{self.hits} of {self.calls} calls'

    def plus(self, calls: int, hits: int) -> 'Counts':
        """Return the counts with calls and hits added."""
        return Counts(self.calls + calls, self.hits + hits)


@attrs.frozen
class Bet:
    """The logarithms of the factors by which one call changes the e-value.

    There is one factor for each version and outcome of a call.
    """

    old_miss: float
    old_hit: float
    new_miss: float
    new_hit: float

    def log_gain(self, old: Counts, new: Counts) -> float:
        """Return the logarithm of the factor that a block yields."""
        return (
            (old.calls - old.hits) * self.old_miss
            + old.hits * self.old_hit
            + (new.calls - new.hits) * self.new_miss
            + new.hits * self.new_hit
        )


def make_bet(
    calls: tuple[int, int], rates: tuple[float, float], tolerance: float
) -> Bet:
    """Return a bet that the new rate exceeds the old by more than a tolerance.

    For any true rates with `new <= old + tolerance` the expected gain of a
    block is at most 1: the stakes satisfy `n_old * s_old = n_new * s_new`, so
    the inequality of arithmetic and geometric means bounds the product.

    Args:
        calls: Calls of the old and of the new version in the block.
        rates: The old and the new rate to bet on, 0 to 1. They must not depend
            on the outcomes in the block.
        tolerance: How much higher than the old rate the new rate may be.
    """
    old_calls, new_calls = calls
    old_rate = min(max(rates[0], _RATE_MARGIN), 1 - _RATE_MARGIN)
    new_rate = max(rates[1] - tolerance, old_rate)
    pooled_rate = (old_calls * old_rate + new_calls * new_rate) / (
        old_calls + new_calls
    )
    shifted_rate = min(pooled_rate + tolerance, 1 - _RATE_MARGIN)
    stake = (new_rate - pooled_rate) / (shifted_rate * (1 - shifted_rate))
    # The limits keep every factor positive.
    stake = min(
        stake,
        _MAX_STAKE_FRACTION / shifted_rate,
        _MAX_STAKE_FRACTION * old_calls / (new_calls * (1 - pooled_rate)),
    )
    old_stake = stake * new_calls / old_calls
    return Bet(
        old_miss=math.log1p(pooled_rate * old_stake),
        old_hit=math.log1p((pooled_rate - 1) * old_stake),
        new_miss=math.log1p(-(pooled_rate + tolerance) * stake),
        new_hit=math.log1p((1 - pooled_rate - tolerance) * stake),
    )


@attrs.frozen
class Alternatives:
    """The alternative hypotheses about a rate, each with the same stake.

    Attributes:
        tolerance: A rise of the rate that isn't held against the new version.
        lifts: Rises beyond the tolerance to bet on, as fractions of the
            distance from the highest tolerated rate to 1.
    """

    tolerance: float
    lifts: tuple[float, ...]

    def log_gains(
        self, old: Counts, new: Counts, old_rate: float
    ) -> tuple[float, ...]:
        """Return the logarithm of each bet's gain from a block.

        Args:
            old: Counts of the old version, with at least one call.
            new: Counts of the new version, with at least one call.
            old_rate: The old version's rate, estimated from earlier blocks.
        """
        tolerated_rate = old_rate + self.tolerance
        return tuple(
            make_bet(
                (old.calls, new.calls),
                (old_rate, tolerated_rate + lift * max(0, 1 - tolerated_rate)),
                self.tolerance,
            ).log_gain(old, new)
            for lift in self.lifts
        )


def _stake_after(stake: float, log_gain: float) -> float:
    """Return a stake multiplied by a gain, at most the largest e-value."""
    log_stake = math.log(max(stake, 1 / _MAX_E_VALUE))
    return math.exp(min(log_stake + log_gain, math.log(_MAX_E_VALUE)))


@attrs.define
class Comparison:
    """A sequential test of whether one rate of the new version is too high.

    Attributes:
        e_value: The e-value; 1 or less is no evidence against the new version.
    """

    _restarts: int
    _blocks: int = 0
    _stakes: tuple[float, ...] = ()
    e_value: float = 0

    @classmethod
    def from_config(cls, restarts: int) -> 'Comparison':
        """Build a comparison without evidence.

        Args:
            restarts: How many blocks after the first start a process anew.
                They share the starting stakes that the first block leaves.
        """
        return cls(max(1, restarts))

    def add_block(self, log_gains: tuple[float, ...]) -> None:
        """Add new stakes, then multiply each alternative's by its gain."""
        new_stake = self._count_block()
        previous = self._stakes or tuple(0 for _ in log_gains)
        self._stakes = tuple(
            _stake_after(stake + new_stake, gain)
            for stake, gain in zip(previous, log_gains, strict=True)
        )
        self.e_value = sum(self._stakes) / len(self._stakes)

    def _count_block(self) -> float:
        """Count a block and return the stake that is added in it."""
        self._blocks += 1
        if self._blocks == 1:
            return _FIRST_BLOCK_WEIGHT
        if self._blocks > self._restarts + 1:
            return 0
        return (1 - _FIRST_BLOCK_WEIGHT) / self._restarts
