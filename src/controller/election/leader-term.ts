/**
 * One leader term of this controller: how long its leadership is proven, and what
 * that proof permits. The invariants are explained in docs/design.md, "Safety"
 * (Proof in time) and "One bound for cancellations".
 */
import type { ControllerContext } from '../context.js';

/** Why a leader term ended before its process did; used only in the log. */
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

/** The result of a won election, from which a term starts. */
export interface LeaderTermStart {
  number: number;
  /** Id of the lease that the leader key is attached to. */
  lease: number;
  /** Version of the leader key. */
  version: number;
  /**
   * When the term's lease was requested, in milliseconds on the monotonic clock. It
   * is the first proof of leadership.
   */
  leaseRequestedAt: number;
}

/**
 * A term that this controller won. It ends once, by `resign` or `end`, and is
 * unproven from then on. All times are in milliseconds on the monotonic clock.
 */
export class LeaderTerm {
  readonly number: number;
  /** Id of the lease that the leader key is attached to. Only its renewals prove leadership. */
  readonly lease: number;
  /**
   * Version of the leader key. Writes of progress and of the demand forecast are
   * conditioned on it.
   */
  readonly version: number;
  /** Aborted when the term ends; all routines of the leader run under it. */
  readonly signal: AbortSignal;
  private readonly abortController = new AbortController();
  private readonly leaseRequestedAt: number;
  /** Send time of the latest successful renewal; until the first one, `leaseRequestedAt`. */
  private provenAt: number;
  /**
   * Time up to which all cancellations are known. Until the jobs have been read, no
   * cancellation is known, not even an old one. Several leaders in a row that all
   * end before they have read the jobs must not keep renewing the agents' leases.
   */
  private cancellationsKnownAt = Number.NEGATIVE_INFINITY;

  constructor(
    start: LeaderTermStart,
    private readonly ctx: Pick<ControllerContext, 'clock' | 'timing' | 'log'>,
  ) {
    this.number = start.number;
    this.lease = start.lease;
    this.version = start.version;
    this.leaseRequestedAt = start.leaseRequestedAt;
    this.provenAt = start.leaseRequestedAt;
    this.signal = this.abortController.signal;
  }

  /**
   * Reports whether leadership is proven now: the lease was granted or renewed by a
   * request that was sent less than `leadershipProofMs` ago, which is three quarters
   * of the lease less the clock drift. Invariant: while this holds, the lease has not
   * ended, so the leader key still has this term's version and no other controller can
   * have won an election. This requires that the key was written with this very lease:
   * the key is written only while it is absent, and deleted only when its lease ends.
   *
   * It is an arrow property because clients take it as a guard that they evaluate
   * when a request is sent.
   */
  readonly isProven = (): boolean => {
    const { clock, timing } = this.ctx;
    return !this.signal.aborted && clock.now() - this.provenAt < timing.leadershipProofMs;
  };

  /**
   * Reports whether tasks may be started: leadership is proven, and cancellations
   * are known up to an equally recent time. Invariant: no task starts of a job
   * whose cancellation another controller has confirmed to its user, because that
   * controller first announces the cancellation to this one or waits until this
   * period is over (docs/design.md, "No start after a confirmed cancellation").
   */
  mayStartTasks(): boolean {
    const { clock, timing } = this.ctx;
    return this.isProven() && clock.now() - this.cancellationsKnownAt < timing.leadershipProofMs;
  }

  /**
   * Reports whether heartbeats may get a response, which renews the agents' leases.
   * This holds longer than the proof, for `agentRenewalMs` after the older of the
   * proof and the knowledge of cancellations. Invariant: a lease renewed by the
   * last response expires within `cancel_s` of any cancellation that this leader
   * does not know of (docs/design.md, "One bound for cancellations").
   */
  mayRenewAgentLeases(): boolean {
    const { clock, timing } = this.ctx;
    const knownAt = Math.min(this.provenAt, this.cancellationsKnownAt);
    return !this.signal.aborted && clock.now() - knownAt < timing.agentRenewalMs;
  }

  /**
   * Records that all job changes that were durable at `requestedAt`, cancellations
   * in particular, have been applied. That is when the watch or list was requested,
   * not when the response arrived, because the response covers nothing later. Never
   * moves backwards.
   */
  setCancellationsKnownAt(requestedAt: number): void {
    this.cancellationsKnownAt = Math.max(this.cancellationsKnownAt, requestedAt);
  }

  /**
   * Records that a renewal sent at `sentAt` succeeded. Renewals overlap, so the
   * response to an older one may arrive last.
   */
  setProvenAt(sentAt: number): void {
    this.provenAt = Math.max(this.provenAt, sentAt);
  }

  /**
   * Reports whether leadership has been unproven for as long as agents' leases may
   * be renewed, so that the term permits nothing anymore.
   */
  isUnprovenForTooLong(): boolean {
    const { clock, timing } = this.ctx;
    return clock.now() - this.provenAt >= timing.agentRenewalMs;
  }

  /**
   * Reports whether cancellations have been unknown for as long as agents' leases
   * may be renewed, counted from the start of the term or the last update. While
   * the state service serves this leader's renewals but not its reads, the leader
   * can serve nobody, but another controller may be able to.
   */
  areCancellationsUnknownForTooLong(): boolean {
    const { clock, timing } = this.ctx;
    const since = Math.max(this.leaseRequestedAt, this.cancellationsKnownAt);
    return clock.now() - since >= timing.agentRenewalMs;
  }

  /** Gives up leadership and logs the reason. Does nothing once the term has ended. */
  resign(reason: ResignReason): void {
    if (this.signal.aborted) return;
    const { number: term, lease, version } = this;
    this.ctx.log.info({ term, lease, version, reason }, 'leader term ended');
    this.abortController.abort();
  }

  /** Ends the term without logging a reason, as when the process stops. */
  end(): void {
    this.abortController.abort();
  }
}
