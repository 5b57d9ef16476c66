# SPDX-License-Identifier: Apache-2.0

"""Counters, gauges and latency histograms of a process.

They are served in the Prometheus text format, and sent to a statsd server if
one is configured. prometheus_client is not used because of its memory usage
and import time (docs/PLATFORM.md).
"""

import collections

from hdrh.histogram import HdrHistogram
import statsd

__all__ = ['Metrics', 'open_metrics']

#: Range of the histograms, and their precision in significant digits.
MAX_MS, DIGITS = 120_000, 2
#: Upper bounds of the buckets in the text format, in milliseconds.
BUCKETS_MS = (
    1, 2, 5, 10, 20, 50, 100, 200, 400, 800, 1600, 3200, 6400, 12800,
)  # fmt: skip


class Metrics:
    """Counters and gauges, and histograms of durations, by name."""

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
        histogram = self._durations.get(name)
        if histogram is None:
            histogram = HdrHistogram(1, MAX_MS, DIGITS)
            self._durations[name] = histogram
        histogram.record_value(min(MAX_MS, max(1, round(delta_s * 1000))))
        if self._client:
            self._client.timing(name, delta_s * 1000)

    def gauge(self, name: str, value: float) -> None:
        """Set the gauge ``name``."""
        self.counts[name] = value
        if self._client:
            self._client.gauge(name, value)

    def text(self) -> str:
        """Return all metrics in the Prometheus text format."""
        lines = ['# TYPE mountridge_events gauge']
        for name, count in sorted(self.counts.items()):
            lines.append(f'mountridge_events{{name="{name}"}} {count}')
        lines.append('# TYPE mountridge_duration_ms histogram')
        for name, histogram in sorted(self._durations.items()):
            lines += _histogram_lines(name, histogram)
        return '\n'.join(lines) + '\n'


def _histogram_lines(name: str, histogram: HdrHistogram) -> list[str]:
    label = f'name="{name}"'
    cumulative = {bound: 0 for bound in BUCKETS_MS}
    for item in histogram.get_recorded_iterator():
        for bound in BUCKETS_MS:
            if item.value_iterated_to <= bound:
                cumulative[bound] += item.count_added_in_this_iter_step
    lines = [
        f'mountridge_duration_ms_bucket{{{label},le="{bound}"}} {count}'
        for bound, count in cumulative.items()
    ]
    total = histogram.get_total_count()
    mean_ms = histogram.get_mean_value()
    return lines + [
        f'mountridge_duration_ms_bucket{{{label},le="+Inf"}} {total}',
        f'mountridge_duration_ms_sum{{{label}}} {mean_ms * total:.0f}',
        f'mountridge_duration_ms_count{{{label}}} {total}',
    ]


def open_metrics(settings: dict) -> Metrics:
    """Return the metrics of a process, with a statsd client if configured."""
    server = settings['statsd']
    if not server['host']:
        return Metrics(None)
    prefix = f'{server["prefix"]}.{settings["role"]}.{settings["name"]}'
    return Metrics(
        statsd.StatsClient(server['host'], server['port'], prefix=prefix)
    )
