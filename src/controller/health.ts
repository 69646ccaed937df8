import type { StateClient } from '../clients/state-client.js';
import type { Context } from './context.js';
import type { Peers } from './membership/peers.js';

/** What this node can still do for users, by what it hears of the state service and its peers. */
export class Health {
  constructor(
    private readonly ctx: Pick<Context, 'clock' | 'timing' | 'types'>,
    private readonly state: Pick<StateClient, 'troubleSince' | 'silentSince' | 'triedAt'>,
    private readonly peers: Pick<Peers, 'alone'>,
  ) {}

  /** The state service fails this node for longer than a single slow answer would. */
  inTrouble(): boolean {
    return this.lasts(this.state.troubleSince, 0.5);
  }

  /**
   * It does not even refuse: trying would keep a user waiting for nothing.
   * Now and then one request is let through all the same, to see whether it
   * is over.
   */
  unanswered(): boolean {
    const { clock, timing } = this.ctx;
    const tried = clock.now() - this.state.triedAt < timing.stateTimeoutMs;
    return tried && this.lasts(this.state.silentSince, 1);
  }

  /**
   * Neither the state service nor any peer is heard: users are better off
   * with another node. In an outage that all nodes share this one stays
   * healthy: a node that has to prove its health again would be back later
   * than the state service.
   */
  isolated(): boolean {
    return this.lasts(this.state.troubleSince, 1) && this.peers.alone();
  }

  get ok(): boolean {
    return this.ctx.types !== null && !this.isolated();
  }

  private lasts(since: number | null, timeouts: number): boolean {
    const { clock, timing } = this.ctx;
    return since !== null && clock.now() - since > timing.stateTimeoutMs * timeouts;
  }
}
