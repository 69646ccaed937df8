// A controller takes the answer of an earlier election for that of its last one, leads under a
// lease that its leader key is not attached to, and goes on when another one has been elected.
import { job, MAY16, runCase, TIENLEN_HANOI } from '../stand-ins/deployment.mjs';
import { sleep, until } from '../stand-ins/record.mjs';

const TROUBLE = process.env.TROUBLE !== '0';

/** Transactions without an answer are carried out this much later. */
const LATE_MS = 2600;
/** How long the transactions of wagon-1 are late, from its first one on. */
const LATE_SPAN_MS = 2550;
/**
 * The state service refuses wagon-1 alone from this time after its first transaction until a
 * moment after it has refused to tell it who leads.
 */
const REFUSED_FROM_MS = 1000;
const REFUSED_ON_MS = 100;

let phase = 'before';
let firstLateAt = null;
let refusedUntil = Infinity;

function trouble(node, { method, path }) {
  if (!TROUBLE || phase !== 'back' || node !== 'wagon-1') return null;
  const now = performance.now();
  const isTransaction = method === 'POST' && path === '/multi';
  if (firstLateAt === null && isTransaction) firstLateAt = now;
  if (firstLateAt === null) return null;
  if (now >= firstLateAt + REFUSED_FROM_MS && now < refusedUntil) {
    if (path === '/store/leader') refusedUntil = Math.min(refusedUntil, now + REFUSED_ON_MS);
    return { refuse: true };
  }
  return isTransaction && now < firstLateAt + LATE_SPAN_MS ? { late: LATE_MS } : null;
}

let zonesCut = false;
const isCut = (a, b) => TROUBLE && zonesCut && a !== b;

const NAMES = ['wagon-0', 'wagon-1', 'wagon-2'];

async function play(deployment) {
  const { controllers, record, workers } = deployment;
  const leads = (name) => workers.every(({ servedBy }) => servedBy === name);
  // wagon-1 is up first and leads; the others follow it.
  controllers.start('wagon-1');
  if (!(await until(() => leads('wagon-1'), 15_000))) throw new Error('wagon-1 does not lead');
  controllers.start('wagon-0');
  controllers.start('wagon-2');
  if (!(await deployment.allHealthy(NAMES, 15_000))) throw new Error('not healthy');
  const first = job('req-000001');
  await deployment.submitUntilAccepted('wagon-0', first, 2);
  const isDone = async () => (await deployment.poll('wagon-0', first.id)).body.standing === 'done';
  if (!(await until(isDone, 25_000, 1000))) throw new Error('the first job is not done');
  await sleep(4000);

  record.add('scenario', 'all controllers end; wagon-1 is back within a fraction of a second');
  for (const name of NAMES) controllers.kill(name);
  phase = 'back';
  zonesCut = true;
  if (TROUBLE) record.add('scenario', 'hanoi and danang cannot reach each other');
  await sleep(300);
  controllers.start('wagon-1');
  await sleep(4700);
  record.add('scenario', 'the others are back');
  controllers.start('wagon-0');
  controllers.start('wagon-2');
  if (!(await deployment.allHealthy(NAMES, 15_000))) throw new Error('not healthy again');
  // Time for elections and for the machines to be confirmed.
  await sleep(6000);

  const jobs = [];
  for (let i = 2; i < 8; i++) {
    const next = job(`req-00000${i}`);
    jobs.push(next.id);
    await deployment.submitUntilAccepted(NAMES[i % 3], next, 15);
    await sleep(500);
  }
  await until(() => deployment.broken.length > 0, 25_000);
  for (const id of jobs) await deployment.poll('wagon-0', id);
  if (deployment.starts < 2) throw new Error('no task was started');
  return deployment.broken[0] ?? null;
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
    settings: TIENLEN_HANOI,
    trouble,
    isCut,
  },
  play,
});
