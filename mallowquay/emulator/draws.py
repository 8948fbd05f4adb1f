"""Random numbers by the block, from a seeded generator of NumPy: one draw costs a list's pop."""

from __future__ import annotations

import numpy

BLOCK = 4096


class Draws:
    """Exponential and uniform numbers. The same seed and stream give the same numbers."""

    def __init__(self, seed: int, stream: int) -> None:
        self._generator = numpy.random.Generator(numpy.random.PCG64([seed, stream]))
        self._exponential: list[float] = []
        self._uniform: list[float] = []

    def exponential(self) -> float:
        """Mean 1."""
        if not self._exponential:
            self._exponential = self._generator.standard_exponential(BLOCK).tolist()
        return self._exponential.pop()

    def uniform(self) -> float:
        """From 0 to below 1."""
        if not self._uniform:
            self._uniform = self._generator.random(BLOCK).tolist()
        return self._uniform.pop()
