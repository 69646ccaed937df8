import type { Logger } from 'pino';
import { AgentClient } from '../clients/agent-client.js';
import { CloudClient } from '../clients/cloud-client.js';
import { StateClient } from '../clients/state-client.js';
import type { Policy } from '../config/policy.js';
import { type Platform, parseAddress, quotasOf } from '../config/settings.js';
import { stateLimitsOf } from '../config/state-limits.js';
import { timingOf } from '../config/timing.js';
import type { Message } from '../http/message.js';
import { type Reply, serve } from '../http/server.js';
import { parseHeartbeat } from '../protocol/agent-protocol.js';
import { CANCEL_PATH, PATHS } from '../protocol/paths.js';
import { type Clock, sleepUntilAborted } from '../runtime/clock.js';
import { JobApi } from './api/job-api.js';
import { refuse } from './api/refusals.js';
import type { ControllerContext } from './context.js';
import { LeaderElection } from './election/leader-election.js';
import { ControllerHealth } from './health.js';
import { HeartbeatHandler } from './heartbeats/heartbeat-handler.js';
import { commandSockets, Leader, schedulerPolicy } from './leader/leader.js';
import { readMachineTypes } from './machine-types.js';
import { COUNTS_PER_STATUS, Peers } from './membership/peers.js';
import { MemoryGuard, processMemory } from './memory-guard.js';

/** Sockets kept free for the state service, the cloud, peers and workers' addresses, as a part of the limit. */
const RESERVED_SOCKET_SHARE = 0.2;

/** The part of the state service's changes a second that one controller may take: mostly the leader writes. */
const CHANGES_SHARE = 0.6;

/** One controller: its sockets and its long-lived duties, until the signal ends them. */
export class Controller {
  private readonly ctx: ControllerContext;
  private readonly cloud: CloudClient;
  private readonly state: StateClient;
  private readonly jobApi: JobApi;
  private readonly election: LeaderElection;
  private readonly heartbeats: HeartbeatHandler;
  private readonly peers: Peers;
  private readonly health: ControllerHealth;
  private readonly memory: MemoryGuard;
  private leader: Leader | null = null;

  constructor(
    private readonly platform: Platform,
    policy: Policy,
    clock: Clock,
    log: Logger,
    incarnation: string,
  ) {
    const timing = timingOf(platform);
    const limits = stateLimitsOf(platform);
    const { state, cloud, size } = platform.settings;
    // The controllers share the limits; the leader's own work is small beside them.
    this.state = new StateClient({
      address: parseAddress(platform.external.state),
      requestsPerS: (state.rps * 0.9) / Math.max(1, size),
      changesPerS: limits.changesPerS * CHANGES_SHARE,
      loweredChangesPerS: limits.loweredChangesPerS * CHANGES_SHARE,
      timeoutMs: timing.stateTimeoutMs,
      clock,
    });
    this.cloud = new CloudClient({
      address: parseAddress(platform.external.cloud),
      requestsPerS: cloud.rps * 0.8,
      timeoutMs: timing.cloudTimeoutMs,
      clock,
    });
    this.ctx = {
      node: platform.node,
      incarnation,
      platform,
      timing,
      limits,
      quotas: quotasOf(platform),
      state: this.state,
      clock,
      log,
      machineTypes: null,
    };
    this.memory = new MemoryGuard(this.ctx, processMemory(platform.settings.quota.memory_mb));
    this.jobApi = new JobApi(this.ctx, {
      taskCounts: {
        taskCountsOf: (id) => {
          const job = this.leader?.cluster.jobs.get(id);
          return job
            ? { done: job.doneCount, running: job.activeAttempts.size }
            : this.peers.taskCountsOf(id);
        },
      },
      cancellations: {
        announceCancellation: (id, revision) => {
          this.leader?.announceCancellation(id, revision);
          return this.peers.announceCancellation(id, revision);
        },
      },
      isMemoryLow: () => this.memory.isShort || this.peers.leaderMemoryIsShort(),
    });
    this.election = new LeaderElection(this.ctx, async (term) => {
      const agents = new AgentClient(timing.commandTimeoutMs, commandSockets(platform));
      const leader = new Leader(this.ctx, this.cloud, term, schedulerPolicy(policy), agents);
      this.leader = leader;
      try {
        await leader.run();
      } finally {
        this.leader = null;
      }
    });
    this.peers = new Peers(this.ctx, {
      status: () => ({
        node: platform.node,
        incarnation,
        sentAt: clock.wall(),
        term: this.election.highestTerm,
        leading: this.leader !== null,
        stateOk: this.state.failingSince === null,
        memoryShort: this.memory.isShort,
        counts: this.leader?.taskCounts(COUNTS_PER_STATUS) ?? [],
      }),
      onTerm: (term) => this.election.observeTerm(term),
      serveUser: (method, target, body) => this.serveUser(method, target, body),
      cancelled: (job, revision) => this.leader?.announceCancellation(job, revision),
      takeReport: async (body) =>
        this.heartbeats.handleAsLeader(parseHeartbeat(JSON.parse(body.toString())), true),
    });
    this.heartbeats = new HeartbeatHandler({
      ctx: this.ctx,
      election: this.election,
      leader: () => this.leader,
      peers: this.peers,
      fetchHeartbeat: (address) =>
        AgentClient.fetchHeartbeat(address, timing.commandTimeoutMs * 0.4),
    });
    this.health = new ControllerHealth(this.ctx, this.state, this.peers);
  }

  async run(signal: AbortSignal): Promise<void> {
    const { ctx } = this;
    const { host, port } = parseAddress(this.platform.bind);
    await serve(
      {
        host,
        port,
        handler: (request) => this.route(request),
        maxConnections: Math.floor(
          this.platform.settings.quota.max_sockets * (1 - RESERVED_SOCKET_SHARE),
        ),
        requestMs: ctx.timing.userTimeoutMs * 2,
        idleMs: ctx.timing.agentLeaseMs * 3,
        // Workers and users that are still there are heard more often.
        spareMs: ctx.timing.unreachableAfterMs * 0.5,
        onError: (error) => ctx.log.error({ error: String((error as Error).stack) }, 'request'),
      },
      signal,
    );
    ctx.log.info({ bind: this.platform.bind }, 'listening');
    await Promise.all([
      this.loadMachineTypes(signal),
      this.election.run(signal),
      this.peers.run(signal),
      this.memory.run(signal),
    ]);
    this.state.close();
    this.cloud.close();
  }

  private async loadMachineTypes(signal: AbortSignal): Promise<void> {
    const { ctx } = this;
    while (!ctx.machineTypes && !signal.aborted) {
      try {
        ctx.machineTypes = await readMachineTypes(ctx, this.cloud, signal);
      } catch (error) {
        if (signal.aborted) return;
        ctx.log.debug({ error: String((error as Error).message) }, 'machine types not read');
      }
      if (!ctx.machineTypes) await sleepUntilAborted(ctx.clock, ctx.timing.renewMs * 0.5, signal);
    }
  }

  private async route(request: Message): Promise<Reply> {
    const target = request.target.split('?', 1)[0] as string;
    if (target === PATHS.heartbeat)
      return only('POST', request.method, () => this.heartbeats.handle(request.body));
    if (target === PATHS.health) return only('GET', request.method, () => this.healthReply());
    return this.serveUserOrForward(request.method, target, request.body);
  }

  /** Serves a user here or, while the state service fails this node alone, through a peer. */
  private async serveUserOrForward(method: string, target: string, body: Buffer): Promise<Reply> {
    if (this.health.isStateServiceFailing() && target.startsWith(PATHS.jobs)) {
      const passed = await this.forwardToPeer(method, target, body);
      if (passed) return passed;
      if (this.health.isStateServiceSilent()) return refuse('stateServiceUnreachable');
    }
    const reply = await this.serveUser(method, target, body);
    if (reply.status !== 503) return reply;
    return (await this.forwardToPeer(method, target, body)) ?? reply;
  }

  private async forwardToPeer(method: string, target: string, body: Buffer): Promise<Reply | null> {
    const peer = this.peers.servedPeer();
    if (peer === null) return null;
    try {
      const reply = await this.peers.forwardRequest(peer, method, target, body);
      return reply.status === 503 ? null : reply;
    } catch (error) {
      this.ctx.log.debug(
        { peer, error: String((error as Error).message) },
        'request not passed on',
      );
      return null;
    }
  }

  private async serveUser(method: string, target: string, body: Buffer): Promise<Reply> {
    if (target === PATHS.jobs) return only('POST', method, () => this.jobApi.submit(body));
    if (target.startsWith(`${PATHS.jobs}/`)) {
      const rest = target.slice(PATHS.jobs.length + 1).split('/');
      const id = rest[0] as string;
      if (rest.length === 1) return only('GET', method, () => this.jobApi.query(id));
      if (rest.length === 2 && rest[1] === CANCEL_PATH)
        return only('POST', method, () => this.jobApi.cancel(id));
    }
    return { status: 404, body: { error: 'no such path' } };
  }

  private healthReply(): Reply {
    if (this.health.isHealthy) return { status: 200, body: { status: 'ok' } };
    const error = this.ctx.machineTypes
      ? 'no peer and no state service'
      : 'machine types are not known';
    return { status: 503, body: { error } };
  }
}

function only(
  method: string,
  asked: string,
  handler: () => Reply | Promise<Reply>,
): Reply | Promise<Reply> {
  if (asked !== method) return { status: 405, body: { error: `use ${method}` } };
  return handler();
}
