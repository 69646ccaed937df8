import { pino } from 'pino';
import { DEFAULT_POLICY } from '../../src/config/policy.js';
import { JobApi } from '../../src/controller/api/job-api.js';
import type { ControllerContext } from '../../src/controller/context.js';
import { LeaderElection } from '../../src/controller/election/leader-election.js';
import { HeartbeatHandler } from '../../src/controller/heartbeats/heartbeat-handler.js';
import { Leader } from '../../src/controller/leader/leader.js';
import { schedulerPolicy } from '../../src/controller/leader/scheduler-configuration.js';
import { NoResponseError } from '../../src/http/errors.js';
import { createContext, type NextLimits } from './context.js';
import { FakeStateService } from './state.js';
import type { World } from './world.js';

/** Limits of the state service after `World.lowerLimits`. */
export const NEXT_LIMITS: NextLimits = { value_kb: 2, txn_ops: 4, write_rps: 20 };

/** A controller with its real routines. Its connections are simulated. */
export class ScriptedController {
  readonly state: FakeStateService;
  readonly ctx: ControllerContext;
  readonly election: LeaderElection;
  readonly heartbeatHandler: HeartbeatHandler;
  readonly jobApi: JobApi;
  leader: Leader | null = null;
  /** No messages pass between this controller and the others. */
  isPartitionedFromPeers = false;
  /** No messages pass between this controller and the agents. */
  isPartitionedFromAgents = false;
  /** The process has crashed. */
  hasCrashed = false;
  private readonly shutdown = new AbortController();

  constructor(
    readonly world: World,
    readonly name: string,
    incarnationNumber: number,
  ) {
    const { clock, store } = world;
    this.state = new FakeStateService(store);
    this.state.delaysNextTransaction = () => world.random() < world.delayedWriteShare;
    const next = world.upgradedControllers.has(name) ? NEXT_LIMITS : null;
    this.ctx = {
      ...createContext(name, this.state, clock, next),
      incarnation: `${name}-${incarnationNumber}`,
    };
    this.ctx.log = pino({ level: 'silent' });
    this.election = new LeaderElection(this.ctx, async (term) => {
      const leader = new Leader({
        ctx: this.ctx,
        cloud: world.cloudClient(this),
        term,
        policy: schedulerPolicy(DEFAULT_POLICY),
        agents: world.agentClient(this),
      });
      this.leader = leader;
      world.termWinners.push(this);
      try {
        await leader.run();
      } finally {
        this.leader = null;
      }
    });
    this.jobApi = new JobApi(this.ctx, {
      taskCounts: { taskCountsOf: () => null },
      cancellations: {
        announceCancellation: async (id, revision) => {
          this.leader?.announceCancellation(id, revision);
          for (const peer of this.reachablePeers()) peer.leader?.announceCancellation(id, revision);
        },
      },
    });
    const peer = (node: string) => this.reachablePeers().find((c) => c.name === node);
    this.heartbeatHandler = new HeartbeatHandler({
      ctx: this.ctx,
      election: this.election,
      leader: () => this.leader,
      peers: {
        isReachable: (node) => peer(node) !== undefined,
        lastLedAt: (node) => world.lastLedAt(this, node),
        relayHeartbeat: async (node, body) => {
          const recipient = peer(node);
          if (!recipient) throw new Error('peer is not reachable');
          return recipient.heartbeatHandler.handle(body);
        },
        relayThroughMailbox: () => Promise.reject(new Error('the mailbox is not simulated')),
      },
      fetchHeartbeat: async (address) => {
        const m = world.findMachine(address);
        if (!m || m.isSuspended || m.dropsInbound || this.isPartitionedFromAgents)
          throw new NoResponseError('timed out');
        return m.agent.heartbeat();
      },
    });
    void this.election.run(this.shutdown.signal);
  }

  private reachablePeers(): ScriptedController[] {
    if (this.isPartitionedFromPeers) return [];
    return this.world.controllers.filter(
      (c) => c !== this && !c.hasCrashed && !c.isPartitionedFromPeers,
    );
  }

  /** Ends the controller like a killed process: it sends nothing more. */
  crash(): void {
    this.hasCrashed = true;
    this.state.fault = 'dead';
    this.shutdown.abort();
  }
}
