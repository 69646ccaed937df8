/** Guards against rounds that search all machines again for each of thousands of waiting batches. Counts visits, not time. */
import assert from 'node:assert/strict';
import { type TestContext, test } from 'node:test';
import { KindFindings } from '../src/scheduler/placement/batch-kind.js';
import { placeOnMachine } from '../src/scheduler/placement/machine-placement.js';
import {
  type PlacementResult,
  runPlacementRound,
} from '../src/scheduler/placement/placement-round.js';
import type { ClusterState } from '../src/scheduler/state/cluster-state.js';
import type { Machine } from '../src/scheduler/state/task-attempt.js';
import {
  createCluster,
  jobSpec,
  joinCluster,
  ScriptedAgent,
  sendHeartbeat,
  teamQuota,
} from './support/scheduler.js';
import { seededRandom } from './support/seeded-random.js';

/** A time at which jobs that were accepted at 0 are starving, in milliseconds. */
const STARVING_AT = 130_000;

function jobId(n: number): string {
  return `req-${String(n).padStart(6, '0')}`;
}

/** Creates machines that are full of running tasks of low priority. */
function createFullFleet(size: number): { cluster: ClusterState; agents: ScriptedAgent[] } {
  const cluster = createCluster({ teams: [teamQuota({ name: 'ops', maxCpus: 1e6 })] });
  const agents = Array.from({ length: size }, (_, i) =>
    joinCluster(cluster, new ScriptedAgent(`n-${i + 1}`, i % 2 === 0 ? 'a' : 'b'), 0),
  );
  cluster.addJob(jobSpec({ tasks: size * 4, priority: 3 }), 1, 0, false);
  runPlacementRound(cluster, size * 4, 0);
  for (const now of [1, 2, STARVING_AT])
    for (const agent of agents) sendHeartbeat(cluster, agent, now);
  return { cluster, agents };
}

/** Adds jobs that are starving at `STARVING_AT`, of a few kinds. Returns the number of kinds. */
function addStarvingJobs(cluster: ClusterState, count: number, priority: number): number {
  const sizes = [2, 3, 4];
  for (let n = 0; n < count; n++) {
    const cpus = sizes[n % sizes.length] as number;
    const spec = jobSpec({ id: jobId(n + 2), tasks: 1, priority, cpus });
    cluster.addJob(spec, n + 2, 0, false);
  }
  return sizes.length;
}

test('a round visits each machine a few times for each kind of waiting batches, however many batches wait', () => {
  const size = 200;
  const attempts = size * 4;
  for (const count of [300, 3000]) {
    const { cluster } = createFullFleet(size);
    const kinds = addStarvingJobs(cluster, count, 3);
    const { visits, unplaced } = runPlacementRound(cluster, 32, STARVING_AT);
    assert.equal(unplaced, count);
    assert.equal(cluster.unplacedBatches.length, count);
    // For each kind a search for a machine, for one to reserve and for work to preempt.
    const bound = kinds * (3 * size + attempts);
    assert.ok(visits <= bound, `${count} batches: ${visits} visits, bound ${bound}`);
  }
});

/** Counts how often it is computed how many tasks fit the machine. */
function countFreeSlots(machine: Machine): { calls: number } {
  const counter = { calls: 0 };
  const original = machine.freeSlots.bind(machine);
  machine.freeSlots = (spec) => {
    counter.calls++;
    return original(spec);
  };
  return counter;
}

/** What a round decided, as text. */
function decisionsOf(cluster: ClusterState, { started, unplaced }: PlacementResult): string[] {
  const decisions = started.map(
    ({ job, index, machine }) => `start ${job.spec.id}/${index} on ${machine.id}`,
  );
  for (const machine of cluster.machines.values()) {
    const { reservation, reservedForJob } = machine;
    decisions.push(`${machine.id} ${reservedForJob} ${JSON.stringify(reservation)}`);
    for (const { job, index, stopRequest } of machine.attempts.values())
      if (stopRequest) decisions.push(`stop ${job.spec.id}/${index} on ${machine.id}`);
  }
  return [...decisions, `${unplaced} unplaced`];
}

/** Plays a seeded history of jobs, ends and rounds under scarce capacity. Returns all decisions. */
function playHistory(seed: number): string[] {
  const random = seededRandom(seed);
  const below = (bound: number) => Math.floor(random() * bound);
  const teams = [
    teamQuota({ name: 'ops', guaranteedCpus: 40, maxCpus: 120 }),
    teamQuota({ name: 'web', guaranteedCpus: 20, maxCpus: 200 }),
  ];
  const cluster = createCluster({ teams });
  const agents = Array.from({ length: 8 }, (_, i) =>
    joinCluster(cluster, new ScriptedAgent(`n-${i + 1}`, i % 2 === 0 ? 'a' : 'b'), 0),
  );
  const decisions: string[] = [];
  let lastJob = 0;
  for (let now = 3000; now <= 240_000; now += 6000) {
    for (let i = below(6); i > 0; i--) addRandomJob(cluster, ++lastJob, now, below);
    for (const agent of agents) {
      for (const key of agent.tasks.keys())
        if (below(6) === 0 && agent.tasks.get(key)?.state === 'running') agent.exit(key, 'done');
      sendHeartbeat(cluster, agent, now);
    }
    decisions.push(...decisionsOf(cluster, runPlacementRound(cluster, 1 + below(40), now)));
  }
  return decisions;
}

function addRandomJob(
  cluster: ClusterState,
  n: number,
  now: number,
  below: (bound: number) => number,
): void {
  const spec = jobSpec({
    id: jobId(n),
    team: below(2) === 0 ? 'ops' : 'web',
    tasks: 1 + below(12),
    cpus: [1, 2, 4, 8, 16][below(5)] as number,
    memoryGb: 4,
    priority: below(4),
    zone: below(4) === 0 ? 'a' : null,
    singleZone: below(6) === 0,
    zoneAntiAffinity: below(6) === 0,
    checkpointIntervalS: below(2) * 30,
    checkpointCostS: 2,
  });
  cluster.addJob(spec, n, now, false);
}

/** Makes every batch search the machines by itself for the rest of the test. */
function forgetFindings(t: TestContext): void {
  t.mock.method(KindFindings.prototype, 'isWithoutMachine', () => false);
  t.mock.method(KindFindings.prototype, 'isWithoutPreemption', () => false);
  t.mock.method(KindFindings.prototype, 'machineToReserve', (_kind: string, find: () => unknown) =>
    find(),
  );
}

test('over seeded histories rounds decide the same when each batch searches the machines by itself', (t) => {
  const seeds = Array.from({ length: 60 }, (_, i) => i + 1);
  const shared = seeds.map(playHistory);
  forgetFindings(t);
  for (const [i, seed] of seeds.entries())
    assert.deepEqual(playHistory(seed), shared[i], `seed ${seed}`);
  assert.ok(shared.some((decisions) => decisions.some((decision) => decision.startsWith('stop'))));
});

/** Visits that one round may make for each of its three searches, and the last batch of each. */
const MAX_ROUND_VISITS = 3 * 500_000 * 1.01;

/** Starving jobs that may preempt, each of a kind of its own. Each needs nearly all that one running task uses. */
function addDistinctJobs(cluster: ClusterState, count: number): void {
  for (let n = 2; n < count + 2; n++) {
    const spec = jobSpec({ id: jobId(n), tasks: 1, priority: 1, cpus: 3.9 + (n % 997) / 10_000 });
    cluster.addJob(spec, n, 0, false);
  }
}

/** Returns the number of tasks that are being stopped. */
function stoppedTasks(cluster: ClusterState): number {
  let stopped = 0;
  for (const machine of cluster.machines.values())
    for (const { stopRequest, state } of machine.attempts.values())
      if (stopRequest && state !== 'exited') stopped++;
  return stopped;
}

test('a round with many kinds of batches visits a bounded number of machines, and later rounds plan for the others, once each', () => {
  const { cluster } = createFullFleet(400);
  const count = 900;
  addDistinctJobs(cluster, count);
  let rounds = 0;
  for (let unfinished = true; unfinished; rounds++) {
    const result = runPlacementRound(cluster, 32, STARVING_AT);
    assert.ok(result.visits <= MAX_ROUND_VISITS, `${result.visits} visits`);
    ({ unfinished } = result);
  }
  assert.ok(rounds > 1, `${rounds} rounds`);
  // Each job takes the place of one task, and no task is stopped twice or for nobody.
  assert.equal(stoppedTasks(cluster), count);
});

test('what changes between two rounds of a pass stands: ended jobs, lost machines, tasks that have ended and started', () => {
  const { cluster, agents } = createFullFleet(400);
  // On each machine one task has lost least, so that a pass returns to machines that it has used.
  for (const machine of cluster.machines.values())
    for (const [i, attempt] of [...machine.attempts.values()].entries())
      attempt.runningSince = 1000 * i;
  const count = 900;
  addDistinctJobs(cluster, count);
  const first = runPlacementRound(cluster, 32, STARVING_AT);
  assert.equal(first.unfinished, true);
  const stoppedAtFirst = stoppedTasks(cluster);
  assert.ok(stoppedAtFirst > 100 && stoppedAtFirst < count - 100, `${stoppedAtFirst} stopped`);
  // The last jobs, for which nothing has been planned, end.
  const ended = 50;
  for (let n = count + 2 - ended; n < count + 2; n++)
    cluster.endJob(jobId(n), { state: 'cancelled', at: null });
  // A machine without stopped tasks is lost. The stopped tasks of the others end, and the jobs that
  // they were stopped for are started in their place.
  const untouched = [...cluster.machines.values()].find((machine) =>
    [...machine.attempts.values()].every((attempt) => !attempt.stopRequest),
  );
  assert.ok(untouched);
  cluster.markTerminated(untouched.id, 'returned', STARVING_AT);
  for (const agent of agents)
    if (agent.id !== untouched.id) sendHeartbeat(cluster, agent, STARVING_AT);
  for (const agent of agents)
    if (agent.id !== untouched.id) sendHeartbeat(cluster, agent, STARVING_AT);
  let started = 0;
  let rounds = 0;
  for (let unfinished = true; unfinished; rounds++) {
    const result = runPlacementRound(cluster, count, STARVING_AT);
    started += result.started.filter(({ job }) => job.priority === 1).length;
    ({ unfinished } = result);
    assert.ok(rounds < 50, 'the pass ends');
  }
  assert.equal(started, stoppedAtFirst);
  assert.equal(stoppedTasks(cluster), count - ended - stoppedAtFirst);
});

test('a heartbeat checks each kind of waiting batches once, and still starts the one batch that fits', () => {
  for (const count of [300, 3000]) {
    const { cluster, agents } = createFullFleet(2);
    // The first machine has four free CPUs, and all waiting tasks need more.
    const [agent] = agents;
    assert.ok(agent);
    agent.exit([...agent.tasks.keys()][0] as string, 'done');
    sendHeartbeat(cluster, agent, STARVING_AT);
    const kinds = 5;
    for (let n = 2; n < count; n++) {
      const spec = jobSpec({ id: jobId(n), tasks: 1, priority: 3, cpus: 5 + (n % kinds) });
      cluster.addJob(spec, n, 0, false);
    }
    runPlacementRound(cluster, 32, STARVING_AT);
    const machine = cluster.machines.get(agent.id);
    assert.ok(machine);
    const freeSlots = countFreeSlots(machine);
    assert.deepEqual(placeOnMachine(cluster, machine, 32, STARVING_AT), []);
    assert.ok(freeSlots.calls <= kinds, `${count} batches: ${freeSlots.calls} checks`);
    const fitting = jobSpec({ id: jobId(count), tasks: 2, priority: 3, cpus: 4 });
    cluster.addJob(fitting, count, 0, false);
    // A round that may start nothing leaves it waiting after all others.
    runPlacementRound(cluster, 0, STARVING_AT);
    machine.reservedForJob = null;
    freeSlots.calls = 0;
    const started = placeOnMachine(cluster, machine, 32, STARVING_AT);
    assert.deepEqual(
      started.map(({ job }) => job.spec.id),
      [jobId(count)],
    );
    assert.ok(freeSlots.calls <= 3 * (kinds + 2), `${count} batches: ${freeSlots.calls} checks`);
  }
});
