/** A destination of a load. */
export interface LoadTarget {
  /** `http://ip:port`. */
  origin: string;
  path: string;
}

/** A stream of requests with a rate and an account. */
export interface LoadStream {
  name: string;
  token: string;
  ratePerSecond: number;
}

/** Parameters of a load process. */
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
  /** Requests that got status 200 before their deadline. */
  good: number;
  /** Other outcomes, counted by error code or status. */
  other: Record<string, number>;
  /** Longest time until a request ended with another outcome; can exceed the deadline. */
  slowestRefusalMs: number;
  latency: LatencySummary;
  /** Good responses in each second of the run. */
  goodPerSecond: number[];
}

/** Result of a load process. */
export interface LoadResult {
  streams: StreamResult[];
  durationMs: number;
}
