/**
 * Leader election: follows the current leader, campaigns when there is none, and
 * holds a term that was won.
 */
import { decodeLeaderRecord, decodeTerm, type LeaderRecord } from '../../records/leader-record.js';
import { AbortedError, sleepUntilAborted } from '../../runtime/clock.js';
import { RequestPriority } from '../../runtime/request-budget.js';
import type { ControllerContext } from '../context.js';
import { LEADER_KEY, TERM_KEY } from './leader-key.js';
import { LeaderTerm, type LeaderTermStart } from './leader-term.js';
import { renewUntilTermEnds } from './lease-renewal.js';
import { requestTerm } from './term-request.js';

/**
 * A failed attempt is retried after this delay plus a random part of the jitter,
 * in renewal intervals.
 */
const RETRY_DELAY_RENEWAL_INTERVALS = 0.3;
const RETRY_JITTER_RENEWAL_INTERVALS = 0.4;

/**
 * The routine that follows the current leader, campaigns when there is none and
 * renews the lease of a term that it won. Safety relies on the state service's
 * fencing (the version of the leader key); clocks only bound how long a leader
 * continues without responses. At most one term is current at any time.
 */
export class LeaderElection {
  /** Name of the leader as last observed; null when no leader is known. */
  leaderNode: string | null = null;
  /** Term of the observed leader; null when no leader is known. */
  observedTerm: number | null = null;
  /**
   * The highest term learned from the state service, a peer or an election that
   * this controller won.
   */
  highestTerm = 0;
  /** The term that this controller holds; null while it does not lead. */
  currentTerm: LeaderTerm | null = null;
  /**
   * Lease of the latest election of this process, until the election is won or the
   * lease is known to have ended. As long as it lasts, the election may be applied.
   */
  private undecidedLease: number | null = null;
  private outageLogged = false;

  constructor(
    private readonly ctx: ControllerContext,
    /** Runs the leader's routines until the term's signal ends them. */
    private readonly runLeader: (term: LeaderTerm) => Promise<void>,
  ) {}

  /** Takes part in elections until the signal is aborted, which also ends the current term. */
  async run(signal: AbortSignal): Promise<void> {
    await this.takePart(signal);
    // An election that was interrupted must not be applied later.
    await this.endUndecidedLease().catch(() => {});
  }

  private async takePart(signal: AbortSignal): Promise<void> {
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
      const delayMs =
        ctx.timing.renewalIntervalMs *
        (RETRY_DELAY_RENEWAL_INTERVALS + Math.random() * RETRY_JITTER_RENEWAL_INTERVALS);
      await sleepUntilAborted(ctx.clock, delayMs, signal);
    }
  }

  /**
   * Records a term that a peer reports as its highest. Ends the current term if it
   * is an older one.
   */
  observeTerm(term: number): void {
    this.highestTerm = Math.max(this.highestTerm, term);
    if (this.currentTerm && this.currentTerm.number < term)
      this.currentTerm.resign('later term observed');
  }

  /**
   * Reads the leader record. Campaigns if there is none, revokes the lease of a
   * record that this node wrote, and otherwise waits for the record to change.
   */
  private async observeOrCampaign(signal: AbortSignal): Promise<void> {
    const { ctx } = this;
    const page = await ctx.state.listPage(LEADER_KEY, null, signal);
    const entry = page.entries.find((entry) => entry.key === LEADER_KEY);
    const record = entry ? decodeLeaderRecord(entry.value) : null;
    if (!record) {
      this.leaderNode = null;
      this.observedTerm = null;
      await this.campaign(signal);
    } else if (this.isOwnRecord(record)) await ctx.state.revokeLease(record.lease, signal);
    else await this.observe(record, page.revision, signal);
  }

  /**
   * Reports whether this node wrote the leader record. It is called while no term
   * of this process is current, so the record is either of the node's previous
   * process, which has ended and whose lease need not be waited for, or of an
   * election of this process that was considered lost but was applied late.
   */
  private isOwnRecord(record: LeaderRecord): boolean {
    return record.node === this.ctx.node || record.incarnation === this.ctx.incarnation;
  }

  /** Follows another leader until its key changes or the watch times out. */
  private observe(record: LeaderRecord, revision: number, signal: AbortSignal): Promise<unknown> {
    this.leaderNode = record.node;
    this.observedTerm = record.term;
    this.highestTerm = Math.max(this.highestTerm, record.term);
    return this.ctx.state.watch(LEADER_KEY, revision, this.ctx.timing.watchTimeoutMs, signal);
  }

  /**
   * Campaigns for the term after the last one, and holds it if the election is won.
   * Only one of several candidates wins, since the leader key must be absent and
   * the term unchanged. If the outcome of this process's previous election is not
   * known, its lease is ended first, so that it is not applied late.
   */
  private async campaign(signal: AbortSignal): Promise<void> {
    const { ctx } = this;
    await this.endUndecidedLease(signal);
    const lastTerm = await ctx.state.get(TERM_KEY, RequestPriority.leadership, signal);
    const number = (decodeTerm(lastTerm?.value) ?? 0) + 1;
    const leaseRequestedAt = ctx.clock.now();
    const lease = await ctx.state.grantLease(ctx.timing.leaderLeaseMs, signal);
    this.undecidedLease = lease;
    const { node, incarnation } = ctx;
    const record: LeaderRecord = { node, incarnation, term: number, lease };
    const version = await requestTerm(ctx, record, lastTerm?.version ?? 0, signal);
    // A late answer may arrive when this term is already over.
    const isOver = this.highestTerm > number;
    if (version === null || isOver) {
      await this.endUndecidedLease(signal);
      return;
    }
    this.undecidedLease = null;
    await this.holdTerm({ number, lease, version, leaseRequestedAt }, signal);
  }

  /**
   * Ends the lease of an election that was not won. Each way out of such an election
   * ends it here or leaves it to the next campaign or to the end of the process.
   */
  private async endUndecidedLease(signal?: AbortSignal): Promise<void> {
    if (this.undecidedLease === null) return;
    await this.ctx.state.revokeLease(this.undecidedLease, signal);
    this.undecidedLease = null;
  }

  /** Leads until the term ends, then revokes the lease. */
  private async holdTerm(start: LeaderTermStart, signal: AbortSignal): Promise<void> {
    const { ctx } = this;
    const term = new LeaderTerm(start, ctx);
    const endTerm = () => term.end();
    signal.addEventListener('abort', endTerm, { once: true });
    this.beginTerm(term);
    const routines = this.runRoutines(term);
    try {
      await renewUntilTermEnds(ctx, term);
    } finally {
      term.end();
      signal.removeEventListener('abort', endTerm);
      this.currentTerm = null;
      this.leaderNode = null;
      this.observedTerm = null;
      await routines;
    }
    // All routines have ended, so the next leader need not wait for the lease to expire.
    await ctx.state.revokeLease(term.lease).catch(() => {});
  }

  private beginTerm(term: LeaderTerm): void {
    this.currentTerm = term;
    this.leaderNode = this.ctx.node;
    this.observedTerm = term.number;
    this.highestTerm = Math.max(this.highestTerm, term.number);
    const { number, lease, version } = term;
    this.ctx.log.info({ term: number, lease, version }, 'leader term began');
  }

  /** Never rejects: an error in the leader's routines ends the term, not the process. */
  private runRoutines(term: LeaderTerm): Promise<void> {
    return this.runLeader(term).catch((err) => {
      if (term.signal.aborted) return;
      this.ctx.log.error({ err }, 'leader routines failed');
      term.resign('leader routines failed');
    });
  }
}
