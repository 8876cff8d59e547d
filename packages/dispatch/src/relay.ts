import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
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

/** A peer that relayed calls may be sent to. */
export interface RelayPeer extends InstanceRow {
  name: string;
}

/** Options of a relay. */
export interface RelayOptions {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  /** Data centre of this instance, whose peers are asked first. */
  dataCentre: string;
  /** The other instances. */
  listPeers: () => RelayPeer[];
}

/** Sends calls to instances that reach the store. */
export interface Relay {
  /** Tries peers until one reaches the store; `undefined` when none answered in time. */
  call(message: RelayCallMessage): Promise<RelayAnswerMessage | undefined>;
}

/** Answers of peers that do not reach the store either. */
const storeFaults: ReadonlySet<string> = new Set([
  FaultCode.StoreUnavailable,
  FaultCode.UnknownOutcome,
]);
/** A peer across the slowest link answers within this time or the next one is tried. */
const peerTimeoutMs = 450;
/** All tries of a call end within this time, while its caller can still come again. */
const maxCallMs = 1000;
/** Peers that one call is sent to; each has its own copy of the store's rows. */
const maxPeers = 3;
/**
 * A peer that has not answered for this long is joined by the next one. A call names its job, so it
 * does no harm that several instances carry it out.
 */
const staggerMs = 60;
/** After no peer reached the store, calls are refused at once for this long. */
const awayMs = 700;
const doubtRetryMs = 1000;
/** How long a peer that did not answer is tried last; doubled each time. */
const silentAvoidMs = 4000;
const maxAvoidMs = 60_000;

interface Avoidance {
  /** Calls in a row without an answer. */
  silences: number;
  /** Steady time until which the peer is tried last. */
  untilMs: number;
}

/** How a call to one peer ended. */
interface PeerReply {
  /** Absent without an answer. */
  answer?: RelayAnswerMessage;
  /** The call may have reached the peer. */
  isSent: boolean;
}

/** How much a failed answer says: a doubt is never hidden, and a refusal outweighs an outage. */
function getWeight({ faultCode }: RelayAnswerMessage): number {
  if (faultCode === (FaultCode.UnknownOutcome as string)) return 2;
  return storeFaults.has(faultCode) ? 0 : 1;
}

/** Whether a peer that could have reached the store has refused the call. */
function isRefused(failure: RelayAnswerMessage | undefined): boolean {
  return failure !== undefined && !storeFaults.has(failure.faultCode);
}

/** Exchanges one message on a connection of its own: a connection may go silent at any time. */
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
  const retryAfterMs = code === FaultCode.UnknownOutcome ? doubtRetryMs : 0;
  return { type: MessageType.RelayAnswer, faultCode: code, message, retryAfterMs, value: '' };
}

/** Stands for the answer of a peer that got the call and did not answer. */
function createDoubt(): RelayAnswerMessage {
  const message = 'a peer did not answer in time; repeat with the same id';
  return createFaultAnswer(FaultCode.UnknownOutcome, message);
}

/** Creates a relay. */
export function createRelay(options: RelayOptions): Relay {
  const { clock, logger, metrics } = options;
  const avoided = new Map<string, Avoidance>();
  let awayUntilMs = -Infinity;

  function rankPeer(peer: RelayPeer): number {
    const isAvoided = clock.getNowMs() < (avoided.get(peer.name)?.untilMs ?? -Infinity);
    const isFar = peer.dataCentre !== options.dataCentre;
    return Number(isAvoided) * 2 + Number(isFar);
  }

  /** A machine that is gone for good keeps its row, so silence counts more each time. */
  function noteSilence(name: string): void {
    const silences = (avoided.get(name)?.silences ?? 0) + 1;
    const avoidMs = Math.min(maxAvoidMs, silentAvoidMs * 2 ** (silences - 1));
    avoided.set(name, { silences, untilMs: clock.getNowMs() + avoidMs });
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
      noteSilence(peer.name);
      return isSent ? createDoubt() : undefined;
    }
    const isAway = storeFaults.has(answer.faultCode);
    if (isAway) avoided.set(peer.name, { silences: 0, untilMs: clock.getNowMs() + awayMs });
    else avoided.delete(peer.name);
    return answer;
  }

  /**
   * The first success of a peer; else the doubt or the refusal that is left. Peers may decide by
   * different versions of the configuration, so a refusal counts only once no other peer that was
   * called can still carry the call out.
   */
  function callPeers(
    peers: readonly RelayPeer[],
    message: RelayCallMessage,
    endMs: number,
  ): Promise<RelayAnswerMessage | undefined> {
    return new Promise((resolve) => {
      let planned = peers.length;
      let inFlight = 0;
      let isDecided = false;
      let failure: RelayAnswerMessage | undefined;
      const decide = (answer: RelayAnswerMessage | undefined): void => {
        isDecided = true;
        resolve(answer);
      };
      const noteAnswer = (answer: RelayAnswerMessage): void => {
        if (isDecided) return;
        if (answer.faultCode === '') decide(answer);
        else if (failure === undefined || getWeight(answer) > getWeight(failure)) failure = answer;
      };
      const tryPeer = async (peer: RelayPeer): Promise<void> => {
        planned -= 1;
        const leftMs = Math.min(peerTimeoutMs, endMs - clock.getNowMs());
        if (!isDecided && !isRefused(failure) && leftMs > 0) {
          inFlight += 1;
          const answer = await callPeer(peer, message, leftMs);
          inFlight -= 1;
          if (answer !== undefined) noteAnswer(answer);
        }
        if (isDecided || inFlight > 0 || (planned > 0 && !isRefused(failure))) return;
        if (!isRefused(failure)) awayUntilMs = clock.getNowMs() + awayMs;
        decide(failure);
      };
      for (const [index, peer] of peers.entries()) {
        clock.setTimer(index * staggerMs, () => {
          void runContained(logger, `relay to ${peer.name}`, () => tryPeer(peer));
        });
      }
    });
  }

  return {
    async call(message) {
      const peers = options.listPeers().sort((a, b) => rankPeer(a) - rankPeer(b));
      if (clock.getNowMs() < awayUntilMs || peers.length === 0) return undefined;
      const endMs = clock.getNowMs() + Math.min(message.deadlineMs, maxCallMs);
      return callPeers(peers.slice(0, maxPeers), message, endMs);
    },
  };
}

/** Options of the listener for relayed calls. */
export interface RelayListenerOptions {
  /** `ip:port`. */
  address: string;
  logger: Logger;
  handle: (call: RelayCallMessage) => Promise<RelayAnswerMessage>;
}

/** Longest time that a connection of a peer may stay open. */
const connectionMs = 5000;

/** Starts to take relayed calls. Rejects when the address cannot be used. */
export async function startRelayListener(options: RelayListenerOptions): Promise<Server> {
  const { logger } = options;

  function handleSocket(socket: Socket): void {
    const reader = createFrameReader();
    socket.setTimeout(connectionMs, () => {
      socket.destroy();
    });
    socket.on('error', (error) => {
      logger.debug('relay_connection_failed', { reason: error.message });
    });
    socket.on('data', (chunk: Buffer) => {
      const messages = reader.readChunk(chunk);
      if (messages.isErr()) {
        logger.warn('relay_frame_refused', { reason: messages.error.message });
        socket.destroy();
        return;
      }
      for (const message of messages.value) void answer(socket, message);
    });
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
