/**
 * Guards against urgency that is passed on along every path of a dependency graph:
 * a pipeline of 92 jobs kept each leader computing for minutes (review/2). Counts
 * visits, not time.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ClusterState } from '../src/scheduler/state/cluster-state.js';
import {
  CONSTANT,
  chain,
  countDependencies,
  FALLING,
  fanIn,
  fanOut,
  GROWING,
  type GraphJob,
  ladder,
  layers,
} from './support/graphs.js';
import { createCluster, jobSpec } from './support/scheduler.js';
import { seededRandom } from './support/seeded-random.js';

const CANCELLED = { state: 'cancelled' as const, at: null };

/** Deadline of the last job of a graph, in seconds. */
const DEADLINE_S = 1e6;

/** Larger than the visits of any graph of these tests. */
const ALL_VISITS = 1e9;

type EdgeOrder = (dependencies: readonly number[]) => number[];

const AS_NAMED: EdgeOrder = (dependencies) => [...dependencies];
const REVERSED: EdgeOrder = (dependencies) => [...dependencies].reverse();

function shuffledBy(random: () => number): EdgeOrder {
  return (dependencies) =>
    dependencies
      .map((dependency) => ({ dependency, key: random() }))
      .sort((a, b) => a.key - b.key)
      .map(({ dependency }) => dependency);
}

const EDGE_ORDERS: Record<string, EdgeOrder> = {
  'as named': AS_NAMED,
  reversed: REVERSED,
  shuffled: shuffledBy(seededRandom(7)),
};

const GRAPHS: Record<string, GraphJob[]> = {
  'ladder, growing estimates': ladder(16, GROWING),
  'ladder, falling estimates': ladder(16, FALLING),
  'ladder, constant estimates': ladder(16, CONSTANT),
  'layers of eight, growing estimates': layers(6, 8, GROWING),
  'layers of eight, falling estimates': layers(6, 8, FALLING),
  'fan-in': fanIn(500),
  'fan-out': fanOut(500),
  chain: chain(500),
};

function jobId(n: number): string {
  return `req-${String(n).padStart(6, '0')}`;
}

/** Counts how often the graph asks for a duration, which it does when it passes on a deadline. */
function countEstimates(cluster: ClusterState): { calls: number } {
  const counter = { calls: 0 };
  const { estimates } = cluster;
  const original = estimates.longestTaskS.bind(estimates);
  estimates.longestTaskS = (job) => {
    counter.calls++;
    return original(job);
  };
  return counter;
}

function addGraphJob(
  cluster: ClusterState,
  n: number,
  job: GraphJob,
  order: EdgeOrder,
  fields: Parameters<typeof jobSpec>[0] = {},
): void {
  const dependencies = order(job.dependencies).map(jobId);
  const added = cluster.addJob(
    jobSpec({ id: jobId(n), estimatedDurationS: job.estimatedDurationS, ...fields }),
    n + 1,
    0,
    false,
    { ids: dependencies, unread: false, keys: [] },
  );
  assert.ok(added);
}

/** Adds the jobs of a graph, the last one with a priority and a deadline. Returns the number of the last one. */
function addGraph(cluster: ClusterState, jobs: readonly GraphJob[], order: EdgeOrder): number {
  const last = jobs.length - 1;
  for (const [n, job] of jobs.slice(0, last).entries())
    addGraphJob(cluster, n, job, order, { priority: 3 });
  addGraphJob(cluster, last, jobs[last] as GraphJob, order, {
    priority: 1,
    deadlineS: DEADLINE_S,
  });
  return last;
}

test('a deadline at the end of a graph asks for the duration of each job about once, whatever shape, estimates and order of dependencies', () => {
  for (const [shape, jobs] of Object.entries(GRAPHS))
    for (const [order, edgeOrder] of Object.entries(EDGE_ORDERS)) {
      const cluster = createCluster();
      const estimates = countEstimates(cluster);
      addGraph(cluster, jobs, edgeOrder);
      assert.equal(
        cluster.jobs.get(jobId(0))?.effectiveDeadline?.job.spec.id,
        jobId(jobs.length - 1),
      );
      const bound = jobs.length + countDependencies(jobs);
      assert.ok(estimates.calls <= bound, `${shape}, ${order}: ${estimates.calls} of ${bound}`);
    }
});

test('the end of the job with the deadline asks for no more durations than the graph has dependencies', () => {
  for (const [shape, jobs] of Object.entries(GRAPHS))
    for (const [order, edgeOrder] of Object.entries(EDGE_ORDERS)) {
      const cluster = createCluster();
      // An earlier deadline of another job remains, so that each job has one before and after.
      const last = addGraph(cluster, jobs, edgeOrder);
      addGraphJob(cluster, last + 1, jobs[last] as GraphJob, edgeOrder, {
        deadlineS: DEADLINE_S * 2,
      });
      const estimates = countEstimates(cluster);
      cluster.endJob(jobId(last), CANCELLED);
      assert.equal(cluster.jobs.get(jobId(0))?.effectiveDeadline?.job.spec.id, jobId(last + 1));
      const bound = jobs.length + countDependencies(jobs);
      assert.ok(estimates.calls <= bound, `${shape}, ${order}: ${estimates.calls} of ${bound}`);
    }
});

/** Returns the urgency of each live job, as text. */
function urgencies(cluster: ClusterState): Map<string, string> {
  const result = new Map<string, string>();
  for (const { spec, priority, effectiveDeadline } of cluster.jobs.values())
    result.set(
      spec.id,
      `${priority} ${effectiveDeadline?.job.spec.id} ${effectiveDeadline?.remainingPathS}`,
    );
  return result;
}

/**
 * Applies one change and checks that it visits only the changed job, those whose
 * urgency it changes, and the dependencies of these: each dependency as such, and
 * the job that it leads to.
 */
function checkVisits(
  cluster: ClusterState,
  changedId: string,
  message: string,
  change: () => void,
): void {
  const { dependencies } = cluster;
  const before = urgencies(cluster);
  const edgesOf = (id: string) => cluster.jobs.get(id)?.pendingDependencies.size ?? 0;
  const edgesBefore = edgesOf(changedId);
  const visitsBefore = dependencies.visits;
  change();
  assert.ok(dependencies.propagate(ALL_VISITS));
  let changedEdges = Math.max(edgesBefore, edgesOf(changedId));
  for (const [id, urgency] of urgencies(cluster))
    if (id !== changedId && before.get(id) !== urgency) changedEdges += edgesOf(id);
  const bound = 1 + 2 * changedEdges;
  const visits = dependencies.visits - visitsBefore;
  assert.ok(visits <= bound, `${message}: ${visits} visits, ${changedEdges} changed dependencies`);
}

/** Adds, or ends, a random job of a graph of up to 150 jobs with many paths. */
function applyRandomChange(cluster: ClusterState, n: number, random: () => number): void {
  const live = [...cluster.jobs.keys()];
  const below = (bound: number) => Math.floor(random() * bound);
  if (live.length > 150 || (live.length > 10 && random() < 0.3)) {
    const ended = live[below(live.length)] as string;
    const end = random() < 0.5 ? CANCELLED : { state: 'done' as const, at: 0 };
    checkVisits(cluster, ended, `end of ${ended}`, () => cluster.endJob(ended, end));
    return;
  }
  const recent = live.slice(-20).map((id) => Number(id.slice(4)));
  const dependencies = shuffledBy(random)(recent.filter(() => random() < 0.3));
  const job = { dependencies, estimatedDurationS: 1 + below(60) };
  const deadlineS = random() < 0.2 ? 100 + below(5000) : null;
  checkVisits(cluster, jobId(n), `job ${n}`, () =>
    addGraphJob(cluster, n, job, AS_NAMED, { priority: below(4), deadlineS }),
  );
}

test('over seeded histories each change visits only the jobs whose urgency it changes and their dependencies', () => {
  for (let seed = 1; seed <= 40; seed++) {
    const random = seededRandom(seed);
    const cluster = createCluster();
    for (let n = 1; n <= 300; n++) applyRandomChange(cluster, n, random);
  }
});

test('jobs that are added together are passed on in one pass over all jobs and dependencies', () => {
  for (const [shape, jobs] of Object.entries(GRAPHS)) {
    const cluster = createCluster();
    cluster.jobRegistry.deferPropagation();
    addGraph(cluster, jobs, AS_NAMED);
    assert.equal(cluster.dependencies.visits, 0, shape);
    cluster.jobRegistry.resumePropagation();
    assert.ok(cluster.dependencies.propagate(ALL_VISITS));
    assert.equal(cluster.dependencies.visits, jobs.length + countDependencies(jobs), shape);
  }
});

test('dependents that end one after the other visit only their own dependencies, however many remain', () => {
  const width = 2000;
  const cluster = createCluster();
  addGraphJob(cluster, 0, { dependencies: [], estimatedDurationS: 1 }, AS_NAMED);
  for (let n = 1; n <= width; n++)
    addGraphJob(cluster, n, { dependencies: [0], estimatedDurationS: 1 }, AS_NAMED, {
      deadlineS: 100 + n,
    });
  const before = cluster.dependencies.visits;
  // The tightest deadline goes first each time, so that the inherited one changes with each end.
  for (let n = 1; n <= width; n++) cluster.endJob(jobId(n), CANCELLED);
  assert.equal(cluster.jobs.get(jobId(0))?.effectiveDeadline, null);
  const visits = cluster.dependencies.visits - before;
  assert.ok(visits <= 3 * width, `${visits} visits for ${width} ends`);
});

test('changes between the turns of a long propagation take effect, and the result is that of a single pass', () => {
  for (let seed = 1; seed <= 200; seed++) {
    const random = seededRandom(seed);
    const jobs = ladder(10, GROWING);
    const interrupted = createCluster();
    const atOnce = createCluster();
    for (const cluster of [interrupted, atOnce]) {
      cluster.jobRegistry.deferPropagation();
      addGraph(cluster, jobs, AS_NAMED);
    }
    const n = jobs.length;
    const ended = jobId(Math.floor(random() * n));
    const further = { dependencies: [Math.floor(random() * n)], estimatedDurationS: 9 };
    const changes = [
      (cluster: ClusterState) => cluster.endJob(ended, CANCELLED),
      (cluster: ClusterState) =>
        addGraphJob(cluster, n, further, AS_NAMED, { priority: 0, deadlineS: 5 }),
      (cluster: ClusterState) => cluster.endJob(jobId(n - 1), { state: 'done', at: 0 }),
    ];
    for (const change of changes) {
      interrupted.dependencies.propagate(1 + Math.floor(random() * 30));
      change(interrupted);
      change(atOnce);
    }
    while (!interrupted.dependencies.propagate(1 + Math.floor(random() * 5)));
    assert.ok(atOnce.dependencies.propagate(ALL_VISITS));
    assert.deepEqual(urgencies(interrupted), urgencies(atOnce), `seed ${seed}`);
  }
});
