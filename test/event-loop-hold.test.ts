import assert from 'node:assert/strict';
import { test } from 'node:test';
import { measureHold } from '../src/controller/event-loop-hold.js';

/** Lag threshold of the measured context, in milliseconds. */
const LAG_THRESHOLD_MS = 150;

function createMeasuredContext() {
  const logged: unknown[] = [];
  const clock = { time: 0, now: () => clock.time, wall: () => 0, sleep: async () => {} };
  const log = { info: (fields: object, message: string) => logged.push({ ...fields, message }) };
  const ctx = { clock, log: log as never, timing: { lagThresholdMs: LAG_THRESHOLD_MS } };
  return { ctx, clock, logged };
}

test('work that holds the event loop for longer than the lag threshold is logged, also when it throws', () => {
  const { ctx, clock, logged } = createMeasuredContext();
  const takes = (ms: number) => () => {
    clock.time += ms;
    return ms;
  };
  assert.equal(measureHold(ctx, 'placement round', takes(LAG_THRESHOLD_MS)), LAG_THRESHOLD_MS);
  assert.deepEqual(logged, []);
  measureHold(ctx, 'job events applied', takes(LAG_THRESHOLD_MS + 50));
  const failing = () => {
    clock.time += 1000;
    throw new Error('failed');
  };
  assert.throws(() => measureHold(ctx, 'scaling planned', failing), /failed/);
  assert.deepEqual(logged, [
    { activity: 'job events applied', ms: 200, message: 'event loop held' },
    { activity: 'scaling planned', ms: 1000, message: 'event loop held' },
  ]);
});
