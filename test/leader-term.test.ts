import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import { LeaderTerm } from '../src/controller/election/leader-term.js';
import { FakeClock } from './support/clock.js';
import { createContext } from './support/context.js';
import { FakeStateService, FakeStore } from './support/state.js';

function createTerm() {
  const clock = new FakeClock();
  const logged: { msg: string; term: number; lease: number; version: number; reason: string }[] =
    [];
  const log = pino({ level: 'info' }, { write: (line: string) => logged.push(JSON.parse(line)) });
  const { timing } = createContext('n-0', new FakeStateService(new FakeStore(clock)), clock);
  const start = { number: 7, lease: 3, version: 100, leaseRequestedAt: clock.now() };
  return { clock, logged, timing, term: new LeaderTerm(start, { clock, timing, log }) };
}

test('a new term is proven and may neither start tasks nor renew leases before cancellations are known', async () => {
  const { clock, term, timing } = createTerm();
  assert.deepEqual(
    [term.isProven(), term.mayStartTasks(), term.mayRenewAgentLeases()],
    [true, false, false],
  );
  term.setCancellationsKnownAt(clock.now());
  assert.deepEqual([term.mayStartTasks(), term.mayRenewAgentLeases()], [true, true]);
  await clock.advance(timing.leadershipProofMs);
  assert.deepEqual(
    [term.isProven(), term.mayStartTasks(), term.mayRenewAgentLeases()],
    [false, false, true],
  );
  await clock.advance(timing.agentRenewalMs - timing.leadershipProofMs);
  assert.equal(term.mayRenewAgentLeases(), false);
});

test('proof alone allows no starts, and the older of proof and known cancellations bounds renewals', async () => {
  const { clock, term, timing } = createTerm();
  const beganAt = clock.now();
  term.setCancellationsKnownAt(beganAt);
  await clock.advance(timing.agentRenewalMs - 1);
  term.setProvenAt(clock.now());
  assert.deepEqual(
    [term.isProven(), term.mayStartTasks(), term.mayRenewAgentLeases()],
    [true, false, true],
  );
  assert.deepEqual(
    [term.areCancellationsUnknownForTooLong(), term.isUnprovenForTooLong()],
    [false, false],
  );
  await clock.advance(1);
  assert.deepEqual([term.isProven(), term.mayRenewAgentLeases()], [true, false]);
  assert.deepEqual(
    [term.areCancellationsUnknownForTooLong(), term.isUnprovenForTooLong()],
    [true, false],
  );
});

test('responses out of order move neither the proof nor the known cancellations backwards', async () => {
  const { clock, term, timing } = createTerm();
  const early = clock.now();
  await clock.advance(timing.leadershipProofMs - 1);
  const late = clock.now();
  term.setProvenAt(late);
  term.setProvenAt(early);
  term.setCancellationsKnownAt(late);
  term.setCancellationsKnownAt(early);
  await clock.advance(timing.leadershipProofMs - 1);
  assert.deepEqual([term.isProven(), term.mayStartTasks()], [true, true]);
  await clock.advance(1);
  assert.deepEqual([term.isProven(), term.mayStartTasks()], [false, false]);
});

test('a term ends once, logs one reason and is unproven from then on, also through an unbound isProven', () => {
  const { clock, logged, term } = createTerm();
  term.setCancellationsKnownAt(clock.now());
  const { isProven } = term;
  assert.equal(isProven(), true);
  term.resign('lease ended');
  term.resign('later term observed');
  term.end();
  assert.ok(term.signal.aborted);
  assert.deepEqual(
    [isProven(), term.mayStartTasks(), term.mayRenewAgentLeases()],
    [false, false, false],
  );
  assert.deepEqual(
    logged.map(({ msg, term: number, lease, version, reason }) => [
      msg,
      number,
      lease,
      version,
      reason,
    ]),
    [['leader term ended', 7, 3, 100, 'lease ended']],
  );
});
