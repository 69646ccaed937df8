// A pipeline whose last job has a deadline makes every controller in turn compute for minutes
// without answering anybody.
import { job, MAY16, runCase, TIENLEN_HANOI_NEXT } from '../stand-ins/deployment.mjs';
import { sleep, until } from '../stand-ins/record.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const NAMES = ['wagon-0', 'wagon-1', 'wagon-2'];
/** "a job about which no question is answered for 75 s counts as forgotten" */
const FORGOTTEN_MS = 75_000;
/** The scenario ends this long after the last submission at the latest. */
const WATCHED_MS = 95_000;
const ROUNDS = 30;

const step = (id, bracket, expectedS, awaits, fields = {}) =>
  job(id, { bracket, rank: 'low', cores: 1, memoryGb: 3.2, expectedS, awaits, ...fields });

/**
 * A pipeline of rounds. Each round has a short and a longer job, which both wait for the round
 * before, and a third one that waits for both. The longer jobs' estimates grow from round to round,
 * to an hour and a half. The users' deadline is on the last job.
 */
function pipeline() {
  const jobs = [step('req-100000', 'thu-log', 1, [])];
  let previous = 'req-100000';
  for (let round = 0; round < ROUNDS; round++) {
    const id = (n) => `req-1${String(round + 1).padStart(2, '0')}00${n}`;
    jobs.push(step(id(1), 'lam-sach', 1 + 1e-5 * 2 ** round, [previous]));
    jobs.push(step(id(2), 'lam-sach', 1, [previous]));
    jobs.push(step(id(3), 'tinh-elo', 1, [id(1), id(2)]));
    previous = id(3);
  }
  jobs.push(step('req-199999', 'cong-bo', 8, [previous], { rank: 'urgent', dueS: TROUBLE ? 7200 : null }));
  return jobs;
}

async function play(deployment) {
  const { controllers, record, workers } = deployment;
  for (const name of NAMES) controllers.start(name);
  if (!(await deployment.allHealthy(NAMES, 15_000))) throw new Error('not healthy');
  if (!(await until(() => workers.every(({ baton }) => baton > 0), 10_000))) throw new Error('no leader');
  // Not part of the pipeline.
  const other = job('req-000001');
  await deployment.submitUntilAccepted('wagon-0', other, 0.2);
  const steps = pipeline();
  const last = steps.pop();
  for (const next of steps) await deployment.submitUntilAccepted('wagon-0', next, 0.2);
  // It may get no response: the leader is asked here in some runs.
  await deployment.submit('wagon-0', last, 0.2);
  record.add('scenario', 'the whole pipeline is submitted; no other trouble');
  const end = performance.now() + WATCHED_MS;
  let answeredAt = performance.now();
  while (performance.now() < end) {
    const replies = await Promise.all(NAMES.map((name) => deployment.poll(name, other.id)));
    if (replies.some(({ status }) => status === 200)) answeredAt = performance.now();
    if (performance.now() - answeredAt > FORGOTTEN_MS)
      return `forgotten: no question about ${other.id} is answered for ${FORGOTTEN_MS / 1000} s by any controller`;
    await sleep(1000);
  }
  return null;
}

await runCase({
  options: {
    recordFile: new URL('record.txt', import.meta.url).pathname,
    nodes: [
      { name: 'wagon-0', zone: 'hanoi' },
      { name: 'wagon-1', zone: 'danang' },
      { name: 'wagon-2', zone: 'hanoi' },
    ],
    machines: [
      { id: 'n-000001', rig: 'may16', hall: 'danang' },
      { id: 'n-000002', rig: 'may16', hall: 'hanoi' },
    ],
    types: [MAY16],
    settings: TIENLEN_HANOI_NEXT,
  },
  play,
});
