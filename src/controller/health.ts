import type { StateClient } from '../clients/state-client.js';
import type { ControllerContext } from './context.js';
import type { Peers } from './membership/peers.js';

/** What this node can still do for users, by what it hears of the state service and its peers. */
export class ControllerHealth {
  constructor(
    private readonly ctx: Pick<ControllerContext, 'clock' | 'timing' | 'machineTypes'>,
    private readonly state: Pick<StateClient, 'failingSince' | 'unansweredSince' | 'lastAttemptAt'>,
    private readonly peers: Pick<Peers, 'isIsolated'>,
  ) {}

  /** The state service fails this node for longer than a single slow answer would. */
  isStateServiceFailing(): boolean {
    return this.lasts(this.state.failingSince, 0.5);
  }

  /**
   * It does not even refuse: trying would keep a user waiting for nothing.
   * Now and then one request is let through all the same, to see whether it
   * is over.
   */
  isStateServiceSilent(): boolean {
    const { clock, timing } = this.ctx;
    const tried = clock.now() - this.state.lastAttemptAt < timing.stateTimeoutMs;
    return tried && this.lasts(this.state.unansweredSince, 1);
  }

  /**
   * Neither the state service nor any peer is heard: users are better off
   * with another node. In an outage that all nodes share this one stays
   * healthy: a node that has to prove its health again would be back later
   * than the state service.
   */
  isIsolated(): boolean {
    return this.lasts(this.state.failingSince, 1) && this.peers.isIsolated();
  }

  get isHealthy(): boolean {
    return this.ctx.machineTypes !== null && !this.isIsolated();
  }

  private lasts(since: number | null, timeouts: number): boolean {
    const { clock, timing } = this.ctx;
    return since !== null && clock.now() - since > timing.stateTimeoutMs * timeouts;
  }
}
