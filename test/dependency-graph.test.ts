import assert from 'node:assert/strict';
import { test } from 'node:test';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { pendingWrites } from '../src/scheduler/persistence/pending-writes.js';
import { runPlacementRound } from '../src/scheduler/placement/placement-round.js';
import { takePendingCommands } from '../src/scheduler/reconcile/task-commands.js';
import { ScaleOutPlanner } from '../src/scheduler/scaling/scale-out.js';
import type { ClusterState } from '../src/scheduler/state/cluster-state.js';
import type { Job } from '../src/scheduler/state/task-attempt.js';
import { createCluster, jobSpec, joinCluster, ScriptedAgent } from './support/scheduler.js';

function id(n: number): string {
  return `req-${String(n).padStart(6, '0')}`;
}

function add(
  cluster: ClusterState,
  n: number,
  needs: number[],
  fields: Parameters<typeof jobSpec>[0] = {},
): Job {
  const upstream = { ids: needs.map(id), unread: false, keys: [] };
  const job = cluster.addJob(jobSpec({ id: id(n), ...fields }), n, n * 1000, false, upstream);
  assert.ok(job);
  return job;
}

const done = (at: number) => ({ state: 'done' as const, at });
const CANCELLED = { state: 'cancelled' as const, at: null };

test('a job is ready once the end of all that it needs is durable, and its waits count from then', () => {
  const cluster = createCluster();
  const w = joinCluster(cluster, new ScriptedAgent('n-1'), 0);
  add(cluster, 1, [], { tasks: 1 });
  add(cluster, 2, [], { tasks: 1 });
  const last = add(cluster, 3, [1, 2], { tasks: 1 });
  runPlacementRound(cluster, 32, 0);
  w.execute(cluster.term, takePendingCommands(cluster.machines.get('n-1') as never).commands);
  assert.deepEqual(w.running().sort(), [`${id(1)}/0`, `${id(2)}/0`]);
  // Their exits alone are not enough: a cancellation may still win.
  for (const key of [...w.tasks.keys()]) w.exit(key, 'done');
  cluster.applyHeartbeat(w.heartbeat(), 'heartbeat', 100);
  assert.equal(runPlacementRound(cluster, 32, 200).started.length, 0);
  const ends = pendingWrites(cluster, { progressChanges: 9, wallNow: 7000 });
  ends[0]?.applied(11);
  assert.equal(runPlacementRound(cluster, 32, 300).started.length, 0);
  ends[1]?.applied(12);
  assert.equal(last.eligibleAt, 7000);
  assert.equal(runPlacementRound(cluster, 32, 400).started[0]?.job, last);
});

test('how a job ended that is no longer live is read before what needs it may start', () => {
  const cluster = createCluster({ term: 2 });
  joinCluster(cluster, new ScriptedAgent('n-1'), 0);
  const job = add(cluster, 3, [1, 2]);
  assert.deepEqual([...cluster.dependencies.unresolvedEnds], [id(1), id(2)]);
  cluster.endJob(id(1), done(500));
  assert.equal(runPlacementRound(cluster, 32, 0).started.length, 0);
  cluster.endJob(id(2), done(400));
  assert.deepEqual([job.awaitsDependencies, job.eligibleAt], [false, 3000]);
  assert.equal(runPlacementRound(cluster, 32, 0).started.length, 4);
  // Known from now on: one that names them again waits for nobody.
  assert.equal(add(cluster, 4, [1, 2]).awaitsDependencies, false);
  assert.equal(cluster.dependencies.unresolvedEnds.size, 0);
});

test('the watch may tell of an end before or after the transaction that made it is answered', () => {
  for (const order of ['watch first', 'answer first']) {
    const cluster = createCluster();
    add(cluster, 1, []);
    const next = add(cluster, 2, [1]);
    if (order === 'watch first') {
      cluster.endJob(id(1), null);
      assert.deepEqual(
        [[...cluster.dependencies.unresolvedEnds], next.awaitsDependencies],
        [[id(1)], true],
      );
      cluster.endJob(id(1), done(9));
    } else {
      cluster.endJob(id(1), done(9));
      cluster.endJob(id(1), null);
    }
    assert.deepEqual(
      [cluster.dependencies.unresolvedEnds.size, next.awaitsDependencies],
      [0, false],
    );
  }
});

test('a cancellation reaches all that needs the job, through others and whenever it is submitted', () => {
  const cluster = createCluster();
  joinCluster(cluster, new ScriptedAgent('n-1'), 0);
  add(cluster, 1, []);
  add(cluster, 2, [1]);
  add(cluster, 3, [1]);
  add(cluster, 4, [2, 3]);
  add(cluster, 5, []);
  cluster.endJob(id(1), CANCELLED);
  add(cluster, 6, [4]);
  add(cluster, 7, [1]);
  const writes = pendingWrites(cluster, { progressChanges: 9, wallNow: 0 });
  const ended = writes.flatMap((write) => write.changes).map((x) => x.key);
  for (const n of [2, 3, 4, 6, 7]) assert.ok(ended.includes(`over/${id(n)}`), id(n));
  assert.equal(writes.length, 5);
  // Written in any order, over several turns, in part by somebody else.
  for (const write of writes.reverse()) write.conflict([]);
  assert.deepEqual([...cluster.jobs.keys()], [id(5)]);
  assert.deepEqual(pendingWrites(cluster, { progressChanges: 9, wallNow: 0 }), []);
});

test('an end that was lost to a cancellation is read, and what needs the job is cancelled with it', () => {
  const cluster = createCluster();
  const w = joinCluster(cluster, new ScriptedAgent('n-1'), 0);
  add(cluster, 1, [], { tasks: 1 });
  const next = add(cluster, 2, [1]);
  runPlacementRound(cluster, 32, 0);
  w.execute(cluster.term, takePendingCommands(cluster.machines.get('n-1') as never).commands);
  w.exit([...w.tasks.keys()][0] as string, 'done');
  cluster.applyHeartbeat(w.heartbeat(), 'heartbeat', 100);
  const [end] = pendingWrites(cluster, { progressChanges: 9, wallNow: 0 });
  end?.conflict([`live/${id(1)}`]);
  assert.deepEqual(
    [[...cluster.dependencies.unresolvedEnds], next.awaitsDependencies],
    [[id(1)], true],
  );
  cluster.endJob(id(1), CANCELLED);
  assert.equal(runPlacementRound(cluster, 32, 200).started.length, 0);
  assert.equal(next.dependencyCancelled, true);
});

test('what a job needs beyond its record is read before it may start', () => {
  const cluster = createCluster();
  joinCluster(cluster, new ScriptedAgent('n-1'), 0);
  add(cluster, 1, []);
  const keys = [0, 1].map((page) => `upstream/${id(2)}/${page}`);
  const job = cluster.addJob(jobSpec({ id: id(2) }), 2, 0, false, { ids: [], unread: true, keys });
  assert.ok(job);
  cluster.endJob(id(1), done(5));
  assert.equal(runPlacementRound(cluster, 32, 0).started.length, 0);
  cluster.addReadDependencies(job, [id(1)]);
  assert.equal(runPlacementRound(cluster, 32, 0).started.length, 4);
  cluster.endJob(id(2), CANCELLED);
  assert.deepEqual([...cluster.obsoleteKeys], keys);
});

test('a waiting job holds no guarantee, and machines are rented for what will be ready next', () => {
  const cluster = createCluster({
    teams: [{ name: 'ops', guaranteedCpus: 20, guaranteedGpus: 0, maxCpus: 0, maxGpus: 0 }],
  });
  joinCluster(cluster, new ScriptedAgent('n-1'), 0);
  joinCluster(cluster, new ScriptedAgent('n-2'), 0);
  add(cluster, 1, [], { tasks: 4 });
  const far = add(cluster, 2, [1], { tasks: 400, jobClass: 'far' });
  const near = add(cluster, 3, [], { tasks: 1 });
  const scaleOut = new ScaleOutPlanner(cluster);
  assert.ok(!scaleOut.plan(0).some((p) => p.reason.class === 'far'));
  runPlacementRound(cluster, 32, 0);
  assert.deepEqual([near.withinGuarantee, far.withinGuarantee], [true, null]);
  // All tasks of its only upstream job are on machines now.
  assert.ok(scaleOut.plan(200).some((p) => p.reason.class === 'far'));
});

test('an early step goes before other work of its own rank when the last one is urgent', () => {
  const cluster = createCluster();
  joinCluster(cluster, new ScriptedAgent('n-1'), 0);
  add(cluster, 1, [], { tasks: 4, priority: 3 });
  const step = add(cluster, 2, [], { tasks: 4, priority: 3, jobClass: 'early' });
  add(cluster, 3, [2], { priority: 1, deadlineS: 100, jobClass: 'last' });
  assert.equal(step.priority, 1);
  assert.ok(runPlacementRound(cluster, 4, 0).started.every((attempt) => attempt.job === step));
});

/** Rank and latest end of each job, taken anew from all that needs it. */
function anew(cluster: ClusterState, job: Job): { rank: number; end: number } {
  let rank = job.spec.priority;
  let end = job.spec.deadlineS === null ? Infinity : job.acceptedAt + job.spec.deadlineS * 1000;
  for (const other of cluster.jobs.values()) {
    if (!other.pendingDependencies.has(job.spec.id)) continue;
    const after = anew(cluster, other);
    rank = Math.min(rank, after.rank);
    end = Math.min(end, after.end - cluster.estimates.estimateS(other.spec) * 1.5 * 1000);
  }
  return { rank, end };
}

/** What the job says of its rank, its latest end and its cancellation is what a look over all jobs says. */
function checkAgainstAnew(cluster: ClusterState, job: Job, seed: number): void {
  const { rank, end } = anew(cluster, job);
  const { effectiveDeadline: goal } = job;
  const latest = goal
    ? goal.job.acceptedAt + ((goal.job.spec.deadlineS ?? 0) - goal.remainingPathS) * 1000
    : Infinity;
  assert.equal(job.priority, rank, `seed ${seed}, ${job.spec.id}: rank`);
  assert.ok(latest === end || Math.abs(latest - end) < 1e-3, `seed ${seed}, ${job.spec.id}`);
  const above = [...job.pendingDependencies].some(
    (id) => cluster.jobs.get(id)?.dependencyCancelled,
  );
  if (above) assert.ok(job.dependencyCancelled, `seed ${seed}: ${job.spec.id} is left`);
}

/** One more job by draw, perhaps the end of another, and some of what stands to be written. */
function grow(cluster: ClusterState, n: number, pick: (n: number) => number): void {
  const live = [...cluster.jobs.keys()];
  const needs = live.filter(() => pick(6) === 0).map((x) => Number(x.slice(4)));
  const deadlineS = pick(3) === 0 ? 50 + pick(500) : null;
  add(cluster, n, needs, { priority: pick(4), deadlineS, estimatedDurationS: 1 + pick(60) });
  const other = [...cluster.jobs.values()][pick(cluster.jobs.size)];
  if (other && pick(4) === 0) cluster.endJob(other.spec.id, pick(3) === 0 ? CANCELLED : done(n));
  for (const write of pendingWrites(cluster, { progressChanges: 9, wallNow: n }))
    if (pick(2) === 0) write.applied(n);
}

test('over random histories priority, goal and cancellations agree with those taken anew', () => {
  for (let seed = 1; seed <= 40; seed++) {
    const rng = xoroshiro128plus(seed);
    const pick = (n: number) => uniformInt(rng, 0, n - 1);
    const cluster = createCluster();
    for (let n = 1; n <= 60; n++) {
      grow(cluster, n, pick);
      for (const job of cluster.jobs.values()) checkAgainstAnew(cluster, job, seed);
    }
  }
});
