import assert from 'node:assert/strict';
import { test } from 'node:test';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { pendingWrites } from '../src/scheduler/persistence/durable-writes.js';
import { runPlacementRound } from '../src/scheduler/placement/placement-round.js';
import { takePendingCommands } from '../src/scheduler/reconcile/task-commands.js';
import { ScaleOutPlanner } from '../src/scheduler/scaling/scale-out.js';
import type { ClusterState } from '../src/scheduler/state/cluster-state.js';
import type { Job } from '../src/scheduler/state/job.js';
import { createCluster, jobSpec, joinCluster, ScriptedAgent } from './support/scheduler.js';

function id(n: number): string {
  return `req-${String(n).padStart(6, '0')}`;
}

function add(
  c: ClusterState,
  n: number,
  needs: number[],
  fields: Parameters<typeof jobSpec>[0] = {},
): Job {
  const upstream = { ids: needs.map(id), unread: false, keys: [] };
  const job = c.addJob(jobSpec({ id: id(n), ...fields }), n, n * 1000, false, upstream);
  assert.ok(job);
  return job;
}

const done = (at: number) => ({ state: 'done' as const, at });
const CANCELLED = { state: 'cancelled' as const, at: null };

test('a job is ready once the end of all that it needs is durable, and its waits count from then', () => {
  const c = createCluster();
  const w = joinCluster(c, new ScriptedAgent('n-1'), 0);
  add(c, 1, [], { tasks: 1 });
  add(c, 2, [], { tasks: 1 });
  const last = add(c, 3, [1, 2], { tasks: 1 });
  runPlacementRound(c, 32, 0);
  w.execute(c.term, takePendingCommands(c.machines.get('n-1') as never).commands);
  assert.deepEqual(w.running().sort(), [`${id(1)}/0`, `${id(2)}/0`]);
  // Their exits alone are not enough: a cancellation may still win.
  for (const key of [...w.tasks.keys()]) w.exit(key, 'done');
  c.applyHeartbeat(w.heartbeat(), true, 100);
  assert.equal(runPlacementRound(c, 32, 200).started.length, 0);
  const ends = pendingWrites(c, { progressChanges: 9, wallNow: 7000 });
  ends[0]?.applied(11);
  assert.equal(runPlacementRound(c, 32, 300).started.length, 0);
  ends[1]?.applied(12);
  assert.equal(last.eligibleAt, 7000);
  assert.equal(runPlacementRound(c, 32, 400).started[0]?.job, last);
});

test('how a job ended that is no longer live is read before what needs it may start', () => {
  const c = createCluster({ term: 2 });
  joinCluster(c, new ScriptedAgent('n-1'), 0);
  const job = add(c, 3, [1, 2]);
  assert.deepEqual([...c.dependencies.unresolvedEnds], [id(1), id(2)]);
  c.endJob(id(1), done(500));
  assert.equal(runPlacementRound(c, 32, 0).started.length, 0);
  c.endJob(id(2), done(400));
  assert.deepEqual([job.awaitsDependencies, job.eligibleAt], [false, 3000]);
  assert.equal(runPlacementRound(c, 32, 0).started.length, 4);
  // Known from now on: one that names them again waits for nobody.
  assert.equal(add(c, 4, [1, 2]).awaitsDependencies, false);
  assert.equal(c.dependencies.unresolvedEnds.size, 0);
});

test('the watch may tell of an end before or after the transaction that made it is answered', () => {
  for (const order of ['watch first', 'answer first']) {
    const c = createCluster();
    add(c, 1, []);
    const next = add(c, 2, [1]);
    if (order === 'watch first') {
      c.endJob(id(1), null);
      assert.deepEqual(
        [[...c.dependencies.unresolvedEnds], next.awaitsDependencies],
        [[id(1)], true],
      );
      c.endJob(id(1), done(9));
    } else {
      c.endJob(id(1), done(9));
      c.endJob(id(1), null);
    }
    assert.deepEqual([c.dependencies.unresolvedEnds.size, next.awaitsDependencies], [0, false]);
  }
});

test('a cancellation reaches all that needs the job, through others and whenever it is submitted', () => {
  const c = createCluster();
  joinCluster(c, new ScriptedAgent('n-1'), 0);
  add(c, 1, []);
  add(c, 2, [1]);
  add(c, 3, [1]);
  add(c, 4, [2, 3]);
  add(c, 5, []);
  c.endJob(id(1), CANCELLED);
  add(c, 6, [4]);
  add(c, 7, [1]);
  const units = pendingWrites(c, { progressChanges: 9, wallNow: 0 });
  const ended = units.flatMap((u) => u.changes).map((x) => x.key);
  for (const n of [2, 3, 4, 6, 7]) assert.ok(ended.includes(`over/${id(n)}`), id(n));
  assert.equal(units.length, 5);
  // Written in any order, over several turns, in part by somebody else.
  for (const u of units.reverse()) u.conflict([]);
  assert.deepEqual([...c.jobs.keys()], [id(5)]);
  assert.deepEqual(pendingWrites(c, { progressChanges: 9, wallNow: 0 }), []);
});

test('an end that was lost to a cancellation is read, and what needs the job is cancelled with it', () => {
  const c = createCluster();
  const w = joinCluster(c, new ScriptedAgent('n-1'), 0);
  add(c, 1, [], { tasks: 1 });
  const next = add(c, 2, [1]);
  runPlacementRound(c, 32, 0);
  w.execute(c.term, takePendingCommands(c.machines.get('n-1') as never).commands);
  w.exit([...w.tasks.keys()][0] as string, 'done');
  c.applyHeartbeat(w.heartbeat(), true, 100);
  const [end] = pendingWrites(c, { progressChanges: 9, wallNow: 0 });
  end?.conflict([`live/${id(1)}`]);
  assert.deepEqual([[...c.dependencies.unresolvedEnds], next.awaitsDependencies], [[id(1)], true]);
  c.endJob(id(1), CANCELLED);
  assert.equal(runPlacementRound(c, 32, 200).started.length, 0);
  assert.equal(next.dependencyCancelled, true);
});

test('what a job needs beyond its record is read before it may start', () => {
  const c = createCluster();
  joinCluster(c, new ScriptedAgent('n-1'), 0);
  add(c, 1, []);
  const keys = [0, 1].map((page) => `upstream/${id(2)}/${page}`);
  const job = c.addJob(jobSpec({ id: id(2) }), 2, 0, false, { ids: [], unread: true, keys });
  assert.ok(job);
  c.endJob(id(1), done(5));
  assert.equal(runPlacementRound(c, 32, 0).started.length, 0);
  c.addReadDependencies(job, [id(1)]);
  assert.equal(runPlacementRound(c, 32, 0).started.length, 4);
  c.endJob(id(2), CANCELLED);
  assert.deepEqual([...c.obsoleteKeys], keys);
});

test('a waiting job holds no guarantee, and machines are rented for what will be ready next', () => {
  const c = createCluster({
    teams: [{ name: 'ops', guaranteedCpus: 20, guaranteedGpus: 0, maxCpus: 0, maxGpus: 0 }],
  });
  joinCluster(c, new ScriptedAgent('n-1'), 0);
  joinCluster(c, new ScriptedAgent('n-2'), 0);
  add(c, 1, [], { tasks: 4 });
  const far = add(c, 2, [1], { tasks: 400, jobClass: 'far' });
  const near = add(c, 3, [], { tasks: 1 });
  const renting = new ScaleOutPlanner(c);
  assert.ok(!renting.plan(0).some((p) => p.reason.class === 'far'));
  runPlacementRound(c, 32, 0);
  assert.deepEqual([near.withinGuarantee, far.withinGuarantee], [true, null]);
  // All tasks of its only upstream job are on machines now.
  assert.ok(renting.plan(200).some((p) => p.reason.class === 'far'));
});

test('an early step goes before other work of its own rank when the last one is urgent', () => {
  const c = createCluster();
  joinCluster(c, new ScriptedAgent('n-1'), 0);
  add(c, 1, [], { tasks: 4, priority: 3 });
  const step = add(c, 2, [], { tasks: 4, priority: 3, jobClass: 'early' });
  add(c, 3, [2], { priority: 1, deadlineS: 100, jobClass: 'last' });
  assert.equal(step.priority, 1);
  assert.ok(runPlacementRound(c, 4, 0).started.every((b) => b.job === step));
});

/** Rank and latest end of each job, taken anew from all that needs it. */
function anew(c: ClusterState, job: Job): { rank: number; end: number } {
  let rank = job.spec.priority;
  let end = job.spec.deadlineS === null ? Infinity : job.acceptedAt + job.spec.deadlineS * 1000;
  for (const other of c.jobs.values()) {
    if (!other.pendingDependencies.has(job.spec.id)) continue;
    const after = anew(c, other);
    rank = Math.min(rank, after.rank);
    end = Math.min(end, after.end - c.estimates.estimateS(other.spec) * 1.5 * 1000);
  }
  return { rank, end };
}

/** What the job says of its rank, its latest end and its cancellation is what a look over all jobs says. */
function checkAgainstAnew(c: ClusterState, job: Job, seed: number): void {
  const { rank, end } = anew(c, job);
  const { effectiveDeadline: goal } = job;
  const latest = goal
    ? goal.job.acceptedAt + ((goal.job.spec.deadlineS ?? 0) - goal.remainingPathS) * 1000
    : Infinity;
  assert.equal(job.priority, rank, `seed ${seed}, ${job.spec.id}: rank`);
  assert.ok(latest === end || Math.abs(latest - end) < 1e-3, `seed ${seed}, ${job.spec.id}`);
  const above = [...job.pendingDependencies].some((id) => c.jobs.get(id)?.dependencyCancelled);
  if (above) assert.ok(job.dependencyCancelled, `seed ${seed}: ${job.spec.id} is left`);
}

/** One more job by draw, perhaps the end of another, and some of what stands to be written. */
function grow(c: ClusterState, n: number, pick: (n: number) => number): void {
  const live = [...c.jobs.keys()];
  const needs = live.filter(() => pick(6) === 0).map((x) => Number(x.slice(4)));
  const deadlineS = pick(3) === 0 ? 50 + pick(500) : null;
  add(c, n, needs, { priority: pick(4), deadlineS, estimatedDurationS: 1 + pick(60) });
  const other = [...c.jobs.values()][pick(c.jobs.size)];
  if (other && pick(4) === 0) c.endJob(other.spec.id, pick(3) === 0 ? CANCELLED : done(n));
  for (const unit of pendingWrites(c, { progressChanges: 9, wallNow: n }))
    if (pick(2) === 0) unit.applied(n);
}

test('over random histories priority, goal and cancellations agree with those taken anew', () => {
  for (let seed = 1; seed <= 40; seed++) {
    const rng = xoroshiro128plus(seed);
    const pick = (n: number) => uniformInt(rng, 0, n - 1);
    const c = createCluster();
    for (let n = 1; n <= 60; n++) {
      grow(c, n, pick);
      for (const job of c.jobs.values()) checkAgainstAnew(c, job, seed);
    }
  }
});
