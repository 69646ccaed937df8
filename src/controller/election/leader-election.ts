import {
  decodeLeaderRecord,
  decodeTerm,
  encodeLeaderRecord,
  encodeTerm,
  type LeaderRecord,
} from '../../records/leader-record.js';
import { pause, Stopped } from '../../runtime/clock.js';
import { Priority } from '../../runtime/request-budget.js';
import type { Context } from '../context.js';

export const LEADER_KEY = 'leader';
const TERM_KEY = 'term';

/** One term that this node won. */
export interface Term {
  term: number;
  /** Version of the leader key: every write of this term is conditioned on it. */
  version: number;
  signal: AbortSignal;
  /** Leadership is proven now: a renewal sent within the proven time was answered. */
  proven(): boolean;
  /** Proven, and the news of jobs is as fresh: what other nodes have confirmed as cancelled is not started. */
  mayStart(): boolean;
  /** Reports may still be answered: the workers' leases would run out in time for a cancellation. */
  mayAnswer(): boolean;
  /** All that was durable of jobs at this time, cancellations above all, has been applied. */
  informed(at: number): void;
  resign(why: string): void;
}

/**
 * The routine that stands for election, renews a won lease and follows who
 * leads. It rests on the state service's fencing; clocks only bound how long
 * a silent leader goes on.
 */
export class Leadership {
  /** The node that leads as far as is known. */
  leader: string | null = null;
  /** The term of that leader. */
  knownTerm: number | null = null;
  /** The highest term heard of, from anybody. */
  highest = 0;
  current: Term | null = null;
  private announcedRefusal = false;

  constructor(
    private readonly ctx: Context,
    /** Runs the leader's duties until its signal ends them. */
    private readonly lead: (term: Term) => Promise<void>,
  ) {}

  async run(signal: AbortSignal): Promise<void> {
    const { ctx } = this;
    while (!signal.aborted) {
      try {
        await this.turn(signal);
        this.announcedRefusal = false;
        continue;
      } catch (error) {
        if (signal.aborted || error instanceof Stopped) return;
        if (!this.announcedRefusal)
          ctx.log.info({ error: String((error as Error).message) }, 'state service out of reach');
        this.announcedRefusal = true;
      }
      await pause(ctx.clock, ctx.timing.renewMs * (0.3 + Math.random() * 0.4), signal);
    }
  }

  /** Somebody knows of this term: an older one of ours is over. */
  heardOf(term: number): void {
    this.highest = Math.max(this.highest, term);
    if (this.current && this.current.term < term) this.current.resign('a later term is known');
  }

  /** Looks who leads; waits for a change, or stands when nobody does. */
  private async turn(signal: AbortSignal): Promise<void> {
    const { ctx } = this;
    const page = await ctx.state.listPage(LEADER_KEY, null, signal);
    const entry = page.entries.find((e) => e.key === LEADER_KEY);
    const record = entry ? decodeLeaderRecord(entry.value) : null;
    if (entry && record) {
      if (record.node === ctx.node && record.incarnation !== ctx.incarnation) {
        // This node's former process is dead; its lease need not be waited for.
        await ctx.state.revoke(record.lease, signal);
        return;
      }
      if (record.incarnation !== ctx.incarnation) {
        this.leader = record.node;
        this.knownTerm = record.term;
        this.highest = Math.max(this.highest, record.term);
        await ctx.state.watch(LEADER_KEY, page.revision, ctx.timing.watchMs, signal);
        return;
      }
      // An own key with no term running: a request that was taken for lost went through.
      await ctx.state.revoke(record.lease, signal);
      return;
    }
    this.leader = null;
    this.knownTerm = null;
    await this.stand(signal);
  }

  private async stand(signal: AbortSignal): Promise<void> {
    const { ctx } = this;
    const old = await ctx.state.get(TERM_KEY, Priority.lead, signal);
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
        Priority.lead,
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
      const entry = await ctx.state.get(LEADER_KEY, Priority.lead, signal);
      const found = entry ? decodeLeaderRecord(entry.value) : null;
      if (!entry || found?.incarnation !== ctx.incarnation || found.term !== term) {
        await ctx.state.revoke(lease, signal);
        return;
      }
      version = entry.version;
    }
    await this.hold(term, version, lease, grantedAt, signal);
  }

  private async hold(
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
    const term: Term = {
      term: number,
      version,
      signal: ended.signal,
      proven: () => !ended.signal.aborted && clock.now() - provenAt < timing.provenMs,
      mayStart: () => term.proven() && clock.now() - informedAt < timing.provenMs,
      mayAnswer: () =>
        !ended.signal.aborted && clock.now() - Math.min(provenAt, informedAt) < timing.answerMs,
      informed: (at) => {
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
    this.knownTerm = number;
    this.highest = Math.max(this.highest, number);
    ctx.log.info({ term: number }, 'leadership won');
    const work = this.lead(term).catch((error) => {
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
        if (clock.now() - Math.max(grantedAt, informedAt) >= timing.answerMs)
          term.resign('no news of jobs for too long');
      } catch (error) {
        if (ended.signal.aborted) return;
        ctx.log.debug({ error: String((error as Error).message) }, 'renewal not answered');
        // With the answers to reports over there is nothing left to hold on to.
        if (clock.now() - provenAt >= timing.answerMs) term.resign('unproven for too long');
      }
    };
    try {
      while (!ended.signal.aborted) {
        await clock.sleep(timing.renewMs, ended.signal);
        // None waits for the one before: a single slow answer must not cost the proof, nor two the lease.
        void renew();
      }
    } catch (error) {
      if (!(error instanceof Stopped)) throw error;
    } finally {
      ended.abort();
      signal.removeEventListener('abort', stop);
      this.current = null;
      this.leader = null;
      this.knownTerm = null;
      await work;
    }
    // With the duties ended nothing of this term is under way: the next leader need not wait.
    await ctx.state.revoke(lease).catch(() => {});
  }
}
