import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CapacityBackoff } from '../src/scheduler/scaling/capacity-backoff.js';
import { ScaleInPlanner } from '../src/scheduler/scaling/scale-in.js';
import { ScaleOutPlanner } from '../src/scheduler/scaling/scale-out.js';
import type { ClusterState } from '../src/scheduler/state/cluster-state.js';
import { createCluster, jobSpec, joinCluster, ScriptedAgent } from './support/scheduler.js';

function plannedMachines(scaleOut: ScaleOutPlanner, now: number): number {
  return scaleOut.plan(now).reduce((sum, plan) => sum + plan.count, 0);
}

/** Adds a machine that is up and idle and has no allocated demand. */
function idleCandidate(cluster: ClusterState, id: string) {
  joinCluster(cluster, new ScriptedAgent(id), 0);
  const machine = cluster.machines.get(id);
  assert.ok(machine);
  machine.scaleInCandidate = true;
  return machine;
}

test('a booting machine counts as capacity until twice its expected boot time', () => {
  const cluster = createCluster();
  const scaleOut = new ScaleOutPlanner(cluster);
  cluster.addJob(jobSpec({ tasks: 24, estimatedDurationS: 60 }), 1, 0, false);
  let id = 0;
  for (const plan of scaleOut.plan(0))
    for (let i = 0; i < plan.count; i++)
      cluster.ensureMachine(`n-${++id}`, plan.type, plan.zone, plan.spot, 0, 0);
  assert.equal(plannedMachines(scaleOut, 80_000), 0);
  assert.ok(plannedMachines(scaleOut, 80_001) > 0);
});

test('a ready task that no machine could run gets a machine, however small the demand', () => {
  const small = { tasks: 1, cpus: 1, memoryGb: 1, estimatedDurationS: 1, zone: 'b' };
  const cluster = createCluster();
  cluster.addJob(jobSpec(small), 1, 0, false);
  assert.equal(plannedMachines(new ScaleOutPlanner(cluster), 0), 1);
  joinCluster(cluster, new ScriptedAgent('n-1', 'a'), 0);
  assert.equal(plannedMachines(new ScaleOutPlanner(cluster), 0), 1);
  joinCluster(cluster, new ScriptedAgent('n-2', 'b'), 0);
  assert.equal(plannedMachines(new ScaleOutPlanner(cluster), 0), 0);

  // Demand that is only forecast gets no machine.
  const forecastOnly = new ScaleOutPlanner(createCluster());
  forecastOnly.recordArrival(jobSpec(small));
  assert.equal(plannedMachines(forecastOnly, 0), 0);
});

test('the back-off of a pool starts over once one of its machines has terminated', () => {
  const cluster = createCluster();
  const backoff = new CapacityBackoff(cluster);
  const machine = cluster.ensureMachine('n-1', 'm16', 'a', true, 0, 0);
  const pool = { type: 'm16', zone: 'a', spot: true };
  const endsAt = () => {
    for (let now = 0; ; now += 12_000) if (!backoff.isBackedOff('m16|a|true', now)) return now;
  };
  const refusedUntil = () => {
    backoff.recordRefusal(pool, 0);
    return endsAt();
  };
  assert.deepEqual(
    [refusedUntil(), refusedUntil(), refusedUntil(), refusedUntil()],
    [12_000, 24_000, 48_000, 48_000],
  );
  backoff.recordTermination(machine, 0);
  assert.equal(endsAt(), 12_000);
  assert.equal(refusedUntil(), 24_000);
});

test('an unresponsive machine is terminated after an agent lease, unless its heartbeats are relayed', () => {
  const cluster = createCluster();
  const machine = idleCandidate(cluster, 'n-1');
  machine.scaleInCandidate = false;
  machine.unresponsiveSince = 0;
  const scaleIn = new ScaleInPlanner(cluster);
  const terminatedAt = (now: number) => {
    machine.lastHeartbeatAt = now;
    return scaleIn.plan(now).length;
  };
  assert.equal(terminatedAt(20_000), 0);
  assert.equal(terminatedAt(20_001), 1);
  machine.relayed = true;
  assert.equal(terminatedAt(20_001), 0);
});

test('an idle machine is terminated only if no task of an earlier leader may be running on it', () => {
  const cluster = createCluster();
  const machine = idleCandidate(cluster, 'n-1');
  const scaleIn = new ScaleInPlanner(cluster);
  machine.lastHeartbeatAt = 30_000;
  const isTerminated = () => scaleIn.plan(30_000).length > 0;
  assert.ok(isTerminated());
  machine.hasUnknownTasks = true;
  assert.ok(!isTerminated());
  machine.hasUnknownTasks = false;
  machine.inherited = true;
  assert.ok(!isTerminated());
  machine.inherited = false;
  machine.confirmed = false;
  assert.ok(!isTerminated());
});

test('a restored forecast keeps its occupancy, and one stored without an occupancy gets an estimate', () => {
  const first = new ScaleOutPlanner(createCluster());
  first.recordArrival(jobSpec());
  const [forecast] = first.snapshot();
  assert.ok(forecast);
  const restored = (occupancyS: number | undefined) => {
    const next = new ScaleOutPlanner(createCluster());
    next.restore([{ ...forecast, occupancyS: occupancyS as number }]);
    return next.snapshot()[0]?.occupancyS;
  };
  assert.equal(restored(99), 99);
  assert.equal(restored(undefined), forecast.occupancyS);
});
