import type { IncomingMessage, ServerResponse } from 'node:http';
import { HoldCause } from '@bergamotreach/hosting';
import type { MemoryBudget, MemoryHold } from '@bergamotreach/hosting';
import { FaultCode, createFault } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';

/** Reads request bodies within a memory budget shared by the whole process. */
export interface BodyReader {
  /**
   * Begins to collect the body of a request that has just arrived; at most `maxBytes` are held. Without it
   * the chunks that have arrived by the time of `readBody` are each held in a buffer of their own, which
   * costs hundreds of times the size of a chunk of one byte.
   */
  start(request: IncomingMessage, response: ServerResponse, maxBytes: number): void;
  /**
   * Reads a whole body. Faults: `too_large`, `queue_full` (budget exhausted), `bad_request` (the
   * caller closed the connection). The bytes count against the budget until `release` is called.
   */
  readBody(request: IncomingMessage, maxBytes: number): Promise<Result<Buffer, Fault>>;
  /** Returns the bytes of a body to the budget. */
  release(body: Buffer): void;
  /** The hold of a body, for callers that keep the budget reserved for longer than the body itself. */
  getHold(body: Buffer): MemoryHold | undefined;
  /** Bytes that count against the budget now. */
  getUsedBytes(): number;
}

/** Options of a body reader. */
export interface BodyReaderOptions {
  budget: MemoryBudget;
  /** Memory of what is decoded from a body, as a multiple of its size; counts until the release. */
  decodedFactor?: number;
}

const budgetRetryMs = 500;
const slabBytes = 16_384;

function createTooLargeFault(maxBytes: number): Fault {
  return createFault(FaultCode.TooLarge, `body exceeds ${maxBytes} bytes`);
}

function createIncompleteFault(): Fault {
  const message = 'connection closed before the body was complete';
  return createFault(FaultCode.BadRequest, message);
}

function createBudgetFault(): Fault {
  const message = 'memory budget for request bodies is exhausted';
  return createFault(FaultCode.QueueFull, message, { retryAfterMs: budgetRetryMs });
}

function hasBody({ headers }: IncomingMessage): boolean {
  return 'transfer-encoding' in headers || Number(headers['content-length'] ?? 0) > 0;
}

/** Bytes in slabs, so that neither tiny chunks nor growth cost more than the bytes themselves. */
interface SlabBuffer {
  append(chunk: Buffer): void;
  getBytes(): number;
  /** Removes and returns all bytes in one buffer. */
  take(): Buffer;
}

function createSlabBuffer(): SlabBuffer {
  const slabs: Buffer[] = [];
  let size = 0;
  let free = 0;
  return {
    append(chunk) {
      let offset = 0;
      while (offset < chunk.length) {
        if (free === 0) {
          // The first slab is small, since most bodies are.
          free = slabs.length === 0 ? Math.max(1024, Math.min(slabBytes, chunk.length)) : slabBytes;
          slabs.push(Buffer.allocUnsafeSlow(free));
        }
        const slab = slabs.at(-1);
        if (slab === undefined) return;
        const copied = chunk.copy(slab, slab.length - free, offset);
        free -= copied;
        offset += copied;
        size += copied;
      }
    },
    getBytes: () => size,
    // The slabs would stay referenced by the hold's callback for as long as the hold is open.
    take: () => Buffer.concat(slabs.splice(0)).subarray(0, size),
  };
}

/** Creates a reader whose bodies count against the budget. */
export function createBodyReader({ budget, decodedFactor = 0 }: BodyReaderOptions): BodyReader {
  const holds = new WeakMap<Buffer, MemoryHold>();
  const started = new WeakMap<IncomingMessage, Promise<Result<Buffer, Fault>>>();

  /** Resolves at the end of the body or at the first fault. */
  async function collect(
    request: IncomingMessage,
    maxBytes: number,
  ): Promise<Result<Buffer, Fault>> {
    const collected = createSlabBuffer();
    let finish: (fault?: Fault) => void = () => undefined;
    const hold = budget.open(HoldCause.Body, () => {
      finish(createBudgetFault());
    });
    const handleData = (chunk: Buffer): void => {
      if (collected.getBytes() + chunk.length > maxBytes) finish(createTooLargeFault(maxBytes));
      else if (hold.add(chunk.length)) {
        hold.markProgress();
        collected.append(chunk);
      }
    };
    const handleEnd = (): void => {
      finish();
    };
    const handleClose = (): void => {
      finish(createIncompleteFault());
    };
    const ended = new Promise<Fault | undefined>((resolve) => {
      finish = (fault) => {
        // What is still on its way stays unread.
        request.off('data', handleData).pause();
        resolve(fault);
      };
    });
    // Not an async iterator: leaving one early would destroy the connection before the response is sent.
    request.on('data', handleData).on('end', handleEnd);
    request.on('error', handleClose).on('close', handleClose);
    // From now on chunks are handed over as they are parsed, not in the next turn of the event loop.
    request.read(0);
    if (request.destroyed) handleClose();
    const fault = await ended;
    request.off('end', handleEnd).off('close', handleClose);
    if (fault !== undefined) {
      hold.release();
      return Err(fault);
    }
    hold.settle();
    hold.add(collected.getBytes() * decodedFactor);
    const body = collected.take();
    holds.set(body, hold);
    return Ok(body);
  }

  return {
    start(request, response, maxBytes) {
      if (!hasBody(request)) return;
      if (Number(request.headers['content-length'] ?? 0) > maxBytes) return;
      const body = collect(request, maxBytes);
      started.set(request, body);
      // A body that nobody has asked for is given up with its response.
      response.once('close', () => {
        if (!started.delete(request)) return;
        void body.then((read) => {
          if (read.isOk()) holds.get(read.value)?.release();
        });
      });
    },
    async readBody(request, maxBytes) {
      if (Number(request.headers['content-length'] ?? 0) > maxBytes) {
        return Err(createTooLargeFault(maxBytes));
      }
      const body = started.get(request);
      started.delete(request);
      const read = await (body ?? collect(request, maxBytes));
      if (read.isErr() || read.value.length <= maxBytes) return read;
      holds.get(read.value)?.release();
      return Err(createTooLargeFault(maxBytes));
    },
    release: (body) => {
      holds.get(body)?.release();
    },
    getHold: (body) => holds.get(body),
    getUsedBytes: () => budget.getUsedBytes(HoldCause.Body),
  };
}
