/** Composition root: the only place where the parts of a controller are created and connected. */
import type { Logger } from 'pino';
import { AgentClient } from '../clients/agent-client.js';
import { CloudClient } from '../clients/cloud-client.js';
import { StateClient } from '../clients/state-client.js';
import type { Policy } from '../config/policy.js';
import { type Platform, parseAddress, quotasOf } from '../config/settings.js';
import { stateLimitsOf } from '../config/state-limits.js';
import { timingOf } from '../config/timing.js';
import { parseHeartbeat } from '../protocol/agent-protocol.js';
import type { PeerStatus } from '../records/peer-frames.js';
import type { Clock } from '../runtime/clock.js';
import { JobApi } from './api/job-api.js';
import type { ControllerContext } from './context.js';
import { Controller } from './controller.js';
import { LeaderElection } from './election/leader-election.js';
import { ControllerHealth } from './health.js';
import { HeartbeatHandler } from './heartbeats/heartbeat-handler.js';
import { schedulerPolicy } from './leader/scheduler-configuration.js';
import { LocalLeader } from './local-leader.js';
import { createPeers, type Peers } from './membership/peers.js';
import { MemoryGuard, processMemory } from './memory-guard.js';
import { RequestRouter } from './request-router.js';

/** The share of the state service's request rate that the controllers use together. */
const STATE_REQUESTS_SHARE = 0.9;

/** The share of the state service's changes a second that one controller may use: mostly the leader writes. */
const STATE_CHANGES_SHARE = 0.6;

/** The share of the cloud's request rate that one controller may use: only the leader calls it regularly. */
const CLOUD_REQUESTS_SHARE = 0.8;

/** Live jobs whose task counts a status carries at most. */
const COUNTS_PER_STATUS = 256;

/** The share of a command's time-out within which an agent has to show its state to a follower. */
const FETCH_HEARTBEAT_SHARE = 0.4;

/** What a controller is created from. */
export interface ControllerOptions {
  /** The platform's settings. */
  platform: Platform;
  /** The operators' properties. */
  policy: Policy;
  clock: Clock;
  log: Logger;
  /** Differs with each start of the process, so that no successor takes its keys for its own. */
  incarnation: string;
}

/** Creates a controller. Nothing is opened or sent before it is run. */
export function createController(options: ControllerOptions): Controller {
  const { platform, policy, clock, log, incarnation } = options;
  const state = createStateClient(platform, clock);
  const cloud = createCloudClient(platform, clock);
  const ctx: ControllerContext = {
    node: platform.node,
    incarnation,
    platform,
    timing: timingOf(platform),
    limits: stateLimitsOf(platform),
    quotas: quotasOf(platform),
    state,
    clock,
    log,
    machineTypes: null,
  };
  const memory = new MemoryGuard(ctx, processMemory(platform.settings.quota.memory_mb));
  const leader = new LocalLeader(ctx, cloud, schedulerPolicy(policy));
  const election = new LeaderElection(ctx, (term) => leader.run(term));
  const peers: Peers = createPeers(ctx, {
    currentStatus: () => currentStatus(ctx, { state, memory, leader, election }),
    observeTerm: (term) => election.observeTerm(term),
    serveUser: (method, target, body) => router.serveUser(method, target, body),
    announceCancellation: (jobId, revision) => leader.announceCancellation(jobId, revision),
    handleHeartbeat: async (body) =>
      heartbeats.handleAsLeader(parseHeartbeat(JSON.parse(body.toString())), true),
  });
  const jobApi = new JobApi(ctx, {
    taskCounts: {
      taskCountsOf: (jobId) => leader.taskCountsOf(jobId) ?? peers.statuses.taskCountsOf(jobId),
    },
    cancellations: {
      announceCancellation: (jobId, revision) => {
        leader.announceCancellation(jobId, revision);
        return peers.announceCancellation(jobId, revision);
      },
    },
    isMemoryLow: () => memory.isLow || peers.statuses.isLeaderMemoryShort(),
  });
  const heartbeats = new HeartbeatHandler({
    ctx,
    election,
    leader: () => leader.current,
    peers,
    fetchHeartbeat: (address) =>
      AgentClient.fetchHeartbeat(address, ctx.timing.commandTimeoutMs * FETCH_HEARTBEAT_SHARE),
  });
  const health = new ControllerHealth(ctx, state, peers.statuses);
  const router = new RequestRouter(ctx, { jobApi, heartbeats, health, peers });
  return new Controller({ ctx, state, cloud, election, peers, memory, router });
}

function createStateClient(platform: Platform, clock: Clock): StateClient {
  const { state, size } = platform.settings;
  const limits = stateLimitsOf(platform);
  return new StateClient({
    address: parseAddress(platform.external.state),
    // The controllers share the limit; the leader's own work is small beside users' requests.
    requestsPerS: (state.rps * STATE_REQUESTS_SHARE) / Math.max(1, size),
    changesPerS: limits.changesPerS * STATE_CHANGES_SHARE,
    loweredChangesPerS: limits.loweredChangesPerS * STATE_CHANGES_SHARE,
    timeoutMs: timingOf(platform).stateTimeoutMs,
    clock,
  });
}

function createCloudClient(platform: Platform, clock: Clock): CloudClient {
  return new CloudClient({
    address: parseAddress(platform.external.cloud),
    requestsPerS: platform.settings.cloud.rps * CLOUD_REQUESTS_SHARE,
    timeoutMs: timingOf(platform).cloudTimeoutMs,
    clock,
  });
}

/** The parts that a controller's own status is read from. */
interface StatusSources {
  state: StateClient;
  memory: MemoryGuard;
  leader: LocalLeader;
  election: LeaderElection;
}

/** What this controller sends to its peers about itself. */
function currentStatus(ctx: ControllerContext, sources: StatusSources): PeerStatus {
  const { state, memory, leader, election } = sources;
  return {
    node: ctx.node,
    incarnation: ctx.incarnation,
    sentAt: ctx.clock.wall(),
    term: election.highestTerm,
    leading: leader.current !== null,
    stateOk: state.failingSince === null,
    memoryShort: memory.isLow,
    counts: leader.current?.taskCounts(COUNTS_PER_STATUS) ?? [],
  };
}
