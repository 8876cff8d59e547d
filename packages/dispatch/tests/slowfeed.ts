import { Feed } from '@bergamotreach/hosting';
import type { FeedPage } from '@bergamotreach/hosting';
import { FaultCode, createFault, waitFor } from '@bergamotreach/protocol';
import type { Clock, Fault } from '@bergamotreach/protocol';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';

const pollMs = 10;

/** Feed of one row, whose pages take a set time to arrive. */
export class SlowFeed<T> extends Feed<T> {
  private key = '';
  private value: T | undefined;
  private version = 0;
  private transferMs = 0;
  private receiving = 0;
  reads = 0;
  /** Whether every read fails. */
  isFailing = false;
  /** Largest number of pages with a row that arrived at the same time. */
  largestConcurrency = 0;

  constructor(private readonly clock: Clock) {
    super();
  }

  put(key: string, value: T, transferMs: number): void {
    Object.assign(this, { key, value, transferMs });
    this.version += 1;
  }

  load(): Promise<Result<FeedPage<T>, Fault>> {
    return this.sendPage(-1);
  }

  async wait(position: number, waitMs: number): Promise<Result<FeedPage<T>, Fault>> {
    const endMs = this.clock.getNowMs() + waitMs;
    while (this.version <= position && this.clock.getNowMs() < endMs)
      await waitFor(this.clock, pollMs);
    return this.sendPage(position);
  }

  override isReceiving(): boolean {
    return this.receiving > 0;
  }

  private async sendPage(after: number): Promise<Result<FeedPage<T>, Fault>> {
    const { key, value, version, transferMs } = this;
    const hasRow = version > after && version > 0;
    this.reads += 1;
    if (this.isFailing) {
      await waitFor(this.clock, pollMs);
      return Err(createFault(FaultCode.StoreUnavailable, 'not readable'));
    }
    if (hasRow) {
      this.receiving += 1;
      this.largestConcurrency = Math.max(this.largestConcurrency, this.receiving);
      await waitFor(this.clock, transferMs);
      this.receiving -= 1;
    }
    const items = hasRow ? [{ key, version, value }] : [];
    const reading = { receivedBytes: 0, receiveMs: hasRow ? transferMs : 0, decodeMs: 0 };
    return Ok({ items, isSnapshot: after < 0, position: version, reading });
  }
}
