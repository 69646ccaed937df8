import type { Logger } from 'pino';
import { WorkerClient } from '../clients/agent-client.js';
import { CloudClient } from '../clients/cloud-client.js';
import { StateClient } from '../clients/state-client.js';
import type { Policy } from '../config/policy.js';
import { type Platform, splitAddress, teamsOf } from '../config/settings.js';
import { stateLimitsOf } from '../config/state-limits.js';
import { timingOf } from '../config/timing.js';
import type { Message } from '../http/parser.js';
import { type Reply, serve } from '../http/server.js';
import { CANCEL, PATHS, parseReport } from '../protocol/wire.js';
import { type Clock, pause } from '../runtime/clock.js';
import { Users, unavailable } from './api/job-api.js';
import type { Context } from './context.js';
import { Leadership } from './election/leader-election.js';
import { Health } from './health.js';
import { Reports } from './heartbeats/heartbeat-handler.js';
import { commandSockets, corePolicy, Leader } from './leader/leader.js';
import { readTypes } from './machine-types.js';
import { COUNTS_PER_STATUS, Peers } from './membership/peers.js';
import { MemoryGuard, processMemory } from './memory-guard.js';

/** Sockets kept free for the state service, the cloud, peers and workers' addresses, as a part of the limit. */
const OWN_SOCKETS = 0.2;

/** The part of the state service's changes a second that one controller may take: mostly the leader writes. */
const CHANGES_SHARE = 0.6;

/** One controller: its sockets and its long-lived duties, until the signal ends them. */
export class Node {
  private readonly ctx: Context;
  private readonly cloud: CloudClient;
  private readonly state: StateClient;
  private readonly users: Users;
  private readonly leadership: Leadership;
  private readonly reports: Reports;
  private readonly peers: Peers;
  private readonly health: Health;
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
      address: splitAddress(platform.external.state),
      requestsPerS: (state.rps * 0.9) / Math.max(1, size),
      changesPerS: limits.changesPerS * CHANGES_SHARE,
      loweredChangesPerS: limits.loweredChangesPerS * CHANGES_SHARE,
      timeoutMs: timing.stateTimeoutMs,
      clock,
    });
    this.cloud = new CloudClient({
      address: splitAddress(platform.external.cloud),
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
      teams: teamsOf(platform),
      state: this.state,
      clock,
      log,
      types: null,
    };
    this.memory = new MemoryGuard(this.ctx, processMemory(platform.settings.quota.memory_mb));
    this.users = new Users(
      this.ctx,
      (id) => {
        const job = this.leader?.cluster.jobs.get(id);
        return job ? { done: job.done, running: job.bound.size } : this.peers.countsOf(id);
      },
      (id, revision) => {
        this.leader?.cancelled(id, revision);
        return this.peers.announce(id, revision);
      },
      () => this.memory.isShort || this.peers.leaderMemoryIsShort(),
    );
    this.leadership = new Leadership(this.ctx, async (term) => {
      const workers = new WorkerClient(timing.commandTimeoutMs, commandSockets(platform));
      const leader = new Leader(this.ctx, this.cloud, term, corePolicy(policy), workers);
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
        term: this.leadership.highest,
        leading: this.leader !== null,
        stateOk: this.state.troubleSince === null,
        memoryShort: this.memory.isShort,
        counts: this.leader?.counts(COUNTS_PER_STATUS) ?? [],
      }),
      onTerm: (term) => this.leadership.heardOf(term),
      serveUser: (method, target, body) => this.serveUser(method, target, body),
      cancelled: (job, revision) => this.leader?.cancelled(job, revision),
      takeReport: async (body) => this.reports.lead(parseReport(JSON.parse(body.toString())), true),
    });
    this.reports = new Reports(
      this.ctx,
      this.leadership,
      () => this.leader,
      this.peers,
      (address) => WorkerClient.show(address, timing.commandTimeoutMs * 0.4),
    );
    this.health = new Health(this.ctx, this.state, this.peers);
  }

  async run(signal: AbortSignal): Promise<void> {
    const { ctx } = this;
    const { host, port } = splitAddress(this.platform.bind);
    await serve(
      {
        host,
        port,
        handler: (request) => this.route(request),
        maxConnections: Math.floor(this.platform.settings.quota.max_sockets * (1 - OWN_SOCKETS)),
        requestMs: ctx.timing.userTimeoutMs * 2,
        idleMs: ctx.timing.workerLeaseMs * 3,
        // Workers and users that are still there are heard more often.
        spareMs: ctx.timing.silentMs * 0.5,
        onError: (error) => ctx.log.error({ error: String((error as Error).stack) }, 'request'),
      },
      signal,
    );
    ctx.log.info({ bind: this.platform.bind }, 'listening');
    await Promise.all([
      this.learnTypes(signal),
      this.leadership.run(signal),
      this.peers.run(signal),
      this.memory.run(signal),
    ]);
    this.state.close();
    this.cloud.close();
  }

  private async learnTypes(signal: AbortSignal): Promise<void> {
    const { ctx } = this;
    while (!ctx.types && !signal.aborted) {
      try {
        ctx.types = await readTypes(ctx, this.cloud, signal);
      } catch (error) {
        if (signal.aborted) return;
        ctx.log.debug({ error: String((error as Error).message) }, 'machine types not read');
      }
      if (!ctx.types) await pause(ctx.clock, ctx.timing.renewMs * 0.5, signal);
    }
  }

  private async route(request: Message): Promise<Reply> {
    const target = request.target.split('?', 1)[0] as string;
    if (target === PATHS.report)
      return only('POST', request.method, () => this.reports.handle(request.body));
    if (target === PATHS.health) return only('GET', request.method, () => this.healthReply());
    return this.user(request.method, target, request.body);
  }

  /** Serves a user here or, while the state service fails this node alone, through a peer. */
  private async user(method: string, target: string, body: Buffer): Promise<Reply> {
    if (this.health.inTrouble() && target.startsWith(PATHS.jobs)) {
      const passed = await this.pass(method, target, body);
      if (passed) return passed;
      if (this.health.unanswered()) return unavailable('the state service is out of reach');
    }
    const reply = await this.serveUser(method, target, body);
    if (reply.status !== 503) return reply;
    return (await this.pass(method, target, body)) ?? reply;
  }

  private async pass(method: string, target: string, body: Buffer): Promise<Reply | null> {
    const peer = this.peers.served();
    if (peer === null) return null;
    try {
      const reply = await this.peers.passUser(peer, method, target, body);
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
    if (target === PATHS.jobs) return only('POST', method, () => this.users.submit(body));
    if (target.startsWith(`${PATHS.jobs}/`)) {
      const rest = target.slice(PATHS.jobs.length + 1).split('/');
      const id = rest[0] as string;
      if (rest.length === 1) return only('GET', method, () => this.users.query(id));
      if (rest.length === 2 && rest[1] === CANCEL)
        return only('POST', method, () => this.users.cancel(id));
    }
    return { status: 404, body: { error: 'no such path' } };
  }

  private healthReply(): Reply {
    if (this.health.ok) return { status: 200, body: { status: 'ok' } };
    const error = this.ctx.types ? 'no peer and no state service' : 'machine types are not known';
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
