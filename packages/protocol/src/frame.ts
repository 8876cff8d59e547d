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
  /** Bytes of a frame that has not arrived as a whole. */
  countPendingBytes(): number;
}

/** Creates a reader for one connection. After a fault the connection must be closed. */
export function createFrameReader(): FrameReader {
  /** Joined only once a frame is whole: each join of a frame in small chunks would copy all of it. */
  let chunks: Buffer[] = [];
  let pendingBytes = 0;
  let pending: Buffer = Buffer.alloc(0);
  /** Bytes without which no frame is whole. */
  let neededBytes = headerBytes;

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
    chunks.push(chunk);
    pendingBytes += chunk.length;
    if (pendingBytes < neededBytes) return Ok([]);
    pending = chunks.length === 1 ? chunk : Buffer.concat(chunks);
    const messages: PeerMessage[] = [];
    for (;;) {
      const frame = readFrame();
      if (frame.isErr()) return Err(frame.error);
      if (frame.value === undefined) break;
      messages.push(frame.value);
    }
    chunks = pending.length === 0 ? [] : [pending];
    pendingBytes = pending.length;
    return Ok(messages);
  }

  return { readChunk, countPendingBytes: () => pendingBytes };
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
