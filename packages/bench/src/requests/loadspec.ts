/** A place that a load is sent to. */
export interface LoadTarget {
  /** `http://ip:port`. */
  origin: string;
  path: string;
}

/** A stream of requests with its own rate and account. */
export interface LoadStream {
  name: string;
  token: string;
  ratePerSecond: number;
}

/** What a load process is to do. */
export interface LoadSpec {
  targets: LoadTarget[];
  streams: LoadStream[];
  durationMs: number;
  deadlineMs: number;
  isIdempotent: boolean;
  seed: number;
}

/** Latencies of successful requests in milliseconds. */
export interface LatencySummary {
  p50: number;
  p99: number;
  p999: number;
}

/** Result of one stream. */
export interface StreamResult {
  name: string;
  sent: number;
  /** Answered with status 200 before the deadline. */
  good: number;
  /** Other ends, by error code or status. */
  other: Record<string, number>;
  /** Longest time until a request was refused, beyond its deadline when above it. */
  slowestRefusalMs: number;
  latency: LatencySummary;
  /** Good answers in each second of the run. */
  goodPerSecond: number[];
}

/** Result of a load process. */
export interface LoadResult {
  streams: StreamResult[];
  durationMs: number;
}
