import assert from 'node:assert/strict';
import { test } from 'node:test';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { collectPendingWrites } from '../src/scheduler/persistence/pending-writes.js';
import { runPlacementRound } from '../src/scheduler/placement/placement-round.js';
import { dequeuePendingCommands } from '../src/scheduler/reconcile/task-commands.js';
import { ScaleOutPlanner } from '../src/scheduler/scaling/scale-out.js';
import type { ClusterState } from '../src/scheduler/state/cluster-state.js';
import type { Job } from '../src/scheduler/state/task-attempt.js';
import { createCluster, jobSpec, joinCluster, ScriptedAgent } from './support/scheduler.js';

function jobId(n: number): string {
  return `req-${String(n).padStart(6, '0')}`;
}

function addJob(
  cluster: ClusterState,
  n: number,
  dependencies: number[],
  fields: Parameters<typeof jobSpec>[0] = {},
): Job {
  const dependencyList = { ids: dependencies.map(jobId), unread: false, keys: [] };
  const job = cluster.addJob(
    jobSpec({ id: jobId(n), ...fields }),
    n,
    n * 1000,
    false,
    dependencyList,
  );
  assert.ok(job);
  return job;
}

const doneAt = (at: number) => ({ state: 'done' as const, at });
const CANCELLED = { state: 'cancelled' as const, at: null };

test('a job is ready once all its dependencies are durably done, and its waiting time counts from then', () => {
  const cluster = createCluster();
  const agent = joinCluster(cluster, new ScriptedAgent('n-1'), 0);
  addJob(cluster, 1, [], { tasks: 1 });
  addJob(cluster, 2, [], { tasks: 1 });
  const last = addJob(cluster, 3, [1, 2], { tasks: 1 });
  runPlacementRound(cluster, 32, 0);
  agent.execute(
    cluster.term,
    dequeuePendingCommands(cluster.machines.get('n-1') as never).commands,
  );
  assert.deepEqual(agent.running().sort(), [`${jobId(1)}/0`, `${jobId(2)}/0`]);
  // The exits alone are not enough, since a cancellation may still be written first.
  for (const key of [...agent.tasks.keys()]) agent.exit(key, 'done');
  cluster.applyHeartbeat(agent.heartbeat(), 'heartbeat', 100);
  assert.equal(runPlacementRound(cluster, 32, 200).started.length, 0);
  const ends = collectPendingWrites(cluster, { progressChanges: 9, wallNow: 7000 });
  ends[0]?.applied(11);
  assert.equal(runPlacementRound(cluster, 32, 300).started.length, 0);
  ends[1]?.applied(12);
  assert.equal(last.eligibleAt, 7000);
  assert.equal(runPlacementRound(cluster, 32, 400).started[0]?.job, last);
});

test('the end of a dependency that is no longer live is read before its dependents may start', () => {
  const cluster = createCluster({ term: 2 });
  joinCluster(cluster, new ScriptedAgent('n-1'), 0);
  const job = addJob(cluster, 3, [1, 2]);
  assert.deepEqual([...cluster.dependencies.jobsWithUnknownEnd], [jobId(1), jobId(2)]);
  cluster.endJob(jobId(1), doneAt(500));
  assert.equal(runPlacementRound(cluster, 32, 0).started.length, 0);
  cluster.endJob(jobId(2), doneAt(400));
  assert.deepEqual([job.awaitsDependencies, job.eligibleAt], [false, 3000]);
  assert.equal(runPlacementRound(cluster, 32, 0).started.length, 4);
  // Both ends are known now, so a new job that depends on them does not wait.
  assert.equal(addJob(cluster, 4, [1, 2]).awaitsDependencies, false);
  assert.equal(cluster.dependencies.jobsWithUnknownEnd.size, 0);
});

test('a job becomes ready whether the watch reports its dependency’s end before or after the transaction’s response', () => {
  for (const order of ['watch first', 'response first']) {
    const cluster = createCluster();
    addJob(cluster, 1, []);
    const next = addJob(cluster, 2, [1]);
    if (order === 'watch first') {
      cluster.endJob(jobId(1), null);
      assert.deepEqual(
        [[...cluster.dependencies.jobsWithUnknownEnd], next.awaitsDependencies],
        [[jobId(1)], true],
      );
      cluster.endJob(jobId(1), doneAt(9));
    } else {
      cluster.endJob(jobId(1), doneAt(9));
      cluster.endJob(jobId(1), null);
    }
    assert.deepEqual(
      [cluster.dependencies.jobsWithUnknownEnd.size, next.awaitsDependencies],
      [0, false],
    );
  }
});

/**
 * A list of live jobs is read in pages: a job that is accepted after the first page
 * was read may be missing while a dependent on a later page is not.
 */
test('a dependency that arrives after its dependents inherits their urgency, and its end is not looked for', () => {
  const cluster = createCluster();
  addJob(cluster, 3, [2], { priority: 1, deadlineS: 100 });
  addJob(cluster, 4, [2, 1], { priority: 3 });
  assert.deepEqual([...cluster.dependencies.jobsWithUnknownEnd], [jobId(2), jobId(1)]);
  const dependency = addJob(cluster, 2, [1], { priority: 3 });
  const first = addJob(cluster, 1, [], { priority: 3 });
  assert.equal(cluster.dependencies.jobsWithUnknownEnd.size, 0);
  for (const job of [dependency, first]) {
    assert.equal(job.priority, 1, job.spec.id);
    assert.equal(job.effectiveDeadline?.job.spec.id, jobId(3), job.spec.id);
  }
  cluster.endJob(jobId(1), CANCELLED);
  assert.ok([2, 3, 4].every((n) => cluster.jobs.get(jobId(n))?.dependencyCancelled));
});

test('a cancellation reaches all direct and transitive dependents, also those submitted later', () => {
  const cluster = createCluster();
  joinCluster(cluster, new ScriptedAgent('n-1'), 0);
  addJob(cluster, 1, []);
  addJob(cluster, 2, [1]);
  addJob(cluster, 3, [1]);
  addJob(cluster, 4, [2, 3]);
  addJob(cluster, 5, []);
  cluster.endJob(jobId(1), CANCELLED);
  addJob(cluster, 6, [4]);
  addJob(cluster, 7, [1]);
  const writes = collectPendingWrites(cluster, { progressChanges: 9, wallNow: 0 });
  const ended = writes.flatMap((write) => write.changes).map((x) => x.key);
  for (const n of [2, 3, 4, 6, 7]) assert.ok(ended.includes(`over/${jobId(n)}`), jobId(n));
  assert.equal(writes.length, 5);
  // The cancellations may be written in any order, over several rounds and in part by another controller.
  for (const write of writes.reverse()) write.conflict([]);
  assert.deepEqual([...cluster.jobs.keys()], [jobId(5)]);
  assert.deepEqual(collectPendingWrites(cluster, { progressChanges: 9, wallNow: 0 }), []);
});

test('when a cancellation is written before the end of a job, it is read and cancels the dependents', () => {
  const cluster = createCluster();
  const agent = joinCluster(cluster, new ScriptedAgent('n-1'), 0);
  addJob(cluster, 1, [], { tasks: 1 });
  const next = addJob(cluster, 2, [1]);
  runPlacementRound(cluster, 32, 0);
  agent.execute(
    cluster.term,
    dequeuePendingCommands(cluster.machines.get('n-1') as never).commands,
  );
  agent.exit([...agent.tasks.keys()][0] as string, 'done');
  cluster.applyHeartbeat(agent.heartbeat(), 'heartbeat', 100);
  const [end] = collectPendingWrites(cluster, { progressChanges: 9, wallNow: 0 });
  end?.conflict([`live/${jobId(1)}`]);
  assert.deepEqual(
    [[...cluster.dependencies.jobsWithUnknownEnd], next.awaitsDependencies],
    [[jobId(1)], true],
  );
  cluster.endJob(jobId(1), CANCELLED);
  assert.equal(runPlacementRound(cluster, 32, 200).started.length, 0);
  assert.equal(next.dependencyCancelled, true);
});

test('dependencies outside the job record are read before the job may start', () => {
  const cluster = createCluster();
  joinCluster(cluster, new ScriptedAgent('n-1'), 0);
  addJob(cluster, 1, []);
  const keys = [0, 1].map((page) => `upstream/${jobId(2)}/${page}`);
  const job = cluster.addJob(jobSpec({ id: jobId(2) }), 2, 0, false, {
    ids: [],
    unread: true,
    keys,
  });
  assert.ok(job);
  cluster.endJob(jobId(1), doneAt(5));
  assert.equal(runPlacementRound(cluster, 32, 0).started.length, 0);
  cluster.addReadDependencies(job, [jobId(1)]);
  assert.equal(runPlacementRound(cluster, 32, 0).started.length, 4);
  cluster.endJob(jobId(2), CANCELLED);
  assert.deepEqual([...cluster.obsoleteKeys], keys);
});

test('a waiting job uses no guaranteed quota, and machines are provisioned once it is about to be ready', () => {
  const cluster = createCluster({
    teams: [{ name: 'ops', guaranteedCpus: 20, guaranteedGpus: 0, maxCpus: 0, maxGpus: 0 }],
  });
  joinCluster(cluster, new ScriptedAgent('n-1'), 0);
  joinCluster(cluster, new ScriptedAgent('n-2'), 0);
  addJob(cluster, 1, [], { tasks: 4 });
  const waitingJob = addJob(cluster, 2, [1], { tasks: 400, jobClass: 'far' });
  const readyJob = addJob(cluster, 3, [], { tasks: 1 });
  const scaleOut = new ScaleOutPlanner(cluster);
  assert.ok(!scaleOut.plan(0).some((p) => p.reason.class === 'far'));
  runPlacementRound(cluster, 32, 0);
  assert.deepEqual([readyJob.withinGuarantee, waitingJob.withinGuarantee], [true, null]);
  // All tasks of its only dependency are on machines now.
  assert.ok(scaleOut.plan(200).some((p) => p.reason.class === 'far'));
});

test('a dependency of an urgent job is placed before other work of its own priority', () => {
  const cluster = createCluster();
  joinCluster(cluster, new ScriptedAgent('n-1'), 0);
  addJob(cluster, 1, [], { tasks: 4, priority: 3 });
  const step = addJob(cluster, 2, [], { tasks: 4, priority: 3, jobClass: 'early' });
  addJob(cluster, 3, [2], { priority: 1, deadlineS: 100, jobClass: 'last' });
  assert.equal(step.priority, 1);
  assert.ok(runPlacementRound(cluster, 4, 0).started.every((attempt) => attempt.job === step));
});

/** Recomputes the priority and the latest end of a job from all jobs that depend on it. */
function recomputeUrgency(
  cluster: ClusterState,
  job: Job,
): { priority: number; latestEndAt: number } {
  let priority = job.spec.priority;
  let latestEndAt =
    job.spec.deadlineS === null ? Infinity : job.acceptedAt + job.spec.deadlineS * 1000;
  for (const other of cluster.jobs.values()) {
    if (!other.pendingDependencies.has(job.spec.id)) continue;
    const inherited = recomputeUrgency(cluster, other);
    priority = Math.min(priority, inherited.priority);
    latestEndAt = Math.min(
      latestEndAt,
      inherited.latestEndAt - cluster.estimates.estimateS(other.spec) * 1.5 * 1000,
    );
  }
  return { priority, latestEndAt };
}

/** Checks the job's priority, latest end and cancellation against a recomputation over all jobs. */
function checkUrgency(cluster: ClusterState, job: Job, seed: number): void {
  const { priority, latestEndAt } = recomputeUrgency(cluster, job);
  const { effectiveDeadline: deadline } = job;
  const actualLatestEndAt = deadline
    ? deadline.job.acceptedAt +
      ((deadline.job.spec.deadlineS ?? 0) - deadline.remainingPathS) * 1000
    : Infinity;
  assert.equal(job.priority, priority, `seed ${seed}, ${job.spec.id}: priority`);
  assert.ok(
    actualLatestEndAt === latestEndAt || Math.abs(actualLatestEndAt - latestEndAt) < 1e-3,
    `seed ${seed}, ${job.spec.id}: latest end`,
  );
  const hasCancelledDependency = [...job.pendingDependencies].some(
    (id) => cluster.jobs.get(id)?.dependencyCancelled,
  );
  if (hasCancelledDependency)
    assert.ok(job.dependencyCancelled, `seed ${seed}: ${job.spec.id} is not cancelled`);
}

/** Adds a random job, may end another one, and applies some of the pending writes. */
function applyRandomEvents(
  cluster: ClusterState,
  n: number,
  randomInt: (bound: number) => number,
): void {
  const live = [...cluster.jobs.keys()];
  const dependencies = live.filter(() => randomInt(6) === 0).map((x) => Number(x.slice(4)));
  const deadlineS = randomInt(3) === 0 ? 50 + randomInt(500) : null;
  addJob(cluster, n, dependencies, {
    priority: randomInt(4),
    deadlineS,
    estimatedDurationS: 1 + randomInt(60),
  });
  const other = [...cluster.jobs.values()][randomInt(cluster.jobs.size)];
  if (other && randomInt(4) === 0)
    cluster.endJob(other.spec.id, randomInt(3) === 0 ? CANCELLED : doneAt(n));
  for (const write of collectPendingWrites(cluster, { progressChanges: 9, wallNow: n }))
    if (randomInt(2) === 0) write.applied(n);
}

test('over random histories priority, deadline and cancellation match a full recomputation', () => {
  for (let seed = 1; seed <= 40; seed++) {
    const rng = xoroshiro128plus(seed);
    const randomInt = (bound: number) => uniformInt(rng, 0, bound - 1);
    const cluster = createCluster();
    for (let n = 1; n <= 60; n++) {
      applyRandomEvents(cluster, n, randomInt);
      for (const job of cluster.jobs.values()) checkUrgency(cluster, job, seed);
    }
  }
});
