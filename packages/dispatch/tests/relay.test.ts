import { createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { createMemoryBudget } from '@bergamotreach/hosting';
import {
  FaultCode,
  MessageType,
  RelayOperation,
  createManualClock,
  createNullLogger,
  createNullMetrics,
  createSystemClock,
} from '@bergamotreach/protocol';
import type { Clock, RelayAnswerMessage, RelayCallMessage } from '@bergamotreach/protocol';
import { expect } from 'earl';
import { createRelay, startRelayListener } from '../src/index.ts';

const logger = createNullLogger();
const clock = createSystemClock();
const budget = createMemoryBudget({ clock, maxBytes: Infinity });
const listenerContext = { budget, clock, logger, metrics: createNullMetrics() };
/** Fails a test that gets no answer within this time. */
const maxAnswerMs = 5000;
const refusalTravelMs = 30;
const call: RelayCallMessage = {
  type: MessageType.RelayCall,
  operation: RelayOperation.Submit,
  host: 'h',
  path: '/p/1',
  key: 'k',
  jobId: '1',
  job: '{}',
  deadlineMs: 3000,
};

function getAddress(server: Server): string {
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Starts a peer that answers every call with one fault code; an empty code is success. */
async function startPeer(faultCode: string): Promise<Server> {
  const type = MessageType.RelayAnswer;
  const answer = { type, faultCode, message: '', retryAfterMs: 0, value: 'done' } as const;
  return startRelayListener({
    address: '127.0.0.1:0',
    ...listenerContext,
    handle: () => Promise.resolve(answer),
  });
}

/** Starts a peer that refuses every call, and one that accepts it after that refusal was sent. */
async function startRefusingAndLatePeer(): Promise<{ refusing: Server; late: Server }> {
  let reportRefusal: () => void = () => undefined;
  const refused = new Promise<void>((resolve) => {
    reportRefusal = resolve;
  });
  const answer = { type: MessageType.RelayAnswer, message: '', retryAfterMs: 0 } as const;
  const refusing = await startRelayListener({
    address: '127.0.0.1:0',
    ...listenerContext,
    handle() {
      reportRefusal();
      return Promise.resolve({ ...answer, faultCode: FaultCode.Unauthorized, value: '' });
    },
  });
  const late = await startRelayListener({
    address: '127.0.0.1:0',
    ...listenerContext,
    handle: async () => {
      await refused;
      // Lets the refusal arrive first.
      await wait(refusalTravelMs);
      return { ...answer, faultCode: '', value: 'done' };
    },
  });
  return { refusing, late };
}

/** Starts a peer that accepts connections and never answers. */
async function startSilentPeer(): Promise<Server> {
  const server = createServer((socket) => {
    socket.on('error', () => socket.destroy());
    socket.resume();
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return server;
}

async function callPeers(
  servers: readonly Server[],
  clock: Clock = createSystemClock(),
): Promise<RelayAnswerMessage | undefined> {
  const relay = createRelay({
    clock,
    logger,
    metrics: createNullMetrics(),
    dataCentre: 'd1',
    listPeers: () =>
      servers.map((server, index) => ({
        name: `p${index}`,
        relayAddress: getAddress(server),
        dataCentre: 'd1',
      })),
  });
  const answer = await relay.call(call);
  for (const server of servers) server.close();
  return answer;
}

// Guards against refusing a caller although another instance could have served it.
test('a peer that reaches the store serves the call', async () => {
  const peers = [await startPeer(FaultCode.StoreUnavailable), await startPeer('')];
  expect((await callPeers(peers))?.value).toEqual('done');
});

// Guards against refusing a job that a peer has accepted, whose answer was lost.
test('a peer without an answer leaves the outcome unknown', async () => {
  const peers = [await startSilentPeer(), await startPeer(FaultCode.StoreUnavailable)];
  expect((await callPeers(peers))?.faultCode).toEqual(FaultCode.UnknownOutcome);
});

// Guards against callers that wait for a dead machine while another one could serve them.
test('a silent peer does not delay the call', async () => {
  const peers = [await startSilentPeer(), await startPeer('')];
  const startedMs = performance.now();
  expect((await callPeers(peers))?.value).toEqual('done');
  // A silent peer alone takes 450 ms.
  expect(performance.now() - startedMs < 300).toEqual(true);
});

// Guards against an unknown outcome although no peer can have received the call.
test('an unreachable peer does not make the outcome unknown', async () => {
  const gone = await startSilentPeer();
  const address = getAddress(gone);
  await new Promise((resolve) => gone.close(resolve));
  const relay = createRelay({
    clock: createSystemClock(),
    logger,
    metrics: createNullMetrics(),
    dataCentre: 'd1',
    listPeers: () => [{ name: 'p', relayAddress: address, dataCentre: 'd1' }],
  });
  expect(await relay.call(call)).toEqual(undefined);
});

// Guards against answering 401 for a job that another peer, with an older configuration, accepts at
// the same time: the job would run although every attempt was refused.
test('a refusal waits for the peers that may still accept', async () => {
  const { refusing, late } = await startRefusingAndLatePeer();
  expect((await callPeers([late, refusing]))?.faultCode).toEqual('');
});

// Guards against a refusal that hides a call whose answer was lost.
test('a refusal does not hide the unknown outcome of a silent peer', async () => {
  const peers = [await startSilentPeer(), await startPeer(FaultCode.Unauthorized)];
  expect((await callPeers(peers))?.faultCode).toEqual(FaultCode.UnknownOutcome);
});

// Guards against a caller that waits for peers that were not called yet.
test('a refusal of the first peer counts at once', async () => {
  const peers = [await startPeer(FaultCode.Unauthorized), await startPeer('')];
  // The relay's clock stands still, so the second peer is not called yet.
  const clock = createManualClock();
  const answer = callPeers(peers, clock);
  await clock.advance(0);
  const first = await Promise.race([answer, wait(maxAnswerMs)]);
  await clock.advance(maxAnswerMs);
  await answer;
  expect(first?.faultCode).toEqual(FaultCode.Unauthorized);
});
