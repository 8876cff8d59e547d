import { Metrics } from '@bergamotreach/protocol';
import type { MetricTags } from '@bergamotreach/protocol';

class RecordedMetrics extends Metrics {
  constructor(private readonly names: string[]) {
    super();
  }

  count(name: string, _amount?: number, tags: MetricTags = {}): void {
    this.addName(name, tags);
  }

  setGauge(name: string, _value: number, tags: MetricTags = {}): void {
    this.addName(name, tags);
  }

  reportTiming(name: string, _durationMs: number, tags: MetricTags = {}): void {
    this.addName(name, tags);
  }

  close(): void {
    return;
  }

  private addName(name: string, tags: MetricTags): void {
    const parts = Object.keys(tags)
      .sort()
      .map((key) => `${key}=${tags[key] ?? ''}`);
    this.names.push([name, ...parts].join(' '));
  }
}

/** Metrics that keep each report as its name followed by its tags. */
export function createRecorder(): { metrics: Metrics; names: string[] } {
  const names: string[] = [];
  return { metrics: new RecordedMetrics(names), names };
}
