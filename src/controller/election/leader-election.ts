import {
  decodeLeaderRecord,
  decodeTerm,
  encodeLeaderRecord,
  encodeTerm,
  type LeaderRecord,
} from '../../records/leader-record.js';
import { AbortedError, sleepUntilAborted } from '../../runtime/clock.js';
import { RequestPriority } from '../../runtime/request-budget.js';
import type { ControllerContext } from '../context.js';

export const LEADER_KEY = 'leader';
const TERM_KEY = 'term';

/** One term that this node won. */
export interface LeaderTerm {
  number: number;
  /** Version of the leader key: every write of this term is conditioned on it. */
  version: number;
  signal: AbortSignal;
  /** Leadership is proven now: a renewal sent within the proven time was answered. */
  isProven(): boolean;
  /** Proven, and the news of jobs is as fresh: what other nodes have confirmed as cancelled is not started. */
  mayStartTasks(): boolean;
  /** Reports may still be answered: the workers' leases would run out in time for a cancellation. */
  mayRenewAgentLeases(): boolean;
  /** All that was durable of jobs at this time, cancellations above all, has been applied. */
  setCancellationsKnownAt(at: number): void;
  resign(why: string): void;
}

/**
 * The routine that stands for election, renews a won lease and follows who
 * leads. It rests on the state service's fencing; clocks only bound how long
 * a silent leader goes on.
 */
export class LeaderElection {
  /** The node that leads as far as is known. */
  leader: string | null = null;
  /** The term of that leader. */
  observedTerm: number | null = null;
  /** The highest term heard of, from anybody. */
  highestTerm = 0;
  current: LeaderTerm | null = null;
  private outageLogged = false;

  constructor(
    private readonly ctx: ControllerContext,
    /** Runs the leader's duties until its signal ends them. */
    private readonly runLeader: (term: LeaderTerm) => Promise<void>,
  ) {}

  async run(signal: AbortSignal): Promise<void> {
    const { ctx } = this;
    while (!signal.aborted) {
      try {
        await this.observeOrCampaign(signal);
        this.outageLogged = false;
        continue;
      } catch (error) {
        if (signal.aborted || error instanceof AbortedError) return;
        if (!this.outageLogged)
          ctx.log.info({ error: String((error as Error).message) }, 'state service out of reach');
        this.outageLogged = true;
      }
      await sleepUntilAborted(ctx.clock, ctx.timing.renewMs * (0.3 + Math.random() * 0.4), signal);
    }
  }

  /** Somebody knows of this term: an older one of ours is over. */
  observeTerm(term: number): void {
    this.highestTerm = Math.max(this.highestTerm, term);
    if (this.current && this.current.number < term) this.current.resign('a later term is known');
  }

  /** Looks who leads; waits for a change, or stands when nobody does. */
  private async observeOrCampaign(signal: AbortSignal): Promise<void> {
    const { ctx } = this;
    const page = await ctx.state.listPage(LEADER_KEY, null, signal);
    const entry = page.entries.find((entry) => entry.key === LEADER_KEY);
    const record = entry ? decodeLeaderRecord(entry.value) : null;
    if (entry && record) {
      if (record.node === ctx.node && record.incarnation !== ctx.incarnation) {
        // This node's former process is dead; its lease need not be waited for.
        await ctx.state.revoke(record.lease, signal);
        return;
      }
      if (record.incarnation !== ctx.incarnation) {
        this.leader = record.node;
        this.observedTerm = record.term;
        this.highestTerm = Math.max(this.highestTerm, record.term);
        await ctx.state.watch(LEADER_KEY, page.revision, ctx.timing.watchTimeoutMs, signal);
        return;
      }
      // An own key with no term running: a request that was taken for lost went through.
      await ctx.state.revoke(record.lease, signal);
      return;
    }
    this.leader = null;
    this.observedTerm = null;
    await this.campaign(signal);
  }

  private async campaign(signal: AbortSignal): Promise<void> {
    const { ctx } = this;
    const old = await ctx.state.get(TERM_KEY, RequestPriority.lead, signal);
    const term = (decodeTerm(old?.value) ?? 0) + 1;
    const grantedAt = ctx.clock.now();
    const lease = await ctx.state.grant(ctx.timing.leaseMs, signal);
    const record: LeaderRecord = { node: ctx.node, incarnation: ctx.incarnation, term, lease };
    let version: number;
    try {
      const result = await ctx.state.transact(
        [
          { key: LEADER_KEY, version: 0 },
          { key: TERM_KEY, version: old?.version ?? 0 },
        ],
        [
          { op: 'put', key: LEADER_KEY, value: encodeLeaderRecord(record), lease },
          { op: 'put', key: TERM_KEY, value: encodeTerm(term) },
        ],
        RequestPriority.lead,
        signal,
      );
      if (!result.ok) {
        await ctx.state.revoke(lease, signal);
        return;
      }
      version = result.revision;
    } catch {
      // Neither outcome may be believed before it is read back; the next turn does so.
      await ctx.clock.sleep(ctx.timing.renewMs * 0.2, signal);
      const entry = await ctx.state.get(LEADER_KEY, RequestPriority.lead, signal);
      const found = entry ? decodeLeaderRecord(entry.value) : null;
      if (!entry || found?.incarnation !== ctx.incarnation || found.term !== term) {
        await ctx.state.revoke(lease, signal);
        return;
      }
      version = entry.version;
    }
    await this.holdTerm(term, version, lease, grantedAt, signal);
  }

  private async holdTerm(
    number: number,
    version: number,
    lease: number,
    grantedAt: number,
    signal: AbortSignal,
  ): Promise<void> {
    const { ctx } = this;
    const { clock, timing } = ctx;
    const ended = new AbortController();
    const stop = () => ended.abort();
    signal.addEventListener('abort', stop, { once: true });
    let provenAt = grantedAt;
    // Before the jobs have been read nothing is known of cancellations, not even of old ones: several
    // leaders in a row, none of which gets as far, must not renew the workers' leases for one another.
    let informedAt = Number.NEGATIVE_INFINITY;
    const term: LeaderTerm = {
      number: number,
      version,
      signal: ended.signal,
      isProven: () => !ended.signal.aborted && clock.now() - provenAt < timing.leadershipProofMs,
      mayStartTasks: () => term.isProven() && clock.now() - informedAt < timing.leadershipProofMs,
      mayRenewAgentLeases: () =>
        !ended.signal.aborted &&
        clock.now() - Math.min(provenAt, informedAt) < timing.agentRenewalMs,
      setCancellationsKnownAt: (at) => {
        informedAt = Math.max(informedAt, at);
      },
      resign: (why) => {
        if (ended.signal.aborted) return;
        ctx.log.info({ term: number, why }, 'leadership ends');
        ended.abort();
      },
    };
    this.current = term;
    this.leader = ctx.node;
    this.observedTerm = number;
    this.highestTerm = Math.max(this.highestTerm, number);
    ctx.log.info({ term: number }, 'leadership won');
    const work = this.runLeader(term).catch((error) => {
      if (!ended.signal.aborted) {
        ctx.log.error({ error: String((error as Error).stack) }, 'leader duty failed');
        term.resign('duty failed');
      }
    });
    const renew = async () => {
      const sentAt = clock.now();
      try {
        if (await ctx.state.touch(lease, ended.signal)) provenAt = Math.max(provenAt, sentAt);
        else term.resign('lease ended');
        // Its renewals are answered and its readings are not: it serves nobody, and another may.
        if (clock.now() - Math.max(grantedAt, informedAt) >= timing.agentRenewalMs)
          term.resign('no news of jobs for too long');
      } catch (error) {
        if (ended.signal.aborted) return;
        ctx.log.debug({ error: String((error as Error).message) }, 'renewal not answered');
        // With the answers to reports over there is nothing left to hold on to.
        if (clock.now() - provenAt >= timing.agentRenewalMs) term.resign('unproven for too long');
      }
    };
    try {
      while (!ended.signal.aborted) {
        await clock.sleep(timing.renewMs, ended.signal);
        // None waits for the one before: a single slow answer must not cost the proof, nor two the lease.
        void renew();
      }
    } catch (error) {
      if (!(error instanceof AbortedError)) throw error;
    } finally {
      ended.abort();
      signal.removeEventListener('abort', stop);
      this.current = null;
      this.leader = null;
      this.observedTerm = null;
      await work;
    }
    // With the duties ended nothing of this term is under way: the next leader need not wait.
    await ctx.state.revoke(lease).catch(() => {});
  }
}
