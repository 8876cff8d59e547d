import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import { Metrics } from './metrics.ts';
import type { MetricTags } from './metrics.ts';

/** Metrics that are held in memory until a Prometheus server scrapes them. */
export abstract class ScrapedMetrics extends Metrics {
  /** Returns all metrics in the Prometheus text format. */
  abstract render(): Promise<string>;
}

// Upper bounds of the histogram buckets, from a store call to a long job.
const bucketBoundsMs = [
  1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000, 20_000, 60_000,
];

function formatMetricName(name: string): string {
  return `bergamotreach_${name.replaceAll(/[^a-z0-9]/giu, '_')}`;
}

class PrometheusMetrics extends ScrapedMetrics {
  private readonly registry = new Registry();
  private readonly counters = new Map<string, Counter>();
  private readonly gauges = new Map<string, Gauge>();
  private readonly histograms = new Map<string, Histogram>();

  count(name: string, amount = 1, tags: MetricTags = {}): void {
    let counter = this.counters.get(name);
    if (counter === undefined) {
      counter = new Counter(this.buildOptions(name, tags));
      this.counters.set(name, counter);
    }
    counter.inc(tags, amount);
  }

  setGauge(name: string, value: number, tags: MetricTags = {}): void {
    let gauge = this.gauges.get(name);
    if (gauge === undefined) {
      gauge = new Gauge(this.buildOptions(name, tags));
      this.gauges.set(name, gauge);
    }
    gauge.set(tags, value);
  }

  reportTiming(name: string, durationMs: number, tags: MetricTags = {}): void {
    let histogram = this.histograms.get(name);
    if (histogram === undefined) {
      const config = this.buildOptions(`${name}.ms`, tags);
      histogram = new Histogram({ ...config, buckets: bucketBoundsMs });
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

  private buildOptions(name: string, tags: MetricTags) {
    const metricName = formatMetricName(name);
    return {
      name: metricName,
      help: name,
      labelNames: Object.keys(tags),
      registers: [this.registry],
    };
  }
}

/** Creates metrics in memory for scraping over HTTP. */
export function createScrapedMetrics(): ScrapedMetrics {
  return new PrometheusMetrics();
}
