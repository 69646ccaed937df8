// A job whose only task failed once on the only machine that fits is never started again, however
// long that machine has room.
import { job, KAURI, LEDGER_WAIKATO, runCase } from '../stand-ins/deployment.mjs';
import { sleep, until } from '../stand-ins/record.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const NAMES = ['wagon-0', 'wagon-1', 'wagon-2'];
/** How long the machine fails every task that it starts. */
const SICK_MS = 6000;
/** "no job is left waiting for 90 s". */
const LEFT_WAITING_MS = 90_000;

const inHamilton = (id) =>
  job(id, { bracket: 'gst-prep', crew: 'ledger-support-00', memoryGb: 4.3, hall: 'hamilton' });

async function play(deployment) {
  const { controllers, record, workers } = deployment;
  for (const name of NAMES) controllers.start(name);
  if (!(await deployment.allHealthy(NAMES, 15_000))) throw new Error('not healthy');
  const [machine] = workers;
  if (!(await until(() => machine.baton > 0, 10_000))) throw new Error('no leader');
  if (TROUBLE) {
    machine.sick = true;
    record.add('scenario', `${machine.id} fails every task that it starts`);
  }
  const waiting = inHamilton('req-000001');
  await deployment.submitUntilAccepted('wagon-0', waiting, 2);
  await sleep(SICK_MS);
  if (deployment.starts === 0) throw new Error('the task was not started');
  machine.sick = false;
  record.add('scenario', `${machine.id} is well; no trouble is left`);
  const overAt = performance.now();
  // Another job like it shows that the machine fits and has room.
  const other = inHamilton('req-000002');
  await deployment.submitUntilAccepted('wagon-1', other, 2);
  let node = 0;
  while (performance.now() - overAt < LEFT_WAITING_MS) {
    const { body } = await deployment.poll(NAMES[node++ % 3], waiting.id);
    if (body.standing === 'done') return null;
    await sleep(3000);
  }
  const { body } = await deployment.poll('wagon-0', other.id);
  if (body.standing !== 'done') throw new Error('the other job is not done either');
  return `req-000001 has waited for ${LEFT_WAITING_MS / 1000} s while ${machine.id} fits and has room`;
}

await runCase({
  options: {
    recordFile: new URL('record.txt', import.meta.url).pathname,
    nodes: [
      { name: 'wagon-0', zone: 'hamilton' },
      { name: 'wagon-1', zone: 'tauranga' },
      { name: 'wagon-2', zone: 'rotorua' },
    ],
    machines: [
      { id: 'n-000001', rig: 'kauri', hall: 'hamilton' },
      { id: 'n-000002', rig: 'kauri', hall: 'tauranga' },
      { id: 'n-000003', rig: 'kauri', hall: 'rotorua' },
    ],
    types: [KAURI],
    settings: LEDGER_WAIKATO,
  },
  play,
});
