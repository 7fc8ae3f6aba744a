import * as hdr from 'hdr-histogram-js';

/** Label names and values of one time series. */
export type Labels = Readonly<Record<string, string>>;

const QUANTILES = [0.5, 0.9, 0.99, 0.999];
/**
 * Maximum latency that a histogram records, ms; longer latencies are recorded
 * as this value.
 */
const HIGHEST_LATENCY_MS = 3_600_000;
/**
 * Latencies are recorded in microseconds to keep the precision of short ones.
 */
const MICROS_PER_MS = 1_000;

function getSeriesName(name: string, labels: Labels): string {
  const pairs = Object.entries(labels).map(
    ([label, value]) => `${label}="${value.replace(/["\\\n]/g, '_')}"`,
  );
  return pairs.length === 0 ? name : `${name}{${pairs.join(',')}}`;
}

/** A histogram of one series of latencies. */
interface LatencySeries {
  name: string;
  labels: Labels;
  histogram: hdr.Histogram;
}

/** Counters, gauges and latency histograms of one process. */
export class Metrics {
  private readonly counters = new Map<string, number>();
  private readonly gauges = new Map<string, () => number>();
  private readonly latencies = new Map<string, LatencySeries>();

  /** Increments a counter; the series is created on first use. */
  count(name: string, labels: Labels = {}, by = 1): void {
    const series = getSeriesName(name, labels);
    this.counters.set(series, (this.counters.get(series) ?? 0) + by);
  }

  /** Returns the value of a counter, or 0 if it was never incremented. */
  getCount(name: string, labels: Labels = {}): number {
    return this.counters.get(getSeriesName(name, labels)) ?? 0;
  }

  /** Registers a gauge that is read at each scrape. */
  gauge(name: string, read: () => number, labels: Labels = {}): void {
    this.gauges.set(getSeriesName(name, labels), read);
  }

  /** Records a latency in milliseconds. */
  observe(name: string, valueMs: number, labels: Labels = {}): void {
    const series = getSeriesName(name, labels);
    let latencies = this.latencies.get(series);
    if (!latencies) {
      const histogram = hdr.build({
        highestTrackableValue: HIGHEST_LATENCY_MS * MICROS_PER_MS,
        numberOfSignificantValueDigits: 2,
      });
      latencies = {name, labels, histogram};
      this.latencies.set(series, latencies);
    }
    const micros = Math.round(Math.max(0, valueMs) * MICROS_PER_MS);
    latencies.histogram.recordValue(
      Math.min(micros, HIGHEST_LATENCY_MS * MICROS_PER_MS),
    );
  }

  /**
   * Returns a quantile of a histogram in milliseconds, or 0 if nothing
   * was recorded.
   */
  getQuantile(name: string, quantile: number, labels: Labels = {}): number {
    const latencies = this.latencies.get(getSeriesName(name, labels));
    if (!latencies) return 0;
    const micros = latencies.histogram.getValueAtPercentile(quantile * 100);
    return micros / MICROS_PER_MS;
  }

  /** Returns all series in the Prometheus text format. */
  render(): string {
    const lines: string[] = [];
    for (const [series, value] of this.counters) {
      lines.push(`${series} ${value}`);
    }
    for (const [series, read] of this.gauges) {
      lines.push(`${series} ${read()}`);
    }
    for (const {name, labels, histogram} of this.latencies.values()) {
      for (const quantile of QUANTILES) {
        const quantileLabels = {...labels, quantile: String(quantile)};
        const series = getSeriesName(name, quantileLabels);
        lines.push(`${series} ${this.getQuantile(name, quantile, labels)}`);
      }
      const count = getSeriesName(`${name}_count`, labels);
      lines.push(`${count} ${histogram.totalCount}`);
    }
    return `${lines.sort().join('\n')}\n`;
  }
}
