import { randomUUID } from 'node:crypto';
import { createConfigStore, createConfigSync } from '@bergamotreach/config';
import type { ConfigStore, ConfigSync, EffectiveConfig } from '@bergamotreach/config';
import { createRegionOwner } from '@bergamotreach/execution';
import type { GangJobStore, RegionOwner } from '@bergamotreach/execution';
import { startMembership } from '@bergamotreach/membership';
import type { RunningMembership } from '@bergamotreach/membership';
import {
  createClaims,
  createGroupCommitter,
  createJobStore,
  createRegionLease,
} from '@bergamotreach/ownership';
import type { GroupCommitter } from '@bergamotreach/ownership';
import { createScheduler } from '@bergamotreach/placement';
import type { PlacementConfig } from '@bergamotreach/placement';
import { MessageType, rankMembers } from '@bergamotreach/protocol';
import type { Clock, Logger, Metrics } from '@bergamotreach/protocol';
import { createRouter } from '@bergamotreach/routing';
import type { Router } from '@bergamotreach/routing';
import type { PlatformClients } from './platformclients.ts';
import type { DaemonSettings } from './settings.ts';

/** Options of a daemon, shared by its components. */
export interface DaemonOptions {
  settings: DaemonSettings;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  clients: PlatformClients;
}

/** Long-running components of a daemon, and the stores they use. */
export interface DaemonComponents {
  committer: GroupCommitter;
  membership: RunningMembership;
  configStore: ConfigStore;
  configSync: ConfigSync;
  router: Router;
  owner: RegionOwner;
  openJobStore: (region: string) => GangJobStore;
}

// Placeholder until the first configuration arrives; the region owner schedules nothing before.
const initialPlacement: PlacementConfig = {
  accounts: [],
  weights: { completion: 1, fragmentation: 1 },
  lossReserve: {},
  evacuated: [],
  reservationAfterMs: 60_000,
  reclaimMs: 10_000,
  urgentReclaimMs: 300,
  maxAttempts: 3,
  quarantineAfterJobs: 3,
  quarantineMs: 60_000,
  quarantineMaxMs: 3_600_000,
  acceleratorShare: 0.5,
};

/**
 * Whether this daemon renews task leases while the owner is down during a store outage: it ranks
 * first among the live members of the region.
 */
function isCaretaker(membership: RunningMembership, settings: DaemonSettings): boolean {
  const live = membership
    .getView()
    .members.filter((member) => member.region === settings.region && member.isHeard)
    .map((member) => member.id);
  return rankMembers(`caretaker/${settings.region}`, live)[0] === settings.id;
}

function createConfigServices(
  options: DaemonOptions,
  membership: RunningMembership,
  onConfig: (config: EffectiveConfig) => void,
): { configStore: ConfigStore; configSync: ConfigSync } {
  const { clock, logger, clients } = options;
  const { table, objectStore } = clients;
  const configStore = createConfigStore({ table, objectStore, clock });
  const configSync = createConfigSync({
    store: configStore,
    clock,
    logger,
    sendPush: (push) => {
      membership.sendAll({ type: MessageType.ConfigPush, ...push });
    },
    addPushListener: (listener) => {
      membership.addHandler(MessageType.ConfigPush, (_from, message) => {
        listener(message);
      });
    },
    onChange: (active) => {
      onConfig(active.config);
    },
    sendRequest: (revision) => {
      membership.sendAll({ type: MessageType.ConfigRequest, revision });
    },
  });
  membership.addHandler(MessageType.ConfigRequest, (from, message) => {
    const push = configSync.buildPush(message.revision);
    if (push !== undefined) membership.send(from, { type: MessageType.ConfigPush, ...push });
  });
  membership.addHandler(MessageType.Heartbeat, (_from, message) => {
    configSync.handlePeerRevision(message.configRevision);
  });
  return { configStore, configSync };
}

function createOwner(
  options: DaemonOptions,
  committer: GroupCommitter,
  membership: RunningMembership,
  getHttpAddress: () => string,
  jobStore: GangJobStore,
): RegionOwner {
  const { settings, clock, logger, metrics, clients } = options;
  const { region, id } = settings;
  const { table, workerClient } = clients;
  const owner = createRegionOwner({
    region,
    createScheduler: () => createScheduler(initialPlacement, []),
    createLease: (onChange) =>
      createRegionLease({
        table,
        committer,
        clock,
        logger,
        metrics,
        region,
        holder: id,
        address: getHttpAddress(),
        onChange,
      }),
    jobStore,
    workerClient,
    clock,
    logger,
    metrics,
    getWallMs: () => Date.now(),
    isCaretaker: () => isCaretaker(membership, settings),
  });
  membership.addHandler(MessageType.JobsChanged, (_from, message) => {
    if (message.region === region) owner.refreshJobs(message.jobIds);
  });
  return owner;
}

/**
 * Starts membership and creates the other components, which do not yet contend for the lease or route
 * requests. `onConfig` runs each time a configuration becomes active.
 */
export async function createComponents(
  options: DaemonOptions,
  onConfig: (config: EffectiveConfig) => void,
): Promise<DaemonComponents> {
  const { settings, clock, logger, metrics, clients } = options;
  const { table, objectStore } = clients;
  const { id, region, dataCentre } = settings;
  // Filled below; membership may read it for a heartbeat before that.
  const created: { configSync?: ConfigSync } = {};
  const committer = createGroupCommitter({
    table,
    clock,
    logger,
    metrics,
    createOperationId: randomUUID,
  });
  const membership = await startMembership({
    ...settings,
    clock,
    logger,
    metrics,
    secret: settings.peerSecret,
    getHeartbeatPayload: () => ({
      configRevision: created.configSync?.getStatus().revision ?? 0,
    }),
  });
  const configServices = createConfigServices(options, membership, onConfig);
  created.configSync = configServices.configSync;
  const claims = createClaims({ table, committer, objects: objectStore, daemon: id });
  const router = createRouter({
    clock,
    logger,
    metrics,
    membership,
    claims,
    selfId: id,
    region,
    dataCentre,
  });
  const openJobStore = (name: string): GangJobStore =>
    createJobStore({ table, committer, region: name, getWallMs: () => Date.now() });
  const owner = createOwner(
    options,
    committer,
    membership,
    () => settings.httpAddress,
    openJobStore(region),
  );
  return { committer, membership, ...configServices, router, owner, openJobStore };
}
