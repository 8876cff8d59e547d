import type { IncomingMessage } from 'node:http';
import { FaultCode, createFault } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';

/** Reads request bodies within a memory budget shared by the whole process. */
export interface BodyReader {
  /**
   * Reads a whole body. Faults: `too_large`, `queue_full` (budget exhausted), `bad_request` (the
   * caller closed the connection). The bytes count against the budget until `release` is called.
   */
  readBody(request: IncomingMessage, maxBytes: number): Promise<Result<Buffer, Fault>>;
  /** Returns the bytes of a body to the budget. */
  release(body: Buffer): void;
  /** Bytes that count against the budget now. */
  getUsedBytes(): number;
}

const budgetRetryMs = 500;

function createTooLargeFault(maxBytes: number): Fault {
  return createFault(FaultCode.TooLarge, `body exceeds ${maxBytes} bytes`);
}

function createIncompleteFault(): Fault {
  const message = 'connection closed before the body was complete';
  return createFault(FaultCode.BadRequest, message);
}

/** Creates a reader that holds at most `budgetBytes` of unreleased bodies. */
export function createBodyReader(budgetBytes: number): BodyReader {
  let usedBytes = 0;

  function reserveBytes(count: number): Fault | undefined {
    if (usedBytes + count > budgetBytes) {
      const message = 'memory budget for request bodies is exhausted';
      return createFault(FaultCode.QueueFull, message, { retryAfterMs: budgetRetryMs });
    }
    usedBytes += count;
    return undefined;
  }

  /** Appends the chunks of a body to `chunks`; resolves at its end or at the first fault. */
  async function collect(
    request: IncomingMessage,
    maxBytes: number,
    chunks: Buffer[],
  ): Promise<Fault | undefined> {
    let size = 0;
    let finish: (fault?: Fault) => void = () => undefined;
    const handleData = (chunk: Buffer): void => {
      size += chunk.length;
      const fault = size > maxBytes ? createTooLargeFault(maxBytes) : reserveBytes(chunk.length);
      if (fault === undefined) chunks.push(chunk);
      else finish(fault);
    };
    const handleEnd = (): void => {
      finish();
    };
    const handleClose = (): void => {
      finish(createIncompleteFault());
    };
    const fault = await new Promise<Fault | undefined>((resolve) => {
      finish = resolve;
      // Not an async iterator: leaving one early would destroy the connection before the response is
      // sent.
      request.on('data', handleData).on('end', handleEnd);
      request.on('error', handleClose).on('close', handleClose);
      if (request.destroyed) handleClose();
    });
    request.off('data', handleData).off('end', handleEnd).off('close', handleClose);
    return fault;
  }

  async function readBody(
    request: IncomingMessage,
    maxBytes: number,
  ): Promise<Result<Buffer, Fault>> {
    if (Number(request.headers['content-length'] ?? 0) > maxBytes) {
      return Err(createTooLargeFault(maxBytes));
    }
    const chunks: Buffer[] = [];
    const fault = await collect(request, maxBytes, chunks);
    if (fault === undefined) return Ok(Buffer.concat(chunks));
    for (const chunk of chunks) usedBytes -= chunk.length;
    return Err(fault);
  }

  return {
    readBody,
    release: (body) => {
      usedBytes -= body.length;
    },
    getUsedBytes: () => usedBytes,
  };
}
