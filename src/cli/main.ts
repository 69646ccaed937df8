/** The command line: reads the settings, sets up logging and signals, and runs one controller. */
import { randomBytes } from 'node:crypto';
import { setMaxListeners } from 'node:events';
import { readFileSync } from 'node:fs';
import { Command } from 'commander';
import { type Logger, pino } from 'pino';
import { DEFAULT_POLICY, parsePolicy } from '../config/policy.js';
import { parsePlatform, SettingsError } from '../config/settings.js';
import { createController } from '../controller/wiring.js';
import { systemClock } from '../runtime/clock.js';
import { VERSION } from '../version.js';

/** Levels that LOG_LEVEL may name. */
const LOG_LEVELS = ['error', 'info', 'debug'];

/** The exit code when a file or setting can't be used. */
const EXIT_SETTINGS = 2;

/** File descriptor of the standard error output, where the log goes. */
const STDERR = 2;

interface Options {
  config: string;
  properties?: string;
}

/** @throws SettingsError naming the file when it can't be read. */
function readTextFile(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    throw new SettingsError(`${file}: ${(error as Error).message}`, { cause: error });
  }
}

/** @throws SettingsError when LOG_LEVEL names no level. */
function createLogger(node: string): Logger {
  const level = process.env.LOG_LEVEL ?? 'info';
  if (!LOG_LEVELS.includes(level))
    throw new SettingsError(`LOG_LEVEL: must be one of ${LOG_LEVELS.join(', ')}`);
  // Written at once: the last lines before the process ends are the ones that are needed.
  return pino({ level, base: { node } }, pino.destination({ dest: STDERR, sync: true }));
}

/** A signal that is aborted when the platform asks the process to stop. */
function stopSignal(log: Logger): AbortSignal {
  const stop = new AbortController();
  // Every connection and routine listens to it.
  setMaxListeners(0, stop.signal);
  for (const name of ['SIGTERM', 'SIGINT'] as const)
    process.once(name, () => {
      log.info({ signal: name }, 'stopping');
      stop.abort();
    });
  return stop.signal;
}

async function runController(options: Options): Promise<void> {
  const platform = parsePlatform(readTextFile(options.config), options.config);
  const policy = options.properties
    ? parsePolicy(readTextFile(options.properties), options.properties)
    : DEFAULT_POLICY;
  const log = createLogger(platform.node);
  const signal = stopSignal(log);
  const incarnation = randomBytes(6).toString('hex');
  const controller = createController({ platform, policy, clock: systemClock, log, incarnation });
  await controller.run(signal);
}

/**
 * Runs the command line. A file or setting that can't be used is explained in
 * one line on the standard error output, with exit code 2; any other error
 * rejects, which ends the process.
 */
export async function main(argv: string[]): Promise<void> {
  const program = new Command('passcart')
    .description('A cluster scheduler: runs one controller node')
    .version(VERSION, '--version', 'print the version')
    .helpOption('--help', 'print this help')
    .requiredOption('--config <file>', "the platform's settings (JSON)")
    .option('--properties <file>', "the operators' policy (Java-style properties)")
    .action(runController);
  try {
    await program.parseAsync(argv);
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error;
    process.stderr.write(`passcart: ${error.message}\n`);
    process.exitCode = EXIT_SETTINGS;
  }
}
