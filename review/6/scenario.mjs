/**
 * An array bound to one zone (`oneZone`) loses one of its two machines there. Its lost tasks
 * have to wait for the other machine. A small job of lower priority has a machine of its own,
 * in another zone. Does the array, which can't use that machine, leave it alone?
 */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { runCase } from '../stand-ins-2/deployment.mjs';
import { sleep } from '../stand-ins-2/http.mjs';
import { job, WAIKATO } from '../stand-ins-2/sites.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const FOLDER = dirname(fileURLToPath(import.meta.url));
const ARRAY_S = 150;
/** Too low, as estimates are on some days, so that no machine is rented for the array in advance. */
const ESTIMATE_S = 60;
const SMALL_S = 25;
/** The bound of the rule. */
const WAITING_LIMIT_S = 90;
/** "If the task isn't stopped by command within 30 s ..., a start counts for the aims" (PROTOCOL). */
const START_COUNTS_AFTER_S = 30;

const initial = ['hamilton', 'hamilton', 'tauranga'].map((hall) => ({ rig: 'kauri', hall }));

await runCase({ folder: FOLDER, ...WAIKATO, initial }, async (deployment) => {
  const { cloud, record, results, taskEvents } = deployment;
  await deployment.waitFor('a leader', () => deployment.leader, 15_000);
  await sleep(1000);
  const startsOf = (id) =>
    taskEvents.filter(({ kind, hand }) => kind === 'start' && hand.startsWith(`${id}/`));
  const [, second, own] = deployment.machineIds;
  const machine = deployment.workers[2];
  // The array's image is in hamilton already, from an earlier job there, so it is placed there.
  const deck = 'img-7';
  await deployment.submit('wagon-1', job({ id: 'req-000009', deck, hall: 'hamilton' }), 0.5);
  await deployment.waitFor('the earlier job', () => results.has('req-000009/0'), 15_000);
  const array = job({
    id: 'req-000001', bracket: 'bank-match', rank: 'urgent', oneZone: true, hands: 4, cores: 8,
    memoryGb: 25, rigs: ['kauri'], expectedS: ESTIMATE_S, deck,
  });
  await deployment.submit('wagon-1', array, ARRAY_S);
  await deployment.waitFor('the array runs', () => startsOf('req-000001').length === 4, 15_000);
  if (startsOf('req-000001').some(({ machine: { hall } }) => hall !== 'hamilton'))
    throw new Error('the array does not run in hamilton');
  if (TROUBLE) {
    cloud.die(second);
    record.line('test', 'the trouble is over');
  }
  const overAt = record.now;

  // The array's lost tasks are known as lost once the leader has deleted the machine.
  if (TROUBLE)
    await deployment.waitFor('the machine is deleted', () => !cloud.machines.has(second), 20_000);
  await sleep(1000);
  const small = job({
    id: 'req-000002', bracket: 'expense-code', crew: 'ledger-support-01', rank: 'low', cores: 1,
    memoryGb: 3.2, hall: 'tauranga', expectedS: SMALL_S,
  });
  await deployment.submit('wagon-2', small, SMALL_S);
  const submittedAt = record.now;
  let roomTicks = 0;
  let ticks = 0;
  while (record.now < submittedAt + WAITING_LIMIT_S) {
    await sleep(500);
    ticks++;
    const present = [...machine.hands.values()].some(
      ({ hand, standing }) => hand === 'req-000002/0' && standing !== 'exited',
    );
    if (!machine.gone && (present || machine.hasRoomFor(small))) roomTicks++;
    if (results.has('req-000002/0')) return null;
    if (ticks % 10 === 0) await deployment.query('wagon-0', 'req-000002');
  }
  if (roomTicks < ticks) return null;
  const starts = startsOf('req-000002');
  const ends = taskEvents.filter(
    ({ kind, hand, cause }) => kind === 'end' && hand === 'req-000002/0' && cause === 'halted',
  );
  const longest = Math.max(0, ...ends.map(({ at }, i) => at - starts[i].at));
  if (longest >= START_COUNTS_AFTER_S) return null;
  return `req-000002 was left waiting for ${WAITING_LIMIT_S} s, from ${(submittedAt - overAt).toFixed(0)} s after the trouble on, while ${own} had room for it all the time; it was started ${starts.length} times and stopped by command ${ends.length} times, after ${longest.toFixed(1)} s at most`;
});
