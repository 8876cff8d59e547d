import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { Pool } from 'undici';
import type { LoadResult, LoadSpec, LoadStream, StreamResult } from './loadspec.ts';

interface Recorder {
  result: StreamResult;
  /** Latencies in microseconds. */
  histogram: Histogram;
}

const microsecondsPerMs = 1000;

function createRecorder(stream: LoadStream, durationMs: number): Recorder {
  return {
    result: {
      name: stream.name,
      sent: 0,
      good: 0,
      other: {},
      slowestRefusalMs: 0,
      latency: { p50: 0, p99: 0, p999: 0 },
      goodPerSecond: new Array<number>(Math.ceil(durationMs / 1000) + 1).fill(0),
    },
    histogram: build({ numberOfSignificantValueDigits: 3 }),
  };
}

function countOther(recorder: Recorder, key: string, tookMs: number): void {
  recorder.result.other[key] = (recorder.result.other[key] ?? 0) + 1;
  recorder.result.slowestRefusalMs = Math.max(recorder.result.slowestRefusalMs, tookMs);
}

function getErrorCode(status: number, body: string): string {
  try {
    return (JSON.parse(body) as { error: { code: string } }).error.code;
  } catch {
    return String(status);
  }
}

/** Sends an open-loop load: new requests do not wait for responses. */
async function runLoad(spec: LoadSpec): Promise<LoadResult> {
  const pools = spec.targets.map((target) => ({
    path: target.path,
    isClosed: false,
    pool: new Pool(target.origin, { connections: 400, pipelining: 1 }),
  }));
  const startMs = performance.now();
  const pending = new Set<Promise<void>>();
  let index = 0;

  async function sendOne(stream: LoadStream, recorder: Recorder): Promise<void> {
    index += 1;
    const openPools = pools.filter((one) => !one.isClosed);
    const target = openPools[index % openPools.length];
    if (target === undefined) return;
    const sentMs = performance.now();
    recorder.result.sent += 1;
    try {
      const response = await target.pool.request({
        method: 'POST',
        path: target.path,
        headers: {
          authorization: `Bearer ${stream.token}`,
          'content-type': 'application/json',
          'x-request-id': `${stream.name}-${spec.seed}-${index}`,
          'x-deadline-ms': String(spec.deadlineMs),
          'x-idempotent': String(spec.isIdempotent),
        },
        body: '{"question":1}',
        headersTimeout: spec.deadlineMs * 4,
      });
      const body = await response.body.text();
      recordResponse(recorder, response.statusCode, body, sentMs);
    } catch (error) {
      const { code, message } = error as { code?: string; message: string };
      // A load balancer sends nothing more to a daemon whose port is closed.
      if (code === 'ECONNREFUSED') target.isClosed = true;
      countOther(recorder, code ?? message, performance.now() - sentMs);
    }
  }

  function recordResponse(recorder: Recorder, status: number, body: string, sentMs: number): void {
    const nowMs = performance.now();
    const tookMs = nowMs - sentMs;
    if (status !== 200) {
      countOther(recorder, getErrorCode(status, body), tookMs);
      return;
    }
    recorder.histogram.recordValue(Math.round(tookMs * microsecondsPerMs));
    if (tookMs > spec.deadlineMs) {
      countOther(recorder, 'late', tookMs);
      return;
    }
    recorder.result.good += 1;
    const second = Math.floor((nowMs - startMs) / 1000);
    const { goodPerSecond } = recorder.result;
    goodPerSecond[second] = (goodPerSecond[second] ?? 0) + 1;
  }

  async function runStream(stream: LoadStream, seed: number): Promise<Recorder> {
    const generator = xoroshiro128plus(seed);
    const recorder = createRecorder(stream, spec.durationMs);
    let dueMs = startMs;
    for (;;) {
      dueMs += (-Math.log(1 - uniformFloat64(generator)) * 1000) / stream.ratePerSecond;
      if (dueMs - startMs > spec.durationMs) break;
      const waitMs = dueMs - performance.now();
      if (waitMs > 0.5) await new Promise((resolve) => setTimeout(resolve, waitMs));
      const sending = sendOne(stream, recorder);
      pending.add(sending);
      void sending.then(() => pending.delete(sending));
    }
    return recorder;
  }

  const recorders = await Promise.all(
    spec.streams.map(async (stream, number) => runStream(stream, spec.seed + number)),
  );
  await Promise.all(pending);
  await Promise.all(pools.map(async ({ pool }) => pool.destroy()));
  const streams = recorders.map(({ result, histogram }) => {
    const readLatency = (percentile: number): number =>
      histogram.getValueAtPercentile(percentile) / microsecondsPerMs;
    return {
      ...result,
      latency: { p50: readLatency(50), p99: readLatency(99), p999: readLatency(99.9) },
    };
  });
  return { streams, durationMs: spec.durationMs };
}

const argument = process.argv[2];
if (argument !== undefined && process.argv[1]?.endsWith('loadprocess.ts') === true) {
  const result = await runLoad(JSON.parse(argument) as LoadSpec);
  process.stdout.write(JSON.stringify(result));
}
