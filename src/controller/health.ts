/** Health of this controller: whether it reaches the state service and its peers. */
import type { StateClient } from '../clients/state-client.js';
import type { ControllerContext } from './context.js';
import type { PeerStatuses } from './membership/peer-statuses.js';

/**
 * How long requests must have failed for the state service to count as failing,
 * in state service timeouts. A single slow response explains a shorter failure.
 */
const FAILING_AFTER_TIMEOUTS = 0.5;

/** How long requests must have failed before waiting for a response is pointless, in state service timeouts. */
const UNRESPONSIVE_AFTER_TIMEOUTS = 1;

/** Derives the health of this controller from what other components record. Stateless. */
export class ControllerHealth {
  constructor(
    private readonly ctx: Pick<ControllerContext, 'clock' | 'timing' | 'machineTypes'>,
    private readonly state: Pick<StateClient, 'failingSince' | 'unansweredSince' | 'lastAttemptAt'>,
    private readonly peers: Pick<PeerStatuses, 'isIsolated'>,
  ) {}

  /**
   * Reports whether the state service has served no request of this controller
   * for more than FAILING_AFTER_TIMEOUTS. It may still serve peers.
   */
  isStateServiceFailing(): boolean {
    return this.hasLasted(this.state.failingSince, FAILING_AFTER_TIMEOUTS);
  }

  /**
   * Reports whether the state service does not respond at all, not even with a
   * refusal, so that a request to it would only make a user wait. Returns false
   * when no request was sent within the last timeout, so that the next request
   * is sent and shows whether the outage has ended.
   */
  isStateServiceUnresponsive(): boolean {
    const { clock, timing } = this.ctx;
    const triedRecently = clock.now() - this.state.lastAttemptAt < timing.stateTimeoutMs;
    return triedRecently && this.hasLasted(this.state.unansweredSince, UNRESPONSIVE_AFTER_TIMEOUTS);
  }

  /**
   * Reports whether this controller reaches neither the state service nor any
   * peer, so that users are better served by another controller. In an outage of
   * the state service that affects all controllers, they stay healthy: controllers
   * that had to pass health checks again would return later than the state service.
   */
  isIsolated(): boolean {
    return (
      this.hasLasted(this.state.failingSince, UNRESPONSIVE_AFTER_TIMEOUTS) &&
      this.peers.isIsolated()
    );
  }

  /** Result of the health check. */
  get isHealthy(): boolean {
    return this.ctx.machineTypes !== null && !this.isIsolated();
  }

  /** Reports whether a condition has lasted for more than this many timeouts of the state service. */
  private hasLasted(since: number | null, timeouts: number): boolean {
    const { clock, timing } = this.ctx;
    return since !== null && clock.now() - since > timing.stateTimeoutMs * timeouts;
  }
}
