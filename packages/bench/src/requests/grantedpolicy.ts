import type { Member, Membership, MessageOf } from '@bergamotreach/membership';
import { InstanceKind, InstanceState } from '@bergamotreach/hosting';
import type { Instance } from '@bergamotreach/hosting';
import { MemberState } from '@bergamotreach/protocol';
import type { MessageType, PeerMessage } from '@bergamotreach/protocol';
import {
  chooseEndpoint,
  computeWantedSlots,
  createEndpointSet,
  createSlotCredits,
  splitWantedSlots,
} from '@bergamotreach/routing';
import type { EndpointSet, SlotCredits } from '@bergamotreach/routing';
import type { SimContext, SimPolicy, SimRequest, SimSize } from './policysim.ts';

type Handler = (from: string, message: PeerMessage) => void;

interface SimRouter {
  queue: SimRequest[];
  endpoints: EndpointSet;
  credits: SlotCredits;
  turn: number;
  id: string;
  running: number;
  meanRunning: number;
}

const messageDelayMs = 0.5;
// Weight of the current value in the moving average of running requests.
const meanRunningWeight = 0.05;
const limits = { creditMs: 1000, maxRequestMs: 10_000, minDaemons: 1 };

function createMember(index: number): Member {
  return {
    id: `r${index}`,
    region: 'region',
    dataCentre: 'dc',
    peerAddress: '',
    state: MemberState.Live,
    isHeard: true,
    isTwoWay: true,
    isGone: false,
  };
}

function createInstance(index: number, size: SimSize): Instance {
  return {
    id: `e${index}`,
    kind: InstanceKind.Endpoint,
    address: '127.0.0.1:1',
    region: 'region',
    dataCentre: 'dc',
    rack: '',
    service: 's',
    state: InstanceState.Live,
    capacity: { accelerators: 0, cores: 0, memoryMb: 0, slots: size.slots, connections: 60 },
  };
}

/** The slot credits of the routing package: one queue per router, and messages that take 0.5 ms. */
export function createGrantedPolicy(context: SimContext): SimPolicy {
  const { clock, size } = context;
  const handlers = new Map<string, Map<MessageType, Handler>>();
  const members = Array.from({ length: size.routers }, (_, index) => createMember(index));

  function createMembership(selfId: string): Membership {
    const ownHandlers = new Map<MessageType, Handler>();
    handlers.set(selfId, ownHandlers);
    return {
      getView: () => ({ selfId, version: 1, members }),
      addViewListener: () => () => undefined,
      sendAll: () => undefined,
      send: (to, message) => {
        clock.setTimer(messageDelayMs, () => {
          handlers.get(to)?.get(message.type)?.(selfId, message);
        });
        return true;
      },
      addHandler: <T extends MessageType>(
        type: T,
        handler: (from: string, message: MessageOf<T>) => void,
      ) => {
        ownHandlers.set(type, handler as Handler);
      },
    };
  }

  function startQueued(router: SimRouter): void {
    for (;;) {
      const request = router.queue[0];
      if (request === undefined) return;
      const nowMs = clock.getNowMs();
      const candidates = router.endpoints.listEndpoints().map((endpoint) => ({
        id: endpoint.instance.id,
        inUse: endpoint.running.size,
        slots: router.credits.countSlots(endpoint, nowMs),
        serviceMs: 1,
        endpoint,
      }));
      const chosen = chooseEndpoint(candidates, router.turn++);
      if (chosen === undefined) {
        router.credits.scheduleRequest();
        return;
      }
      router.queue.shift();
      const { endpoint } = chosen;
      const grantor = router.credits.getGrantor(chosen.id);
      const running = { startMs: nowMs, endMs: nowMs + size.deadlineMs, grantor };
      endpoint.running.add(running);
      router.running += 1;
      router.meanRunning += meanRunningWeight * (router.running - router.meanRunning);
      context.runAt(Number(chosen.id.slice(1)), request, () => {
        endpoint.running.delete(running);
        router.running -= 1;
        startQueued(router);
      });
    }
  }

  function createSimRouter(index: number): SimRouter {
    const endpoints = createEndpointSet();
    endpoints.applyInstances(
      Array.from({ length: size.endpoints }, (_, number) => createInstance(number, size)),
    );
    const queue: SimRequest[] = [];
    const credits = createSlotCredits({
      clock,
      membership: createMembership(`r${index}`),
      selfId: `r${index}`,
      dataCentre: 'dc',
      endpoints,
      getLimits: () => limits,
      computeWanted: (endpoint, nowMs) => {
        const listed = endpoints.listEndpoints().map(({ instance, running }) => ({
          id: instance.id,
          slots: size.slots,
          running: running.size,
        }));
        const running = listed.reduce((sum, one) => sum + one.running, 0);
        const isScarce = endpoints.listEndpoints().some((one) => credits.isScarce(one, nowMs));
        const { meanRunning } = router;
        const load = { meanRunning, running, waiting: queue.length, isScarce };
        const plan = splitWantedSlots(computeWantedSlots(load), listed, router.id);
        return plan.get(endpoint.instance.id) ?? 0;
      },
      handleCredit: () => {
        startQueued(router);
      },
      firstSequence: 0,
    });
    const id = `r${index}`;
    const router: SimRouter = {
      queue,
      endpoints,
      credits,
      turn: 0,
      id,
      running: 0,
      meanRunning: 0,
    };
    return router;
  }

  const routers = Array.from({ length: size.routers }, (_, index) => createSimRouter(index));
  return {
    handleRequest: (request) => {
      const router = routers[request.router];
      if (router === undefined) return;
      router.queue.push(request);
      startQueued(router);
    },
  };
}
