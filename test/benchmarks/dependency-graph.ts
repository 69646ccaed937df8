/**
 * Prints the visits and the time that the dependency graph takes for large graphs:
 * jobs read together, as by a new leader, a deadline at the end, and the end of the
 * job with that deadline. Run by `npm run benchmark`; checks nothing.
 */
import type { ClusterState } from '../../src/scheduler/state/cluster-state.js';
import {
  chain,
  countDependencies,
  fanIn,
  fanOut,
  type GraphJob,
  ladder,
  layers,
} from '../support/graphs.js';
import { createCluster, jobSpec } from '../support/scheduler.js';

/** Larger than the visits of any graph. */
const ALL_VISITS = 1e9;
const CANCELLED = { state: 'cancelled' as const, at: null };

const GRAPHS: [name: string, create: () => GraphJob[]][] = [
  ...[10, 100, 1000, 10_000].map((rounds): [string, () => GraphJob[]] => [
    `ladder of ${rounds} rounds`,
    () => ladder(rounds),
  ]),
  ...[10, 100, 1000].map((count): [string, () => GraphJob[]] => [
    `${count} layers of 8`,
    () => layers(count, 8),
  ]),
  ['fan-in of 10000', () => fanIn(10_000)],
  ['fan-out of 10000', () => fanOut(10_000)],
  ['chain of 10000', () => chain(10_000)],
];

interface Measurement {
  visits: number;
  ms: number;
}

function jobId(n: number): string {
  return `req-${String(n).padStart(6, '0')}`;
}

function addJob(cluster: ClusterState, n: number, job: GraphJob, deadlineS: number | null): void {
  const ids = job.dependencies.map(jobId);
  const { estimatedDurationS } = job;
  const spec = jobSpec({ id: jobId(n), tasks: 1, estimatedDurationS, deadlineS, priority: 3 });
  cluster.addJob(spec, n + 1, 0, false, { ids, unread: false, keys: [] });
}

function measure(cluster: ClusterState, change: () => void): Measurement {
  const visitsBefore = cluster.dependencies.visits;
  const startedAt = performance.now();
  change();
  while (!cluster.dependencies.propagate(ALL_VISITS));
  return {
    visits: cluster.dependencies.visits - visitsBefore,
    ms: performance.now() - startedAt,
  };
}

function format({ visits, ms }: Measurement, edges: number): string {
  return `${visits} visits, ${(visits / edges).toFixed(2)} an edge, ${ms.toFixed(1)} ms`.padEnd(44);
}

for (const [name, create] of GRAPHS) {
  const jobs = create();
  const edges = countDependencies(jobs);
  const last = jobs.length - 1;
  const cluster = createCluster();
  const read = measure(cluster, () => {
    cluster.jobRegistry.deferPropagation();
    for (const [n, job] of jobs.entries()) addJob(cluster, n, job, n === last ? 1e6 : null);
    cluster.jobRegistry.resumePropagation();
  });
  const tighter = measure(cluster, () => addJob(cluster, last + 1, jobs[last] as GraphJob, 1e5));
  const ended = measure(cluster, () => cluster.endJob(jobId(last + 1), CANCELLED));
  process.stdout.write(
    `${name.padEnd(24)} ${String(edges).padStart(6)} edges | read ${format(read, edges)}` +
      ` | deadline ${format(tighter, edges)} | end ${format(ended, edges)}\n`,
  );
}
