"""Measures all slopes, fits them, and writes table, plots and page."""

import asyncio
import concurrent.futures
import importlib
import json
import os
from pathlib import Path
import subprocess
import sys
from typing import Any

import matplotlib

from corianderspar import capacity
from corianderspar import fits
from corianderspar import slopes_edge

MODULES = (
    'slopes_edge',
    'slopes_membership',
    'slopes_configuration',
    'slopes_pool',
    'slopes_placement',
    'slopes_once',
)
FOLDER = Path('docs') / 'capacity'
PAGE = Path('docs') / 'CAPACITY.md'
TEMPLATE = Path('docs') / 'capacity_template.md'
SEED = 1
WORKERS = 3
# Heartbeats go to at most 12 peers a second, and only two relays in each of
# the 8 data centres read the configuration service.
KNEES_BY_NAME = {
    'heartbeats_near_messages': 13.0,
    'heartbeats_near_sent_bytes': 13.0,
    'configuration_service_calls': 24.0,
    'configuration_service_calls_of_change': 24.0,
}
# Told by heartbeats_near and configuration_spread_worst already.
LEFT_OUT = (
    'configuration_heartbeats_of_daemon',
    'configuration_spread_median',
)
DPI = 90


def measure(modules: tuple[str, ...]) -> dict[str, fits.Series]:
    """Run the modules and return their series by name."""
    series_by_name = {}
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        for found in pool.map(_measure_module, modules):
            for series in found:
                series_by_name[series.name] = series
                _print_fit(series)
    return series_by_name


def _measure_module(name: str) -> list[fits.Series]:
    module = importlib.import_module(f'corianderspar.{name}')
    return [
        series._replace(knee=KNEES_BY_NAME.get(series.name, 0.0))
        for series in module.series()
        if series.name not in LEFT_OUT
    ]


def _print_fit(series: fits.Series) -> None:
    line = fits.fit(series)
    print(
        f'series={series.name} slope={line.slope:.4g}'
        f' intercept={line.intercept:.4g} residual={line.residual:.3g}'
        f' left_out_error={line.error:.3f}',
        flush=True,
    )


def write_table(
    series_by_name: dict[str, fits.Series],
    added: slopes_edge.Latency,
    path: Path,
) -> None:
    """Write all points, fits and the added latency as JSON."""
    table = {
        'latency': added._asdict(),
        'seed': SEED,
        'machine': {'cores': os.cpu_count(), 'memory_bytes': _memory()},
        'commit': _commit(),
        'series': {
            name: _entry(series) for name, series in series_by_name.items()
        },
    }
    path.write_text(json.dumps(table, indent=1) + '\n', encoding='utf-8')


def read_table(path: Path) -> dict[str, fits.Series]:
    """Return the series of a table that was written before."""
    table = json.loads(path.read_text(encoding='utf-8'))
    return {
        name: fits.Series(
            name,
            entry['x'],
            entry['y'],
            tuple(fits.Point(*point) for point in entry['points']),
            entry['knee'],
        )
        for name, entry in table['series'].items()
    }


def plot(series: fits.Series, path: Path) -> None:
    """Draw a series and its line."""
    matplotlib.use('Agg')
    from matplotlib import pyplot

    line = fits.fit(series)
    xs = [point.x for point in series.points]
    fitted = [x for x in xs if x >= series.knee]
    figure, axes = pyplot.subplots(figsize=(5, 3.2))
    axes.plot(xs, [point.y for point in series.points], 'o')
    axes.plot(fitted, [line.at(x) for x in fitted], '-')
    axes.set_xlabel(series.x)
    axes.set_ylabel(series.y)
    axes.set_title(series.name)
    figure.tight_layout()
    figure.savefig(path, dpi=DPI, metadata={'Software': None})
    pyplot.close(figure)


def _entry(series: fits.Series) -> dict[str, Any]:
    line = fits.fit(series)
    return {
        'x': series.x,
        'y': series.y,
        'points': [list(point) for point in series.points],
        'knee': series.knee,
        'slope': line.slope,
        'intercept': line.intercept,
        'residual': line.residual,
        'left_out': list(line.left_out),
        'predicted': line.predicted,
        'left_out_error': line.error,
    }


def _memory() -> int:
    return os.sysconf('SC_PAGE_SIZE') * os.sysconf('SC_PHYS_PAGES')


def _commit() -> str:
    done = subprocess.run(
        ['git', 'rev-parse', '--short', 'HEAD'],
        capture_output=True,
        text=True,
        check=False,
    )
    return done.stdout.strip()


def main() -> None:
    """Measure everything, or only write the page anew with ``page``."""
    FOLDER.mkdir(parents=True, exist_ok=True)
    table = FOLDER / 'slopes.json'
    if sys.argv[1:] != ['page']:
        series_by_name = measure(MODULES)
        added = asyncio.run(slopes_edge.latency())
        write_table(series_by_name, added, table)
        for name, series in series_by_name.items():
            plot(series, FOLDER / f'{name}.png')
    page = capacity.page(
        json.loads(table.read_text(encoding='utf-8')),
        TEMPLATE.read_text(encoding='utf-8'),
    )
    PAGE.write_text(page, encoding='utf-8')


if __name__ == '__main__':
    main()
