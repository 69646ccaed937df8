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

const sum = (plans: { count: number }[]) => plans.reduce((n, p) => n + p.count, 0);

test('unplaced work is rented for, cheapest kind first, and what boots counts', () => {
  const cluster = createCluster();
  const scaleOut = new ScaleOutPlanner(cluster);
  cluster.addJob(jobSpec({ tasks: 24, estimatedDurationS: 60 }), 1, 0, false);
  const plans = scaleOut.plan(0);
  assert.ok(sum(plans) >= 5 && sum(plans) <= 7);
  assert.ok(plans.every((p) => p.spot));
  let n = 0;
  for (const p of plans)
    for (let i = 0; i < p.count; i++)
      cluster.ensureMachine(`n-${++n}`, p.type, p.zone, p.spot, 0, 0);
  assert.equal(sum(scaleOut.plan(1000)), 0);
});

test('a large need is rented for at once, over all zones, within the bound of one rental', () => {
  const cluster = createCluster();
  const plans = () => {
    const scaleOut = new ScaleOutPlanner(cluster);
    return scaleOut.plan(0);
  };
  cluster.addJob(jobSpec({ tasks: 200, estimatedDurationS: 60 }), 1, 0, false);
  const some = plans();
  assert.deepEqual(new Set(some.map((p) => p.zone)), new Set(['a', 'b']));
  assert.ok(some.every((p) => p.spot));
  assert.ok(Math.abs((some[0]?.count ?? 0) - (some[1]?.count ?? 0)) <= 1);
  cluster.addJob(jobSpec({ id: 'req-000002', tasks: 4000, estimatedDurationS: 60 }), 2, 0, false);
  assert.equal(Math.max(...plans().map((p) => p.count)), 50);
});

test('work that may not use spot machines gets ordinary ones', () => {
  const cluster = createCluster();
  const scaleOut = new ScaleOutPlanner(cluster);
  cluster.addJob(jobSpec({ tasks: 8, allowsSpot: false }), 1, 0, false);
  const plans = scaleOut.plan(0);
  assert.ok(sum(plans) > 0);
  assert.ok(plans.every((p) => !p.spot));
});

test('a long job among short ones does not hide their backlog', () => {
  const rented = (first: number) => {
    const cluster = createCluster();
    const scaleOut = new ScaleOutPlanner(cluster);
    let version = 0;
    const arrive = (tasks: number, estimateS: number) => {
      const spec = jobSpec({ id: `req-${++version}`, tasks, estimatedDurationS: estimateS });
      scaleOut.recordArrival(spec);
      cluster.addJob(spec, version, 0, false);
    };
    arrive(1, first);
    for (let i = 0; i < 60; i++) arrive(20, 20);
    return sum(scaleOut.plan(0));
  };
  const usual = rented(20);
  assert.ok(usual > 60);
  assert.ok(Math.abs(rented(600) - usual) < usual * 0.1);
});

test('a refusal is remembered for its type, zone and kind, longer each time', () => {
  const cluster = createCluster();
  const scaleOut = new ScaleOutPlanner(cluster);
  cluster.addJob(jobSpec({ tasks: 8, zone: 'a' }), 1, 0, false);
  const [first] = scaleOut.plan(0);
  assert.ok(first?.spot);
  scaleOut.recordRefusal(first, 0);
  assert.equal(scaleOut.plan(0)[0]?.spot, false);
  const back = 40_000 * 0.3;
  assert.equal(scaleOut.plan(back + 1)[0]?.spot, true);
  scaleOut.recordRefusal(first, back + 1);
  assert.equal(scaleOut.plan(2 * back + 2)[0]?.spot, false);
  scaleOut.recordSuccess(first);
  assert.equal(scaleOut.plan(2 * back + 2)[0]?.spot, true);
});

test('idle machines go back once nothing needs them, not at each report anew', () => {
  const cluster = createCluster();
  const scaleOut = new ScaleOutPlanner(cluster);
  const w = joinCluster(cluster, new ScriptedAgent('n-1'), 0);
  for (let now = 0; now <= 24_000; now += 3000) {
    sendHeartbeat(cluster, w, now);
    scaleOut.plan(now);
    assert.deepEqual(new ScaleInPlanner(cluster).plan(now), []);
  }
  sendHeartbeat(cluster, w, 24_500);
  scaleOut.plan(24_500);
  assert.deepEqual(
    new ScaleInPlanner(cluster).plan(24_500).map((x) => [x.machine.id, x.reason]),
    [['n-1', 'idle']],
  );
});

test('a stream of work that stops is soon forgotten', () => {
  const cluster = createCluster();
  const scaleOut = new ScaleOutPlanner(cluster);
  for (let now = 0; now <= 200_000; now += 5000) {
    scaleOut.recordArrival(jobSpec({ tasks: 4 }));
    scaleOut.plan(now);
  }
  const usual = sum(scaleOut.plan(200_000));
  assert.ok(usual >= 3);
  for (let now = 200_000; now <= 260_000; now += 1000) scaleOut.plan(now);
  assert.equal(sum(scaleOut.plan(260_000)), 0);
});

test('a machine that never boots, a sick one and a dead one are returned; a cut zone is not', () => {
  const cluster = createCluster();
  const scaleIn = new ScaleInPlanner(cluster);
  cluster.ensureMachine('n-1', 'm16', 'a', false, 0, 0);
  const dead = joinCluster(cluster, new ScriptedAgent('n-2', 'a'), 150_000);
  const alive = joinCluster(cluster, new ScriptedAgent('n-3', 'a'), 150_000);
  const cut = ['n-4', 'n-5'].map((id) => joinCluster(cluster, new ScriptedAgent(id, 'b'), 150_000));
  for (const w of [dead, alive, ...cut]) {
    cluster.addJob(jobSpec({ id: `req-${w.id.slice(2)}`, tasks: 4 }), 1, 0, false);
    runPlacementRound(cluster, 4, 150_000);
  }
  for (let now = 150_000; now <= 161_000; now += 1000) sendHeartbeat(cluster, alive, now);
  const back = () => scaleIn.plan(161_000).map((x) => [x.machine.id, x.reason]);
  assert.deepEqual(back(), [
    ['n-1', 'boot timeout'],
    ['n-2', 'unreachable'],
  ]);
  const machine = cluster.machines.get('n-3');
  assert.ok(machine);
  cluster.drain(machine, 'quarantined');
  assert.deepEqual(back().at(-1), ['n-3', 'quarantined']);
});

test('when many machines of a zone fall silent at once, a cut is likelier than their deaths', () => {
  const cluster = createCluster();
  const scaleIn = new ScaleInPlanner(cluster);
  const workers = Array.from({ length: 20 }, (_, i) =>
    joinCluster(cluster, new ScriptedAgent(`n-${i}`), 0),
  );
  const returned = (silent: number, until: number) => {
    for (let now = 1000; now <= until; now += 1000)
      for (const w of workers.slice(silent)) sendHeartbeat(cluster, w, now);
    return scaleIn.plan(until).filter((x) => x.reason === 'unreachable').length;
  };
  // Some found their way round the cut at once, so the zone was never silent as a whole.
  assert.equal(returned(8, 22_000), 0);
  // Their leases have run out, and so have their tasks: new machines are better.
  assert.equal(returned(8, 24_000), 8);
  // A few alone are dead, most likely, and not waited for.
  const scaleInAgain = new ScaleInPlanner(cluster);
  for (const w of workers) sendHeartbeat(cluster, w, 30_000);
  for (let now = 30_000; now <= 40_000; now += 1000)
    for (const w of workers.slice(4)) sendHeartbeat(cluster, w, now);
  assert.equal(scaleInAgain.plan(40_000).filter((x) => x.reason === 'unreachable').length, 4);
});

test('a refusal is tried again soon once a machine of its kind has gone', () => {
  const cluster = createCluster();
  const scaleOut = new ScaleOutPlanner(cluster);
  cluster.onMachineTerminated = (machine) => scaleOut.capacityFreed(machine, 20_000);
  joinCluster(cluster, new ScriptedAgent('n-1', 'a', true), 0);
  cluster.addJob(jobSpec({ tasks: 40, zone: 'a' }), 1, 0, false);
  const [first] = scaleOut.plan(0);
  assert.ok(first?.spot);
  for (let i = 0; i < 4; i++) scaleOut.recordRefusal(first, 10_000);
  assert.ok(scaleOut.plan(40_000).every((p) => !p.spot));
  cluster.markTerminated('n-1', 'died', 32_000);
  assert.ok(scaleOut.plan(32_001).some((p) => p.spot));
});

test('after a cut the machines of a zone are given time to find their way back', () => {
  const cluster = createCluster();
  const scaleIn = new ScaleInPlanner(cluster);
  const first = joinCluster(cluster, new ScriptedAgent('n-1'), 0);
  joinCluster(cluster, new ScriptedAgent('n-2'), 0);
  // Nobody of the zone is heard for half a minute, then one is.
  for (let now = 30_000; now <= 42_000; now += 1000) {
    sendHeartbeat(cluster, first, now);
    assert.deepEqual(scaleIn.plan(now), []);
  }
  for (let now = 43_000; now <= 45_000; now += 1000) sendHeartbeat(cluster, first, now);
  assert.deepEqual(
    scaleIn.plan(45_000).map((x) => [x.machine.id, x.reason]),
    [['n-2', 'unreachable']],
  );
});

test('a machine whose notice has run out is returned as soon as it is silent', () => {
  const cluster = createCluster();
  const scaleIn = new ScaleInPlanner(cluster);
  const w = joinCluster(cluster, new ScriptedAgent('n-1', 'a', true), 0);
  cluster.addJob(jobSpec({ tasks: 1 }), 1, 0, false);
  runPlacementRound(cluster, 32, 0);
  sendHeartbeat(cluster, w, 0);
  w.preemptionNoticeS = 4;
  sendHeartbeat(cluster, w, 1000);
  assert.deepEqual(scaleIn.plan(4900), []);
  assert.deepEqual(
    scaleIn.plan(5600).map((x) => [x.machine.id, x.reason]),
    [['n-1', 'missing from list']],
  );
});

test('a leader that is late itself takes no machine for silent, but not for longer than a lease', () => {
  const cluster = createCluster({ term: 2 });
  const scaleIn = new ScaleInPlanner(cluster);
  const workers = Array.from({ length: 10 }, (_, i) => new ScriptedAgent(`n-${i}`));
  for (const w of workers) cluster.inheritMachine(w.id, 'm16', 'a', false, '', 0);
  cluster.addJob(jobSpec({ tasks: 50 }), 1, 0, true);
  const returned = (now: number) => {
    for (const w of workers.slice(0, 9)) joinCluster(cluster, w, now);
    return scaleIn.plan(now).map((x) => x.machine.id);
  };
  // One has not been served two reports after the takeover, and work waits for it.
  cluster.markLagging(6000);
  assert.deepEqual(returned(8500), []);
  cluster.markLagging(13_000);
  assert.deepEqual(returned(14_000), []);
  // The leader is behind all the while: a lease after the takeover that is no excuse any more.
  for (let now = 15_000; now <= 26_000; now += 1000) {
    cluster.markLagging(now);
    assert.deepEqual(returned(now), []);
  }
  cluster.markLagging(27_000);
  assert.deepEqual(returned(27_000), ['n-9']);
});
