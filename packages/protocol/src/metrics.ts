import { StatsD } from 'hot-shots';

/** Tag values of a metric, by tag name. */
export type MetricTags = Record<string, string>;

/** Counters, gauges and timings. Names are listed in docs/metrics.md. */
export abstract class Metrics {
  abstract count(name: string, amount?: number, tags?: MetricTags): void;
  abstract setGauge(name: string, value: number, tags?: MetricTags): void;
  /** Reports a duration in milliseconds. */
  abstract reportTiming(name: string, durationMs: number, tags?: MetricTags): void;
  abstract close(): void;
}

/** StatsD collector, and the tags added to every metric. */
export interface MetricsOptions {
  host: string;
  port: number;
  globalTags: MetricTags;
}

class StatsdMetrics extends Metrics {
  constructor(private readonly client: StatsD) {
    super();
  }

  count(name: string, amount = 1, tags: MetricTags = {}): void {
    this.client.increment(name, amount, tags);
  }

  setGauge(name: string, value: number, tags: MetricTags = {}): void {
    this.client.gauge(name, value, tags);
  }

  reportTiming(name: string, durationMs: number, tags: MetricTags = {}): void {
    this.client.timing(name, durationMs, tags);
  }

  close(): void {
    this.client.close(() => undefined);
  }
}

class NullMetrics extends Metrics {
  count(): void {
    return;
  }
  setGauge(): void {
    return;
  }
  reportTiming(): void {
    return;
  }
  close(): void {
    return;
  }
}

/** Creates metrics that are sent over UDP in the StatsD format, in batches. */
export function createMetrics(options: MetricsOptions): Metrics {
  const client = new StatsD({
    host: options.host,
    port: options.port,
    prefix: 'bergamotreach.',
    globalTags: options.globalTags,
    errorHandler: () => undefined,
    maxBufferSize: 1400,
    bufferFlushInterval: 1000,
  });
  return new StatsdMetrics(client);
}

/** Creates metrics that discard everything, for when the settings name no collector. */
export function createNullMetrics(): Metrics {
  return new NullMetrics();
}
