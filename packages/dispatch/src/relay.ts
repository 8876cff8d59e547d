import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import {
  createConnectionGuard,
  createTurnLimit,
  getSendAllowanceMs,
  readInSlices,
} from '@bergamotreach/hosting';
import type { MemoryBudget } from '@bergamotreach/hosting';
import {
  FaultCode,
  MessageType,
  createFrameReader,
  encodeFrame,
  runContained,
  splitAddress,
} from '@bergamotreach/protocol';
import type {
  Clock,
  Logger,
  Metrics,
  PeerMessage,
  RelayAnswerMessage,
  RelayCallMessage,
} from '@bergamotreach/protocol';
import { checkRelayAnswer, checkRelayCall } from './relaycheck.ts';
import type { InstanceRow } from './relaycheck.ts';

/** A peer that calls may be relayed to. */
export interface RelayPeer extends InstanceRow {
  name: string;
}

/** Options of a relay. */
export interface RelayOptions {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  /** Data centre of this instance; its peers are preferred. */
  dataCentre: string;
  /** The other instances. */
  listPeers: () => RelayPeer[];
}

/** Sends calls to instances that can reach the store. */
export interface Relay {
  /** Tries peers until one reaches the store; `undefined` if none answered in time. */
  call(message: RelayCallMessage): Promise<RelayAnswerMessage | undefined>;
}

/** Fault codes of peers that cannot reach the store either. */
const storeFaults: ReadonlySet<string> = new Set([
  FaultCode.StoreUnavailable,
  FaultCode.UnknownOutcome,
]);
/** A peer gets this long to answer, and the time to send the call to it. */
const peerTimeoutMs = 450;
/** All attempts of a call end within this time, so that its caller can still retry. */
const maxCallMs = 1000;
/** Peers that one call is sent to; each has its own replicas of the store's tables. */
const maxPeers = 3;
/**
 * A call is also sent to the next peer if the previous one has not answered within this time. Calls
 * name their job, so it is harmless if several instances carry one out.
 */
const hedgeDelayMs = 60;
/**
 * Calls are refused at once for this long after no peer could reach the store. A peer that could not
 * reach it is tried last for as long.
 */
const unreachableBackoffMs = 700;
const unknownOutcomeRetryMs = 1000;
/** How long a peer that did not answer is tried last; doubled for each further failure. */
const initialBackoffMs = 4000;
const maxBackoffMs = 60_000;

interface PeerBackoff {
  /** Consecutive calls without an answer. */
  failures: number;
  /** Monotonic time until which the peer is tried last. */
  untilMs: number;
}

/** Result of a call to one peer. */
interface PeerReply {
  /** Absent if the peer did not answer. */
  answer?: RelayAnswerMessage;
  /** Whether the call may have reached the peer. */
  isSent: boolean;
}

/** Ranks failures: an unknown outcome must never be hidden, and a refusal outranks an outage. */
function getSeverity({ faultCode }: RelayAnswerMessage): number {
  if (faultCode === (FaultCode.UnknownOutcome as string)) return 2;
  return storeFaults.has(faultCode) ? 0 : 1;
}

/** Whether a peer that may reach the store has refused the call. */
function isRefused(failure: RelayAnswerMessage | undefined): boolean {
  return failure !== undefined && !storeFaults.has(failure.faultCode);
}

/** Exchanges one message on a new connection, since an open connection may have died silently. */
function sendMessage(address: string, message: PeerMessage, timeoutMs: number): Promise<PeerReply> {
  return new Promise((resolve) => {
    const socket = connect(splitAddress(address));
    const reader = createFrameReader();
    let isSent = false;
    const finish = (message?: PeerMessage): void => {
      clearTimeout(timer);
      socket.destroy();
      const answer = checkRelayAnswer(message);
      resolve(answer.isOk() ? { answer: answer.value, isSent } : { isSent });
    };
    const timer = setTimeout(() => {
      finish();
    }, timeoutMs);
    socket.setNoDelay(true);
    socket.once('connect', () => {
      isSent = true;
      socket.write(encodeFrame(message));
    });
    socket.on('data', (chunk: Buffer) => {
      const messages = reader.readChunk(chunk);
      if (messages.isErr()) finish();
      else if (messages.value[0] !== undefined) finish(messages.value[0]);
    });
    socket.once('error', () => {
      finish();
    });
    socket.once('close', () => {
      finish();
    });
  });
}

function createFaultAnswer(code: FaultCode, message: string): RelayAnswerMessage {
  const retryAfterMs = code === FaultCode.UnknownOutcome ? unknownOutcomeRetryMs : 0;
  return { type: MessageType.RelayAnswer, faultCode: code, message, retryAfterMs, value: '' };
}

/** Stands in for the answer of a peer that may have received the call but did not answer. */
function createUnknownOutcome(): RelayAnswerMessage {
  const message = 'a peer did not answer in time; repeat with the same id';
  return createFaultAnswer(FaultCode.UnknownOutcome, message);
}

/** Creates a relay. */
export function createRelay(options: RelayOptions): Relay {
  const { clock, logger, metrics } = options;
  const backoffs = new Map<string, PeerBackoff>();
  let unreachableUntilMs = -Infinity;

  function rankPeer(peer: RelayPeer): number {
    const isBackedOff = clock.getNowMs() < (backoffs.get(peer.name)?.untilMs ?? -Infinity);
    const isFar = peer.dataCentre !== options.dataCentre;
    return Number(isBackedOff) * 2 + Number(isFar);
  }

  /** Backs off exponentially, since a machine that is gone for good keeps its row. */
  function recordFailure(name: string): void {
    const failures = (backoffs.get(name)?.failures ?? 0) + 1;
    const backoffMs = Math.min(maxBackoffMs, initialBackoffMs * 2 ** (failures - 1));
    backoffs.set(name, { failures, untilMs: clock.getNowMs() + backoffMs });
  }

  async function callPeer(
    peer: RelayPeer,
    message: RelayCallMessage,
    timeoutMs: number,
  ): Promise<RelayAnswerMessage | undefined> {
    const { answer, isSent } = await sendMessage(peer.relayAddress, message, timeoutMs);
    const outcome = answer === undefined ? 'failed' : 'answered';
    metrics.count('relay.calls', 1, { outcome });
    logger.info('call_relayed', {
      job: message.jobId,
      operation: message.operation,
      peer: peer.name,
      outcome,
      isSent,
      fault: answer?.faultCode,
    });
    if (answer === undefined) {
      recordFailure(peer.name);
      return isSent ? createUnknownOutcome() : undefined;
    }
    const isStoreUnreachable = storeFaults.has(answer.faultCode);
    if (isStoreUnreachable)
      backoffs.set(peer.name, { failures: 0, untilMs: clock.getNowMs() + unreachableBackoffMs });
    else backoffs.delete(peer.name);
    return answer;
  }

  /**
   * Resolves with the first success of a peer, else with the most severe failure. Peers may use
   * different versions of the configuration, so a refusal counts only once no other called peer can
   * still carry out the call.
   */
  function callPeers(
    peers: readonly RelayPeer[],
    message: RelayCallMessage,
    endMs: number,
  ): Promise<RelayAnswerMessage | undefined> {
    return new Promise((resolve) => {
      let unstarted = peers.length;
      let inFlight = 0;
      let isResolved = false;
      let failure: RelayAnswerMessage | undefined;
      const resolveCall = (answer: RelayAnswerMessage | undefined): void => {
        isResolved = true;
        resolve(answer);
      };
      const recordAnswer = (answer: RelayAnswerMessage): void => {
        if (isResolved) return;
        if (answer.faultCode === '') resolveCall(answer);
        else if (failure === undefined || getSeverity(answer) > getSeverity(failure))
          failure = answer;
      };
      const tryPeer = async (peer: RelayPeer): Promise<void> => {
        unstarted -= 1;
        const timeoutMs = peerTimeoutMs + getSendAllowanceMs(message.job.length);
        const remainingMs = Math.min(timeoutMs, endMs - clock.getNowMs());
        if (!isResolved && !isRefused(failure) && remainingMs > 0) {
          inFlight += 1;
          const answer = await callPeer(peer, message, remainingMs);
          inFlight -= 1;
          if (answer !== undefined) recordAnswer(answer);
        }
        if (isResolved || inFlight > 0 || (unstarted > 0 && !isRefused(failure))) return;
        if (!isRefused(failure)) unreachableUntilMs = clock.getNowMs() + unreachableBackoffMs;
        resolveCall(failure);
      };
      for (const [index, peer] of peers.entries()) {
        clock.setTimer(index * hedgeDelayMs, () => {
          void runContained(logger, `relay to ${peer.name}`, () => tryPeer(peer));
        });
      }
    });
  }

  return {
    async call(message) {
      const peers = options.listPeers().sort((a, b) => rankPeer(a) - rankPeer(b));
      if (clock.getNowMs() < unreachableUntilMs || peers.length === 0) return undefined;
      const endMs = clock.getNowMs() + Math.min(message.deadlineMs, maxCallMs);
      return callPeers(peers.slice(0, maxPeers), message, endMs);
    },
  };
}

/** Options of the listener for relayed calls. */
export interface RelayListenerOptions {
  /** `ip:port`. */
  address: string;
  /** Memory that clients of all listeners may make the process hold. */
  budget: MemoryBudget;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  handle: (call: RelayCallMessage) => Promise<RelayAnswerMessage>;
}

/** Longest time that a connection of a peer may be idle. */
const maxIdleMs = 5000;
/** Peers send one call on each connection, and each instance relays to three peers at most. */
const maxConnections = 512;
const maxCallsAhead = 8;
/** Most that a socket hands over at once. */
const sliceBytes = 65_536;
/** Bytes of all connections that are taken in one turn of the event loop. */
const turnBytes = 262_144;

/** Starts a server that answers relayed calls. Rejects if the address cannot be used. */
export async function startRelayListener(options: RelayListenerOptions): Promise<Server> {
  const { logger } = options;
  const guard = createConnectionGuard({
    ...options,
    listener: 'relay',
    maxConnections,
    maxAhead: maxCallsAhead,
  });
  const turnLimit = createTurnLimit(turnBytes);

  function handleSocket(socket: Socket): void {
    if (!guard.accept(socket)) return;
    const reader = createFrameReader();
    socket.setTimeout(maxIdleMs, () => {
      socket.destroy();
    });
    socket.on('error', (error) => {
      logger.debug('relay_connection_failed', { reason: error.message });
    });
    const handleSlice = (slice: Buffer): void => {
      const messages = reader.readChunk(slice);
      if (messages.isErr()) {
        logger.warn('relay_frame_refused', { reason: messages.error.message });
        socket.destroy();
        return;
      }
      guard.setPartial(socket, reader.countPendingBytes());
      for (const message of messages.value) {
        if (!guard.startRequest(socket, 0)) return;
        void answer(socket, message).then(() => {
          guard.endRequest(socket, 0);
        });
      }
    };
    readInSlices(socket, { turnLimit, sliceBytes, handleSlice });
  }

  async function answer(socket: Socket, message: PeerMessage): Promise<void> {
    const call = checkRelayCall(message);
    if (call.isErr()) {
      logger.warn('relay_call_refused', { reason: call.error });
      send(socket, createFaultAnswer(FaultCode.Protocol, call.error));
      return;
    }
    const isAnswered = await runContained(logger, 'relayed call', async () => {
      send(socket, await options.handle(call.value));
    });
    // The call may have taken effect before the error.
    if (!isAnswered) send(socket, createFaultAnswer(FaultCode.UnknownOutcome, 'internal error'));
  }

  function send(socket: Socket, reply: RelayAnswerMessage): void {
    if (socket.writable) socket.write(encodeFrame(reply));
  }

  const server = createServer(handleSocket);
  const { host, port } = splitAddress(options.address);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  return server;
}
