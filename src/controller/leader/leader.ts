/**
 * One leader term of this controller: assembles the routines of the term,
 * restores the state left by earlier leaders, and runs the routines until the
 * term ends. Owns the `ClusterState` of the term, which is dropped with it.
 *
 * Serves docs/design.md "Safety" 1 and 2: agent commands carry this term's fencing
 * token, requests that change the fleet are sent only while the term is proven, and
 * progress and the demand forecast are written on the condition that the leader key
 * has the version of this term. Machine types and removals of dependency lists have
 * conditions on their own keys.
 */
import { setMaxListeners } from 'node:events';
import type { AgentClient } from '../../clients/agent-client.js';
import type { CloudClient } from '../../clients/cloud-client.js';
import type { Heartbeat } from '../../model/heartbeat.js';
import type { SchedulerPolicy } from '../../model/policy.js';
import { BitmapLayout } from '../../records/bitmap-layout.js';
import { valueCapacityBytes } from '../../records/value-sizes.js';
import { ScaleInPlanner } from '../../scheduler/scaling/scale-in.js';
import { ScaleOutPlanner } from '../../scheduler/scaling/scale-out.js';
import { ClusterState } from '../../scheduler/state/cluster-state.js';
import { JobStore } from '../api/job-store.js';
import type { ControllerContext } from '../context.js';
import type { LeaderTerm } from '../election/leader-term.js';
import { measureHold } from '../event-loop-hold.js';
import { AgentCommands } from './agent-commands.js';
import { DemandStore } from './demand-store.js';
import { DependencyListCleaner } from './dependency-list-cleaner.js';
import { runPropagation } from './dependency-propagation.js';
import { DependencyResolver } from './dependency-resolver.js';
import { FleetController } from './fleet-controller.js';
import { HeartbeatProcessor, type HeartbeatResponse } from './heartbeat-processing.js';
import { JobWatch } from './job-watch.js';
import { type LeaderRoutine, runUntilTermEnds } from './leader-routines.js';
import { LiveJobLoader } from './live-jobs.js';
import { ProgressWriter } from './progress-writer.js';
import { commandSocketsOf, serviceObjectivesOf } from './scheduler-configuration.js';
import { SchedulingLoop } from './scheduling-loop.js';
import { StateRestoration } from './state-restoration.js';

/** Dependencies of `Leader`. */
export interface LeaderOptions {
  ctx: ControllerContext;
  cloud: Pick<CloudClient, 'types' | 'list' | 'provision' | 'terminate'>;
  term: LeaderTerm;
  policy: SchedulerPolicy;
  /** Closed when the term ends. */
  agents: Pick<AgentClient, 'command' | 'retainOnly' | 'close'>;
}

/** Numbers of done and running tasks of a job for display, in the form that is sent to peers. */
export type JobTaskCounts = [jobId: string, done: number, running: number];

/** The leader of one term. Its constructor is the composition root of the term's routines. */
export class Leader {
  readonly cluster: ClusterState;
  readonly term: LeaderTerm;
  /** Whether the state has been restored and heartbeats are applied. */
  ready = false;
  private markReady: () => void = () => {};
  private readonly whenReady = new Promise<void>((resolve) => {
    this.markReady = resolve;
  });
  private readonly ctx: ControllerContext;
  private readonly restoration: StateRestoration;
  private readonly jobWatch: JobWatch;
  private readonly schedulingLoop: SchedulingLoop;
  private readonly heartbeatProcessor: HeartbeatProcessor;
  private readonly commands: AgentCommands;
  private readonly progressWriter: ProgressWriter;
  private readonly dependencyResolver: DependencyResolver;
  private readonly listCleaner: DependencyListCleaner;
  private readonly fleet: FleetController;
  private readonly demandStore: DemandStore;

  constructor({ ctx, cloud, term, policy, agents }: LeaderOptions) {
    this.ctx = ctx;
    this.term = term;
    const { workers: agentSettings, objectives } = ctx.platform.settings;
    const cluster = new ClusterState({
      term: term.number,
      quotas: ctx.quotas,
      timing: {
        heartbeatMs: agentSettings.report_s * 1000,
        agentLeaseMs: ctx.timing.agentLeaseMs,
        listProofMs: ctx.timing.listProofMs,
        unreachableAfterMs: ctx.timing.unreachableAfterMs,
      },
      policy,
      objectives: serviceObjectivesOf(objectives ?? []),
      bitmaps: BitmapLayout.forValueLimits(ctx.limits.presentValueBytes, ctx.limits.valueBytes),
      logDecision: (message: string, fields: object) =>
        ctx.log.info({ term: term.number, ...fields }, message),
      rosterPageBytes: valueCapacityBytes(ctx.limits),
    });
    const scaleOut = new ScaleOutPlanner(cluster);
    const scaleIn = new ScaleInPlanner(cluster);
    cluster.onMachineTerminated = (machine) => scaleOut.recordTermination(machine, ctx.clock.now());
    const commands = new AgentCommands({
      ctx,
      term,
      cluster,
      agents,
      sockets: commandSocketsOf(ctx.platform),
    });
    const demandStore = new DemandStore(ctx, term, scaleOut);
    const liveJobLoader = new LiveJobLoader(ctx, term, cluster, demandStore);
    this.cluster = cluster;
    this.commands = commands;
    this.demandStore = demandStore;
    this.restoration = new StateRestoration({
      ctx,
      cloud,
      term,
      cluster,
      liveJobLoader,
      demandStore,
    });
    this.jobWatch = new JobWatch({ ctx, term, cluster, liveJobLoader, commands });
    this.schedulingLoop = new SchedulingLoop({ ctx, term, cluster, policy, commands });
    this.heartbeatProcessor = new HeartbeatProcessor({ ctx, term, cluster, policy, commands });
    this.progressWriter = new ProgressWriter(ctx, term, cluster);
    this.dependencyResolver = new DependencyResolver(ctx, cluster, new JobStore(ctx));
    this.listCleaner = new DependencyListCleaner(ctx, cluster.jobs);
    this.fleet = new FleetController({ ctx, term, cluster, scaleOut, scaleIn, cloud, agents });
    // Each request in flight adds a listener, so there are far more than the number at which
    // Node.js warns of a leak.
    setMaxListeners(0, term.signal);
    term.signal.addEventListener('abort', () => agents.close(), { once: true });
  }

  /** Restores the state, then runs all routines; resolves when the term has ended. */
  async run(): Promise<void> {
    const { ctx, term, cluster } = this;
    const startedAt = ctx.clock.now();
    const { revision, requestedAt } = await this.restoration.run();
    term.setCancellationsKnownAt(requestedAt);
    this.ready = true;
    this.markReady();
    ctx.log.info(
      {
        term: term.number,
        jobs: cluster.jobs.size,
        machines: cluster.machines.size,
        ms: Math.round(ctx.clock.now() - startedAt),
      },
      'failover: state restored',
    );
    await runUntilTermEnds(ctx, term, this.routines(revision));
  }

  private routines(revision: number): LeaderRoutine[] {
    const { commands, fleet } = this;
    return [
      {
        name: 'machine confirmation',
        run: (signal) => commands.confirmInheritedMachines(signal),
      },
      { name: 'job watch', run: (signal) => this.jobWatch.run(revision, signal) },
      { name: 'scheduling loop', run: (signal) => this.schedulingLoop.run(signal) },
      { name: 'progress writer', run: (signal) => this.progressWriter.run(signal) },
      {
        name: 'dependency propagation',
        run: (signal) => runPropagation(this.ctx, this.cluster.dependencies, signal),
      },
      { name: 'dependency resolver', run: (signal) => this.dependencyResolver.run(signal) },
      { name: 'dependency list cleaner', run: (signal) => this.listCleaner.run(signal) },
      { name: 'machine list', run: (signal) => fleet.listMachines(signal) },
      { name: 'scaling', run: (signal) => fleet.runScaling(signal) },
      { name: 'demand store', run: (signal) => this.demandStore.run(signal) },
      { name: 'machine types', run: (signal) => fleet.refreshMachineTypes(signal) },
    ];
  }

  /**
   * Applies a cancellation that is durable at this revision and that a controller
   * is about to confirm to its user. The job watch may lag behind, or be refused
   * only to this controller, but nothing of the job may start once the user has the
   * confirmation.
   */
  announceCancellation(id: string, revision: number): void {
    measureHold(this.ctx, 'cancellation applied', () =>
      this.cluster.announceCancellation(id, revision),
    );
    this.commands.deferSendPending();
  }

  /**
   * Waits until the state has been restored, but no longer than `commandTimeoutMs`,
   * which is below the agents' timeout of a heartbeat.
   */
  async waitUntilReady(): Promise<void> {
    if (this.ready) return;
    const timeout = this.ctx.clock.sleep(this.ctx.timing.commandTimeoutMs).catch(() => {});
    await Promise.race([this.whenReady, timeout]);
  }

  /**
   * Applies an agent's heartbeat and returns the response: commands and the
   * machine's fence. `relayed` is true when another controller relayed the
   * heartbeat.
   */
  handleHeartbeat(heartbeat: Heartbeat, relayed: boolean): HeartbeatResponse {
    return measureHold(this.ctx, 'heartbeat applied', () =>
      this.heartbeatProcessor.process(heartbeat, relayed),
    );
  }

  /**
   * Returns the numbers of done and running tasks, for display, of at most `limit`
   * live jobs that have any. Tasks whose start is not confirmed count as running.
   */
  taskCounts(limit: number): JobTaskCounts[] {
    const counts: JobTaskCounts[] = [];
    for (const job of this.cluster.jobs.values()) {
      if (job.doneCount === 0 && job.activeAttempts.size === 0) continue;
      counts.push([job.spec.id, job.doneCount, job.activeAttempts.size]);
      if (counts.length >= limit) break;
    }
    return counts;
  }
}
