import assert from 'node:assert/strict';
import { test } from 'node:test';
import { TaskStates } from '../src/scheduler/state/task-states.js';

/** Pops and assigns all ready tasks. Returns them in the order in which they were popped. */
function popAll(states: TaskStates): number[] {
  const popped: number[] = [];
  for (let index = states.popReady(); index !== null; index = states.popReady()) {
    states.markAssigned(index);
    popped.push(index);
  }
  return popped;
}

test('a task becomes ready again when its attempt ends, or when its delay ends if it is backed off', () => {
  const states = new TaskStates(3);
  assert.deepEqual(popAll(states), [0, 1, 2]);
  states.requeue(0, 0);
  states.requeue(1, 50);
  assert.deepEqual([states.readyCount, states.backedOffCount], [1, 1]);
  states.releaseBackedOff(49);
  assert.deepEqual(popAll(states), [0]);
  states.releaseBackedOff(50);
  assert.deepEqual([states.readyCount, states.backedOffCount], [1, 0]);
  assert.deepEqual(popAll(states), [1]);
});

test('a task that is marked as done while it is ready or backed off never becomes ready again', () => {
  const states = new TaskStates(2);
  popAll(states);
  states.requeue(0, 0);
  states.requeue(1, 50);
  assert.equal(states.markDone(0), true);
  assert.equal(states.markDone(1), true);
  states.releaseBackedOff(50);
  assert.deepEqual([states.readyCount, states.doneCount], [0, 2]);
  assert.equal(states.popReady(), null);
  // The end of another attempt of the task does not make it ready either.
  states.requeue(0, 0);
  states.requeue(1, 60);
  states.releaseBackedOff(60);
  assert.deepEqual([states.readyCount, states.backedOffCount, states.isComplete], [0, 0, true]);
  assert.equal(states.markDone(0), false);
  assert.equal(states.doneCount, 2);
});

test('a task that is marked as assigned after its return to the queue is not returned as ready', () => {
  const states = new TaskStates(1);
  popAll(states);
  states.requeue(0, 0);
  states.markAssigned(0);
  assert.equal(states.readyCount, 0);
  assert.equal(states.popReady(), null);
});

test('a bitmap is read back as it was written, and bits beyond the last task are ignored', () => {
  const states = new TaskStates(21);
  for (const index of [0, 7, 8, 15, 16, 20]) states.markDone(index);
  const chunks = [states.chunkBits(0, 16), states.chunkBits(1, 16)];
  assert.deepEqual(
    chunks.map((bits) => [...bits]),
    [[0b1000_0001, 0b1000_0001], [0b1_0001]],
  );

  const restored = new TaskStates(21);
  restored.loadBits(0, chunks[0] as Uint8Array);
  restored.loadBits(16, Uint8Array.of(0b1111_0001));
  assert.deepEqual(
    [...Array(21).keys()].filter((index) => restored.isDone(index)),
    [0, 7, 8, 15, 16, 20],
  );
  assert.deepEqual([restored.doneCount, restored.readyCount], [6, 15]);
});

/** Guards against a walk over all delayed tasks in each round, plan and heartbeat. */
test('tasks whose delay has not ended are not looked at again, and those that are due are released in the order of their delays', () => {
  const count = 2000;
  const states = new TaskStates(count + 1);
  let comparisons = 0;
  /** A time that counts how often it is looked at. */
  const countedTime = (ms: number) =>
    ({
      valueOf: () => {
        comparisons++;
        return ms;
      },
    }) as unknown as number;
  for (let index = 0; index < count; index++) {
    states.markAssigned(index);
    states.requeue(index, countedTime(index % 2 === 0 ? 1000 : 5000));
  }
  comparisons = 0;
  for (let now = 0; now < 100; now++) states.releaseBackedOff(now);
  assert.ok(comparisons <= 200, `${comparisons} comparisons while nothing is due`);
  states.releaseBackedOff(1000);
  assert.equal(states.backedOffCount, count / 2);
  const released = Array.from({ length: count / 2 }, () => states.popReady());
  assert.deepEqual(
    released,
    Array.from({ length: count / 2 }, (_, i) => 2 * i),
  );
  comparisons = 0;
  for (let now = 1001; now < 1100; now++) states.releaseBackedOff(now);
  assert.ok(comparisons <= 200, `${comparisons} comparisons while nothing is due`);
});
