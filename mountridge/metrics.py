# SPDX-License-Identifier: Apache-2.0

"""Counters, levels and latency histograms of a process.

They are served as text in the form of Prometheus, and sent on to a statsd
server where one is set. Histograms are HdrHistogram's; prometheus_client
was measured at 14 MB and 0.6 s a process (docs/PLATFORM.md).
"""

import collections

from hdrh.histogram import HdrHistogram
import statsd

__all__ = ['Metrics', 'open_metrics']

#: Longest duration that is told apart, and significant digits kept.
MOST_MS, DIGITS = 120_000, 2
#: Upper bounds of the buckets that the text shows, in milliseconds.
BUCKETS_MS = (
    1, 2, 5, 10, 20, 50, 100, 200, 400, 800, 1600, 3200, 6400, 12800,
)  # fmt: skip


class Metrics:
    """Counts by name, and durations by name."""

    def __init__(self, client: statsd.StatsClient | None):
        self._client = client
        self.counts: collections.Counter[str] = collections.Counter()
        self._durations: dict[str, HdrHistogram] = {}

    def incr(self, name: str, count: int = 1) -> None:
        """Add ``count`` to the counter ``name``."""
        self.counts[name] += count
        if self._client:
            self._client.incr(name, count)

    def timing(self, name: str, delta_s: float) -> None:
        """Record a duration in seconds."""
        self.counts[name + '.count'] += 1
        found = self._durations.get(name)
        if found is None:
            found = HdrHistogram(1, MOST_MS, DIGITS)
            self._durations[name] = found
        found.record_value(min(MOST_MS, max(1, round(delta_s * 1000))))
        if self._client:
            self._client.timing(name, delta_s * 1000)

    def gauge(self, name: str, value: float) -> None:
        """Record a level."""
        self.counts[name] = value
        if self._client:
            self._client.gauge(name, value)

    def text(self) -> str:
        """Return all of it in the text form of Prometheus."""
        lines = ['# TYPE mountridge_events gauge']
        for name, count in sorted(self.counts.items()):
            lines.append(f'mountridge_events{{name="{name}"}} {count}')
        lines.append('# TYPE mountridge_duration_ms histogram')
        for name, histogram in sorted(self._durations.items()):
            lines += _histogram_lines(name, histogram)
        return '\n'.join(lines) + '\n'


def _histogram_lines(name: str, histogram: HdrHistogram) -> list[str]:
    label = f'name="{name}"'
    reached = {bound: 0 for bound in BUCKETS_MS}
    for item in histogram.get_recorded_iterator():
        for bound in BUCKETS_MS:
            if item.value_iterated_to <= bound:
                reached[bound] += item.count_added_in_this_iter_step
    lines = [
        f'mountridge_duration_ms_bucket{{{label},le="{bound}"}} {count}'
        for bound, count in reached.items()
    ]
    total = histogram.get_total_count()
    mean_ms = histogram.get_mean_value()
    return lines + [
        f'mountridge_duration_ms_bucket{{{label},le="+Inf"}} {total}',
        f'mountridge_duration_ms_sum{{{label}}} {mean_ms * total:.0f}',
        f'mountridge_duration_ms_count{{{label}}} {total}',
    ]


def open_metrics(settings: dict) -> Metrics:
    """Return the metrics of a process, from its settings."""
    where = settings['statsd']
    if not where['host']:
        return Metrics(None)
    prefix = f'{where["prefix"]}.{settings["role"]}.{settings["name"]}'
    return Metrics(
        statsd.StatsClient(where['host'], where['port'], prefix=prefix)
    )
