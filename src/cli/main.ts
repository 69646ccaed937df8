import { randomBytes } from 'node:crypto';
import { setMaxListeners } from 'node:events';
import { readFileSync } from 'node:fs';
import { Command } from 'commander';
import { pino } from 'pino';
import { DEFAULT_POLICY, parsePolicy } from '../config/policy.js';
import { parsePlatform, SettingsError } from '../config/settings.js';
import { createController } from '../controller/wiring.js';
import { systemClock } from '../runtime/clock.js';
import { VERSION } from '../version.js';

const LEVELS = ['error', 'info', 'debug'];

function read(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    throw new SettingsError(`${file}: ${(error as Error).message}`);
  }
}

async function daemon(options: { config: string; properties?: string }): Promise<void> {
  const platform = parsePlatform(read(options.config), options.config);
  const policy = options.properties
    ? parsePolicy(read(options.properties), options.properties)
    : DEFAULT_POLICY;
  const level = process.env.LOG_LEVEL ?? 'info';
  if (!LEVELS.includes(level))
    throw new SettingsError(`LOG_LEVEL: must be one of ${LEVELS.join(', ')}`);
  const log = pino(
    { level, base: { node: platform.node } },
    pino.destination({ dest: 2, sync: true }),
  );
  const stop = new AbortController();
  // Every connection and duty listens to it.
  setMaxListeners(0, stop.signal);
  for (const name of ['SIGTERM', 'SIGINT'] as const)
    process.once(name, () => {
      log.info({ signal: name }, 'stopping');
      stop.abort();
    });
  const incarnation = randomBytes(6).toString('hex');
  const controller = createController({ platform, policy, clock: systemClock, log, incarnation });
  await controller.run(stop.signal);
}

export async function main(argv: string[]): Promise<void> {
  const program = new Command('passcart')
    .description('A cluster scheduler: runs one controller node')
    .version(VERSION, '--version', 'print the version')
    .helpOption('--help', 'print this help')
    .requiredOption('--config <file>', "the platform's settings (JSON)")
    .option('--properties <file>', "the operators' policy (Java-style properties)")
    .action(daemon);
  try {
    await program.parseAsync(argv);
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error;
    process.stderr.write(`passcart: ${error.message}\n`);
    process.exitCode = 2;
  }
}
