import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import {
  FaultCode,
  MessageType,
  createFrameReader,
  encodeFrame,
  maxFrameBytes,
} from '../src/index.ts';
import type { PeerMessage } from '../src/index.ts';

const seed = 20261204;

function splitAt(bytes: Buffer, cuts: number[]): Buffer[] {
  const points = [...new Set(cuts.map((cut) => cut % (bytes.length + 1)))].sort((a, b) => a - b);
  const edges = [0, ...points, bytes.length];
  return edges.slice(1).map((end, index) => bytes.subarray(edges[index], end));
}

// Guards against lost or merged messages when TCP splits the stream at arbitrary bytes.
test('frames are decoded for any split of the stream', () => {
  const messages: PeerMessage[] = [
    { type: MessageType.Leaving, instances: ['a', 'b'] },
    { type: MessageType.JobsChanged, region: 'noord', jobIds: ['j1'] },
    { type: MessageType.ConfigRequest, revision: 7 },
  ];
  const bytes = Buffer.concat(messages.map(encodeFrame));
  fc.assert(
    fc.property(fc.array(fc.nat(), { maxLength: 12 }), (cuts) => {
      const reader = createFrameReader();
      const read = splitAt(bytes, cuts).flatMap((chunk) => reader.readChunk(chunk).unwrap());
      expect(read).toEqual(messages);
    }),
    { seed },
  );
});

// Guards against unbounded buffering for a peer that announces a huge frame.
test('a frame above the size limit is rejected as soon as its header is read', () => {
  const header = Buffer.alloc(4);
  header.writeUInt32BE(maxFrameBytes + 1, 0);
  const result = createFrameReader().readChunk(header);
  expect(result.isErr() && result.error.code).toEqual(FaultCode.TooLarge);
});

// Guards against a crash on bytes that are not CBOR.
test('a body that is not CBOR is a protocol fault', () => {
  const result = createFrameReader().readChunk(Buffer.from([0, 0, 0, 2, 0xff, 0xff]));
  expect(result.isErr() && result.error.code).toEqual(FaultCode.Protocol);
});

// Guards against bytes that are lost or held twice where small and large chunks of one frame alternate.
test('a large frame is decoded for any sizes of its chunks', () => {
  const jobIds = Array.from({ length: 8000 }, (_, index) => `job-${index}`);
  const message: PeerMessage = { type: MessageType.JobsChanged, region: 'noord', jobIds };
  const bytes = encodeFrame(message);
  fc.assert(
    fc.property(fc.array(fc.integer({ min: 1, max: 9000 }), { minLength: 1 }), (sizes) => {
      const reader = createFrameReader();
      const read: PeerMessage[] = [];
      let mostHeld = 0;
      for (let from = 0, part = 0; from < bytes.length; part += 1) {
        const end = from + (sizes[part % sizes.length] ?? 1);
        read.push(...reader.readChunk(bytes.subarray(from, end)).unwrap());
        mostHeld = Math.max(mostHeld, reader.countPendingBytes());
        from = end;
      }
      expect(read).toEqual([message]);
      expect([mostHeld <= bytes.length + 4096, reader.countPendingBytes()]).toEqual([true, 0]);
    }),
    { seed, numRuns: 30 },
  );
});
