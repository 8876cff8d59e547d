import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import { Metrics } from './metrics.ts';
import type { MetricTags } from './metrics.ts';

/** Metrics that are kept in memory and read as text. */
export abstract class ScrapedMetrics extends Metrics {
  /** Formats all metrics in the Prometheus text format. */
  abstract render(): Promise<string>;
}

// Upper bounds of the histograms in milliseconds, from one store call to a long job.
const bucketsMs = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000, 20_000, 60_000];

function convertName(name: string): string {
  return `bergamotreach_${name.replaceAll(/[^a-z0-9]/giu, '_')}`;
}

class RegistryMetrics extends ScrapedMetrics {
  private readonly registry = new Registry();
  private readonly counters = new Map<string, Counter>();
  private readonly gauges = new Map<string, Gauge>();
  private readonly histograms = new Map<string, Histogram>();

  count(name: string, amount = 1, tags: MetricTags = {}): void {
    let counter = this.counters.get(name);
    if (counter === undefined) {
      counter = new Counter(this.format(name, tags));
      this.counters.set(name, counter);
    }
    counter.inc(tags, amount);
  }

  setGauge(name: string, value: number, tags: MetricTags = {}): void {
    let gauge = this.gauges.get(name);
    if (gauge === undefined) {
      gauge = new Gauge(this.format(name, tags));
      this.gauges.set(name, gauge);
    }
    gauge.set(tags, value);
  }

  reportTiming(name: string, durationMs: number, tags: MetricTags = {}): void {
    let histogram = this.histograms.get(name);
    if (histogram === undefined) {
      const config = this.format(`${name}.ms`, tags);
      histogram = new Histogram({ ...config, buckets: bucketsMs });
      this.histograms.set(name, histogram);
    }
    histogram.observe(tags, durationMs);
  }

  close(): void {
    this.registry.clear();
  }

  render(): Promise<string> {
    return this.registry.metrics();
  }

  private format(name: string, tags: MetricTags) {
    const metricName = convertName(name);
    return {
      name: metricName,
      help: name,
      labelNames: Object.keys(tags),
      registers: [this.registry],
    };
  }
}

/** Creates metrics that are read as text over HTTP. */
export function createScrapedMetrics(): ScrapedMetrics {
  return new RegistryMetrics();
}
