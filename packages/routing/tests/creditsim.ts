import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { Clock, MemberState } from '@bergamotreach/protocol';
import type { CancelTimer, MessageType, PeerMessage } from '@bergamotreach/protocol';
import type { Member, Membership, MessageOf } from '@bergamotreach/membership';
import { createSlotCredits } from '../src/credits.ts';
import type { SlotCredits } from '../src/credits.ts';
import type { Endpoint } from '../src/endpoint.ts';
import { createEndpointSet } from '../src/endpointset.ts';
import type { EndpointSet } from '../src/endpointset.ts';
import { createInstance, createMember } from './fakes.ts';

export const maxRequestMs = 2000;
const maxDetectionMs = 800;
const limits = { creditMs: 1000, maxRequestMs, minDaemons: 1 };

interface RunningRequest {
  node: SimNode;
  endMs: number;
}

interface SimTask {
  dueMs: number;
  order: number;
  node: SimNode;
  run: () => void;
}

export interface SimNode {
  id: string;
  credits: SlotCredits;
  endpoints: EndpointSet;
  members: Member[];
  pausedUntilMs: number;
  isCrashed: boolean;
  /** Slots that the node wants at each endpoint. */
  demand: number;
  /** Starts no requests at the moment, although it holds slots. */
  isIdle: boolean;
}

export interface SimFaults {
  lossRate: number;
  duplicateRate: number;
  /** Maximum delay; messages may overtake each other. */
  maxDelayMs: number;
}

export interface CreditSim {
  nodes: SimNode[];
  faults: SimFaults;
  run(durationMs: number): void;
  /** Sets whether two nodes (only `left` if one-sided) see heartbeats in both directions. */
  setTwoWay(left: number, right: number, isTwoWay: boolean, isOneSided: boolean): void;
  pause(node: number, durationMs: number): void;
  crash(node: number): void;
  setDraining(node: number): void;
  /** Maximum number of concurrent requests at any endpoint, minus its slots. */
  getMaxExcess(): number;
  countRunning(): number;
  /** Slots that the node may use now at all endpoints together. */
  countHeld(node: number): number;
}

/** Simulates routers that share endpoints, in virtual time and over a faulty network. */
export function createCreditSim(
  seed: number,
  nodeCount: number,
  slots: number,
  idleRate: number,
): CreditSim {
  const generator = xoroshiro128plus(seed);
  const getRandom = (): number => uniformFloat64(generator);
  const endpointIds = ['e1', 'e2'];
  const faults: SimFaults = { lossRate: 0, duplicateRate: 0, maxDelayMs: 10 };
  let nowMs = 0;
  let order = 0;
  let tasks: SimTask[] = [];
  let maxExcess = -Infinity;
  /**
   * Requests that are really running at each endpoint, whatever their router has recorded. An
   * exchange ends with its connection, and so with its router's process.
   */
  const runningRequests = new Map<string, RunningRequest[]>(endpointIds.map((id) => [id, []]));
  const nodes: SimNode[] = [];

  function addTask(node: SimNode, delayMs: number, run: () => void): SimTask {
    const task = { dueMs: nowMs + delayMs, order: (order += 1), node, run };
    tasks.push(task);
    return task;
  }

  class NodeClock extends Clock {
    constructor(private readonly getNode: () => SimNode) {
      super();
    }
    getNowMs(): number {
      return nowMs;
    }
    setTimer(delayMs: number, action: () => void): CancelTimer {
      const task = addTask(this.getNode(), Math.max(1, delayMs), action);
      return () => {
        tasks = tasks.filter((other) => other !== task);
      };
    }
  }

  type Handler = (from: string, message: PeerMessage) => void;

  function createMembership(
    getNode: () => SimNode,
    handlers: Map<MessageType, Handler>,
  ): Membership {
    let version = 0;
    return {
      getView: () => ({
        selfId: getNode().id,
        version: (version += 1),
        members: getNode().members,
      }),
      addViewListener: () => () => undefined,
      sendAll: () => undefined,
      send: (memberId, message) => {
        sendMessage(getNode().id, memberId, message);
        return true;
      },
      addHandler: <T extends MessageType>(
        type: T,
        handler: (from: string, message: MessageOf<T>) => void,
      ) => {
        handlers.set(type, handler as Handler);
      },
    };
  }

  const handlersByNode = new Map<string, Map<MessageType, Handler>>();

  function sendMessage(from: string, to: string, message: PeerMessage): void {
    const target = nodes.find((node) => node.id === to);
    if (target === undefined) return;
    const copies = getRandom() < faults.duplicateRate ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      if (getRandom() < faults.lossRate) continue;
      addTask(target, getRandom() * faults.maxDelayMs, () => {
        handlersByNode.get(to)?.get(message.type)?.(from, structuredClone(message));
      });
    }
  }

  function startNode(index: number): void {
    const id = `n${index}`;
    const handlers = new Map<MessageType, Handler>();
    handlersByNode.set(id, handlers);
    const members = Array.from({ length: nodeCount }, (_, other) => createMember(`n${other}`));
    const endpoints = createEndpointSet();
    endpoints.applyInstances(
      endpointIds.map((endpointId) => createInstance(endpointId, '127.0.0.1:1', slots)),
    );
    const node = {
      id,
      endpoints,
      members,
      pausedUntilMs: 0,
      isCrashed: false,
      demand: slots,
      isIdle: false,
    };
    const getNode = (): SimNode => node as unknown as SimNode;
    const credits = createSlotCredits({
      clock: new NodeClock(getNode),
      membership: createMembership(getNode, handlers),
      selfId: id,
      dataCentre: 'dc1',
      endpoints,
      getLimits: () => limits,
      computeWanted: () => getNode().demand,
      handleCredit: () => undefined,
      firstSequence: 0,
    });
    nodes.push(Object.assign(node, { credits }));
  }

  function isRunning(node: SimNode): boolean {
    return !node.isCrashed && nowMs >= node.pausedUntilMs;
  }

  /** Starts and ends requests like a router, which checks its credit right before a dispatch. */
  function runRouter(node: SimNode): void {
    if (getRandom() < 0.05) node.isIdle = !node.isIdle && getRandom() < idleRate;
    for (const endpoint of node.endpoints.listEndpoints()) {
      for (const exchange of endpoint.running)
        if (exchange.endMs <= nowMs) endpoint.running.delete(exchange);
      const wanted = node.isIdle ? 0 : Math.floor(getRandom() * 4);
      for (let count = 0; count < wanted; count += 1) startRequest(node, endpoint);
    }
  }

  function startRequest(node: SimNode, endpoint: Endpoint): void {
    const allowed = Math.min(node.demand, node.credits.countSlots(endpoint, nowMs));
    if (endpoint.running.size >= allowed) return;
    const isLong = getRandom() < 0.2;
    const endMs = nowMs + (isLong ? maxRequestMs : getRandom() * 300);
    const grantor = node.credits.getGrantor(endpoint.instance.id);
    endpoint.running.add({ startMs: nowMs, endMs, grantor });
    runningRequests.get(endpoint.instance.id)?.push({ node, endMs });
  }

  function checkRunningRequests(): void {
    for (const [id, list] of runningRequests) {
      const present = list.filter((request) => request.endMs > nowMs && !request.node.isCrashed);
      runningRequests.set(id, present);
      maxExcess = Math.max(maxExcess, present.length - slots);
    }
  }

  function runDue(): void {
    const due = tasks.filter((task) => task.dueMs <= nowMs && isRunning(task.node));
    due.sort((a, b) => a.dueMs - b.dueMs || a.order - b.order);
    for (const task of due) {
      if (!tasks.includes(task)) continue;
      tasks = tasks.filter((other) => other !== task);
      task.run();
    }
    tasks = tasks.filter((task) => !task.node.isCrashed);
  }

  function run(durationMs: number): void {
    const endMs = nowMs + durationMs;
    while (nowMs < endMs) {
      nowMs += 10;
      // A resumed router may dispatch before it handles its own timers and messages.
      const running = nodes.filter(isRunning);
      for (const node of running) if (getRandom() < 0.5) runRouter(node);
      runDue();
      for (const node of running) runRouter(node);
      checkRunningRequests();
    }
  }

  function updateMember(of: number, about: number, change: Partial<Member>): void {
    const member = nodes[of]?.members[about];
    if (member !== undefined) Object.assign(member, change);
  }

  for (let index = 0; index < nodeCount; index += 1) startNode(index);
  return {
    nodes,
    faults,
    run,
    setTwoWay: (left, right, isTwoWay, isOneSided) => {
      if (left === right) return;
      updateMember(left, right, { isTwoWay });
      if (!isOneSided) updateMember(right, left, { isTwoWay });
    },
    pause: (index, durationMs) => {
      const node = nodes[index];
      if (node !== undefined) node.pausedUntilMs = nowMs + durationMs;
    },
    crash: (index) => {
      const node = nodes[index];
      if (node !== undefined) node.isCrashed = true;
      for (const [other, observer] of nodes.entries()) {
        // Each node detects the crash at a different time.
        addTask(observer, getRandom() * maxDetectionMs, () => {
          updateMember(other, index, { isTwoWay: false, isGone: true });
        });
      }
    },
    setDraining: (index) => {
      for (let other = 0; other < nodeCount; other += 1) {
        updateMember(other, index, { state: MemberState.Draining });
      }
    },
    getMaxExcess: () => maxExcess,
    countHeld: (index) => {
      const node = nodes[index];
      const list = node?.isCrashed === false ? node.endpoints.listEndpoints() : [];
      return list.reduce(
        (sum, endpoint) => sum + (node?.credits.countSlots(endpoint, nowMs) ?? 0),
        0,
      );
    },
    countRunning: () => [...runningRequests.values()].reduce((sum, list) => sum + list.length, 0),
  };
}
