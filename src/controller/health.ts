/** Whether this controller can serve users, by what reaches it of the state service and its peers. */
import type { StateClient } from '../clients/state-client.js';
import type { ControllerContext } from './context.js';
import type { PeerStatuses } from './membership/peer-statuses.js';

/** The state service has failed for longer than a single slow answer would explain, in its time-outs. */
const FAILING_TIMEOUTS = 0.5;

/** It has failed for so long that waiting for it is of no use. */
const SILENT_TIMEOUTS = 1;

/** Derived from what others record: it holds no state of its own. */
export class ControllerHealth {
  constructor(
    private readonly ctx: Pick<ControllerContext, 'clock' | 'timing' | 'machineTypes'>,
    private readonly state: Pick<StateClient, 'failingSince' | 'unansweredSince' | 'lastAttemptAt'>,
    private readonly peers: Pick<PeerStatuses, 'isIsolated'>,
  ) {}

  /** The state service has refused or not answered this controller for a while. Peers may fare better. */
  isStateServiceFailing(): boolean {
    return this.lasts(this.state.failingSince, FAILING_TIMEOUTS);
  }

  /**
   * The state service does not even refuse requests: trying it would keep a
   * user waiting for nothing. When nothing has been tried for a time-out this
   * is false once, so that a request finds out whether the outage is over.
   */
  isStateServiceSilent(): boolean {
    const { clock, timing } = this.ctx;
    const triedRecently = clock.now() - this.state.lastAttemptAt < timing.stateTimeoutMs;
    return triedRecently && this.lasts(this.state.unansweredSince, SILENT_TIMEOUTS);
  }

  /**
   * Neither the state service nor any peer reaches this controller: users are
   * better off with another one. In an outage of the state service that all
   * share it stays healthy, as one that had to prove its health again would be
   * back later than the state service.
   */
  isIsolated(): boolean {
    return this.lasts(this.state.failingSince, SILENT_TIMEOUTS) && this.peers.isIsolated();
  }

  /** What a health check reports. */
  get isHealthy(): boolean {
    return this.ctx.machineTypes !== null && !this.isIsolated();
  }

  /** Whether something has lasted for this many time-outs of the state service. */
  private lasts(since: number | null, timeouts: number): boolean {
    const { clock, timing } = this.ctx;
    return since !== null && clock.now() - since > timing.stateTimeoutMs * timeouts;
  }
}
