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
const maxNoticeMs = 800;
const limits = { creditMs: 1000, maxRequestMs, minDaemons: 1 };

interface Work {
  node: SimNode;
  endMs: number;
}

interface Task {
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
  /** Slots that the node would like at each endpoint. */
  demand: number;
  /** Starts no requests for now, although it holds slots. */
  isIdle: boolean;
}

export interface SimFaults {
  lossRate: number;
  duplicateRate: number;
  /** Longest delay; messages may overtake each other. */
  maxDelayMs: number;
}

export interface CreditSim {
  nodes: SimNode[];
  faults: SimFaults;
  run(durationMs: number): void;
  /** Sets whether two nodes believe that they exchange heartbeats; `left` only, when one-sided. */
  setTwoWay(left: number, right: number, isTwoWay: boolean, isOneSided: boolean): void;
  pause(node: number, durationMs: number): void;
  crash(node: number): void;
  setDraining(node: number): void;
  /** Most requests in progress at once at any endpoint, less its slots. */
  getWorstExcess(): number;
  countRunning(): number;
  /** Slots that the node may use now, at all endpoints. */
  countHeld(node: number): number;
}

/** Several routers that share endpoints, in virtual time with a faulty network. */
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
  let tasks: Task[] = [];
  let worstExcess = -Infinity;
  /**
   * Requests at an endpoint, whatever their router believes. An exchange ends with its connection,
   * and so with its router's process.
   */
  const work = new Map<string, Work[]>(endpointIds.map((id) => [id, []]));
  const nodes: SimNode[] = [];

  function addTask(node: SimNode, delayMs: number, run: () => void): Task {
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
        tasks = tasks.filter((one) => one !== task);
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

  const handlersOf = new Map<string, Map<MessageType, Handler>>();

  function sendMessage(from: string, to: string, message: PeerMessage): void {
    const target = nodes.find((node) => node.id === to);
    if (target === undefined) return;
    const copies = getRandom() < faults.duplicateRate ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      if (getRandom() < faults.lossRate) continue;
      addTask(target, getRandom() * faults.maxDelayMs, () => {
        handlersOf.get(to)?.get(message.type)?.(from, structuredClone(message));
      });
    }
  }

  function startNode(index: number): void {
    const id = `n${index}`;
    const handlers = new Map<MessageType, Handler>();
    handlersOf.set(id, handlers);
    const members = Array.from({ length: nodeCount }, (_, other) => createMember(`n${other}`));
    const endpoints = createEndpointSet();
    endpoints.applyInstances(endpointIds.map((one) => createInstance(one, '127.0.0.1:1', slots)));
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

  /** Starts and ends requests as a router does: it checks its credit right before the dispatch. */
  function runRouter(node: SimNode): void {
    if (getRandom() < 0.05) node.isIdle = !node.isIdle && getRandom() < idleRate;
    for (const endpoint of node.endpoints.listEndpoints()) {
      for (const one of endpoint.running) if (one.endMs <= nowMs) endpoint.running.delete(one);
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
    work.get(endpoint.instance.id)?.push({ node, endMs });
  }

  function checkWork(): void {
    for (const [id, list] of work) {
      const present = list.filter((one) => one.endMs > nowMs && !one.node.isCrashed);
      work.set(id, present);
      worstExcess = Math.max(worstExcess, present.length - slots);
    }
  }

  function runDue(): void {
    const due = tasks.filter((task) => task.dueMs <= nowMs && isRunning(task.node));
    due.sort((a, b) => a.dueMs - b.dueMs || a.order - b.order);
    for (const task of due) {
      if (!tasks.includes(task)) continue;
      tasks = tasks.filter((one) => one !== task);
      task.run();
    }
    tasks = tasks.filter((task) => !task.node.isCrashed);
  }

  function run(durationMs: number): void {
    const endMs = nowMs + durationMs;
    while (nowMs < endMs) {
      nowMs += 10;
      // A router that resumes may dispatch before its own timers and messages are handled.
      const running = nodes.filter(isRunning);
      for (const node of running) if (getRandom() < 0.5) runRouter(node);
      runDue();
      for (const node of running) runRouter(node);
      checkWork();
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
      for (const [other, seer] of nodes.entries()) {
        // Each node sees the end at another time.
        addTask(seer, getRandom() * maxNoticeMs, () => {
          updateMember(other, index, { isTwoWay: false, isGone: true });
        });
      }
    },
    setDraining: (index) => {
      for (let other = 0; other < nodeCount; other += 1) {
        updateMember(other, index, { state: MemberState.Draining });
      }
    },
    getWorstExcess: () => worstExcess,
    countHeld: (index) => {
      const node = nodes[index];
      const list = node?.isCrashed === false ? node.endpoints.listEndpoints() : [];
      return list.reduce((sum, one) => sum + (node?.credits.countSlots(one, nowMs) ?? 0), 0);
    },
    countRunning: () => [...work.values()].reduce((sum, list) => sum + list.length, 0),
  };
}
