import { Decoder, Encoder } from 'cbor-x';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { FaultCode, createFault } from './fault.ts';
import type { Fault } from './fault.ts';
import type { PeerMessage } from './message.ts';

/** Maximum size of a frame's body. */
export const maxFrameBytes = 1024 * 1024;
const headerBytes = 4;

// CBOR record extensions are disabled, since each frame must decode independently of earlier ones.
const encoder = new Encoder({ useRecords: false });
const decoder = new Decoder({ useRecords: false });

/** Encodes a message as one frame: 4-byte big-endian body length, then the body in CBOR. */
export function encodeFrame(message: PeerMessage): Buffer {
  const body = encoder.encode(message);
  const frame = Buffer.allocUnsafe(headerBytes + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, headerBytes);
  return frame;
}

/** Decodes a byte stream into messages. */
export interface FrameReader {
  /** Returns the messages that the chunk completes. Faults: `too_large`, `protocol`. */
  readChunk(chunk: Buffer): Result<PeerMessage[], Fault>;
  /** Memory for a frame that has not arrived as a whole, in bytes. */
  countPendingBytes(): number;
}

/** Chunks of fewer bytes are copied together: each takes hundreds of bytes more in a buffer of its own. */
const smallChunkBytes = 1024;
const slabBytes = 4096;

/** Creates a reader for one connection. After a fault the connection must be closed. */
export function createFrameReader(): FrameReader {
  /** Joined only once a frame is whole: each join of a frame in small chunks would copy all of it. */
  let chunks: Buffer[] = [];
  let pendingBytes = 0;
  /** Buffer at the end of `chunks` that takes small ones, and the bytes of it that are free. */
  let slab: Buffer | undefined;
  let freeBytes = 0;
  let pending: Buffer = Buffer.alloc(0);
  /** Bytes without which no frame is whole. */
  let neededBytes = headerBytes;

  function addChunk(chunk: Buffer): void {
    pendingBytes += chunk.length;
    let rest = chunk;
    while (rest.length > 0) {
      if (freeBytes === 0) {
        closeSlab();
        if (rest.length >= smallChunkBytes) {
          chunks.push(rest);
          return;
        }
      }
      slab ??= openSlab();
      const copiedBytes = rest.copy(slab, slabBytes - freeBytes);
      freeBytes -= copiedBytes;
      rest = rest.subarray(copiedBytes);
    }
  }

  function openSlab(): Buffer {
    freeBytes = slabBytes;
    return Buffer.allocUnsafeSlow(slabBytes);
  }

  function closeSlab(): void {
    if (slab !== undefined) chunks.push(slab.subarray(0, slabBytes - freeBytes));
    slab = undefined;
    freeBytes = 0;
  }

  function readFrame(): Result<PeerMessage | undefined, Fault> {
    if (pending.length < headerBytes) {
      neededBytes = headerBytes;
      return Ok(undefined);
    }
    const length = pending.readUInt32BE(0);
    if (length > maxFrameBytes) {
      return Err(
        createFault(FaultCode.TooLarge, `frame of ${length} bytes exceeds ${maxFrameBytes}`),
      );
    }
    if (pending.length < headerBytes + length) {
      neededBytes = headerBytes + length;
      return Ok(undefined);
    }
    const body = pending.subarray(headerBytes, headerBytes + length);
    pending = pending.subarray(headerBytes + length);
    return decodeBody(body);
  }

  function readChunk(chunk: Buffer): Result<PeerMessage[], Fault> {
    if (pendingBytes + chunk.length < neededBytes) {
      addChunk(chunk);
      return Ok([]);
    }
    closeSlab();
    pending = chunks.length === 0 ? chunk : Buffer.concat([...chunks, chunk]);
    const messages: PeerMessage[] = [];
    for (;;) {
      const frame = readFrame();
      if (frame.isErr()) return Err(frame.error);
      if (frame.value === undefined) break;
      messages.push(frame.value);
    }
    chunks = [];
    pendingBytes = 0;
    if (pending.length > 0) addChunk(pending);
    return Ok(messages);
  }

  return { readChunk, countPendingBytes: () => pendingBytes + freeBytes };
}

function decodeBody(body: Buffer): Result<PeerMessage, Fault> {
  try {
    const decoded: unknown = decoder.decode(body);
    if (isMessage(decoded)) return Ok(decoded);
    return Err(createFault(FaultCode.Protocol, 'frame body is not a message with a type'));
  } catch (error) {
    return Err(createFault(FaultCode.Protocol, `frame body is not CBOR: ${String(error)}`));
  }
}

function isMessage(value: unknown): value is PeerMessage {
  return typeof value === 'object' && value !== null && 'type' in value;
}
