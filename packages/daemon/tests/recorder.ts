import { Metrics } from '@bergamotreach/protocol';
import type { MetricTags } from '@bergamotreach/protocol';

class RecordedMetrics extends Metrics {
  constructor(private readonly records: string[]) {
    super();
  }

  count(name: string, _amount?: number, tags: MetricTags = {}): void {
    this.addRecord(name, tags);
  }

  setGauge(name: string, _value: number, tags: MetricTags = {}): void {
    this.addRecord(name, tags);
  }

  reportTiming(name: string, _durationMs: number, tags: MetricTags = {}): void {
    this.addRecord(name, tags);
  }

  close(): void {
    return;
  }

  private addRecord(name: string, tags: MetricTags): void {
    const parts = Object.keys(tags)
      .sort()
      .map((key) => `${key}=${tags[key] ?? ''}`);
    this.records.push([name, ...parts].join(' '));
  }
}

/** Creates metrics that record each call as its name followed by its sorted tags. */
export function createRecorder(): { metrics: Metrics; records: string[] } {
  const records: string[] = [];
  return { metrics: new RecordedMetrics(records), records: records };
}
