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
