import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobSpec } from '../src/model/job.js';
import { runPlacementRound } from '../src/scheduler/placement/placement-round.js';
import { applyPreemption, PreemptionPlanner } from '../src/scheduler/placement/preemption.js';
import { readyBatches } from '../src/scheduler/placement/ready-queue.js';
import { addReservation } from '../src/scheduler/placement/reservations.js';
import type { Batch } from '../src/scheduler/state/batch.js';
import type { ClusterState } from '../src/scheduler/state/cluster-state.js';
import type { Machine } from '../src/scheduler/state/task-attempt.js';
import {
  createCluster,
  jobSpec,
  joinCluster,
  ScriptedAgent,
  sendHeartbeat,
} from './support/scheduler.js';

/**
 * Returns a machine of 16 CPUs on which four tasks of low priority have been running
 * since 100 ms.
 */
function fullMachine(fields: Partial<JobSpec> = {}): { cluster: ClusterState; machine: Machine } {
  const cluster = createCluster();
  const agent = joinCluster(cluster, new ScriptedAgent('n-1'), 0);
  cluster.addJob(jobSpec({ tasks: 4, priority: 3, ...fields }), 1, 0, false);
  runPlacementRound(cluster, 32, 0);
  sendHeartbeat(cluster, agent, 0);
  sendHeartbeat(cluster, agent, 100);
  const machine = cluster.machines.get('n-1');
  assert.ok(machine);
  assert.equal(agent.running().length, 4);
  return { cluster, machine };
}

/** Returns the batch of a job that has been waiting since 0 ms. */
function waitingBatch(cluster: ClusterState, fields: Partial<JobSpec>, now: number): Batch {
  const job = cluster.addJob(jobSpec(fields), cluster.jobs.size + 1, 0, false);
  const batch = readyBatches(cluster, now).find(({ jobs }) => job !== null && jobs.includes(job));
  assert.ok(batch);
  return batch;
}

function stoppedOn(machine: Machine): number {
  return [...machine.attempts.values()].filter((attempt) => attempt.stopRequest).length;
}

test('a preemption plan stops and reserves nothing until it is applied', () => {
  const { cluster, machine } = fullMachine({ checkpointIntervalS: 10, checkpointCostS: 2 });
  const urgent = waitingBatch(cluster, { id: 'req-000002', tasks: 1, cpus: 8, priority: 1 }, 9000);
  const plan = new PreemptionPlanner(cluster, [machine], 9000).plan(urgent, 1);
  assert.deepEqual(
    plan.map(({ victims, slots, reservedUntil }) => [victims.length, slots, reservedUntil]),
    // Three heartbeat intervals and the time that a victim takes to checkpoint.
    [[2, 1, 9000 + 9000 + 2000]],
  );
  assert.equal(stoppedOn(machine), 0);
  assert.equal(machine.reservation, null);

  applyPreemption(cluster, urgent, plan);
  assert.equal(stoppedOn(machine), 2);
  assert.deepEqual(machine.reservation, {
    priority: 1,
    withinGuarantee: false,
    remainingTasks: 1,
    expiresAt: 20_000,
  });
});

test('a plan frees capacity for whole tasks only, and for no more than are unplaced', () => {
  const { cluster, machine } = fullMachine();
  const urgent = waitingBatch(cluster, { id: 'req-000002', tasks: 9, cpus: 6, priority: 1 }, 9000);
  const planned = (unplaced: number) =>
    new PreemptionPlanner(cluster, [machine], 9000)
      .plan(urgent, unplaced)
      .map(({ victims, slots }) => [victims.length, slots]);
  assert.deepEqual(planned(1), [[2, 1]]);
  // The third victim makes room for a second task. The fourth does not free enough for another.
  assert.deepEqual(planned(9), [
    [2, 1],
    [1, 1],
  ]);
});

test('two batches of a round don’t claim the capacity that one victim frees', () => {
  const { cluster, machine } = fullMachine();
  const first = waitingBatch(cluster, { id: 'req-000002', tasks: 1, priority: 1 }, 9000);
  const second = waitingBatch(
    cluster,
    { id: 'req-000003', tasks: 1, priority: 1, image: 'other' },
    9000,
  );
  const planner = new PreemptionPlanner(cluster, [machine], 9000);
  applyPreemption(cluster, first, planner.plan(first, 1));
  assert.equal(stoppedOn(machine), 1);
  applyPreemption(cluster, second, planner.plan(second, 1));
  assert.equal(stoppedOn(machine), 2);
  // Capacity is reserved for both, so a later round preempts nothing more for either.
  assert.equal(machine.reservation?.remainingTasks, 2);
  const nextPlanner = new PreemptionPlanner(cluster, [machine], 9100);
  assert.deepEqual([...nextPlanner.plan(first, 1), ...nextPlanner.plan(second, 1)], []);
});

test('a reservation excludes work of lower priority until it expires, and another preemption extends it', () => {
  const cluster = createCluster();
  const agent = joinCluster(cluster, new ScriptedAgent('n-1'), 0);
  const machine = cluster.machines.get('n-1');
  assert.ok(machine);
  const urgent = waitingBatch(cluster, { id: 'req-000002', tasks: 2, priority: 1 }, 0);
  addReservation(machine, urgent, 1000);
  addReservation(machine, urgent, 2000);
  cluster.endJob('req-000002', { state: 'cancelled', at: null });
  cluster.addJob(jobSpec({ id: 'req-000003', tasks: 1, priority: 3 }), 3, 0, false);
  cluster.applyHeartbeat(agent.heartbeat(), 'heartbeat', 1000);
  assert.equal(runPlacementRound(cluster, 32, 1999).started.length, 0);
  assert.equal(runPlacementRound(cluster, 32, 2000).started.length, 1);
});

test('at most about a tenth of the machines is reserved for starving jobs', () => {
  const cluster = createCluster();
  const agents = Array.from({ length: 10 }, (_, i) =>
    joinCluster(cluster, new ScriptedAgent(`n-${i + 1}`, i < 5 ? 'a' : 'b'), 0),
  );
  // Work that may not be preempted leaves no machine empty for a task that needs a whole one.
  cluster.addJob(jobSpec({ tasks: 10, cpus: 12, priority: 0 }), 1, 0, false);
  runPlacementRound(cluster, 32, 0);
  cluster.addJob(jobSpec({ id: 'req-000002', tasks: 1, cpus: 16, zone: 'a' }), 2, 0, false);
  cluster.addJob(jobSpec({ id: 'req-000003', tasks: 1, cpus: 16, zone: 'b' }), 3, 0, false);
  const reservedAt = (now: number) => {
    for (const agent of agents) cluster.applyHeartbeat(agent.heartbeat(), 'heartbeat', now);
    runPlacementRound(cluster, 32, now);
    return [...cluster.machines.values()]
      .filter((machine) => machine.reservedForJob)
      .map((machine) => [machine.zone, machine.reservedForJob]);
  };
  assert.deepEqual(reservedAt(120_000), []);
  assert.deepEqual(reservedAt(120_001), [['a', 'req-000002']]);
});
