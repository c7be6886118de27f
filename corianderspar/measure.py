"""Prints one line for each measure, ours and naive of the same run."""

import importlib
from typing import NamedTuple

MODULES = (
    'measure_pool',
    'measure_placement',
    'measure_limits',
    'measure_once',
)


class Measure(NamedTuple):
    """One figure, and the naive version's figure of the same run.

    Attributes
    ----------
    name : str
        What was measured.
    ours, naive : float
        The worst of all seeds, in ``unit``.
    unit : str
        Unit of both.
    n : int
        How many requests, or the like, stand behind it.
    seed : int
        The seed that gave ours.
    """

    name: str
    ours: float
    naive: float
    unit: str
    n: int
    seed: int

    def __str__(self) -> str:
        """Return the line to print.

        Examples
        --------
        >>> print(Measure('goodput', 3.0, 2.0, 'requests/s', 10, 1))
        measure=goodput ours=3 naive=2 ratio=1.5 unit=requests/s n=10 seed=1
        """
        ratio = self.ours / self.naive if self.naive else float('nan')
        return (
            f'measure={self.name} ours={self.ours:.4g}'
            f' naive={self.naive:.4g} ratio={ratio:.4g}'
            f' unit={self.unit} n={self.n} seed={self.seed}'
        )


def main() -> None:
    """Run every module of measures and print its lines."""
    for name in MODULES:
        module = importlib.import_module(f'corianderspar.{name}')
        for line in module.measures():
            print(line, flush=True)


if __name__ == '__main__':
    main()
