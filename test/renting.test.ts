import assert from 'node:assert/strict';
import { test } from 'node:test';
import { round } from '../src/scheduler/placement/placement-round.js';
import { Renting } from '../src/scheduler/scaling/scale-out.js';
import { beat, cluster, joined, ScriptedWorker, spec } from './support/scheduler.js';

const sum = (plans: { count: number }[]) => plans.reduce((n, p) => n + p.count, 0);

test('unplaced work is rented for, cheapest kind first, and what boots counts', () => {
  const c = cluster();
  const r = new Renting(c);
  c.addJob(spec({ tasks: 24, estimateS: 60 }), 1, 0, false);
  const plans = r.plan(0);
  assert.ok(sum(plans) >= 5 && sum(plans) <= 7);
  assert.ok(plans.every((p) => p.spot));
  let n = 0;
  for (const p of plans)
    for (let i = 0; i < p.count; i++) c.machine(`n-${++n}`, p.type, p.zone, p.spot, 0, 0);
  assert.equal(sum(r.plan(1000)), 0);
});

test('a large need is rented for at once, over all zones, within the bound of one rental', () => {
  const c = cluster();
  const plans = () => {
    const r = new Renting(c);
    return r.plan(0);
  };
  c.addJob(spec({ tasks: 200, estimateS: 60 }), 1, 0, false);
  const some = plans();
  assert.deepEqual(new Set(some.map((p) => p.zone)), new Set(['a', 'b']));
  assert.ok(some.every((p) => p.spot));
  assert.ok(Math.abs((some[0]?.count ?? 0) - (some[1]?.count ?? 0)) <= 1);
  c.addJob(spec({ id: 'req-000002', tasks: 4000, estimateS: 60 }), 2, 0, false);
  assert.equal(Math.max(...plans().map((p) => p.count)), 50);
});

test('work that may not use spot machines gets ordinary ones', () => {
  const c = cluster();
  const r = new Renting(c);
  c.addJob(spec({ tasks: 8, spot: false }), 1, 0, false);
  const plans = r.plan(0);
  assert.ok(sum(plans) > 0);
  assert.ok(plans.every((p) => !p.spot));
});

test('a long job among short ones does not hide their backlog', () => {
  const rented = (first: number) => {
    const c = cluster();
    const r = new Renting(c);
    let version = 0;
    const arrive = (tasks: number, estimateS: number) => {
      const s = spec({ id: `req-${++version}`, tasks, estimateS });
      r.arrived(s);
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
  const c = cluster();
  const r = new Renting(c);
  c.addJob(spec({ tasks: 8, zone: 'a' }), 1, 0, false);
  const [first] = r.plan(0);
  assert.ok(first?.spot);
  r.refused(first, 0);
  assert.equal(r.plan(0)[0]?.spot, false);
  const back = 40_000 * 0.3;
  assert.equal(r.plan(back + 1)[0]?.spot, true);
  r.refused(first, back + 1);
  assert.equal(r.plan(2 * back + 2)[0]?.spot, false);
  r.granted(first);
  assert.equal(r.plan(2 * back + 2)[0]?.spot, true);
});

test('idle machines go back once nothing needs them, not at each report anew', () => {
  const c = cluster();
  const r = new Renting(c);
  const w = joined(c, new ScriptedWorker('n-1'), 0);
  for (let now = 0; now <= 24_000; now += 3000) {
    beat(c, w, now);
    r.plan(now);
    assert.deepEqual(r.returns(now), []);
  }
  beat(c, w, 24_500);
  r.plan(24_500);
  assert.deepEqual(
    r.returns(24_500).map((x) => [x.machine.id, x.why]),
    [['n-1', 'idle']],
  );
});

test('a stream of work that stops is soon forgotten', () => {
  const c = cluster();
  const r = new Renting(c);
  for (let now = 0; now <= 200_000; now += 5000) {
    r.arrived(spec({ tasks: 4 }));
    r.plan(now);
  }
  const usual = sum(r.plan(200_000));
  assert.ok(usual >= 3);
  for (let now = 200_000; now <= 260_000; now += 1000) r.plan(now);
  assert.equal(sum(r.plan(260_000)), 0);
});

test('a machine that never boots, a sick one and a dead one are returned; a cut zone is not', () => {
  const c = cluster();
  const r = new Renting(c);
  c.machine('n-1', 'm16', 'a', false, 0, 0);
  const dead = joined(c, new ScriptedWorker('n-2', 'a'), 150_000);
  const alive = joined(c, new ScriptedWorker('n-3', 'a'), 150_000);
  const cut = ['n-4', 'n-5'].map((id) => joined(c, new ScriptedWorker(id, 'b'), 150_000));
  for (const w of [dead, alive, ...cut]) {
    c.addJob(spec({ id: `req-${w.id.slice(2)}`, tasks: 4 }), 1, 0, false);
    round(c, 4, 150_000);
  }
  for (let now = 150_000; now <= 161_000; now += 1000) beat(c, alive, now);
  const back = () => r.returns(161_000).map((x) => [x.machine.id, x.why]);
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
  const c = cluster();
  const r = new Renting(c);
  const workers = Array.from({ length: 20 }, (_, i) => joined(c, new ScriptedWorker(`n-${i}`), 0));
  const returned = (silent: number, until: number) => {
    for (let now = 1000; now <= until; now += 1000)
      for (const w of workers.slice(silent)) beat(c, w, now);
    return r.returns(until).filter((x) => x.why === 'silent').length;
  };
  // Some found their way round the cut at once, so the zone was never silent as a whole.
  assert.equal(returned(8, 22_000), 0);
  // Their leases have run out, and so have their tasks: new machines are better.
  assert.equal(returned(8, 24_000), 8);
  // A few alone are dead, most likely, and not waited for.
  const again = new Renting(c);
  for (const w of workers) beat(c, w, 30_000);
  for (let now = 30_000; now <= 40_000; now += 1000)
    for (const w of workers.slice(4)) beat(c, w, now);
  assert.equal(again.returns(40_000).filter((x) => x.why === 'silent').length, 4);
});

test('a refusal is tried again soon once a machine of its kind has gone', () => {
  const c = cluster();
  const r = new Renting(c);
  c.onGone = (m) => r.freed(m, 20_000);
  joined(c, new ScriptedWorker('n-1', 'a', true), 0);
  c.addJob(spec({ tasks: 40, zone: 'a' }), 1, 0, false);
  const [first] = r.plan(0);
  assert.ok(first?.spot);
  for (let i = 0; i < 4; i++) r.refused(first, 10_000);
  assert.ok(r.plan(40_000).every((p) => !p.spot));
  c.machineGone('n-1', 'died', 32_000);
  assert.ok(r.plan(32_001).some((p) => p.spot));
});

test('after a cut the machines of a zone are given time to find their way back', () => {
  const c = cluster();
  const r = new Renting(c);
  const first = joined(c, new ScriptedWorker('n-1'), 0);
  joined(c, new ScriptedWorker('n-2'), 0);
  // Nobody of the zone is heard for half a minute, then one is.
  for (let now = 30_000; now <= 42_000; now += 1000) {
    beat(c, first, now);
    assert.deepEqual(r.returns(now), []);
  }
  for (let now = 43_000; now <= 45_000; now += 1000) beat(c, first, now);
  assert.deepEqual(
    r.returns(45_000).map((x) => [x.machine.id, x.why]),
    [['n-2', 'silent']],
  );
});

test('a machine whose notice has run out is returned as soon as it is silent', () => {
  const c = cluster();
  const r = new Renting(c);
  const w = joined(c, new ScriptedWorker('n-1', 'a', true), 0);
  c.addJob(spec({ tasks: 1 }), 1, 0, false);
  round(c, 32, 0);
  beat(c, w, 0);
  w.noticeS = 4;
  beat(c, w, 1000);
  assert.deepEqual(r.returns(4900), []);
  assert.deepEqual(
    r.returns(5600).map((x) => [x.machine.id, x.why]),
    [['n-1', 'missing']],
  );
});

test('a leader that is late itself takes no machine for silent, but not for longer than a lease', () => {
  const c = cluster({ term: 2 });
  const r = new Renting(c);
  const workers = Array.from({ length: 10 }, (_, i) => new ScriptedWorker(`n-${i}`));
  for (const w of workers) c.inheritMachine(w.id, 'm16', 'a', false, '', 0);
  c.addJob(spec({ tasks: 50 }), 1, 0, true);
  const returned = (now: number) => {
    for (const w of workers.slice(0, 9)) joined(c, w, now);
    return r.returns(now).map((x) => x.machine.id);
  };
  // One has not been served two reports after the takeover, and work waits for it.
  c.behind(6000);
  assert.deepEqual(returned(8500), []);
  c.behind(13_000);
  assert.deepEqual(returned(14_000), []);
  // The leader is behind all the while: a lease after the takeover that is no excuse any more.
  for (let now = 15_000; now <= 26_000; now += 1000) {
    c.behind(now);
    assert.deepEqual(returned(now), []);
  }
  c.behind(27_000);
  assert.deepEqual(returned(27_000), ['n-9']);
});
