import type { Logger } from 'pino';
import { CloudClient } from '../clients/cloud.js';
import { StateClient } from '../clients/state.js';
import type { Policy } from '../config/policy.js';
import { type Platform, splitAddress, teamsOf } from '../config/settings.js';
import { timingOf } from '../config/timing.js';
import type { Message } from '../http/parser.js';
import { type Reply, serve } from '../http/server.js';
import { notLeaderAnswer, PATHS, parseReport, reportAnswer, WITHDRAW } from '../protocol/wire.js';
import { type Clock, Stopped } from './clock.js';
import type { Context } from './context.js';
import { corePolicy, Leader } from './leader.js';
import { Leadership } from './leadership.js';
import { readTypes } from './types.js';
import { Users } from './users.js';

/** Sockets kept free for the state service, the cloud, peers and workers' addresses, as a part of the limit. */
const OWN_SOCKETS = 0.25;

/** One controller: its sockets and its long-lived duties, until the signal ends them. */
export class Node {
  private readonly ctx: Context;
  private readonly cloud: CloudClient;
  private readonly state: StateClient;
  private readonly users: Users;
  private readonly leadership: Leadership;
  private leader: Leader | null = null;

  constructor(
    private readonly platform: Platform,
    policy: Policy,
    clock: Clock,
    log: Logger,
    incarnation: string,
  ) {
    const timing = timingOf(platform);
    const { state, cloud, size } = platform.settings;
    // The controllers share the limits; the leader's own work is small beside them.
    this.state = new StateClient({
      address: splitAddress(platform.external.state),
      requestsPerS: (state.rps * 0.9) / Math.max(1, size),
      changesPerS: state.write_rps * 0.6,
      timeoutMs: timing.stateTimeoutMs,
      connections: 16,
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
      teams: teamsOf(platform),
      state: this.state,
      clock,
      log,
      types: null,
    };
    this.users = new Users(this.ctx, (id) => {
      const job = this.leader?.cluster.jobs.get(id);
      return job ? { done: job.done, running: job.bound.size } : null;
    });
    this.leadership = new Leadership(this.ctx, async (term) => {
      const leader = new Leader(this.ctx, this.cloud, term, corePolicy(policy));
      this.leader = leader;
      try {
        await leader.run();
      } finally {
        this.leader = null;
      }
    });
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
        onError: (error) => ctx.log.error({ error: String((error as Error).stack) }, 'request'),
      },
      signal,
    );
    ctx.log.info({ node: ctx.node, bind: this.platform.bind }, 'listening');
    await Promise.all([this.learnTypes(signal), this.leadership.run(signal)]);
    this.state.close();
    this.cloud.close();
  }

  private async learnTypes(signal: AbortSignal): Promise<void> {
    const { ctx } = this;
    while (!ctx.types && !signal.aborted) {
      try {
        ctx.types = await readTypes(ctx, this.cloud, signal);
      } catch (error) {
        if (signal.aborted || error instanceof Stopped) return;
        await ctx.clock.sleep(ctx.timing.renewMs * 0.5, signal);
      }
    }
  }

  private route(request: Message): Reply | Promise<Reply> {
    const target = request.target.split('?', 1)[0] as string;
    if (target === PATHS.report) return this.only('POST', request, () => this.report(request.body));
    if (target === PATHS.health) return this.only('GET', request, () => this.health());
    if (target === PATHS.jobs)
      return this.only('POST', request, () => this.users.submit(request.body));
    if (target.startsWith(`${PATHS.jobs}/`)) {
      const rest = target.slice(PATHS.jobs.length + 1).split('/');
      const id = rest[0] as string;
      if (rest.length === 1) return this.only('GET', request, () => this.users.query(id));
      if (rest.length === 2 && rest[1] === WITHDRAW)
        return this.only('POST', request, () => this.users.withdraw(id));
    }
    return { status: 404, body: { error: 'no such path' } };
  }

  private only(
    method: string,
    request: Message,
    handler: () => Reply | Promise<Reply>,
  ): Reply | Promise<Reply> {
    if (request.method !== method) return { status: 405, body: { error: `use ${method}` } };
    return handler();
  }

  private health(): Reply {
    return this.ctx.types
      ? { status: 200, body: { status: 'ok' } }
      : { status: 503, body: { error: 'machine types are not known yet' } };
  }

  private report(body: Buffer): Reply {
    const { ctx, leadership } = this;
    const term = leadership.current;
    if (!term || !this.leader) {
      const leader = leadership.leader === ctx.node ? null : leadership.leader;
      return { status: 421, body: notLeaderAnswer(leader) };
    }
    let report: ReturnType<typeof parseReport>;
    try {
      report = parseReport(JSON.parse(body.toString()));
    } catch (error) {
      return { status: 400, body: { error: String((error as Error).message) } };
    }
    if (report.token > term.term) {
      // The worker has answered to a later leader.
      term.resign('a report carries a higher token');
      return { status: 421, body: notLeaderAnswer(null) };
    }
    if (!term.mayAnswer()) return { status: 503, body: { error: 'leadership is not proven' } };
    return { status: 200, body: reportAnswer(term.term, this.leader.report(report)) };
  }
}
