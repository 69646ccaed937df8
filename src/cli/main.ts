/** Command line: reads the settings, sets up logging and signal handling, and runs one controller. */
import { randomBytes } from 'node:crypto';
import { setMaxListeners } from 'node:events';
import { readFileSync } from 'node:fs';
import { Command } from 'commander';
import { type Logger, pino } from 'pino';
import { DEFAULT_POLICY, parsePolicy } from '../config/policy.js';
import { parsePlatformSettings, SettingsError } from '../config/settings.js';
import { createController } from '../controller/wiring.js';
import { systemClock } from '../runtime/clock.js';
import { VERSION } from '../version.js';

/** Permitted values of LOG_LEVEL. */
const LOG_LEVELS = ['error', 'info', 'debug'];

/** Exit code for an unusable file or setting. */
const EXIT_CODE_SETTINGS = 2;

/** File descriptor of standard error, where the log is written. */
const STDERR_FD = 2;

interface Options {
  config: string;
  properties?: string;
}

/** @throws SettingsError that names the file if it can't be read. */
function readTextFile(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    throw new SettingsError(`${file}: ${(error as Error).message}`, { cause: error });
  }
}

/** @throws SettingsError if LOG_LEVEL is not a permitted level. */
function createLogger(node: string): Logger {
  const level = process.env.LOG_LEVEL ?? 'info';
  if (!LOG_LEVELS.includes(level))
    throw new SettingsError(`LOG_LEVEL: must be one of ${LOG_LEVELS.join(', ')}`);
  // Synchronous, because the last lines before the process ends matter most and must not be lost.
  return pino({ level, base: { node } }, pino.destination({ dest: STDERR_FD, sync: true }));
}

/** Returns a signal that is aborted when the process receives SIGTERM or SIGINT. */
function createStopSignal(log: Logger): AbortSignal {
  const stop = new AbortController();
  // Disables Node's leak warning, because every connection and routine adds a listener.
  setMaxListeners(0, stop.signal);
  for (const name of ['SIGTERM', 'SIGINT'] as const)
    process.once(name, () => {
      log.info({ signal: name }, 'stopping');
      stop.abort();
    });
  return stop.signal;
}

async function runController(options: Options): Promise<void> {
  const platform = parsePlatformSettings(readTextFile(options.config), options.config);
  const policy = options.properties
    ? parsePolicy(readTextFile(options.properties), options.properties)
    : DEFAULT_POLICY;
  const log = createLogger(platform.node);
  const signal = createStopSignal(log);
  const incarnation = randomBytes(6).toString('hex');
  const controller = createController({ platform, policy, clock: systemClock, log, incarnation });
  await controller.run(signal);
}

/**
 * Runs the command line. An unusable file or setting is reported in one line on
 * standard error, and the process exits with code 2. Any other error rejects the
 * promise, which ends the process.
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
    process.exitCode = EXIT_CODE_SETTINGS;
  }
}
