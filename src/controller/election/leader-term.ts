/**
 * One leader term of this controller: for how long its leadership is proven
 * and what may be done on its strength. The invariants are explained in
 * docs/design.md, "Safety" (Proof in time) and "One bound for cancellations".
 */
import type { ControllerContext } from '../context.js';

/** Why a leader term ended before its process did; logged only. */
export type ResignReason =
  | 'later term observed'
  | 'lease ended'
  | 'leadership unproven for too long'
  | 'cancellations unknown for too long'
  | 'leader key held by another controller'
  | 'heartbeat carries a higher fencing token'
  | 'command reply carries a higher fencing token'
  | 'leader routines failed'
  | `leader routine ${string} failed`;

/** What an election gives a term to start from. */
export interface LeaderTermStart {
  number: number;
  /** Version of the leader key. */
  version: number;
  /** When the term's lease was asked for, on the steady clock: the first proof of leadership. */
  leaseRequestedAt: number;
}

/**
 * A term that this controller won. It ends once, by `resign` or `end`, and
 * proves nothing from then on. All times are of the steady clock, in
 * milliseconds.
 */
export class LeaderTerm {
  readonly number: number;
  /** Version of the leader key: every write of this term is conditioned on it. */
  readonly version: number;
  /** Aborted when the term ends; all routines of the leader run under it. */
  readonly signal: AbortSignal;
  private readonly ended = new AbortController();
  private readonly leaseRequestedAt: number;
  /** When the latest renewal that succeeded was sent. */
  private provenAt: number;
  /**
   * Before the jobs have been read no cancellation is known, not even an old
   * one: several leaders in a row, none of which gets that far, must not renew
   * the agents' leases for one another.
   */
  private cancellationsKnownAt = Number.NEGATIVE_INFINITY;

  constructor(
    start: LeaderTermStart,
    private readonly ctx: Pick<ControllerContext, 'clock' | 'timing' | 'log'>,
  ) {
    this.number = start.number;
    this.version = start.version;
    this.leaseRequestedAt = start.leaseRequestedAt;
    this.provenAt = start.leaseRequestedAt;
    this.signal = this.ended.signal;
  }

  /**
   * Whether leadership is proven now: a renewal that was sent within
   * `leadershipProofMs`, three quarters of the lease, succeeded. Invariant:
   * while this holds, the lease has not run out, so no other controller can
   * have won an election. An arrow property, since clients take it as a guard
   * that they evaluate when a request leaves.
   */
  readonly isProven = (): boolean => {
    const { clock, timing } = this.ctx;
    return !this.signal.aborted && clock.now() - this.provenAt < timing.leadershipProofMs;
  };

  /**
   * Whether tasks may be started: leadership is proven, and cancellations are
   * known as of equally recently. Invariant: nothing starts of a job whose
   * cancellation another controller has confirmed to its user, as that one
   * announces it first or waits out this time (docs/design.md, "No start after
   * a confirmed cancellation").
   */
  mayStartTasks(): boolean {
    const { clock, timing } = this.ctx;
    return this.isProven() && clock.now() - this.cancellationsKnownAt < timing.leadershipProofMs;
  }

  /**
   * Whether heartbeats may be answered, which renews the agents' leases. Holds
   * for longer than the proof, for `agentRenewalMs` after the older of proof
   * and knowledge of cancellations. Invariant: a lease renewed by the last
   * answer runs out within `cancel_s` of any cancellation that this leader
   * does not know of (docs/design.md, "One bound for cancellations").
   */
  mayRenewAgentLeases(): boolean {
    const { clock, timing } = this.ctx;
    const knownAt = Math.min(this.provenAt, this.cancellationsKnownAt);
    return !this.signal.aborted && clock.now() - knownAt < timing.agentRenewalMs;
  }

  /**
   * Every change of jobs, cancellations above all, that was durable at `at`
   * has been applied. `at` is when the watch or list was requested, not when
   * it was answered: the answer covers nothing later. Never moves backwards.
   */
  setCancellationsKnownAt(at: number): void {
    this.cancellationsKnownAt = Math.max(this.cancellationsKnownAt, at);
  }

  /** A renewal sent at `sentAt` succeeded. Renewals overlap, so an older one may be answered last. */
  setProvenAt(sentAt: number): void {
    this.provenAt = Math.max(this.provenAt, sentAt);
  }

  /** Without proof for as long as agents' leases may be renewed: nothing is left that this term may do. */
  isUnprovenForTooLong(): boolean {
    const { clock, timing } = this.ctx;
    return clock.now() - this.provenAt >= timing.agentRenewalMs;
  }

  /**
   * Cancellations have been unknown since the term began, or since the last
   * answer, for as long as agents' leases may be renewed: the state service
   * answers the renewals of this leader but not its reads, so it serves
   * nobody, and another controller may.
   */
  lacksCancellationsForTooLong(): boolean {
    const { clock, timing } = this.ctx;
    const since = Math.max(this.leaseRequestedAt, this.cancellationsKnownAt);
    return clock.now() - since >= timing.agentRenewalMs;
  }

  /** Gives leadership up and logs why. Does nothing once the term has ended. */
  resign(reason: ResignReason): void {
    if (this.signal.aborted) return;
    this.ctx.log.info({ term: this.number, reason }, 'leader term ended');
    this.ended.abort();
  }

  /** Ends the term without a word in the log, as when the process stops. */
  end(): void {
    this.ended.abort();
  }
}
