/** Leader election: observes who leads, campaigns when nobody does, and holds a term that was won. */
import { decodeLeaderRecord, decodeTerm, type LeaderRecord } from '../../records/leader-record.js';
import { AbortedError, sleepUntilAborted } from '../../runtime/clock.js';
import { RequestPriority } from '../../runtime/request-budget.js';
import type { ControllerContext } from '../context.js';
import { LEADER_KEY, readBackElection, requestLeadership, TERM_KEY } from './leader-key.js';
import { LeaderTerm, type LeaderTermStart } from './leader-term.js';

/** The pause after a failed attempt, in renewal intervals: at least this, and up to the spread on top, by chance. */
const RETRY_DELAY = 0.3;
const RETRY_SPREAD = 0.4;

/**
 * The routine that observes who leads, campaigns when nobody does and renews
 * the lease of a term that it won. Safety rests on the state service's fencing
 * (the version of the leader key); clocks only bound how long a leader without
 * answers goes on. At most one term is current at any time.
 */
export class LeaderElection {
  /** The node that leads, as far as is known. */
  leader: string | null = null;
  /** The term of that leader. */
  observedTerm: number | null = null;
  /** The highest term known from the state service, a peer or this controller. */
  highestTerm = 0;
  /** The term that this controller holds. */
  current: LeaderTerm | null = null;
  private outageLogged = false;

  constructor(
    private readonly ctx: ControllerContext,
    /** Runs the leader's routines until the term's signal ends them. */
    private readonly runLeader: (term: LeaderTerm) => Promise<void>,
  ) {}

  /** Takes part in elections until the signal is aborted; a term that is current ends with it. */
  async run(signal: AbortSignal): Promise<void> {
    const { ctx } = this;
    while (!signal.aborted) {
      try {
        await this.observeOrCampaign(signal);
        this.outageLogged = false;
        continue;
      } catch (err) {
        if (signal.aborted || err instanceof AbortedError) return;
        if (!this.outageLogged) ctx.log.info({ err }, 'state service unreachable');
        this.outageLogged = true;
      }
      const delayMs = ctx.timing.renewMs * (RETRY_DELAY + Math.random() * RETRY_SPREAD);
      await sleepUntilAborted(ctx.clock, delayMs, signal);
    }
  }

  /** Some controller knows of this term: an older one of ours has ended. */
  observeTerm(term: number): void {
    this.highestTerm = Math.max(this.highestTerm, term);
    if (this.current && this.current.number < term) this.current.resign('later term observed');
  }

  /** Reads who leads; waits for a change of that, or campaigns when nobody does. */
  private async observeOrCampaign(signal: AbortSignal): Promise<void> {
    const { ctx } = this;
    const page = await ctx.state.listPage(LEADER_KEY, null, signal);
    const entry = page.entries.find((entry) => entry.key === LEADER_KEY);
    const record = entry ? decodeLeaderRecord(entry.value) : null;
    if (!record) {
      this.leader = null;
      this.observedTerm = null;
      await this.campaign(signal);
    } else if (this.isOwnRecord(record)) await ctx.state.revoke(record.lease, signal);
    else await this.observe(record, page.revision, signal);
  }

  /**
   * The leader key is of this node while no term of this process is current.
   * Either it is of the former process, which is dead, so that its lease need
   * not be waited for; or an election of this process that was taken for lost
   * went through late.
   */
  private isOwnRecord(record: LeaderRecord): boolean {
    return record.node === this.ctx.node || record.incarnation === this.ctx.incarnation;
  }

  /** Follows another leader until its key changes or the watch times out. */
  private observe(record: LeaderRecord, revision: number, signal: AbortSignal): Promise<unknown> {
    this.leader = record.node;
    this.observedTerm = record.term;
    this.highestTerm = Math.max(this.highestTerm, record.term);
    return this.ctx.state.watch(LEADER_KEY, revision, this.ctx.timing.watchTimeoutMs, signal);
  }

  /**
   * Campaigns for the term after the last one, and holds it if it is won. Of
   * several controllers one wins: the leader key must be absent and the term
   * unchanged. A transaction without an answer is read back before either
   * outcome is believed.
   */
  private async campaign(signal: AbortSignal): Promise<void> {
    const { ctx } = this;
    const lastTerm = await ctx.state.get(TERM_KEY, RequestPriority.leadership, signal);
    const number = (decodeTerm(lastTerm?.value) ?? 0) + 1;
    const leaseRequestedAt = ctx.clock.now();
    const lease = await ctx.state.grant(ctx.timing.leaseMs, signal);
    const { node, incarnation } = ctx;
    const record: LeaderRecord = { node, incarnation, term: number, lease };
    let version: number;
    try {
      const result = await requestLeadership(ctx, record, lastTerm?.version ?? 0, signal);
      if (!result.ok) {
        await ctx.state.revoke(lease, signal);
        return;
      }
      version = result.revision;
    } catch {
      const ownVersion = await readBackElection(ctx, record, signal);
      if (ownVersion === null) return;
      version = ownVersion;
    }
    await this.holdTerm({ number, version, leaseRequestedAt }, lease, signal);
  }

  /** Leads for as long as the lease is renewed, then revokes it. */
  private async holdTerm(
    start: LeaderTermStart,
    lease: number,
    signal: AbortSignal,
  ): Promise<void> {
    const { ctx } = this;
    const term = new LeaderTerm(start, ctx);
    const endTerm = () => term.end();
    signal.addEventListener('abort', endTerm, { once: true });
    this.beginTerm(term);
    const routines = this.runRoutines(term);
    try {
      await this.renewUntilEnded(term, lease);
    } finally {
      term.end();
      signal.removeEventListener('abort', endTerm);
      this.current = null;
      this.leader = null;
      this.observedTerm = null;
      await routines;
    }
    // With its routines ended nothing of this term is under way: the next leader need not wait for the lease.
    await ctx.state.revoke(lease).catch(() => {});
  }

  private beginTerm(term: LeaderTerm): void {
    this.current = term;
    this.leader = this.ctx.node;
    this.observedTerm = term.number;
    this.highestTerm = Math.max(this.highestTerm, term.number);
    this.ctx.log.info({ term: term.number }, 'leader term began');
  }

  /** Never rejects: a fault in the leader's routines ends the term, not the process. */
  private runRoutines(term: LeaderTerm): Promise<void> {
    return this.runLeader(term).catch((err) => {
      if (term.signal.aborted) return;
      this.ctx.log.error({ err }, 'leader routines failed');
      term.resign('leader routines failed');
    });
  }

  private async renewUntilEnded(term: LeaderTerm, lease: number): Promise<void> {
    const { clock, timing } = this.ctx;
    try {
      while (!term.signal.aborted) {
        await clock.sleep(timing.renewMs, term.signal);
        // None waits for the one before: a single slow answer must not cost the proof, nor two the lease.
        void this.renew(term, lease);
      }
    } catch (error) {
      if (!(error instanceof AbortedError)) throw error;
    }
  }

  /** One renewal of the lease: proves leadership as of when it was sent, or ends a term that is of no use. */
  private async renew(term: LeaderTerm, lease: number): Promise<void> {
    const { clock, state, log } = this.ctx;
    const sentAt = clock.now();
    try {
      if (await state.touch(lease, term.signal)) term.setProvenAt(sentAt);
      else term.resign('lease ended');
      if (term.lacksCancellationsForTooLong()) term.resign('cancellations unknown for too long');
    } catch (err) {
      if (term.signal.aborted) return;
      log.debug({ err }, 'lease renewal not answered');
      if (term.isUnprovenForTooLong()) term.resign('leadership unproven for too long');
    }
  }
}
