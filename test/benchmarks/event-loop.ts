/**
 * Prints how long single events hold the event loop at the largest sizes, on a whole
 * core and, by multiplication, on 4% of one. Run by `npm run benchmark`; checks nothing.
 */
import { collectPendingWrites } from '../../src/scheduler/persistence/pending-writes.js';
import { placeOnMachine } from '../../src/scheduler/placement/machine-placement.js';
import { runPlacementRound } from '../../src/scheduler/placement/placement-round.js';
import { ScaleInPlanner } from '../../src/scheduler/scaling/scale-in.js';
import { ScaleOutPlanner } from '../../src/scheduler/scaling/scale-out.js';
import type { ClusterState } from '../../src/scheduler/state/cluster-state.js';
import type { Machine } from '../../src/scheduler/state/task-attempt.js';
import { fanOut, type GraphJob, layers } from '../support/graphs.js';
import {
  createCluster,
  jobSpec,
  joinCluster,
  ScriptedAgent,
  sendHeartbeat,
  teamQuota,
} from '../support/scheduler.js';

const MACHINES = 4000;
const JOBS = 10_000;
const SMALL_SHARE_OF_A_CORE = 0.04;
const CANCELLED = { state: 'cancelled' as const, at: null };
const TEAMS = [teamQuota({ name: 'ops', maxCpus: 1e6 })];

function jobId(n: number): string {
  return `req-${String(n).padStart(6, '0')}`;
}

function report(activity: string, work: () => unknown): void {
  const startedAt = performance.now();
  const result = work();
  const remark = typeof result === 'string' ? result : '';
  const ms = performance.now() - startedAt;
  const smallShareMs = ms / SMALL_SHARE_OF_A_CORE;
  process.stdout.write(
    `${activity.padEnd(66)} ${ms.toFixed(1).padStart(8)} ms  ${smallShareMs.toFixed(0).padStart(7)} ms at 4%  ${remark}\n`,
  );
}

function createFleet(): { cluster: ClusterState; agents: ScriptedAgent[] } {
  const cluster = createCluster({ teams: TEAMS });
  const agents = Array.from({ length: MACHINES }, (_, i) =>
    joinCluster(
      cluster,
      new ScriptedAgent(`n-${String(i + 1).padStart(6, '0')}`, i % 2 === 0 ? 'a' : 'b'),
      0,
    ),
  );
  return { cluster, agents };
}

/** Fills all machines with tasks of low priority, eight each, that run since the beginning. */
function fill(cluster: ClusterState, agents: ScriptedAgent[]): void {
  cluster.addJob(jobSpec({ tasks: MACHINES * 8, cpus: 2, memoryGb: 8, priority: 3 }), 1, 0, false);
  while (runPlacementRound(cluster, MACHINES * 8, 0).unfinished);
  for (const agent of agents) {
    sendHeartbeat(cluster, agent, 1);
    sendHeartbeat(cluster, agent, 2);
  }
}

function addGraph(cluster: ClusterState, jobs: readonly GraphJob[]): void {
  cluster.jobRegistry.deferPropagation();
  for (const [n, job] of jobs.entries()) {
    const spec = jobSpec({ id: jobId(n), tasks: 1, priority: 3 });
    const ids = job.dependencies.map(jobId);
    cluster.addJob(spec, n + 1, 0, false, { ids, unread: false, keys: [] });
  }
  cluster.jobRegistry.resumePropagation();
  while (!cluster.dependencies.propagate(1e9));
}

/** Keeps all machines' heartbeats recent. */
function beat(cluster: ClusterState, agents: ScriptedAgent[], now: number): void {
  for (const agent of agents) sendHeartbeat(cluster, agent, now);
}

function measureCascades(): void {
  for (const [name, jobs] of [
    ['1000 layers of 8 (64,000 dependencies)', layers(1000, 8)],
    ['10 layers of 300 (810,000 dependencies)', layers(10, 300)],
    ['fan-out of 10,000', fanOut(JOBS)],
  ] as const) {
    const cluster = createCluster();
    addGraph(cluster, jobs);
    report(`cancellation of the first job: ${name}`, () => cluster.endJob(jobId(0), CANCELLED));
    report('  turns until it has reached all', () => {
      let turns = 0;
      while (!cluster.dependencies.propagate(4000)) turns++;
      return `${turns} turns`;
    });
    report('  collecting the writes', () => {
      const writes = collectPendingWrites(cluster, { progressChanges: 9, wallNow: 0 });
      return `${writes.length} writes`;
    });
  }
}

function measureRounds(): void {
  {
    const { cluster } = createFleet();
    cluster.addJob(jobSpec({ tasks: 100_000, cpus: 2 }), 1, 0, false);
    report('round: 12,500 tasks on 4,000 empty machines', () => {
      return `${runPlacementRound(cluster, 12_500, 10).started.length} started`;
    });
  }
  {
    const { cluster, agents } = createFleet();
    fill(cluster, agents);
    for (let n = 2; n <= JOBS; n++)
      cluster.addJob(jobSpec({ id: jobId(n), tasks: 1, priority: 3 }), n, 0, false);
    report('round: 10,000 jobs waiting in one batch, full machines', () =>
      runPlacementRound(cluster, 32, 10),
    );
    report('scaling plan: 10,000 jobs, 4,000 machines', () => {
      new ScaleOutPlanner(cluster).plan(10);
      new ScaleInPlanner(cluster).plan(10);
    });
    beat(cluster, agents, 130_000);
    report('round: 10,000 starving jobs, full machines of the same priority', () => {
      runPlacementRound(cluster, 32, 130_000);
      return `${cluster.unplacedBatches.length} batches`;
    });
    const agent = agents[0] as ScriptedAgent;
    for (const key of [...agent.tasks.keys()].slice(0, 1)) agent.exit(key, 'done');
    cluster.applyHeartbeat(agent.heartbeat(), 'heartbeat', 130_001);
    report('heartbeat: placement with 10,000 waiting batches', () => {
      placeOnMachine(cluster, cluster.machines.get(agent.id) as Machine, 32, 130_001);
    });
  }
  for (const [name, fields] of [
    ['of equal shape', () => ({})],
    ['of different shapes', (n: number) => ({ cpus: 1 + (n % 1000) / 1000 })],
  ] as const) {
    const { cluster, agents } = createFleet();
    fill(cluster, agents);
    for (let n = 2; n <= 2000; n++)
      cluster.addJob(jobSpec({ id: jobId(n), tasks: 1, priority: 1, ...fields(n) }), n, 0, false);
    beat(cluster, agents, 130_000);
    report(`round: 2,000 starving jobs ${name} that preempt`, () => {
      runPlacementRound(cluster, 4000, 130_000);
      return `${cluster.pendingCommands.size} machines with stops`;
    });
    report('  the next round, while the preempted tasks end', () =>
      runPlacementRound(cluster, 4000, 130_010),
    );
  }
}

function measureMachines(): void {
  const { cluster, agents } = createFleet();
  fill(cluster, agents);
  const list = agents.map((agent) => ({
    id: agent.id,
    address: '10.0.0.1:9000',
    type: 'm16',
    zone: agent.zone,
    spot: false,
    state: 'running' as const,
    ageS: 60,
  }));
  report('machine list of 4,000 machines', () => cluster.applyMachineList(list, 1000, 1000));
  report('end of a job with 32,000 running tasks', () => cluster.endJob('req-000001', CANCELLED));
}

measureCascades();
measureRounds();
measureMachines();
