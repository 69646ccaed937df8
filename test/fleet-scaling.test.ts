import assert from 'node:assert/strict';
import { test } from 'node:test';
import { runPlacementRound } from '../src/scheduler/placement/placement-round.js';
import { ScaleInPlanner } from '../src/scheduler/scaling/scale-in.js';
import { ScaleOutPlanner } from '../src/scheduler/scaling/scale-out.js';
import {
  createCluster,
  jobSpec,
  joinCluster,
  ScriptedAgent,
  sendHeartbeat,
} from './support/scheduler.js';

const totalCount = (plans: { count: number }[]) => plans.reduce((n, plan) => n + plan.count, 0);

test('unplaced work leads to machines of the cheapest pool, and booting machines count as capacity', () => {
  const cluster = createCluster();
  const scaleOut = new ScaleOutPlanner(cluster);
  cluster.addJob(jobSpec({ tasks: 24, estimatedDurationS: 60 }), 1, 0, false);
  const plans = scaleOut.plan(0);
  assert.ok(totalCount(plans) >= 5 && totalCount(plans) <= 7);
  assert.ok(plans.every((plan) => plan.spot));
  let n = 0;
  for (const plan of plans)
    for (let i = 0; i < plan.count; i++)
      cluster.ensureMachine(`n-${++n}`, plan.type, plan.zone, plan.spot, 0, 0);
  assert.equal(totalCount(scaleOut.plan(1000)), 0);
});

test('a large demand is provisioned at once over all zones, with at most 50 machines per request', () => {
  const cluster = createCluster();
  const plans = () => {
    const scaleOut = new ScaleOutPlanner(cluster);
    return scaleOut.plan(0);
  };
  cluster.addJob(jobSpec({ tasks: 200, estimatedDurationS: 60 }), 1, 0, false);
  const initialPlans = plans();
  assert.deepEqual(new Set(initialPlans.map((plan) => plan.zone)), new Set(['a', 'b']));
  assert.ok(initialPlans.every((plan) => plan.spot));
  assert.ok(Math.abs((initialPlans[0]?.count ?? 0) - (initialPlans[1]?.count ?? 0)) <= 1);
  cluster.addJob(jobSpec({ id: 'req-000002', tasks: 4000, estimatedDurationS: 60 }), 2, 0, false);
  assert.equal(Math.max(...plans().map((plan) => plan.count)), 50);
});

test('work that may not use spot machines gets on-demand ones', () => {
  const cluster = createCluster();
  const scaleOut = new ScaleOutPlanner(cluster);
  cluster.addJob(jobSpec({ tasks: 8, allowsSpot: false }), 1, 0, false);
  const plans = scaleOut.plan(0);
  assert.ok(totalCount(plans) > 0);
  assert.ok(plans.every((plan) => !plan.spot));
});

test('a long job among short ones does not hide their backlog', () => {
  const plannedMachines = (firstEstimateS: number) => {
    const cluster = createCluster();
    const scaleOut = new ScaleOutPlanner(cluster);
    let version = 0;
    const arrive = (tasks: number, estimateS: number) => {
      const spec = jobSpec({ id: `req-${++version}`, tasks, estimatedDurationS: estimateS });
      scaleOut.recordArrival(spec);
      cluster.addJob(spec, version, 0, false);
    };
    arrive(1, firstEstimateS);
    for (let i = 0; i < 60; i++) arrive(20, 20);
    return totalCount(scaleOut.plan(0));
  };
  const expected = plannedMachines(20);
  assert.ok(expected > 60);
  assert.ok(Math.abs(plannedMachines(600) - expected) < expected * 0.1);
});

test('a pool is backed off after a refusal, and longer after a second one', () => {
  const cluster = createCluster();
  const scaleOut = new ScaleOutPlanner(cluster);
  cluster.addJob(jobSpec({ tasks: 8, zone: 'a' }), 1, 0, false);
  const [refusedPlan] = scaleOut.plan(0);
  assert.ok(refusedPlan?.spot);
  scaleOut.recordRefusal(refusedPlan, 0);
  assert.equal(scaleOut.plan(0)[0]?.spot, false);
  const initialDelayMs = 40_000 * 0.3;
  assert.equal(scaleOut.plan(initialDelayMs + 1)[0]?.spot, true);
  scaleOut.recordRefusal(refusedPlan, initialDelayMs + 1);
  assert.equal(scaleOut.plan(2 * initialDelayMs + 2)[0]?.spot, false);
  scaleOut.recordSuccess(refusedPlan);
  assert.equal(scaleOut.plan(2 * initialDelayMs + 2)[0]?.spot, true);
});

test('an idle machine is terminated after the idle limit, which heartbeats do not restart', () => {
  const cluster = createCluster();
  const scaleOut = new ScaleOutPlanner(cluster);
  const agent = joinCluster(cluster, new ScriptedAgent('n-1'), 0);
  for (let now = 0; now <= 24_000; now += 3000) {
    sendHeartbeat(cluster, agent, now);
    scaleOut.plan(now);
    assert.deepEqual(new ScaleInPlanner(cluster).plan(now), []);
  }
  sendHeartbeat(cluster, agent, 24_500);
  scaleOut.plan(24_500);
  assert.deepEqual(
    new ScaleInPlanner(cluster)
      .plan(24_500)
      .map((termination) => [termination.machine.id, termination.reason]),
    [['n-1', 'idle']],
  );
});

test('the demand for a kind of work ends soon after its jobs stop arriving', () => {
  const cluster = createCluster();
  const scaleOut = new ScaleOutPlanner(cluster);
  for (let now = 0; now <= 200_000; now += 5000) {
    scaleOut.recordArrival(jobSpec({ tasks: 4 }));
    scaleOut.plan(now);
  }
  const expected = totalCount(scaleOut.plan(200_000));
  assert.ok(expected >= 3);
  for (let now = 200_000; now <= 260_000; now += 1000) scaleOut.plan(now);
  assert.equal(totalCount(scaleOut.plan(260_000)), 0);
});

test('unbooted, quarantined and single unreachable machines are terminated, but not those of an unreachable zone', () => {
  const cluster = createCluster();
  const scaleIn = new ScaleInPlanner(cluster);
  cluster.ensureMachine('n-1', 'm16', 'a', false, 0, 0);
  const unreachable = joinCluster(cluster, new ScriptedAgent('n-2', 'a'), 150_000);
  const reachable = joinCluster(cluster, new ScriptedAgent('n-3', 'a'), 150_000);
  const partitioned = ['n-4', 'n-5'].map((id) =>
    joinCluster(cluster, new ScriptedAgent(id, 'b'), 150_000),
  );
  for (const agent of [unreachable, reachable, ...partitioned]) {
    cluster.addJob(jobSpec({ id: `req-${agent.id.slice(2)}`, tasks: 4 }), 1, 0, false);
    runPlacementRound(cluster, 4, 150_000);
  }
  for (let now = 150_000; now <= 161_000; now += 1000) sendHeartbeat(cluster, reachable, now);
  const terminations = () =>
    scaleIn.plan(161_000).map((termination) => [termination.machine.id, termination.reason]);
  assert.deepEqual(terminations(), [
    ['n-1', 'boot timeout'],
    ['n-2', 'unreachable'],
  ]);
  const machine = cluster.machines.get('n-3');
  assert.ok(machine);
  cluster.drain(machine, 'quarantined');
  assert.deepEqual(terminations().at(-1), ['n-3', 'quarantined']);
});

test('when many machines of a zone are unreachable at once, they are terminated only after a lease', () => {
  const cluster = createCluster();
  const scaleIn = new ScaleInPlanner(cluster);
  const agents = Array.from({ length: 20 }, (_, i) =>
    joinCluster(cluster, new ScriptedAgent(`n-${i}`), 0),
  );
  const terminatedCount = (unreachableCount: number, until: number) => {
    for (let now = 1000; now <= until; now += 1000)
      for (const agent of agents.slice(unreachableCount)) sendHeartbeat(cluster, agent, now);
    return scaleIn.plan(until).filter((termination) => termination.reason === 'unreachable').length;
  };
  // Some agents kept sending heartbeats, so the zone as a whole was never unreachable.
  assert.equal(terminatedCount(8, 22_000), 0);
  // Their agent leases have expired, so their tasks have ended and the machines are replaced.
  assert.equal(terminatedCount(8, 24_000), 8);
  // A few unreachable machines have most likely failed and are terminated without waiting for
  // the lease.
  const nextScaleIn = new ScaleInPlanner(cluster);
  for (const agent of agents) sendHeartbeat(cluster, agent, 30_000);
  for (let now = 30_000; now <= 40_000; now += 1000)
    for (const agent of agents.slice(4)) sendHeartbeat(cluster, agent, now);
  assert.equal(
    nextScaleIn.plan(40_000).filter((termination) => termination.reason === 'unreachable').length,
    4,
  );
});

test('a backed-off pool is tried again soon after one of its machines has terminated', () => {
  const cluster = createCluster();
  const scaleOut = new ScaleOutPlanner(cluster);
  cluster.onMachineTerminated = (machine) => scaleOut.recordTermination(machine, 20_000);
  joinCluster(cluster, new ScriptedAgent('n-1', 'a', true), 0);
  cluster.addJob(jobSpec({ tasks: 40, zone: 'a' }), 1, 0, false);
  const [refusedPlan] = scaleOut.plan(0);
  assert.ok(refusedPlan?.spot);
  for (let i = 0; i < 4; i++) scaleOut.recordRefusal(refusedPlan, 10_000);
  assert.ok(scaleOut.plan(40_000).every((plan) => !plan.spot));
  cluster.markTerminated('n-1', 'died', 32_000);
  assert.ok(scaleOut.plan(32_001).some((plan) => plan.spot));
});

test('after a network partition the machines of a zone get time to reconnect', () => {
  const cluster = createCluster();
  const scaleIn = new ScaleInPlanner(cluster);
  const reconnectedAgent = joinCluster(cluster, new ScriptedAgent('n-1'), 0);
  joinCluster(cluster, new ScriptedAgent('n-2'), 0);
  // No machine of the zone sends a heartbeat for half a minute, then one does.
  for (let now = 30_000; now <= 42_000; now += 1000) {
    sendHeartbeat(cluster, reconnectedAgent, now);
    assert.deepEqual(scaleIn.plan(now), []);
  }
  for (let now = 43_000; now <= 45_000; now += 1000) sendHeartbeat(cluster, reconnectedAgent, now);
  assert.deepEqual(
    scaleIn.plan(45_000).map((termination) => [termination.machine.id, termination.reason]),
    [['n-2', 'unreachable']],
  );
});

test('a machine whose preemption notice has expired is terminated as soon as its heartbeats stop', () => {
  const cluster = createCluster();
  const scaleIn = new ScaleInPlanner(cluster);
  const agent = joinCluster(cluster, new ScriptedAgent('n-1', 'a', true), 0);
  cluster.addJob(jobSpec({ tasks: 1 }), 1, 0, false);
  runPlacementRound(cluster, 32, 0);
  sendHeartbeat(cluster, agent, 0);
  agent.preemptionNoticeS = 4;
  sendHeartbeat(cluster, agent, 1000);
  assert.deepEqual(scaleIn.plan(4900), []);
  assert.deepEqual(
    scaleIn.plan(5600).map((termination) => [termination.machine.id, termination.reason]),
    [['n-1', 'missing from list']],
  );
});

test('a lagging leader counts no machine as unreachable, but for no longer than a lease', () => {
  const cluster = createCluster({ term: 2 });
  const scaleIn = new ScaleInPlanner(cluster);
  const agents = Array.from({ length: 10 }, (_, i) => new ScriptedAgent(`n-${i}`));
  for (const agent of agents) cluster.inheritMachine(agent.id, 'm16', 'a', false, '', 0);
  cluster.addJob(jobSpec({ tasks: 50 }), 1, 0, true);
  const terminatedIds = (now: number) => {
    for (const agent of agents.slice(0, 9)) joinCluster(cluster, agent, now);
    return scaleIn.plan(now).map((termination) => termination.machine.id);
  };
  // Two heartbeat intervals after the failover one machine is unconfirmed and blocks inherited
  // work.
  cluster.markLagging(6000);
  assert.deepEqual(terminatedIds(8500), []);
  cluster.markLagging(13_000);
  assert.deepEqual(terminatedIds(14_000), []);
  // The leader keeps lagging. One agent lease after the failover the machine is terminated anyway.
  for (let now = 15_000; now <= 26_000; now += 1000) {
    cluster.markLagging(now);
    assert.deepEqual(terminatedIds(now), []);
  }
  cluster.markLagging(27_000);
  assert.deepEqual(terminatedIds(27_000), ['n-9']);
});
