/**
 * Guards against renames in the code that change a name outside the process: on
 * the wire, in stored data, in files or in the log. Each name must occur in the
 * code of the modules that read or write it, as a property, a string or a part of
 * a template. Comments don't count.
 */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { test } from 'node:test';
import ts from 'typescript';
import { sourceFiles } from './support/source-files.js';

/** External names, separated by whitespace, and the files or folders whose code must contain them. */
interface ExternalNames {
  place: string;
  modules: readonly string[];
  names: string;
}

const EXTERNAL_NAMES: readonly ExternalNames[] = [
  {
    place: 'HTTP paths and headers',
    modules: ['src/protocol', 'src/http'],
    names: `/v1/jobs /healthz /agent/beat /do /show /flavors /machines /machines/return /store
      /multi /grants /follow /touch withdraw Retry-After after starts limit waitMs`,
  },
  {
    place: 'messages with users',
    modules: ['src/protocol/job-protocol.ts', 'src/model/job.ts', 'src/controller/api/refusals.ts'],
    names: `id form array bracket crew rank hands cores accelerators memoryGb deck pullGb rigs hall
      oneZone scatter loaner expectedS markEveryS markCostS dueS awaits standing queued running
      done cancelled error low standard urgent`,
  },
  {
    place: 'messages with agents',
    modules: ['src/protocol/agent-protocol.ts'],
    names: `hands hand baton cart endpoint rig hall loaner shift tally recallS standing try cause
      kept pulling running saving exited done halted error full busy unknown verb run kill forget
      windDownS orders steward`,
  },
  {
    place: 'messages with the cloud',
    modules: ['src/protocol/cloud-protocol.ts'],
    names: `rigs sku cores accelerators memoryGb cacheGb pullGbPerS rate spotPrice readyS halls
      carts hasNext standing booting running failed id endpoint rig hall loaner ageS hire count`,
  },
  {
    place: 'messages with the state service',
    modules: ['src/protocol/key-value-protocol.ts'],
    names: 'when path stamp writes set delete v ticket lifeMs ledgerRev failed rows hasNext news',
  },
  {
    place: 'keys in the state service',
    modules: ['src/records', 'src/controller'],
    names: 'leader term types loads live/ over/ bits/ upstream/ lists/ needs/ roster/ mail/',
  },
  {
    place: 'stored jobs and ends of jobs',
    modules: ['src/records/job-record.ts', 'src/records/job-end-record.ts'],
    names: `spec at id jobClass team rank tasks cpus gpus memoryGb image imageGb types zone oneZone
      spread spot estimateS checkpointS saveS deadlineS upstream upstreamPages upstreamList token
      pages state done cancelled`,
  },
  {
    place: 'stored dependency lists',
    modules: ['src/records/dependency-list-record.ts'],
    names: 'pages removing',
  },
  {
    place: 'stored leader, machine types, rosters and demand forecasts',
    modules: [
      'src/records/leader-record.ts',
      'src/records/machine-type-record.ts',
      'src/records/roster-record.ts',
      'src/records/demand-record.ts',
    ],
    names: `node incarnation term lease name cpus gpus memoryGb cacheGb fetchGbPerS price spotPrice
      bootS zones machines id type zone spot address loads upTo more spec mean variance shape holdS
      gapMs quietMs`,
  },
  {
    place: 'mailbox messages',
    modules: ['src/records/mailbox-record.ts'],
    names: 'kind ask answer n from incarnation text value',
  },
  {
    place: 'messages between controllers',
    modules: [
      'src/records/peer-frames.ts',
      'src/records/peer-requests.ts',
      'src/controller/membership',
    ],
    names: `kind status ask answer n op payload node incarnation sentAt term leading stateOk
      memoryShort counts user report cancelled method target body job revision retryAfterS`,
  },
  {
    place: 'settings and policy files',
    modules: ['src/config'],
    names: `node zone bind peer_listen peers address external cloud state settings size zones teams
      name cpus cpus_max gpus gpus_max objectives kind class within_s share times wait guarantee
      workers report_s lease_s cancel_s rps write_rps value_kb txn_ops next list_lag_s quota cpu
      memory_mb max_sockets skew_ms score.throughput score.cost score.locality rent.wait-spread
      rent.spread rent.smooth-boots rent.drain-boots rent.idle-boots rent.boot-patience
      rent.backoff-boots sick.jobs sick.failures job.faulty-machines round.machine-starts`,
  },
  {
    place: 'command line and environment',
    modules: ['src/cli'],
    names:
      'passcart --config --properties --help --version LOG_LEVEL error info debug SIGTERM SIGINT',
  },
  {
    place: 'log fields of decisions',
    modules: ['src/scheduler/state/decision-log.ts'],
    names: `machine reason running drain lostTasks type zone agentEpoch seconds job machines task for
      lostCpuSeconds`,
  },
  {
    place: 'log fields of the fleet status',
    modules: ['src/scheduler/scaling/fleet-overview.ts'],
    names: 'ordinary spot demands up booting utilization class mean slots ready',
  },
  {
    place: 'log fields of provisioned machines',
    modules: ['src/scheduler/scaling/scale-out.ts', 'src/protocol/cloud-protocol.ts'],
    names: 'name type zone spot count class slots short ready',
  },
  {
    place: 'other log fields',
    modules: ['src/controller', 'src/cli'],
    names: `node err reason term jobs machines ms bind signal job team machine key name usedShare
      routine peer`,
  },
];

/** Log messages and values of log fields that operators search for. */
const SEARCHED_LOG_TEXTS: readonly string[] = [
  'preemption notice',
  'quarantined',
  'unresponsive',
  'boot timeout',
  'unreachable',
  'missing from list',
  'idle',
  'listed as failed',
  'absent from the list',
  'scale-in: ',
  'later term observed',
  'lease ended',
  'leadership unproven for too long',
  'cancellations unknown for too long',
  'leader key held by another controller',
  'heartbeat carries a higher fencing token',
  'command reply carries a higher fencing token',
  'listening',
  'election finished',
  'leader term began',
  'failover: state restored',
  'leader term ended',
  'fleet status',
  'machines provisioned',
  'provisioning refused: no capacity',
  'machine drained',
  'machine terminated',
  'new agent epoch',
  'event loop held',
  'task preempted',
  'unexpected machine adopted',
  'job fails on several machines, backing off',
  'renewing agent leases for an unreachable leader',
  'job cancelled',
  'job cancelled with its dependency',
  'state service unreachable',
  'stopping',
  'write rejected by the state service and given up',
  'leader routine failed',
  'leader routines failed',
  'live job is not readable',
  'request failed',
];

/** Folder of the message parsers. There, reads of a property count as well, because a parser may name a field nowhere else. */
const PARSER_FOLDER = join('src', 'protocol');

/** Returns the names of properties and the texts of strings and templates in the code of a file. */
function namesAndTexts(file: string): string[] {
  const isParser = file.startsWith(PARSER_FOLDER);
  const source = ts.createSourceFile(
    file,
    readFileSync(file, 'utf8'),
    ts.ScriptTarget.Latest,
    true,
  );
  const found: string[] = [];
  const visit = (node: ts.Node): void => {
    if (ts.isImportDeclaration(node)) return;
    if (isPropertyName(node, isParser)) found.push(node.text);
    if (ts.isStringLiteralLike(node) || isTemplatePart(node)) found.push(node.text);
    ts.forEachChild(node, visit);
  };
  visit(source);
  return found;
}

function isTemplatePart(node: ts.Node): node is ts.TemplateLiteralLikeNode {
  return ts.isTemplateHead(node) || ts.isTemplateMiddle(node) || ts.isTemplateTail(node);
}

/** Reports whether the node is the name of a property that is declared or written, or in a parser also read. */
function isPropertyName(node: ts.Node, isParser: boolean): node is ts.Identifier {
  const { parent } = node;
  if (!ts.isIdentifier(node)) return false;
  if (ts.isBindingElement(parent)) return parent.propertyName === node || !parent.propertyName;
  if (ts.isShorthandPropertyAssignment(parent)) return true;
  const isMember =
    ts.isPropertyAssignment(parent) ||
    ts.isPropertySignature(parent) ||
    (ts.isPropertyAccessExpression(parent) && (isParser || isEnvironment(parent.expression)));
  return isMember && parent.name === node;
}

function isEnvironment(expression: ts.Expression): boolean {
  return expression.getText() === 'process.env';
}

/**
 * Reports whether one of the texts is the name, or contains it as part of a path,
 * key, option or header. A word in a sentence does not count.
 */
function contains(texts: readonly string[], name: string): boolean {
  const escaped = name.replace(/[.*+?^${}()|[\]\\]/g, '\\$&');
  const part = new RegExp(`^(\\S*[^\\w\\s-])?${escaped}([^\\w\\s-]\\S*)?$`);
  const optionOrHeader = new RegExp(`(^|\\n)${escaped}( <\\w+>$|: )`);
  return texts.some((text) => part.test(text) || optionOrHeader.test(text));
}

const TEXTS_BY_FILE = new Map(sourceFiles('src').map((file) => [file, namesAndTexts(file)]));

/** Returns the names and texts of a file, or of all files below a folder. */
function textsOf(module: string): string[] {
  return [...TEXTS_BY_FILE].flatMap(([file, texts]) =>
    file === module || file.startsWith(`${module}/`) ? texts : [],
  );
}

for (const { place, modules, names } of EXTERNAL_NAMES)
  test(`${place} keep their external names`, () => {
    const texts = modules.flatMap(textsOf);
    const missing = names.split(/\s+/).filter((name) => !contains(texts, name));
    assert.deepEqual(missing, []);
  });

test('log texts that operators search for occur in the code', () => {
  const texts = textsOf('src');
  assert.deepEqual(
    SEARCHED_LOG_TEXTS.filter((text) => !texts.some((found) => found.includes(text))),
    [],
  );
});
