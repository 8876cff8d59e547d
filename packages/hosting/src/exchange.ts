/** How an exchange of a request and its response ended. */
export enum ExchangeStatus {
  Answered = 'answered',
  /** The request certainly did not reach the service. */
  NotSent = 'notSent',
  /** The request may have reached the service, but no complete response arrived. */
  Lost = 'lost',
}

/** Limit that ended an exchange. */
export enum ExchangeLimit {
  None = 'none',
  /** The response did not begin in time. */
  Response = 'response',
  /** No more of the response arrived for too long. */
  Gap = 'gap',
  /** The response arrived too slowly to be worth waiting for. */
  Rate = 'rate',
}

/** How the response of an exchange arrived. Durations are in milliseconds. */
export interface Transfer {
  /** From the call to the first byte of the response body; `undefined` if none arrived. */
  firstByteMs: number | undefined;
  /** From the call to its end. */
  durationMs: number;
  /** Bytes of the response body. */
  receivedBytes: number;
  limit: ExchangeLimit;
}

/** Outcome of one exchange; `message` describes the error. */
export type Exchange = { transfer: Transfer } & (
  | { status: ExchangeStatus.Answered; code: number; body: string }
  | { status: ExchangeStatus.NotSent; message: string }
  | { status: ExchangeStatus.Lost; message: string }
);

const statusTooMany = 429;
const statusServerError = 500;

/** Whether the service has carried out the call, as opposed to turning it away. */
export function isServed(exchange: Exchange): boolean {
  if (exchange.status !== ExchangeStatus.Answered) return false;
  return exchange.code < statusServerError && exchange.code !== statusTooMany;
}

/** Describes a transfer that ended without a complete response. */
export function formatTransfer({ firstByteMs, durationMs, receivedBytes }: Transfer): string {
  const tookMs = Math.round(durationMs);
  if (firstByteMs === undefined) return `no byte of the response in ${tookMs} ms`;
  return `${receivedBytes} bytes of the response in ${tookMs} ms, the first after ${Math.round(firstByteMs)} ms`;
}

/** Time from the first byte of a response to the end of its exchange, in milliseconds. */
export function getReceiveMs({ firstByteMs, durationMs }: Transfer): number {
  return firstByteMs === undefined ? 0 : durationMs - firstByteMs;
}
