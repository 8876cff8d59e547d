import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { test } from 'node:test';
import { MessageType, createNullLogger, encodeFrame } from '@bergamotreach/protocol';
import type { HelloMessage } from '@bergamotreach/protocol';
import { expect } from 'earl';
import { startPeerListener } from '../src/peerlistener.ts';

const maxUnknown = 256;
/** Far beyond the listener's own time-out, so that a connection that stays open fails the test. */
const timeout = 20_000;
const dripMs = 200;

/** Sends a frame that never ends, and a byte now and then so that the connection is not idle. */
function sendEndless(socket: Socket, bytes: number): void {
  const head = Buffer.alloc(4 + bytes);
  head.writeUInt32BE(1_000_000);
  socket.write(head);
  const timer = setInterval(() => socket.write('\0'), dripMs);
  socket.once('close', () => {
    clearInterval(timer);
  });
}

function waitForClose(socket: Socket): Promise<unknown> {
  return new Promise((resolve) => socket.once('close', resolve));
}

function createHello(secret: string): HelloMessage {
  return {
    type: MessageType.Hello,
    ...{ id: 'd1', region: 'r1', dataCentre: 'z1', peerAddress: '127.0.0.1:1' },
    ...{ incarnation: 'i1', secret, members: [] },
  };
}

/** Runs a test with a listener, and closes what it opened. */
async function runWithListener(
  run: (open: () => Promise<Socket>, hellos: string[]) => Promise<void>,
): Promise<void> {
  const hellos: string[] = [];
  const sockets: Socket[] = [];
  const listener = await startPeerListener({
    logger: createNullLogger(),
    address: '127.0.0.1:0',
    secret: 's1',
    onHello: ({ id }) => hellos.push(id),
    onMessage: () => undefined,
  });
  const port = Number(listener.address.split(':')[1]);
  try {
    await run(async () => {
      const socket = connect(port, '127.0.0.1').resume();
      sockets.push(socket);
      socket.on('error', () => undefined);
      await once(socket, 'connect');
      return socket;
    }, hellos);
  } finally {
    for (const socket of sockets) socket.destroy();
    listener.close();
  }
}

// Guards against descriptors that are used up by connections that never complete a hello.
test('connections without a hello make room for newer ones, not peers', { timeout }, async () => {
  await runWithListener(async (open, hellos) => {
    const peer = await open();
    peer.write(encodeFrame(createHello('s1')));
    const first = await open();
    sendEndless(first, 0);
    const closed = waitForClose(first);
    for (let count = 0; count < maxUnknown; count += 1) await open();
    await closed;
    expect(peer.destroyed).toEqual(false);
    expect(hellos).toEqual(['d1']);
  });
});

// Guards against first frames that are held until they have arrived as a whole, up to 1 MiB each.
test('a hello that is too long is refused before its end', { timeout }, async () => {
  await runWithListener(async (open, hellos) => {
    const socket = await open();
    sendEndless(socket, 200_000);
    await waitForClose(socket);
    expect(hellos).toEqual([]);
  });
});

// Guards against a wrong secret that is taken for a peer.
test('a wrong secret closes the connection', { timeout }, async () => {
  await runWithListener(async (open, hellos) => {
    const socket = await open();
    socket.write(encodeFrame(createHello('other')));
    await waitForClose(socket);
    expect(hellos).toEqual([]);
  });
});
