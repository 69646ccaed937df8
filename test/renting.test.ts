import assert from 'node:assert/strict';
import { test } from 'node:test';
import { runPlacementRound } from '../src/scheduler/placement/placement-round.js';
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
  const c = createCluster();
  const r = new ScaleOutPlanner(c);
  c.addJob(jobSpec({ tasks: 24, estimatedDurationS: 60 }), 1, 0, false);
  const plans = r.plan(0);
  assert.ok(sum(plans) >= 5 && sum(plans) <= 7);
  assert.ok(plans.every((p) => p.spot));
  let n = 0;
  for (const p of plans)
    for (let i = 0; i < p.count; i++) c.ensureMachine(`n-${++n}`, p.type, p.zone, p.spot, 0, 0);
  assert.equal(sum(r.plan(1000)), 0);
});

test('a large need is rented for at once, over all zones, within the bound of one rental', () => {
  const c = createCluster();
  const plans = () => {
    const r = new ScaleOutPlanner(c);
    return r.plan(0);
  };
  c.addJob(jobSpec({ tasks: 200, estimatedDurationS: 60 }), 1, 0, false);
  const some = plans();
  assert.deepEqual(new Set(some.map((p) => p.zone)), new Set(['a', 'b']));
  assert.ok(some.every((p) => p.spot));
  assert.ok(Math.abs((some[0]?.count ?? 0) - (some[1]?.count ?? 0)) <= 1);
  c.addJob(jobSpec({ id: 'req-000002', tasks: 4000, estimatedDurationS: 60 }), 2, 0, false);
  assert.equal(Math.max(...plans().map((p) => p.count)), 50);
});

test('work that may not use spot machines gets ordinary ones', () => {
  const c = createCluster();
  const r = new ScaleOutPlanner(c);
  c.addJob(jobSpec({ tasks: 8, allowsSpot: false }), 1, 0, false);
  const plans = r.plan(0);
  assert.ok(sum(plans) > 0);
  assert.ok(plans.every((p) => !p.spot));
});

test('a long job among short ones does not hide their backlog', () => {
  const rented = (first: number) => {
    const c = createCluster();
    const r = new ScaleOutPlanner(c);
    let version = 0;
    const arrive = (tasks: number, estimateS: number) => {
      const s = jobSpec({ id: `req-${++version}`, tasks, estimatedDurationS: estimateS });
      r.recordArrival(s);
      c.addJob(s, version, 0, false);
    };
    arrive(1, first);
    for (let i = 0; i < 60; i++) arrive(20, 20);
    return sum(r.plan(0));
  };
  const usual = rented(20);
  assert.ok(usual > 60);
  assert.ok(Math.abs(rented(600) - usual) < usual * 0.1);
});

test('a refusal is remembered for its type, zone and kind, longer each time', () => {
  const c = createCluster();
  const r = new ScaleOutPlanner(c);
  c.addJob(jobSpec({ tasks: 8, zone: 'a' }), 1, 0, false);
  const [first] = r.plan(0);
  assert.ok(first?.spot);
  r.recordRefusal(first, 0);
  assert.equal(r.plan(0)[0]?.spot, false);
  const back = 40_000 * 0.3;
  assert.equal(r.plan(back + 1)[0]?.spot, true);
  r.recordRefusal(first, back + 1);
  assert.equal(r.plan(2 * back + 2)[0]?.spot, false);
  r.recordSuccess(first);
  assert.equal(r.plan(2 * back + 2)[0]?.spot, true);
});

test('idle machines go back once nothing needs them, not at each report anew', () => {
  const c = createCluster();
  const r = new ScaleOutPlanner(c);
  const w = joinCluster(c, new ScriptedAgent('n-1'), 0);
  for (let now = 0; now <= 24_000; now += 3000) {
    sendHeartbeat(c, w, now);
    r.plan(now);
    assert.deepEqual(r.planScaleIn(now), []);
  }
  sendHeartbeat(c, w, 24_500);
  r.plan(24_500);
  assert.deepEqual(
    r.planScaleIn(24_500).map((x) => [x.machine.id, x.reason]),
    [['n-1', 'idle']],
  );
});

test('a stream of work that stops is soon forgotten', () => {
  const c = createCluster();
  const r = new ScaleOutPlanner(c);
  for (let now = 0; now <= 200_000; now += 5000) {
    r.recordArrival(jobSpec({ tasks: 4 }));
    r.plan(now);
  }
  const usual = sum(r.plan(200_000));
  assert.ok(usual >= 3);
  for (let now = 200_000; now <= 260_000; now += 1000) r.plan(now);
  assert.equal(sum(r.plan(260_000)), 0);
});

test('a machine that never boots, a sick one and a dead one are returned; a cut zone is not', () => {
  const c = createCluster();
  const r = new ScaleOutPlanner(c);
  c.ensureMachine('n-1', 'm16', 'a', false, 0, 0);
  const dead = joinCluster(c, new ScriptedAgent('n-2', 'a'), 150_000);
  const alive = joinCluster(c, new ScriptedAgent('n-3', 'a'), 150_000);
  const cut = ['n-4', 'n-5'].map((id) => joinCluster(c, new ScriptedAgent(id, 'b'), 150_000));
  for (const w of [dead, alive, ...cut]) {
    c.addJob(jobSpec({ id: `req-${w.id.slice(2)}`, tasks: 4 }), 1, 0, false);
    runPlacementRound(c, 4, 150_000);
  }
  for (let now = 150_000; now <= 161_000; now += 1000) sendHeartbeat(c, alive, now);
  const back = () => r.planScaleIn(161_000).map((x) => [x.machine.id, x.reason]);
  assert.deepEqual(back(), [
    ['n-1', 'no boot'],
    ['n-2', 'silent'],
  ]);
  const m = c.machines.get('n-3');
  assert.ok(m);
  c.drain(m, 'sick');
  assert.deepEqual(back().at(-1), ['n-3', 'sick']);
});

test('when many machines of a zone fall silent at once, a cut is likelier than their deaths', () => {
  const c = createCluster();
  const r = new ScaleOutPlanner(c);
  const workers = Array.from({ length: 20 }, (_, i) =>
    joinCluster(c, new ScriptedAgent(`n-${i}`), 0),
  );
  const returned = (silent: number, until: number) => {
    for (let now = 1000; now <= until; now += 1000)
      for (const w of workers.slice(silent)) sendHeartbeat(c, w, now);
    return r.planScaleIn(until).filter((x) => x.reason === 'silent').length;
  };
  // Some found their way round the cut at once, so the zone was never silent as a whole.
  assert.equal(returned(8, 22_000), 0);
  // Their leases have run out, and so have their tasks: new machines are better.
  assert.equal(returned(8, 24_000), 8);
  // A few alone are dead, most likely, and not waited for.
  const again = new ScaleOutPlanner(c);
  for (const w of workers) sendHeartbeat(c, w, 30_000);
  for (let now = 30_000; now <= 40_000; now += 1000)
    for (const w of workers.slice(4)) sendHeartbeat(c, w, now);
  assert.equal(again.planScaleIn(40_000).filter((x) => x.reason === 'silent').length, 4);
});

test('a refusal is tried again soon once a machine of its kind has gone', () => {
  const c = createCluster();
  const r = new ScaleOutPlanner(c);
  c.onMachineTerminated = (m) => r.capacityFreed(m, 20_000);
  joinCluster(c, new ScriptedAgent('n-1', 'a', true), 0);
  c.addJob(jobSpec({ tasks: 40, zone: 'a' }), 1, 0, false);
  const [first] = r.plan(0);
  assert.ok(first?.spot);
  for (let i = 0; i < 4; i++) r.recordRefusal(first, 10_000);
  assert.ok(r.plan(40_000).every((p) => !p.spot));
  c.markTerminated('n-1', 'died', 32_000);
  assert.ok(r.plan(32_001).some((p) => p.spot));
});

test('after a cut the machines of a zone are given time to find their way back', () => {
  const c = createCluster();
  const r = new ScaleOutPlanner(c);
  const first = joinCluster(c, new ScriptedAgent('n-1'), 0);
  joinCluster(c, new ScriptedAgent('n-2'), 0);
  // Nobody of the zone is heard for half a minute, then one is.
  for (let now = 30_000; now <= 42_000; now += 1000) {
    sendHeartbeat(c, first, now);
    assert.deepEqual(r.planScaleIn(now), []);
  }
  for (let now = 43_000; now <= 45_000; now += 1000) sendHeartbeat(c, first, now);
  assert.deepEqual(
    r.planScaleIn(45_000).map((x) => [x.machine.id, x.reason]),
    [['n-2', 'silent']],
  );
});

test('a machine whose notice has run out is returned as soon as it is silent', () => {
  const c = createCluster();
  const r = new ScaleOutPlanner(c);
  const w = joinCluster(c, new ScriptedAgent('n-1', 'a', true), 0);
  c.addJob(jobSpec({ tasks: 1 }), 1, 0, false);
  runPlacementRound(c, 32, 0);
  sendHeartbeat(c, w, 0);
  w.preemptionNoticeS = 4;
  sendHeartbeat(c, w, 1000);
  assert.deepEqual(r.planScaleIn(4900), []);
  assert.deepEqual(
    r.planScaleIn(5600).map((x) => [x.machine.id, x.reason]),
    [['n-1', 'missing']],
  );
});

test('a leader that is late itself takes no machine for silent, but not for longer than a lease', () => {
  const c = createCluster({ term: 2 });
  const r = new ScaleOutPlanner(c);
  const workers = Array.from({ length: 10 }, (_, i) => new ScriptedAgent(`n-${i}`));
  for (const w of workers) c.inheritMachine(w.id, 'm16', 'a', false, '', 0);
  c.addJob(jobSpec({ tasks: 50 }), 1, 0, true);
  const returned = (now: number) => {
    for (const w of workers.slice(0, 9)) joinCluster(c, w, now);
    return r.planScaleIn(now).map((x) => x.machine.id);
  };
  // One has not been served two reports after the takeover, and work waits for it.
  c.markLagging(6000);
  assert.deepEqual(returned(8500), []);
  c.markLagging(13_000);
  assert.deepEqual(returned(14_000), []);
  // The leader is behind all the while: a lease after the takeover that is no excuse any more.
  for (let now = 15_000; now <= 26_000; now += 1000) {
    c.markLagging(now);
    assert.deepEqual(returned(now), []);
  }
  c.markLagging(27_000);
  assert.deepEqual(returned(27_000), ['n-9']);
});
