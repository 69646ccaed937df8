/** Composition root: the only place that creates and connects the components of a controller. */
import type { Logger } from 'pino';
import { AgentClient } from '../clients/agent-client.js';
import { CloudClient } from '../clients/cloud-client.js';
import { StateClient } from '../clients/state-client.js';
import type { Policy } from '../config/policy.js';
import { type PlatformSettings, parseAddress, quotasOf } from '../config/settings.js';
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
import { createProcessMemoryMeter, MemoryGuard } from './memory-guard.js';
import { RequestRouter } from './request-router.js';

/** Share of the state service's limit on requests per second that all controllers use together. */
const STATE_REQUESTS_SHARE = 0.9;

/**
 * Share of the state service's limit on changes per second that each controller
 * may use. It is not divided among them because mostly the leader writes.
 */
const STATE_CHANGES_SHARE = 0.6;

/**
 * Share of the cloud's request rate that each controller may use. It is not
 * divided among them because only the leader calls the cloud regularly.
 */
const CLOUD_REQUESTS_SHARE = 0.8;

/** Maximum number of live jobs whose task counts a status carries. */
const MAX_JOB_COUNTS_PER_STATUS = 256;

/** Timeout of a follower's request for an agent's heartbeat, as a share of the timeout of a command. */
const FETCH_HEARTBEAT_SHARE = 0.4;

/** Settings and dependencies of a new controller. */
export interface ControllerOptions {
  /** The platform's settings file, as parsed. */
  platform: PlatformSettings;
  /** Scheduling policy from the operators' properties file. */
  policy: Policy;
  clock: Clock;
  log: Logger;
  /** See {@link ControllerContext.incarnation}. */
  incarnation: string;
}

/** Creates a controller. It opens no connection before `run` is called. */
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
  const memory = new MemoryGuard(ctx, createProcessMemoryMeter(platform.settings.quota.memory_mb));
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
    isMemoryLow: () => memory.isLow || peers.statuses.isLeaderMemoryLow(),
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

function createStateClient(platform: PlatformSettings, clock: Clock): StateClient {
  const { state, size } = platform.settings;
  const limits = stateLimitsOf(platform);
  return new StateClient({
    address: parseAddress(platform.external.state),
    // All controllers get an equal part: the leader's own requests are few compared with users' requests.
    requestsPerS: (state.rps * STATE_REQUESTS_SHARE) / Math.max(1, size),
    changesPerS: limits.changesPerS * STATE_CHANGES_SHARE,
    loweredChangesPerS: limits.loweredChangesPerS * STATE_CHANGES_SHARE,
    timeoutMs: timingOf(platform).stateTimeoutMs,
    clock,
  });
}

function createCloudClient(platform: PlatformSettings, clock: Clock): CloudClient {
  return new CloudClient({
    address: parseAddress(platform.external.cloud),
    requestsPerS: platform.settings.cloud.rps * CLOUD_REQUESTS_SHARE,
    timeoutMs: timingOf(platform).cloudTimeoutMs,
    clock,
  });
}

/** Components that the status of this controller is read from. */
interface StatusSources {
  state: StateClient;
  memory: MemoryGuard;
  leader: LocalLeader;
  election: LeaderElection;
}

/** Returns the status that this controller sends to its peers. */
function currentStatus(ctx: ControllerContext, sources: StatusSources): PeerStatus {
  const { state, memory, leader, election } = sources;
  return {
    node: ctx.node,
    incarnation: ctx.incarnation,
    sentAt: ctx.clock.wall(),
    term: election.highestTerm,
    leading: leader.current !== null,
    stateServiceAvailable: state.failingSince === null,
    memoryShort: memory.isLow,
    taskCounts: leader.current?.taskCounts(MAX_JOB_COUNTS_PER_STATUS) ?? [],
  };
}
