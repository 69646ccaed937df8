import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import { type LeaderRoutine, runUntilTermEnds } from '../src/controller/leader/leader-routines.js';
import { AbortedError } from '../src/runtime/clock.js';
import { FakeClock } from './support/clock.js';
import { createContext } from './support/context.js';
import { FakeStateService, FakeStore } from './support/state.js';

interface LogLine {
  level: number;
  msg: string;
  routine: string;
  err: { message: string };
}

/** Runs one routine, and a second one that lasts until the term ends. */
async function runRoutine(run: LeaderRoutine['run'], endedBefore = false) {
  const clock = new FakeClock();
  const lines: LogLine[] = [];
  const ctx = createContext('n-0', new FakeStateService(new FakeStore(clock)), clock);
  ctx.log = pino({ level: 'info' }, { write: (line: string) => lines.push(JSON.parse(line)) });
  const stop = new AbortController();
  const reasons: string[] = [];
  const term = {
    signal: stop.signal,
    resign: (reason: string) => {
      reasons.push(reason);
      stop.abort();
    },
  } as never;
  if (endedBefore) stop.abort();
  const lasting = (signal: AbortSignal) => clock.sleep(60_000, signal);
  const ended = runUntilTermEnds(ctx, term, [
    { name: 'scaling', run },
    { name: 'machine list', run: lasting },
  ]);
  if (!endedBefore) setImmediate(() => stop.abort());
  await ended;
  return { lines, reasons };
}

test('a failing routine ends the term, so that another controller can do its work', async () => {
  const { lines, reasons } = await runRoutine(() => Promise.reject(new Error('no plan')));
  assert.deepEqual(reasons, ['leader routine scaling failed']);
  assert.deepEqual(
    lines.map(({ level, msg, routine, err }) => [level, msg, routine, err.message]),
    [[50, 'leader routine failed', 'scaling', 'no plan']],
  );
});

test('an aborted routine, or any error after the term has ended, is not logged as a failure', async () => {
  for (const error of [new AbortedError(), new Error('connection closed')]) {
    const { lines, reasons } = await runRoutine(() => Promise.reject(error), true);
    assert.deepEqual([lines, reasons], [[], []]);
  }
  const { lines, reasons } = await runRoutine(() => Promise.reject(new AbortedError()));
  assert.deepEqual([lines, reasons], [[], []]);
});
