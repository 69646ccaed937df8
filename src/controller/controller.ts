/** Runs one controller process: its listening socket and its long-lived routines. */
import type { CloudClient } from '../clients/cloud-client.js';
import type { StateClient } from '../clients/state-client.js';
import { parseAddress } from '../config/settings.js';
import { type ServerOptions, serve } from '../http/server.js';
import type { ControllerContext } from './context.js';
import type { LeaderElection } from './election/leader-election.js';
import { loadMachineTypes } from './machine-types.js';
import type { Peers } from './membership/peers.js';
import type { MemoryGuard } from './memory-guard.js';
import type { RequestRouter } from './request-router.js';

/** Share of the socket limit that is reserved for connections to the state service, the cloud, peers and agents. */
const RESERVED_SOCKET_SHARE = 0.2;

/** Components of a controller, created by `createController`. */
export interface ControllerParts {
  ctx: ControllerContext;
  state: StateClient;
  cloud: CloudClient;
  election: LeaderElection;
  peers: Peers;
  memory: MemoryGuard;
  router: RequestRouter;
}

/** One controller. It serves requests and takes part in elections, whether or not it leads. */
export class Controller {
  constructor(private readonly parts: ControllerParts) {}

  /**
   * Listens and runs all routines until the signal is aborted, then closes the
   * connections to the state service and the cloud.
   *
   * @throws when listening on the address fails.
   */
  async run(signal: AbortSignal): Promise<void> {
    const { ctx, state, cloud, election, peers, memory } = this.parts;
    await serve(this.serverOptions(), signal);
    ctx.log.info({ bind: ctx.platform.bind }, 'listening');
    await Promise.all([
      loadMachineTypes(ctx, cloud, signal),
      election.run(signal),
      peers.run(signal),
      memory.run(signal),
    ]);
    state.close();
    cloud.close();
  }

  private serverOptions(): ServerOptions {
    const { ctx, router } = this.parts;
    const { platform, timing, log } = ctx;
    const { host, port } = parseAddress(platform.bind);
    return {
      host,
      port,
      handler: (request) => router.route(request),
      maxConnections: Math.floor(platform.settings.quota.max_sockets * (1 - RESERVED_SOCKET_SHARE)),
      requestTimeoutMs: timing.halfTransferTimeoutMs * 2,
      idleTimeoutMs: timing.agentLeaseMs * 3,
      // Active agents and users send requests more often than this.
      minEvictableIdleMs: timing.unreachableAfterMs * 0.5,
      onError: (err) => log.error({ err }, 'request failed'),
    };
  }
}
