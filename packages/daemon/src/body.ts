import type { IncomingMessage } from 'node:http';
import { FaultCode, createFault } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';

/** Reads request bodies within one memory budget for the whole process. */
export interface BodyReader {
  /**
   * Reads a whole body. Faults: `too_large`, `queue_full` (budget used up), `bad_request` (the
   * caller closed the connection). The bytes count against the budget until `release` is called.
   */
  readBody(request: IncomingMessage, maxBytes: number): Promise<Result<Buffer, Fault>>;
  /** Gives the bytes of a body back. */
  release(body: Buffer): void;
  getUsedBytes(): number;
}

const budgetRetryMs = 500;

function createTooLarge(maxBytes: number): Fault {
  return createFault(FaultCode.TooLarge, `body exceeds ${maxBytes} bytes`);
}

function createIncomplete(): Fault {
  const message = 'connection closed before the body was complete';
  return createFault(FaultCode.BadRequest, message);
}

/** Creates a reader whose bodies together stay within `budgetBytes`. */
export function createBodyReader(budgetBytes: number): BodyReader {
  let usedBytes = 0;

  function takeBytes(count: number): Fault | undefined {
    if (usedBytes + count > budgetBytes) {
      const message = 'memory for request bodies is used up';
      return createFault(FaultCode.QueueFull, message, { retryAfterMs: budgetRetryMs });
    }
    usedBytes += count;
    return undefined;
  }

  /** Keeps the chunks of a body; resolves with a fault as soon as one is known. */
  async function collect(
    request: IncomingMessage,
    maxBytes: number,
    chunks: Buffer[],
  ): Promise<Fault | undefined> {
    let size = 0;
    let finish: (fault?: Fault) => void = () => undefined;
    const handleData = (chunk: Buffer): void => {
      size += chunk.length;
      const fault = size > maxBytes ? createTooLarge(maxBytes) : takeBytes(chunk.length);
      if (fault === undefined) chunks.push(chunk);
      else finish(fault);
    };
    const handleEnd = (): void => {
      finish();
    };
    const handleClose = (): void => {
      finish(createIncomplete());
    };
    const fault = await new Promise<Fault | undefined>((resolve) => {
      finish = resolve;
      // Not an async iterator: leaving one early destroys the connection before the answer is sent.
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
      return Err(createTooLarge(maxBytes));
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
